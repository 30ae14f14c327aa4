#include "ack_tracker.h"
#include "promotion.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <rapidcheck.h>

using namespace plantainwall;
using std::chrono::milliseconds;

namespace {

/// Faults that the model can have, to show that its checks detect them.
struct Rules {
    bool acknowledgeOnPrimaryOnly = false;
    bool promoteFirstGranted = false;
    bool sharedCandidateName = false;
};

struct Entry {
    uint64_t term = 0;
    uint64_t write = 0; ///< 0: the barrier entry of a term.
};

/// One database of the model; follows the rules of section 5 of docs/design.md.
struct ModelMember {
    uint64_t term = 1;
    MemberRole role = MemberRole::Replica;
    std::string candidate;
    std::vector<Entry> log { { 1, 0 } };
    bool up = true;
    Instant primaryLastSeen {};

    LogPosition received() const { return { log.back().term, log.size() }; }
};

struct Violation : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// A group, its candidates and a network that delays, reorders and loses messages, in virtual time.
class Model {
public:
    Model(uint64_t seed, size_t members, Rules rules)
        : m_random(seed)
        , m_rules(rules)
    {
        for (size_t i = 0; i < members; ++i) {
            m_names.push_back("m" + std::to_string(i));
            m_members[m_names.back()].primaryLastSeen = m_now;
        }
        m_members["m0"].role = MemberRole::Primary;
        m_primaryOfTerm[1] = "m0";
        for (size_t i = 0; i < 2; ++i) {
            m_candidates.push_back(std::make_unique<Candidate>(settings(), m_names, m_random, m_now, m_rules, i));
            m_candidates[i]->promotion.setCandidates(static_cast<unsigned>(i), { "host" + std::to_string(1 - i) });
        }
    }

    /// Runs with faults, then repairs everything and continues without faults.
    void run(Duration faulty, Duration healed)
    {
        m_faults = true;
        advance(faulty);
        m_faults = false;
        m_cut.clear();
        for (std::pair<const std::string, ModelMember>& entry : m_members)
            entry.second.up = true;
        advance(healed);
    }

    /// Leaves a member fenced in a higher term, as a candidate that dies during a round does.
    void strand(const std::string& member)
    {
        m_members[member].term += 1;
        m_members[member].role = MemberRole::Fenced;
        m_members[member].candidate = "dead";
    }
    bool allFollow() const
    {
        return std::none_of(
            m_members.begin(), m_members.end(), [](const std::pair<const std::string, ModelMember>& entry) {
                return entry.second.role == MemberRole::Fenced;
            });
    }
    void kill(const std::string& member) { m_members[member].up = false; }
    void cut(size_t candidate, const std::string& member)
    {
        m_cut.insert({ "host" + std::to_string(candidate), member });
    }
    void cutReplication(const std::string& member, const std::string& other) { m_cut.insert({ member, other }); }
    void advance(Duration time)
    {
        for (const Instant end = m_now + time; m_now < end; m_now += milliseconds(10))
            step();
    }

    size_t acknowledged() const { return m_acknowledged.size(); }
    uint64_t terms() const { return m_primaryOfTerm.rbegin()->first; }
    uint64_t rounds() const { return m_candidates[0]->promotion.rounds() + m_candidates[1]->promotion.rounds(); }
    const Promotion& promotion(size_t i) const { return m_candidates[i]->promotion; }
    Duration sinceAcknowledged() const { return m_now - m_lastAcknowledged; }

private:
    struct Candidate {
        Candidate(const GroupSettings& settings, const std::vector<std::string>& names, std::mt19937_64& random,
            Instant now, const Rules& rules, size_t index)
            : name("host" + std::to_string(index))
            , fixedSeed(1)
            , promotion(settings, rules.sharedCandidateName ? "host" : name, names,
                  rules.sharedCandidateName ? fixedSeed : random, now)
            , tracker(names)
        {
        }
        std::string name;
        std::mt19937_64 fixedSeed;
        Promotion promotion;
        AckTracker tracker;
    };
    struct Message {
        std::function<void()> deliver;
    };

    static GroupSettings settings() { return GroupSettings(); }

    int chance(int limit) { return static_cast<int>(m_random() % static_cast<uint64_t>(limit)); }

    /// Delivers a message later, in any order, or loses it.
    void send(const std::string& from, const std::string& to, std::function<void()> deliver)
    {
        if (m_cut.count({ from, to }) || m_cut.count({ to, from }))
            return;
        if (m_faults && chance(10) == 0)
            return;
        const int maxDelayMs = m_faults && chance(10) == 0 ? 2000 : 40;
        m_messages.emplace(m_now + milliseconds(1 + chance(maxDelayMs)), Message { std::move(deliver) });
    }

    /// Calls a member and returns its answer; either message may be lost.
    template <typename Reply>
    void call(Candidate& candidate, const std::string& name, std::function<Reply(ModelMember&)> serve,
        std::function<void(const Reply&)> answer)
    {
        Candidate* const caller = &candidate;
        send(caller->name, name, [this, caller, name, serve, answer] {
            ModelMember& member = m_members[name];
            if (!member.up)
                return;
            const Reply reply = serve(member);
            send(name, caller->name, [reply, answer] { answer(reply); });
        });
    }

    void step()
    {
        while (!m_messages.empty() && m_messages.begin()->first <= m_now) {
            const Message message = m_messages.begin()->second;
            m_messages.erase(m_messages.begin());
            message.deliver();
        }
        if (m_faults && chance(60) == 0)
            disturb();
        replicate();
        for (const std::unique_ptr<Candidate>& candidate : m_candidates)
            drive(*candidate);
        ++m_steps;
    }

    void disturb()
    {
        const std::string name = m_names[static_cast<size_t>(chance(static_cast<int>(m_names.size())))];
        const std::string other = m_names[static_cast<size_t>(chance(static_cast<int>(m_names.size())))];
        ModelMember& member = m_members[name];
        if (chance(3) == 0)
            member.up = !member.up; // A frozen member keeps its state, a crashed one its log and term.
        else if (chance(2) == 0)
            m_cut.insert({ "host" + std::to_string(chance(2)), name });
        else if (chance(2) == 0 && name != other)
            m_cut.insert({ name, other });
        else
            m_cut.clear();
        if (member.up && chance(8) == 0 && member.role == MemberRole::Primary)
            member.role = MemberRole::Replica; // Restarted.
    }

    void replicate()
    {
        for (const std::pair<const std::string, ModelMember>& entry : m_members) {
            if (!entry.second.up || entry.second.role != MemberRole::Primary || m_steps % 3 != 0)
                continue;
            const uint64_t term = entry.second.term;
            const std::vector<Entry> log = entry.second.log;
            for (const std::string& name : m_names) {
                if (name != entry.first)
                    send(entry.first, name, [this, name, term, log] { accept(m_members[name], term, log); });
            }
        }
    }

    void accept(ModelMember& member, uint64_t term, const std::vector<Entry>& log)
    {
        if (!member.up || term < member.term || (term == member.term && member.role == MemberRole::Primary))
            return;
        if (member.log.back().term == term && member.log.size() > log.size())
            return; // An older message of the same primary.
        member.term = term;
        member.role = MemberRole::Replica;
        member.primaryLastSeen = m_now;
        member.log = log;
    }

    void drive(Candidate& candidate)
    {
        if (m_steps % 25 == 0) {
            for (const std::string& name : m_names)
                probe(candidate, name);
            for (const std::unique_ptr<Candidate>& other : m_candidates) {
                if (other.get() != &candidate)
                    other->promotion.onPeerContact(
                        candidate.name, m_now - candidate.promotion.lastPrimaryContact(), m_now);
            }
            write(candidate);
        }
        if (m_steps % 5 == 0)
            carryOut(candidate, candidate.promotion.tick(m_now));
    }

    void probe(Candidate& candidate, const std::string& name)
    {
        Candidate* const caller = &candidate;
        const Instant sent = m_now;
        call<MemberStatus>(
            candidate, name,
            [this](ModelMember& member) {
                MemberStatus status;
                status.term = member.term;
                status.role = member.role;
                status.received = member.received();
                status.primarySilence = m_now - member.primaryLastSeen;
                return status;
            },
            [this, caller, name, sent](const MemberStatus& status) {
                carryOut(*caller, caller->promotion.onStatus(name, status, sent, m_now));
                settle(caller->tracker.received(name, status.received));
            });
    }

    void write(Candidate& candidate)
    {
        Candidate* const caller = &candidate;
        const std::string name = candidate.promotion.primary();
        const uint64_t term = candidate.promotion.primaryTerm();
        if (name.empty())
            return;
        const uint64_t id = ++m_lastWrite;
        call<LogPosition>(
            candidate, name,
            [term, id](ModelMember& member) {
                if (member.role != MemberRole::Primary || member.term != term)
                    return LogPosition {};
                member.log.push_back(Entry { term, id });
                return member.received();
            },
            [this, caller, name, id](const LogPosition& entry) {
                if (entry.term == 0)
                    return;
                if (m_rules.acknowledgeOnPrimaryOnly)
                    acknowledge(id, entry);
                settle(caller->tracker.executed(id, name, entry, m_now + std::chrono::seconds(5)));
            });
    }

    void settle(const AckTracker::Actions& actions)
    {
        for (const AckTracker::Acknowledge& action : actions.acknowledge)
            acknowledge(action.write, action.position);
    }

    void acknowledge(uint64_t id, const LogPosition& entry)
    {
        m_acknowledged[id] = entry;
        m_lastAcknowledged = m_now;
        size_t holders = 0;
        for (const std::pair<const std::string, ModelMember>& member : m_members)
            holders += holds(member.second, id, entry) ? 1 : 0;
        // Present primaries of higher terms are checked here, later ones when they are promoted.
        for (const std::pair<const uint64_t, std::string>& later : m_primaryOfTerm) {
            const ModelMember& member = m_members[later.second];
            if (later.first > entry.term && member.term == later.first && member.role == MemberRole::Primary
                && !holds(member, id, entry))
                throw Violation("acknowledged a write that a later primary lacks");
        }
        if (holders == 0)
            throw Violation("acknowledged a write that no member holds");
    }

    static bool holds(const ModelMember& member, uint64_t id, const LogPosition& entry)
    {
        return member.log.size() >= entry.position && member.log[entry.position - 1].write == id;
    }

    void carryOut(Candidate& candidate, const std::vector<PromotionAction>& actions)
    {
        for (const PromotionAction& action : actions) {
            if (const ProbeMember* probeAction = std::get_if<ProbeMember>(&action))
                probe(candidate, probeAction->member);
            else if (const FenceMember* fenceAction = std::get_if<FenceMember>(&action))
                fence(candidate, *fenceAction);
            else if (const PromoteMember* promoteAction = std::get_if<PromoteMember>(&action))
                promote(candidate, *promoteAction);
            else
                settle(candidate.tracker.higherTerm(std::get<PrimaryKnown>(action).term));
        }
    }

    void fence(Candidate& candidate, const FenceMember& action)
    {
        Candidate* const caller = &candidate;
        call<FenceReply>(
            candidate, action.member,
            [action](ModelMember& member) {
                FenceReply reply;
                reply.granted
                    = action.term > member.term || (action.term == member.term && action.candidate == member.candidate);
                if (reply.granted && action.term > member.term) {
                    member.term = action.term;
                    member.candidate = action.candidate;
                    member.role = MemberRole::Fenced;
                }
                reply.term = member.term;
                reply.received = member.received();
                return reply;
            },
            [this, caller, action](const FenceReply& reply) {
                FenceReply seen = reply;
                if (m_rules.promoteFirstGranted)
                    seen.received = { 1, 1 }; // All logs look the same, so the first one is taken.
                carryOut(*caller, caller->promotion.onFenceReply(action.member, action.term, seen, m_now));
            });
    }

    void promote(Candidate& candidate, const PromoteMember& action)
    {
        Candidate* const caller = &candidate;
        call<bool>(
            candidate, action.member,
            [this, action](ModelMember& member) {
                if (member.term != action.term || member.candidate != action.candidate)
                    return false;
                if (member.role != MemberRole::Primary && member.log.back().term != action.term)
                    becomePrimary(action.member, member);
                return member.role == MemberRole::Primary;
            },
            [this, caller, action](const bool& promoted) {
                carryOut(*caller, caller->promotion.onPromoteReply(action.member, action.term, promoted, m_now));
            });
    }

    void becomePrimary(const std::string& name, ModelMember& member)
    {
        const std::pair<std::map<uint64_t, std::string>::iterator, bool> added
            = m_primaryOfTerm.emplace(member.term, name);
        if (!added.second && added.first->second != name)
            throw Violation("two primaries in one term");
        for (const std::pair<const uint64_t, LogPosition>& write : m_acknowledged) {
            if (write.second.term < member.term && !holds(member, write.first, write.second))
                throw Violation("a later primary lacks an acknowledged write");
        }
        member.role = MemberRole::Primary;
        member.primaryLastSeen = m_now;
        member.log.push_back(Entry { member.term, 0 });
    }

    std::mt19937_64 m_random;
    Rules m_rules;
    Instant m_now { std::chrono::seconds(100) };
    uint64_t m_steps = 0;
    bool m_faults = false;
    std::vector<std::string> m_names;
    std::map<std::string, ModelMember> m_members;
    std::vector<std::unique_ptr<Candidate>> m_candidates;
    std::multimap<Instant, Message> m_messages;
    std::set<std::pair<std::string, std::string>> m_cut;
    std::map<uint64_t, std::string> m_primaryOfTerm;
    std::map<uint64_t, LogPosition> m_acknowledged;
    Instant m_lastAcknowledged = m_now;
    uint64_t m_lastWrite = 0;
};

/// Returns how many of the seeds 1 to limit break an invariant under broken rules.
size_t violations(Rules rules, uint64_t limit)
{
    size_t n = 0;
    for (uint64_t seed = 1; seed <= limit; ++seed) {
        try {
            Model model(seed, 3, rules);
            model.run(std::chrono::seconds(40), std::chrono::seconds(1));
        } catch (const Violation&) {
            ++n;
        }
    }
    return n;
}

} // namespace

// Guards against two primaries in a term, lost acknowledged writes, and a group that stays without a primary after all
// faults have ended.
BOOST_AUTO_TEST_CASE(acknowledged_writes_survive_any_sequence_of_faults)
{
    const bool held = rc::check("acknowledged writes are in every later primary's log", [] {
        const uint64_t seed = *rc::gen::arbitrary<uint64_t>();
        const size_t members = *rc::gen::element<size_t>(3, 3, 4, 5);
        RC_LOG() << "model seed " << seed << ", members " << members << std::endl;
        Model model(seed, members, Rules());
        model.run(std::chrono::seconds(40), std::chrono::seconds(20));
        RC_ASSERT(model.sinceAcknowledged() < std::chrono::seconds(2));
        RC_ASSERT(model.allFollow());
        RC_CLASSIFY(model.terms() > 3, "more than two promotions");
    });
    BOOST_TEST(held);
}

// Guards against a model that cannot detect a fault.
BOOST_AUTO_TEST_CASE(broken_rules_are_detected)
{
    Rules primaryOnly;
    primaryOnly.acknowledgeOnPrimaryOnly = true;
    Rules firstGranted;
    firstGranted.promoteFirstGranted = true;
    Rules sharedName;
    sharedName.sharedCandidateName = true;
    const size_t byPrimaryOnly = violations(primaryOnly, 40);
    const size_t byFirstGranted = violations(firstGranted, 200);
    const size_t bySharedName = violations(sharedName, 600);
    BOOST_TEST_MESSAGE("violations: acknowledged on the primary only "
        << byPrimaryOnly << " of 40, first granted " << byFirstGranted << " of 200, shared candidate name "
        << bySharedName << " of 600");
    BOOST_TEST(byPrimaryOnly > 0U);
    BOOST_TEST(byFirstGranted > 0U);
    BOOST_TEST(bySharedName > 0U);
    BOOST_TEST(violations(Rules(), 200) == 0U);
}

// Guards against a failover that takes longer than 3 s, also if a second one follows.
BOOST_AUTO_TEST_CASE(killed_primary_is_replaced_within_three_seconds_twice)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        Model model(seed, 5, Rules());
        model.advance(std::chrono::seconds(3));
        for (const uint64_t term : { 1U, 2U }) {
            BOOST_REQUIRE(model.promotion(0).primaryTerm() >= term);
            const uint64_t before = model.terms();
            model.kill(model.promotion(0).primary());
            model.advance(std::chrono::seconds(3));
            BOOST_TEST(model.terms() > before, "seed " << seed);
            BOOST_TEST((model.sinceAcknowledged() < std::chrono::seconds(1)), "seed " << seed);
        }
    }
}

// Guards against a member that refuses the primary permanently because the candidate that fenced it has died.
BOOST_AUTO_TEST_CASE(stranded_member_is_brought_back)
{
    Model model(1, 3, Rules());
    model.advance(std::chrono::seconds(2));
    model.strand("m2");
    model.advance(std::chrono::seconds(8));
    BOOST_TEST(model.allFollow());
    BOOST_TEST(model.promotion(0).primary() == "m0");
}

// Guards against a promotion when one candidate cannot reach a primary that its replicas still reach.
BOOST_AUTO_TEST_CASE(primary_unreachable_by_one_owner_is_kept)
{
    Model model(1, 3, Rules());
    model.advance(std::chrono::seconds(2));
    model.cut(0, "m0");
    model.advance(std::chrono::seconds(20));
    BOOST_TEST(model.rounds() == 0U);
    model.cut(1, "m0");
    model.advance(std::chrono::seconds(12));
    BOOST_TEST(model.terms() > 1U); // No owner has reached it for 6 s.
}

// Guards against a primary that its replicas cannot reach and that is promoted repeatedly because of its longer log.
BOOST_AUTO_TEST_CASE(primary_without_replicas_is_replaced)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        Model model(seed, 3, Rules());
        model.advance(std::chrono::seconds(2));
        model.cutReplication("m0", "m1");
        model.cutReplication("m0", "m2");
        model.advance(std::chrono::seconds(9));
        BOOST_TEST(model.terms() == 2U, "seed " << seed << ", term " << model.terms());
        BOOST_TEST((model.sinceAcknowledged() < std::chrono::seconds(1)), "seed " << seed);
    }
}

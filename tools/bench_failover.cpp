#include "ack_tracker.h"
#include "bench.h"
#include "promotion.h"
#include <algorithm>
#include <set>

namespace plantainwall::bench {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr Duration writeInterval = milliseconds(20);
    constexpr Duration heartbeat = milliseconds(200); // Of the database stand-in.
    constexpr Duration watchPause = milliseconds(20); // As GroupShard::watchLater().
    constexpr Duration tickInterval = milliseconds(50);
    constexpr Duration pollAnswer = milliseconds(500); // Time beyond the long poll until a call counts as failed.
    constexpr Duration warmUp = seconds(5);

    enum class Fault : uint8_t { Kill, Cut, Freeze, Slow, VerySlow, StoreDown, Count };

    struct FaultCase {
        std::string_view name;
        Duration length; ///< Time until the member works again.
        bool failover; ///< false: a promotion is a false one.
    };

    constexpr FaultCase faultCases[] = {
        { "kill", seconds(100), true },
        { "cut", seconds(8), true },
        { "freeze", seconds(8), true },
        { "slow", seconds(10), false },
        { "very_slow", seconds(5), false },
        { "kill_store_down", seconds(100), true },
    };
    static_assert(std::size(faultCases) == static_cast<size_t>(Fault::Count), "one entry for each Fault");

    struct Entry {
        uint64_t term = 0;
        uint64_t write = 0; ///< 0: the barrier of a term.
    };

    /// A database by the rules of section 5 of docs/design.md.
    struct ModelMember {
        uint64_t term = 1;
        MemberRole role = MemberRole::Replica;
        std::string candidate;
        std::vector<Entry> log { { 1, 0 } };
        Instant heardPrimary {};
        bool up = true;
        bool cut = false;

        LogPosition received() const { return { log.back().term, log.size() }; }
    };

    struct Outcome {
        double gap = 0; ///< ms
        uint64_t promotions = 0;
        uint64_t acknowledged = 0;
        uint64_t lost = 0;
    };

    /// One group with a member and its owner in each data centre.
    class FailoverRun {
    public:
        FailoverRun(const Deployment& deployment, Fault fault, uint64_t seed)
            : m_deployment(deployment)
            , m_fault(fault)
            , m_queue(seed)
            , m_members(deployment.dataCentres.size())
        {
            for (size_t i = 0; i < m_members.size(); ++i)
                m_names.push_back("m" + std::to_string(i));
            m_primary = m_queue.pick(m_members.size());
            m_members[m_primary].role = MemberRole::Primary;
            for (size_t i = 0; i < m_members.size(); ++i)
                m_owners.push_back(std::make_unique<Owner>(m_names, m_queue, i));
        }

        Outcome run()
        {
            for (size_t i = 0; i < m_owners.size(); ++i)
                startOwner(i);
            for (size_t i = 0; i < m_members.size(); ++i)
                m_queue.every(heartbeat, heartbeat, [this, i] { replicate(i); });
            m_queue.every(milliseconds(100), writeInterval, [this] { write(); });
            const Duration at = warmUp + fromMicroseconds(m_queue.uniform(0, 500e3));
            m_queue.after(at, [this] { beginFault(); });
            const Duration length = faultCases[static_cast<size_t>(m_fault)].length;
            m_queue.after(at + length, [this] { endFault(); });
            m_queue.run(Instant(at + seconds(25)));
            return evaluate();
        }

    private:
        struct Owner {
            Owner(const std::vector<std::string>& names, EventQueue& queue, size_t index)
                : promotion(GroupSettings(), "host" + std::to_string(index), names, queue.random(), queue.now())
                , tracker(names)
            {
                std::vector<std::string> others;
                for (size_t i = 0; i < names.size(); ++i) {
                    if (i != index)
                        others.push_back("host" + std::to_string(i));
                }
                promotion.setCandidates(static_cast<unsigned>(index), others);
            }
            Promotion promotion;
            AckTracker tracker;
        };

        void startOwner(size_t i)
        {
            for (size_t member = 0; member < m_members.size(); ++member)
                poll(i, member, false);
            m_queue.every(tickInterval, tickInterval, [this, i] { carryOut(i, m_owners[i]->promotion.tick(now())); });
            m_queue.every(seconds(1), seconds(1), [this, i] { gossip(i); });
        }

        Instant now() const { return m_queue.now(); }
        bool reaches(size_t a, size_t b) const { return a == b || (!m_members[a].cut && !m_members[b].cut); }

        /// A cut separates the whole data centre of the primary, entry host included.
        void send(size_t from, size_t to, const std::function<void()>& deliver)
        {
            if (!reaches(from, to))
                return;
            m_queue.after(m_deployment.latency(from, to), [this, from, to, deliver] {
                if (reaches(from, to))
                    deliver();
            });
        }

        Duration answerTime(size_t member)
        {
            if (!m_slow || member != m_primary)
                return Duration::zero();
            return fromMicroseconds(m_fault == Fault::Slow ? m_queue.uniform(100e3, 900e3) : 1500e3);
        }

        /// Calls a member; a frozen or killed one does not answer.
        template <typename Reply>
        void call(size_t owner, size_t member, Duration timeout, std::function<Reply(ModelMember&)> serve,
            std::function<void(const Reply&)> answer)
        {
            const Instant sent = now();
            send(owner, member, [=] {
                m_queue.after(answerTime(member), [=] {
                    if (!m_members[member].up)
                        return;
                    const Reply reply = serve(m_members[member]);
                    send(member, owner, [=] {
                        if (now() - sent <= timeout)
                            answer(reply);
                    });
                });
            });
        }

        MemberStatus statusOf(const ModelMember& member) const
        {
            MemberStatus status;
            status.term = member.term;
            status.role = member.role;
            status.received = member.received();
            status.applied = status.received;
            if (member.role != MemberRole::Primary)
                status.primarySilence = std::chrono::duration_cast<Duration>(now() - member.heardPrimary);
            return status;
        }

        void onStatus(size_t owner, size_t member, const MemberStatus& status, Instant sent)
        {
            carryOut(owner, m_owners[owner]->promotion.onStatus(m_names[member], status, sent, now()));
            settle(m_owners[owner]->tracker.received(m_names[member], status.received));
        }

        /// Status watch: the next call follows the answer, or probeInterval after a call without one.
        void poll(size_t owner, size_t member, bool known)
        {
            const GroupSettings settings;
            const Instant sent = now();
            const Duration timeout = known ? settings.probeInterval + pollAnswer : settings.probeTimeout;
            const std::shared_ptr<bool> answered = std::make_shared<bool>(false);
            call<MemberStatus>(
                owner, member, timeout, [this](ModelMember& model) { return statusOf(model); },
                [=](const MemberStatus& status) {
                    *answered = true;
                    onStatus(owner, member, status, sent);
                    m_queue.after(watchPause, [=] { poll(owner, member, true); });
                });
            m_queue.after(timeout + Duration(1), [=] {
                if (!*answered)
                    m_queue.after(settings.probeInterval, [=] { poll(owner, member, false); });
            });
        }

        void probe(size_t owner, size_t member)
        {
            const Instant sent = now();
            call<MemberStatus>(
                owner, member, GroupSettings().probeTimeout, [this](ModelMember& model) { return statusOf(model); },
                [=](const MemberStatus& status) { onStatus(owner, member, status, sent); });
        }

        void gossip(size_t owner)
        {
            for (size_t other = 0; other < m_owners.size(); ++other) {
                if (other == owner)
                    continue;
                const Duration age
                    = std::chrono::duration_cast<Duration>(now() - m_owners[owner]->promotion.lastPrimaryContact());
                send(owner, other,
                    [=] { m_owners[other]->promotion.onPeerContact("host" + std::to_string(owner), age, now()); });
            }
        }

        /// Replication goes on while a slow primary answers calls late.
        void replicate(size_t from)
        {
            const ModelMember& source = m_members[from];
            if (!source.up || source.role != MemberRole::Primary)
                return;
            for (size_t to = 0; to < m_members.size(); ++to) {
                if (to != from)
                    send(from, to, [this, to, term = source.term, log = source.log] { accept(to, term, log); });
            }
        }

        void accept(size_t to, uint64_t term, const std::vector<Entry>& log)
        {
            ModelMember& member = m_members[to];
            if (!member.up || term < member.term || (term == member.term && member.role == MemberRole::Primary))
                return;
            if (member.log.back().term == term && member.log.size() > log.size())
                return;
            member.term = term;
            member.role = MemberRole::Replica;
            member.heardPrimary = now();
            member.log = log;
        }

        /// Every owner that knows a primary which it owns writes; callers reach it from other data centres.
        void write()
        {
            for (size_t owner = 0; owner < m_owners.size(); ++owner) {
                const std::string primary = m_owners[owner]->promotion.primary();
                const uint64_t term = m_owners[owner]->promotion.primaryTerm();
                if (primary.empty() || indexOf(primary) != owner)
                    continue;
                const uint64_t id = ++m_lastWrite;
                call<LogPosition>(
                    owner, owner, seconds(5),
                    [this, owner, term, id](ModelMember& member) {
                        if (member.role != MemberRole::Primary || member.term != term)
                            return LogPosition {};
                        member.log.push_back({ term, id });
                        replicate(owner);
                        return member.received();
                    },
                    [this, owner, primary, id](const LogPosition& entry) {
                        if (entry.term)
                            settle(m_owners[owner]->tracker.executed(id, primary, entry, now() + seconds(5)));
                    });
            }
        }

        size_t indexOf(const std::string& member) const { return static_cast<size_t>(member[1] - '0'); }

        void settle(const AckTracker::Actions& actions)
        {
            for (const AckTracker::Acknowledge& action : actions.acknowledge) {
                m_acknowledged.insert(action.write);
                m_longestGap = std::max(m_longestGap, std::chrono::duration_cast<Duration>(now() - m_lastAcknowledged));
                m_lastAcknowledged = now();
            }
        }

        void carryOut(size_t owner, const std::vector<PromotionAction>& actions)
        {
            for (const PromotionAction& action : actions) {
                if (const ProbeMember* probeAction = std::get_if<ProbeMember>(&action))
                    probe(owner, indexOf(probeAction->member));
                else if (const FenceMember* fenceAction = std::get_if<FenceMember>(&action))
                    fence(owner, *fenceAction);
                else if (const PromoteMember* promoteAction = std::get_if<PromoteMember>(&action))
                    promote(owner, *promoteAction);
                else
                    primaryKnown(owner, std::get<PrimaryKnown>(action));
            }
        }

        void primaryKnown(size_t owner, const PrimaryKnown& change)
        {
            if (change.member.empty())
                return;
            settle(m_owners[owner]->tracker.higherTerm(change.term));
            for (size_t member = 0; member < m_members.size(); ++member)
                probe(owner, member);
        }

        void fence(size_t owner, const FenceMember& action)
        {
            call<FenceReply>(
                owner, indexOf(action.member), GroupSettings().fenceTimeout,
                [action](ModelMember& member) {
                    FenceReply reply;
                    reply.granted = action.term > member.term
                        || (action.term == member.term && action.candidate == member.candidate);
                    if (action.term > member.term) {
                        member.term = action.term;
                        member.candidate = action.candidate;
                        member.role = MemberRole::Fenced;
                    }
                    reply.term = member.term;
                    reply.received = member.received();
                    return reply;
                },
                [this, owner, action](const FenceReply& reply) {
                    carryOut(owner, m_owners[owner]->promotion.onFenceReply(action.member, action.term, reply, now()));
                });
        }

        void promote(size_t owner, const PromoteMember& action)
        {
            const size_t index = indexOf(action.member);
            call<bool>(
                owner, index, GroupSettings().fenceTimeout,
                [this, action, index](ModelMember& member) {
                    if (member.term != action.term || member.candidate != action.candidate)
                        return false;
                    if (member.role != MemberRole::Primary) {
                        member.role = MemberRole::Primary;
                        member.log.push_back({ action.term, 0 });
                        ++m_promotions;
                        replicate(index);
                    }
                    return true;
                },
                [this, owner, action](const bool& promoted) {
                    carryOut(
                        owner, m_owners[owner]->promotion.onPromoteReply(action.member, action.term, promoted, now()));
                });
        }

        void beginFault()
        {
            m_longestGap = Duration::zero();
            ModelMember& member = m_members[m_primary];
            member.cut = m_fault == Fault::Cut;
            m_slow = m_fault == Fault::Slow || m_fault == Fault::VerySlow;
            member.up = member.cut || m_slow;
        }

        void endFault()
        {
            m_members[m_primary].up = true;
            m_members[m_primary].cut = false;
            m_slow = false;
        }

        Outcome evaluate() const
        {
            Outcome outcome;
            outcome.promotions = m_promotions;
            outcome.acknowledged = m_acknowledged.size();
            outcome.gap = bench::milliseconds(
                std::max<Duration>(m_longestGap, std::chrono::duration_cast<Duration>(now() - m_lastAcknowledged)));
            const ModelMember* last = nullptr;
            for (const ModelMember& member : m_members) {
                if (member.role == MemberRole::Primary && (!last || member.term > last->term))
                    last = &member;
            }
            std::set<uint64_t> kept;
            if (last) {
                for (const Entry& entry : last->log)
                    kept.insert(entry.write);
            }
            for (const uint64_t write : m_acknowledged)
                outcome.lost += kept.count(write) ? 0 : 1;
            return outcome;
        }

        const Deployment& m_deployment;
        Fault m_fault;
        EventQueue m_queue;
        std::vector<ModelMember> m_members;
        std::vector<std::string> m_names;
        std::vector<std::unique_ptr<Owner>> m_owners;
        size_t m_primary = 0;
        bool m_slow = false;
        uint64_t m_lastWrite = 0;
        uint64_t m_promotions = 0;
        std::set<uint64_t> m_acknowledged;
        Instant m_lastAcknowledged {};
        Duration m_longestGap {};
    };

    struct Summary {
        std::vector<double> gaps;
        double falsePromotions = 0;
        double lost = 0;
        double acknowledged = 0;
        double noPromotion = 0; ///< Runs in which a failed primary was not replaced.
    };

    Summary runCase(const Deployment& deployment, size_t index, const RunOptions& options)
    {
        Summary summary;
        const FaultCase& faultCase = faultCases[index];
        const unsigned runs = options.quick ? 10 : 100;
        for (unsigned i = 0; i < runs; ++i) {
            const uint64_t seed = options.seed * 100'000 + index * 1000 + i;
            const Outcome outcome = FailoverRun(deployment, static_cast<Fault>(index), seed).run();
            summary.gaps.push_back(outcome.gap);
            summary.lost += static_cast<double>(outcome.lost);
            summary.acknowledged += static_cast<double>(outcome.acknowledged);
            const uint64_t expected = faultCase.failover ? 1 : 0;
            summary.falsePromotions += outcome.promotions > expected ? double(outcome.promotions - expected) : 0;
            summary.noPromotion += outcome.promotions < expected ? 1 : 0;
        }
        return summary;
    }

} // namespace

void benchFailover(Report& report)
{
    for (const Deployment& deployment : deployments()) {
        for (size_t i = 0; i < std::size(faultCases); ++i) {
            Summary summary = runCase(deployment, i, report.options());
            const std::string name(faultCases[i].name);
            Result gap { "failover_write_gap_ms", deployment.name, name, percentile(summary.gaps, 1), "ms", {}, {} };
            gap.judged = faultCases[i].failover; // Without a failover, the slowness itself delays writes.
            gap.details["p50"] = percentile(summary.gaps, 0.5);
            gap.details["runs"] = static_cast<double>(summary.gaps.size());
            gap.details["not_replaced"] = summary.noPromotion;
            report.add(gap);
            report.add({ "false_promotions", deployment.name, name, summary.falsePromotions, "promotions", {}, {} });
            Result lost { "acknowledged_writes_lost", deployment.name, name, summary.lost, "writes", {}, {} };
            lost.details["acknowledged"] = summary.acknowledged;
            report.add(lost);
        }
    }
}

} // namespace plantainwall::bench

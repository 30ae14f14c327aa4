#include "controller_group.h"
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct Write {
    uint64_t term = 0;
    std::string requestId;
};

/// A member of a fake group. Replication is instantaneous unless it is held back.
struct FakeMember {
    std::string name;
    MemberRole role = MemberRole::Replica;
    uint64_t term = 1;
    std::string candidate;
    std::vector<Write> log { { 1, "" } };
    bool up = true;
    bool frozen = false; ///< Never answers an execute call, and no other call either while up is false.
    bool leaving = false;
    bool replicates = true;
    unsigned loseAnswers = 0; ///< Execute calls that run, but whose answer is lost.
    unsigned dropCalls = 0; ///< Execute calls that never arrive although they were sent.
    bool busy = false; ///< Refuses execute calls as not run.
    unsigned maxOpen = 0;
    unsigned nextConnection = 0;
    std::set<std::string> connections;
    std::set<std::string> closed;
    std::chrono::steady_clock::time_point lastSeen = std::chrono::steady_clock::now();
};

struct FakeGroup {
    std::mutex mutex;
    std::map<std::string, FakeMember> members;
    std::shared_ptr<Scheduler> scheduler = makeScheduler();

    void replicate()
    {
        for (std::pair<const std::string, FakeMember>& from : members) {
            if (!from.second.up || from.second.role != MemberRole::Primary)
                continue;
            for (std::pair<const std::string, FakeMember>& to : members) {
                if (&to == &from || !to.second.up || to.second.term > from.second.term || !to.second.replicates)
                    continue;
                to.second.term = from.second.term;
                to.second.role = MemberRole::Replica;
                to.second.log = from.second.log;
                to.second.lastSeen = std::chrono::steady_clock::now();
            }
        }
    }
};

/// Answers 2 ms later on the scheduler's thread, like a network.
class FakeDatabase final : public Database {
public:
    FakeDatabase(FakeGroup& group, std::string name)
        : m_group(group)
        , m_name(std::move(name))
    {
    }

    pplx::task<MemberStatus> status(Duration) override
    {
        return later<MemberStatus>([this] { return statusNow(); });
    }

    pplx::task<MemberStatus> waitForChange(LogPosition, LogPosition, Duration) override
    {
        return later<MemberStatus>([this] { return statusNow(); });
    }

    pplx::task<FenceReply> fence(uint64_t term, std::string_view candidate, Duration) override
    {
        return later<FenceReply>([this, term, who = std::string(candidate)] {
            FakeMember& member = reachable();
            FenceReply reply;
            reply.granted = term > member.term || (term == member.term && who == member.candidate);
            if (reply.granted) {
                member.term = term;
                member.candidate = who;
                member.role = MemberRole::Fenced;
            }
            reply.term = member.term;
            reply.received = { member.log.back().term, member.log.size() };
            return reply;
        });
    }

    pplx::task<bool> promote(uint64_t term, std::string_view, Duration) override
    {
        return later<bool>([this, term] {
            FakeMember& member = reachable();
            if (member.term != term)
                return false;
            member.role = MemberRole::Primary;
            member.log.push_back(Write { term, "" });
            return true;
        });
    }

    pplx::task<std::string> openConnection(Duration) override
    {
        return later<std::string>([this] {
            FakeMember& member = reachable();
            std::string id = m_name + "-" + std::to_string(++member.nextConnection);
            member.connections.insert(id);
            member.maxOpen = std::max(member.maxOpen, static_cast<unsigned>(member.connections.size()));
            return id;
        });
    }

    pplx::task<void> closeConnection(std::string_view connection) override
    {
        return later<bool>([this, id = std::string(connection)] {
            FakeMember& member = reachable();
            member.connections.erase(id);
            member.closed.insert(id);
            return true;
        }).then([](bool) {});
    }

    pplx::task<ExecuteOutcome> execute(const ExecuteRequest& request) override
    {
        return later<ExecuteOutcome>([this, request] { return executeNow(request); });
    }

    pplx::task<ExecuteOutcome> outcome(std::string_view requestId, Duration) override
    {
        return later<ExecuteOutcome>([this, id = std::string(requestId)] {
            FakeMember& member = reachable();
            ExecuteOutcome outcome;
            outcome.sendState = SendState::Answered;
            outcome.code = ResultCode::OutcomeNotFound;
            for (size_t i = 0; i < member.log.size(); ++i) {
                if (member.log[i].requestId != id)
                    continue;
                outcome.code = ResultCode::Ok;
                outcome.position = { member.log[i].term, i + 1 };
            }
            return outcome;
        });
    }

private:
    template <typename Result> pplx::task<Result> later(std::function<Result()> work)
    {
        pplx::task_completion_event<Result> done;
        m_group.scheduler->schedule(milliseconds(2), [this, done, work] {
            const std::lock_guard<std::mutex> lock(m_group.mutex);
            m_group.replicate();
            const FakeMember& member = m_group.members[m_name];
            if (std::is_same_v<Result, ExecuteOutcome> && member.frozen)
                return;
            try {
                done.set(work());
            } catch (const std::exception&) {
                done.set_exception(std::current_exception());
            }
        });
        return pplx::task<Result>(done);
    }

    FakeMember& reachable()
    {
        FakeMember& member = m_group.members[m_name];
        if (!member.up)
            throw CallFailed(SendState::MaybeSent, "no answer");
        return member;
    }

    MemberStatus statusNow()
    {
        const FakeMember& member = reachable();
        MemberStatus status;
        status.term = member.term;
        status.role = member.role;
        status.received = { member.log.back().term, member.log.size() };
        status.applied = status.received;
        status.leaving = member.leaving;
        status.slots = 8; // More than half of the connections, so that the connections are the limit.
        status.connectionLimit = 8;
        status.primarySilence
            = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - member.lastSeen);
        return status;
    }

    ExecuteOutcome executeNow(const ExecuteRequest& request)
    {
        FakeMember& member = m_group.members[m_name];
        ExecuteOutcome outcome;
        outcome.sendState = SendState::MaybeSent;
        outcome.code = ResultCode::OutcomeUnknown;
        if (!member.up)
            return outcome;
        if (member.dropCalls > 0) {
            --member.dropCalls;
            return outcome;
        }
        outcome.sendState = SendState::Answered;
        if (member.busy) {
            outcome.code = ResultCode::QueueFull;
            return outcome;
        }
        if (member.connections.count(request.connection) == 0) {
            outcome.code = ResultCode::TransactionUnknown;
            return outcome;
        }
        if (request.term != 0 && (member.role != MemberRole::Primary || member.term != request.term)) {
            outcome.code = ResultCode::NotPrimary;
            return outcome;
        }
        outcome.code = ResultCode::Ok;
        const bool commits = request.step == TransactionStep::None || request.step == TransactionStep::Commit;
        if (!request.readOnly && commits) {
            const std::vector<Write>::iterator it = std::find_if(member.log.begin(), member.log.end(),
                [&request](const Write& write) { return write.requestId == request.requestId; });
            if (it == member.log.end())
                member.log.push_back(Write { member.term, request.requestId });
        }
        outcome.position = { member.log.back().term, member.log.size() };
        outcome.results = { "done" };
        if (member.loseAnswers > 0) {
            --member.loseAnswers;
            outcome.sendState = SendState::MaybeSent;
            outcome.code = ResultCode::OutcomeUnknown;
        }
        return outcome;
    }

    FakeGroup& m_group;
    std::string m_name;
};

class FixedView final : public ConfigView, public ClusterView {
public:
    std::shared_ptr<ConfigSnapshot> snapshot = std::make_shared<ConfigSnapshot>();
    std::atomic<bool> owner { true };

    std::shared_ptr<const ConfigSnapshot> current() const override { return snapshot; }
    Duration age(Instant) const override { return Duration::zero(); }
    std::string_view selfName() const override { return "host0"; }
    std::vector<HostInfo> hosts() const override { return {}; }
    std::optional<HostInfo> ownerOf(std::string_view, const MemberConfig&) const override
    {
        HostInfo host;
        host.config.name = owner ? "host0" : "host1";
        return host;
    }
    std::optional<HostInfo> hostFor(std::string_view, std::string_view) const override { return std::nullopt; }
};

struct Fixture {
    FakeGroup group;
    std::shared_ptr<FixedView> view = std::make_shared<FixedView>();
    std::shared_ptr<GroupController> controller;
    unsigned nextId = 0;

    Fixture()
    {
        GroupConfig config;
        config.name = "orders";
        for (const char* name : { "m0", "m1", "m2" }) {
            MemberConfig member;
            member.name = name;
            member.region = member.name == "m2" ? "far" : "near";
            config.members.push_back(member);
            group.members[name].name = name;
        }
        group.members["m0"].role = MemberRole::Primary;
        view->snapshot->groups["orders"] = config;
        Settings settings;
        settings.host = "host0";
        settings.region = "near";
        GroupEnvironment environment;
        environment.makeDatabase
            = [this](const MemberConfig& member) { return std::make_shared<FakeDatabase>(group, member.name); };
        environment.now = [] {
            return Instant(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
        };
        environment.scheduler = group.scheduler;
        environment.seed = 1;
        controller = std::make_shared<GroupController>(settings, view, view, environment);
        controller->start();
        waitFor([this] { return primary() == "m0"; }, "first primary");
    }

    ~Fixture()
    {
        controller->stop();
        std::this_thread::sleep_for(milliseconds(100)); // Lets calls in progress end before the group goes away.
    }

    std::string primary() { return controller->status().at(0).primary; }

    template <typename Condition> void waitFor(Condition condition, const char* what, Duration limit = seconds(10))
    {
        const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + limit;
        while (!condition()) {
            BOOST_REQUIRE_MESSAGE(std::chrono::steady_clock::now() < end, "timed out: " << what);
            std::this_thread::sleep_for(milliseconds(2));
        }
    }

    MemberRequest request(bool readOnly, const std::string& member = "m0")
    {
        MemberRequest request;
        request.group = "orders";
        request.member = member;
        request.customer = "hatter";
        request.requestId = "r" + std::to_string(++nextId);
        request.statements = { readOnly ? "GET a" : "PUT a 1" };
        request.readOnly = readOnly;
        request.timeLeft = seconds(3);
        return request;
    }

    MemberAnswer run(const MemberRequest& request) { return controller->execute(request).get(); }

    template <typename Change> void change(const std::string& member, Change change)
    {
        const std::lock_guard<std::mutex> lock(group.mutex);
        change(group.members[member]);
    }

    size_t copies(const std::string& member, const std::string& requestId)
    {
        const std::lock_guard<std::mutex> lock(group.mutex);
        const std::vector<Write>& log = group.members[member].log;
        return static_cast<size_t>(std::count_if(
            log.begin(), log.end(), [&requestId](const Write& write) { return write.requestId == requestId; }));
    }
};

} // namespace

// Guards against an acknowledgement before a majority holds the entry, and one that never comes.
BOOST_FIXTURE_TEST_CASE(writes_wait_for_a_majority, Fixture)
{
    const MemberAnswer answer = run(request(false));
    BOOST_TEST(resultCodeInfo(answer.code).name == "ok");
    BOOST_TEST((answer.position == LogPosition { 1, 2 }));
    change("m1", [](FakeMember& member) { member.replicates = false; });
    change("m2", [](FakeMember& member) { member.replicates = false; });
    MemberRequest held = request(false);
    held.timeLeft = milliseconds(200);
    const MemberAnswer unconfirmed = run(held);
    BOOST_TEST(resultCodeInfo(unconfirmed.code).name == "outcome_unknown");
    BOOST_TEST((unconfirmed.runState == RunState::Unknown));
    const MemberAnswer read = run(request(true));
    BOOST_TEST((read.position == LogPosition { 1, 2 }), "a read's token holds confirmed positions only");
    change("m1", [](FakeMember& member) { member.replicates = true; });
    BOOST_TEST(resultCodeInfo(run(request(false)).code).name == "ok");
}

// Guards against a write that runs twice, or is reported wrongly, when its answer or the call itself is lost.
BOOST_FIXTURE_TEST_CASE(lost_answers_are_settled_and_run_once, Fixture)
{
    change("m0", [](FakeMember& member) { member.loseAnswers = 1; });
    const MemberRequest lost = request(false);
    BOOST_TEST(resultCodeInfo(run(lost).code).name == "ok");
    BOOST_TEST(copies("m0", lost.requestId) == 1U);
    change("m0", [](FakeMember& member) { member.dropCalls = 1; });
    const MemberRequest dropped = request(false);
    BOOST_TEST(resultCodeInfo(run(dropped).code).name == "ok");
    BOOST_TEST(copies("m0", dropped.requestId) == 1U);
    BOOST_TEST(controller->counters().resends == 1U);
    const MemberAnswer found = controller->outcome("orders", dropped.requestId, seconds(1)).get();
    BOOST_TEST(resultCodeInfo(found.code).name == "ok");
    const MemberAnswer missing = controller->outcome("orders", "never-sent", seconds(1)).get();
    BOOST_TEST(resultCodeInfo(missing.code).name == "outcome_not_found");
    change("m0", [](FakeMember& member) { BOOST_TEST(member.closed.size() >= 2U, "doubtful connections are closed"); });
}

// Guards against "not run" after a refused second attempt while the first one may still arrive.
BOOST_FIXTURE_TEST_CASE(refused_resend_stays_unknown, Fixture)
{
    change("m0", [](FakeMember& member) {
        member.dropCalls = 1;
        member.busy = true;
    });
    MemberRequest doubtful = request(false);
    doubtful.timeLeft = milliseconds(400);
    BOOST_TEST(resultCodeInfo(run(doubtful).code).name == "outcome_unknown");
    const MemberAnswer refused = run(request(false));
    BOOST_TEST(resultCodeInfo(refused.code).name == "queue_full");
    BOOST_TEST((refused.runState == RunState::NotRun));
}

// Guards against a failover without end, a lost acknowledged write and a refusal that wrongly says "not run".
BOOST_FIXTURE_TEST_CASE(primary_is_replaced_and_its_writes_survive, Fixture)
{
    const MemberRequest kept = request(false);
    BOOST_TEST(resultCodeInfo(run(kept).code).name == "ok");
    change("m0", [](FakeMember& member) {
        member.up = false;
        member.frozen = true;
    });
    MemberRequest during = request(false);
    during.timeLeft = seconds(8);
    const MemberAnswer answer = run(during);
    BOOST_TEST(resultCodeInfo(answer.code).name == "not_primary", "settled at the new primary");
    waitFor([this] { return !primary().empty() && primary() != "m0"; }, "promotion");
    const std::string promoted = primary();
    BOOST_TEST(copies(promoted, kept.requestId) == 1U);
    BOOST_TEST(copies(promoted, during.requestId) == 0U);
    BOOST_TEST(resultCodeInfo(run(request(false, promoted)).code).name == "ok");
    change("m0", [](FakeMember& member) {
        member.up = true;
        member.frozen = false;
    });
    waitFor([this, &promoted] { return copies("m0", "r1") == 1U && primary() == promoted; }, "old primary follows");
    const MemberAnswer old = run(request(false, "m0"));
    BOOST_TEST(resultCodeInfo(old.code).name == "not_primary");
    BOOST_TEST(old.primaryHint == promoted);
}

// Guards against mixed statements, a transaction without its own connection, and one left open.
BOOST_FIXTURE_TEST_CASE(transactions_hold_a_connection_and_end, Fixture)
{
    MemberRequest begin = request(false);
    begin.step = TransactionStep::Begin;
    const std::string id = run(begin).transaction;
    BOOST_TEST(id.rfind("host0.m0.", 0) == 0U);
    MemberRequest step = request(false);
    step.transaction = id;
    step.step = TransactionStep::Continue;
    step.customer = "gnome";
    BOOST_TEST(resultCodeInfo(run(step).code).name == "transaction_unknown");
    step.customer = "hatter";
    BOOST_TEST(resultCodeInfo(run(step).code).name == "ok");
    step.step = TransactionStep::Commit;
    const MemberAnswer committed = run(step);
    BOOST_TEST(resultCodeInfo(committed.code).name == "ok");
    BOOST_TEST(committed.position.position > 1U);
    BOOST_TEST(resultCodeInfo(run(step).code).name == "transaction_unknown");

    step.transaction = run(begin).transaction;
    step.requestId = "lost-commit";
    change("m0", [](FakeMember& member) { member.dropCalls = 1; });
    const MemberAnswer dropped = run(step);
    BOOST_TEST(resultCodeInfo(dropped.code).name == "transaction_aborted");
    step.transaction = run(begin).transaction;
    step.requestId = "unanswered-commit";
    change("m0", [](FakeMember& member) { member.loseAnswers = 1; });
    BOOST_TEST(resultCodeInfo(run(step).code).name == "ok");

    run(begin);
    BOOST_TEST(controller->inProgress() == 1U);
    controller->cancelQueued("hatter");
    BOOST_TEST(controller->inProgress() == 0U);
}

// Guards against connections beyond half of the limit, and against requests that hang or mix when many run at once.
BOOST_FIXTURE_TEST_CASE(many_requests_share_few_connections, Fixture)
{
    std::vector<pplx::task<MemberAnswer>> answers;
    answers.reserve(300);
    for (int i = 0; i < 300; ++i) {
        MemberRequest one = request(i % 2 == 0);
        one.customer = "customer" + std::to_string(i % 10); // At most 64 are queued for one customer.
        answers.push_back(controller->execute(one));
    }
    size_t ok = 0;
    for (const pplx::task<MemberAnswer>& answer : answers)
        ok += answer.get().code == ResultCode::Ok ? 1 : 0;
    BOOST_TEST(ok == 300U);
    BOOST_TEST(controller->inProgress() == 0U);
    change("m0", [](FakeMember& member) { BOOST_TEST(member.maxOpen <= 4U); });
}

// Guards against new work for a leaving member or a member of another owner, and queued work of a withdrawn key.
BOOST_FIXTURE_TEST_CASE(refusals_before_sending, Fixture)
{
    change("m1", [](FakeMember& member) { member.leaving = true; });
    waitFor([this] { return controller->status()[0].members[1].status.leaving; }, "leaving");
    BOOST_TEST(resultCodeInfo(run(request(true, "m1")).code).name == "member_leaving");
    MemberRequest ahead = request(true, "m2");
    ahead.minPosition = { 1, 50 };
    ahead.waitLimit = seconds(2);
    const pplx::task<MemberAnswer> waiting = controller->execute(ahead);
    controller->cancelQueued("hatter");
    BOOST_TEST(resultCodeInfo(waiting.get().code).name == "key_withdrawn");
    ahead.waitLimit = milliseconds(30);
    const MemberAnswer behind = run(ahead);
    BOOST_TEST(resultCodeInfo(behind.code).name == "replica_behind");
    BOOST_TEST(behind.primaryHint == "m0");
    MemberRequest fresh = request(true, "m2");
    fresh.maxAge = Duration::zero();
    BOOST_TEST(resultCodeInfo(run(fresh).code).name == "ok");
    BOOST_TEST(run(fresh).servedByReplica);
    view->owner = false;
    controller->refresh();
    BOOST_TEST(resultCodeInfo(run(request(true, "m2")).code).name == "not_owner");
}

// Guards against reads that are sent to another region although the primary is in their own.
BOOST_FIXTURE_TEST_CASE(a_read_of_a_late_replica_is_redirected_within_the_region, Fixture)
{
    change("m1", [](FakeMember& member) { member.replicates = false; });
    MemberRequest read = request(true, "m1");
    read.minPosition = run(request(false)).position;
    read.waitLimit = Duration::zero();
    waitFor([this] { return controller->status().at(0).members.at(2).status.applied.position == 2; }, "write at m2");
    const MemberAnswer answer = run(read);
    BOOST_TEST(resultCodeInfo(answer.code).name == "replica_behind");
    BOOST_TEST(answer.replicaHint == "m0");
}

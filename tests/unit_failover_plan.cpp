#include "failover_plan.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace plantainwall;

namespace {

struct Fleet {
    Instant now { std::chrono::seconds(100) };
    std::vector<FailoverMember> members;
    FailoverPlan plan;
    uint64_t term = 1;

    Fleet()
    {
        add("p", true, { 1, 20 });
        add("r1", false, { 1, 20 });
        add("r2", false, { 1, 18 });
    }

    void add(const std::string& id, bool primary, LogPosition received)
    {
        FailoverMember member;
        member.id = id;
        member.status = ServerStatus();
        member.status->primary = primary;
        member.status->term = 1;
        member.status->received = received;
        members.push_back(member);
        answer(id);
    }

    FailoverMember& get(const std::string& id)
    {
        for (FailoverMember& member : members) {
            if (member.id == id)
                return member;
        }
        throw std::out_of_range(id);
    }

    void answer(const std::string& id)
    {
        FailoverMember& member = get(id);
        member.requestedAt = now;
        member.answeredAt = now;
        member.silentSince.reset();
    }

    void silence(const std::string& id) { get(id).silentSince = now; }

    void stop(const std::string& id, uint64_t at)
    {
        get(id).status->stoppedAtTerm = at;
        answer(id);
    }

    static FailoverKnowledge knowing(const PermitPromotion& permit, std::optional<Instant> revokedSince = Instant())
    {
        FailoverKnowledge knowledge;
        knowledge.permit = permit;
        knowledge.revokedSince = revokedSince;
        return knowledge;
    }

    FailoverPlan::Step step(const std::string& primary) { return plan.step(now, primary, members, term); }

    /// r2 stops answering, the primary and r1 answer half a second later, and then the primary stops answering too.
    void loseReplicaThenPrimary(bool replicaEnded)
    {
        step("p");
        silence("r2");
        get("r2").refused = replicaEnded;
        step("p");
        now += std::chrono::milliseconds(500);
        answer("p");
        answer("r1");
        step("p");
        now += std::chrono::milliseconds(500);
        silence("p");
    }

    /// Steps until an action is returned or the time limit has passed.
    FailoverPlan::Step stepUntilAction(const std::string& primary, Duration limit)
    {
        for (Duration passed {}; passed < limit; passed += std::chrono::milliseconds(50)) {
            FailoverPlan::Step result = step(primary);
            if (result.action != FailoverAction::None)
                return result;
            now += std::chrono::milliseconds(50);
        }
        return {};
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(healthy_service_is_left_alone)
{
    Fleet fleet;
    BOOST_TEST((fleet.stepUntilAction("p", std::chrono::seconds(20)).action == FailoverAction::None));
}

// Every replica stops before one is promoted, and the one with the longest log is chosen.
BOOST_AUTO_TEST_CASE(longest_stopped_log_is_promoted)
{
    Fleet fleet;
    fleet.step("p");
    fleet.silence("p");
    const Instant lost = fleet.now;
    const FailoverPlan::Step stop = fleet.stepUntilAction("p", std::chrono::seconds(5));
    BOOST_REQUIRE((stop.action == FailoverAction::StopReceiving));
    BOOST_TEST(stop.term == 2U);
    BOOST_TEST(stop.servers.size() == 2U);
    BOOST_TEST((fleet.now - lost <= std::chrono::milliseconds(1500)));
    fleet.now += std::chrono::milliseconds(10);
    fleet.stop("r2", 2);
    BOOST_TEST((fleet.step("p").action != FailoverAction::Promote));
    fleet.stop("r1", 2);
    const FailoverPlan::Step promote = fleet.step("p");
    BOOST_REQUIRE((promote.action == FailoverAction::Promote));
    BOOST_TEST(promote.servers.front() == "r1");
}

// A replica that does not answer may hold the only copy of a commit.
BOOST_AUTO_TEST_CASE(nothing_is_promoted_without_every_replica)
{
    Fleet fleet;
    fleet.step("p");
    fleet.silence("p");
    fleet.silence("r1");
    for (int i = 0; i < 400; ++i) {
        const FailoverPlan::Step step = fleet.step("p");
        BOOST_REQUIRE((step.action != FailoverAction::Promote));
        if (step.action == FailoverAction::StopReceiving)
            fleet.stop("r2", step.term);
        if (step.action == FailoverAction::ResumeReceiving)
            fleet.stop("r2", 0);
        fleet.now += std::chrono::milliseconds(50);
    }
    BOOST_TEST(fleet.plan.failedAttempts() > 0U);
}

// A replica that is no longer registered still counts.
BOOST_AUTO_TEST_CASE(unregistered_replica_still_counts)
{
    Fleet fleet;
    fleet.step("p");
    fleet.members.erase(fleet.members.begin() + 1);
    fleet.silence("p");
    for (int i = 0; i < 200; ++i) {
        const FailoverPlan::Step step = fleet.step("p");
        BOOST_REQUIRE((step.action != FailoverAction::Promote));
        if (step.action == FailoverAction::StopReceiving)
            fleet.stop("r2", step.term);
        fleet.now += std::chrono::milliseconds(50);
    }
}

// If the primary reported, after the end of a replica's process, a position that the longest remaining log reaches, the
// ended replica holds no commit that others lack.
BOOST_AUTO_TEST_CASE(ended_replica_is_covered_by_a_later_position)
{
    Fleet fleet;
    fleet.loseReplicaThenPrimary(true);
    const FailoverPlan::Step stop = fleet.stepUntilAction("p", std::chrono::seconds(5));
    BOOST_REQUIRE((stop.action == FailoverAction::StopReceiving));
    BOOST_TEST(std::count(stop.servers.begin(), stop.servers.end(), "r1") == 1);
    fleet.now += std::chrono::milliseconds(10);
    fleet.stop("r1", stop.term);
    fleet.get("r2").failedAt = fleet.now;
    const FailoverPlan::Step promote = fleet.step("p");
    BOOST_REQUIRE((promote.action == FailoverAction::Promote));
    BOOST_TEST(promote.servers.front() == "r1");
}

// A replica at its connection limit refused the coordinator, but still received and confirmed commits that the promoted
// server lacked (huon-plait-grown, scale-2). A replica that does not answer may hold commits.
BOOST_AUTO_TEST_CASE(replica_that_is_only_silent_still_counts)
{
    Fleet fleet;
    fleet.loseReplicaThenPrimary(false);
    for (int i = 0; i < 200; ++i) {
        const FailoverPlan::Step step = fleet.step("p");
        BOOST_REQUIRE((step.action != FailoverAction::Promote));
        if (step.action == FailoverAction::StopReceiving)
            fleet.stop("r1", step.term);
        fleet.now += std::chrono::milliseconds(50);
    }
}

// The same while the primary leaves regularly: it is demoted, and its own log holds all acknowledged commits.
BOOST_AUTO_TEST_CASE(demoted_primary_stands_in_for_a_silent_replica)
{
    Fleet fleet;
    fleet.silence("r2");
    fleet.step("p");
    fleet.get("p").draining = true;
    uint64_t stoppedAt = 0;
    bool demoted = false;
    for (int i = 0; i < 40; ++i) {
        const FailoverPlan::Step step = fleet.step("p");
        if (step.action == FailoverAction::Demote) {
            BOOST_TEST((step.servers == std::vector<std::string> { "p" }));
            BOOST_TEST(step.term == 2U);
            demoted = true;
            fleet.get("p").status->primary = false;
            fleet.get("p").status->received = { 1, 21 };
            fleet.answer("p");
        } else if (step.action == FailoverAction::StopReceiving) {
            stoppedAt = step.term;
            for (const std::string& id : step.servers) {
                if (id != "r2")
                    fleet.stop(id, step.term);
            }
        } else if (step.action == FailoverAction::Promote) {
            BOOST_TEST(demoted);
            BOOST_TEST(stoppedAt == 2U);
            // r1 lacks what only r2 confirmed; the demoted primary has it.
            BOOST_TEST(step.servers.front() == "p");
            return;
        }
        fleet.now += std::chrono::milliseconds(50);
    }
    BOOST_FAIL("nothing was promoted");
}

// Only a status of the present process shows that it leads with all commits. Once demoted it cannot show that any more.
BOOST_AUTO_TEST_CASE(restarted_primary_is_asked_before_it_is_demoted)
{
    Fleet fleet;
    fleet.get("p").startedUnixMs = 1;
    fleet.step("p");
    fleet.silence("r2");
    fleet.now += std::chrono::milliseconds(10);
    fleet.get("p").startedUnixMs = 2;
    fleet.get("p").draining = true;
    for (int i = 0; i < 200; ++i) {
        const FailoverPlan::Step step = fleet.step("p");
        if (step.action == FailoverAction::Demote) {
            fleet.get("p").status->primary = false;
            fleet.get("p").status->received = { 1, 21 };
            fleet.answer("p");
        } else if (step.action == FailoverAction::StopReceiving) {
            fleet.stop("r1", step.term);
        } else if (step.action == FailoverAction::Promote) {
            BOOST_TEST(step.servers.front() == "p");
            return;
        }
        fleet.now += std::chrono::milliseconds(50);
        if (i % 8 == 7)
            fleet.answer("p");
    }
    BOOST_FAIL("nothing was promoted");
}

// A demoted primary holds everything until the next term begins, which a promotion of another server may have done.
BOOST_AUTO_TEST_CASE(demoted_primary_does_not_stand_in_for_a_later_term)
{
    for (const LogPosition& received : { LogPosition { 2, 21 }, LogPosition { 1, 20 } }) {
        Fleet fleet;
        fleet.silence("r2");
        fleet.step("p");
        fleet.get("p").draining = true;
        bool ordered = false;
        for (int i = 0; i < 400; ++i) {
            const FailoverPlan::Step step = fleet.step("p");
            if (step.action == FailoverAction::Demote) {
                fleet.get("p").status->primary = false;
                fleet.answer("p");
            } else if (step.action == FailoverAction::StopReceiving && !ordered) {
                fleet.stop("r1", step.term);
            } else if (step.action == FailoverAction::Promote) {
                BOOST_REQUIRE(!ordered);
                BOOST_REQUIRE(step.servers.front() == "r1");
                ordered = true;
                // r1 leads, does not reach the coordinator, and r2 confirms a commit that p has not received.
                fleet.plan.promoteAnswered(PromotionOutcome::Done, fleet.now);
                fleet.silence("r1");
                fleet.get("p").status->term = 2;
                fleet.get("p").status->received = received;
                fleet.term = 2;
            }
            fleet.now += std::chrono::milliseconds(50);
            fleet.answer("p");
        }
        BOOST_TEST(ordered);
    }
}

// A wrongly assumed primary does not exclude any replica's log from the comparison.
BOOST_AUTO_TEST_CASE(assumed_primary_that_is_a_replica_is_compared)
{
    Fleet fleet;
    fleet.step("p");
    fleet.silence("p");
    fleet.get("r1").status->received = { 1, 30 };
    for (int i = 0; i < 100; ++i) {
        const FailoverPlan::Step step = fleet.step("r1");
        if (step.action == FailoverAction::StopReceiving) {
            for (const std::string& id : step.servers) {
                if (id == "r2")
                    fleet.stop("r2", step.term);
            }
        }
        BOOST_REQUIRE((step.action != FailoverAction::Promote));
        fleet.now += std::chrono::milliseconds(50);
    }
}

// An unanswered order may be carried out later, so no other server is chosen before it is answered.
BOOST_AUTO_TEST_CASE(unanswered_order_is_repeated_for_the_same_server)
{
    Fleet fleet;
    fleet.step("p");
    fleet.silence("p");
    const FailoverPlan::Step stop = fleet.stepUntilAction("p", std::chrono::seconds(5));
    fleet.now += std::chrono::milliseconds(10);
    fleet.stop("r1", stop.term);
    fleet.stop("r2", stop.term);
    BOOST_REQUIRE((fleet.step("p").action == FailoverAction::Promote));
    fleet.get("r2").status->received = { 1, 99 };
    fleet.plan.promoteAnswered(PromotionOutcome::Unanswered, fleet.now);
    const FailoverPlan::Step again = fleet.stepUntilAction("p", std::chrono::seconds(2));
    BOOST_REQUIRE((again.action == FailoverAction::Promote));
    BOOST_TEST(again.servers.front() == "r1");
}

// Replicas resume only when the new primary leads; earlier, the old one could still acknowledge commits.
BOOST_AUTO_TEST_CASE(replicas_resume_after_the_change_took_effect)
{
    Fleet fleet;
    fleet.step("p");
    fleet.silence("p");
    const FailoverPlan::Step stop = fleet.stepUntilAction("p", std::chrono::seconds(5));
    fleet.now += std::chrono::milliseconds(10);
    fleet.stop("r1", stop.term);
    fleet.stop("r2", stop.term);
    BOOST_REQUIRE((fleet.step("p").action == FailoverAction::Promote));
    fleet.plan.promoteAnswered(PromotionOutcome::Done, fleet.now);
    for (int i = 0; i < 20; ++i) {
        BOOST_REQUIRE((fleet.step("p").action == FailoverAction::None));
        fleet.now += std::chrono::milliseconds(50);
    }
    fleet.get("r1").status->primary = true;
    fleet.get("r1").status->term = 2;
    fleet.get("r1").status->stoppedAtTerm = 0;
    fleet.answer("r1");
    fleet.term = 2;
    const FailoverPlan::Step resume = fleet.step("r1");
    BOOST_REQUIRE((resume.action == FailoverAction::ResumeReceiving));
    BOOST_TEST((resume.servers == std::vector<std::string> { "r2" }));
}

// A leaving primary is replaced while it still serves.
BOOST_AUTO_TEST_CASE(leaving_primary_is_replaced)
{
    Fleet fleet;
    fleet.step("p");
    fleet.get("p").draining = true;
    const FailoverPlan::Step stop = fleet.step("p");
    BOOST_REQUIRE((stop.action == FailoverAction::StopReceiving));
    BOOST_TEST((stop.reason == FailoverReason::Leaving));
}

// A primary that is disconnected from its replicas cannot acknowledge commits and is replaced.
BOOST_AUTO_TEST_CASE(primary_without_replicas_is_replaced)
{
    Fleet fleet;
    fleet.step("p");
    fleet.get("p").status->received = { 1, 25 };
    fleet.answer("p");
    fleet.step("p");
    fleet.get("p").status->received = { 1, 26 };
    const FailoverPlan::Step stop = fleet.stepUntilAction("p", std::chrono::seconds(10));
    BOOST_REQUIRE((stop.action == FailoverAction::StopReceiving));
    BOOST_TEST((stop.reason == FailoverReason::Unconfirmed));
}

// A coordinator that has ordered a demotion hands over too if it does not reach a replica.
BOOST_AUTO_TEST_CASE(unreachable_replica_after_a_demotion_fails_the_attempt)
{
    Fleet fleet;
    fleet.step("p");
    fleet.get("p").draining = true;
    fleet.silence("r2");
    bool demoted = false;
    for (int i = 0; i < 1200; ++i) {
        const FailoverPlan::Step step = fleet.step("p");
        BOOST_REQUIRE((step.action != FailoverAction::Promote));
        if (step.action == FailoverAction::StopReceiving)
            fleet.stop("r1", step.term);
        if (step.action == FailoverAction::ResumeReceiving)
            fleet.stop("r1", 0);
        if (step.action == FailoverAction::Demote) {
            demoted = true;
            fleet.silence("p");
            fleet.get("p").refused = true;
        }
        fleet.now += std::chrono::milliseconds(50);
        fleet.answer("r1");
        if (!demoted)
            fleet.answer("p");
    }
    BOOST_REQUIRE(demoted);
    BOOST_TEST(fleet.plan.failedAttempts() > 0U);
}

// Where a replaced primary may go on leading, the replicas stay stopped until the promotion is permitted, however long
// that takes.
BOOST_AUTO_TEST_CASE(promotion_waits_for_its_permission)
{
    Fleet fleet;
    fleet.step("p");
    fleet.silence("p");
    fleet.get("p").refused = true;
    bool permitted = false;
    bool demoted = true;
    const PermitPromotion permit = [&](const std::string&, uint64_t, bool wasDemoted) {
        demoted = wasDemoted;
        return permitted;
    };
    const auto advance = [&] {
        fleet.now += std::chrono::milliseconds(50);
        for (const char* id : { "r1", "r2" })
            fleet.answer(id);
        FailoverPlan::Step step = fleet.plan.step(fleet.now, "p", fleet.members, fleet.term, fleet.knowing(permit));
        if (step.action == FailoverAction::StopReceiving) {
            for (const std::string& id : step.servers)
                fleet.stop(id, step.term);
        }
        return step.action;
    };
    for (int i = 0; i < 100; ++i) {
        const FailoverAction action = advance();
        BOOST_TEST((action != FailoverAction::Promote && action != FailoverAction::ResumeReceiving));
    }
    BOOST_TEST(!demoted);
    BOOST_TEST(!fleet.plan.watching());
    permitted = true;
    BOOST_TEST((advance() == FailoverAction::Promote));
}

// Guards against lost commits of a primary that answers other hosts: nothing is promoted before its commits are no
// longer acknowledged, and only logs that were reported after that count.
BOOST_AUTO_TEST_CASE(promotion_waits_until_commits_of_the_primary_are_revoked)
{
    Fleet fleet;
    fleet.step("p");
    fleet.silence("p");
    BOOST_TEST(!fleet.plan.revocation().has_value());
    std::optional<Instant> revokedSince;
    const auto step
        = [&] { return fleet.plan.step(fleet.now, "p", fleet.members, fleet.term, fleet.knowing({}, revokedSince)); };
    FailoverPlan::Step stop;
    for (int i = 0; i < 100 && stop.action == FailoverAction::None; ++i) {
        fleet.now += std::chrono::milliseconds(50);
        stop = step();
    }
    BOOST_REQUIRE((stop.action == FailoverAction::StopReceiving));
    BOOST_TEST((fleet.plan.revocation() == PrimaryRevocation { 2, RevocationScope::AllCommits, "", false }));
    for (const char* id : { "r1", "r2" })
        fleet.stop(id, stop.term);
    fleet.now += std::chrono::milliseconds(50);
    BOOST_TEST((step().action == FailoverAction::None));

    fleet.now += std::chrono::milliseconds(50);
    revokedSince = fleet.now;
    const FailoverPlan::Step again = step();
    BOOST_TEST((again.action == FailoverAction::StopReceiving));
    BOOST_TEST(again.servers.size() == 2U);
    fleet.now += std::chrono::milliseconds(50);
    // r2 has restarted since it was stopped first, and confirmed commits.
    fleet.get("r2").status->received = { 1, 30 };
    for (const char* id : { "r1", "r2" })
        fleet.stop(id, again.term);
    const FailoverPlan::Step promote = step();
    BOOST_REQUIRE((promote.action == FailoverAction::Promote));
    BOOST_TEST(promote.servers.front() == "r2");
    BOOST_TEST(fleet.plan.revocation().has_value());

    fleet.plan.promoteAnswered(PromotionOutcome::Done, fleet.now);
    fleet.now += std::chrono::milliseconds(50);
    fleet.get("r2").status->primary = true;
    fleet.get("r2").status->term = 2;
    fleet.answer("r2");
    fleet.term = 2;
    step();
    BOOST_TEST(!fleet.plan.revocation().has_value());
}

// Guards against lost commits of a replica that was down when it was asked, ran while commits were still acknowledged,
// and is down again: only an attempt to reach it after that shows that it confirms no more.
BOOST_AUTO_TEST_CASE(server_that_is_down_is_asked_again_once_commits_are_withheld)
{
    Fleet fleet;
    fleet.loseReplicaThenPrimary(true);
    fleet.get("p").refused = true;
    std::optional<Instant> revokedSince;
    const auto step = [&] {
        fleet.now += std::chrono::milliseconds(50);
        return fleet.plan.step(fleet.now, "p", fleet.members, fleet.term, fleet.knowing({}, revokedSince));
    };
    FailoverPlan::Step stop;
    for (int i = 0; i < 100 && stop.action == FailoverAction::None; ++i)
        stop = step();
    BOOST_REQUIRE((stop.action == FailoverAction::StopReceiving));
    fleet.stop("r1", stop.term);
    fleet.get("r2").failedAt = fleet.now;
    BOOST_TEST((step().action != FailoverAction::Promote));
    revokedSince = fleet.now;
    step();
    fleet.stop("r1", stop.term);
    BOOST_TEST((step().action != FailoverAction::Promote));
    fleet.get("r2").failedAt = fleet.now;
    fleet.stop("r1", stop.term);
    BOOST_TEST((step().action == FailoverAction::Promote));
}

// Guards against lost commits of an earlier term that only the primary has, which is down: a replica that received the
// others has lost its log, and the one that remains knows the newest term but lags behind the end of the earlier one.
BOOST_AUTO_TEST_CASE(commit_of_an_earlier_term_is_waited_for)
{
    Fleet fleet;
    fleet.term = 2;
    fleet.members.clear();
    fleet.add("p", true, { 2, 332 });
    fleet.add("r1", false, { 2, 267 });
    for (FailoverMember& member : fleet.members)
        member.status->term = 2;
    FailoverKnowledge knowledge;
    knowledge.acknowledged.earliest = { 1, 316 };
    knowledge.primarySeenAt = fleet.now;
    fleet.step("p");
    fleet.silence("p");
    fleet.get("p").refused = true;
    const Instant lostAt = fleet.now;
    std::optional<Instant> promotedAt;
    while (!promotedAt && fleet.now - lostAt < std::chrono::seconds(90)) {
        fleet.now += std::chrono::milliseconds(50);
        fleet.answer("r1");
        fleet.get("p").failedAt = fleet.now;
        const FailoverPlan::Step step = fleet.plan.step(fleet.now, "p", fleet.members, fleet.term, knowledge);
        if (step.action == FailoverAction::StopReceiving)
            fleet.stop("r1", step.term);
        if (step.action == FailoverAction::Promote)
            promotedAt = fleet.now;
    }
    // The primary is not waited for for ever.
    BOOST_REQUIRE(promotedAt.has_value());
    BOOST_TEST((*promotedAt - lostAt >= std::chrono::seconds(60)));
}

// Guards against lost commits in a planned replacement: a new replica that the coordinator does not know yet has
// confirmed commits, which otherwise only the demoted primary has.
BOOST_AUTO_TEST_CASE(successor_of_a_leaving_primary_has_its_whole_log)
{
    Fleet fleet;
    fleet.step("p");
    fleet.get("p").draining = true;
    bool demoted = false;
    for (int i = 0; i < 200; ++i) {
        const FailoverPlan::Step step = fleet.step("p");
        if (step.action == FailoverAction::Demote) {
            demoted = true;
            fleet.get("p").status->primary = false;
            fleet.get("p").status->received = { 1, 23 };
            fleet.answer("p");
        } else if (step.action == FailoverAction::StopReceiving) {
            for (const std::string& id : step.servers)
                fleet.stop(id, step.term);
        } else if (step.action == FailoverAction::Promote) {
            BOOST_TEST(demoted);
            BOOST_TEST(step.servers.front() == "p");
            return;
        }
        fleet.now += std::chrono::milliseconds(50);
    }
    BOOST_FAIL("nothing was promoted");
}

// Load pattern: a primary leaves under load. Writes end on all hosts first, so that a replica reaches the end of its
// log; the replicas are stopped as soon as one has.
BOOST_AUTO_TEST_CASE(replicas_of_a_leaving_primary_are_stopped_when_its_writes_have_ended)
{
    Fleet fleet;
    fleet.step("p");
    fleet.get("p").draining = true;
    std::optional<Instant> revokedSince;
    const auto step = [&] {
        fleet.now += std::chrono::milliseconds(50);
        for (const char* id : { "p", "r1", "r2" })
            fleet.answer(id);
        return fleet.plan.step(fleet.now, "p", fleet.members, fleet.term, fleet.knowing({}, revokedSince)).action;
    };
    for (int i = 0; i < 5; ++i) {
        ++fleet.get("p").status->received.position;
        BOOST_TEST((step() == FailoverAction::None));
        BOOST_TEST((fleet.plan.revocation() == PrimaryRevocation { 2, RevocationScope::NewCommits, "", false }));
    }
    revokedSince = fleet.now;
    BOOST_TEST((step() == FailoverAction::None));
    fleet.get("r1").status->received = fleet.get("p").status->received;
    FailoverAction action = FailoverAction::None;
    for (int i = 0; i < 3 && action == FailoverAction::None; ++i)
        action = step();
    BOOST_TEST((action == FailoverAction::StopReceiving));
}

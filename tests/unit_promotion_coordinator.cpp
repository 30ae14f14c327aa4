#include "support_random_faults.h"
#include <boost/test/unit_test.hpp>

// Changes of the primary under faults, in virtual time: no acknowledged commit is lost, and the service recovers.
//
// To run more seeds by hand: COORDINATOR_SEEDS=5000 COORDINATOR_FIRST=1 build/unit_promotion_coordinator
// --run_test=random_faults_lose_no_commit. COORDINATOR_LATE_ORDERS=1 adds orders of promotions that arrive late.
// COORDINATOR_LOG=info writes the log of the coordinators.

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Time after the crash of the primary of a healthy service within which commits must be acknowledged again.
constexpr Duration crashRecoveryTime = seconds(4);
/// Time within which a replica must be promoted although another one has been gone for long.
constexpr Duration goneReplicaRecoveryTime = seconds(8);
/// Receive delay of a replica that lags behind, so that the other replica alone confirms the newest commits.
constexpr Duration lag = milliseconds(600);
/// From the loss of the store until the hosts have dropped the server: three heartbeats, the grace time, a margin.
constexpr Duration lapseTime = milliseconds(4200);

/// A service whose replica r1 lags behind, with the log level of the coordinators.
struct LaggingReplica {
    explicit LaggingReplica(size_t hosts = 1, const ReplicatedServiceTiming& timing = {})
        : service(hosts, timing)
    {
        setLogLevel(std::getenv("COORDINATOR_LOG") != nullptr ? std::getenv("COORDINATOR_LOG") : "error");
        service.setReceiveDelay("r1", lag);
        service.pass(warmUp);
        BOOST_REQUIRE(service.leader() == "p");
        BOOST_REQUIRE(acknowledges(service));
    }

    /// Waits with the primary down, then ends all faults and checks that nothing was lost and that the service
    /// recovers.
    void check(Duration down = seconds(10))
    {
        service.pass(down);
        endFaults(service);
        service.pass(recoveryTime);
        for (const std::string& loss : service.losses())
            BOOST_ERROR(loss);
        BOOST_TEST(service.destroyed() == 0U);
        BOOST_TEST(acknowledges(service), "no commit is acknowledged after the last fault");
        if (!service.losses().empty() || !acknowledges(service))
            BOOST_TEST_MESSAGE(service.trace());
    }

    ReplicatedService service;
};

/// Passes time until commits are acknowledged again after the crash of the primary, and makes the next host the
/// coordinator whenever the present one fails to reach servers. Returns whether it happened within recoveryTime.
bool recoversWithHandOvers(ReplicatedService& service)
{
    const Instant crashed = service.now;
    const auto recovered = [&] { return service.promotions() > 0 && service.lastAcknowledgement() > crashed; };
    while (!recovered() && service.now - crashed < recoveryTime) {
        service.passUntil(
            recoveryTime - (service.now - crashed), [&] { return recovered() || service.coordinatorUnreachable(); });
        if (recovered() || !service.coordinatorUnreachable())
            break;
        service.pass(milliseconds(300));
        service.activate((service.coordinator() + 1) % service.hosts());
    }
    return recovered();
}

} // namespace

BOOST_AUTO_TEST_CASE(crash_of_the_primary_of_a_healthy_service)
{
    LaggingReplica it;
    it.service.setReceiveDelay("r1", ReplicatedServiceTiming().receiveDelay);
    it.service.pass(seconds(2));
    it.service.crash("p");
    const Instant crashed = it.service.now;
    const bool recovered = it.service.passUntil(
        seconds(30), [&] { return it.service.term() > 1 && it.service.lastAcknowledgement() > crashed; });
    const int64_t ms = (it.service.now - crashed) / milliseconds(1);
    BOOST_TEST_MESSAGE("commits are acknowledged again after " << ms << " ms");
    BOOST_TEST(recovered);
    BOOST_TEST((it.service.now - crashed <= crashRecoveryTime), "it took " << ms << " ms");
    it.check(seconds(2));
}

BOOST_AUTO_TEST_CASE(leaving_primary_is_replaced_without_loss)
{
    LaggingReplica it;
    it.service.leave("p", seconds(4), milliseconds(200));
    it.check();
    BOOST_TEST(it.service.promotions() >= 1U);
}

// An evacuated primary goes on running and confirming, and is replaced by a server of another data centre.
BOOST_AUTO_TEST_CASE(evacuated_primary_is_replaced_without_loss)
{
    LaggingReplica it;
    it.service.evacuate("p");
    it.service.evacuate("r1");
    it.check();
    BOOST_TEST(it.service.promotions() == 1U);
    BOOST_TEST(it.service.leader() == "r2");
}

// Without a server elsewhere a change would only move the lead inside the evacuated data centres.
BOOST_AUTO_TEST_CASE(evacuated_primary_stays_without_a_server_elsewhere)
{
    LaggingReplica it;
    for (const char* id : { "r1", "r2", "p" })
        it.service.evacuate(id);
    it.check();
    BOOST_TEST(it.service.promotions() == 0U);
    BOOST_TEST(it.service.leader() == "p");
}

// Nor does a server elsewhere count that does not answer: it could not be promoted.
BOOST_AUTO_TEST_CASE(evacuated_primary_stays_while_the_server_elsewhere_is_silent)
{
    LaggingReplica it;
    it.service.setDark("r2", true);
    it.service.pass(seconds(2));
    for (const char* id : { "r1", "p" })
        it.service.evacuate(id);
    it.service.pass(seconds(10));
    BOOST_TEST(it.service.promotions() == 0U);
    BOOST_TEST(it.service.leader() == "p");
    it.service.setDark("r2", false);
    it.check();
    BOOST_TEST(it.service.leader() == "r2");
}

// Case a.
BOOST_AUTO_TEST_CASE(live_replica_whose_registration_lapsed)
{
    LaggingReplica it;
    it.service.setStoreCut("r2", true);
    it.service.pass(lapseTime + seconds(3));
    it.service.crash("p");
    it.check();
}

// Case b.
BOOST_AUTO_TEST_CASE(live_primary_and_replica_whose_registrations_lapsed)
{
    LaggingReplica it;
    it.service.setStoreCut("r2", true);
    it.service.pass(seconds(1));
    it.service.setStoreCut("p", true);
    it.service.pass(lapseTime);
    it.check();
}

// Case c.
BOOST_AUTO_TEST_CASE(confirming_replica_restarted_empty)
{
    LaggingReplica it;
    it.service.setReceiveDelay("r1", 2 * lag);
    it.service.pass(seconds(2));
    it.service.setReplicationCut("r2", true);
    it.service.restartEmpty("r2");
    it.service.pass(milliseconds(800)); // The coordinator polls r2 again, and r1 has not received what r2 confirmed.
    it.service.crash("p");
    it.check(seconds(6));
}

// Case d.
BOOST_AUTO_TEST_CASE(new_coordinator_after_a_registration_lapsed)
{
    LaggingReplica it(2);
    it.service.setStoreCut("r2", true);
    it.service.pass(lapseTime);
    it.service.activate(1);
    it.service.pass(seconds(2));
    it.service.crash("p");
    it.check();
}

// Case e.
BOOST_AUTO_TEST_CASE(silent_replica_that_crashed_later)
{
    LaggingReplica it;
    it.service.setHostCut("r2", 0, true);
    it.service.pass(seconds(5));
    it.service.crash("r2");
    it.service.setHostCut("r2", 0, false);
    it.service.pass(milliseconds(10)); // Less than the interval of polls.
    it.service.crash("p");
    it.check();
}

// Case f.
BOOST_AUTO_TEST_CASE(gone_replica_does_not_block_a_change)
{
    LaggingReplica it;
    it.service.setReceiveDelay("r1", ReplicatedServiceTiming().receiveDelay);
    it.service.setDark("r2", true);
    it.service.pass(lapseTime + seconds(10));
    it.service.crash("p");
    const Instant crashed = it.service.now;
    const bool promoted = it.service.passUntil(seconds(30), [&] { return it.service.leader() == "r1"; });
    const int64_t ms = (it.service.now - crashed) / milliseconds(1);
    BOOST_TEST_MESSAGE("r1 leads after " << ms << " ms");
    BOOST_TEST(promoted);
    BOOST_TEST((it.service.now - crashed <= goneReplicaRecoveryTime), "it took " << ms << " ms");
    it.check(seconds(2));
}

// Case g.
BOOST_AUTO_TEST_CASE(leaving_replica_still_confirms_without_registration)
{
    LaggingReplica it;
    it.service.leave("r2", seconds(2), milliseconds(1500));
    it.service.pass(seconds(2) + milliseconds(1200));
    it.service.crash("p");
    it.check();
}

BOOST_AUTO_TEST_CASE(replica_left_with_the_only_confirmation)
{
    LaggingReplica it;
    it.service.leave("r2", seconds(2), milliseconds(0));
    it.service.pass(seconds(2) + milliseconds(100));
    it.service.crash("p");
    it.check();
}

// Another server answers at the address of the replica that has left.
BOOST_AUTO_TEST_CASE(replaced_replica_does_not_block_a_change)
{
    LaggingReplica it;
    it.service.setReceiveDelay("r1", ReplicatedServiceTiming().receiveDelay);
    it.service.leave("r2", seconds(2), milliseconds(300));
    it.service.pass(seconds(3));
    it.service.replace("r2", "r3", false);
    it.service.pass(seconds(10));
    it.service.crash("p");
    const Instant crashed = it.service.now;
    const bool promoted = it.service.passUntil(seconds(30), [&] { return it.service.term() > 1; });
    BOOST_TEST(promoted);
    BOOST_TEST((it.service.now - crashed <= goneReplicaRecoveryTime),
        "it took " << (it.service.now - crashed) / milliseconds(1) << " ms");
    it.check(seconds(2));
}

// The order is repeated until it is answered, also when the server leads already.
BOOST_AUTO_TEST_CASE(answers_to_a_promotion_are_lost)
{
    LaggingReplica it;
    it.service.setPromotionAnswersLost(true);
    it.service.crash("p");
    it.service.pass(seconds(3));
    it.check(seconds(0));
    BOOST_TEST(it.service.promotions() == 1U);
    it.service.crash(it.service.leader());
    const Instant crashed = it.service.now;
    const bool recovered = it.service.passUntil(
        seconds(30), [&] { return it.service.promotions() > 1 && it.service.lastAcknowledgement() > crashed; });
    BOOST_TEST(recovered);
    BOOST_TEST((it.service.now - crashed <= crashRecoveryTime),
        "it took " << (it.service.now - crashed) / milliseconds(1) << " ms");
    it.check(seconds(2));
}

BOOST_AUTO_TEST_CASE(promoted_server_crashes_before_it_leads)
{
    LaggingReplica it;
    it.service.crash("p");
    BOOST_REQUIRE(it.service.passUntil(seconds(5), [&] { return it.service.orders() > 0; }));
    it.service.crash("r2");
    it.check(seconds(2));
}

BOOST_AUTO_TEST_CASE(rolling_replacement_of_all_servers)
{
    LaggingReplica it;
    for (const char* id : { "r1", "r2", "p" }) {
        it.service.leave(id, seconds(3), milliseconds(300));
        it.service.pass(seconds(4));
        it.service.replace(id, std::string("new ") + id, true);
        it.service.pass(seconds(5));
        BOOST_TEST(acknowledges(it.service), "no commit is acknowledged after the replacement of " << id);
    }
    it.service.crash(it.service.leader());
    const Instant crashed = it.service.now;
    const unsigned promotions = it.service.promotions();
    const bool recovered = it.service.passUntil(seconds(30),
        [&] { return it.service.promotions() > promotions && it.service.lastAcknowledgement() > crashed; });
    BOOST_TEST(recovered);
    BOOST_TEST((it.service.now - crashed <= crashRecoveryTime),
        "it took " << (it.service.now - crashed) / milliseconds(1) << " ms");
    it.check(seconds(2));
}

// A restarted replica that has received a part of its log again has not kept the rest.
BOOST_AUTO_TEST_CASE(restarted_replica_received_a_part_of_its_log_again)
{
    for (int pollOffset = 0; pollOffset < 400; pollOffset += 40) {
        LaggingReplica it;
        it.service.setReceiveDelay("r1", seconds(5));
        it.service.pass(seconds(6) + milliseconds(pollOffset));
        it.service.setReceiveDelay("r2", milliseconds(500));
        it.service.restartEmpty("r2");
        it.service.pass(milliseconds(360));
        it.service.crash("p");
        it.check();
    }
}

// The same, with a coordinator that does not know the log before the restart.
BOOST_AUTO_TEST_CASE(restarted_replica_received_a_part_of_its_log_again_under_a_new_coordinator)
{
    LaggingReplica it(2);
    it.service.setReceiveDelay("r1", seconds(5));
    it.service.pass(seconds(6));
    it.service.setReceiveDelay("r2", seconds(2));
    it.service.restartEmpty("r2");
    it.service.pass(milliseconds(100));
    it.service.activate(1);
    it.service.pass(milliseconds(300));
    it.service.crash("p");
    it.check();
}

// The same, with a primary that is down before the new coordinator asks it.
BOOST_AUTO_TEST_CASE(restarted_replica_received_a_part_of_its_log_before_a_new_coordinator)
{
    LaggingReplica it(2);
    it.service.setReceiveDelay("r1", seconds(5));
    it.service.pass(seconds(6));
    it.service.setReceiveDelay("r2", seconds(2));
    it.service.restartEmpty("r2");
    it.service.pass(milliseconds(300));
    it.service.crash("p");
    it.service.activate(1);
    it.check();
}

// A server without the log of the one that it replaced has received a part of it from the primary.
BOOST_AUTO_TEST_CASE(replacement_received_a_part_of_the_log)
{
    for (int pollOffset = 0; pollOffset < 400; pollOffset += 40) {
        LaggingReplica it;
        it.service.setReceiveDelay("r1", seconds(5));
        it.service.pass(seconds(6) + milliseconds(pollOffset));
        it.service.leave("r2", seconds(2), milliseconds(0));
        it.service.pass(seconds(2) + milliseconds(10));
        it.service.replace("r2", "r3", false);
        it.service.setReceiveDelay("r3", milliseconds(500));
        it.service.pass(milliseconds(360));
        it.service.crash("p");
        it.check();
    }
}

// The same, with a coordinator that does not know the log of the server that was replaced.
BOOST_AUTO_TEST_CASE(replacement_received_a_part_of_the_log_before_a_new_coordinator)
{
    LaggingReplica it(2);
    it.service.setReceiveDelay("r1", seconds(5));
    it.service.pass(seconds(6));
    it.service.leave("r2", seconds(2), milliseconds(0));
    it.service.pass(seconds(2) + milliseconds(10));
    it.service.replace("r2", "r3", false);
    it.service.setReceiveDelay("r3", seconds(2));
    it.service.pass(milliseconds(300));
    it.service.crash("p");
    it.service.activate(1);
    it.check();
}

// Coordinators that change often still find out that a replica is gone.
BOOST_AUTO_TEST_CASE(gone_replica_does_not_block_a_change_after_many_coordinators)
{
    LaggingReplica it(3);
    it.service.setReceiveDelay("r1", ReplicatedServiceTiming().receiveDelay);
    it.service.setDark("r2", true);
    for (size_t n = 1; n <= 24; ++n) {
        it.service.pass(milliseconds(2500));
        it.service.activate(n % 3);
    }
    it.service.pass(seconds(1));
    it.service.crash("p");
    const Instant crashed = it.service.now;
    const bool promoted = it.service.passUntil(seconds(30), [&] { return it.service.leader() == "r1"; });
    BOOST_TEST(promoted);
    BOOST_TEST((it.service.now - crashed <= goneReplicaRecoveryTime),
        "it took " << (it.service.now - crashed) / milliseconds(1) << " ms");
    it.check(seconds(2));
}

// A registered replica that refused a connection once runs again, but the coordinator does not reach it.
BOOST_AUTO_TEST_CASE(replica_that_runs_again_after_a_refusal)
{
    LaggingReplica it;
    it.service.crash("r2");
    it.service.pass(seconds(1));
    BOOST_REQUIRE(it.service.isRegistered("r2"));
    it.service.setHostCut("r2", 0, true);
    it.service.restart("r2");
    it.service.pass(seconds(6));
    BOOST_REQUIRE(it.service.isRegistered("r2"));
    it.service.crash("p");
    it.check();
}

// A coordinator before has proved that the log of the earlier process is not needed.
BOOST_AUTO_TEST_CASE(restarted_replica_does_not_block_a_change_under_a_new_coordinator)
{
    ReplicatedServiceTiming timing;
    timing.restartChangesStart = true;
    LaggingReplica it(2, timing);
    it.service.crash("r2");
    it.service.pass(milliseconds(500));
    it.service.restart("r2");
    it.service.pass(seconds(3));
    it.service.crash("p");
    it.service.activate(1);
    const Instant crashed = it.service.now;
    const bool recovered = it.service.passUntil(
        seconds(30), [&] { return it.service.term() > 1 && it.service.lastAcknowledgement() > crashed; });
    BOOST_TEST(recovered);
    BOOST_TEST((it.service.now - crashed <= crashRecoveryTime),
        "it took " << (it.service.now - crashed) / milliseconds(1) << " ms");
    it.check(seconds(2));
}

// The primary does not lead any more when the coordinator learns that the replica has left, but reports its log.
BOOST_AUTO_TEST_CASE(replica_that_left_before_a_demotion_does_not_block_a_change)
{
    for (int pollOffset = 0; pollOffset < 400; pollOffset += 40) {
        LaggingReplica it;
        it.service.leave("r2", seconds(4) + milliseconds(pollOffset), milliseconds(0));
        it.service.pass(milliseconds(pollOffset));
        it.service.setStoreCut("p", true);
        BOOST_REQUIRE(it.service.passUntil(seconds(10), [&] { return it.service.leader().empty(); }));
        it.service.pass(milliseconds(20));
        it.service.setDark("p", true);
        it.service.replace("r2", "r3", false);
        it.service.pass(seconds(4));
        it.service.deregister("p");
        it.service.exit("p");
        it.service.replace("p", "new p", true);
        it.service.setDark("p", false);
        it.check();
    }
}

// What an earlier process of the primary held is no reason to wait: the present one leads with all of it.
BOOST_AUTO_TEST_CASE(restarted_primary_is_demoted_for_good)
{
    for (const size_t coordinator : { 0U, 1U }) {
        ReplicatedServiceTiming timing;
        timing.restartChangesStart = true;
        LaggingReplica it(2, timing);
        it.service.crash("p");
        it.service.pass(milliseconds(200));
        it.service.restart("p");
        it.service.pass(seconds(2));
        it.service.setDark("r2", true);
        it.service.activate(coordinator);
        it.service.pass(milliseconds(500));
        it.service.setStoreCut("p", true);
        it.check();
    }
}

// The same for a primary that lost its log as a replica, before it was promoted with a complete one.
BOOST_AUTO_TEST_CASE(primary_that_restarted_empty_before_its_promotion_is_demoted_for_good)
{
    for (const size_t coordinator : { 0U, 1U }) {
        LaggingReplica it(2);
        it.service.restartEmpty("r2");
        it.service.pass(seconds(3));
        it.service.crash("p");
        BOOST_REQUIRE(it.service.passUntil(seconds(10), [&] { return it.service.leader() == "r2"; }));
        it.service.activate(coordinator);
        it.service.pass(milliseconds(300));
        it.service.setDark("r1", true);
        it.check();
    }
}

// Other hosts and the primary still reach the replica.
BOOST_AUTO_TEST_CASE(lapsed_replica_that_the_coordinator_does_not_reach_confirms)
{
    for (int phase = 0; phase < 1000; phase += 100) {
        LaggingReplica it(3);
        it.service.setStoreCut("r2", true);
        it.service.setHostCut("r2", 0, true);
        it.service.pass(lapseTime + seconds(12) + milliseconds(phase));
        it.service.crash("p");
        const Instant crashed = it.service.now;
        BOOST_TEST(recoversWithHandOvers(it.service));
        BOOST_TEST_MESSAGE(
            "commits are acknowledged again after " << (it.service.now - crashed) / milliseconds(1) << " ms");
        it.check(seconds(2));
    }
}

// The same, with a replica that was down before and a coordinator that has never heard of it.
BOOST_AUTO_TEST_CASE(settled_replica_confirms_again_without_reaching_the_coordinator)
{
    for (int phase = 0; phase < 1000; phase += 100) {
        LaggingReplica it(3);
        it.service.setDark("r2", true);
        it.service.pass(lapseTime + seconds(10));
        it.service.setStoreCut("r2", true);
        it.service.setHostCut("r2", 0, true);
        it.service.activate(0);
        it.service.pass(seconds(2));
        it.service.setDark("r2", false);
        it.service.pass(seconds(6) + milliseconds(phase));
        it.service.crash("p");
        BOOST_TEST(recoversWithHandOvers(it.service));
        it.check(seconds(2));
    }
}

// The coordinator saw the replica's process end, but not its restart.
BOOST_AUTO_TEST_CASE(restarted_replica_that_the_coordinator_does_not_reach_confirms)
{
    for (const bool registers : { false, true }) {
        for (int phase = 0; phase < 1000; phase += 100) {
            LaggingReplica it(3);
            it.service.crash("r2");
            it.service.pass(registers ? seconds(1) : lapseTime + seconds(3));
            it.service.setStoreCut("r2", !registers);
            it.service.setHostCut("r2", 0, true);
            it.service.restart("r2");
            it.service.pass(seconds(4) + milliseconds(phase));
            it.service.crash("p");
            BOOST_TEST(recoversWithHandOvers(it.service));
            it.check(seconds(2));
        }
    }
}

// The network refuses the coordinator's connections to a registered replica, which other hosts and the primary reach.
BOOST_AUTO_TEST_CASE(running_replica_that_the_network_refuses_to_the_coordinator_confirms)
{
    for (int phase = 0; phase < 1000; phase += 100) {
        LaggingReplica it(3);
        it.service.setHostRefused("r2", 0, true);
        it.service.pass(seconds(4) + milliseconds(phase));
        it.service.crash("p");
        BOOST_TEST(recoversWithHandOvers(it.service));
        it.check(seconds(2));
    }
}

// Without the reports of other hosts its own silence decides.
BOOST_AUTO_TEST_CASE(gone_replica_does_not_block_a_coordinator_without_other_hosts)
{
    LaggingReplica it(3);
    it.service.setReceiveDelay("r1", ReplicatedServiceTiming().receiveDelay);
    it.service.setPeersCut(0, true);
    it.service.setDark("r2", true);
    it.service.pass(lapseTime + seconds(10));
    it.service.crash("p");
    const Instant crashed = it.service.now;
    const bool promoted = it.service.passUntil(seconds(30), [&] { return it.service.leader() == "r1"; });
    BOOST_TEST(promoted);
    BOOST_TEST((it.service.now - crashed <= goneReplicaRecoveryTime),
        "it took " << (it.service.now - crashed) / milliseconds(1) << " ms");
    it.check(seconds(2));
}

// A primary that restarted empty is not a demoted one, although its registration does not show the restart yet.
BOOST_AUTO_TEST_CASE(primary_restarted_empty_before_a_new_coordinator)
{
    LaggingReplica it(2);
    it.service.activate(1); // Host 1 learns the primary of the term.
    it.service.pass(seconds(2));
    it.service.activate(0);
    it.service.pass(seconds(2));
    it.service.setHostCut("r2", 1, true);
    it.service.setStoreCut("p", true);
    it.service.restartEmpty("p");
    it.service.activate(1);
    it.check();
}

// The coordinator asks a primary that restarted empty before its registration shows the restart. Both replicas run.
BOOST_AUTO_TEST_CASE(primary_restarted_empty_and_registered_later)
{
    for (const int registeredAfter : { 0, 100, 600 }) {
        LaggingReplica it;
        it.service.pass(seconds(3));
        it.service.setStoreCut("p", true);
        it.service.restartEmpty("p");
        it.service.pass(milliseconds(registeredAfter));
        it.service.setStoreCut("p", false);
        BOOST_TEST_CONTEXT("registered after " << registeredAfter << " ms") { it.check(); }
    }
}

// A primary that lost the store was replaced, and confirmed the next primary's commits until it restarted empty. Its
// last registration still calls it primary.
BOOST_AUTO_TEST_CASE(replaced_primary_with_an_outdated_registration_restarted_empty)
{
    LaggingReplica it(2);
    it.service.setStoreCut("p", true);
    BOOST_REQUIRE(it.service.passUntil(seconds(15), [&] { return it.service.promotions() == 1; }));
    const std::string leader = it.service.leader();
    const std::string other = leader == "r1" ? "r2" : "r1";
    BOOST_REQUIRE(leader != "p");
    it.service.setReceiveDelay("p", ReplicatedServiceTiming().receiveDelay);
    it.service.setReceiveDelay(other, seconds(2));
    it.service.pass(seconds(4));
    it.service.setReplicationCut("p", true);
    it.service.setStoreCut("p", false);
    it.service.restartEmpty("p");
    it.service.pass(milliseconds(50));
    it.service.crash(leader);
    it.service.activate(1);
    it.check();
}

// Guards against lost commits of a primary that the coordinator does not reach: a replica that restarts after the order
// and before its effect receives again, and the primary confirms what the promoted server lacks.
BOOST_AUTO_TEST_CASE(replica_restarts_between_an_order_and_its_effect)
{
    for (const char* const restarted : { "r1", "r2" }) {
        ReplicatedServiceTiming timing;
        timing.promotionEffect = seconds(1);
        LaggingReplica it(3, timing);
        it.service.setReceiveDelay("r1", timing.receiveDelay);
        it.service.setHostCut("p", 0, true);
        BOOST_REQUIRE(it.service.passUntil(seconds(10), [&] { return it.service.orders() > 0; }));
        it.service.crash(restarted);
        it.service.pass(milliseconds(300));
        it.service.restart(restarted);
        it.check(seconds(4));
        BOOST_TEST(it.service.promotions() >= 1U);
    }
}

// The same for a replica that restarts after it reported its log and before the order.
BOOST_AUTO_TEST_CASE(replica_restarts_before_an_order)
{
    for (unsigned ms = 0; ms <= 400; ms += 10) {
        LaggingReplica it(3);
        it.service.setReceiveDelay("r1", ReplicatedServiceTiming().receiveDelay);
        it.service.setHostCut("p", 0, true);
        it.service.pass(milliseconds(1100 + ms));
        it.service.crash("r2");
        it.service.pass(milliseconds(50));
        it.service.restart("r2");
        it.check(seconds(4));
    }
}

// Guards against lost commits in a planned replacement: a new replica receives and confirms commits before the
// coordinator has read its registration, while the known replicas have stopped.
BOOST_AUTO_TEST_CASE(unknown_replica_confirms_during_a_planned_replacement)
{
    for (unsigned ms = 0; ms <= 700; ms += 20) {
        ReplicatedServiceTiming timing;
        timing.registrationDelay = milliseconds(170);
        timing.messageDelay = milliseconds(30);
        LaggingReplica it(3, timing);
        it.service.setReceiveDelay("r1", timing.receiveDelay);
        it.service.drain("p");
        it.service.pass(milliseconds(ms));
        it.service.addReplica("r3");
        it.check(seconds(4));
        BOOST_TEST(it.service.promotions() >= 1U);
    }
}

// Guards against a service without a primary for good: both replicas restart empty, and the new coordinator does not
// know that the server with the longest log was the primary and has been demoted.
BOOST_AUTO_TEST_CASE(demoted_primary_that_a_new_coordinator_does_not_know)
{
    LaggingReplica it(2);
    it.service.setReceiveDelay("r1", ReplicatedServiceTiming().receiveDelay);
    it.service.setPeersCut(1, true);
    it.service.crash("r2");
    it.service.setStoreCut("p", true);
    BOOST_REQUIRE(it.service.passUntil(seconds(10), [&] { return it.service.leader().empty(); }));
    it.service.setPeersCut(1, false);
    it.service.activate(1);
    it.service.restartEmpty("r1");
    it.service.restartEmpty("r2");
    it.check();
    BOOST_TEST(it.service.promotions() >= 1U);
}

// Guards against lost commits in the same state while the demoted primary, which alone has the newest commits, is down
// for long and the other replica has kept its log.
BOOST_AUTO_TEST_CASE(demoted_primary_with_the_only_log_is_waited_for)
{
    for (const bool storeCut : { false, true }) {
        LaggingReplica it(2);
        it.service.setReceiveDelay("r1", ReplicatedServiceTiming().receiveDelay);
        it.service.setPeersCut(1, true);
        it.service.crash("r2");
        it.service.setStoreCut("p", true);
        BOOST_REQUIRE(it.service.passUntil(seconds(10), [&] { return it.service.leader().empty(); }));
        it.service.setStoreCut("p", storeCut);
        it.service.setPeersCut(1, false);
        it.service.activate(1);
        it.service.crash("p");
        it.service.restartEmpty("r1");
        it.service.restart("r2");
        it.check(seconds(60));
    }
}

BOOST_AUTO_TEST_CASE(random_faults_lose_no_commit) { checkRandomFaults(&RandomFaults::loss); }

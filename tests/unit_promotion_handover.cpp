#include "support_random_faults.h"
#include <boost/test/unit_test.hpp>

// Changes of the primary that pass from one coordinator to the next, in virtual time: what the first one learned must
// not be lost with it, however it ends, and the service recovers when what was missing returns.

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Delay of the replica that does not confirm the newest commits.
constexpr Duration lag = milliseconds(600);
/// Until a server that crashed is no longer registered and no coordinator needs its log: three heartbeats, the grace
/// time of the registration, and polls.
constexpr Duration settleTime = seconds(7);
/// Time in which a host takes the role of a coordinator that ended without resigning: its lease and a claim.
constexpr Duration electionTime = milliseconds(2500);
/// Time within which commits must be acknowledged once the server with the missing log answers again.
constexpr Duration returnRecoveryTime = seconds(6);

/// How a coordinator ends.
enum class End : uint8_t { HandsOver, Killed, Count };

/// A service whose replica r1 lags behind, and whose replica r2 was down until no coordinator needed its log.
struct SettledReplica {
    explicit SettledReplica(const ReplicatedServiceTiming& timing = {})
        : service(2, timing)
    {
        setLogLevel(std::getenv("COORDINATOR_LOG") != nullptr ? std::getenv("COORDINATOR_LOG") : "error");
        service.pass(warmUp);
        BOOST_REQUIRE(acknowledges(service));
        service.setReceiveDelay("r1", lag);
        service.crash("r2");
        service.pass(settleTime);
        BOOST_REQUIRE(!service.isRegistered("r2"));
    }

    /// r2 runs again with its log and confirms commits, but does not reach the store.
    void returnWithoutStore()
    {
        service.setStoreCut("r2", true);
        service.restart("r2");
    }

    void endCoordinator(End end)
    {
        const size_t next = (service.coordinator() + 1) % service.hosts();
        if (end == End::HandsOver) {
            service.activate(next);
            return;
        }
        service.killHost(service.coordinator(), milliseconds(700));
        service.timers.add(service.now + electionTime, [this, next] { service.activate(next); });
    }

    /// Passes time and lets the next host coordinate whenever the present one does not reach servers.
    void passWithHandOvers(
        Duration duration, const std::function<bool()>& done = [] { return false; })
    {
        const Instant end = service.now + duration;
        while (service.now < end && !done()) {
            service.passUntil(end - service.now, [&] { return done() || service.coordinatorUnreachable(); });
            if (done() || !service.coordinatorUnreachable())
                return;
            service.pass(milliseconds(300));
            service.activate((service.coordinator() + 1) % service.hosts());
        }
    }

    void checkNoLoss() const
    {
        for (const std::string& loss : service.losses())
            BOOST_ERROR(loss);
        if (!service.losses().empty())
            BOOST_TEST_MESSAGE(service.trace());
    }

    /// Returns after how many milliseconds commits are acknowledged again.
    int64_t recover(Duration limit)
    {
        const Instant since = service.now;
        const auto recovered = [&] { return service.lastAcknowledgement() > since; };
        passWithHandOvers(limit, recovered);
        BOOST_TEST(recovered(), "no commit is acknowledged after " << limit / milliseconds(1) << " ms");
        if (!recovered())
            BOOST_TEST_MESSAGE(service.trace());
        return (service.now - since) / milliseconds(1);
    }

    ReplicatedService service;
};

} // namespace

// Guards against the loss of commits that a replica confirmed after a coordinator had found it down and not needed,
// when the next coordinator still takes it for such a one.
BOOST_AUTO_TEST_CASE(returned_replica_is_waited_for_by_the_next_coordinator)
{
    for (const bool restartChangesStart : { false, true }) {
        ReplicatedServiceTiming timing;
        timing.restartChangesStart = restartChangesStart;
        SettledReplica it(timing);
        it.returnWithoutStore();
        it.service.pass(milliseconds(4500));
        it.service.crash("p");
        it.service.crash("r2");
        it.passWithHandOvers(seconds(25));
        BOOST_TEST(it.service.promotions() == 0U);
        it.checkNoLoss();
        it.service.setStoreCut("r2", false);
        it.service.restart("r2");
        const int64_t ms = it.recover(returnRecoveryTime);
        BOOST_TEST_MESSAGE("commits are acknowledged " << ms << " ms after the return of r2");
        it.checkNoLoss();
        BOOST_TEST(it.service.leader() == "r2");
    }
}

// The same for every moment at which the replica is back, the coordinator ends, by handing over or killed, and both
// servers crash, also while nobody coordinates.
BOOST_AUTO_TEST_CASE(returned_replica_is_needed_whenever_the_coordinator_ends)
{
    unsigned promotions = 0;
    for (const End end : { End::HandsOver, End::Killed }) {
        for (int ends = -1800; ends <= 1800; ends += 300) {
            for (int crash = 400; crash <= 3000; crash += 200) {
                SettledReplica it;
                it.service.pass(seconds(2));
                const Instant returns = it.service.now + seconds(2);
                it.service.timers.add(returns, [&] { it.returnWithoutStore(); });
                it.service.timers.add(returns + milliseconds(ends), [&] { it.endCoordinator(end); });
                it.service.timers.add(returns + milliseconds(crash), [&] {
                    it.service.crash("p");
                    it.service.crash("r2");
                });
                it.service.pass(seconds(9));
                it.passWithHandOvers(seconds(2));
                it.checkNoLoss();
                promotions += it.service.promotions();
                it.service.setStoreCut("r2", false);
                it.service.restart("r2");
                it.recover(returnRecoveryTime);
                it.checkNoLoss();
                if (!it.service.losses().empty()) {
                    BOOST_TEST_MESSAGE("coordinator ends after " << ends << " ms, crash after " << crash << " ms");
                    return;
                }
            }
        }
    }
    BOOST_TEST_MESSAGE(promotions << " promotions without the returned replica");
}

// A replica that is back with its whole log, under a new start, is known to be complete by what callers were told.
BOOST_AUTO_TEST_CASE(replica_that_restarted_with_its_log_is_promoted)
{
    for (const int down : { 1000, 2000, 3000, 7000 }) {
        ReplicatedServiceTiming timing;
        timing.restartChangesStart = true;
        SettledReplica it(timing);
        it.returnWithoutStore();
        it.service.pass(milliseconds(4500));
        it.service.crash("p");
        it.service.crash("r2");
        it.passWithHandOvers(milliseconds(down));
        it.service.setStoreCut("r2", false);
        it.service.restart("r2");
        const int64_t ms = it.recover(returnRecoveryTime);
        BOOST_TEST_MESSAGE("down for " << down << " ms: acknowledged again after " << ms << " ms");
        it.checkNoLoss();
    }
}

// A server that is gone for good was not needed: the service does not wait for it without end.
BOOST_AUTO_TEST_CASE(settled_server_that_is_gone_does_not_block_the_next_coordinator)
{
    for (const End end : { End::HandsOver, End::Killed }) {
        SettledReplica it;
        it.service.setReceiveDelay("r1", ReplicatedServiceTiming().receiveDelay);
        it.service.addReplica("r3");
        it.service.pass(seconds(2));
        it.service.crash("p");
        it.endCoordinator(end);
        const int64_t ms = it.recover(seconds(14));
        BOOST_TEST_MESSAGE("acknowledged again after " << ms << " ms");
        it.checkNoLoss();
        BOOST_TEST(it.service.promotions() == 1U);
    }
}

// Guards against the loss of commits of a server that an unanswered order of an earlier coordinator lets lead late,
// beside the order of the next one: for every lateness, end of the coordinator and return of the old primary.
BOOST_AUTO_TEST_CASE(late_order_of_an_earlier_coordinator_loses_nothing)
{
    unsigned lateEffects = 0;
    for (const End end : { End::HandsOver, End::Killed }) {
        for (const bool kept : { true, false }) {
            for (int lateness = 400; lateness <= 12000; lateness = lateness * 5 / 4) {
                for (const int returns : { 700, 1000, 1600, 4000 }) {
                    ReplicatedServiceTiming timing;
                    timing.promotionResumes = kept;
                    ReplicatedService service(2, timing);
                    setLogLevel("error");
                    // Far from the others, so it lacks the newest commits of any other primary.
                    service.setReceiveDelay("p", milliseconds(60));
                    service.pass(warmUp);
                    BOOST_REQUIRE(acknowledges(service));
                    service.setPromotionLateness(milliseconds(lateness));
                    service.crash("p");
                    const Instant crashed = service.now;
                    service.timers.add(crashed + milliseconds(returns), [&] { service.restart("p"); });
                    // The first order is on its way after 0.7 s.
                    service.pass(milliseconds(1200));
                    service.setPromotionLateness(Duration(0));
                    const size_t next = 1 - service.coordinator();
                    if (end == End::Killed)
                        service.killHost(service.coordinator(), milliseconds(700));
                    service.timers.add(service.now + (end == End::Killed ? electionTime : milliseconds(50)),
                        [&] { service.activate(next); });
                    service.pass(seconds(16));
                    lateEffects += service.promotions() > 1 ? 1 : 0;
                    for (const std::string& loss : service.losses())
                        BOOST_ERROR(loss);
                    BOOST_TEST(service.orders() >= 1U);
                    BOOST_TEST(acknowledges(service), "no commit is acknowledged 16 s after the crash");
                    if (!service.losses().empty() || !acknowledges(service)) {
                        BOOST_TEST_MESSAGE("late by " << lateness << " ms, p returns after " << returns << " ms");
                        BOOST_TEST_MESSAGE(service.trace());
                        return;
                    }
                }
            }
        }
    }
    BOOST_TEST_MESSAGE("two servers led in turn in " << lateEffects << " schedules");
    BOOST_TEST(lateEffects > 0U);
}

// Guards against the loss of commits of that server when the role passes on once more, and the next coordinator takes
// the late order's server for the one that was ordered last.
BOOST_AUTO_TEST_CASE(late_order_is_not_taken_for_the_newest_one)
{
    unsigned handedOver = 0;
    unsigned lateEffects = 0;
    for (int lateness = 400; lateness <= 3000; lateness += 50) {
        for (const int delay : { 20, 100, 200, 300, 400 }) {
            ReplicatedService service(2);
            setLogLevel("error");
            service.setReceiveDelay("p", milliseconds(60));
            service.pass(warmUp);
            BOOST_REQUIRE(acknowledges(service));
            service.setPromotionLateness(milliseconds(lateness));
            service.crash("p");
            service.timers.add(service.now + milliseconds(700), [&] { service.restart("p"); });
            service.pass(milliseconds(1200));
            service.setPromotionLateness(Duration(0));
            service.activate(1 - service.coordinator());
            // The order of the second coordinator comes after the late one.
            for (int i = 0; i < 300 && service.orders() < 2; ++i)
                service.pass(milliseconds(10));
            service.pass(milliseconds(delay));
            handedOver += service.orders() == 2 && service.promotions() < 2 ? 1 : 0;
            service.activate(1 - service.coordinator());
            service.pass(seconds(16));
            lateEffects += service.promotions() > 1 ? 1 : 0;
            for (const std::string& loss : service.losses())
                BOOST_ERROR(loss);
            BOOST_TEST(acknowledges(service), "no commit is acknowledged after the changes");
            if (!service.losses().empty() || !acknowledges(service)) {
                BOOST_TEST_MESSAGE("late by " << lateness << " ms, handed over after " << delay << " ms");
                BOOST_TEST_MESSAGE(service.trace());
                return;
            }
        }
    }
    BOOST_TEST_MESSAGE(handedOver << " changes were handed over, two servers led in turn in " << lateEffects);
    BOOST_TEST(handedOver > 0U);
    BOOST_TEST(lateEffects > 0U);
}

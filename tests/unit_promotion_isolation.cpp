#include "support_random_faults.h"
#include <boost/test/unit_test.hpp>

// Changes of the primary while a host is cut off that still reaches the old primary, in virtual time: what it tells its
// callers must not be lost, a primary is found, and the host serves writes again when the partition ends.

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Time from the loss of the primary until a replica is ordered to lead: its silence, the stop of the replicas, and the
/// wait for a host that does not answer.
constexpr Duration orderTime = seconds(5);
/// Time within which commits must be acknowledged once a primary leads.
constexpr Duration resumeTime = seconds(2);
/// Hosts: the coordinator, one that is cut off, and the one that only serves callers.
constexpr size_t coordinator = 0;
constexpr size_t isolated = 1;
constexpr size_t callers = 2;

/// A service whose replica r2 is down and not needed, whose coordinator loses the primary, and one of whose hosts loses
/// all other hosts.
struct Partition {
    /// @param storeCut The host loses the store too.
    /// @param callersReach The host that only serves callers reaches the old primary.
    Partition(bool storeCut, bool callersReach)
        : service(2)
    {
        setLogLevel(std::getenv("COORDINATOR_LOG") != nullptr ? std::getenv("COORDINATOR_LOG") : "error");
        service.pass(warmUp);
        BOOST_REQUIRE(acknowledges(service));
        service.crash("r2");
        service.pass(milliseconds(1500));
        service.setHostCut("p", coordinator, true);
        service.setHostCut("p", callers, !callersReach);
        service.setPeersCut(isolated, true);
        service.setHostStoreCut(isolated, storeCut);
    }

    void heal()
    {
        service.setHostCut("p", coordinator, false);
        service.setHostCut("p", callers, false);
        service.setPeersCut(isolated, false);
        service.setHostStoreCut(isolated, false);
    }

    void checkNoLoss()
    {
        for (const std::string& loss : service.losses())
            BOOST_ERROR(loss);
        if (!service.losses().empty())
            BOOST_TEST_MESSAGE(service.trace());
    }

    ReplicatedService service;
};

} // namespace

// Guards against the loss of commits that a host out of the coordinator's reach told its callers of, when a replica
// that was down returns at any moment around the order to promote the other one, and the partition ends at any.
BOOST_AUTO_TEST_CASE(isolated_host_acknowledges_nothing_that_is_lost)
{
    for (const bool storeCut : { false, true }) {
        for (const bool callersReach : { false, true }) {
            for (int returns = -900; returns <= 900; returns += 100) {
                for (const int heals : { 0, 300, 900, 4000 }) {
                    Partition it(storeCut, callersReach);
                    if (returns < 0) {
                        it.service.pass(milliseconds(1500 + returns));
                        it.service.restart("r2");
                    }
                    const bool ordered = it.service.passUntil(orderTime, [&] { return it.service.orders() > 0; });
                    BOOST_TEST(ordered);
                    BOOST_TEST(!it.service.acknowledgesAt(isolated));
                    const Instant orderedAt = it.service.now;
                    it.service.timers.add(
                        orderedAt + milliseconds(std::max(returns, 0)), [&] { it.service.restart("r2"); });
                    it.service.timers.add(orderedAt + milliseconds(heals), [&] { it.heal(); });
                    it.service.pass(seconds(2));
                    it.checkNoLoss();
                    const bool resumed = it.service.passUntil(
                        seconds(6), [&] { return it.service.term() > 1 && acknowledges(it.service); });
                    BOOST_TEST(resumed);
                    it.service.pass(seconds(3));
                    it.checkNoLoss();
                    if (!ordered || !resumed || !it.service.losses().empty()) {
                        BOOST_TEST_MESSAGE("store cut " << storeCut << ", callers reach " << callersReach
                                                        << ", returns " << returns << " ms, heals " << heals
                                                        << " ms after the order");
                        BOOST_TEST_MESSAGE(it.service.trace());
                        return;
                    }
                }
            }
        }
    }
}

// The price: time from the loss of the primary to the next one, with every host in reach, with one out of reach, and
// with one that is killed and restarts.
BOOST_AUTO_TEST_CASE(primary_is_replaced_beside_hosts_that_do_not_answer)
{
    const auto millisecondsToResume = [](const std::function<void(ReplicatedService&)>& fault) {
        ReplicatedService service(3);
        service.pass(warmUp);
        service.crash("p");
        fault(service);
        const Instant since = service.now;
        const bool resumed = service.passUntil(
            seconds(10), [&] { return service.term() > 1 && service.lastAcknowledgement() > since; });
        BOOST_TEST(resumed);
        return (service.now - since) / milliseconds(1);
    };
    const int64_t calm = millisecondsToResume([](ReplicatedService&) {});
    const int64_t cut = millisecondsToResume([](ReplicatedService& service) { service.setPeersCut(1, true); });
    const int64_t restarted
        = millisecondsToResume([](ReplicatedService& service) { service.killHost(1, milliseconds(700)); });
    BOOST_TEST_MESSAGE("commits are acknowledged after " << calm << " ms, beside a host that is cut off " << cut
                                                         << " ms, beside one that restarts " << restarted << " ms");
    const FleetContactSettings contact;
    BOOST_TEST(calm < 1500);
    BOOST_TEST(cut <= calm + contact.timeout / milliseconds(1) + 400);
    BOOST_TEST(restarted <= cut);
}

// A host that reaches neither other hosts nor the store serves no writes, and serves them again when either is back.
BOOST_AUTO_TEST_CASE(isolated_host_serves_writes_again_after_the_partition)
{
    ReplicatedService service(2);
    service.pass(warmUp);
    for (const size_t host : { coordinator, callers })
        service.setHostCut("p", host, true);
    for (const bool peersFirst : { true, false }) {
        service.setPeersCut(isolated, true);
        service.setHostStoreCut(isolated, true);
        for (const size_t host : { coordinator, callers })
            service.setHostCut("p", host, false);
        service.pass(FleetContactSettings().timeout + milliseconds(100));
        BOOST_TEST(!service.acknowledgesAt(isolated));
        service.setPeersCut(isolated, !peersFirst);
        service.setHostStoreCut(isolated, peersFirst);
        service.pass(milliseconds(700));
        BOOST_TEST(service.acknowledgesAt(isolated));
        service.setPeersCut(isolated, false);
        service.setHostStoreCut(isolated, false);
    }
}

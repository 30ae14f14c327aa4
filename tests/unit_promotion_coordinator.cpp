#include "support_replicated_service.h"
#include <boost/test/unit_test.hpp>
#include <random>

// Changes of the primary under faults, in virtual time: no acknowledged commit is lost, and the service recovers.
//
// To run more seeds by hand: COORDINATOR_SEEDS=5000 COORDINATOR_FIRST=1 build/unit_promotion_coordinator
// --run_test=random_faults. COORDINATOR_LATE_ORDERS=1 adds orders of promotions that arrive late. COORDINATOR_LOG=info
// writes the log of the coordinators.

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Time after the last fault within which commits must be acknowledged again.
constexpr Duration recoveryTime = seconds(12);
/// Time after the crash of the primary of a healthy service within which commits must be acknowledged again.
constexpr Duration crashRecoveryTime = seconds(4);
/// Time within which a replica must be promoted although another one has been gone for long.
constexpr Duration goneReplicaRecoveryTime = seconds(8);
/// Commits count as acknowledged continuously if the last acknowledgement is not older.
constexpr Duration acknowledgementInterval = seconds(1);
constexpr Duration warmUp = seconds(3);
/// Receive delay of a replica that lags behind, so that the other replica alone confirms the newest commits.
constexpr Duration lag = milliseconds(600);
/// From the loss of the store until the hosts have dropped the server: three heartbeats, the grace time, a margin.
constexpr Duration lapseTime = milliseconds(4200);

uint64_t numberFromEnvironment(const char* name, uint64_t fallback)
{
    const char* const text = std::getenv(name);
    return text == nullptr ? fallback : std::stoull(text);
}

bool acknowledges(const ReplicatedService& service)
{
    return !service.leader().empty() && service.now - service.lastAcknowledgement() < acknowledgementInterval;
}

/// Ends all faults except the absence of servers that have left or are dark.
void endFaults(ReplicatedService& service)
{
    for (const std::string& id : service.servers()) {
        service.restart(id);
        service.setStoreCut(id, false);
        service.setReplicationCut(id, false);
        service.setReceiveDelay(id, ReplicatedServiceTiming().receiveDelay);
        for (size_t host = 0; host < service.hosts(); ++host)
            service.setHostCut(id, host, false);
    }
    service.setPromotionAnswersLost(false);
    service.setPromotionLateness(Duration(0));
}

/// A service whose replica r1 lags behind, with the log level of the coordinators.
struct LaggingReplica {
    explicit LaggingReplica(size_t hosts = 1)
        : service(hosts)
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

/// A random schedule of faults over one service with two hosts.
class RandomFaults {
public:
    RandomFaults(uint64_t seed, bool lateOrders)
        : m_random(seed)
        , m_service(2, timing(m_random))
        , m_lateOrders(lateOrders)
    {
    }

    /// Runs the schedule and returns the violation, or nothing.
    std::string run();
    std::string trace() const { return m_service.trace(); }
    unsigned promotions() const { return m_service.promotions(); }
    size_t destroyed() const { return m_service.destroyed(); }

private:
    using Fault = void (RandomFaults::*)();

    Duration between(Duration least, Duration most)
    {
        return Duration(std::uniform_int_distribution<int64_t>(least.count(), most.count())(m_random));
    }
    std::string anyServer();
    std::string anyReplica();
    void pass(Duration);
    static ReplicatedServiceTiming timing(std::mt19937_64&);
    void healAfter(Duration, std::function<void()>);
    bool mayDestroy(const std::string& id) const;
    void exitWhenAllowed(const std::string& id, bool led);
    bool settled() const;

    void crash();
    void restartEmpty();
    void goDark();
    void loseStore();
    void loseHost();
    void losePrimary();
    void lagBehind();
    void changeCoordinator();
    void leave();
    void losePromotionAnswers();
    void delayPromotions();

    static constexpr Duration faultsEnd = seconds(26);
    static constexpr Duration settleLimit = seconds(15); ///< For the last servers to leave and to be replaced.
    static constexpr Duration handOverDelay = milliseconds(300);
    /// Shortest time between two destroyed logs: three polls of the primary.
    static constexpr Duration destructionInterval = milliseconds(1200);

    std::mt19937_64 m_random;
    ReplicatedService m_service;
    bool m_lateOrders;
    unsigned m_replaced = 0;
    std::string m_leaving;
    Instant m_destroyedAt; ///< When a log was last destroyed.
    std::optional<Instant> m_handOverAt;
};

ReplicatedServiceTiming RandomFaults::timing(std::mt19937_64& random)
{
    ReplicatedServiceTiming timing;
    timing.promotesStopped = random() % 2 == 0;
    timing.promotionResumes = random() % 2 == 0;
    timing.restartChangesStart = random() % 2 == 0;
    return timing;
}

std::string RandomFaults::anyServer()
{
    const std::vector<std::string> ids = m_service.servers();
    return ids[m_random() % ids.size()];
}

std::string RandomFaults::anyReplica()
{
    std::vector<std::string> ids = m_service.servers();
    ids.erase(std::remove(ids.begin(), ids.end(), m_service.leader()), ids.end());
    return ids.empty() ? anyServer() : ids[m_random() % ids.size()];
}

void RandomFaults::pass(Duration duration)
{
    constexpr Duration slice = milliseconds(50);
    for (Duration passed {}; passed < duration && m_service.losses().empty(); passed += slice) {
        m_service.pass(slice);
        if (!m_handOverAt && m_service.coordinatorUnreachable())
            m_handOverAt = m_service.now + handOverDelay;
        if (m_handOverAt && m_service.now >= *m_handOverAt)
            changeCoordinator();
    }
}

void RandomFaults::healAfter(Duration delay, std::function<void()> heal)
{
    m_service.timers.add(m_service.now + delay, std::move(heal));
}

void RandomFaults::crash()
{
    const std::string id = anyServer();
    if (!m_service.isRunning(id))
        return;
    m_service.crash(id);
    healAfter(between(milliseconds(300), seconds(8)), [this, id] { m_service.restart(id); });
}

void RandomFaults::restartEmpty()
{
    const std::string id = anyReplica();
    if (!mayDestroy(id))
        return;
    m_service.restartEmpty(id);
    m_destroyedAt = m_service.now;
}

// If no primary reports its position after the end of a log, nothing proves what the log contained.
bool RandomFaults::mayDestroy(const std::string& id) const
{
    const std::string primary = m_service.leader();
    return !primary.empty() && primary != id && m_service.isRunning(primary) && !m_service.isDark(primary)
        && !m_service.isDraining(primary) && !m_service.holdsOnlyCopy(id)
        && m_service.now - m_destroyedAt >= destructionInterval;
}

// A primary that nobody replaced may end too: it confirmed nothing that no replica has.
void RandomFaults::exitWhenAllowed(const std::string& id, bool led)
{
    const bool leads = m_service.leader() == id;
    if (!(leads && led && !m_service.holdsOnlyCopy(id)) && !mayDestroy(id)) {
        healAfter(milliseconds(200), [this, id, leads] { exitWhenAllowed(id, leads); });
        return;
    }
    m_service.exit(id);
    m_destroyedAt = m_service.now;
    healAfter(between(milliseconds(50), seconds(1)), [this, id] {
        m_service.replace(id, "s" + std::to_string(++m_replaced), m_random() % 2 == 0);
        m_leaving.clear();
    });
}

void RandomFaults::goDark()
{
    const std::string id = anyServer();
    m_service.setDark(id, true);
    healAfter(between(milliseconds(300), seconds(8)), [this, id] { m_service.setDark(id, false); });
}

void RandomFaults::loseStore()
{
    const std::string id = anyServer();
    m_service.setStoreCut(id, true);
    healAfter(between(seconds(1), seconds(14)), [this, id] { m_service.setStoreCut(id, false); });
}

void RandomFaults::loseHost()
{
    const std::string id = anyServer();
    const size_t host = m_random() % m_service.hosts();
    m_service.setHostCut(id, host, true);
    healAfter(between(milliseconds(300), seconds(8)), [this, id, host] { m_service.setHostCut(id, host, false); });
}

void RandomFaults::losePrimary()
{
    const std::string id = anyReplica();
    m_service.setReplicationCut(id, true);
    healAfter(between(milliseconds(300), seconds(5)), [this, id] { m_service.setReplicationCut(id, false); });
}

void RandomFaults::lagBehind()
{
    const std::string id = anyReplica();
    m_service.setReceiveDelay(id, between(milliseconds(5), seconds(1)));
}

void RandomFaults::changeCoordinator()
{
    m_handOverAt.reset();
    m_service.activate((m_service.coordinator() + 1) % m_service.hosts());
}

void RandomFaults::leave()
{
    const std::string id = anyServer();
    if (!m_leaving.empty() || !m_service.isRunning(id))
        return;
    m_leaving = id;
    m_service.drain(id);
    const Duration drainTime = between(seconds(1), seconds(5));
    healAfter(drainTime, [this, id] { m_service.deregister(id); });
    healAfter(drainTime + between(milliseconds(0), seconds(2)),
        [this, id] { exitWhenAllowed(id, m_service.leader() == id); });
}

void RandomFaults::losePromotionAnswers()
{
    m_service.setPromotionAnswersLost(true);
    healAfter(between(milliseconds(300), seconds(2)), [this] { m_service.setPromotionAnswersLost(false); });
}

void RandomFaults::delayPromotions()
{
    if (!m_lateOrders)
        return;
    m_service.setPromotionLateness(between(milliseconds(100), seconds(3)));
    healAfter(between(seconds(1), seconds(5)), [this] { m_service.setPromotionLateness(Duration(0)); });
}

bool RandomFaults::settled() const
{
    const std::vector<std::string> ids = m_service.servers();
    return m_leaving.empty() && std::all_of(ids.begin(), ids.end(), [&](const std::string& id) {
        return m_service.isRunning(id) && !m_service.isDark(id) && m_service.isRegistered(id);
    });
}

std::string RandomFaults::run()
{
    constexpr Fault faults[]
        = { &RandomFaults::crash, &RandomFaults::crash, &RandomFaults::restartEmpty, &RandomFaults::goDark,
              &RandomFaults::loseStore, &RandomFaults::loseStore, &RandomFaults::loseHost, &RandomFaults::losePrimary,
              &RandomFaults::lagBehind, &RandomFaults::lagBehind, &RandomFaults::changeCoordinator,
              &RandomFaults::leave, &RandomFaults::losePromotionAnswers, &RandomFaults::delayPromotions };
    pass(warmUp);
    const Instant end = m_service.now + faultsEnd - warmUp;
    while (m_service.now < end && m_service.losses().empty()) {
        (this->*faults[m_random() % (sizeof(faults) / sizeof(faults[0]))])();
        pass(between(milliseconds(50), seconds(3)));
    }
    const Instant settleEnd = m_service.now + settleLimit;
    do {
        endFaults(m_service);
        for (const std::string& id : m_service.servers())
            m_service.setDark(id, false);
        pass(milliseconds(500));
    } while (!settled() && m_service.now < settleEnd && m_service.losses().empty());
    m_service.note("all faults have ended");
    pass(recoveryTime);
    if (!m_service.losses().empty())
        return m_service.losses().front();
    if (!settled())
        return "a draining server was not replaced, or a server is not registered";
    return acknowledges(m_service) ? "" : "no commit is acknowledged after the last fault";
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

BOOST_AUTO_TEST_CASE(random_faults)
{
    setLogLevel(std::getenv("COORDINATOR_LOG") != nullptr ? std::getenv("COORDINATOR_LOG") : "error");
    const uint64_t first = numberFromEnvironment("COORDINATOR_FIRST", 1);
    const uint64_t seeds = numberFromEnvironment("COORDINATOR_SEEDS", 300);
    const bool lateOrders = numberFromEnvironment("COORDINATOR_LATE_ORDERS", 0) != 0;
    constexpr size_t maxTraces = 2;
    size_t failures = 0;
    size_t promotions = 0;
    size_t destroyed = 0;
    for (uint64_t seed = first; seed < first + seeds; ++seed) {
        RandomFaults schedule(seed, lateOrders);
        const std::string violation = schedule.run();
        promotions += schedule.promotions();
        destroyed += schedule.destroyed();
        if (violation.empty())
            continue;
        BOOST_ERROR("seed " << seed << ": " << violation);
        if (failures++ < maxTraces)
            BOOST_TEST_MESSAGE(schedule.trace());
    }
    BOOST_TEST_MESSAGE(failures << " of " << seeds << " seeds failed; " << promotions << " promotions took effect; "
                                << destroyed << " acknowledged commits had no copy left");
    if (seeds > maxTraces)
        BOOST_TEST(promotions > seeds);
}

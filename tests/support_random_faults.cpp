#include "support_random_faults.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <sstream>

namespace plantainwall {

using std::chrono::milliseconds;
using std::chrono::seconds;

uint64_t numberFromEnvironment(const char* name, uint64_t fallback)
{
    const char* const text = std::getenv(name);
    return text == nullptr ? fallback : std::stoull(text);
}

std::set<uint64_t> seedsFromEnvironment(const char* name)
{
    const char* const text = std::getenv(name);
    std::istringstream list(text == nullptr ? "" : text);
    std::set<uint64_t> seeds;
    for (std::string seed; std::getline(list, seed, ',');)
        seeds.insert(std::stoull(seed));
    return seeds;
}

bool acknowledges(const ReplicatedService& service)
{
    return !service.leader().empty() && service.now - service.lastAcknowledgement() < acknowledgementInterval;
}

void endFaults(ReplicatedService& service)
{
    for (const std::string& id : service.servers()) {
        service.restart(id);
        service.setStoreCut(id, false);
        service.setReplicationCut(id, false);
        service.setReceiveDelay(id, ReplicatedServiceTiming().receiveDelay);
        for (size_t host = 0; host < service.hosts(); ++host) {
            service.setHostCut(id, host, false);
            service.setHostRefused(id, host, false);
        }
    }
    for (size_t host = 0; host <= service.hosts(); ++host) {
        service.setPeersCut(host, false);
        service.setHostStoreCut(host, false);
    }
    service.setPromotionAnswersLost(false);
    service.setPromotionLateness(Duration(0));
}

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
    healAfter(between(milliseconds(300), m_settings.longestSilence), [this, id] { m_service.setDark(id, false); });
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
    cutHost(id, host, between(milliseconds(300), m_settings.longestSilence));
}

void RandomFaults::cutHost(const std::string& id, size_t host, Duration duration)
{
    bool otherReaches = !m_settings.isolates;
    for (size_t other = 0; other < m_service.hosts(); ++other)
        otherReaches = otherReaches || (other != host && !m_service.isHostCut(id, other));
    if (!otherReaches)
        return;
    m_service.setHostCut(id, host, true);
    healAfter(duration, [this, id, host] { m_service.setHostCut(id, host, false); });
}

void RandomFaults::loseStoreAndHosts()
{
    const std::string id = anyReplica();
    const Duration duration = between(seconds(6), m_settings.longestSilence);
    m_service.setStoreCut(id, true);
    healAfter(duration, [this, id] { m_service.setStoreCut(id, false); });
    for (size_t host = 0; host < m_service.hosts(); ++host) {
        if (host == m_service.coordinator() || m_random() % 2 == 0)
            cutHost(id, host, duration);
    }
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
    size_t next = (m_service.coordinator() + 1) % m_service.hosts();
    for (size_t i = 1; i < m_service.hosts() && !m_service.hostRuns(next); ++i)
        next = (next + 1) % m_service.hosts();
    if (m_service.hostRuns(next))
        m_service.activate(next);
    else
        m_handOverAt = m_service.now + handOverDelay;
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
    if (!m_settings.lateOrders)
        return;
    m_service.setPromotionLateness(between(milliseconds(100), seconds(3)));
    healAfter(between(seconds(1), seconds(5)), [this] { m_service.setPromotionLateness(Duration(0)); });
}

void RandomFaults::killHost()
{
    const bool coordinator = m_random() % 2 == 0;
    const size_t host = coordinator ? m_service.coordinator() : m_random() % (m_service.hosts() + 1);
    if (!m_service.hostRuns(host))
        return;
    ++m_hostsKilled;
    m_service.killHost(host, between(milliseconds(300), seconds(3)));
    if (host != m_service.coordinator())
        return;
    ++m_coordinatorsKilled;
    m_handOverAt = m_service.now + electionTime;
}

void RandomFaults::isolateHost()
{
    const size_t host = m_random() % (m_service.hosts() + 1);
    const bool store = m_random() % 3 == 0;
    ++m_hostsIsolated;
    m_service.setPeersCut(host, true);
    m_service.setHostStoreCut(host, store);
    // A coordinator that does not reach the store loses its role to a host that does.
    if (store && host == m_service.coordinator())
        m_handOverAt = m_service.now + electionTime;
    healAfter(between(milliseconds(300), seconds(8)), [this, host] {
        m_service.setPeersCut(host, false);
        m_service.setHostStoreCut(host, false);
    });
}

bool RandomFaults::settled() const
{
    const std::vector<std::string> ids = m_service.servers();
    return m_leaving.empty() && std::all_of(ids.begin(), ids.end(), [&](const std::string& id) {
        return m_service.isRunning(id) && !m_service.isDark(id) && m_service.isRegistered(id);
    });
}

void RandomFaults::run()
{
    constexpr Fault faults[]
        = { &RandomFaults::crash, &RandomFaults::crash, &RandomFaults::restartEmpty, &RandomFaults::goDark,
              &RandomFaults::loseStore, &RandomFaults::loseStore, &RandomFaults::loseHost, &RandomFaults::losePrimary,
              &RandomFaults::lagBehind, &RandomFaults::lagBehind, &RandomFaults::changeCoordinator,
              &RandomFaults::leave, &RandomFaults::losePromotionAnswers, &RandomFaults::delayPromotions };
    pass(warmUp);
    const Instant end = m_service.now + m_settings.faultsEnd - warmUp;
    while (m_service.now < end && m_service.losses().empty()) {
        if (m_settings.hostFaults && m_random() % 3 == 0)
            m_random() % 2 == 0 ? killHost() : isolateHost();
        else if (m_settings.isolates && m_random() % 3 == 0)
            loseStoreAndHosts();
        else
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
}

std::string RandomFaults::outage() const
{
    if (!m_service.losses().empty())
        return "";
    if (!settled())
        return "a draining server was not replaced, or a server is not registered";
    return acknowledges(m_service) ? "" : "no commit is acknowledged after the last fault";
}

RandomFaultsSettings longSilences()
{
    RandomFaultsSettings settings;
    settings.hosts = 3;
    settings.longestSilence = seconds(16);
    settings.isolates = true;
    settings.faultsEnd = seconds(40);
    return settings;
}

RandomFaultsSettings hostFaults()
{
    RandomFaultsSettings settings;
    settings.hosts = 3;
    settings.hostFaults = true;
    settings.lateOrders = true;
    return settings;
}

void checkRandomFaults(std::string (RandomFaults::*violation)() const, RandomFaultsSettings settings)
{
    setLogLevel(std::getenv("COORDINATOR_LOG") != nullptr ? std::getenv("COORDINATOR_LOG") : "error");
    const uint64_t first = numberFromEnvironment("COORDINATOR_FIRST", 1);
    const uint64_t seeds = numberFromEnvironment("COORDINATOR_SEEDS", 300);
    settings.lateOrders = settings.lateOrders || numberFromEnvironment("COORDINATOR_LATE_ORDERS", 0) != 0;
    const std::set<uint64_t> knownRed = seedsFromEnvironment("COORDINATOR_KNOWN_RED");
    constexpr size_t maxTraces = 2;
    size_t failures = 0;
    size_t promotions = 0;
    size_t destroyed = 0;
    size_t killed = 0;
    size_t coordinatorsKilled = 0;
    size_t isolated = 0;
    for (uint64_t seed = first; seed < first + seeds; ++seed) {
        RandomFaults schedule(seed, settings);
        schedule.run();
        const std::string found = (schedule.*violation)();
        promotions += schedule.promotions();
        destroyed += schedule.destroyed();
        killed += schedule.hostsKilled();
        coordinatorsKilled += schedule.coordinatorsKilled();
        isolated += schedule.hostsIsolated();
        if (found.empty())
            continue;
        if (knownRed.count(seed) != 0) {
            BOOST_TEST_MESSAGE("known fault, seed " << seed << ": " << found);
            continue;
        }
        BOOST_ERROR("seed " << seed << ": " << found);
        if (failures++ < maxTraces)
            BOOST_TEST_MESSAGE(schedule.trace());
    }
    BOOST_TEST_MESSAGE(failures << " of " << seeds << " seeds failed; " << promotions << " promotions took effect; "
                                << destroyed << " acknowledged commits had no copy left");
    if (settings.hostFaults)
        BOOST_TEST_MESSAGE(killed << " hosts were killed, " << coordinatorsKilled << " of them as coordinators, and "
                                  << isolated << " cut off");
    if (seeds <= maxTraces)
        return;
    BOOST_TEST(promotions > seeds);
    BOOST_TEST((!settings.hostFaults || (coordinatorsKilled > seeds / 2 && isolated > seeds / 2)));
}

} // namespace plantainwall

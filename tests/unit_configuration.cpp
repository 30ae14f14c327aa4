#include "configuration.h"
#include <boost/test/unit_test.hpp>
#include <functional>
#include <iostream>
#include <rapidcheck.h>

using namespace plantainwall;

namespace {

using namespace std::chrono_literals;

constexpr size_t dataCentres = 3;
constexpr Duration convergenceTime = 3s;

StoreEntry entryAt(const std::string& key, uint64_t revision, uint64_t rate)
{
    ConfigEnvelope envelope;
    envelope.value = "rate_per_s = " + std::to_string(rate) + "\nburst = 1";
    return { key, encodeEnvelope(envelope), revision };
}

/// Simulates the store, the entry hosts and the network in virtual time.
class Simulation {
public:
    struct Faults {
        double loss = 0;
        double duplication = 0;
        Duration maxDelay = 50ms;
        bool storeUp = true;
    };

    Simulation(uint64_t seed, size_t hostCount)
        : m_random(seed)
    {
        for (size_t i = 0; i < hostCount; ++i)
            m_hosts.push_back({});
        for (size_t i = 0; i < hostCount; ++i)
            restart(i);
    }

    void restart(size_t i)
    {
        Host& host = m_hosts[i];
        ++host.incarnation;
        host.config = std::make_unique<Configuration>(m_random(), m_now);
        host.config->setTopology(topologyOf(i));
        host.rates.clear();
        host.revision = 0;
    }

    /// Performs an operator's compare-and-swap through a host, whose reply may be lost. Returns whether the store
    /// applied it.
    bool change(size_t host, const std::string& key, uint64_t expected)
    {
        if (!faults.storeUp || m_store[key].revision != expected)
            return false;
        ++m_storeRevision;
        m_store[key] = entryAt(key, m_storeRevision, m_storeRevision);
        const StoreEntry entry = m_store[key];
        send(host, [this, host, entry] { m_hosts[host].config->changeAccepted(entry); });
        return true;
    }

    uint64_t revisionOf(const std::string& key) { return m_store[key].revision; }

    void run(Duration time)
    {
        const Instant end = m_now + time;
        for (; m_now < end; m_now += 5ms) {
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                const std::function<void()> event = std::move(m_events.begin()->second);
                m_events.erase(m_events.begin());
                event();
            }
            for (size_t i = 0; i < m_hosts.size(); ++i)
                step(i);
            if (m_now.time_since_epoch() % 1s == 0s)
                gossip();
        }
    }

    bool converged() const
    {
        return std::all_of(m_hosts.begin(), m_hosts.end(), [this](const Host& host) {
            return host.config->snapshot() && host.config->snapshot()->revision == latestStored();
        });
    }

    const Configuration& host(size_t i) const { return *m_hosts[i].config; }
    Instant now() const { return m_now; }
    size_t pushes() const { return m_pushes; }

    Faults faults;
    std::vector<std::string> violations;

private:
    struct Host {
        uint64_t incarnation = 0;
        std::unique_ptr<Configuration> config;
        std::map<std::string, double> rates; ///< Last rate in force, by customer.
        uint64_t revision = 0;
    };

    uint64_t latestStored() const
    {
        uint64_t latest = 0;
        for (const std::pair<const std::string, StoreEntry>& entry : m_store)
            latest = std::max(latest, entry.second.revision);
        return latest;
    }

    ConfigTopology topologyOf(size_t self) const
    {
        ConfigTopology topology;
        topology.relay = self < 2 * dataCentres;
        for (size_t i = 0; i < m_hosts.size(); ++i) {
            if (i == self)
                continue;
            const std::string name = std::to_string(i);
            const bool local = i % dataCentres == self % dataCentres;
            const bool relay = i < 2 * dataCentres;
            topology.peers.push_back(name);
            if (relay)
                topology.relays.push_back(name);
            if (local)
                topology.localHosts.push_back(name);
            if (local && relay)
                topology.localRelays.push_back(name);
        }
        return topology;
    }

    bool chance(double probability) { return std::uniform_real_distribution<double>(0, 1)(m_random) < probability; }

    void schedule(Duration delay, std::function<void()> event) { m_events.emplace(m_now + delay, std::move(event)); }

    /// Delivers a message to the current incarnation of a host; it may be delayed, duplicated or lost.
    void send(size_t to, const std::function<void()>& message)
    {
        const uint64_t incarnation = m_hosts[to].incarnation;
        const size_t copies = chance(faults.loss) ? 0 : (chance(faults.duplication) ? 2 : 1);
        for (size_t i = 0; i < copies; ++i) {
            schedule(Duration(m_random() % static_cast<uint64_t>(faults.maxDelay.count())),
                [this, to, incarnation, message] {
                    if (m_hosts[to].incarnation == incarnation)
                        message();
                });
        }
    }

    StoreListing listing(uint64_t after) const
    {
        StoreListing result;
        result.revision = m_storeRevision;
        for (const std::pair<const std::string, StoreEntry>& entry : m_store) {
            if (entry.second.revision > after)
                result.entries.push_back(entry.second);
        }
        return result;
    }

    void answerWatch(size_t i, const WatchStore& watch)
    {
        if (faults.storeUp && m_storeRevision == watch.after && m_now < watch.sentAt + watch.wait) {
            const uint64_t incarnation = m_hosts[i].incarnation;
            schedule(10ms, [this, i, watch, incarnation] {
                if (m_hosts[i].incarnation == incarnation)
                    answerWatch(i, watch);
            });
            return;
        }
        const StoreListing result = listing(watch.after);
        if (faults.storeUp)
            send(i, [this, i, watch, result] { m_hosts[i].config->watchAnswered(watch, result); });
    }

    void perform(size_t i, const ConfigAction& action)
    {
        if (const WatchStore* watch = std::get_if<WatchStore>(&action)) {
            schedule(5ms, [this, i, watch = *watch] { answerWatch(i, watch); });
        } else if (const ListStore* list = std::get_if<ListStore>(&action)) {
            const StoreListing result = listing(0);
            if (faults.storeUp)
                send(i, [this, i, list = *list, result] { m_hosts[i].config->listAnswered(list, result); });
        } else if (const FetchFromPeer* fetch = std::get_if<FetchFromPeer>(&action)) {
            const size_t to = std::stoul(fetch->host);
            send(to, [this, i, to, fetch = *fetch] {
                const std::optional<ConfigBatch> batch = m_hosts[to].config->changesSince(fetch.after, m_now);
                if (batch)
                    send(i, [this, i, fetch, batch] { m_hosts[i].config->fetchAnswered(fetch, *batch); });
            });
        } else if (const PushToPeers* push = std::get_if<PushToPeers>(&action)) {
            for (const std::string& host : push->hosts) {
                const size_t to = std::stoul(host);
                ++m_pushes;
                send(to, [this, to, batch = push->batch] { m_hosts[to].config->pushReceived(batch); });
            }
        }
    }

    void step(size_t i)
    {
        for (const ConfigAction& action : m_hosts[i].config->tick(m_now))
            perform(i, action);
        Host& host = m_hosts[i];
        const std::shared_ptr<const ConfigSnapshot> snapshot = host.config->snapshot();
        if (!snapshot)
            return;
        if (snapshot->revision < host.revision)
            violations.push_back("host " + std::to_string(i) + ": snapshot revision decreased");
        host.revision = snapshot->revision;
        for (const std::pair<const std::string, CustomerConfig>& customer : snapshot->customers) {
            double& previousRate = host.rates[customer.first];
            if (customer.second.ratePerSecond < previousRate)
                violations.push_back("host " + std::to_string(i) + ": " + customer.first + " was reverted");
            previousRate = customer.second.ratePerSecond;
        }
        if (snapshot->customers.size() < host.rates.size())
            violations.push_back("host " + std::to_string(i) + ": a customer disappeared");
    }

    void gossip()
    {
        for (size_t i = 0; i < m_hosts.size(); ++i) {
            const ConfigDigest digest = m_hosts[i].config->digest(m_now);
            for (int n = 0; n < 3; ++n) {
                const size_t to = m_random() % m_hosts.size();
                send(to, [this, to, i, digest] { m_hosts[to].config->digestReceived(std::to_string(i), digest); });
            }
        }
    }

    std::mt19937_64 m_random;
    Instant m_now {};
    std::multimap<Instant, std::function<void()>> m_events;
    std::vector<Host> m_hosts;
    std::map<std::string, StoreEntry> m_store;
    uint64_t m_storeRevision = 0;
    size_t m_pushes = 0;
};

std::string keyOf(uint64_t i) { return "config/teams/t" + std::to_string(i) + "/limits"; }

void injectFaults(Simulation& simulation, std::mt19937_64& random, size_t hosts)
{
    simulation.faults.loss = 0.3;
    simulation.faults.duplication = 0.3;
    simulation.faults.maxDelay = 1500ms;
    for (int n = 0; n < 30; ++n) {
        const std::string key = keyOf(random() % 4);
        const uint64_t expected = simulation.revisionOf(key);
        // Two operators race through two hosts; the store accepts at most one change.
        const bool first = simulation.change(random() % hosts, key, expected);
        const bool second = simulation.change(random() % hosts, key, expected);
        RC_ASSERT(!(first && second));
        if (random() % 4 == 0)
            simulation.restart(random() % hosts);
        if (random() % 6 == 0)
            simulation.faults.storeUp = !simulation.faults.storeUp;
        simulation.run(std::chrono::milliseconds(random() % 40 * 10));
    }
}

} // namespace

// Guards against a copy that reverts when messages are lost, duplicated, delayed or reordered, hosts restart, the store
// is down or operators race, and against hosts that have not converged 3 s after the faults end.
BOOST_AUTO_TEST_CASE(copies_never_revert_and_converge)
{
    BOOST_TEST(rc::check("copies never revert and converge", [](uint64_t seed) {
        RC_LOG() << "seed " << seed << std::endl;
        std::mt19937_64 random(seed);
        const size_t hosts = 8 + random() % 13;
        Simulation simulation(seed, hosts);
        simulation.run(2s);
        injectFaults(simulation, random, hosts);
        simulation.faults = {};
        simulation.run(convergenceTime);
        RC_LOG() << (simulation.violations.empty() ? "" : simulation.violations.front()) << std::endl;
        RC_ASSERT(simulation.violations.empty());
        RC_ASSERT(simulation.converged());
    }));
}

// Seeds that had not converged: the store came back for a moment, and the watches that all relays sent then were lost.
BOOST_AUTO_TEST_CASE(relays_converge_after_watches_that_were_lost_together)
{
    for (const uint64_t seed : { 14119891876ULL, 421913724ULL, 7681ULL }) {
        std::mt19937_64 random(seed);
        const size_t hosts = 8 + random() % 13;
        Simulation simulation(seed, hosts);
        simulation.run(2s);
        injectFaults(simulation, random, hosts);
        simulation.faults = {};
        simulation.run(convergenceTime);
        BOOST_TEST(simulation.converged(), "seed " << seed);
    }
}

// The same for one relay: after a failed call it does not wait for a whole watch to notice that the next one is lost.
BOOST_AUTO_TEST_CASE(a_watch_that_is_lost_after_an_outage_is_repeated_soon)
{
    Instant now {};
    Configuration config(1, now);
    ConfigTopology topology;
    topology.relay = true;
    config.setTopology(topology);
    const auto watch = [&](Duration limit) {
        for (const Instant end = now + limit; now < end; now += 5ms) {
            for (const ConfigAction& action : config.tick(now)) {
                if (const WatchStore* const sent = std::get_if<WatchStore>(&action))
                    return std::make_optional(*sent);
                if (const ListStore* const list = std::get_if<ListStore>(&action))
                    config.listAnswered(*list, { 5, {} });
            }
        }
        return std::optional<WatchStore>();
    };
    const ConfigTiming timing;
    const std::optional<WatchStore> first = watch(1s);
    BOOST_REQUIRE(first.has_value());
    BOOST_TEST(first->wait.count() == timing.watchWait.count());
    config.watchFailed(*first, StoreFailure::Unavailable, now);
    const std::optional<WatchStore> second = watch(timing.minStoreRetryDelay + 5ms);
    BOOST_REQUIRE(second.has_value()); // It is lost.
    now += 5ms;
    const std::optional<WatchStore> third = watch(timing.watchGrace + 2 * timing.minStoreRetryDelay + 200ms);
    BOOST_REQUIRE(third.has_value());
    config.watchAnswered(*third, { 5, {} });
    const std::optional<WatchStore> fourth = watch(100ms);
    BOOST_REQUIRE(fourth.has_value());
    BOOST_TEST(fourth->wait.count() == timing.watchWait.count());
}

// Guards against a change that only spreads through the store: the store goes down right after accepting the change,
// and 2% of the messages are lost.
BOOST_AUTO_TEST_CASE(an_accepted_change_spreads_without_the_store)
{
    BOOST_TEST(rc::check("an accepted change spreads without the store", [](uint64_t seed) {
        RC_LOG() << "seed " << seed << std::endl;
        Simulation simulation(seed, 20);
        simulation.run(3s);
        RC_ASSERT(simulation.converged());
        simulation.change(seed % 20, keyOf(0), 0);
        simulation.run(100ms);
        simulation.faults.storeUp = false;
        simulation.change(seed % 20, keyOf(1), 0);
        simulation.faults.loss = 0.02;
        simulation.run(convergenceTime);
        RC_ASSERT(simulation.converged());
        RC_ASSERT(simulation.violations.empty());
    }));
}

// Guards against an accepted change that only spreads with the next gossip round.
BOOST_AUTO_TEST_CASE(an_accepted_change_is_pushed_at_once)
{
    Simulation simulation(5, 20);
    simulation.run(3100ms);
    simulation.change(19, keyOf(0), 0);
    simulation.faults.storeUp = false;
    simulation.run(200ms);
    BOOST_TEST(simulation.converged());
}

// Guards against an age that stops growing during a store outage or keeps growing while the store is up.
BOOST_AUTO_TEST_CASE(age_shows_an_outage)
{
    Simulation simulation(7, 12);
    simulation.run(10s);
    for (size_t i = 0; i < 12; ++i)
        BOOST_TEST(simulation.host(i).age(simulation.now()).count() < Duration(5s).count());
    simulation.faults.storeUp = false;
    simulation.run(60s);
    for (size_t i = 0; i < 12; ++i) {
        BOOST_TEST(simulation.host(i).age(simulation.now()).count() >= Duration(60s).count());
        BOOST_TEST(simulation.host(i).age(simulation.now()).count() < Duration(65s).count());
    }
    // A host that starts during the outage gets its copy and the age of the copy from a peer.
    simulation.restart(11);
    simulation.run(500ms);
    BOOST_TEST(!simulation.host(11).snapshot());
    simulation.run(2s);
    BOOST_REQUIRE(simulation.host(11).snapshot());
    BOOST_TEST(simulation.host(11).age(simulation.now()).count() >= Duration(60s).count());
}

// Guards against push amplification: the accepting host pushes at most once to each relay, and each relay at most once
// to each host of its data centre.
BOOST_AUTO_TEST_CASE(pushes_per_change_are_bounded)
{
    constexpr size_t hosts = 750;
    Simulation simulation(3, hosts);
    simulation.run(3s);
    BOOST_TEST(simulation.change(hosts - 1, keyOf(0), 0));
    simulation.run(2s);
    BOOST_TEST(simulation.converged());
    std::cout << "pushes for one change at " << hosts << " hosts: " << simulation.pushes() << std::endl;
    BOOST_TEST(simulation.pushes() <= 2 * dataCentres + 2 * hosts);
}

// Guards against a copy that keeps an entry that was deleted while this host received no changes, and against an old
// push that restores the deleted entry.
BOOST_AUTO_TEST_CASE(a_full_listing_removes_absent_entries)
{
    Configuration config(1, Instant {});
    config.listAnswered({ 1, {} }, { 5, { entryAt(keyOf(0), 3, 30), entryAt(keyOf(1), 5, 50) } });
    BOOST_TEST(config.snapshot()->customers.size() == 2);
    config.watchFailed({ 2, 5, 2s, {} }, StoreFailure::Gap, Instant {});
    config.listAnswered({ 3, {} }, { 9, { entryAt(keyOf(1), 5, 50) } });
    BOOST_TEST(config.snapshot()->customers.size() == 1);
    config.pushReceived({ 0, 0, false, {}, { entryAt(keyOf(0), 8, 80) } });
    BOOST_TEST(config.snapshot()->customers.size() == 1);
    // A lagging replica of the store returns an earlier listing.
    config.listAnswered({ 4, {} }, { 6, { entryAt(keyOf(0), 6, 60) } });
    BOOST_TEST(config.snapshot()->customers.size() == 1);
    BOOST_TEST(config.snapshot()->revision == 9);
    // A host that started after the deletion has no record of it.
    Configuration fresh(1, Instant {});
    fresh.listAnswered({ 1, {} }, { 9, { entryAt(keyOf(1), 5, 50) } });
    fresh.pushReceived({ 0, 0, false, {}, { entryAt(keyOf(0), 8, 80) } });
    BOOST_TEST(fresh.snapshot()->customers.size() == 1);
}

// A peer that started after a deletion has no record of it. Guards against the deletion being missed, and against the
// peer sending its whole copy.
BOOST_AUTO_TEST_CASE(a_peer_without_the_deletion_lists_its_keys)
{
    Configuration lagging(1, Instant {});
    lagging.listAnswered({ 1, {} }, { 5, { entryAt(keyOf(0), 3, 30), entryAt(keyOf(1), 5, 50) } });
    Configuration fresh(2, Instant {});
    fresh.listAnswered({ 1, {} }, { 9, { entryAt(keyOf(1), 5, 50), entryAt(keyOf(2), 8, 80) } });
    const ConfigBatch batch = decodeBatch(encodeBatch(*fresh.changesSince(5, Instant {})));
    BOOST_TEST(batch.entries.size() == 1);
    lagging.fetchAnswered({ 2, "fresh", 5, {} }, batch);
    BOOST_TEST(lagging.snapshot()->customers.count("t0") == 0);
    BOOST_TEST(lagging.snapshot()->customers.count("t1") == 1);
    BOOST_TEST(lagging.snapshot()->customers.count("t2") == 1);
}

// Guards against a pushed entry being taken as proof that all earlier changes have arrived.
BOOST_AUTO_TEST_CASE(a_push_does_not_hide_a_missing_change)
{
    Configuration config(1, Instant {});
    config.listAnswered({ 1, {} }, { 5, {} });
    config.pushReceived({ 5, 8, true, {}, { entryAt(keyOf(0), 8, 80) } });
    config.fetchAnswered(
        { 2, "1", 5, {} }, { 5, 8, false, {}, { entryAt(keyOf(1), 7, 70), entryAt(keyOf(0), 8, 80) } });
    BOOST_TEST(config.snapshot()->customers.size() == 2);
}

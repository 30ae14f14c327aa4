#include "support_fleet.h"
#include <cpprest/json.h>
#include <sstream>

namespace plantainwall {

namespace {

    /// Time for a call of the store and its answer.
    constexpr Duration storeRoundTrip = std::chrono::milliseconds(8);

    /// Time that a host waits for an answer of the store.
    constexpr Duration callTimeout = std::chrono::milliseconds(1500);

    constexpr Duration step = std::chrono::milliseconds(20);

} // namespace

void FakeTimers::run(Instant now)
{
    while (!m_tasks.empty() && m_tasks.begin()->first <= now) {
        const std::function<void()> task = std::move(m_tasks.begin()->second);
        m_tasks.erase(m_tasks.begin());
        task();
    }
}

void FakeFleetStore::after(Duration delay, std::function<void()> task) { m_timers.add(m_now + delay, std::move(task)); }

void FakeFleetStore::afterRoundTrip(std::function<void()> task) { after(storeRoundTrip, std::move(task)); }

void FakeFleetStore::afterTimeout(std::function<void()> task) { m_timers.add(m_now + callTimeout, std::move(task)); }

StoreItems FakeFleetStore::since(uint64_t revision) const
{
    StoreItems result;
    result.outcome = revision > m_revision ? StoreOutcome::HistoryLost : StoreOutcome::Ok;
    result.era = m_era;
    if (result.outcome != StoreOutcome::Ok)
        return result;
    result.asOf = m_revision;
    for (const auto& [key, item] : m_items) {
        if (item.revision > revision)
            result.items.push_back(item);
    }
    std::sort(result.items.begin(), result.items.end(),
        [](const StoreItem& a, const StoreItem& b) { return a.revision < b.revision; });
    return result;
}

void FakeFleetStore::list(const std::string&, const std::string&, std::function<void(StoreItems)> handler)
{
    afterRoundTrip([this, handler = std::move(handler)] {
        StoreItems listing = unavailable ? StoreItems() : since(0);
        const auto isRemoved = [](const StoreItem& item) { return item.removed; };
        listing.items.erase(std::remove_if(listing.items.begin(), listing.items.end(), isRemoved), listing.items.end());
        handler(std::move(listing));
    });
}

void FakeFleetStore::watch(const std::string&, uint64_t after, Duration wait, std::function<void(StoreItems)> handler)
{
    ++watches;
    if (unavailable || m_revision != after) {
        afterRoundTrip(
            [this, after, handler = std::move(handler)] { handler(unavailable ? StoreItems() : since(after)); });
        return;
    }
    const std::shared_ptr<Watch> watch = std::make_shared<Watch>();
    watch->after = after;
    watch->handler = std::move(handler);
    m_watches.push_back(watch);
    m_timers.add(m_now + wait, [this, watch] {
        if (watch->done)
            return;
        watch->done = true;
        watch->handler(unavailable || watch->lost ? StoreItems() : since(watch->after));
    });
}

void FakeFleetStore::snapshot() { m_copy = { m_items, m_leaseOf, m_leases, m_revision, leases }; }

void FakeFleetStore::restore()
{
    m_items = m_copy.items;
    m_leaseOf = m_copy.leaseOf;
    m_leases = m_copy.leases;
    m_revision = m_copy.revision;
    leases = m_copy.lastLease;
    ++m_era;
    for (auto& [id, lease] : m_leases) {
        lease.endsAt = m_now + lease.lifetime;
        scheduleLeaseEnd(id);
    }
    for (const std::shared_ptr<Watch>& watch : m_watches) {
        watch->lost = true;
        if (watch->done || losesWatches)
            continue;
        watch->done = true;
        afterRoundTrip([watch] { watch->handler({}); });
    }
    m_watches.clear();
}

std::vector<std::string> FakeFleetStore::keysOf(const std::string& prefix) const
{
    std::vector<std::string> result;
    for (const auto& [key, item] : m_items) {
        if (!item.removed && key.rfind(prefix, 0) == 0)
            result.push_back(key);
    }
    return result;
}

std::vector<uint64_t> FakeFleetStore::leasesOf(const std::string& prefix) const
{
    std::vector<uint64_t> result;
    for (const auto& [key, item] : m_items) {
        if (!item.removed && key.rfind(prefix, 0) == 0)
            result.push_back(m_leaseOf.at(key));
    }
    return result;
}

template <typename Result> std::function<void(Result)> FakeHostStore::filter(std::function<void(Result)> handler)
{
    return [this, handler = std::move(handler)](Result result) {
        if (refuses)
            result = {};
        if (rejects) {
            const uint64_t era = result.era;
            result = {};
            result.outcome = StoreOutcome::Refused;
            result.era = era;
        }
        m_newestEra = std::max(m_newestEra, result.era);
        handler(std::move(result));
    };
}

bool FakeHostStore::holds(uint64_t lease) const
{
    const auto it = m_eraOfLease.find(lease);
    return it != m_eraOfLease.end() && it->second == m_store.era();
}

void FakeHostStore::checkLease(uint64_t lease)
{
    // 0: an item without a lease.
    if (lease != 0)
        callsWithForeignLease += m_eraOfLease[lease] == m_newestEra ? 0 : 1;
}

std::function<void(StoreItems)> FakeHostStore::cancellable(std::function<void(StoreItems)> handler)
{
    m_reads.erase(
        std::remove_if(m_reads.begin(), m_reads.end(), [](const auto& read) { return !*read; }), m_reads.end());
    const auto read = std::make_shared<std::function<void(StoreItems)>>(
        filter<StoreItems>([this, handler = std::move(handler)](
                               StoreItems items) { handler(refusesReads ? StoreItems() : std::move(items)); }));
    m_reads.push_back(read);
    return [read](StoreItems items) {
        const std::function<void(StoreItems)> handler = std::exchange(*read, nullptr);
        if (handler)
            handler(std::move(items));
    };
}

template <typename Result> bool FakeHostStore::ignoresCall(const std::function<void(Result)>& handler)
{
    if (ignores)
        m_store.afterTimeout([handler] { handler(Result()); });
    return ignores;
}

void FakeHostStore::cancelReads()
{
    for (const std::shared_ptr<std::function<void(StoreItems)>>& read : m_reads) {
        const std::function<void(StoreItems)> handler = std::exchange(*read, nullptr);
        if (handler)
            m_store.afterRoundTrip([handler] { handler({}); });
    }
    m_reads.clear();
}

void FakeHostStore::list(const std::string& prefix, const std::string& after, std::function<void(StoreItems)> handler)
{
    ++reads;
    const std::function<void(StoreItems)> read = cancellable(std::move(handler));
    if (!ignoresCall(read))
        m_store.list(prefix, after, read);
}

void FakeHostStore::watch(
    const std::string& prefix, uint64_t after, Duration wait, std::function<void(StoreItems)> handler)
{
    ++reads;
    const std::function<void(StoreItems)> read = cancellable(std::move(handler));
    if (!ignoresCall(read))
        m_store.watch(prefix, after, wait, read);
}

void FakeHostStore::write(const StoreWrite& write, std::function<void(StoreResult)> handler)
{
    if (beforeWrite)
        beforeWrite(write);
    checkLease(write.lease);
    if (!ignoresCall(handler))
        m_store.write(write, filter(std::move(handler)));
}

void FakeHostStore::createLease(Duration lifetime, std::function<void(StoreResult)> handler)
{
    if (ignoresCall(handler))
        return;
    const std::function<void(StoreResult)> answered
        = filter(std::function<void(StoreResult)>([this, handler = std::move(handler)](const StoreResult& result) {
              if (result.outcome == StoreOutcome::Ok)
                  m_eraOfLease[result.number] = result.era;
              handler(result);
          }));
    m_store.createLease(lifetime, [this, answered](const StoreResult& result) {
        m_store.after(leaseDelay, [answered, result] { answered(result); });
    });
}

void FakeHostStore::keepLease(uint64_t lease, std::function<void(StoreResult)> handler)
{
    checkLease(lease);
    if (refusesRenewals) {
        m_store.keepLease(0, [handler = std::move(handler)](const StoreResult&) { handler({}); });
        return;
    }
    if (!ignoresCall(handler))
        m_store.keepLease(lease, filter(std::move(handler)));
}

void FakeFleetStore::put(const std::string& key, const std::string& value, uint64_t lease)
{
    m_items[key] = { key, value, ++m_revision, false };
    m_leaseOf[key] = lease;
    notifyWatches();
}

void FakeFleetStore::erase(const std::string& key)
{
    StoreItem& item = m_items[key];
    item = { key, {}, ++m_revision, true };
    notifyWatches();
}

std::optional<std::string> FakeFleetStore::valueOf(const std::string& key) const
{
    const auto it = m_items.find(key);
    return it == m_items.end() || it->second.removed ? std::nullopt : std::make_optional(it->second.value);
}

uint64_t FakeFleetStore::revisionOf(const std::string& key) const
{
    const auto it = m_items.find(key);
    return it == m_items.end() || it->second.removed ? 0 : it->second.revision;
}

void FakeFleetStore::notifyWatches()
{
    const std::vector<std::shared_ptr<Watch>> watches = std::move(m_watches);
    m_watches.clear();
    for (const std::shared_ptr<Watch>& watch : watches) {
        if (watch->done)
            continue;
        watch->done = true;
        afterRoundTrip([this, watch] { watch->handler(since(watch->after)); });
    }
}

void FakeFleetStore::write(const StoreWrite& write, std::function<void(StoreResult)> handler)
{
    StoreResult result;
    result.era = unavailable ? 0 : m_era;
    result.outcome = unavailable ? StoreOutcome::Unreachable : StoreOutcome::Conflict;
    if (!unavailable && revisionOf(write.key) == write.expectedRevision) {
        if (write.removes)
            erase(write.key);
        else
            put(write.key, write.value, write.lease);
        result = { StoreOutcome::Ok, m_revision, m_era };
    }
    afterRoundTrip([result, handler = std::move(handler)] { handler(result); });
}

void FakeFleetStore::createLease(Duration lifetime, std::function<void(StoreResult)> handler)
{
    const StoreResult result { unavailable ? StoreOutcome::Unreachable : StoreOutcome::Ok, ++leases,
        unavailable ? 0 : m_era };
    if (!unavailable) {
        m_leases[leases] = { lifetime, m_now + lifetime };
        scheduleLeaseEnd(leases);
    }
    afterRoundTrip([result, handler = std::move(handler)] { handler(result); });
}

void FakeFleetStore::keepLease(uint64_t lease, std::function<void(StoreResult)> handler)
{
    StoreResult result { unavailable ? StoreOutcome::Unreachable : StoreOutcome::NotFound, 0, unavailable ? 0 : m_era };
    const auto it = m_leases.find(lease);
    if (!unavailable && it != m_leases.end()) {
        it->second.endsAt = m_now + it->second.lifetime;
        result.outcome = StoreOutcome::Ok;
    }
    afterRoundTrip([result, handler = std::move(handler)] { handler(result); });
}

void FakeFleetStore::scheduleLeaseEnd(uint64_t lease)
{
    m_timers.add(m_leases[lease].endsAt, [this, lease] {
        const auto it = m_leases.find(lease);
        if (it == m_leases.end())
            return;
        if (it->second.endsAt > m_now)
            scheduleLeaseEnd(lease);
        else
            removeItemsOf(lease);
    });
}

void FakeFleetStore::removeItemsOf(uint64_t lease)
{
    m_leases.erase(lease);
    bool changed = false;
    for (auto& [key, item] : m_items) {
        if (item.removed || m_leaseOf[key] != lease)
            continue;
        item.removed = true;
        item.revision = ++m_revision;
        changed = true;
    }
    if (changed)
        notifyWatches();
}

std::shared_ptr<const GatewayConfiguration> FakeFleetDecoder::configuration(const StoreItem& item) const
{
    const std::shared_ptr<GatewayConfiguration> result = GatewayFixture::configuration(std::stoul(item.value));
    for (auto& [name, service] : result->services)
        service.maxConnections = connectionsPerServer;
    return result;
}

ServerEntry FakeFleetDecoder::server(const StoreItem& item) const
{
    ServerEntry entry;
    entry.id = serverId(item.key);
    entry.service = "orders";
    entry.address = "127.0.0.1:1";
    entry.slots = 4;
    std::istringstream words(item.value);
    std::string word;
    words >> word;
    entry.primary = word == "primary";
    entry.draining = item.value.find("draining") != std::string::npos;
    if (entry.draining)
        words >> word;
    words >> entry.sequence >> entry.startedUnixMs;
    return entry;
}

FakeFleet::Host::Host(FakeFleet& fleet, size_t index, const GatewaySettings& settings, uint64_t incarnation)
    : settings(settings)
    , fixture(settings)
    , store(fleet.store)
    , port(fleet.channel, std::to_string(index))
    , quota(std::to_string(index), port, [&fleet] { return fleet.now; })
    , prober(
          fixture.gateway, fixture.connector, [&fleet] { return fleet.now; }, std::to_string(index))
    , probes(
          std::to_string(index), port, [&fleet] { return fleet.now; }, prober)
    , coordinator(
          fixture.gateway, fixture.connector, promotions, probes, [&fleet] { return fleet.now; }, std::to_string(index),
          fixture.metrics)
    , member(
          settings, fixture.gateway, quota, coordinator, probes, store, fleet.decoder, port,
          [&fleet, index, running = running](Duration delay, std::function<void()> task) {
              fleet.timers.add(fleet.now + delay, [&fleet, index, running, task = std::move(task)] {
                  if (*running && fleet.dead.count(index) == 0)
                      task();
              });
          },
          [&fleet] { return fleet.now; }, incarnation, index)
{
}

GatewaySettings FakeFleet::Host::hostSettings(size_t index, size_t regions, bool promotes, bool fenced)
{
    GatewaySettings settings;
    settings.host = std::to_string(index);
    settings.peerAddress = settings.host;
    settings.region = std::to_string(index % regions);
    settings.dataCentre = settings.region;
    settings.promotionAddress = promotes ? "127.0.0.1:1" : "";
    settings.fencedPrimaries = fenced;
    return settings;
}

FakeFleet::FakeFleet(size_t n, size_t regions, bool promotes, bool fenced)
    : FakeFleet([&] {
        std::vector<GatewaySettings> settings;
        for (size_t i = 0; i < n; ++i)
            settings.push_back(Host::hostSettings(i, regions, promotes, fenced));
        return settings;
    }())
{
}

FakeFleet::FakeFleet(const std::vector<GatewaySettings>& settings)
{
    store.put("config", "1");
    for (const char* id : { "p", "r1", "r2" })
        store.put(std::string("s/") + id, id[0] == 'p' ? "primary" : "replica");
    for (size_t i = 0; i < settings.size(); ++i) {
        hosts.push_back(std::make_unique<Host>(*this, i, settings[i]));
        hosts.back()->member.start();
    }
}

void FakeFleet::pass(Duration duration)
{
    for (Duration passed {}; passed < duration; passed += step) {
        now += step;
        timers.run(now);
        for (size_t i = 0; i < hosts.size(); ++i) {
            hosts[i]->fixture.now = now;
            if (dead.count(i) == 0)
                hosts[i]->member.tick();
        }
        std::deque<FakePeerNetwork::Datagram> queue;
        queue.swap(channel.queue);
        for (const FakePeerNetwork::Datagram& datagram : queue) {
            const bool isAddress
                = !datagram.to.empty() && datagram.to.find_first_not_of("0123456789") == std::string::npos;
            const size_t to = isAddress && datagram.to.size() < 10 ? std::stoul(datagram.to) : hosts.size();
            if (to >= hosts.size())
                continue; // An odd registration names an address where nobody is.
            if (dead.count(to) == 0 && dead.count(std::stoul(datagram.from)) == 0 && !(lost && lost(datagram)))
                hosts[to]->member.peerDatagram(datagram.text);
        }
    }
}

void FakeFleet::restart(size_t host, uint64_t incarnation)
{
    std::unique_ptr<Host>& it = hosts[host];
    const GatewaySettings settings = it->settings;
    *it->running = false;
    it->store.ignores = true;
    ended.push_back(std::move(it));
    it = std::make_unique<Host>(*this, host, settings, incarnation);
    it->member.start();
}

size_t FakeFleet::reportsFrom(size_t host, bool withPrimaries) const
{
    size_t n = 0;
    for (const FakePeerNetwork::Datagram& datagram : channel.sent) {
        if (datagram.from != std::to_string(host) || datagram.text.front() != '{')
            continue;
        n += web::json::value::parse(datagram.text).has_field("p") == withPrimaries ? 1 : 0;
    }
    return n;
}

size_t FakeFleet::activeCoordinators() const
{
    return static_cast<size_t>(
        std::count_if(hosts.begin(), hosts.end(), [](const auto& host) { return host->coordinator.isActive(); }));
}

uint64_t FakeFleet::versionAt(size_t host) const
{
    const auto& configuration = hosts[host]->fixture.gateway.configuration();
    return configuration ? configuration->version : 0;
}

std::vector<size_t> FakeFleet::relays() const
{
    std::set<size_t> result;
    for (const FakePeerNetwork::Datagram& datagram : channel.sent) {
        if (isStoreEvents(datagram.text))
            result.insert(std::stoul(datagram.from));
    }
    return { result.begin(), result.end() };
}

} // namespace plantainwall

#include "controller_config.h"
#include "filter_approval.h"
#include <algorithm>
#include <cpprest/json.h>

namespace plantainwall {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(50);
    // Short compared with the 3 s until a dead host is suspected.
    constexpr Duration topologyInterval = std::chrono::seconds(1);
    constexpr unsigned relaysPerDataCentre = 2;
    // Two relay roles can be assigned to the same host, so further roles are tried until there are enough relays.
    constexpr unsigned maxRelayRoles = 8;

    std::set<std::string> relaysOf(const ClusterView& cluster, const std::string& dataCentre)
    {
        std::set<std::string> relays;
        for (unsigned n = 0; n < maxRelayRoles && relays.size() < relaysPerDataCentre; ++n) {
            const std::optional<HostInfo> host
                = cluster.hostFor("relay/" + dataCentre + "/" + std::to_string(n), dataCentre);
            if (!host)
                break;
            relays.insert(host->config.name);
        }
        return relays;
    }

    ConfigTopology topologyOf(const ClusterView& cluster, const ConfigControllerOptions& options)
    {
        ConfigTopology topology;
        const std::string self(cluster.selfName());
        std::set<std::string> dataCentres { options.dataCentre };
        for (const HostInfo& host : cluster.hosts()) {
            if (host.config.name == self || host.state == HostState::Dead)
                continue;
            dataCentres.insert(host.config.dataCentre);
            topology.peers.push_back(host.config.name);
            if (host.config.dataCentre == options.dataCentre)
                topology.localHosts.push_back(host.config.name);
        }
        for (const std::string& dataCentre : dataCentres) {
            const std::set<std::string> relays = relaysOf(cluster, dataCentre);
            const bool local = dataCentre == options.dataCentre;
            topology.relay = topology.relay || (local && relays.count(self));
            for (const std::string& relay : relays) {
                if (relay == self)
                    continue;
                topology.relays.push_back(relay);
                if (local)
                    topology.localRelays.push_back(relay);
            }
        }
        if (topology.peers.empty())
            topology.peers = options.seedPeers;
        return topology;
    }

} // namespace

ConfigChange configDifference(
    const std::shared_ptr<const ConfigSnapshot>& before, const std::shared_ptr<const ConfigSnapshot>& after)
{
    ConfigChange change { after, {}, {} };
    if (!before)
        return change;
    for (const std::pair<const std::string, CustomerConfig>& customer : before->customers) {
        const auto now = after->customers.find(customer.first);
        for (const std::pair<const std::string, KeyConfig>& key : customer.second.keys) {
            if (key.second.withdrawn)
                continue;
            // A changed digest means that the id now belongs to another key and the old key is no longer valid.
            const bool stillValid = now != after->customers.end() && now->second.keys.count(key.first)
                && !now->second.keys.at(key.first).withdrawn
                && now->second.keys.at(key.first).digest == key.second.digest;
            if (!stillValid)
                change.keysWithdrawn.push_back({ customer.first, key.first });
        }
        for (const std::string& service : customer.second.services) {
            if (isApproved(*before, customer.first, service) && !isApproved(*after, customer.first, service))
                change.approvalsWithdrawn.push_back({ customer.first, service });
        }
    }
    return change;
}

ConfigController::ConfigController(ConfigControllerOptions options, std::shared_ptr<Store> store,
    std::shared_ptr<ConfigPeers> peers, std::shared_ptr<const ClusterView> cluster,
    std::shared_ptr<Scheduler> scheduler)
    : m_options(std::move(options))
    , m_store(std::move(store))
    , m_peers(std::move(peers))
    , m_cluster(std::move(cluster))
    , m_scheduler(std::move(scheduler))
    , m_configuration(m_options.seed, m_options.clock(), m_options.timing)
{
}

void ConfigController::start() { tick(); }

void ConfigController::stop()
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_stopped = true;
}

void ConfigController::onSnapshot(std::function<void(const ConfigChange&)> callback)
{
    m_callbacks.push_back(std::move(callback));
}

std::shared_ptr<const ConfigSnapshot> ConfigController::current() const { return std::atomic_load(&m_current); }

Duration ConfigController::age(Instant now) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_configuration.age(now);
}

std::vector<StoreEntry> ConfigController::entries(std::string_view keyPrefix) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_configuration.entries(keyPrefix);
}

std::vector<ConfigFault> ConfigController::faults() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_configuration.faults();
}

ConfigDigest ConfigController::digest() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_configuration.digest(m_options.clock());
}

void ConfigController::tick()
{
    const Instant now = m_options.clock();
    updateTopology(now);
    applyInput([](Configuration&, Instant) {});
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_stopped)
        return;
    m_scheduler->schedule(tickInterval, [weak = weak_from_this()] {
        if (const std::shared_ptr<ConfigController> self = weak.lock())
            self->tick();
    });
}

void ConfigController::updateTopology(Instant now)
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (m_nextTopologyUpdate && now < *m_nextTopologyUpdate)
            return;
        m_nextTopologyUpdate = now + topologyInterval;
    }
    // Must run without the lock, because the cluster view may read the configuration.
    ConfigTopology topology = topologyOf(*m_cluster, m_options);
    std::lock_guard<std::mutex> lock(m_mutex);
    m_configuration.setTopology(std::move(topology));
}

void ConfigController::applyInput(const std::function<void(Configuration&, Instant)>& input)
{
    std::vector<ConfigAction> actions;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (m_stopped)
            return;
        const Instant now = m_options.clock();
        input(m_configuration, now);
        actions = m_configuration.tick(now);
    }
    publish();
    for (const ConfigAction& action : actions)
        perform(action);
}

void ConfigController::publish()
{
    std::lock_guard<std::mutex> publishLock(m_publishMutex);
    std::shared_ptr<const ConfigSnapshot> snapshot;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        snapshot = m_configuration.snapshot();
    }
    const std::shared_ptr<const ConfigSnapshot> before = std::atomic_load(&m_current);
    if (snapshot == before)
        return;
    std::atomic_store(&m_current, snapshot);
    const ConfigChange change = configDifference(before, snapshot);
    for (const std::function<void(const ConfigChange&)>& callback : m_callbacks)
        callback(change);
}

void ConfigController::perform(const ConfigAction& action)
{
    std::visit([this](const auto& typed) { perform(typed); }, action);
}

void ConfigController::perform(const WatchStore& watch)
{
    m_store->watch(configPrefix, watch.after, watch.wait)
        .then([weak = weak_from_this(), watch](const pplx::task<StoreListing>& task) {
            const std::shared_ptr<ConfigController> self = weak.lock();
            if (!self)
                return;
            try {
                const StoreListing listing = task.get();
                self->applyInput([&](Configuration& config, Instant) { config.watchAnswered(watch, listing); });
            } catch (const CallFailed& error) {
                // The store answered without the changes, so it no longer has them.
                const StoreFailure failure
                    = error.sendState() == SendState::Answered ? StoreFailure::Gap : StoreFailure::Unavailable;
                self->applyInput([&](Configuration& config, Instant now) { config.watchFailed(watch, failure, now); });
            } catch (const std::exception&) {
                self->applyInput([&](Configuration& config, Instant now) {
                    config.watchFailed(watch, StoreFailure::Unavailable, now);
                });
            }
        });
}

void ConfigController::perform(const ListStore& list)
{
    m_store->list(configPrefix).then([weak = weak_from_this(), list](const pplx::task<StoreListing>& task) {
        const std::shared_ptr<ConfigController> self = weak.lock();
        if (!self)
            return;
        try {
            const StoreListing listing = task.get();
            self->applyInput([&](Configuration& config, Instant) { config.listAnswered(list, listing); });
        } catch (const std::exception&) {
            self->applyInput([&](Configuration& config, Instant now) { config.listFailed(list, now); });
        }
    });
}

void ConfigController::perform(const FetchFromPeer& fetch)
{
    web::json::value request = web::json::value::object();
    request["after"] = web::json::value::number(fetch.after);
    m_peers->fetchSince(fetch.host, request.serialize())
        .then([weak = weak_from_this(), fetch](const pplx::task<std::string>& task) {
            const std::shared_ptr<ConfigController> self = weak.lock();
            if (!self)
                return;
            try {
                const ConfigBatch batch = decodeBatch(task.get());
                self->applyInput([&](Configuration& config, Instant) { config.fetchAnswered(fetch, batch); });
            } catch (const std::exception&) {
                self->applyInput([&](Configuration& config, Instant) { config.fetchFailed(fetch); });
            }
        });
}

void ConfigController::perform(const PushToPeers& push)
{
    const std::string request = encodeBatch(push.batch);
    for (const std::string& host : push.hosts) {
        m_peers->push(host, request).then([](const pplx::task<void>& task) {
            try {
                task.get();
            } catch (const std::exception&) { // NOLINT(bugprone-empty-catch): the host fetches missed changes
            }
        });
    }
}

void ConfigController::changeAccepted(const StoreEntry& entry)
{
    applyInput([&](Configuration& config, Instant) { config.changeAccepted(entry); });
}

void ConfigController::digestReceived(std::string_view host, const ConfigDigest& digest)
{
    applyInput([&](Configuration& config, Instant) { config.digestReceived(host, digest); });
}

std::string ConfigController::handleFetch(const std::string& request) const
{
    uint64_t after = 0;
    try {
        const web::json::value json = web::json::value::parse(request);
        after = json.at("after").as_number().to_uint64();
    } catch (const web::json::json_exception& error) {
        throw std::runtime_error(std::string("config.fetch: ") + error.what());
    }
    std::optional<ConfigBatch> batch;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        batch = m_configuration.changesSince(after, m_options.clock());
    }
    return batch ? encodeBatch(*batch) : R"({"no_copy":true})";
}

void ConfigController::handlePush(const std::string& request)
{
    const ConfigBatch batch = decodeBatch(request);
    applyInput([&](Configuration& config, Instant) { config.pushReceived(batch); });
}

} // namespace plantainwall

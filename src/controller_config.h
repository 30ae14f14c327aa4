#pragma once

#include "cluster_view.h"
#include "configuration.h"
#include "controller_config_copy.h"
#include "scheduler.h"
#include <mutex>

namespace plantainwall {

constexpr std::string_view configFetchMethod = "config.fetch";
constexpr std::string_view configPushMethod = "config.push";

/// Calls to other entry hosts. host is a name of the ClusterView or an entry of Settings::seedPeers.
class ConfigPeers {
public:
    virtual ~ConfigPeers() = default;

    /// Calls config.fetch with a JSON request and returns the JSON result. Fails with any exception.
    virtual pplx::task<std::string> fetchSince(std::string_view host, std::string request) = 0;

    /// Calls config.push with a JSON request. Fails with any exception; the push is not repeated.
    virtual pplx::task<void> push(std::string_view host, std::string request) = 0;
};

struct CustomerKey {
    std::string customer;
    std::string keyId;
};

struct CustomerService {
    std::string customer;
    std::string service;
};

/// A snapshot that came into force and what it took away from the one before.
struct ConfigChange {
    std::shared_ptr<const ConfigSnapshot> snapshot;
    std::vector<CustomerKey> keysWithdrawn; ///< Withdrawn or removed.
    std::vector<CustomerService> approvalsWithdrawn; ///< By either side.
};

/// Returns what the second snapshot takes away from the first, which may be nullptr.
ConfigChange configDifference(
    const std::shared_ptr<const ConfigSnapshot>& before, const std::shared_ptr<const ConfigSnapshot>& after);

struct ConfigControllerOptions {
    std::string dataCentre;
    std::vector<std::string> seedPeers; ///< Asked while the ClusterView shows no other host.
    uint64_t seed = 0; ///< Of the random choices of hosts and retry times.
    std::function<Instant()> clock; ///< Local monotonic clock; required.
    ConfigTiming timing;
};

/// Keeps the configuration in force: runs Configuration over the store and the peers.
class ConfigController final : public ConfigCopy, public std::enable_shared_from_this<ConfigController> {
public:
    ConfigController(ConfigControllerOptions, std::shared_ptr<Store>, std::shared_ptr<ConfigPeers>,
        std::shared_ptr<const ClusterView>, std::shared_ptr<Scheduler>);

    /// Starts to ask the store and the peers. Call once.
    void start();

    /// Ends all activity; answers that arrive later are ignored.
    void stop();

    /// Registers a callback for snapshots that come into force, in their order. Register before start(). The callback
    /// runs on any thread and must not call changeAccepted() or the handlers.
    void onSnapshot(std::function<void(const ConfigChange&)> callback);

    std::shared_ptr<const ConfigSnapshot> current() const override;
    Duration age(Instant now) const override;
    std::vector<StoreEntry> entries(std::string_view keyPrefix) const override;
    void changeAccepted(const StoreEntry&) override;

    /// Returns the entries that are not in force because they cannot be read.
    std::vector<ConfigFault> faults() const;

    /// What gossip tells other hosts, and what theirs told this one.
    ConfigDigest digest() const;
    void digestReceived(std::string_view host, const ConfigDigest&);

    /// Handle config.fetch and config.push from peers. Throw std::runtime_error if the request is malformed.
    std::string handleFetch(const std::string& request) const;
    void handlePush(const std::string& request);

private:
    void tick();
    void updateTopology(Instant now);
    void applyInput(const std::function<void(Configuration&, Instant)>& input);
    void perform(const ConfigAction&);
    void perform(const WatchStore&);
    void perform(const ListStore&);
    void perform(const FetchFromPeer&);
    void perform(const PushToPeers&);
    void publish();

    ConfigControllerOptions m_options;
    std::shared_ptr<Store> m_store;
    std::shared_ptr<ConfigPeers> m_peers;
    std::shared_ptr<const ClusterView> m_cluster;
    std::shared_ptr<Scheduler> m_scheduler;
    std::vector<std::function<void(const ConfigChange&)>> m_callbacks;

    mutable std::mutex m_mutex; ///< Guards the members below.
    Configuration m_configuration;
    bool m_stopped = false;
    std::optional<Instant> m_nextTopologyUpdate;

    std::shared_ptr<const ConfigSnapshot> m_current; ///< Accessed with std::atomic_load and std::atomic_store.
    std::mutex m_publishMutex; ///< Keeps the callbacks in the order of the snapshots.
};

} // namespace plantainwall

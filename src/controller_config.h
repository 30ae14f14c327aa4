#pragma once

#include "cluster_view.h"
#include "configuration.h"
#include "controller_config_copy.h"
#include "scheduler.h"
#include <mutex>

namespace plantainwall {

constexpr std::string_view configFetchMethod = "config.fetch";
constexpr std::string_view configPushMethod = "config.push";

/// Sends configuration calls to other entry hosts. A host is given by its name in the ClusterView or as an entry of
/// Settings::seedPeers.
class ConfigPeers {
public:
    virtual ~ConfigPeers() = default;

    /// Calls config.fetch with a JSON request and returns the JSON result. The task can fail with any exception.
    virtual pplx::task<std::string> fetchSince(std::string_view host, std::string request) = 0;

    /// Calls config.push with a JSON request. The task can fail with any exception; a failed push is not retried.
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

/// A new configuration snapshot and what it withdraws compared with the previous one.
struct ConfigChange {
    std::shared_ptr<const ConfigSnapshot> snapshot;
    std::vector<CustomerKey> keysWithdrawn; ///< Keys that were withdrawn, removed or replaced.
    std::vector<CustomerService> approvalsWithdrawn; ///< Approvals that the customer or the service withdrew.
};

/// Returns what the second snapshot withdraws compared with the first.
/// @param before nullptr if there is no earlier snapshot; nothing is withdrawn then.
ConfigChange configDifference(
    const std::shared_ptr<const ConfigSnapshot>& before, const std::shared_ptr<const ConfigSnapshot>& after);

struct ConfigControllerOptions {
    std::string dataCentre;
    std::vector<std::string> seedPeers; ///< Peers to use while the ClusterView contains no other host.
    uint64_t seed = 0; ///< Seeds the random choice of hosts and retry times.
    std::function<Instant()> clock; ///< Local monotonic clock; required.
    ConfigTiming timing;
};

/// Keeps the configuration of this host up to date. Runs Configuration on the store and the peers.
class ConfigController final : public ConfigCopy, public std::enable_shared_from_this<ConfigController> {
public:
    ConfigController(ConfigControllerOptions, std::shared_ptr<Store>, std::shared_ptr<ConfigPeers>,
        std::shared_ptr<const ClusterView>, std::shared_ptr<Scheduler>);

    /// Starts to fetch changes from the store and the peers. Must be called once.
    void start();

    /// Stops all activity. Answers that arrive later are ignored.
    void stop();

    /// Registers a callback that is called for each new snapshot, in order. Must be called before start(). The callback
    /// runs on any thread and must not call changeAccepted(), digestReceived(), handleFetch() or handlePush().
    void onSnapshot(std::function<void(const ConfigChange&)> callback);

    std::shared_ptr<const ConfigSnapshot> current() const override;
    Duration age(Instant now) const override;
    std::vector<StoreEntry> entries(std::string_view keyPrefix) const override;
    void changeAccepted(const StoreEntry&) override;

    /// Returns the store entries that are not in force because they cannot be parsed.
    std::vector<ConfigFault> faults() const;

    /// Returns the digest of this host, which gossip carries to the other hosts.
    ConfigDigest digest() const;

    /// Handles the digest of another host, received by gossip.
    void digestReceived(std::string_view host, const ConfigDigest&);

    /// Handles config.fetch from a peer and returns the JSON result. Throws std::runtime_error if the request is
    /// malformed.
    std::string handleFetch(const std::string& request) const;

    /// Handles config.push from a peer. Throws std::runtime_error if the request is malformed.
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
    std::mutex m_publishMutex; ///< Serializes the callbacks in the order of the snapshots.
};

} // namespace plantainwall

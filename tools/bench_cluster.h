#pragma once

#include "bench.h"
#include "configuration.h"

namespace plantainwall::bench {

/// Path and TOML value of a configuration entry.
using ConfigText = std::pair<std::string, std::string>;

/// Content of the store: customers with one key each, a service, its groups of three, and entry hosts.
std::vector<ConfigText> makeContent(const Deployment&, size_t customers, size_t groups, size_t hosts);

/// Returns the entry as the store holds it.
StoreEntry storedEntry(const ConfigText&, uint64_t revision);

struct ClusterOptions {
    size_t hosts = 9;
    std::vector<ConfigText> content;
    Duration storeDelay {}; ///< Added to every answer of the store.
    bool measureCpu = false;
};

/// What one host sent, received and used while counting was on.
struct HostTraffic {
    uint64_t bytes = 0; ///< Sent and received, heads included.
    uint64_t crossRegionBytes = 0; ///< Sent to another region.
    Duration cpu {};
};

/// Configuration objects on all hosts of a fleet with a store and a network, in virtual time.
class ConfigCluster {
public:
    ConfigCluster(const Deployment&, const ClusterOptions&, uint64_t seed);

    EventQueue& queue() { return m_queue; }
    size_t size() const { return m_hosts.size(); }
    size_t dataCentreOf(size_t host) const { return m_hosts[host].dataCentre; }
    bool isRelay(size_t host) const { return m_hosts[host].relay; }
    const Configuration& configuration(size_t host) const { return *m_hosts[host].configuration; }

    /// A host sends an accepted change to the store. `applied` is called when the store has made it.
    void change(size_t host, const ConfigText&, const std::function<void()>& applied);

    /// Called after every input of a host.
    void onInput(std::function<void(size_t host)> callback) { m_onInput = std::move(callback); }

    /// Cuts a data centre off from the others and from the store.
    void cut(std::optional<size_t> dataCentre) { m_cut = dataCentre; }

    /// Sets all counts to 0.
    void startCounting();
    const HostTraffic& traffic(size_t host) const { return m_hosts[host].traffic; }
    uint64_t storeCalls() const { return m_storeCalls; }

private:
    struct Host {
        std::unique_ptr<Configuration> configuration;
        size_t dataCentre = 0;
        bool relay = false;
        HostTraffic traffic;
    };
    struct PendingWatch {
        size_t host = 0;
        WatchStore watch;
    };

    ConfigTopology topologyFor(size_t host) const;
    std::string nameOf(size_t host) const { return "h" + std::to_string(host); }
    size_t indexOf(const std::string& name) const { return std::stoul(name.substr(1)); }
    void input(size_t host, const std::function<void(Configuration&)>& call);
    void perform(size_t host, const ConfigAction&);
    void perform(size_t host, const WatchStore&);
    void perform(size_t host, const ListStore&);
    void perform(size_t host, const FetchFromPeer&);
    void perform(size_t host, const PushToPeers&);
    void toStore(size_t host, const std::function<void()>& call);
    void fromStore(size_t host, size_t bytes, const std::function<void()>& answer);
    void send(size_t from, size_t to, size_t bytes, const std::function<void()>& deliver);
    bool connected(size_t a, size_t b) const;
    void answerWatch(const PendingWatch&);
    StoreListing changesAfter(uint64_t revision) const;
    void gossip(size_t host);

    Deployment m_deployment;
    ClusterOptions m_options;
    EventQueue m_queue;
    std::vector<Host> m_hosts;
    std::vector<std::vector<size_t>> m_hostsOf; ///< By data centre.
    std::map<std::string, StoreEntry> m_store;
    uint64_t m_revision = 0;
    std::vector<PendingWatch> m_watches;
    std::optional<size_t> m_cut;
    std::function<void(size_t)> m_onInput;
    uint64_t m_storeCalls = 0;
};

} // namespace plantainwall::bench

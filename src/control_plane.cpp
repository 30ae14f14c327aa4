#include "control_plane.h"
#include "clock.h"
#include "database_http.h"
#include "gossip_payload.h"
#include "log_event.h"
#include "store_http.h"
#include <sodium.h>

namespace plantainwall {

namespace {

    constexpr unsigned storeConnections = 16;
    constexpr unsigned controlConnections = 8;
    constexpr unsigned databaseConnections = 64;
    constexpr Duration controlCallTimeout = std::chrono::seconds(1);
    constexpr Duration payloadInterval = std::chrono::milliseconds(250);

    uint64_t randomSeed()
    {
        uint64_t seed = 0;
        randombytes_buf(&seed, sizeof(seed));
        return seed;
    }

    /// Milliseconds of the wall clock: greater after every restart of a host.
    uint64_t newIncarnation()
    {
        const std::chrono::system_clock::duration sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
    }

    /// Stands for the ConfigController in parts that it depends on itself.
    class LateConfigView final : public ConfigView {
    public:
        void set(std::weak_ptr<const ConfigView> view) { m_view = std::move(view); }

        std::shared_ptr<const ConfigSnapshot> current() const override
        {
            const std::shared_ptr<const ConfigView> view = m_view.lock();
            return view ? view->current() : nullptr;
        }

        Duration age(Instant now) const override
        {
            const std::shared_ptr<const ConfigView> view = m_view.lock();
            return view ? view->age(now) : Duration::max();
        }

    private:
        std::weak_ptr<const ConfigView> m_view; ///< Set once, before any use.
    };

    /// Carries the configuration's calls to other hosts.
    class RpcConfigPeers final : public ConfigPeers {
    public:
        RpcConfigPeers(std::shared_ptr<PeerRpc> rpc, std::shared_ptr<const ClusterView> cluster)
            : m_rpc(std::move(rpc))
            , m_cluster(std::move(cluster))
        {
        }

        pplx::task<std::string> fetchSince(std::string_view host, std::string request) override
        {
            return m_rpc->callAddress(addressOf(host), std::string(configFetchMethod), request, controlCallTimeout);
        }

        pplx::task<void> push(std::string_view host, std::string request) override
        {
            return m_rpc->callAddress(addressOf(host), std::string(configPushMethod), request, controlCallTimeout)
                .then([](const std::string&) {});
        }

    private:
        /// A name that is no known host is a seed address.
        std::string addressOf(std::string_view host) const
        {
            for (const HostInfo& info : m_cluster->hosts()) {
                if (info.config.name == host)
                    return info.config.peerAddress;
            }
            return "http://" + std::string(host);
        }

        std::shared_ptr<PeerRpc> m_rpc;
        std::shared_ptr<const ClusterView> m_cluster;
    };

} // namespace

/// Puts what other parts know into gossip and hands them what other hosts say.
class ControlPlane::GossipExchange : public std::enable_shared_from_this<GossipExchange> {
public:
    explicit GossipExchange(const ControlPlane& control)
        : m_membership(control.m_membership)
        , m_config(control.m_config)
        , m_groups(control.m_groups)
        , m_scheduler(control.m_scheduler)
    {
    }

    void run()
    {
        publish();
        collect();
        const std::weak_ptr<GossipExchange> weak = weak_from_this();
        m_scheduler->schedule(payloadInterval, [weak] {
            if (const std::shared_ptr<GossipExchange> self = weak.lock())
                self->run();
        });
    }

private:
    void publish()
    {
        m_membership->setPayload(configPayload, encodeConfigDigest(m_config->digest()));
        PrimaryContactAges ages;
        for (const std::string& group : m_groups->groups()) {
            const std::optional<Duration> age = m_groups->primaryContactAge(group);
            if (age)
                ages[group] = *age;
        }
        m_membership->setPayload(contactAgesPayload, encodeContactAges(ages));
    }

    void collect()
    {
        for (const HostInfo& host : *m_membership->snapshot()) {
            const std::string& name = host.config.name;
            if (name == m_membership->selfName())
                continue;
            if (const std::optional<ConfigDigest> digest
                = decodeConfigDigest(m_membership->payloadOf(name, configPayload)))
                m_config->digestReceived(name, *digest);
            collectContactAges(name, m_membership->payloadOf(name, contactAgesPayload));
        }
    }

    /// A field that has not changed since the last look is no new contact.
    void collectContactAges(const std::string& host, const std::string& text)
    {
        std::string& last = m_lastContactAges[host];
        if (text == last)
            return;
        last = text;
        for (const std::pair<const std::string, Duration>& entry : decodeContactAges(text))
            m_groups->notePeerContact(entry.first, host, entry.second);
    }

    std::shared_ptr<MembershipController> m_membership;
    std::shared_ptr<ConfigController> m_config;
    std::shared_ptr<GroupController> m_groups;
    std::shared_ptr<Scheduler> m_scheduler;
    std::map<std::string, std::string> m_lastContactAges; ///< Used on the scheduler's thread only.
};

ControlPlane::ControlPlane(const Settings& settings)
    : m_settings(settings)
    , m_incarnation(newIncarnation())
    , m_scheduler(makeScheduler())
    , m_store(makeHttpStore(makeHttpCaller(settings.storeAddress, storeConnections)))
    , m_rpc(std::make_shared<PeerRpc>(settings.peerSecret, PeerIdentity { settings.host, m_incarnation },
          [](std::string_view address) { return makeHttpCaller(address, controlConnections); }))
{
    const std::shared_ptr<LateConfigView> lateConfig = std::make_shared<LateConfigView>();
    const PeerCall call = [rpc = m_rpc](std::string_view address, const std::string& method, const std::string& params,
                              Duration timeout) { return rpc->callAddress(address, method, params, timeout); };
    m_membership
        = std::make_shared<MembershipController>(settings, m_incarnation, call, m_store, lateConfig, m_scheduler);
    makeConfig();
    lateConfig->set(m_config);
    makeGroups();
    m_limits = std::make_shared<LimitsController>(
        settings, m_incarnation, call, m_store, m_config, m_membership, m_scheduler);
    m_exchange = std::make_shared<GossipExchange>(*this);
}

ControlPlane::~ControlPlane() = default;

void ControlPlane::makeConfig()
{
    ConfigControllerOptions options;
    options.dataCentre = m_settings.dataCentre;
    options.seedPeers = m_settings.seedPeers;
    options.seed = randomSeed();
    options.clock = now;
    m_config = std::make_shared<ConfigController>(
        options, m_store, std::make_shared<RpcConfigPeers>(m_rpc, m_membership), m_membership, m_scheduler);
    m_config->onSnapshot([this](const ConfigChange& change) { onConfigChange(change); });
}

void ControlPlane::makeGroups()
{
    GroupEnvironment environment;
    environment.makeDatabase = [credential = m_settings.backendCredential](const MemberConfig& member) {
        return makeHttpDatabase(makeHttpCaller(member.address, databaseConnections), credential);
    };
    environment.now = now;
    environment.scheduler = m_scheduler;
    environment.seed = randomSeed();
    m_groups = std::make_shared<GroupController>(m_settings, m_config, m_membership, environment);
}

void ControlPlane::onConfigChange(const ConfigChange& change)
{
    logEvent(LogEvent::ConfigurationInForce, { { "revision", change.snapshot->revision } });
    for (const CustomerKey& key : change.keysWithdrawn) {
        logEvent(LogEvent::KeyWithdrawn, { { "team", key.customer }, { "key_id", key.keyId } });
        m_groups->cancelQueued(key.customer, key.keyId);
    }
    for (const CustomerService& approval : change.approvalsWithdrawn)
        m_groups->cancelQueued(approval.customer);
}

void ControlPlane::registerMethods()
{
    m_rpc->registerMethod(std::string(configFetchMethod),
        [config = m_config](const std::string& text, const PeerIdentity&) { return config->handleFetch(text); });
    m_rpc->registerMethod(
        std::string(configPushMethod), [config = m_config](const std::string& text, const PeerIdentity&) {
            config->handlePush(text);
            return std::string("{}");
        });
    m_rpc->registerMethod(
        MembershipController::gossipMethod, [membership = m_membership](const std::string& text, const PeerIdentity&) {
            return membership->handleGossip(text);
        });
    m_rpc->registerMethod(LimitsController::shareMethod,
        [limits = m_limits](const std::string& text, const PeerIdentity&) { return limits->handleShares(text); });
}

void ControlPlane::start()
{
    m_membership->start();
    m_config->start();
    m_groups->start();
    m_limits->start();
    m_exchange->run();
}

void ControlPlane::drain()
{
    m_draining = true;
    m_membership->drain();
}

void ControlPlane::stop()
{
    m_groups->stop();
    m_config->stop();
}

StatusReport ControlPlane::status() const
{
    StatusReport report;
    report.host = m_settings.host;
    report.incarnation = m_incarnation;
    report.draining = m_draining;
    report.hosts = m_membership->hosts();
    report.groups = m_groups->status();
    for (const ConfigFault& fault : m_config->faults())
        report.configFaults.push_back(fault.path + ": " + fault.reason);
    const OwnShare rateSlices = m_limits->rateSliceShare();
    report.rateSliceFraction = static_cast<double>(rateSlices.unconditional + rateSlices.conditional) / wholeShare;
    const std::shared_ptr<const ConfigSnapshot> snapshot = m_config->current();
    if (!snapshot)
        return report;
    report.configRevision = snapshot->revision;
    const Duration age = m_config->age(now());
    if (age != Duration::max())
        report.configAge = age;
    for (const std::pair<const std::string, CustomerConfig>& customer : snapshot->customers) {
        ShareReport share;
        share.customer = customer.first;
        share.share = static_cast<double>(m_limits->usable(customer.first)) / wholeShare;
        report.shares.push_back(share);
    }
    return report;
}

} // namespace plantainwall

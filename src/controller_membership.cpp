#include "controller_membership.h"
#include "controller_membership_codec.h"
#include "placement.h"
#include <algorithm>

namespace plantainwall {

namespace {

    constexpr Duration callTimeout = std::chrono::seconds(1);
    constexpr Duration refreshInterval = std::chrono::milliseconds(100);
    // A backend server that the list says is leaving gets no new work 2 s later.
    constexpr Duration minPlatformInterval = std::chrono::milliseconds(1500);
    // Time for each listed host, about 40 bytes: 2 KB/s of the 12 KB/s that an entry host may use.
    constexpr Duration platformIntervalPerHost = std::chrono::milliseconds(20);

    HostConfig selfConfig(const Settings& settings)
    {
        HostConfig config;
        config.name = settings.host;
        config.callerAddress = "http://" + settings.listenAddress + ":" + std::to_string(settings.listenPort);
        config.peerAddress = "http://" + settings.listenAddress + ":" + std::to_string(settings.peerPort);
        config.dataCentre = settings.dataCentre;
        config.region = settings.region;
        return config;
    }

    std::vector<std::string> seedAddresses(const Settings& settings)
    {
        std::vector<std::string> seeds;
        for (const std::string& peer : settings.seedPeers)
            seeds.push_back("http://" + peer);
        return seeds;
    }

    std::optional<HostInfo> copyOf(const HostInfo* host)
    {
        return host ? std::optional<HostInfo>(*host) : std::nullopt;
    }

} // namespace

MembershipController::MembershipController(const Settings& settings, uint64_t incarnation, PeerCall call,
    std::shared_ptr<Store> store, std::shared_ptr<const ConfigView> config, std::shared_ptr<Scheduler> scheduler)
    : m_self(settings.host)
    , m_gossipInterval(settings.membership.gossipInterval)
    , m_call(std::move(call))
    , m_store(std::move(store))
    , m_config(std::move(config))
    , m_scheduler(std::move(scheduler))
    , m_random(std::random_device {}())
    , m_membership(settings.membership, selfConfig(settings), incarnation, seedAddresses(settings))
    , m_snapshot(std::make_shared<std::vector<HostInfo>>(m_membership.hosts(plantainwall::now())))
{
}

void MembershipController::start()
{
    gossip();
    pollPlatform();
    every(m_gossipInterval, &MembershipController::gossip);
    every(refreshInterval, &MembershipController::refresh);
    pollPlatformLater();
}

void MembershipController::every(Duration interval, void (MembershipController::*task)())
{
    m_scheduler->schedule(interval, [weak = weak_from_this(), interval, task] {
        if (std::shared_ptr<MembershipController> self = weak.lock()) {
            self->every(interval, task);
            (self.get()->*task)();
        }
    });
}

void MembershipController::gossip()
{
    std::vector<SendGossip> calls;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        calls = m_membership.tick(plantainwall::now(), m_random);
    }
    send(std::move(calls));
}

void MembershipController::refresh()
{
    const std::shared_ptr<const ConfigSnapshot> config = m_config ? m_config->current() : nullptr;
    const Instant now = plantainwall::now();
    std::lock_guard<std::mutex> lock(m_mutex);
    if (config && config->revision != m_configRevision) {
        m_configRevision = config->revision;
        m_membership.setConfiguredHosts(config->hosts, now);
    }
    m_snapshot = std::make_shared<std::vector<HostInfo>>(m_membership.hosts(now));
}

void MembershipController::pollPlatform()
{
    if (!m_store)
        return;
    m_store->hosts().then([weak = weak_from_this()](const pplx::task<std::vector<PlatformHost>>& task) {
        try {
            const std::vector<PlatformHost> hosts = task.get();
            if (std::shared_ptr<MembershipController> self = weak.lock()) {
                self->setPlatformHosts(hosts);
            }
        } catch (const std::exception&) {
            // The platform may be down; the last list stays in force.
            return;
        }
    });
}

void MembershipController::pollPlatformLater()
{
    Duration interval;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        interval = std::max(minPlatformInterval, platformIntervalPerHost * m_listed);
    }
    m_scheduler->schedule(interval, [weak = weak_from_this()] {
        if (std::shared_ptr<MembershipController> self = weak.lock()) {
            self->pollPlatform();
            self->pollPlatformLater();
        }
    });
}

void MembershipController::setPlatformHosts(const std::vector<PlatformHost>& hosts)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_membership.setPlatformHosts(hosts, plantainwall::now());
    m_listed = static_cast<int>(hosts.size());
    m_leaving.clear();
    for (const PlatformHost& host : hosts) {
        if (host.state == PlatformHostState::Leaving)
            m_leaving.insert(host.name);
    }
}

bool MembershipController::isLeaving(std::string_view name) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_leaving.count(name) != 0;
}

void MembershipController::send(std::vector<SendGossip> calls)
{
    for (SendGossip& call : calls) {
        const Instant sent = plantainwall::now();
        const std::string text = encodeGossip(call.message);
        pplx::task<std::string> answer = m_call(call.address, gossipMethod, text, callTimeout);
        answer.then([weak = weak_from_this(), call = std::move(call), sent](const pplx::task<std::string>& task) {
            if (std::shared_ptr<MembershipController> self = weak.lock())
                self->finished(call, sent, task);
            else
                task.wait();
        });
    }
}

void MembershipController::finished(const SendGossip& call, Instant sent, const pplx::task<std::string>& task)
{
    std::vector<SendGossip> calls;
    try {
        const GossipMessage answer = decodeGossip(task.get());
        std::lock_guard<std::mutex> lock(m_mutex);
        calls = m_membership.answered(call, answer, plantainwall::now());
    } catch (const std::exception&) {
        std::lock_guard<std::mutex> lock(m_mutex);
        calls = m_membership.failed(call, sent, plantainwall::now());
    }
    send(std::move(calls));
}

std::string MembershipController::handleGossip(const std::string& params)
{
    const GossipMessage message = decodeGossip(params);
    GossipMessage answer;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        answer = m_membership.receive(message, plantainwall::now());
    }
    return encodeGossip(answer);
}

void MembershipController::drain()
{
    std::vector<SendGossip> calls;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        calls = m_membership.drain(plantainwall::now(), m_random);
    }
    send(std::move(calls));
    refresh();
}

void MembershipController::setPayload(std::string_view field, std::string value)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_membership.setPayload(field, std::move(value));
}

std::string MembershipController::payloadOf(std::string_view host, std::string_view field) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_membership.payloadOf(host, field);
}

Duration MembershipController::absentFor(std::string_view host) const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_membership.absentFor(host, plantainwall::now());
}

std::shared_ptr<const std::vector<HostInfo>> MembershipController::snapshot() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_snapshot;
}

std::optional<HostInfo> MembershipController::ownerOf(std::string_view group, const MemberConfig& member) const
{
    return copyOf(Placement::ownerOf(*snapshot(), group, member));
}

std::optional<HostInfo> MembershipController::hostFor(std::string_view role, std::string_view dataCentre) const
{
    return copyOf(Placement::hostFor(*snapshot(), role, dataCentre));
}

} // namespace plantainwall

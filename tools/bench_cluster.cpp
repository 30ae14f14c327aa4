#include "bench_cluster.h"
#include <algorithm>

namespace plantainwall::bench {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr Duration tickInterval = milliseconds(50);
    constexpr size_t relaysPerDataCentre = 2;
    constexpr unsigned gossipFanout = 3;
    // Assumed HTTP head with the peer authentication, for a request or its answer.
    constexpr size_t headBytes = 200;
    constexpr size_t fetchRequestBytes = 90; // JSON-RPC request with one number.
    constexpr size_t digestBytes = 0; // Part of the gossip messages, which bench_gossip.cpp counts.

    std::string hexDigest(size_t n)
    {
        std::string text(64, '0');
        for (size_t i = 0; n > 0; ++i, n /= 10)
            text[i] = static_cast<char>('0' + n % 10);
        return text;
    }

} // namespace

std::vector<ConfigText> makeContent(const Deployment& deployment, size_t customers, size_t groups, size_t hosts)
{
    std::vector<ConfigText> content;
    for (size_t i = 0; i < customers; ++i) {
        const std::string team = "teams/team-" + std::to_string(i);
        content.emplace_back(team + "/limits", "rate_per_s = 900\nburst = 450");
        content.emplace_back(team + "/keys/k-" + std::to_string(i), "digest = \"" + hexDigest(i) + "\"");
        content.emplace_back(team + "/services", "services = [\"service\"]");
        content.emplace_back("services/service/approvals/team-" + std::to_string(i), "approved = true");
    }
    for (size_t i = 0; i < groups; ++i) {
        std::string members;
        for (size_t k = 0; k < 3; ++k) {
            const DataCentre& dataCentre = deployment.dataCentres[(i + k) % deployment.dataCentres.size()];
            members += "[[members]]\nname = \"g" + std::to_string(i) + "-m" + std::to_string(k)
                + "\"\naddress = \"http://127.0.0.1:" + std::to_string(10000 + i * 3 + k) + "\"\ndata_centre = \""
                + dataCentre.name + "\"\nregion = \"" + dataCentre.region + "\"\n";
        }
        content.emplace_back("services/service/groups/group-" + std::to_string(i), members);
    }
    for (size_t i = 0; i < hosts; ++i) {
        const DataCentre& dataCentre = deployment.dataCentres[i % deployment.dataCentres.size()];
        content.emplace_back("fleet/hosts/host-" + std::to_string(i),
            "caller_address = \"http://127.0.0.1:" + std::to_string(20000 + i)
                + "\"\npeer_address = \"http://127.0.0.1:" + std::to_string(30000 + i) + "\"\ndata_centre = \""
                + dataCentre.name + "\"\nregion = \"" + dataCentre.region + "\"");
    }
    return content;
}

StoreEntry storedEntry(const ConfigText& text, uint64_t revision)
{
    ConfigEnvelope envelope;
    envelope.value = text.second;
    envelope.changeId = "change-" + std::to_string(revision);
    envelope.author = "operator";
    envelope.time = "2026-12-04T05:00:00Z";
    return { std::string(configPrefix) + text.first, encodeEnvelope(envelope), revision };
}

ConfigCluster::ConfigCluster(const Deployment& deployment, const ClusterOptions& options, uint64_t seed)
    : m_deployment(deployment)
    , m_options(options)
    , m_queue(seed)
    , m_hosts(options.hosts)
    , m_hostsOf(deployment.dataCentres.size())
{
    for (const ConfigText& text : options.content) {
        const StoreEntry entry = storedEntry(text, ++m_revision);
        m_store[entry.key] = entry;
    }
    for (size_t i = 0; i < m_hosts.size(); ++i) {
        m_hosts[i].dataCentre = i * deployment.dataCentres.size() / m_hosts.size();
        std::vector<size_t>& local = m_hostsOf[m_hosts[i].dataCentre];
        m_hosts[i].relay = local.size() < relaysPerDataCentre;
        local.push_back(i);
    }
    for (size_t i = 0; i < m_hosts.size(); ++i) {
        m_hosts[i].configuration = std::make_unique<Configuration>(m_queue.random()(), m_queue.now());
        m_hosts[i].configuration->setTopology(topologyFor(i));
        const Duration first = fromMicroseconds(m_queue.uniform(1, static_cast<double>(tickInterval.count())));
        m_queue.every(first, tickInterval, [this, i] { input(i, [](Configuration&) {}); });
        const Duration gossipAt = fromMicroseconds(m_queue.uniform(1, 1e6));
        m_queue.every(gossipAt, seconds(1), [this, i] { gossip(i); });
    }
}

ConfigTopology ConfigCluster::topologyFor(size_t host) const
{
    ConfigTopology topology;
    topology.relay = m_hosts[host].relay;
    for (size_t i = 0; i < m_hosts.size(); ++i) {
        if (i == host)
            continue;
        const bool local = m_hosts[i].dataCentre == m_hosts[host].dataCentre;
        topology.peers.push_back(nameOf(i));
        if (local)
            topology.localHosts.push_back(nameOf(i));
        if (m_hosts[i].relay) {
            topology.relays.push_back(nameOf(i));
            if (local)
                topology.localRelays.push_back(nameOf(i));
        }
    }
    return topology;
}

void ConfigCluster::input(size_t host, const std::function<void(Configuration&)>& call)
{
    const Duration before = m_options.measureCpu ? threadCpuTime() : Duration::zero();
    call(*m_hosts[host].configuration);
    const std::vector<ConfigAction> actions = m_hosts[host].configuration->tick(m_queue.now());
    if (m_options.measureCpu)
        m_hosts[host].traffic.cpu += threadCpuTime() - before;
    for (const ConfigAction& action : actions)
        perform(host, action);
    if (m_onInput)
        m_onInput(host);
}

void ConfigCluster::perform(size_t host, const ConfigAction& action)
{
    std::visit([this, host](const auto& typed) { perform(host, typed); }, action);
}

bool ConfigCluster::connected(size_t a, size_t b) const { return a == b || !m_cut || (a != *m_cut && b != *m_cut); }

void ConfigCluster::send(size_t from, size_t to, size_t bytes, const std::function<void()>& deliver)
{
    const size_t fromCentre = m_hosts[from].dataCentre;
    const size_t toCentre = m_hosts[to].dataCentre;
    m_hosts[from].traffic.bytes += bytes;
    if (!m_deployment.sameRegion(fromCentre, toCentre))
        m_hosts[from].traffic.crossRegionBytes += bytes;
    if (!connected(fromCentre, toCentre))
        return;
    const Duration way = m_deployment.latency(fromCentre, toCentre);
    m_queue.after(way + fromMicroseconds(m_queue.uniform(0, 200)), [this, to, bytes, deliver] {
        m_hosts[to].traffic.bytes += bytes;
        deliver();
    });
}

void ConfigCluster::toStore(size_t host, const std::function<void()>& call)
{
    const size_t dataCentre = m_hosts[host].dataCentre;
    m_hosts[host].traffic.bytes += headBytes;
    if (m_cut == dataCentre)
        return;
    ++m_storeCalls;
    m_queue.after(m_deployment.latencyToStore(dataCentre), call);
}

void ConfigCluster::fromStore(size_t host, size_t bytes, const std::function<void()>& answer)
{
    const size_t dataCentre = m_hosts[host].dataCentre;
    m_queue.after(
        m_options.storeDelay + m_deployment.latencyToStore(dataCentre), [this, host, dataCentre, bytes, answer] {
            if (m_cut == dataCentre)
                return;
            m_hosts[host].traffic.bytes += bytes + headBytes;
            answer();
        });
}

StoreListing ConfigCluster::changesAfter(uint64_t revision) const
{
    StoreListing listing;
    listing.revision = m_revision;
    for (const std::pair<const std::string, StoreEntry>& entry : m_store) {
        if (entry.second.revision > revision)
            listing.entries.push_back(entry.second);
    }
    return listing;
}

void ConfigCluster::perform(size_t host, const WatchStore& watch)
{
    toStore(host, [this, host, watch] {
        if (m_revision > watch.after) {
            answerWatch({ host, watch });
            return;
        }
        m_watches.push_back({ host, watch });
        m_queue.after(watch.wait, [this, host, id = watch.id] {
            for (size_t i = 0; i < m_watches.size(); ++i) {
                if (m_watches[i].host == host && m_watches[i].watch.id == id) {
                    const PendingWatch pending = m_watches[i];
                    m_watches.erase(m_watches.begin() + static_cast<std::ptrdiff_t>(i));
                    answerWatch(pending);
                    return;
                }
            }
        });
    });
}

void ConfigCluster::answerWatch(const PendingWatch& pending)
{
    const StoreListing listing = changesAfter(pending.watch.after);
    const size_t bytes = encodeBatch({ 0, listing.revision, false, {}, listing.entries }).size();
    fromStore(pending.host, bytes, [this, pending, listing] {
        input(pending.host, [&](Configuration& configuration) { configuration.watchAnswered(pending.watch, listing); });
    });
}

void ConfigCluster::perform(size_t host, const ListStore& list)
{
    toStore(host, [this, host, list] {
        const StoreListing listing = changesAfter(0);
        fromStore(host, 0, [this, host, list, listing] {
            input(host, [&](Configuration& configuration) { configuration.listAnswered(list, listing); });
        });
    });
}

void ConfigCluster::perform(size_t host, const FetchFromPeer& fetch)
{
    const size_t peer = indexOf(fetch.host);
    send(host, peer, fetchRequestBytes + headBytes, [this, host, peer, fetch] {
        const Duration before = m_options.measureCpu ? threadCpuTime() : Duration::zero();
        const std::optional<ConfigBatch> batch = m_hosts[peer].configuration->changesSince(fetch.after, m_queue.now());
        if (m_options.measureCpu)
            m_hosts[peer].traffic.cpu += threadCpuTime() - before;
        if (!batch)
            return;
        const size_t bytes = encodeBatch(*batch).size() + headBytes;
        send(peer, host, bytes, [this, host, fetch, batch] {
            input(host, [&](Configuration& configuration) { configuration.fetchAnswered(fetch, *batch); });
        });
    });
}

void ConfigCluster::perform(size_t host, const PushToPeers& push)
{
    const size_t bytes = encodeBatch(push.batch).size() + headBytes;
    const std::shared_ptr<const ConfigBatch> batch = std::make_shared<ConfigBatch>(push.batch);
    for (const std::string& name : push.hosts) {
        const size_t peer = indexOf(name);
        send(host, peer, bytes, [this, peer, batch] {
            input(peer, [&](Configuration& configuration) { configuration.pushReceived(*batch); });
        });
    }
}

void ConfigCluster::change(size_t host, const ConfigText& text, const std::function<void()>& applied)
{
    toStore(host, [this, host, text, applied] {
        const StoreEntry entry = storedEntry(text, ++m_revision);
        m_store[entry.key] = entry;
        applied();
        std::vector<PendingWatch> watches;
        watches.swap(m_watches);
        for (const PendingWatch& pending : watches)
            answerWatch(pending);
        fromStore(host, 0, [this, host, entry] {
            input(host, [&](Configuration& configuration) { configuration.changeAccepted(entry); });
        });
    });
}

/// Two digests to the own data centre and one to any host, without the membership part.
void ConfigCluster::gossip(size_t host)
{
    const std::vector<size_t>& local = m_hostsOf[m_hosts[host].dataCentre];
    for (unsigned n = 0; n < gossipFanout; ++n) {
        const size_t peer = n + 1 < gossipFanout ? local[m_queue.pick(local.size())] : m_queue.pick(m_hosts.size());
        if (peer == host)
            continue;
        const ConfigDigest digest = m_hosts[host].configuration->digest(m_queue.now());
        send(host, peer, digestBytes, [this, host, peer, digest] {
            input(peer, [&](Configuration& configuration) { configuration.digestReceived(nameOf(host), digest); });
        });
    }
}

void ConfigCluster::startCounting()
{
    for (Host& host : m_hosts)
        host.traffic = HostTraffic();
    m_storeCalls = 0;
}

} // namespace plantainwall::bench

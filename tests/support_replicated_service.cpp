#include "support_replicated_service.h"
#include "matched_connector.h"
#include "replica_record.h"
#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace plantainwall {

namespace {

    const char* const serviceName = "orders";
    constexpr Duration stepTime = std::chrono::milliseconds(5);
    constexpr Duration hostTickInterval = std::chrono::milliseconds(10);
    /// Interval at which messages are sent again over a path that is cut.
    constexpr Duration resendInterval = std::chrono::milliseconds(20);
    /// A replica that was rolled back answers no commands for this long.
    constexpr Duration rollbackTime = std::chrono::milliseconds(100);
    constexpr Duration positionInterval = std::chrono::milliseconds(200); ///< Of hosts' reads of the primary position.
    constexpr size_t receiveBatch = 20; ///< Commits that a replica can receive in one step while it catches up.
    constexpr uint64_t firstStartUnixMs = 1'700'000'000'000;

    unsigned numberFrom(const char* name, unsigned byDefault)
    {
        const char* const text = std::getenv(name);
        return text == nullptr ? byDefault : static_cast<unsigned>(std::strtoul(text, nullptr, 10));
    }

    size_t commonPrefix(const std::vector<uint64_t>& a, const std::vector<uint64_t>& b)
    {
        const size_t n = std::min(a.size(), b.size());
        return static_cast<size_t>(
            std::mismatch(a.begin(), a.begin() + static_cast<std::ptrdiff_t>(n), b.begin()).first - a.begin());
    }

    uint64_t unixMs(Instant now)
    {
        return firstStartUnixMs + static_cast<uint64_t>(now.time_since_epoch() / std::chrono::milliseconds(1));
    }

    LogPosition positionOf(const std::vector<uint64_t>& log)
    {
        return log.empty() ? LogPosition() : LogPosition { log.back(), log.size() };
    }

    std::string describe(const LogPosition& position)
    {
        return std::to_string(position.term) + "." + std::to_string(position.position);
    }

} // namespace

struct ReplicatedService::Server {
    std::string id;
    std::string address;
    size_t index = 0;
    bool running = true;
    bool left = false;
    bool dark = false;
    bool storeCut = false;
    bool replicationCut = false;
    bool draining = false;
    std::set<size_t> hostCuts;
    std::set<size_t> refusedHosts;
    Duration receiveDelay { 0 };
    std::vector<uint64_t> log; ///< Terms of the commits.
    uint64_t term = 1; ///< Newest term that the server knows.
    uint64_t stoppedAtTerm = 0;
    uint64_t startedUnixMs = 0;
    uint64_t incarnation = 1; ///< Rises with each start, with or without the log.
    Instant busyUntil;
    // Following the primary.
    bool linked = false;
    uint64_t linkTerm = 0;
    uint64_t linkIncarnation = 0; ///< Incarnation of the primary.
    Instant linkUsableAt;
    size_t confirmed = 0; ///< Commits that were confirmed over the present link.
    // Registration.
    Instant storeReached;
    std::optional<ServerEntry> published;
    bool withdrawnForGood = false;
};

struct ReplicatedService::Connection {
    size_t host = 0;
    std::string server;
    uint64_t incarnation = 0;
    BackendObserver* observer = nullptr; ///< Null once the host has closed the connection.
    bool open = false;
    bool closed = false;
    std::deque<std::pair<Instant, BackendCommand>> commands; ///< By time of arrival.
    std::deque<std::pair<Instant, BackendReply>> replies;
};

struct ReplicatedService::Link final : BackendLink {
    Link(ReplicatedService& service, std::shared_ptr<Connection> connection)
        : service(service)
        , connection(std::move(connection))
    {
    }
    ~Link() override { connection->observer = nullptr; }

    void send(const BackendCommand& command) override
    {
        const Instant due = service.now + service.m_timing.messageDelay;
        connection->commands.emplace_back(due, command);
        service.timers.add(due, [owner = &service, it = connection] { owner->deliverCommands(it); });
    }

    ReplicatedService& service;
    std::shared_ptr<Connection> connection;
};

struct ReplicatedService::Host final : BackendConnector, PromotionService, PeerChannel {
    Host(ReplicatedService& service, size_t index, uint64_t incarnation)
        : service(service)
        , index(index)
        , incarnation(incarnation)
        , gateway(
              GatewaySettings(), unused, quota, [&service] { return service.now; }, metrics, index + 1)
    {
        gateway.setConfiguration(GatewayFixture::configuration(1));
        const auto clock = [&service] { return service.now; };
        prober = std::make_unique<ServerProber>(gateway, matched, clock, std::to_string(index));
        probes = std::make_unique<ProbeExchange>(std::to_string(index), *this, clock, *prober);
        revocations = std::make_unique<RevocationExchange>(std::to_string(index), incarnation, *this, clock, gateway);
    }

    std::unique_ptr<BackendLink> open(const ServerEntry& entry, const std::string&, BackendObserver& observer) override
    {
        const std::shared_ptr<Connection> connection = std::make_shared<Connection>();
        connection->host = index;
        connection->server = entry.id;
        connection->observer = &observer;
        service.m_connections.erase(std::remove_if(service.m_connections.begin(), service.m_connections.end(),
                                        [](const std::weak_ptr<Connection>& it) { return it.expired(); }),
            service.m_connections.end());
        service.m_connections.push_back(connection);
        service.timers.add(service.now + service.m_timing.connectDelay,
            [owner = &service, connection] { owner->deliverConnect(connection); });
        return std::make_unique<Link>(service, connection);
    }

    std::optional<ServerStatus> statusOf(const BackendReply& reply) override
    {
        if (reply.error != BackendError::None || reply.rows.empty())
            return std::nullopt;
        std::istringstream row(reply.rows.front());
        ServerStatus status;
        row >> status.primary >> status.term >> status.received.term >> status.received.position
            >> status.stoppedAtTerm;
        return status;
    }

    void promote(const std::string&, const std::string& id, const std::string&, uint64_t token,
        std::function<void(PromotionOutcome)> handler) override
    {
        const Duration delay = service.m_timing.promotionDelay + service.m_promotionLateness;
        const Duration timeout = service.m_timing.promotionTimeout;
        if (delay + service.m_timing.promotionDelay > timeout) {
            service.timers.add(
                service.now + timeout, [handler = std::move(handler)] { handler(PromotionOutcome::Unanswered); });
            handler = [](PromotionOutcome) {};
        }
        service.timers.add(service.now + delay,
            [this, id, token, handler = std::move(handler)] { service.orderPromotion(id, token, index, handler); });
    }

    // Addresses are the indexes of the hosts.
    void send(const std::string& address, const std::string& text) override
    {
        const size_t to = std::stoul(address);
        if (cutOff || service.m_hosts[to]->cutOff || !service.m_hosts[to]->running)
            return;
        const uint64_t receiver = service.m_hosts[to]->incarnation;
        service.timers.add(service.now + service.m_timing.peerDelay, [owner = &service, to, receiver, text] {
            if (owner->m_hosts[to]->incarnation != receiver)
                return;
            const auto addressOf = [](const std::string& host) { return host; };
            if (!owner->m_hosts[to]->probes->datagram(text, addressOf))
                owner->m_hosts[to]->revocations->datagram(text, addressOf);
        });
    }

    std::vector<RevocationTarget> revocationTargets() const
    {
        std::vector<RevocationTarget> targets;
        for (const std::unique_ptr<Host>& host : service.m_hosts) {
            const std::string name = std::to_string(host->index);
            if (host.get() != this)
                targets.push_back({ name, name, host->incarnation, !cutOff && !host->cutOff && host->running });
        }
        return targets;
    }

    std::vector<ProbingHost> probingHosts() const
    {
        std::vector<ProbingHost> hosts { { std::to_string(index), "", "" } };
        for (const std::unique_ptr<Host>& host : service.m_hosts) {
            const std::string name = std::to_string(host->index);
            if (host.get() != this)
                hosts.push_back({ name, name, "" });
        }
        return hosts;
    }

    /// Ends the process.
    void end()
    {
        running = false;
        coordinator.reset();
    }

    ReplicatedService& service;
    size_t index;
    uint64_t incarnation; ///< Rises with each start of the process.
    bool running = true;
    bool cutOff = false; ///< From the other hosts.
    bool storeCut = false;
    FakeConnector unused; ///< Of the gateway, which serves no sessions.
    FakeQuota quota;
    Metrics metrics;
    MatchedConnector matched { *this, metrics };
    Gateway gateway;
    ReplicaRecords records;
    std::map<std::string, StoreItem> items; ///< Items of the store that the host has read.
    bool itemsChanged = false;
    std::unique_ptr<ServerProber> prober;
    std::unique_ptr<ProbeExchange> probes;
    std::unique_ptr<RevocationExchange> revocations;
    std::unique_ptr<PromotionCoordinator> coordinator;
};

ReplicatedService::ReplicatedService(size_t hosts, const ReplicatedServiceTiming& timing)
    : m_timing(timing)
    , m_leader("p")
    , m_nextCommit(now)
{
    // The last one serves callers only.
    for (size_t i = 0; i <= hosts; ++i)
        m_hosts.push_back(std::make_unique<Host>(*this, i, 1));
    for (const char* id : { "p", "r1", "r2" })
        addServer(id, std::string("address of ") + id);
    activate(0);
}

ReplicatedService::~ReplicatedService() = default;

void ReplicatedService::addServer(const std::string& id, const std::string& address)
{
    std::unique_ptr<Server> server = std::make_unique<Server>();
    server->id = id;
    server->address = address;
    server->index = m_serverIds.size();
    server->receiveDelay = m_timing.receiveDelay;
    server->term = m_term;
    server->startedUnixMs = unixMs(now);
    m_serverIds.push_back(id);
    stepRegistration(*(m_servers[id] = std::move(server)));
}

ReplicatedService::Server* ReplicatedService::find(const std::string& id)
{
    const auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : it->second.get();
}

const ReplicatedService::Server* ReplicatedService::find(const std::string& id) const
{
    const auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : it->second.get();
}

void ReplicatedService::note(const std::string& event)
{
    const int64_t ms = now.time_since_epoch() / std::chrono::milliseconds(1) - 1'000'000;
    m_trace.push_back(std::to_string(ms) + " ms: " + event);
}

std::string ReplicatedService::trace() const
{
    std::string result;
    for (const std::string& line : m_trace)
        result += line + "\n";
    return result;
}

void ReplicatedService::pass(Duration duration)
{
    for (Duration passed {}; passed < duration; passed += stepTime) {
        now += stepTime;
        timers.run(now);
        stepServers();
        reportPositions();
        m_sinceHostTick += stepTime;
        if (m_sinceHostTick < hostTickInterval)
            continue;
        m_sinceHostTick = Duration(0);
        for (const std::unique_ptr<Host>& host : m_hosts) {
            if (!host->running)
                continue;
            host->gateway.tick();
            host->probes->tick([&host] { return host->probingHosts(); });
            if (host->coordinator)
                host->coordinator->tick(true);
            stepContact(*host);
            host->revocations->tick([&host] { return host->revocationTargets(); });
            stepRecords(*host);
        }
    }
}

bool ReplicatedService::passUntil(Duration limit, const std::function<bool()>& condition)
{
    for (Duration passed {}; passed < limit && !condition(); passed += stepTime)
        pass(stepTime);
    return condition();
}

// Coordinators.

size_t ReplicatedService::hosts() const { return m_hosts.size() - 1; }

void ReplicatedService::killHost(size_t host, Duration down)
{
    if (!m_hosts[host]->running)
        return;
    note("host " + std::to_string(host) + " is killed");
    const uint64_t next = m_hosts[host]->incarnation + 1;
    const bool cutOff = m_hosts[host]->cutOff;
    const bool storeCut = m_hosts[host]->storeCut;
    // Connections and messages of the old process refer to it.
    m_killedHosts.push_back(std::move(m_hosts[host]));
    m_killedHosts.back()->end();
    m_hosts[host] = std::make_unique<Host>(*this, host, next);
    m_hosts[host]->cutOff = cutOff;
    m_hosts[host]->storeCut = storeCut;
    m_hosts[host]->running = false;
    timers.add(now + down, [this, host] {
        Host& it = *m_hosts[host];
        it.running = true;
        note("host " + std::to_string(host) + " starts");
        for (const auto& [id, server] : m_servers) {
            if (server->published)
                it.gateway.directory().registerServer(*server->published);
        }
        readItems(it);
        it.gateway.serversChanged();
        for (const std::unique_ptr<Host>& other : m_hosts) {
            if (other.get() != &it)
                other->revocations->noteDeparture();
        }
    });
}

bool ReplicatedService::hostRuns(size_t host) const { return m_hosts[host]->running; }

bool ReplicatedService::acknowledgesAt(size_t host) const { return acknowledges(*m_hosts[host]); }

bool ReplicatedService::acknowledges(Host& host) const
{
    return !host.gateway.revocations().withholdsCommits(serviceName, m_leader, m_term, now)
        && !host.gateway.fleetContact().isLost(now);
}

void ReplicatedService::activate(size_t host)
{
    if (!m_hosts[host]->running)
        return;
    if (m_hosts[m_active]->coordinator)
        m_hosts[m_active]->coordinator->setActive(false, 0);
    m_hosts[m_active]->coordinator.reset();
    m_active = host;
    ++m_token;
    Host& it = *m_hosts[host];
    it.coordinator = std::make_unique<PromotionCoordinator>(
        it.gateway, it.matched, it, *it.probes, [this] { return now; }, std::to_string(host), it.metrics);
    it.coordinator->setRevocations(*it.revocations);
    it.coordinator->setActive(true, m_token);
    note("host " + std::to_string(host) + " coordinates");
}

bool ReplicatedService::coordinatorUnreachable() const
{
    const Host& host = *m_hosts[m_active];
    return host.coordinator && host.coordinator->serversUnreachable();
}

// Faults.

void ReplicatedService::end(Server& server, bool leaves)
{
    server.running = false;
    server.linked = false;
    server.stoppedAtTerm = 0;
    server.left = server.left || leaves;
    for (const std::weak_ptr<Connection>& entry : m_connections) {
        const std::shared_ptr<Connection> connection = entry.lock();
        if (connection && connection->server == server.id && connection->open && !connection->closed)
            timers.add(now + m_timing.messageDelay,
                [this, connection] { deliverClose(connection, BackendCloseReason::Lost); });
    }
}

void ReplicatedService::start(Server& server)
{
    server.running = true;
    ++server.incarnation;
    if (!server.log.empty())
        server.term = m_term;
    server.storeReached = now;
}

void ReplicatedService::crash(const std::string& id)
{
    Server& server = *find(id);
    note("crash " + id + " at " + describe(positionOf(server.log)));
    end(server, false);
}

void ReplicatedService::restart(const std::string& id)
{
    Server& server = *find(id);
    if (server.running || server.left)
        return;
    note("restart " + id + " at " + describe(positionOf(server.log)));
    if (m_timing.restartChangesStart)
        server.startedUnixMs = unixMs(now);
    start(server);
}

void ReplicatedService::restartEmpty(const std::string& id)
{
    Server& server = *find(id);
    if (server.left)
        return;
    note("restart empty " + id + " from " + describe(positionOf(server.log)));
    if (server.running)
        end(server, false);
    if (holdsOnlyCopy(id))
        note("the only copy of acknowledged commits is destroyed with " + id);
    server.log.clear();
    server.term = 0;
    if (m_leader == id)
        m_leader.clear();
    server.startedUnixMs = unixMs(now);
    start(server);
}

void ReplicatedService::setDark(const std::string& id, bool dark)
{
    bool& current = find(id)->dark;
    if (current != dark)
        note(id + (dark ? " goes dark" : " is back"));
    current = dark;
}

void ReplicatedService::setStoreCut(const std::string& id, bool cut)
{
    bool& current = find(id)->storeCut;
    if (current != cut)
        note(id + (cut ? " loses the store" : " reaches the store"));
    current = cut;
}

void ReplicatedService::setHostCut(const std::string& id, size_t host, bool cut)
{
    std::set<size_t>& cuts = find(id)->hostCuts;
    if (cut ? cuts.insert(host).second : cuts.erase(host) > 0)
        note(id + (cut ? " loses host " : " reaches host ") + std::to_string(host));
}

void ReplicatedService::setHostRefused(const std::string& id, size_t host, bool refused)
{
    std::set<size_t>& hosts = find(id)->refusedHosts;
    if (!(refused ? hosts.insert(host).second : hosts.erase(host) > 0))
        return;
    note(id + (refused ? " is refused to host " : " reaches host ") + std::to_string(host));
    for (const std::weak_ptr<Connection>& entry : m_connections) {
        const std::shared_ptr<Connection> connection = entry.lock();
        if (refused && connection && connection->server == id && connection->host == host && connection->open
            && !connection->closed)
            deliverClose(connection, BackendCloseReason::Lost);
    }
}

void ReplicatedService::setPeersCut(size_t host, bool cut)
{
    bool& current = m_hosts[host]->cutOff;
    if (current != cut)
        note("host " + std::to_string(host) + (cut ? " loses" : " reaches") + " the other hosts");
    current = cut;
}

void ReplicatedService::setHostStoreCut(size_t host, bool cut)
{
    Host& it = *m_hosts[host];
    if (it.storeCut == cut)
        return;
    note("host " + std::to_string(host) + (cut ? " loses" : " reaches") + " the store");
    it.storeCut = cut;
    readItems(it);
}

void ReplicatedService::setReplicationCut(const std::string& id, bool cut)
{
    bool& current = find(id)->replicationCut;
    if (current != cut)
        note(id + (cut ? " loses the replication" : " replicates again"));
    current = cut;
}

void ReplicatedService::setReceiveDelay(const std::string& id, Duration delay)
{
    Duration& current = find(id)->receiveDelay;
    if (current != delay)
        note(id + " receives after " + std::to_string(delay / std::chrono::milliseconds(1)) + " ms");
    current = delay;
}

void ReplicatedService::drain(const std::string& id)
{
    note(id + " drains");
    find(id)->draining = true;
}

void ReplicatedService::deregister(const std::string& id)
{
    find(id)->withdrawnForGood = true;
    withdraw(*find(id));
}

void ReplicatedService::exit(const std::string& id)
{
    Server& server = *find(id);
    note(id + " has left at " + describe(positionOf(server.log)));
    end(server, true);
    if (holdsOnlyCopy(id))
        note("the only copy of acknowledged commits leaves with " + id);
    if (m_leader == id)
        m_leader.clear();
}

void ReplicatedService::evacuate(const std::string& id)
{
    note(id + " is evacuated");
    for (const std::unique_ptr<Host>& host : m_hosts) {
        host->gateway.evacuations().request("dc-" + id);
        host->gateway.evacuationsChanged();
    }
}

void ReplicatedService::leave(const std::string& id, Duration drainTime, Duration endsAfter)
{
    drain(id);
    timers.add(now + drainTime, [this, id] { deregister(id); });
    timers.add(now + drainTime + endsAfter, [this, id] { exit(id); });
}

void ReplicatedService::replace(const std::string& left, const std::string& id, bool withLog)
{
    const Server& old = *find(left);
    note(id + " starts at the address of " + left + (withLog ? " with its log" : ""));
    addServer(id, old.address);
    Server& server = *find(id);
    if (withLog)
        server.log = old.log;
    else
        server.term = 0;
}

void ReplicatedService::addReplica(const std::string& id)
{
    note(id + " starts");
    addServer(id, "address of " + id);
    find(id)->log = m_lineage;
}

// State.

bool ReplicatedService::isRunning(const std::string& id) const { return find(id)->running; }
bool ReplicatedService::isDark(const std::string& id) const { return find(id)->dark; }
bool ReplicatedService::isHostCut(const std::string& id, size_t host) const
{
    return find(id)->hostCuts.count(host) != 0;
}
bool ReplicatedService::hasLeft(const std::string& id) const { return find(id)->left; }
bool ReplicatedService::isDraining(const std::string& id) const { return find(id)->draining; }
bool ReplicatedService::isRegistered(const std::string& id) const { return find(id)->published.has_value(); }
size_t ReplicatedService::logSize(const std::string& id) const { return find(id)->log.size(); }

std::vector<std::string> ReplicatedService::servers() const
{
    std::vector<std::string> result;
    for (const std::string& id : m_serverIds) {
        if (!find(id)->left)
            result.push_back(id);
    }
    return result;
}

bool ReplicatedService::holdsOnlyCopy(const std::string& id) const
{
    size_t others = 0;
    for (const auto& [other, server] : m_servers) {
        if (other != id && !server->left)
            others = std::max(others, commonWithLineage(*server));
    }
    return others < std::min(m_acknowledged, commonWithLineage(*find(id)));
}

// Registration.

void ReplicatedService::stepRegistration(Server& server)
{
    if (server.running && !server.dark && !server.storeCut) {
        server.storeReached = now;
        const bool primary = m_leader == server.id;
        if (!server.withdrawnForGood
            && (!server.published || server.published->primary != primary
                || server.published->draining != server.draining
                || server.published->startedUnixMs != server.startedUnixMs))
            publish(server);
    } else if (server.published && now - server.storeReached >= m_timing.registrationTimeout)
        withdraw(server);
}

void ReplicatedService::publish(Server& server)
{
    ServerEntry entry;
    entry.id = server.id;
    entry.service = serviceName;
    entry.address = server.address;
    entry.slots = 4;
    entry.dataCentre = "dc-" + server.id;
    entry.draining = server.draining;
    entry.primary = m_leader == server.id;
    entry.startedUnixMs = server.startedUnixMs;
    server.published = entry;
    for (const std::unique_ptr<Host>& host : m_hosts)
        timers.add(now + m_timing.registrationDelay, [it = host.get(), entry] {
            it->gateway.directory().registerServer(entry);
            it->gateway.serversChanged();
        });
}

void ReplicatedService::withdraw(Server& server)
{
    if (!server.published)
        return;
    note("the registration of " + server.id + " ends");
    server.published.reset();
    for (const std::unique_ptr<Host>& host : m_hosts)
        timers.add(now + m_timing.registrationDelay, [this, it = host.get(), id = server.id] {
            it->gateway.directory().remove(id, now);
            it->gateway.serversChanged();
        });
}

void ReplicatedService::stepContact(Host& host)
{
    FleetContact& contact = host.gateway.fleetContact();
    contact.setOthers(true);
    const bool hears = !host.cutOff && std::any_of(m_hosts.begin(), m_hosts.end(), [&](const auto& other) {
        return other.get() != &host && other->running && !other->cutOff;
    });
    if (hears || host.coordinator)
        contact.heard(now);
    if (contact.takeReadDue(now) && !host.storeCut) {
        host.revocations->itemsRead(m_items, false);
        contact.storeRead(now);
    }
}

void ReplicatedService::readItems(Host& host)
{
    if (host.storeCut || !host.running)
        return;
    host.items = m_items;
    host.itemsChanged = true;
}

void ReplicatedService::stepRecords(Host& host)
{
    ServerDirectory& directory = host.gateway.directory();
    const GatewayConfiguration& configuration = *host.gateway.configuration();
    const bool active = host.coordinator != nullptr;
    if (host.itemsChanged) {
        host.itemsChanged = false;
        host.records.itemsRead(host.items, 0, configuration, active, directory, now);
        host.revocations->itemsRead(host.items, true);
    }
    host.revocations->setStoreReachable(!host.storeCut);
    host.records.forgetUnlisted(configuration, active, directory, now);
    if (!active || host.storeCut)
        return;
    for (const StoreWrite& write : host.revocations->records().due(host.items, now))
        timers.add(now + m_timing.registrationDelay, [this, it = &host, write] {
            const bool done = writeItem(write);
            it->revocations->records().written(
                write.key, { done ? StoreOutcome::Ok : StoreOutcome::Conflict, m_revision, 0 }, now);
        });
    for (const StoreWrite& write : host.records.due(host.items, configuration, directory, now))
        timers.add(now + m_timing.registrationDelay, [this, it = &host, write] {
            it->records.written(write.key, writeItem(write) ? StoreOutcome::Ok : StoreOutcome::Conflict, now);
        });
}

bool ReplicatedService::writeItem(const StoreWrite& write)
{
    const auto known = m_items.find(write.key);
    if ((known == m_items.end() ? 0 : known->second.revision) != write.expectedRevision)
        return false;
    ++m_revision;
    if (write.removes)
        m_items.erase(write.key);
    else
        m_items[write.key] = { write.key, write.value, m_revision };
    for (const std::unique_ptr<Host>& host : m_hosts)
        timers.add(now + m_timing.registrationDelay, [this, it = host.get()] { readItems(*it); });
    return true;
}

// Replication.

void ReplicatedService::stepServers()
{
    for (const auto& [id, server] : m_servers)
        stepRegistration(*server);
    stepReplication();
}

void ReplicatedService::stepReplication()
{
    Server* const leader = m_leader.empty() ? nullptr : find(m_leader);
    if (leader == nullptr || !leader->running) {
        for (const auto& [id, server] : m_servers)
            server->linked = false;
        m_nextCommit = now;
        return;
    }
    if (!receivesWrites(*leader))
        m_nextCommit = now + m_timing.commitInterval;
    for (; m_nextCommit <= now; m_nextCommit += m_timing.commitInterval) {
        leader->log.push_back(m_term);
        m_lineage.push_back(m_term);
        m_committedAt.push_back(now);
        m_receivers.push_back(uint64_t(1) << (leader->index % 64));
    }
    for (const auto& [id, entry] : m_servers) {
        Server& server = *entry;
        if (&server == leader)
            continue;
        const bool connected = server.running && !server.dark && !leader->dark && !server.replicationCut
            && !leader->replicationCut && server.stoppedAtTerm == 0;
        if (!connected) {
            server.linked = false;
            continue;
        }
        if (!server.linked || server.linkTerm != m_term || server.linkIncarnation != leader->incarnation) {
            server.linked = true;
            server.linkTerm = m_term;
            server.linkIncarnation = leader->incarnation;
            server.linkUsableAt = now + m_timing.followDelay;
            server.confirmed = 0;
        }
        if (now < server.linkUsableAt)
            continue;
        if (server.confirmed == 0) {
            server.term = m_term;
            const size_t common = commonPrefix(server.log, leader->log);
            if (common < server.log.size()) {
                server.log.resize(common);
                server.busyUntil = now + rollbackTime;
            }
        }
        for (size_t i = 0; i < receiveBatch && server.log.size() < leader->log.size(); ++i) {
            const size_t next = server.log.size();
            if (m_committedAt[next] + server.receiveDelay > now)
                break;
            server.log.push_back(leader->log[next]);
            m_receivers[next] |= uint64_t(1) << (server.index % 64);
        }
        if (server.log.size() > server.confirmed) {
            server.confirmed = server.log.size();
            timers.add(now + m_timing.confirmDelay,
                [this, id = server.id, term = m_term, size = server.confirmed] { confirm(id, term, size); });
        }
    }
}

void ReplicatedService::confirm(const std::string& replica, uint64_t term, size_t size)
{
    const Server* const leader = m_leader.empty() ? nullptr : find(m_leader);
    if (term != m_term || leader == nullptr || !leader->running || leader->dark || find(replica)->dark
        || size <= m_acknowledged)
        return;
    // Each host has callers, of whose commits some are the newest.
    bool acknowledged = false;
    for (Host* const host : hostsAt(*leader)) {
        if (!acknowledges(*host))
            continue;
        const std::optional<PrimaryPositions::Observation> seen
            = host->gateway.acknowledgedCommits(serviceName).observed;
        const bool before = seen && seen->requestedAt < m_committedAt[size - 1];
        host->gateway.commitAcknowledged(serviceName, before ? seen->position : LogPosition(), positionOf(leader->log));
        acknowledged = true;
    }
    if (!acknowledged)
        return;
    m_acknowledged = size;
    m_lastAcknowledgement = now;
}

bool ReplicatedService::receivesWrites(const Server& leader) const
{
    const std::vector<Host*> hosts = hostsAt(leader);
    return std::any_of(hosts.begin(), hosts.end(), [this](Host* host) {
        return !host->gateway.revocations().isRevoked(serviceName, m_leader, m_term, now)
            && !host->gateway.fleetContact().isLost(now);
    });
}

std::vector<ReplicatedService::Host*> ReplicatedService::hostsAt(const Server& leader) const
{
    std::vector<Host*> result;
    for (const std::unique_ptr<Host>& host : m_hosts) {
        if (host->running && leader.hostCuts.count(host->index) == 0 && leader.refusedHosts.count(host->index) == 0)
            result.push_back(host.get());
    }
    return result;
}

void ReplicatedService::reportPositions()
{
    const Server* const leader = m_leader.empty() ? nullptr : find(m_leader);
    if (leader == nullptr || !leader->running || leader->dark || now < m_reportPositionsAt)
        return;
    m_reportPositionsAt = now + positionInterval;
    for (Host* const host : hostsAt(*leader))
        host->gateway.positionReceived(serviceName, { positionOf(leader->log), now });
}

// Promotions.

void ReplicatedService::orderPromotion(
    const std::string& id, uint64_t token, size_t host, std::function<void(PromotionOutcome)> handler)
{
    const Server* const server = find(id);
    const bool accepted = token >= m_seenToken && server != nullptr && server->running;
    // Whether the platform notes the token of an order that it rejects is not known.
    if (accepted)
        m_seenToken = token;
    m_orders += accepted ? 1 : 0;
    note("order to promote " + id + " with token " + std::to_string(token) + " of host " + std::to_string(host)
        + (accepted ? "" : " rejected"));
    if (accepted && m_leader != id)
        timers.add(now + m_timing.promotionEffect, [this, id] { takeEffect(id); });
    PromotionOutcome outcome = accepted ? PromotionOutcome::Done : PromotionOutcome::Rejected;
    if (m_promotionAnswersLost)
        outcome = PromotionOutcome::Unanswered;
    timers.add(now + m_timing.promotionDelay, [handler = std::move(handler), outcome] { handler(outcome); });
}

size_t ReplicatedService::commonWithLineage(const Server& server) const { return commonPrefix(server.log, m_lineage); }

std::string ReplicatedService::receiversOf(size_t number) const
{
    std::string result;
    for (size_t i = 0; i < m_serverIds.size(); ++i) {
        if ((m_receivers[number - 1] >> (i % 64) & 1) != 0)
            result += (result.empty() ? "" : ", ") + m_serverIds[i];
    }
    return result;
}

void ReplicatedService::checkLosses(const Server& target)
{
    size_t available = 0;
    for (const auto& [id, server] : m_servers) {
        if (!server->left)
            available = std::max(available, commonWithLineage(*server));
    }
    if (available < m_acknowledged) {
        m_destroyed += m_acknowledged - available;
        note("no copy remains of " + std::to_string(m_acknowledged - available) + " acknowledged commits");
        m_acknowledged = available;
    }
    const size_t kept = commonWithLineage(target);
    if (kept >= m_acknowledged)
        return;
    const std::string loss = "promoted " + target.id + " with " + describe(positionOf(target.log)) + " lacks "
        + std::to_string(m_acknowledged - kept) + " acknowledged commits, up to "
        + describe({ m_lineage[m_acknowledged - 1], m_acknowledged }) + ", which was received by "
        + receiversOf(m_acknowledged);
    note("LOST: " + loss);
    m_losses.push_back(loss);
}

void ReplicatedService::takeEffect(const std::string& id)
{
    Server& target = *find(id);
    if (target.left || m_leader == id)
        return;
    if (!target.running && !m_timing.promotesStopped) {
        note("the promotion of " + id + " has no effect, because its process has ended");
        return;
    }
    checkLosses(target);
    ++m_promotions;
    ++m_term;
    const size_t kept = commonWithLineage(target);
    m_lineage = target.log;
    m_committedAt.resize(kept);
    m_committedAt.resize(m_lineage.size(), now);
    m_receivers.resize(kept);
    m_receivers.resize(m_lineage.size(), uint64_t(1) << (target.index % 64));
    m_acknowledged = std::min(m_acknowledged, kept);
    m_leader = id;
    m_nextCommit = now;
    target.stoppedAtTerm = 0;
    target.term = m_term;
    note(id + " leads term " + std::to_string(m_term) + " from " + describe(positionOf(target.log)));
    for (const auto& [other, server] : m_servers) {
        if (server.get() == &target || !server->running || server->dark)
            continue;
        server->term = m_term;
        if (m_timing.promotionResumes)
            server->stoppedAtTerm = 0;
        const size_t common = commonPrefix(server->log, m_lineage);
        if (common < server->log.size()) {
            server->log.resize(common);
            server->busyUntil = now + rollbackTime;
        }
    }
}

// Connections.

bool ReplicatedService::pathOpen(const Connection& connection) const
{
    const Server* const server = find(connection.server);
    return server == nullptr || (!server->dark && server->hostCuts.count(connection.host) == 0);
}

void ReplicatedService::deliverConnect(const std::shared_ptr<Connection>& connection)
{
    if (connection->observer == nullptr)
        return;
    if (!pathOpen(*connection)) {
        timers.add(now + resendInterval, [this, connection] { deliverConnect(connection); });
        return;
    }
    const Server* const server = find(connection->server);
    if (server->refusedHosts.count(connection->host) != 0) {
        deliverClose(connection, BackendCloseReason::Refused);
        return;
    }
    if (server->running) {
        connection->open = true;
        connection->incarnation = server->incarnation;
        connection->observer->backendOpened();
        return;
    }
    const bool addressReused = std::any_of(m_servers.begin(), m_servers.end(), [&](const auto& other) {
        return other.second.get() != server && other.second->address == server->address && other.second->running;
    });
    deliverClose(connection, addressReused ? BackendCloseReason::Misrouted : BackendCloseReason::Refused);
}

void ReplicatedService::deliverClose(const std::shared_ptr<Connection>& connection, BackendCloseReason reason)
{
    if (connection->observer == nullptr || connection->closed)
        return;
    if (!pathOpen(*connection)) {
        timers.add(now + resendInterval, [this, connection, reason] { deliverClose(connection, reason); });
        return;
    }
    connection->closed = true;
    connection->observer->backendClosed(reason);
}

void ReplicatedService::deliverCommands(const std::shared_ptr<Connection>& connection)
{
    if (connection->closed)
        return;
    if (!pathOpen(*connection)) {
        if (connection->observer != nullptr)
            timers.add(now + resendInterval, [this, connection] { deliverCommands(connection); });
        return;
    }
    Server& server = *find(connection->server);
    if (!server.running || server.incarnation != connection->incarnation) {
        deliverClose(connection, BackendCloseReason::Lost);
        return;
    }
    while (!connection->commands.empty() && connection->commands.front().first <= now) {
        const BackendCommand command = std::move(connection->commands.front().second);
        connection->commands.pop_front();
        const Instant due = now + m_timing.messageDelay;
        const BackendReply reply = execute(server, command);
        connection->replies.emplace_back(due, reply);
        timers.add(due, [this, connection] { deliverReplies(connection); });
        static const unsigned repeatedPerThousand = numberFrom("COORDINATOR_REPEATS", 0);
        static const unsigned maxRepeatDelay = numberFrom("COORDINATOR_REPEAT_MS", 300);
        if (m_repeatRandom() % 1000 >= repeatedPerThousand)
            continue;
        timers.add(due + std::chrono::milliseconds(m_repeatRandom() % maxRepeatDelay), [this, connection, reply] {
            connection->replies.emplace_back(now, reply);
            deliverReplies(connection);
        });
    }
}

void ReplicatedService::deliverReplies(const std::shared_ptr<Connection>& connection)
{
    if (connection->observer == nullptr || connection->closed)
        return;
    if (!pathOpen(*connection)) {
        timers.add(now + resendInterval, [this, connection] { deliverReplies(connection); });
        return;
    }
    while (connection->observer != nullptr && !connection->closed && !connection->replies.empty()
        && connection->replies.front().first <= now) {
        BackendReply reply = std::move(connection->replies.front().second);
        connection->replies.pop_front();
        connection->observer->backendReplied(std::move(reply));
    }
}

BackendReply ReplicatedService::execute(Server& server, const BackendCommand& command)
{
    if (now < server.busyUntil)
        return errorReply(BackendError::Busy);
    const bool leads = m_leader == server.id;
    if (command.kind == BackendCommandKind::StopReceiving && !leads && command.term > m_term) {
        if (server.stoppedAtTerm == 0)
            note(server.id + " stops at " + describe(positionOf(server.log)));
        server.stoppedAtTerm = std::max(server.stoppedAtTerm, command.term);
    } else if (command.kind == BackendCommandKind::ResumeReceiving) {
        if (server.stoppedAtTerm != 0)
            note(server.id + " resumes");
        server.stoppedAtTerm = 0;
    } else if (command.kind == BackendCommandKind::Demote && leads && command.term > m_term) {
        note(server.id + " is demoted at " + describe(positionOf(server.log)));
        m_leader.clear();
    }
    const LogPosition received = positionOf(server.log);
    std::ostringstream row;
    row << (m_leader == server.id) << ' ' << server.term << ' ' << received.term << ' ' << received.position << ' '
        << server.stoppedAtTerm;
    BackendReply reply = okReply(row.str(), received);
    reply.signature.clear(); // Callers' statements alone have one.
    return reply;
}

} // namespace plantainwall

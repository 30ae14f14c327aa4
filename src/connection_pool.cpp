#include "connection_pool.h"
#include "connection_reserve.h"
#include "log_event.h"
#include <algorithm>

namespace plantainwall {

namespace {

    /// Connections to one server that a host may open even if its share is smaller, so that a few customers can run
    /// statements at the same time.
    constexpr size_t minConnections = 4;

    /// Fraction of a server's limit that is divided among the hosts. The rest is reserved for the promotion
    /// coordinator, for hosts with a different view of the fleet, and for connections of dead hosts.
    constexpr double divisibleFraction = 0.85;

} // namespace

/// One request for a connection, waiting or served.
struct ConnectionPool::Borrower {
    std::string server;
    std::string customer;
    /// Null once the borrower has released its link or has been notified of its end.
    BackendObserver* observer = nullptr;
    std::optional<unsigned> priority; ///< Not known of hosts that do not send it.
    PhysicalConnection* connection = nullptr;
    Instant since;
};

/// Link that the borrower holds.
struct ConnectionPool::Link final : BackendLink {
    Link(ConnectionPool& pool, std::shared_ptr<Borrower> borrower)
        : pool(pool)
        , borrower(std::move(borrower))
    {
    }
    ~Link() override { pool.release(*borrower); }
    void send(const BackendCommand& command) override;

    ConnectionPool& pool;
    std::shared_ptr<Borrower> borrower;
};

struct ConnectionPool::PhysicalConnection final : BackendObserver {
    enum class Stage : uint8_t { Opening, Lent, Testing, Resetting, Idle, Count };

    PhysicalConnection(ConnectionPool& pool, ServerEntry entry, std::string customer)
        : pool(pool)
        , entry(std::move(entry))
        , customer(std::move(customer))
    {
    }

    void backendOpened() override { pool.physicalOpened(*this); }
    void backendReplied(BackendReply reply) override { pool.physicalReplied(*this, std::move(reply)); }
    void backendClosed(BackendCloseReason reason) override { pool.physicalClosed(*this, reason); }

    ConnectionPool& pool;
    ServerEntry entry;
    std::string customer;
    std::unique_ptr<BackendLink> link;
    Stage stage = Stage::Opening;
    std::shared_ptr<Borrower> borrower;
    size_t unanswered = 0;
    bool inDoubt = false; ///< Whether the last reply to the borrower had lookalikes.
    TransactionState state = TransactionState::Idle;
    Instant since; ///< Start of the stage.
    Instant lentAt;
    Instant askedAt; ///< When the oldest unanswered command of the borrower was sent.
};

void ConnectionPool::Link::send(const BackendCommand& command)
{
    if (borrower->connection == nullptr)
        return; // The connection has ended; the borrower has been or will be notified.
    PhysicalConnection& connection = *borrower->connection;
    if (connection.unanswered++ == 0)
        connection.askedAt = pool.m_clock();
    connection.link->send(command);
}

ConnectionPool::ConnectionPool(
    BackendConnector& connector, FindServer servers, Clock clock, Post post, const ConnectionPoolSettings& settings)
    : m_connector(connector)
    , m_findServer(std::move(servers))
    , m_clock(std::move(clock))
    , m_post(std::move(post))
    , m_settings(settings)
{
}

ConnectionPool::~ConnectionPool() = default;

void ConnectionPool::setLimit(const std::string& service, unsigned limit, size_t hosts)
{
    Limit& entry = m_limits[service];
    entry.connections = limit;
    entry.hosts = std::max<size_t>(1, hosts);
}

void ConnectionPool::setUrgentPriority(const std::string& service, std::optional<unsigned> priority)
{
    m_limits[service].urgentPriority = priority;
}

// Returns how many connections of each server's limit this host may use.
double ConnectionPool::connectionShare(const std::string& service) const
{
    const auto it = m_limits.find(service);
    return it == m_limits.end() ? 1
                                : it->second.connections * divisibleFraction / static_cast<double>(it->second.hosts);
}

// Load pattern: three hosts lend all connections of a server whose callers become twice as many for some seconds.
size_t ConnectionPool::waitingLimit(const std::string& service) const
{
    return std::max(m_settings.maxWaiting, static_cast<size_t>(connectionShare(service) / 2));
}

size_t ConnectionPool::cap(const std::string& service) const
{
    return std::max(minConnections, static_cast<size_t>(connectionShare(service)));
}

std::unique_ptr<BackendLink> ConnectionPool::open(
    const ServerEntry& entry, const std::string& customer, BackendObserver& observer)
{
    return openLoan(entry, customer, std::nullopt, observer);
}

std::unique_ptr<BackendLink> ConnectionPool::openWithPriority(
    const ServerEntry& entry, const std::string& customer, unsigned priority, BackendObserver& observer)
{
    return openLoan(entry, customer, priority, observer);
}

std::unique_ptr<BackendLink> ConnectionPool::openLoan(
    const ServerEntry& entry, const std::string& customer, std::optional<unsigned> priority, BackendObserver& observer)
{
    const std::shared_ptr<Borrower> borrower = std::make_shared<Borrower>();
    borrower->server = entry.id;
    borrower->customer = customer;
    borrower->observer = &observer;
    borrower->priority = priority;
    borrower->since = m_clock();
    Server& server = m_servers[entry.id];
    if (!tryProvide(server, borrower)) {
        if (server.waiting.size() >= waitingLimit(entry.service)) {
            const std::shared_ptr<Borrower> refused = displacedBy(server, *borrower);
            if (refused != nullptr)
                server.waiting.erase(std::find(server.waiting.begin(), server.waiting.end(), refused));
            fail(refused != nullptr ? refused : borrower, BackendCloseReason::ConnectionLimit);
            if (refused != nullptr)
                server.waiting.push_back(borrower);
        } else
            server.waiting.push_back(borrower);
    }
    return std::make_unique<Link>(*this, borrower);
}

// Load pattern: a burst of less urgent operations of many hosts has filled the list when an urgent one arrives.
// Returns the newest waiting borrower of the least urgent priority, or null if none is less urgent than the given one.
std::shared_ptr<ConnectionPool::Borrower> ConnectionPool::displacedBy(
    const Server& server, const Borrower& newcomer) const
{
    std::shared_ptr<Borrower> result;
    if (!newcomer.priority)
        return result;
    for (const std::shared_ptr<Borrower>& it : server.waiting) {
        const bool lessUrgent = it->priority && *it->priority > *newcomer.priority;
        if (lessUrgent && (result == nullptr || *it->priority >= *result->priority))
            result = it;
    }
    return result;
}

// Load pattern: operations of all priorities and of many hosts wait for the connections of one lender. Within a
// priority customers take turns, so that one customer's crowd delays the others by one operation. An unknown priority
// counts as the least urgent one that is waiting; without any known one, the order is that of arrival.
std::vector<std::shared_ptr<ConnectionPool::Borrower>> ConnectionPool::waitingInOrder(const Server& server) const
{
    std::vector<std::shared_ptr<Borrower>> result(server.waiting.begin(), server.waiting.end());
    std::optional<unsigned> least;
    for (const std::shared_ptr<Borrower>& it : result)
        least = std::max(least, it->priority);
    if (!least)
        return result;
    std::map<std::string, size_t> used; // By customer.
    for (const std::unique_ptr<PhysicalConnection>& it : server.connections)
        used[it->customer] += it->stage != PhysicalConnection::Stage::Idle ? 1 : 0;
    std::map<std::pair<unsigned, std::string>, size_t> turns;
    std::map<const Borrower*, std::pair<unsigned, size_t>> ranks;
    for (const std::shared_ptr<Borrower>& it : result) {
        const unsigned priority = it->priority.value_or(*least);
        const size_t turn = turns.try_emplace({ priority, it->customer }, used[it->customer]).first->second++;
        ranks[it.get()] = { priority, turn };
    }
    std::stable_sort(
        result.begin(), result.end(), [&](const auto& a, const auto& b) { return ranks[a.get()] < ranks[b.get()]; });
    return result;
}

bool ConnectionPool::mayUseConnection(const Server& server, const std::string& service, const Borrower& borrower) const
{
    const auto limit = m_limits.find(service);
    if (limit == m_limits.end() || !limit->second.urgentPriority)
        return true;
    ConnectionDemand demand;
    demand.limit = cap(service);
    demand.mostUrgent = borrower.priority && *borrower.priority <= *limit->second.urgentPriority;
    demand.customerHasNone = true;
    for (const std::unique_ptr<PhysicalConnection>& it : server.connections) {
        if (it->stage == PhysicalConnection::Stage::Idle)
            continue;
        ++demand.used;
        demand.customerHasNone = demand.customerHasNone && it->customer != borrower.customer;
    }
    return leavesReserve(demand);
}

// Lends an unused connection, or opens one if the limit allows it. Returns false if the borrower has to wait.
bool ConnectionPool::tryProvide(Server& server, const std::shared_ptr<Borrower>& borrower)
{
    PhysicalConnection* same = nullptr;
    PhysicalConnection* oldest = nullptr;
    size_t opening = 0;
    bool alreadyOpening = false; // For this customer.
    for (const std::unique_ptr<PhysicalConnection>& it : server.connections) {
        if (it->stage == PhysicalConnection::Stage::Opening) {
            ++opening;
            alreadyOpening = alreadyOpening || it->customer == borrower->customer;
        }
        if (it->stage != PhysicalConnection::Stage::Idle)
            continue;
        if (it->customer == borrower->customer && (same == nullptr || same->since < it->since))
            same = it.get();
        if (oldest == nullptr || it->since < oldest->since)
            oldest = it.get();
    }
    const ServerEntry* const entry = m_findServer(borrower->server);
    if (entry != nullptr && !mayUseConnection(server, entry->service, *borrower))
        return false;
    if (same != nullptr) {
        lend(*same, borrower);
        return true;
    }
    if (entry == nullptr) {
        fail(borrower, BackendCloseReason::Refused);
        return true;
    }
    if (alreadyOpening || opening >= m_settings.maxOpenings || returnsSooner(server, *borrower))
        return false;
    if (server.connections.size() >= cap(entry->service)) {
        if (oldest == nullptr)
            return false;
        discard(*oldest);
    }
    if (!server.allowance.mayOpen(m_clock()))
        return false;
    openFor(server, borrower);
    return true;
}

// Returns whether a connection that the customer uses is likely to be returned before a new one would be open.
bool ConnectionPool::returnsSooner(const Server& server, const Borrower& borrower)
{
    const auto inUse = std::count_if(server.connections.begin(), server.connections.end(), [&](const auto& it) {
        return it->customer == borrower.customer && it->stage != PhysicalConnection::Stage::Idle;
    });
    if (inUse == 0)
        return false;
    int64_t ahead = 0;
    for (const std::shared_ptr<Borrower>& other : server.waiting) {
        if (other.get() == &borrower)
            break;
        ahead += other->customer == borrower.customer && other->observer != nullptr ? 1 : 0;
    }
    // Assumes that the ends of loans are evenly spread over the loan time.
    return server.loanTime * (ahead + 1) / (inUse + 1) < server.openingTime;
}

void ConnectionPool::updateAverage(Duration& average, Duration sample) const
{
    const double gain = average == Duration(0) ? 1 : m_settings.averagingGain;
    average += std::chrono::duration_cast<Duration>((sample - average) * gain);
}

void ConnectionPool::openFor(Server& server, const std::shared_ptr<Borrower>& borrower)
{
    const ServerEntry* const entry = m_findServer(borrower->server);
    server.connections.push_back(std::make_unique<PhysicalConnection>(*this, *entry, borrower->customer));
    PhysicalConnection& connection = *server.connections.back();
    connection.borrower = borrower;
    connection.since = m_clock();
    borrower->connection = &connection;
    connection.link = m_connector.open(*entry, borrower->customer, connection);
}

void ConnectionPool::lend(PhysicalConnection& connection, const std::shared_ptr<Borrower>& borrower)
{
    const bool needsTest = m_clock() - connection.since > m_settings.validateAfter;
    connection.borrower = borrower;
    connection.since = m_clock();
    connection.state = TransactionState::Idle;
    borrower->connection = &connection;
    if (!needsTest) {
        connection.stage = PhysicalConnection::Stage::Lent;
        connection.lentAt = connection.since;
        notifyOpened(borrower);
        return;
    }
    connection.stage = PhysicalConnection::Stage::Testing;
    BackendCommand reset;
    reset.kind = BackendCommandKind::Reset;
    connection.unanswered = 1;
    connection.link->send(reset);
}

void ConnectionPool::notifyOpened(const std::shared_ptr<Borrower>& borrower)
{
    m_post([borrower] {
        if (borrower->observer != nullptr && borrower->connection != nullptr)
            borrower->observer->backendOpened();
    });
}

void ConnectionPool::fail(const std::shared_ptr<Borrower>& borrower, BackendCloseReason reason)
{
    borrower->connection = nullptr;
    m_post([borrower, reason] {
        BackendObserver* const observer = borrower->observer;
        borrower->observer = nullptr;
        if (observer != nullptr)
            observer->backendClosed(reason);
    });
}

void ConnectionPool::release(Borrower& borrower)
{
    borrower.observer = nullptr;
    PhysicalConnection* const connection = borrower.connection;
    borrower.connection = nullptr;
    if (connection == nullptr)
        return; // serveWaiting() removes it from the queue.
    connection->borrower.reset();
    if (connection->stage == PhysicalConnection::Stage::Opening)
        return; // Will be lent to the next borrower.
    if (connection->stage == PhysicalConnection::Stage::Testing) {
        connection->stage = PhysicalConnection::Stage::Resetting;
        return;
    }
    // A borrower that could not prove its transaction would be lent the same connection again.
    if (connection->unanswered > 0 || connection->inDoubt) {
        const auto it = m_servers.find(borrower.server);
        discard(*connection);
        if (it != m_servers.end())
            serveWaiting(it->second);
        return;
    }
    resetForReuse(*connection);
}

void ConnectionPool::resetForReuse(PhysicalConnection& connection)
{
    connection.stage = PhysicalConnection::Stage::Resetting;
    connection.since = m_clock();
    BackendCommand command;
    if (connection.state != TransactionState::Idle) {
        command.kind = BackendCommandKind::Rollback;
        ++connection.unanswered;
        connection.link->send(command);
    }
    command.kind = BackendCommandKind::Reset;
    ++connection.unanswered;
    connection.link->send(command);
}

void ConnectionPool::becomeIdle(PhysicalConnection& connection)
{
    const bool returned = connection.stage == PhysicalConnection::Stage::Resetting;
    connection.stage = PhysicalConnection::Stage::Idle;
    connection.since = m_clock();
    const auto it = m_servers.find(connection.entry.id);
    if (it == m_servers.end())
        return;
    if (returned)
        updateAverage(it->second.loanTime, std::chrono::duration_cast<Duration>(connection.since - connection.lentAt));
    serveWaiting(it->second);
}

void ConnectionPool::discard(PhysicalConnection& connection)
{
    Server& server = m_servers[connection.entry.id];
    const auto it = std::find_if(server.connections.begin(), server.connections.end(),
        [&](const std::unique_ptr<PhysicalConnection>& other) { return other.get() == &connection; });
    if (it == server.connections.end())
        return;
    connection.link.reset();
    // Callers on the stack may still hold a reference.
    m_discarded.push_back(std::move(*it));
    server.connections.erase(it);
}

// A borrower that waits for its customer's own connection does not block the ones behind it.
void ConnectionPool::serveWaiting(Server& server)
{
    for (const std::shared_ptr<Borrower>& borrower : waitingInOrder(server)) {
        if (borrower->observer != nullptr && !tryProvide(server, borrower))
            continue;
        const auto it = std::find(server.waiting.begin(), server.waiting.end(), borrower);
        if (it != server.waiting.end())
            server.waiting.erase(it);
    }
}

void ConnectionPool::physicalOpened(PhysicalConnection& connection)
{
    Server& server = m_servers[connection.entry.id];
    server.allowance.noteOpened();
    const Instant now = m_clock();
    updateAverage(server.openingTime, std::chrono::duration_cast<Duration>(now - connection.since));
    connection.since = now;
    connection.lentAt = now;
    if (connection.borrower == nullptr) {
        becomeIdle(connection);
        return;
    }
    connection.stage = PhysicalConnection::Stage::Lent;
    connection.borrower->observer->backendOpened();
}

void ConnectionPool::physicalReplied(PhysicalConnection& connection, BackendReply reply)
{
    connection.unanswered -= std::min<size_t>(connection.unanswered, 1);
    connection.state = reply.state;
    if (connection.stage == PhysicalConnection::Stage::Lent) {
        if (connection.unanswered == 0) {
            const Instant now = m_clock();
            m_servers[connection.entry.id].load.noteResponse(
                std::chrono::duration_cast<Duration>(now - connection.askedAt), now);
        }
        connection.inDoubt = reply.lookalikes > 0;
        // The command's own reply may still come, after the connection has been lent again.
        if (reply.lookalikes > 0 && reply.error != BackendError::None)
            physicalClosed(connection, BackendCloseReason::ProtocolError);
        else if (connection.borrower != nullptr && connection.borrower->observer != nullptr)
            connection.borrower->observer->backendReplied(std::move(reply));
        return;
    }
    const bool good = reply.error == BackendError::None;
    if (good && connection.unanswered > 0)
        return;
    const std::shared_ptr<Borrower> borrower = connection.borrower;
    if (!good || connection.state != TransactionState::Idle) {
        physicalClosed(connection, BackendCloseReason::ProtocolError);
        return;
    }
    if (connection.stage == PhysicalConnection::Stage::Testing && borrower != nullptr) {
        connection.stage = PhysicalConnection::Stage::Lent;
        connection.lentAt = m_clock();
        if (borrower->observer != nullptr)
            borrower->observer->backendOpened();
        return;
    }
    becomeIdle(connection);
}

void ConnectionPool::physicalClosed(PhysicalConnection& connection, BackendCloseReason reason)
{
    Server& server = m_servers[connection.entry.id];
    const std::shared_ptr<Borrower> borrower = connection.borrower;
    const bool wasTesting = connection.stage == PhysicalConnection::Stage::Testing;
    connection.borrower.reset();
    if (reason == BackendCloseReason::ConnectionLimit)
        server.allowance.noteRefused(m_clock());
    discard(connection);
    if (borrower != nullptr) {
        borrower->connection = nullptr;
        // The borrower has not sent anything over a connection that failed its test, so another one can replace it.
        if (wasTesting && borrower->observer != nullptr && m_findServer(borrower->server) != nullptr)
            openFor(server, borrower);
        else if (borrower->observer != nullptr) {
            BackendObserver* const observer = borrower->observer;
            borrower->observer = nullptr;
            observer->backendClosed(reason);
        }
    }
    serveWaiting(server);
}

void ConnectionPool::checkOverdue(PhysicalConnection& connection)
{
    if (connection.stage != PhysicalConnection::Stage::Opening
        || m_clock() - connection.since > m_settings.openingTimeout) {
        physicalClosed(connection, BackendCloseReason::Lost);
        return;
    }
    if (connection.borrower == nullptr)
        return;
    fail(connection.borrower, BackendCloseReason::Lost);
    connection.borrower.reset();
}

void ConnectionPool::tick()
{
    m_discarded.clear();
    const Instant now = m_clock();
    for (auto& [id, server] : m_servers) {
        const ServerEntry* const entry = m_findServer(id);
        if (entry != nullptr)
            server.allowance.setPooled(std::min(m_settings.maxIdleTime,
                std::chrono::duration_cast<Duration>(
                    m_settings.maxIdleTimePerConnection * connectionShare(entry->service))));
        std::vector<PhysicalConnection*> expired;
        std::vector<PhysicalConnection*> overdue;
        for (const std::unique_ptr<PhysicalConnection>& it : server.connections) {
            const bool leaving = entry == nullptr || entry->draining;
            if (it->stage == PhysicalConnection::Stage::Idle
                && (leaving || now - it->since > server.allowance.idleLimit(now)))
                expired.push_back(it.get());
            else if (it->stage != PhysicalConnection::Stage::Idle && it->stage != PhysicalConnection::Stage::Lent
                && now - it->since > m_settings.answerTimeout)
                overdue.push_back(it.get());
        }
        for (PhysicalConnection* const connection : expired)
            discard(*connection);
        for (PhysicalConnection* const connection : overdue)
            checkOverdue(*connection);
        while (!server.waiting.empty()
            && (server.waiting.front()->observer == nullptr
                || now - server.waiting.front()->since > m_settings.maxWaitTime)) {
            const std::shared_ptr<Borrower> borrower = server.waiting.front();
            server.waiting.pop_front();
            fail(borrower, BackendCloseReason::ConnectionLimit);
        }
        serveWaiting(server);
        measureLoad(server);
    }
    for (auto it = m_servers.begin(); it != m_servers.end();) {
        const bool unused = it->second.connections.empty() && it->second.waiting.empty();
        it = unused && m_findServer(it->first) == nullptr ? m_servers.erase(it) : std::next(it);
    }
}

// Statements are short against the mean that is kept, so counting them in each tick is enough.
void ConnectionPool::measureLoad(Server& server)
{
    const auto running = std::count_if(server.connections.begin(), server.connections.end(),
        [](const auto& it) { return it->stage == PhysicalConnection::Stage::Opening || it->unanswered > 0; });
    server.load.setRunning(static_cast<size_t>(running), m_clock());
}

std::optional<ServerLoadSample> ConnectionPool::loadOf(const std::string& server) const
{
    const auto it = m_servers.find(server);
    if (it == m_servers.end())
        return std::nullopt;
    return it->second.load.sample(it->second.waiting.size(), m_clock());
}

std::vector<std::string> ConnectionPool::servers() const
{
    std::vector<std::string> ids;
    ids.reserve(m_servers.size());
    for (const auto& [id, server] : m_servers)
        ids.push_back(id);
    return ids;
}

size_t ConnectionPool::size() const
{
    size_t n = 0;
    for (const auto& [id, server] : m_servers)
        n += server.connections.size();
    return n;
}

} // namespace plantainwall

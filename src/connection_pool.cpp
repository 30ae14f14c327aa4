#include "connection_pool.h"
#include "log_event.h"
#include <algorithm>

namespace plantainwall {

namespace {

    /// Connections to one server that a host opens even if its share is smaller: statements of a few customers at a
    /// time.
    constexpr size_t minConnections = 4;

    /// Part of a server's limit that the hosts share out; the rest is for the holder of the promotion duty, for hosts
    /// with another view of the fleet, and for connections of dead hosts.
    constexpr double sharedPart = 0.85;

} // namespace

/// Who has borrowed a connection, or waits for one.
struct ConnectionPool::User {
    std::string server;
    std::string customer;
    BackendObserver* observer = nullptr; ///< Null once the borrower is gone.
    PhysicalConnection* connection = nullptr;
    Instant since;
};

/// What the borrower holds.
struct ConnectionPool::Link final : BackendLink {
    Link(ConnectionPool& pool, std::shared_ptr<User> user)
        : pool(pool)
        , user(std::move(user))
    {
    }
    ~Link() override { pool.released(*user); }
    void send(const BackendCommand& command) override;

    ConnectionPool& pool;
    std::shared_ptr<User> user;
};

struct ConnectionPool::PhysicalConnection final : BackendObserver {
    enum class Stage : uint8_t { Opening, Lent, Testing, Cleaning, Idle, Count };

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
    std::shared_ptr<User> user;
    size_t unanswered = 0;
    TransactionState state = TransactionState::Idle;
    Instant since; ///< Start of the stage.
    Instant lentAt;
};

void ConnectionPool::Link::send(const BackendCommand& command)
{
    if (user->connection == nullptr)
        return; // Has ended; the borrower was told, or will be.
    ++user->connection->unanswered;
    user->connection->link->send(command);
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
    m_limits[service] = { limit, std::max<size_t>(1, hosts) };
}

// Part of each server's limit that this host may use.
double ConnectionPool::shareOf(const std::string& service) const
{
    const auto it = m_limits.find(service);
    return it == m_limits.end() ? 1 : it->second.connections * sharedPart / static_cast<double>(it->second.hosts);
}

std::unique_ptr<BackendLink> ConnectionPool::open(
    const ServerEntry& entry, const std::string& customer, BackendObserver& observer)
{
    const std::shared_ptr<User> user = std::make_shared<User>();
    user->server = entry.id;
    user->customer = customer;
    user->observer = &observer;
    user->since = m_clock();
    Server& server = m_servers[entry.id];
    if (!provide(server, user)) {
        if (server.waiting.size() < m_settings.maxWaiting)
            server.waiting.push_back(user);
        else
            fail(user, BackendCloseReason::ConnectionLimit);
    }
    return std::make_unique<Link>(*this, user);
}

// Lends an unused connection, or opens one as far as the limit allows. Returns whether it did.
bool ConnectionPool::provide(Server& server, const std::shared_ptr<User>& user)
{
    PhysicalConnection* same = nullptr;
    PhysicalConnection* oldest = nullptr;
    size_t opening = 0;
    bool comes = false; // One for the customer is being opened.
    for (const std::unique_ptr<PhysicalConnection>& it : server.connections) {
        if (it->stage == PhysicalConnection::Stage::Opening) {
            ++opening;
            comes = comes || it->customer == user->customer;
        }
        if (it->stage != PhysicalConnection::Stage::Idle)
            continue;
        if (it->customer == user->customer && (same == nullptr || same->since < it->since))
            same = it.get();
        if (oldest == nullptr || it->since < oldest->since)
            oldest = it.get();
    }
    if (same != nullptr) {
        lend(*same, user);
        return true;
    }
    const ServerEntry* const entry = m_findServer(user->server);
    if (entry == nullptr) {
        fail(user, BackendCloseReason::Refused);
        return true;
    }
    if (comes || opening >= m_settings.maxOpening || returnsSooner(server, *user))
        return false;
    const size_t cap = std::max(minConnections, static_cast<size_t>(shareOf(entry->service)));
    if (server.connections.size() >= cap) {
        if (oldest == nullptr)
            return false;
        discard(*oldest);
    }
    if (!server.allowance.mayOpen(m_clock()))
        return false;
    openFor(server, user);
    return true;
}

// Returns whether a connection that the customer uses is likely to come back before a new one would be open.
bool ConnectionPool::returnsSooner(const Server& server, const User& user)
{
    const auto inUse = std::count_if(server.connections.begin(), server.connections.end(),
        [&](const auto& it) { return it->customer == user.customer && it->stage != PhysicalConnection::Stage::Idle; });
    if (inUse == 0)
        return false;
    int64_t ahead = 0;
    for (const std::shared_ptr<User>& other : server.waiting) {
        if (other.get() == &user)
            break;
        ahead += other->customer == user.customer && other->observer != nullptr ? 1 : 0;
    }
    // Loans end evenly over their time.
    return server.loanTime * (ahead + 1) / (inUse + 1) < server.openingTime;
}

void ConnectionPool::measure(Duration& average, Duration sample) const
{
    const double gain = average == Duration(0) ? 1 : m_settings.timeGain;
    average += std::chrono::duration_cast<Duration>((sample - average) * gain);
}

void ConnectionPool::openFor(Server& server, const std::shared_ptr<User>& user)
{
    const ServerEntry* const entry = m_findServer(user->server);
    server.connections.push_back(std::make_unique<PhysicalConnection>(*this, *entry, user->customer));
    PhysicalConnection& connection = *server.connections.back();
    connection.user = user;
    connection.since = m_clock();
    user->connection = &connection;
    connection.link = m_connector.open(*entry, user->customer, connection);
}

void ConnectionPool::lend(PhysicalConnection& connection, const std::shared_ptr<User>& user)
{
    const bool untested = m_clock() - connection.since > m_settings.validateAfter;
    connection.user = user;
    connection.since = m_clock();
    connection.state = TransactionState::Idle;
    user->connection = &connection;
    if (!untested) {
        connection.stage = PhysicalConnection::Stage::Lent;
        connection.lentAt = connection.since;
        notifyOpened(user);
        return;
    }
    connection.stage = PhysicalConnection::Stage::Testing;
    BackendCommand reset;
    reset.kind = BackendCommandKind::Reset;
    connection.unanswered = 1;
    connection.link->send(reset);
}

void ConnectionPool::notifyOpened(const std::shared_ptr<User>& user)
{
    m_post([user] {
        if (user->observer != nullptr && user->connection != nullptr)
            user->observer->backendOpened();
    });
}

void ConnectionPool::fail(const std::shared_ptr<User>& user, BackendCloseReason reason)
{
    user->connection = nullptr;
    m_post([user, reason] {
        BackendObserver* const observer = user->observer;
        user->observer = nullptr;
        if (observer != nullptr)
            observer->backendClosed(reason);
    });
}

void ConnectionPool::released(User& user)
{
    user.observer = nullptr;
    PhysicalConnection* const connection = user.connection;
    user.connection = nullptr;
    if (connection == nullptr)
        return; // Waits no more; see serveWaiting.
    connection->user.reset();
    if (connection->stage == PhysicalConnection::Stage::Opening)
        return; // Is lent to the next one.
    if (connection->stage == PhysicalConnection::Stage::Testing) {
        connection->stage = PhysicalConnection::Stage::Cleaning;
        return;
    }
    if (connection->unanswered > 0) {
        const auto it = m_servers.find(user.server);
        discard(*connection);
        if (it != m_servers.end())
            serveWaiting(it->second);
        return;
    }
    resetForReuse(*connection);
}

void ConnectionPool::resetForReuse(PhysicalConnection& connection)
{
    connection.stage = PhysicalConnection::Stage::Cleaning;
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
    const bool returned = connection.stage == PhysicalConnection::Stage::Cleaning;
    connection.stage = PhysicalConnection::Stage::Idle;
    connection.since = m_clock();
    const auto it = m_servers.find(connection.entry.id);
    if (it == m_servers.end())
        return;
    if (returned)
        measure(it->second.loanTime, std::chrono::duration_cast<Duration>(connection.since - connection.lentAt));
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
    // Callers up the stack may still hold a reference.
    m_discarded.push_back(std::move(*it));
    server.connections.erase(it);
}

// A customer that waits for its own connection holds up no other.
void ConnectionPool::serveWaiting(Server& server)
{
    for (auto it = server.waiting.begin(); it != server.waiting.end();) {
        const std::shared_ptr<User> user = *it;
        it = user->observer == nullptr || provide(server, user) ? server.waiting.erase(it) : std::next(it);
    }
}

void ConnectionPool::physicalOpened(PhysicalConnection& connection)
{
    Server& server = m_servers[connection.entry.id];
    server.allowance.noteOpened();
    const Instant now = m_clock();
    measure(server.openingTime, std::chrono::duration_cast<Duration>(now - connection.since));
    connection.since = now;
    connection.lentAt = now;
    if (connection.user == nullptr) {
        becomeIdle(connection);
        return;
    }
    connection.stage = PhysicalConnection::Stage::Lent;
    connection.user->observer->backendOpened();
}

void ConnectionPool::physicalReplied(PhysicalConnection& connection, BackendReply reply)
{
    connection.unanswered -= std::min<size_t>(connection.unanswered, 1);
    connection.state = reply.state;
    if (connection.stage == PhysicalConnection::Stage::Lent) {
        if (connection.user != nullptr && connection.user->observer != nullptr)
            connection.user->observer->backendReplied(std::move(reply));
        return;
    }
    const bool good = reply.error == BackendError::None;
    if (good && connection.unanswered > 0)
        return;
    const std::shared_ptr<User> user = connection.user;
    if (!good || connection.state != TransactionState::Idle) {
        physicalClosed(connection, BackendCloseReason::ProtocolError);
        return;
    }
    if (connection.stage == PhysicalConnection::Stage::Testing && user != nullptr) {
        connection.stage = PhysicalConnection::Stage::Lent;
        connection.lentAt = m_clock();
        if (user->observer != nullptr)
            user->observer->backendOpened();
        return;
    }
    becomeIdle(connection);
}

void ConnectionPool::physicalClosed(PhysicalConnection& connection, BackendCloseReason reason)
{
    Server& server = m_servers[connection.entry.id];
    const std::shared_ptr<User> user = connection.user;
    const bool untried = connection.stage == PhysicalConnection::Stage::Testing;
    connection.user.reset();
    if (reason == BackendCloseReason::ConnectionLimit)
        server.allowance.noteRefused(m_clock());
    discard(connection);
    if (user != nullptr) {
        user->connection = nullptr;
        // The borrower has sent nothing over a connection that failed its test.
        if (untried && user->observer != nullptr && m_findServer(user->server) != nullptr)
            openFor(server, user);
        else if (user->observer != nullptr) {
            BackendObserver* const observer = user->observer;
            user->observer = nullptr;
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
    if (connection.user == nullptr)
        return;
    fail(connection.user, BackendCloseReason::Lost);
    connection.user.reset();
}

void ConnectionPool::tick()
{
    m_discarded.clear();
    const Instant now = m_clock();
    for (auto& [id, server] : m_servers) {
        const ServerEntry* const entry = m_findServer(id);
        if (entry != nullptr)
            server.allowance.setPooled(std::min(m_settings.keepIdle,
                std::chrono::duration_cast<Duration>(m_settings.keepIdlePerConnection * shareOf(entry->service))));
        std::vector<PhysicalConnection*> ended;
        std::vector<PhysicalConnection*> overdue;
        for (const std::unique_ptr<PhysicalConnection>& it : server.connections) {
            const bool leaving = entry == nullptr || entry->draining;
            if (it->stage == PhysicalConnection::Stage::Idle
                && (leaving || now - it->since > server.allowance.idleLimit(now)))
                ended.push_back(it.get());
            else if (it->stage != PhysicalConnection::Stage::Idle && it->stage != PhysicalConnection::Stage::Lent
                && now - it->since > m_settings.answerTimeout)
                overdue.push_back(it.get());
        }
        for (PhysicalConnection* const connection : ended)
            discard(*connection);
        for (PhysicalConnection* const connection : overdue)
            checkOverdue(*connection);
        while (!server.waiting.empty()
            && (server.waiting.front()->observer == nullptr
                || now - server.waiting.front()->since > m_settings.maxWait)) {
            const std::shared_ptr<User> user = server.waiting.front();
            server.waiting.pop_front();
            fail(user, BackendCloseReason::ConnectionLimit);
        }
        serveWaiting(server);
    }
    for (auto it = m_servers.begin(); it != m_servers.end();) {
        const bool unused = it->second.connections.empty() && it->second.waiting.empty();
        it = unused && m_findServer(it->first) == nullptr ? m_servers.erase(it) : std::next(it);
    }
}

size_t ConnectionPool::size() const
{
    size_t n = 0;
    for (const auto& [id, server] : m_servers)
        n += server.connections.size();
    return n;
}

} // namespace plantainwall

#include "deployment.h"
#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace plantainwall::review {

namespace {

    using boost::asio::ip::tcp;
    using web::json::value;

    constexpr size_t recordedBytes = 120;
    constexpr Milliseconds heartbeatInterval(1200);
    constexpr Milliseconds readyLimit(20000);
    constexpr const char* complete = "COMPLETE -\r\n";

    uint64_t unixMilliseconds()
    {
        const auto time = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<uint64_t>(std::chrono::duration_cast<Milliseconds>(time).count());
    }

    std::string loopback(uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

    std::string nextWord(std::string_view& rest)
    {
        const size_t end = rest.find(' ');
        std::string word(rest.substr(0, end));
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
        return word;
    }

    std::string configuration(const Databases::Settings& databases, const std::vector<Deployment::Tenant>& tenants)
    {
        struct RouteDraft {
            const char* host;
            const char* kind;
            int timeoutMs;
            int targetMs;
            int priority;
            int stalenessMs;
        };
        // The routes of a small deployment.
        constexpr RouteDraft drafts[] = { { "order-post", "primary", 1000, 1000, 1, 0 },
            { "braid-lookup", "bounded_staleness", 3000, 1500, 2, 1500 },
            { "shed-tally", "read_your_writes", 1000, 2000, 2, 2500 } };
        std::vector<value> routes;
        for (const RouteDraft& draft : drafts) {
            value route = value::object();
            route["name"] = value::string(std::string("r-") + draft.host);
            route["host"] = value::string(draft.host);
            route["prefix"] = value::string("/");
            route["kind"] = value::string(draft.kind);
            route["timeout_ms"] = value::number(draft.timeoutMs);
            route["target_latency_ms"] = value::number(draft.targetMs);
            route["priority"] = value::number(draft.priority);
            route["service"] = value::string(databases.service);
            route["max_attempts"] = value::number(2);
            if (draft.stalenessMs != 0)
                route["max_staleness_ms"] = value::number(draft.stalenessMs);
            route["public"] = value::boolean(false);
            routes.push_back(route);
        }
        value service = value::object();
        service["name"] = value::string(databases.service);
        service["health_path"] = value::string("/health");
        service["max_conns"] = value::number(databases.maxConnections);
        service["sync_replicas"] = value::number(1);
        value limits = value::object();
        limits["tx_idle_ms"] = value::number(3000);
        std::vector<value> list;
        for (const Deployment::Tenant& tenant : tenants) {
            value entry = value::object();
            entry["name"] = value::string(tenant.name);
            entry["api_keys"] = value::array({ value::string("key-" + tenant.name) });
            entry["rate_per_s"] = value::number(tenant.ratePerSecond);
            entry["burst"] = value::number(tenant.burst);
            list.push_back(entry);
        }
        value document = value::object();
        document["version"] = value::number(1);
        document["routes"] = value::array(routes);
        document["services"] = value::array({ service });
        document["limits"] = limits;
        document["tenants"] = value::array(list);
        return document.serialize();
    }

} // namespace

bool withTrouble()
{
    const char* const text = std::getenv("TROUBLE");
    return text == nullptr || std::string(text) != "0";
}

Record::Record(const std::string& path)
    : m_file(path)
{
    if (!m_file)
        throw std::runtime_error("record.txt cannot be written");
}

void Record::note(const std::string& event) { m_file << now().count() << " ms: " << event << std::endl; }

std::string shortened(std::string_view text)
{
    if (text.size() <= recordedBytes)
        return std::string(text);
    return std::string(text.substr(0, recordedBytes)) + "... (" + std::to_string(text.size()) + " bytes)";
}

uint16_t freePort()
{
    // Ports that were given out stay taken, so that no two parts get the same one.
    static std::list<tcp::socket> taken;
    static boost::asio::io_context loop;
    taken.emplace_back(loop, tcp::v4());
    taken.back().set_option(boost::asio::socket_base::reuse_address(true));
    taken.back().bind({ boost::asio::ip::address_v4::loopback(), 0 });
    return taken.back().local_endpoint().port();
}

// Lines.

Lines::Lines(tcp::socket socket)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_buffer(64 * 1024, '\0')
{
}

void Lines::start(Handlers handlers)
{
    m_handlers = std::move(handlers);
    m_open = true;
    boost::system::error_code ec;
    m_socket.set_option(tcp::no_delay(true), ec);
    read();
}

void Lines::read()
{
    m_socket.async_read_some(boost::asio::buffer(m_buffer.data(), m_buffer.size()),
        [self = shared_from_this()](const boost::system::error_code& ec, size_t n) {
            if (!self->m_open)
                return;
            if (ec) {
                self->fail();
                return;
            }
            self->m_bytesRead += n;
            self->m_in.append(self->m_buffer.data(), n);
            self->deliver();
            if (!self->m_open)
                return;
            if (self->m_bytesPerSecond != 0)
                self->readLater(n);
            else
                self->read();
        });
}

void Lines::readLater(size_t bytes)
{
    const std::chrono::microseconds passage(bytes * 1000000 / m_bytesPerSecond);
    m_readUntil = std::max(m_readUntil, Clock::now()) + passage;
    m_timer.expires_at(m_readUntil);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
        if (!ec && self->m_open)
            self->read();
    });
}

void Lines::deliver()
{
    size_t start = 0;
    while (m_open) {
        const size_t end = m_in.find("\r\n", std::max(start, m_searched));
        if (end == std::string::npos) {
            m_searched = m_in.empty() ? 0 : m_in.size() - 1;
            break;
        }
        const std::string line = m_in.substr(start, end - start);
        start = end + 2;
        m_searched = start;
        const std::function<void(std::string_view)> handler = m_handlers.line;
        if (handler)
            handler(line);
    }
    m_in.erase(0, std::min(start, m_in.size()));
    m_searched -= std::min(m_searched, start);
}

void Lines::send(std::string_view text)
{
    if (!m_open)
        return;
    m_out.emplace_back(text);
    if (!m_writing)
        write();
}

void Lines::write()
{
    m_writing = true;
    boost::asio::async_write(m_socket, boost::asio::buffer(m_out.front()),
        [self = shared_from_this()](const boost::system::error_code& ec, size_t) {
            self->m_writing = false;
            if (!self->m_open)
                return;
            self->m_out.pop_front();
            if (ec)
                self->fail();
            else if (!self->m_out.empty())
                self->write();
        });
}

void Lines::close()
{
    m_open = false;
    m_handlers = {};
    m_timer.cancel();
    boost::system::error_code ec;
    m_socket.close(ec);
}

void Lines::fail()
{
    const std::function<void()> closed = std::move(m_handlers.closed);
    close();
    if (closed)
        closed();
}

// Databases.

struct Databases::Session {
    size_t index = 0;
    std::shared_ptr<Lines> lines;
    Clock::time_point opened = Clock::now();
    std::string tenant;
    std::deque<std::string> waiting;
    bool busy = false;
    bool open = false;
    bool failed = false;
    bool writable = false;
    uint64_t term = 0;
    std::vector<std::string> writes;
    std::map<std::string, std::string> values;
    std::map<std::string, std::string> prepared; ///< Mode of the shape, by name.
};

Databases::Databases(boost::asio::io_context& loop, Record& record, test::KvStore& store, const Settings& settings)
    : m_loop(loop)
    , m_record(record)
    , m_store(store)
    , m_settings(settings)
    , m_servers(settings.count)
    , m_heartbeat(loop)
{
    constexpr const char* zones[] = { "huon-mill", "huon-sheds", "tamar-store" };
    for (size_t i = 0; i < m_servers.size(); ++i) {
        Server& server = m_servers[i];
        server.id = "i-" + std::to_string(i);
        server.zone = zones[i % std::size(zones)];
        server.port = freePort();
        server.running = true;
        server.bornUnixMs = unixMilliseconds();
        server.acceptor = std::make_unique<tcp::acceptor>(
            m_loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), server.port));
        accept(i);
    }
    registerServers();
}

Databases::~Databases() { *m_alive = false; }

void Databases::after(Milliseconds delay, std::function<void()> task)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, delay);
    timer->async_wait([timer, alive = m_alive, task = std::move(task)](const boost::system::error_code& ec) {
        if (!ec && *alive)
            task();
    });
}

void Databases::registerServers()
{
    for (Server& server : m_servers) {
        if (!server.running || !server.reachesStore)
            continue;
        value entry = value::object();
        entry["service"] = value::string(m_settings.service);
        entry["address"] = value::string(loopback(server.port));
        entry["zone"] = value::string(server.zone);
        entry["version"] = value::string("v1");
        entry["slots"] = value::number(m_settings.slots);
        entry["state"] = value::string("ready");
        entry["warmup_left_ms"] = value::number(0);
        entry["db_role"] = value::string(m_primary && &m_servers[*m_primary] == &server ? "primary" : "replica");
        entry["born"] = value::number(server.bornUnixMs);
        entry["seq_no"] = value::number(++server.sequence);
        m_store.put("servers/" + server.id, entry.serialize());
    }
    m_heartbeat.expires_after(heartbeatInterval);
    m_heartbeat.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
            registerServers();
    });
}

void Databases::accept(size_t index)
{
    Server& server = m_servers[index];
    server.acceptor->async_accept([this, index](const boost::system::error_code& ec, tcp::socket socket) {
        if (ec || !m_servers[index].running)
            return;
        const std::shared_ptr<Session> session = std::make_shared<Session>();
        session->index = index;
        session->lines = std::make_shared<Lines>(std::move(socket));
        m_servers[index].connections.remove_if([](const std::weak_ptr<Lines>& it) { return it.expired(); });
        m_servers[index].connections.push_back(session->lines);
        session->lines->start({ [this, session](std::string_view line) { take(session, line); }, [] {} });
        accept(index);
    });
}

void Databases::take(const std::shared_ptr<Session>& session, std::string_view line)
{
    session->waiting.emplace_back(line);
    if (!session->busy)
        next(session);
}

void Databases::next(const std::shared_ptr<Session>& session)
{
    while (!session->busy && !session->waiting.empty() && session->lines->open()) {
        const std::string line = std::move(session->waiting.front());
        session->waiting.pop_front();
        execute(session, line);
    }
}

std::string Databases::position(size_t index) const
{
    return std::to_string(m_servers[index].term) + "." + std::to_string(m_servers[index].log.size());
}

std::string Databases::status(size_t index) const
{
    const Server& server = m_servers[index];
    return std::string("DATAROW ") + (leads(index) ? "primary " : "replica ") + std::to_string(server.term) + " "
        + position(index) + " " + std::to_string(server.pausedAtTerm) + " 0 0 "
        + std::to_string(server.connections.size()) + "\r\nCOMPLETE -\r\n";
}

void Databases::answer(const std::shared_ptr<Session>& session, const std::string& result)
{
    const char* const state = !session->open ? "I" : session->failed ? "E" : "T";
    session->lines->send(result + "READY " + state + " " + position(session->index) + "\r\n");
}

void Databases::open(const std::shared_ptr<Session>& session, std::string_view rest)
{
    const Server& server = m_servers[session->index];
    const std::string service = nextWord(rest);
    nextWord(rest);
    const std::string expected = nextWord(rest);
    if (service == m_settings.service && (expected.empty() || expected == server.id)) {
        answer(session, "");
        return;
    }
    session->lines->send("ERROR MISROUTED " + server.id + "\r\n");
    session->lines->close();
}

void Databases::fail(const std::shared_ptr<Session>& session, const std::string& code)
{
    session->failed = session->failed || session->open;
    answer(session, "ERROR " + code + " " + m_servers[session->index].id + "\r\n");
}

void Databases::begin(const std::shared_ptr<Session>& session, std::string_view mode)
{
    session->writable = mode != "READ";
    if (session->writable && !leads(session->index)) {
        fail(session, "READONLY");
        return;
    }
    session->open = true;
    session->term = m_term;
    answer(session, complete);
}

bool Databases::control(size_t index, const std::string& verb, std::string_view rest)
{
    Server& server = m_servers[index];
    const uint64_t term = verb == "PAUSE" || verb == "DEMOTE" ? std::stoull(std::string(rest)) : 0;
    if (verb == "PAUSE" && !leads(index) && term > m_term)
        server.pausedAtTerm = std::max(server.pausedAtTerm, term);
    if (verb == "RESUME") {
        server.pausedAtTerm = 0;
        replicate(index);
    }
    if (verb == "DEMOTE" && leads(index) && term > m_term) {
        m_record.note(server.id + " is demoted");
        m_primary.reset();
        endPending(false, SIZE_MAX);
        registerServers();
    }
    return verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "DEMOTE";
}

bool Databases::runAtOnce(const std::shared_ptr<Session>& session, const std::string& verb, std::string_view rest)
{
    if (verb == "ROLLBACK") {
        session->open = false;
        session->failed = false;
        session->writes.clear();
    } else if (verb == "SET") {
        const std::string name = nextWord(rest);
        session->values[name] = std::string(rest);
    } else if (verb == "PREPARE") {
        // The shape itself is not kept, so that its memory counts at the entry host alone.
        const std::string name = nextWord(rest);
        session->prepared[name] = nextWord(rest);
    } else if (verb == "DEALLOC") {
        session->prepared.erase(std::string(rest));
    } else if (verb == "RESET") {
        session->values.clear();
        session->prepared.clear();
    } else {
        return false;
    }
    answer(session, complete);
    return true;
}

void Databases::execute(const std::shared_ptr<Session>& session, const std::string& line)
{
    const Server& server = m_servers[session->index];
    std::string_view rest = line;
    const std::string word = nextWord(rest);
    if (word == "STARTUP") {
        std::string_view fields = rest;
        nextWord(fields);
        session->tenant = nextWord(fields);
    }
    if (cutOff && cutOff(session->index, session->tenant)) {
        m_record.note("lost on the way to " + server.id + ": " + shortened(line));
        return;
    }
    if (word == "STARTUP") {
        open(session, rest);
        return;
    }
    if (word != "QUERY") {
        session->lines->close();
        return;
    }
    const std::string id = nextWord(rest);
    std::string verb = nextWord(rest);
    bool lagging = false;
    if (verb == "AFTERLSN") {
        const std::string needed = nextWord(rest);
        const size_t dot = needed.find('.');
        lagging = std::stoull(needed.substr(0, dot)) > server.term
            || std::stoull(needed.substr(dot + 1)) > server.log.size();
        verb = nextWord(rest);
    }
    const bool lost = session->open && session->writable && (!leads(session->index) || session->term != m_term);
    if (session->failed && verb != "ROLLBACK")
        fail(session, "MALFORMED");
    else if (lagging)
        fail(session, "LAGGING");
    else if (verb == "BEGIN")
        begin(session, rest);
    else if (control(session->index, verb, rest)) {
        if (statusAsked && verb == "STATUS")
            statusAsked(session->index, session->opened);
        answer(session, status(session->index));
    } else if (!runAtOnce(session, verb, rest) && lost)
        fail(session, "READONLY");
    else if (verb == "READ" || verb == "WRITE" || verb == "EXECUTE" || verb == "COMMIT") {
        session->busy = true;
        after(m_settings.work, [this, session, id, verb, text = std::string(rest)] {
            if (m_servers[session->index].running && session->lines->open())
                runStatement(session, id, verb, text);
        });
    }
}

void Databases::runStatement(
    const std::shared_ptr<Session>& session, const std::string& id, const std::string& verb, const std::string& text)
{
    ++m_statements;
    Server& server = m_servers[session->index];
    const auto finish = [this, session](const std::string& result) {
        answer(session, result);
        session->busy = false;
        next(session);
    };
    const auto signature = [this, &server] { return server.id + "." + std::to_string(++m_signatures); };
    std::string_view rest = text;
    std::string mode = verb;
    if (verb == "EXECUTE") {
        const auto it = session->prepared.find(nextWord(rest));
        if (it == session->prepared.end()) {
            session->failed = session->failed || session->open;
            finish("ERROR NOSTMT " + server.id + "\r\n");
            return;
        }
        mode = it->second;
    }
    const std::string item = nextWord(rest);
    m_runs.emplace(id, server.id);
    if (mode == "READ") {
        std::string result;
        for (const std::string& row : rows ? rows(item) : std::vector<std::string> { "value-of-" + item })
            result += "DATAROW " + row + "\r\n";
        finish(result + "COMPLETE " + signature() + "\r\n");
        return;
    }
    const bool writes = mode == "WRITE" || !session->writes.empty();
    if (writes && !leads(session->index)) {
        session->failed = session->failed || session->open;
        finish("ERROR READONLY " + server.id + "\r\n");
        return;
    }
    if (mode == "WRITE" && session->open) {
        session->writes.push_back(id);
        finish("COMPLETE " + signature() + "\r\n");
        return;
    }
    session->open = false;
    session->writes.clear();
    if (!writes) {
        finish("COMPLETE " + signature() + "\r\n");
        return;
    }
    commit(id, [this, session, finish, signature](bool kept) {
        if (kept)
            finish("COMPLETE " + signature() + "\r\n");
        else
            session->lines->close();
    });
}

void Databases::commit(const std::string& id, std::function<void(bool kept)> done)
{
    Server& primary = m_servers[*m_primary];
    primary.log.push_back({ id, m_term });
    m_pending.push_back({ primary.log.size(), id, std::move(done) });
    for (size_t i = 0; i < m_servers.size(); ++i)
        replicate(i);
}

// A replica receives what the primary had sent when the message left, and the primary hears of it a passage later.
void Databases::replicate(size_t index)
{
    if (!m_primary || leads(index) || !m_servers[*m_primary].running)
        return;
    const Milliseconds passage = std::max(m_settings.receive, m_servers[index].receiveDelay);
    after(passage, [this, index, passage, term = m_term, n = m_servers[*m_primary].log.size()] {
        Server& replica = m_servers[index];
        const auto current = [this, term] { return m_primary && m_term == term && m_servers[*m_primary].running; };
        if (!current() || !replica.running || !replica.receives || replica.pausedAtTerm != 0)
            return;
        const std::vector<Commit>& sent = m_servers[*m_primary].log;
        if (replica.log.size() < n)
            replica.log.assign(sent.begin(), sent.begin() + static_cast<std::ptrdiff_t>(n));
        replica.term = term;
        after(passage, [this, current, n] {
            if (current())
                endPending(true, n);
        });
    });
}

void Databases::endPending(bool kept, size_t upTo)
{
    std::list<Pending> due;
    for (auto it = m_pending.begin(); it != m_pending.end();) {
        const auto following = std::next(it);
        if (it->position <= upTo)
            due.splice(due.end(), m_pending, it);
        it = following;
    }
    for (const Pending& it : due) {
        if (kept)
            m_acknowledged.push_back(it.id);
        it.done(kept);
    }
}

void Databases::crash(size_t index)
{
    Server& server = m_servers[index];
    m_record.note("crash of " + server.id + " with " + std::to_string(server.log.size()) + " commits");
    server.running = false;
    server.acceptor.reset();
    for (const std::weak_ptr<Lines>& it : server.connections) {
        if (const std::shared_ptr<Lines> lines = it.lock())
            lines->close();
    }
    server.connections.clear();
    if (leads(index))
        endPending(false, SIZE_MAX);
    after(heartbeatInterval * 3, [this, index] {
        if (m_servers[index].running && m_servers[index].reachesStore)
            return;
        m_record.note("the store drops the entry of " + m_servers[index].id);
        m_store.erase("servers/" + m_servers[index].id);
    });
}

void Databases::restart(size_t index)
{
    Server& server = m_servers[index];
    m_record.note("start of " + server.id + " with its log of " + std::to_string(server.log.size()) + " commits"
        + (server.reachesStore ? "" : "; it does not reach the store"));
    server.running = true;
    server.pausedAtTerm = 0;
    server.bornUnixMs = unixMilliseconds();
    server.sequence = 0;
    server.acceptor
        = std::make_unique<tcp::acceptor>(m_loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), server.port));
    accept(index);
    replicate(index);
    registerServers();
}

unsigned Databases::promote(const test::KvStore::Order& order)
{
    const auto it
        = std::find_if(m_servers.begin(), m_servers.end(), [&](const Server& server) { return server.id == order.id; });
    const bool refused = it == m_servers.end() || !it->running || order.fencingToken < m_fence;
    m_record.note("POST /promote of " + order.id + " by " + order.holder + " with token "
        + std::to_string(order.fencingToken) + (refused ? ": 409" : ": 200"));
    if (refused)
        return 409;
    m_fence = order.fencingToken;
    const auto index = static_cast<size_t>(it - m_servers.begin());
    if (!leads(index))
        after(m_settings.promotion, [this, index] { takeEffect(index); });
    return 200;
}

void Databases::takeEffect(size_t index)
{
    if (!m_servers[index].running || leads(index))
        return;
    endPending(false, SIZE_MAX);
    const std::vector<Commit>& kept = m_servers[index].log;
    for (const std::string& id : m_acknowledged) {
        const bool held = std::any_of(kept.begin(), kept.end(), [&](const Commit& it) { return it.id == id; });
        if (!held) {
            m_record.note("LOST: " + m_servers[index].id + " leads without the acknowledged commit " + id);
            m_lost.push_back(id);
        }
    }
    m_primary = index;
    ++m_term;
    m_record.note(m_servers[index].id + " leads term " + std::to_string(m_term) + " with " + std::to_string(kept.size())
        + " commits; acknowledged were " + std::to_string(m_acknowledged.size()));
    m_servers[index].term = m_term;
    for (size_t i = 0; i < m_servers.size(); ++i) {
        Server& server = m_servers[i];
        server.pausedAtTerm = 0; // A pause lasts until a promote.
        server.log.resize(std::min(server.log.size(), kept.size()));
        replicate(i);
    }
    registerServers();
}

// PromotionPort.

struct PromotionPort::Connection {
    explicit Connection(tcp::socket socket)
        : stream(std::move(socket))
    {
    }

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    boost::beast::http::request<boost::beast::http::string_body> request;
    boost::beast::http::response<boost::beast::http::string_body> response;
};

PromotionPort::PromotionPort(boost::asio::io_context& loop, uint16_t port, Handler handler)
    : m_loop(loop)
    , m_acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), port))
    , m_handler(std::move(handler))
{
    accept();
}

void PromotionPort::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code& ec, tcp::socket socket) {
        if (ec)
            return;
        read(std::make_shared<Connection>(std::move(socket)));
        accept();
    });
}

void PromotionPort::read(const std::shared_ptr<Connection>& connection)
{
    connection->request = {};
    boost::beast::http::async_read(connection->stream, connection->buffer, connection->request,
        [this, connection](const boost::system::error_code& ec, size_t) {
            if (!ec)
                handle(connection);
        });
}

void PromotionPort::handle(const std::shared_ptr<Connection>& connection)
{
    const value body = value::parse(connection->request.body());
    test::KvStore::Order order;
    order.service = body.at("service").as_string();
    order.id = body.at("id").as_string();
    order.holder = std::string(connection->request["Plantainwall-Lease-Holder"]);
    order.fencingToken = std::stoull(std::string(connection->request["Plantainwall-Fencing-Token"]));
    const std::optional<unsigned> status = m_handler(order);
    if (!status) {
        read(connection); // Nothing more comes; the caller closes the connection.
        return;
    }
    connection->response = {};
    connection->response.version(11);
    connection->response.result(*status);
    connection->response.set(boost::beast::http::field::content_type, "application/json");
    connection->response.body() = "{}";
    connection->response.prepare_payload();
    boost::beast::http::async_write(
        connection->stream, connection->response, [this, connection](const boost::system::error_code& ec, size_t) {
            if (!ec)
                read(connection);
        });
}

// PeerRoute.

PeerRoute::PeerRoute(boost::asio::io_context& loop, uint16_t port, uint16_t target, Cut cut)
    : m_loop(loop)
    , m_socket(loop, { boost::asio::ip::address_v4::loopback(), port })
    , m_target(target)
    , m_cut(std::move(cut))
    , m_buffer(64 * 1024)
{
    receive();
}

void PeerRoute::receive()
{
    m_socket.async_receive_from(
        boost::asio::buffer(m_buffer), m_sender, [this](const boost::system::error_code& ec, size_t n) {
            if (ec == boost::asio::error::operation_aborted)
                return;
            if (!ec)
                pass(m_sender.port(), n);
            receive();
        });
}

void PeerRoute::pass(uint16_t sender, size_t size)
{
    boost::system::error_code ec;
    if (!m_cut(sender))
        m_socket.send_to(
            boost::asio::buffer(m_buffer.data(), size), { boost::asio::ip::address_v4::loopback(), m_target }, 0, ec);
}

// Host.

Host::Host(Record& record, const std::string& folder, const Place& place)
    : m_record(record)
    , m_place(place)
    , m_settingsFile(folder + "/" + place.name + ".toml")
    , m_outputFile(folder + "/" + place.name + ".log")
{
    // What platform/settings.template gives for a machine of a small deployment.
    std::ofstream(m_settingsFile)
        << "[gateway]\nhost = \"" << place.name << "\"\ndata_centre = \"" << place.zone << "\"\nregion = \""
        << (place.zone == "tamar-store" ? "tamar" : "huon") << "\"\ncaller_listen = \"" << loopback(m_callers)
        << "\"\nstatus_listen = \"" << loopback(m_status) << "\"\npeer_listen = \"" << loopback(m_peers)
        << "\"\nstore = \"" << loopback(place.storePort) << "\"\npromotions = \"" << loopback(place.promotionPort)
        << (place.advertisedPeerPort == 0 ? std::string()
                                          : "\"\npeer_advertise = \"" + loopback(place.advertisedPeerPort))
        << "\"\nfirst_start = true\nfenced_primaries = true\nstore_min_lease = \"1000ms\"\n"
           "drain_limit = \"7000ms\"\nshutdown_grace = \"6s\"\nmax_descriptors = 4300\n"
           "memory = \""
        << place.memoryMb
        << "MiB\"\ncapacity = 0.25\neven_load = true\nurgency = true\n"
           "prefer_near_servers = true\nlocal_distribution = true\n\n[regions]\n"
           "\"huon-mill\" = \"huon\"\n\"huon-sheds\" = \"huon\"\n\"tamar-store\" = \"tamar\"\n";
}

Host::~Host()
{
    if (running()) {
        ::kill(m_pid, SIGKILL);
        int status = 0;
        waitpid(m_pid, &status, 0);
    }
}

void Host::start()
{
    m_exitStatus.reset();
    const pid_t parent = getpid();
    m_pid = fork();
    if (m_pid < 0)
        throw std::runtime_error("a process cannot be started");
    if (m_pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != parent)
            _exit(127);
        const int output = ::open(m_outputFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        close_range(STDERR_FILENO + 1, ~0U, 0);
        execl("target/plantainwall", "target/plantainwall", "gateway", "--config", m_settingsFile.c_str(),
            static_cast<char*>(nullptr));
        _exit(127);
    }
    m_record.note("start of " + m_place.name + ": target/plantainwall gateway --config FILE");
}

void Host::signal(int number)
{
    if (!running())
        return;
    m_record.note("signal " + std::to_string(number) + " to " + m_place.name);
    ::kill(m_pid, number);
}

bool Host::running()
{
    if (m_pid < 0)
        return false;
    int status = 0;
    if (waitpid(m_pid, &status, WNOHANG) != m_pid)
        return true;
    m_pid = -1;
    m_exitStatus = WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status);
    m_record.note("end of " + m_place.name + " with status " + std::to_string(*m_exitStatus));
    return false;
}

size_t Host::residentBytes() const
{
    std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
    size_t all = 0;
    size_t resident = 0;
    file >> all >> resident;
    return resident * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

std::string Host::output() const
{
    std::ostringstream text;
    text << std::ifstream(m_outputFile).rdbuf();
    return text.str();
}

// Caller.

Caller::Caller(boost::asio::io_context& loop, Record& record, std::string name)
    : m_loop(loop)
    , m_record(record)
    , m_name(std::move(name))
{
}

Caller::~Caller()
{
    *m_alive = false;
    if (m_lines)
        m_lines->close();
}

void Caller::open(uint16_t port, const std::string& database, const std::string& key, std::function<void(bool)> done)
{
    m_ready = false;
    m_opened = std::move(done);
    const auto socket = std::make_shared<tcp::socket>(m_loop);
    boost::system::error_code ec;
    socket->open(tcp::v4(), ec);
    if (bytesPerSecond != 0)
        socket->set_option(boost::asio::socket_base::receive_buffer_size(64 * 1024), ec);
    socket->async_connect({ boost::asio::ip::address_v4::loopback(), port },
        [this, alive = m_alive, socket, database, key](const boost::system::error_code& error) {
            if (!*alive)
                return;
            if (error) {
                const std::function<void(bool)> opened = std::exchange(m_opened, nullptr);
                if (opened)
                    opened(false);
                return;
            }
            m_lines = std::make_shared<Lines>(std::move(*socket));
            if (bytesPerSecond != 0)
                m_lines->limitBandwidth(bytesPerSecond);
            m_lines->start({ [this](std::string_view line) { takeLine(line); },
                [this] {
                    m_ready = false;
                    m_answer.closed = true;
                    if (!quiet)
                        m_record.note(m_name + ": the connection has ended"
                            + (m_done ? " before the answer to " + m_id + " was complete" : ""));
                    const std::function<void(bool)> opened = std::exchange(m_opened, nullptr);
                    if (opened)
                        opened(false);
                    finish();
                } });
            m_lines->send("STARTUP " + database + " " + key + "\r\n");
        });
}

void Caller::query(const std::string& id, const std::string& text, Done done)
{
    m_id = id;
    m_done = std::move(done);
    m_answer = {};
    if (!quiet)
        m_record.note(m_name + " sends QUERY " + id + " " + shortened(text));
    if (!ready()) {
        m_answer.closed = true;
        finish();
        return;
    }
    m_lines->send("QUERY " + id + " " + text + "\r\n");
}

void Caller::takeLine(std::string_view line)
{
    std::string_view rest = line;
    const std::string word = nextWord(rest);
    if (m_opened) {
        m_ready = word == "READY";
        if (!quiet)
            m_record.note(m_name + ": " + shortened(line));
        const std::function<void(bool)> opened = std::exchange(m_opened, nullptr);
        opened(m_ready);
        return;
    }
    if (word == "DATAROW")
        m_answer.rows.emplace_back(rest);
    else if (word == "COMPLETE")
        m_answer.signature = std::string(rest);
    else if (word == "ERROR") {
        m_answer.error = nextWord(rest);
        if (!quiet)
            m_record.note(m_name + ": " + shortened(line));
    } else if (word == "READY") {
        m_answer.state = nextWord(rest);
        finish();
    }
}

void Caller::finish()
{
    if (!m_done)
        return;
    size_t bytes = 0;
    for (const std::string& row : m_answer.rows)
        bytes += row.size();
    if (!quiet && !m_answer.closed)
        m_record.note(m_name + ": answer to " + m_id + ": "
            + (m_answer.ok() ? "COMPLETE " + m_answer.signature : m_answer.error) + ", "
            + std::to_string(m_answer.rows.size()) + " rows of " + std::to_string(bytes) + " bytes, state "
            + m_answer.state);
    const Done done = std::exchange(m_done, nullptr);
    done(std::exchange(m_answer, {}));
}

void Caller::close()
{
    if (m_lines)
        m_lines->close();
    m_ready = false;
}

// Deployment.

Deployment::Deployment(const std::string& recordFile, const Settings& settings)
    : record(recordFile)
    , m_settings(settings)
{
    std::string pattern = "/tmp/plantainwall-review-XXXXXX";
    if (mkdtemp(pattern.data()) == nullptr)
        throw std::runtime_error("no temporary folder");
    m_work = pattern;
    record.note(withTrouble() ? "with the disruption" : "TROUBLE=0: without the disruption");
    store = std::make_unique<test::KvStore>(
        loop, m_storePort, [this](const test::KvStore::Order& order) { return databases->promote(order); });
    store->put("op/config", configuration(settings.databases, settings.tenants));
    m_promotions = std::make_unique<PromotionPort>(loop, m_promotionPort, [this](const test::KvStore::Order& order) {
        return promoted ? promoted(order) : std::optional<unsigned>(databases->promote(order));
    });
    databases = std::make_unique<Databases>(loop, record, *store, settings.databases);
    for (size_t i = 0; i < settings.hostZones.size(); ++i) {
        Host::Place place;
        place.name = "frontend-" + settings.hostZones[i] + "-" + std::to_string(i + 1);
        place.zone = settings.hostZones[i];
        place.memoryMb = settings.memoryMb;
        place.storePort = m_storePort;
        place.promotionPort = m_promotionPort;
        if (settings.peerRoutes)
            place.advertisedPeerPort = freePort();
        hosts.push_back(std::make_unique<Host>(record, m_work, place));
        const Host& host = *hosts.back();
        if (settings.peerRoutes)
            m_peerRoutes.emplace_back(loop, place.advertisedPeerPort, host.peerPort(),
                [this, &host](uint16_t sender) { return isCutOff(host, sender); });
    }
}

Deployment::~Deployment()
{
    hosts.clear(); // Nothing may run on the loop any more.
    std::error_code ec;
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(m_work, ec);
    else
        std::cerr << "logs: " << m_work << std::endl;
}

bool Deployment::isCutOff(const Host& receiver, uint16_t sender) const
{
    return cutOffHost != nullptr && (&receiver == cutOffHost || sender == cutOffHost->peerPort());
}

void Deployment::pass(Milliseconds time)
{
    loop.restart();
    loop.run_for(time);
}

bool Deployment::passUntil(Milliseconds limit, const std::function<bool()>& condition)
{
    const Clock::time_point end = Clock::now() + limit;
    while (Clock::now() < end && !condition())
        pass(Milliseconds(20));
    return condition();
}

void Deployment::after(Milliseconds delay, std::function<void()> task)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(loop, delay);
    timer->async_wait([timer, task = std::move(task)](const boost::system::error_code& ec) {
        if (!ec)
            task();
    });
}

bool Deployment::hostsReady()
{
    namespace http = boost::beast::http;
    for (const std::unique_ptr<Host>& host : hosts) {
        boost::beast::tcp_stream stream(loop);
        boost::system::error_code ec;
        stream.socket().connect({ boost::asio::ip::address_v4::loopback(), host->statusPort() }, ec);
        if (ec)
            return false;
        http::request<http::empty_body> request { http::verb::get, "/readiness", 11 };
        request.set(http::field::host, "127.0.0.1");
        http::write(stream, request, ec);
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> response;
        if (!ec)
            http::read(stream, buffer, response, ec);
        if (ec || response.result() != http::status::ok)
            return false;
    }
    return true;
}

bool Deployment::start()
{
    for (const std::unique_ptr<Host>& host : hosts)
        host->start();
    const Clock::time_point end = Clock::now() + readyLimit;
    while (Clock::now() < end) {
        pass(Milliseconds(200));
        if (hostsReady()) {
            record.note("all entry hosts are ready");
            return true;
        }
    }
    record.note("the entry hosts did not become ready");
    return false;
}

int runCase(const std::function<Verdict()>& body)
{
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return static_cast<int>(body());
    } catch (const std::exception& error) {
        std::cerr << "the case could not run: " << error.what() << std::endl;
        return static_cast<int>(Verdict::CouldNotRun);
    }
}

} // namespace plantainwall::review

#include "support_kv_store.h"
#include <algorithm>
#include <cpprest/asyncrt_utils.h>
#include <cpprest/base_uri.h>

namespace plantainwall::test {

namespace {

    namespace http = boost::beast::http;
    using boost::asio::ip::tcp;
    using web::json::value;

    constexpr size_t maxCopies = 6;

    std::string toBase64(const std::string& text)
    {
        return utility::conversions::to_base64(std::vector<unsigned char>(text.begin(), text.end()));
    }

    std::string fromBase64(const std::string& text)
    {
        const std::vector<unsigned char> bytes = utility::conversions::from_base64(text);
        return { bytes.begin(), bytes.end() };
    }

    uint64_t number(const value& object, const char* name)
    {
        return object.has_field(name) ? object.at(name).as_number().to_uint64() : 0;
    }

    uint64_t number(const std::map<std::string, std::string>& query, const char* name)
    {
        const auto it = query.find(name);
        return it == query.end() || it->second.empty() ? 0 : std::stoull(it->second);
    }

    std::string text(const std::map<std::string, std::string>& query, const char* name)
    {
        const auto it = query.find(name);
        return it == query.end() ? std::string() : it->second;
    }

    uint64_t lastSegment(const std::string& path) { return std::stoull(path.substr(path.rfind('/') + 1)); }

} // namespace

class KvStore::Connection : public std::enable_shared_from_this<KvStore::Connection> {
public:
    Connection(KvStore& store, tcp::socket socket)
        : m_store(store)
        , m_stream(std::move(socket))
    {
    }

    void read()
    {
        m_request = {};
        http::async_read(
            m_stream, m_buffer, m_request, [self = shared_from_this()](const boost::system::error_code& ec, size_t) {
                if (!ec)
                    self->handle();
            });
    }

    void close() { m_stream.close(); }

private:
    void handle()
    {
        Request request;
        try {
            const web::uri uri(utility::conversions::to_string_t(std::string(m_request.target())));
            request.method = std::string(m_request.method_string());
            request.path = uri.path();
            for (const auto& [name, encoded] : web::uri::split_query(uri.query()))
                request.query[name] = web::uri::decode(encoded);
            request.body = m_request.body().empty() ? value::object() : value::parse(m_request.body());
            const auto fence = m_request.find("Plantainwall-Fencing-Token");
            request.holder = std::string(m_request["Plantainwall-Lease-Holder"]);
            request.fencingToken = fence == m_request.end() ? 0 : std::stoull(std::string(fence->value()));
            m_store.handle(request, [self = shared_from_this()](const Answer& answer) { self->respond(answer); });
        } catch (const std::exception&) {
            respond({ 400, value::object() });
        }
    }

    void respond(const Answer& answer)
    {
        m_response = {};
        m_response.version(11);
        m_response.result(answer.status);
        m_response.set(http::field::content_type, "application/json");
        m_response.set("Store-Era", std::to_string(m_store.m_era));
        m_response.body() = answer.body.serialize();
        m_response.prepare_payload();
        http::async_write(
            m_stream, m_response, [self = shared_from_this()](const boost::system::error_code& ec, size_t) {
                if (!ec)
                    self->read();
            });
    }

    KvStore& m_store;
    boost::beast::tcp_stream m_stream;
    boost::beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    http::response<http::string_body> m_response;
};

KvStore::KvStore(boost::asio::io_context& loop, uint16_t port, Promote promote)
    : m_loop(loop)
    , m_port(port)
    , m_promote(std::move(promote))
{
    listen();
}

void KvStore::listen()
{
    m_acceptor.emplace(m_loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), m_port));
    accept();
}

void KvStore::accept()
{
    m_acceptor->async_accept([this](const boost::system::error_code& ec, tcp::socket socket) {
        if (ec)
            return;
        const auto connection = std::make_shared<Connection>(*this, std::move(socket));
        m_connections.remove_if([](const std::weak_ptr<Connection>& it) { return it.expired(); });
        m_connections.push_back(connection);
        connection->read();
        accept();
    });
}

void KvStore::takeCopy()
{
    if (m_absence)
        return;
    m_copies.push_back({ m_items, m_history, m_leases, m_revision, m_nextLease });
    // A timer that the copy kept would end a lease that is renewed later.
    for (auto& [id, lease] : m_copies.back().leases)
        lease.timer.reset();
    if (m_copies.size() > maxCopies)
        m_copies.pop_front();
}

void KvStore::goAway(Absence absence)
{
    m_absence = absence;
    for (const Watch& watch : m_watches) {
        watch.timer->cancel();
        m_unanswered.push_back(watch.respond);
    }
    m_watches.clear();
    if (absence == Absence::Silent)
        return;
    m_acceptor.reset();
    for (const std::weak_ptr<Connection>& it : m_connections) {
        if (const std::shared_ptr<Connection> connection = it.lock())
            connection->close();
    }
    m_unanswered.clear();
}

void KvStore::restore(size_t age)
{
    const Copy copy = m_copies.at(m_copies.size() - 1 - std::min(age, m_copies.size() - 1));
    m_copies = { copy };
    for (const auto& [id, lease] : m_leases)
        lease.timer->cancel();
    m_items = copy.items;
    m_history = copy.history;
    m_leases = copy.leases;
    m_revision = copy.revision;
    m_nextLease = copy.nextLease;
    ++m_era;
    m_absence.reset();
    m_unanswered.clear();
    for (const auto& [id, lease] : m_leases)
        arm(id);
    if (!m_acceptor)
        listen();
}

value KvStore::encode(const std::string& key, const Item& item)
{
    value result = value::object();
    result["key"] = value::string(key);
    result["value"] = value::string(toBase64(item.value));
    result["revision"] = value::number(item.revision);
    result["created"] = value::number(item.created);
    result["lease_id"] = value::number(item.lease);
    return result;
}

void KvStore::put(const std::string& key, const std::string& text, uint64_t lease)
{
    if (m_absence)
        return;
    Item& item = m_items[key];
    item.value = text;
    item.revision = ++m_revision;
    item.created = item.created == 0 ? m_revision : item.created;
    item.lease = lease;
    m_history.push_back({ key, m_revision, item });
    changed();
}

void KvStore::erase(const std::string& key)
{
    if (m_absence || m_items.erase(key) == 0)
        return;
    m_history.push_back({ key, ++m_revision, std::nullopt });
    changed();
}

KvStore::Answer KvStore::eventsAfter(uint64_t revision, const std::string& prefix) const
{
    std::vector<value> events;
    for (const Event& event : m_history) {
        if (event.revision <= revision || event.key.rfind(prefix, 0) != 0)
            continue;
        if (event.item) {
            events.push_back(encode(event.key, *event.item));
            continue;
        }
        value gone = value::object();
        gone["key"] = value::string(event.key);
        gone["revision"] = value::number(event.revision);
        gone["tombstone"] = value::boolean(true);
        events.push_back(gone);
    }
    Answer answer;
    answer.body["events"] = value::array(events);
    answer.body["as_of"] = value::number(m_revision);
    return answer;
}

void KvStore::changed()
{
    // Waiting calls are answered after the change is complete.
    boost::asio::post(m_loop, [this] {
        for (auto it = m_watches.begin(); it != m_watches.end();) {
            const Answer answer = eventsAfter(it->after, it->prefix);
            if (answer.body.at("events").size() == 0) {
                ++it;
                continue;
            }
            it->timer->cancel();
            it->respond(answer);
            it = m_watches.erase(it);
        }
    });
}

void KvStore::range(const Request& request, const Respond& respond) const
{
    std::vector<value> items;
    for (const auto& [key, item] : m_items) {
        if (key.rfind(text(request.query, "prefix"), 0) == 0 && key > text(request.query, "after"))
            items.push_back(encode(key, item));
    }
    Answer answer;
    answer.body["items"] = value::array(items);
    answer.body["more_pages"] = value::boolean(false);
    answer.body["as_of"] = value::number(m_revision);
    respond(answer);
}

void KvStore::watch(const Request& request, Respond respond)
{
    Watch entry;
    entry.after = number(request.query, "after");
    entry.prefix = text(request.query, "prefix");
    if (entry.after > m_revision) {
        respond({ 410, value::object() });
        return;
    }
    const Answer now = eventsAfter(entry.after, entry.prefix);
    if (now.body.at("events").size() > 0) {
        respond(now);
        return;
    }
    entry.respond = std::move(respond);
    entry.timer = std::make_shared<boost::asio::steady_timer>(
        m_loop, std::chrono::milliseconds(number(request.query, "wait_ms")));
    m_watches.push_back(entry);
    entry.timer->async_wait([this, timer = entry.timer](const boost::system::error_code& ec) {
        const auto it = std::find_if(
            m_watches.begin(), m_watches.end(), [&](const Watch& watch) { return watch.timer == timer; });
        if (ec || it == m_watches.end())
            return;
        const Watch ended = *it;
        m_watches.erase(it);
        ended.respond(eventsAfter(ended.after, ended.prefix));
    });
}

KvStore::Answer KvStore::transact(const value& body)
{
    Answer answer;
    std::vector<value> states;
    bool holds = true;
    for (const value& expected : body.at("expected_rev").as_array()) {
        const std::string key = expected.at("key").as_string();
        const auto it = m_items.find(key);
        holds = holds && (it == m_items.end() ? 0 : it->second.revision) == number(expected, "revision");
        if (it != m_items.end())
            states.push_back(encode(key, it->second));
    }
    if (!holds) {
        answer.status = 412;
        answer.body["items"] = value::array(states);
        return answer;
    }
    for (const value& entry : body.at("puts").as_array()) {
        const uint64_t lease = number(entry, "lease_id");
        if (lease != 0 && m_leases.count(lease) == 0) {
            answer.status = 404;
            return answer;
        }
    }
    for (const value& entry : body.at("puts").as_array())
        put(entry.at("key").as_string(), fromBase64(entry.at("value").as_string()), number(entry, "lease_id"));
    for (const value& key : body.at("deletes").as_array())
        erase(key.as_string());
    answer.body["revision"] = value::number(m_revision);
    return answer;
}

void KvStore::arm(uint64_t lease)
{
    Lease& entry = m_leases.at(lease);
    entry.timer = std::make_shared<boost::asio::steady_timer>(m_loop, entry.lifetime);
    entry.timer->async_wait([this, lease, era = m_era](const boost::system::error_code& ec) {
        if (!ec && era == m_era)
            endLease(lease);
    });
}

void KvStore::endLease(uint64_t lease)
{
    m_leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto& [key, item] : m_items) {
        if (item.lease == lease)
            keys.push_back(key);
    }
    for (const std::string& key : keys)
        erase(key);
}

KvStore::Answer KvStore::grant(const value& body)
{
    const uint64_t lease = m_nextLease++;
    m_leases[lease].lifetime = std::chrono::milliseconds(number(body, "ttl_ms"));
    arm(lease);
    Answer answer;
    answer.body["lease_id"] = value::number(lease);
    answer.body["ttl_ms"] = body.at("ttl_ms");
    return answer;
}

void KvStore::handle(const Request& request, Respond respond)
{
    if (m_absence) {
        m_unanswered.push_back(std::move(respond));
        return;
    }
    const auto under = [&](const char* prefix) { return request.path.rfind(prefix, 0) == 0; };
    if (request.path == "/kv-range")
        range(request, respond);
    else if (request.path == "/kv-watch")
        watch(request, std::move(respond));
    else if (request.path == "/kv-txn")
        respond(transact(request.body));
    else if (request.path == "/kv-lease")
        respond(grant(request.body));
    else if (under("/kv-keep/")) {
        const uint64_t lease = lastSegment(request.path);
        const bool known = m_leases.count(lease) != 0;
        if (known)
            arm(lease);
        respond({ known ? 200U : 404U, value::object() });
    } else if (under("/kv-lease-end/")) {
        endLease(lastSegment(request.path));
        respond({});
    } else if (request.path == "/promote")
        respond({ m_promote({ request.body.at("service").as_string(), request.body.at("id").as_string(), request.holder,
                      request.fencingToken }),
            value::object() });
    else
        respond({ 404, value::object() });
}

} // namespace plantainwall::test

#include "status_server.h"
#include "endpoint.h"
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace plantainwall {

namespace {

    namespace beast = boost::beast;
    namespace http = boost::beast::http;
    using boost::asio::ip::tcp;

    /// Closes a connection on which no request is received and answered within this time.
    constexpr std::chrono::seconds idleTimeout(30);

    /// Pause after a failed accept.
    constexpr std::chrono::milliseconds acceptPause(100);

    /// Open connections; a further one closes the oldest.
    constexpr size_t maxConnections = 32;

    constexpr int listenBacklog = 64; // Clients are probes and one metrics scraper.

} // namespace

class StatusServer::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(tcp::socket socket, const std::function<bool()>& ready, const std::function<std::string()>& metrics)
        : m_stream(std::move(socket))
        , m_ready(ready)
        , m_metrics(metrics)
    {
    }

    void read()
    {
        m_request = {};
        m_stream.expires_after(idleTimeout);
        http::async_read(
            m_stream, m_buffer, m_request, [self = shared_from_this()](const boost::system::error_code& ec, size_t) {
                if (!ec)
                    self->respond();
            });
    }

    void close() { m_stream.close(); }

private:
    void respond()
    {
        const bool metrics = m_request.target() == "/metrics";
        const bool ok = metrics || m_ready();
        m_response = {};
        m_response.result(ok ? http::status::ok : http::status::service_unavailable);
        m_response.version(11);
        m_response.keep_alive(m_request.keep_alive());
        m_response.set(http::field::content_type, metrics ? "text/plain; version=0.0.4" : "application/json");
        m_response.body() = metrics ? m_metrics() : ok ? "{\"ready\":true}" : "{\"ready\":false}";
        m_response.prepare_payload();
        http::async_write(
            m_stream, m_response, [self = shared_from_this()](const boost::system::error_code& ec, size_t) {
                if (!ec && self->m_response.keep_alive())
                    self->read();
            });
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    http::request<http::empty_body> m_request;
    http::response<http::string_body> m_response;
    const std::function<bool()>& m_ready;
    const std::function<std::string()>& m_metrics;
};

StatusServer::StatusServer(boost::asio::io_context& loop, const std::string& address, std::function<bool()> ready,
    std::function<std::string()> metrics)
    : m_loop(loop)
    , m_acceptor(loop)
    , m_ready(std::move(ready))
    , m_metrics(std::move(metrics))
{
    listenAt(m_acceptor, address, listenBacklog);
    accept();
}

void StatusServer::stop()
{
    boost::system::error_code ec;
    m_acceptor.close(ec);
}

void StatusServer::makeRoom()
{
    m_connections.remove_if([](const std::weak_ptr<Connection>& it) { return it.expired(); });
    while (m_connections.size() >= maxConnections) {
        const std::shared_ptr<Connection> oldest = m_connections.front().lock();
        m_connections.pop_front();
        if (oldest != nullptr)
            oldest->close();
    }
}

void StatusServer::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code& ec, tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted)
            return;
        if (!ec) {
            makeRoom();
            const std::shared_ptr<Connection> connection
                = std::make_shared<Connection>(std::move(socket), m_ready, m_metrics);
            m_connections.push_back(connection);
            connection->read();
            accept();
            return;
        }
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, acceptPause);
        timer->async_wait([this, timer](const boost::system::error_code&) { accept(); });
    });
}

} // namespace plantainwall

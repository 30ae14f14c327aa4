#include "http_server.h"
#include "caller_memory.h"
#include "http_server_connection.h"
#include <array>
#include <atomic>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/strand.hpp>
#include <condition_variable>
#include <cpprest/containerstream.h>
#include <cpprest/details/http_server.h>
#include <cpprest/details/http_server_api.h>
#include <map>
#include <mutex>
#include <optional>
#include <shared_mutex>
#include <thread>
#include <unordered_map>

namespace plantainwall {

using boost::asio::ip::tcp;
using boost::system::error_code;
using Listener = web::http::experimental::listener::details::http_listener_impl;

namespace {

    /// Pause after a failed accept, for example when no file descriptors are available.
    constexpr Duration acceptPause = std::chrono::milliseconds(50);

    /// Number of connections accepted beyond the limit, so that they receive a refusal.
    constexpr size_t maxRefusedOpen = 256;

    /// Returns the memory of the machine according to the settings, in bytes.
    size_t memoryOf(const HttpSettings& settings)
    {
        return settings.memoryBytes != 0
            ? settings.memoryBytes
            : std::max(machineMemory(), RequestMemory::machineBodies * settings.maxBodyBytes);
    }

    struct Registration {
        Listener* listener = nullptr;
        std::shared_mutex inUse; ///< Locked shared to call a handler, exclusively to unregister.
    };

    /// A bound address and the listeners registered for its paths.
    struct Port {
        explicit Port(boost::asio::io_context& context)
            : acceptor(boost::asio::make_strand(context))
            , pause(acceptor.get_executor())
        {
        }
        tcp::acceptor acceptor;
        boost::asio::steady_timer pause;
        std::map<std::string, std::shared_ptr<Registration>> paths;
    };

    using PortPtr = std::shared_ptr<Port>;

    std::string endpointOf(const web::uri& uri) { return uri.host() + ":" + std::to_string(uri.port()); }

    std::string pathOf(const web::uri& uri)
    {
        std::string path = uri.path();
        while (!path.empty() && path.back() == '/')
            path.pop_back();
        return path;
    }

    /// Connections, listeners and threads of the server. Shared by the cpprestsdk adapter, the control and connections.
    class HttpServerCore final : public HttpConnectionOwner,
                                 public HttpServerControl,
                                 public std::enable_shared_from_this<HttpServerCore> {
    public:
        HttpServerCore(const HttpSettings& settings, unsigned threads)
            : m_settings(settings)
            , m_memory(memoryOf(settings) / 2)
            , m_threadCount(std::max(1U, threads))
        {
        }

        void startThreads()
        {
            m_context.restart();
            m_work.emplace(m_context.get_executor());
            for (unsigned i = 0; i < m_threadCount; ++i)
                m_threads.emplace_back([this] { runThread(); });
        }

        void stopThreads()
        {
            closeAcceptors();
            for (const HttpConnectionPtr& connection : connections())
                connection->closeNow();
            m_work.reset();
            for (std::thread& thread : m_threads) {
                if (thread.get_id() == std::this_thread::get_id())
                    thread.detach();
                else
                    thread.join();
            }
            m_threads.clear();
        }

        void registerListener(Listener* listener)
        {
            const std::string endpoint = endpointOf(listener->uri());
            std::unique_lock<std::shared_mutex> lock(m_portsMutex);
            PortPtr& port = m_ports[endpoint];
            if (!port) {
                try {
                    port = bindPort(listener->uri());
                } catch (...) {
                    m_ports.erase(endpoint);
                    throw;
                }
                boost::asio::post(port->acceptor.get_executor(),
                    [self = shared_from_this(), port, endpoint] { self->accept(port, endpoint); });
            }
            std::shared_ptr<Registration>& registration = port->paths[pathOf(listener->uri())];
            if (registration)
                throw std::invalid_argument("a listener for " + listener->uri().to_string() + " is already open");
            registration = std::make_shared<Registration>();
            registration->listener = listener;
        }

        void unregisterListener(Listener* listener)
        {
            std::shared_ptr<Registration> registration;
            {
                std::unique_lock<std::shared_mutex> lock(m_portsMutex);
                const std::map<std::string, PortPtr>::iterator port = m_ports.find(endpointOf(listener->uri()));
                if (port == m_ports.end())
                    return;
                const std::map<std::string, std::shared_ptr<Registration>>::iterator it
                    = port->second->paths.find(pathOf(listener->uri()));
                if (it == port->second->paths.end() || it->second->listener != listener)
                    return;
                registration = it->second;
                port->second->paths.erase(it);
                if (port->second->paths.empty()) {
                    closePort(port->second);
                    m_ports.erase(port);
                }
            }
            std::unique_lock<std::shared_mutex> lock(registration->inUse);
            registration->listener = nullptr;
        }

        // HttpServerControl

        HttpServerStats stats() const override
        {
            HttpServerStats stats;
            stats.accepted = m_accepted;
            stats.requests = m_requests;
            stats.inProgress = m_inProgress;
            stats.callerDisconnects = m_callerDisconnects;
            stats.requestBytes = m_memory.held();
            stats.endedForMemory = m_memory.ended();
            for (size_t i = 0; i < m_refused.size(); ++i)
                stats.refusedByCode[i] = m_refused[i];
            std::lock_guard<std::mutex> lock(m_connectionsMutex);
            stats.open = m_connections.size();
            return stats;
        }

        void beginDrain() override
        {
            m_draining = true;
            closeAcceptors();
            for (const HttpConnectionPtr& connection : connections())
                connection->beginDrain();
        }

        bool waitDrained(Duration timeout) override
        {
            std::unique_lock<std::mutex> lock(m_connectionsMutex);
            return m_closed.wait_for(lock, timeout, [this] { return m_connections.empty(); });
        }

        // HttpConnectionOwner

        const HttpSettings& settings() const override { return m_settings; }
        RequestMemory& memory() override { return m_memory; }
        bool draining() const override { return m_draining; }
        void countRefusal(ResultCode code) override { ++m_refused[static_cast<size_t>(code)]; }
        void countCallerDisconnect() override { ++m_callerDisconnects; }
        void requestEnded() override { --m_inProgress; }
        void requestStarted() override
        {
            ++m_requests;
            ++m_inProgress;
        }

        void connectionClosed(HttpConnection& connection) override
        {
            std::lock_guard<std::mutex> lock(m_connectionsMutex);
            const std::unordered_map<std::string, size_t>::iterator it = m_byAddress.find(connection.address());
            if (m_connections.erase(&connection) > 0 && it != m_byAddress.end() && --it->second == 0)
                m_byAddress.erase(it);
            m_closed.notify_all();
        }

        void dispatch(const web::http::http_request& request, const std::string& endpoint) override
        {
            std::string listenerPath;
            const std::shared_ptr<Registration> registration
                = findListener(endpoint, request.request_uri().path(), listenerPath);
            if (registration) {
                std::shared_lock<std::shared_mutex> inUse(registration->inUse);
                if (registration->listener != nullptr) {
                    request._get_impl()->_set_listener_path(listenerPath.empty() ? "/" : listenerPath);
                    handle(*registration->listener, request);
                    return;
                }
            }
            refuse(request, ResultCode::UnknownRoute, "no route " + request.request_uri().path());
        }

    private:
        /// Runs the event loop. An exception ends only the handler that threw it; the timer then closes its connection.
        void runThread()
        {
            while (true) {
                try {
                    m_context.run();
                    return;
                } catch (const std::exception&) {
                    ++m_refused[static_cast<size_t>(ResultCode::InternalError)];
                }
            }
        }

        static void refuse(const web::http::http_request& request, ResultCode code, const std::string& message)
        {
            HttpRequestContext* context = static_cast<HttpRequestContext*>(request._get_impl()->_get_server_context());
            const HttpConnectionPtr connection = context != nullptr ? context->take() : nullptr;
            if (connection)
                connection->answer(refusalAnswer(code, message));
        }

        static void handle(Listener& listener, const web::http::http_request& request)
        {
            try {
                listener.handle_request(request);
            } catch (const std::exception& error) {
                refuse(request, ResultCode::InternalError, error.what());
            }
        }

        /// Returns the listener with the longest path whose segments are a prefix of path, or null.
        std::shared_ptr<Registration> findListener(
            const std::string& endpoint, std::string path, std::string& listenerPath) const
        {
            std::shared_lock<std::shared_mutex> lock(m_portsMutex);
            const std::map<std::string, PortPtr>::const_iterator port = m_ports.find(endpoint);
            if (port == m_ports.end())
                return nullptr;
            while (true) {
                const std::map<std::string, std::shared_ptr<Registration>>::const_iterator it
                    = port->second->paths.find(path);
                if (it != port->second->paths.end()) {
                    listenerPath = path;
                    return it->second;
                }
                if (path.empty())
                    return nullptr;
                const size_t slash = path.rfind('/');
                path.resize(slash == std::string::npos ? 0 : slash);
            }
        }

        PortPtr bindPort(const web::uri& uri)
        {
            PortPtr port = std::make_shared<Port>(m_context);
            const tcp::endpoint endpoint(boost::asio::ip::make_address(uri.host()), static_cast<uint16_t>(uri.port()));
            port->acceptor.open(endpoint.protocol());
            port->acceptor.set_option(tcp::acceptor::reuse_address(true));
            port->acceptor.bind(endpoint);
            port->acceptor.listen(boost::asio::socket_base::max_listen_connections);
            return port;
        }

        static void closePort(const PortPtr& port)
        {
            boost::asio::post(port->acceptor.get_executor(), [port] {
                error_code ec;
                port->acceptor.close(ec);
                port->pause.cancel();
            });
        }

        void closeAcceptors()
        {
            std::shared_lock<std::shared_mutex> lock(m_portsMutex);
            for (const std::pair<const std::string, PortPtr>& port : m_ports)
                closePort(port.second);
        }

        void accept(const PortPtr& port, const std::string& endpoint)
        {
            if (!port->acceptor.is_open())
                return;
            port->acceptor.async_accept(boost::asio::make_strand(m_context),
                boost::asio::bind_executor(port->acceptor.get_executor(),
                    [self = shared_from_this(), port, endpoint](const error_code& ec, tcp::socket socket) {
                        if (ec) {
                            self->acceptLater(port, endpoint);
                            return;
                        }
                        self->admit(std::move(socket), endpoint);
                        self->accept(port, endpoint);
                    }));
        }

        void acceptLater(const PortPtr& port, const std::string& endpoint)
        {
            if (!port->acceptor.is_open())
                return;
            port->pause.expires_after(acceptPause);
            port->pause.async_wait(
                [self = shared_from_this(), port, endpoint](const error_code&) { self->accept(port, endpoint); });
        }

        void admit(tcp::socket socket, const std::string& endpoint)
        {
            ++m_accepted;
            const HttpConnectionPtr connection
                = std::make_shared<HttpConnection>(std::move(socket), endpoint, shared_from_this());
            std::string refusal;
            {
                std::lock_guard<std::mutex> lock(m_connectionsMutex);
                if (m_connections.size() >= m_settings.maxConnections + maxRefusedOpen)
                    return;
                size_t& fromAddress = m_byAddress[connection->address()];
                if (m_connections.size() >= m_settings.maxConnections)
                    refusal = "more than " + std::to_string(m_settings.maxConnections) + " connections";
                else if (fromAddress >= m_settings.maxConnectionsPerAddress)
                    refusal = "more than " + std::to_string(m_settings.maxConnectionsPerAddress) + " connections from "
                        + connection->address();
                ++fromAddress;
                m_connections.emplace(connection.get(), connection);
            }
            if (refusal.empty())
                connection->start();
            else
                connection->startRefused(ResultCode::TooManyConnections, refusal);
        }

        std::vector<HttpConnectionPtr> connections() const
        {
            std::vector<HttpConnectionPtr> all;
            std::lock_guard<std::mutex> lock(m_connectionsMutex);
            all.reserve(m_connections.size());
            for (const std::pair<HttpConnection* const, HttpConnectionPtr>& entry : m_connections)
                all.push_back(entry.second);
            return all;
        }

        const HttpSettings m_settings;
        RequestMemory m_memory;
        const unsigned m_threadCount;
        boost::asio::io_context m_context;
        std::optional<boost::asio::executor_work_guard<boost::asio::io_context::executor_type>> m_work;
        std::vector<std::thread> m_threads;

        mutable std::shared_mutex m_portsMutex;
        std::map<std::string, PortPtr> m_ports; ///< By ip:port.

        mutable std::mutex m_connectionsMutex;
        std::condition_variable m_closed;
        std::unordered_map<HttpConnection*, HttpConnectionPtr> m_connections;
        std::unordered_map<std::string, size_t> m_byAddress;

        std::atomic<bool> m_draining { false };
        std::atomic<uint64_t> m_accepted { 0 };
        std::atomic<uint64_t> m_requests { 0 };
        std::atomic<uint64_t> m_inProgress { 0 };
        std::atomic<uint64_t> m_callerDisconnects { 0 };
        std::array<std::atomic<uint64_t>, static_cast<size_t>(ResultCode::Count)> m_refused {};
    };

    /// Converts an answer of cpprestsdk, which sends no body for an unsupported method.
    HttpAnswer answerFrom(const web::http::http_response& response, std::string body)
    {
        if (response.status_code() == web::http::status_codes::MethodNotAllowed && body.empty()) {
            HttpAnswer answer = refusalAnswer(ResultCode::MethodNotAllowed, "the path does not support this method");
            const web::http::http_headers::const_iterator allow = response.headers().find("Allow");
            if (allow != response.headers().end())
                answer.set(boost::beast::http::field::allow, allow->second);
            return answer;
        }
        HttpAnswer answer;
        answer.result(response.status_code());
        for (const std::pair<const std::string, std::string>& header : response.headers())
            answer.set(header.first, header.second);
        answer.body() = std::move(body);
        return answer;
    }

    pplx::task<std::string> wholeBody(const web::http::http_response& response)
    {
        const concurrency::streams::istream stream = response._get_impl()->instream();
        if (!stream.is_valid())
            return pplx::task_from_result(std::string());
        concurrency::streams::container_buffer<std::vector<uint8_t>> buffer;
        return stream.read_to_end(buffer).then([buffer, stream](size_t) {
            const std::vector<uint8_t>& data = buffer.collection();
            return std::string(data.begin(), data.end());
        });
    }

    /// The server as cpprestsdk's listeners see it.
    class RestServer final : public web::http::experimental::details::http_server {
    public:
        explicit RestServer(std::shared_ptr<HttpServerCore> core)
            : m_core(std::move(core))
        {
        }

        pplx::task<void> start() override
        {
            m_core->startThreads();
            return pplx::task_from_result();
        }

        pplx::task<void> stop() override
        {
            m_core->stopThreads();
            return pplx::task_from_result();
        }

        pplx::task<void> register_listener(Listener* listener) override
        {
            try {
                m_core->registerListener(listener);
            } catch (...) {
                return pplx::task_from_exception<void>(std::current_exception());
            }
            return pplx::task_from_result();
        }

        pplx::task<void> unregister_listener(Listener* listener) override
        {
            m_core->unregisterListener(listener);
            return pplx::task_from_result();
        }

        pplx::task<void> respond(web::http::http_response response) override
        {
            HttpRequestContext* context = static_cast<HttpRequestContext*>(response._get_server_context());
            const HttpConnectionPtr connection = context != nullptr ? context->take() : nullptr;
            if (!connection)
                return pplx::task_from_result();
            return wholeBody(response).then([response, connection](const pplx::task<std::string>& body) {
                try {
                    return connection->answer(answerFrom(response, body.get()));
                } catch (const std::exception& error) {
                    return connection->answer(refusalAnswer(ResultCode::InternalError, error.what()));
                }
            });
        }

    private:
        std::shared_ptr<HttpServerCore> m_core;
    };

} // namespace

std::shared_ptr<HttpServerControl> installHttpServer(const HttpSettings& settings, unsigned threads)
{
    const std::shared_ptr<HttpServerCore> core = std::make_shared<HttpServerCore>(settings, threads);
    web::http::experimental::details::http_server_api::register_server_api(std::make_unique<RestServer>(core));
    return core;
}

} // namespace plantainwall

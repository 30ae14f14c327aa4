#include "http_caller.h"
#include <algorithm>
#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cpprest/http_client.h>
#include <deque>
#include <mutex>
#include <pplx/threadpool.h>
#include <sys/socket.h>

namespace plantainwall {

namespace {

    using web::http::client::http_client;

    /// Records whether the connection has started to read a request body. Safe to use from any thread.
    class BodyRecord {
    public:
        /// Records that the body is being read. Returns false if the call has been withdrawn: nothing may be read.
        bool beginRead()
        {
            int expected = unread;
            return m_state.compare_exchange_strong(expected, wasRead) || expected == wasRead;
        }

        /// Prevents later reads. Returns false if the body has already been read.
        bool withdraw()
        {
            int expected = unread;
            return m_state.compare_exchange_strong(expected, withdrawn) || expected == withdrawn;
        }

    private:
        static constexpr int unread = 0;
        static constexpr int wasRead = 1;
        static constexpr int withdrawn = 2;
        std::atomic<int> m_state { unread };
    };

    /// Read-only, non-seekable buffer over a request body. cpprestsdk's client would resend a request with a seekable
    /// body if a reused connection closed before the answer.
    class BodyBuffer final : public concurrency::streams::details::streambuf_state_manager<uint8_t> {
    public:
        BodyBuffer(std::string body, std::shared_ptr<BodyRecord> record)
            : streambuf_state_manager(std::ios_base::in)
            , m_body(std::move(body))
            , m_record(std::move(record))
        {
        }

        bool can_seek() const override { return false; }
        bool has_size() const override { return false; }
        size_t buffer_size(std::ios_base::openmode) const override { return 0; }
        void set_buffer_size(size_t, std::ios_base::openmode) override { }
        size_t in_avail() const override { return m_body.size() - m_position; }
        pos_type getpos(std::ios_base::openmode) const override { return traits::eof(); }
        pos_type seekpos(pos_type, std::ios_base::openmode) override { return traits::eof(); }
        pos_type seekoff(off_type, std::ios_base::seekdir, std::ios_base::openmode) override { return traits::eof(); }
        bool acquire(uint8_t*& data, size_t& count) override
        {
            data = nullptr;
            count = 0;
            return false;
        }
        void release(uint8_t*, size_t) override { }

    protected:
        pplx::task<int_type> _putc(uint8_t) override { return endOfFile(); }
        pplx::task<size_t> _putn(const uint8_t*, size_t) override { return pplx::task_from_result<size_t>(0); }
        pplx::task<int_type> _bumpc() override { return pplx::task_from_result(readByte(true)); }
        int_type _sbumpc() override { return readByte(true); }
        pplx::task<int_type> _getc() override { return pplx::task_from_result(readByte(false)); }
        int_type _sgetc() override { return readByte(false); }
        pplx::task<int_type> _nextc() override
        {
            readByte(true);
            return pplx::task_from_result(readByte(false));
        }
        pplx::task<int_type> _ungetc() override { return endOfFile(); }
        pplx::task<size_t> _getn(uint8_t* data, size_t count) override
        {
            const size_t n = _scopy(data, count);
            m_position += n;
            return pplx::task_from_result(n);
        }
        size_t _scopy(uint8_t* data, size_t count) override
        {
            // The library ends a call whose body is too short. It does not catch exceptions here.
            if (!m_record->beginRead())
                return 0;
            const size_t n = std::min(count, in_avail());
            std::copy_n(m_body.data() + m_position, n, data);
            return n;
        }
        pplx::task<bool> _sync() override { return pplx::task_from_result(true); }
        uint8_t* _alloc(size_t) override { return nullptr; }
        void _commit(size_t) override { }

    private:
        static pplx::task<int_type> endOfFile() { return pplx::task_from_result<int_type>(traits::eof()); }

        int_type readByte(bool advance)
        {
            uint8_t byte = 0;
            if (_scopy(&byte, 1) == 0)
                return traits::eof();
            m_position += advance ? 1 : 0;
            return byte;
        }

        std::string m_body;
        size_t m_position = 0;
        std::shared_ptr<BodyRecord> m_record;
    };

    /// Checks a connection immediately before cpprestsdk sends a request on it. An exception prevents the sending.
    class SendGuard {
    public:
        void prepare() { m_sends = 0; }
        bool foundClosed() const { return m_foundClosed; }

        void check(const boost::asio::ip::tcp::socket& socket)
        {
            if (m_sends.fetch_add(1) > 0)
                throw std::runtime_error("the client library tried to send the request again");
            if (socket.is_open() && isClosedByPeer(const_cast<boost::asio::ip::tcp::socket&>(socket).native_handle())) {
                m_foundClosed = true;
                throw std::runtime_error("the reused connection has been closed");
            }
        }

    private:
        /// An idle connection must have nothing to read. End of file, an error or data make it unusable.
        static bool isClosedByPeer(int handle)
        {
            char byte = 0;
            const ssize_t n = ::recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            return n >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
        }

        std::atomic<int> m_sends { 0 };
        std::atomic<bool> m_foundClosed { false };
    };

    /// cpprestsdk client that runs one call at a time and therefore opens at most one connection.
    struct Connection {
        std::shared_ptr<SendGuard> guard;
        std::unique_ptr<http_client> client;
        uint64_t generation = 0;
    };

    using ConnectionPtr = std::shared_ptr<Connection>;

    struct PendingCall {
        explicit PendingCall(HttpCall c)
            : call(std::move(c))
            , timer(crossplat::threadpool::shared_instance().service())
        {
        }

        HttpCall call;
        pplx::task_completion_event<HttpReply> done;
        boost::asio::steady_timer timer;
        pplx::cancellation_token_source cancellation;
        std::shared_ptr<BodyRecord> record = std::make_shared<BodyRecord>();
        // The members below are guarded by the mutex of the pool.
        bool finished = false; ///< The reply has been given.
        bool holdsSlot = false;
        bool reusable = false;
        ConnectionPtr connection;
        bool connectionReturned = false; ///< The client library no longer uses the connection.
    };

    using PendingCallPtr = std::shared_ptr<PendingCall>;

    HttpReply failedReply(SendState sendState, std::string error)
    {
        HttpReply reply;
        reply.sendState = sendState;
        reply.error = std::move(error);
        return reply;
    }

    /// Returns NotSent only for a call with a body that was not read: without a body, there is no record of the
    /// sending.
    SendState sendStateAfterFailure(PendingCall& pending)
    {
        return !pending.call.body.empty() && pending.record->withdraw() ? SendState::NotSent : SendState::MaybeSent;
    }

    std::string lowerCase(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
        return text;
    }

    /// Converts an answer. Throws std::runtime_error if its body is truncated or has no stated end.
    HttpReply replyFrom(const web::http::http_response& response, const std::vector<unsigned char>& body)
    {
        HttpReply reply;
        reply.sendState = SendState::Answered;
        reply.status = response.status_code();
        reply.body.assign(body.begin(), body.end());
        for (const std::pair<const std::string, std::string>& header : response.headers())
            reply.headers[lowerCase(header.first)] = header.second;
        const std::map<std::string, std::string>::const_iterator length = reply.headers.find("content-length");
        if (length != reply.headers.end() ? length->second != std::to_string(body.size())
                                          : reply.headers.count("transfer-encoding") == 0 && reply.status != 204)
            throw std::runtime_error("the answer is not whole");
        return reply;
    }

    /// Calls a function on destruction.
    class ReleaseNotifier {
    public:
        explicit ReleaseNotifier(std::function<void()> onRelease)
            : m_onRelease(std::move(onRelease))
        {
        }
        ~ReleaseNotifier() { m_onRelease(); }
        ReleaseNotifier(const ReleaseNotifier&) = delete;
        ReleaseNotifier& operator=(const ReleaseNotifier&) = delete;

    private:
        std::function<void()> m_onRelease;
    };

    web::http::http_request requestFrom(PendingCall& pending, const std::shared_ptr<ReleaseNotifier>& releaseNotifier)
    {
        const HttpCall& call = pending.call;
        web::http::http_request request(call.method);
        request.set_request_uri(web::uri(call.path));
        // The request owns its progress handler, so releaseNotifier is destroyed when the library releases the request.
        request.set_progress_handler([releaseNotifier](web::http::message_direction::direction, utility::size64_t) {});
        if (!call.body.empty()) {
            const concurrency::streams::streambuf<uint8_t> buffer(
                std::make_shared<BodyBuffer>(call.body, pending.record));
            request.set_body(buffer.create_istream(), call.body.size(), "application/json");
        }
        for (const std::pair<const std::string, std::string>& header : call.headers)
            request.headers()[header.first] = header.second;
        return request;
    }

    /// Connections to one endpoint and the calls that wait for a free connection.
    class CallPool final : public std::enable_shared_from_this<CallPool> {
    public:
        CallPool(web::uri address, unsigned maxConcurrent)
            : m_address(std::move(address))
            , m_maxConcurrent(std::max(1U, maxConcurrent))
        {
        }

        pplx::task<HttpReply> call(HttpCall call)
        {
            const PendingCallPtr pending = std::make_shared<PendingCall>(std::move(call));
            pending->timer.expires_after(pending->call.timeout);
            pending->timer.async_wait([pool = shared_from_this(), pending](const boost::system::error_code& ec) {
                if (!ec)
                    pool->timedOut(pending);
            });
            {
                std::lock_guard<std::mutex> lock(m_mutex);
                m_waiting.push_back(pending);
            }
            startWaiting();
            return pplx::create_task(pending->done);
        }

    private:
        void startWaiting()
        {
            while (true) {
                PendingCallPtr pending;
                ConnectionPtr connection;
                {
                    std::lock_guard<std::mutex> lock(m_mutex);
                    if (m_waiting.empty() || m_running >= m_maxConcurrent)
                        return;
                    pending = m_waiting.front();
                    m_waiting.pop_front();
                    ++m_running;
                    pending->holdsSlot = true;
                    // The most recently used connection is the least likely to have been closed.
                    if (!m_idle.empty()) {
                        connection = m_idle.back();
                        m_idle.pop_back();
                    }
                }
                start(pending, connection ? connection : makeConnection());
            }
        }

        ConnectionPtr makeConnection()
        {
            ConnectionPtr connection = std::make_shared<Connection>();
            connection->guard = std::make_shared<SendGuard>();
            web::http::client::http_client_config config;
            config.set_max_redirects(0);
            config.set_timeout(std::chrono::hours(1)); // Effectively disabled; the timer of each call limits it.
            config.set_nativehandle_options([guard = connection->guard](web::http::client::native_handle handle) {
                guard->check(*static_cast<boost::asio::ip::tcp::socket*>(handle));
            });
            connection->client = std::make_unique<http_client>(m_address, config);
            std::lock_guard<std::mutex> lock(m_mutex);
            connection->generation = m_generation;
            return connection;
        }

        void start(const PendingCallPtr& pending, const ConnectionPtr& connection)
        {
            {
                std::lock_guard<std::mutex> lock(m_mutex);
                pending->connection = connection;
                pending->connectionReturned = false;
            }
            connection->guard->prepare();
            // The client library delivers the answer before its connection is free again. A call made in between would
            // open a second connection, so the slot stays in use until the library has released the request.
            const std::shared_ptr<ReleaseNotifier> releaseNotifier
                = std::make_shared<ReleaseNotifier>([pool = shared_from_this(), pending, connection] {
                      boost::asio::post(crossplat::threadpool::shared_instance().service(),
                          [pool, pending, connection] { pool->connectionReturned(pending, connection); });
                  });
            pplx::task<HttpReply> answer;
            try {
                answer = connection->client
                             ->request(requestFrom(*pending, releaseNotifier), pending->cancellation.get_token())
                             .then([](const web::http::http_response& response) {
                                 return web::http::http_response(response).extract_vector().then(
                                     [response](
                                         const std::vector<unsigned char>& body) { return replyFrom(response, body); });
                             });
            } catch (const std::exception& error) {
                finish(pending, false, failedReply(SendState::NotSent, error.what()));
                return;
            }
            answer.then([pool = shared_from_this(), pending, connection](
                            const pplx::task<HttpReply>& task) { pool->requestEnded(pending, connection, task); });
        }

        void requestEnded(
            const PendingCallPtr& pending, const ConnectionPtr& connection, const pplx::task<HttpReply>& task)
        {
            try {
                HttpReply reply = task.get();
                if (pending->call.fits && !pending->call.fits(reply))
                    throw std::runtime_error("the answer is not that of this call");
                finish(pending, true, std::move(reply));
            } catch (const std::exception& error) {
                // The guard stopped this request before anything was sent, so it can be sent on a new connection.
                if (connection->guard->foundClosed())
                    start(pending, makeConnection());
                else
                    finish(pending, false, failedReply(sendStateAfterFailure(*pending), error.what()));
            }
        }

        void finish(const PendingCallPtr& pending, bool reusable, HttpReply reply)
        {
            {
                std::lock_guard<std::mutex> lock(m_mutex);
                if (std::exchange(pending->finished, true))
                    return;
                pending->reusable = reusable;
                freeSlot(*pending);
            }
            pending->timer.cancel();
            pending->done.set(std::move(reply));
            startWaiting();
        }

        void connectionReturned(const PendingCallPtr& pending, const ConnectionPtr& connection)
        {
            {
                std::lock_guard<std::mutex> lock(m_mutex);
                if (pending->connection != connection)
                    return; // The call has been restarted on another connection.
                pending->connectionReturned = true;
                freeSlot(*pending);
            }
            startWaiting();
        }

        /// Frees the slot of a call that has ended and whose connection has been returned. m_mutex must be locked.
        void freeSlot(PendingCall& pending)
        {
            if (!pending.finished || !pending.connectionReturned || !std::exchange(pending.holdsSlot, false))
                return;
            --m_running;
            if (pending.reusable && pending.connection->generation == m_generation)
                m_idle.push_back(pending.connection);
            pending.connection = nullptr;
        }

        void timedOut(const PendingCallPtr& pending)
        {
            std::vector<ConnectionPtr> discarded;
            bool waiting = false;
            {
                std::lock_guard<std::mutex> lock(m_mutex);
                if (std::exchange(pending->finished, true))
                    return;
                const std::deque<PendingCallPtr>::iterator it = std::find(m_waiting.begin(), m_waiting.end(), pending);
                waiting = it != m_waiting.end();
                if (waiting) {
                    m_waiting.erase(it);
                } else {
                    // Idle connections may have become unresponsive together with this one.
                    ++m_generation;
                    discarded.swap(m_idle);
                }
            }
            if (waiting) {
                pending->done.set(failedReply(SendState::NotSent, "timeout while waiting for a connection"));
                return;
            }
            const SendState sendState = sendStateAfterFailure(*pending);
            pending->cancellation.cancel(); // Closes the connection.
            {
                std::lock_guard<std::mutex> lock(m_mutex);
                m_running -= std::exchange(pending->holdsSlot, false) ? 1 : 0;
                pending->connection = nullptr;
            }
            pending->done.set(failedReply(sendState, "timeout"));
            startWaiting();
        }

        const web::uri m_address;
        const unsigned m_maxConcurrent;
        std::mutex m_mutex;
        std::deque<PendingCallPtr> m_waiting;
        std::vector<ConnectionPtr> m_idle;
        unsigned m_running = 0;
        uint64_t m_generation = 0; ///< Incremented by each timeout. Connections of earlier generations are not reused.
    };

    class RestHttpCaller final : public HttpCaller {
    public:
        RestHttpCaller(const web::uri& address, unsigned maxConcurrent)
            : m_pool(std::make_shared<CallPool>(address, maxConcurrent))
        {
        }

        pplx::task<HttpReply> call(HttpCall call) override { return m_pool->call(std::move(call)); }

    private:
        std::shared_ptr<CallPool> m_pool;
    };

} // namespace

std::shared_ptr<HttpCaller> makeHttpCaller(std::string_view address, unsigned maxConcurrent)
{
    return std::make_shared<RestHttpCaller>(web::uri(std::string(address)), maxConcurrent);
}

} // namespace plantainwall

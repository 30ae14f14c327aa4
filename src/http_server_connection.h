#pragma once

#include "http_server.h"
#include "request_memory.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cpprest/http_msg.h>

namespace plantainwall {

class HttpConnection;

using HttpConnectionPtr = std::shared_ptr<HttpConnection>;
using HttpAnswer = boost::beast::http::response<boost::beast::http::string_body>;

/// Interface of the server to the connections that it has accepted.
class HttpConnectionOwner {
public:
    virtual ~HttpConnectionOwner() = default;
    virtual const HttpSettings& settings() const = 0;
    virtual RequestMemory& memory() = 0;
    virtual bool draining() const = 0;
    virtual void countRefusal(ResultCode) = 0;
    virtual void countCallerDisconnect() = 0;
    virtual void requestStarted() = 0;
    virtual void requestEnded() = 0;

    /// Passes a request to the listener registered for its path.
    ///
    /// @param endpoint Address (ip:port) of the acceptor that accepted the connection.
    virtual void dispatch(const web::http::http_request&, const std::string& endpoint) = 0;
    virtual void connectionClosed(HttpConnection&) = 0;
};

/// Links a request to the connection that it arrived on. Answers with InternalError if it is destroyed unanswered.
class HttpRequestContext final : public web::http::details::_http_server_context {
public:
    explicit HttpRequestContext(HttpConnectionPtr connection)
        : m_connection(std::move(connection))
    {
    }
    ~HttpRequestContext() override;
    HttpRequestContext(const HttpRequestContext&) = delete;
    HttpRequestContext& operator=(const HttpRequestContext&) = delete;

    /// Returns the connection on the first call and null on later calls.
    HttpConnectionPtr take() { return std::move(m_connection); }

private:
    HttpConnectionPtr m_connection;
};

/// Returns an answer whose JSON body contains a result code and a message.
///
/// @param retryAfter Advice when to send the request again.
HttpAnswer refusalAnswer(ResultCode, const std::string& message, std::optional<Duration> retryAfter = {});

/// An accepted connection. Reads, dispatches and answers one request at a time, on the strand of its socket.
class HttpConnection final : public std::enable_shared_from_this<HttpConnection> {
public:
    HttpConnection(boost::asio::ip::tcp::socket, std::string endpoint, std::shared_ptr<HttpConnectionOwner>);
    ~HttpConnection();
    HttpConnection(const HttpConnection&) = delete;
    HttpConnection& operator=(const HttpConnection&) = delete;

    const std::string& address() const { return m_address; }

    void start();

    /// Sends a refusal without reading a request, then closes the connection.
    void startRefused(ResultCode, const std::string& message);

    /// Answers the request in progress. The task completes when the answer is written or the caller has disconnected.
    /// It never fails, because an unobserved task exception would terminate the process.
    pplx::task<void> answer(HttpAnswer);

    /// Shortens the timeout of an idle connection.
    void beginDrain();
    void closeNow();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;
    enum class Phase : uint8_t { Idle, Head, Body, Running, Answering, Closing, Closed };

    struct Exchange {
        Parser parser;
        HttpAnswer answer;
        pplx::task_completion_event<void> written;
        std::unique_ptr<RequestAccount> account; ///< Null once the request is refused.
        bool keepAlive = false;
        bool counted = false;
    };

    void waitForRequest();
    void readHead();
    void headRead(const boost::system::error_code&);
    void readBody();
    void bodyRead(const boost::system::error_code&);
    bool reserveBody();
    void run();
    void refuse(ResultCode, const std::string& message, std::optional<Duration> retryAfter = {});
    void refuseForMemory();
    void handleReadError(const boost::system::error_code&);
    void write();
    void answerWritten(const boost::system::error_code&);
    void linger();
    void discard();
    void close();
    void armTimer(Duration);
    void disarmTimer();
    void expired();
    void endForMemory(uint32_t exchange);
    std::string timeLimit(Duration) const;

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    std::shared_ptr<HttpConnectionOwner> m_owner;
    std::string m_endpoint;
    std::string m_address;
    boost::beast::flat_buffer m_buffer;
    std::unique_ptr<Exchange> m_exchange; ///< Null while idle, to save memory.
    uint32_t m_timerEpoch = 0;
    uint32_t m_exchanges = 0; ///< Number of the current exchange.
    Phase m_phase = Phase::Idle;
    bool m_expired = false;
    bool m_endedForMemory = false;
};

} // namespace plantainwall

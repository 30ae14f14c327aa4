#include "http_server_connection.h"
#include "clock.h"
#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cpprest/containerstream.h>
#include <cpprest/json.h>

namespace plantainwall {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

    /// Time for which input is still read and discarded before the socket is closed. Closing a socket with unread input
    /// resets the connection, and the caller could lose the answer.
    constexpr Duration lingerTime = std::chrono::seconds(1);

    /// Upper bound of the configured head limit: Beast throws std::length_error for a field of 64 KB.
    constexpr size_t maxHeadLimit = 60 * 1024;

    /// Idle timeout of connections while the server drains.
    constexpr Duration drainIdleTime = std::chrono::seconds(1);

    std::string milliseconds(Duration duration)
    {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count()) + " ms";
    }

    /// Returns the limit of a head in bytes.
    size_t headLimit(const HttpSettings& settings) { return std::min(settings.maxHeadBytes, maxHeadLimit); }

    bool isDigits(boost::string_view text)
    {
        return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
    }

    /// Returns why the length of a request is invalid or ambiguous, or an empty string if it is neither.
    std::string lengthFault(const http::request_parser<http::string_body>& parser)
    {
        const http::fields& fields = parser.get();
        const size_t lengths = fields.count(http::field::content_length);
        if (lengths > 1)
            return "more than one Content-Length";
        if (lengths == 1 && fields.count(http::field::transfer_encoding) > 0)
            return "Content-Length together with Transfer-Encoding";
        if (lengths == 1 && !isDigits(fields[http::field::content_length]))
            return "Content-Length is not a number";
        if (fields.count(http::field::transfer_encoding) > 0 && !parser.chunked())
            return "Transfer-Encoding other than chunked";
        return {};
    }

    std::string toString(boost::string_view text) { return std::string(text.data(), text.size()); }

    web::http::http_request requestFrom(http::request<http::string_body>& message, HttpConnectionPtr connection)
    {
        const web::uri target(toString(message.target()));
        web::http::http_request request
            = web::http::http_request::_create_request(std::make_unique<HttpRequestContext>(std::move(connection)));
        request.set_method(toString(message.method_string()));
        request.set_request_uri(target);
        for (const http::fields::value_type& field : message)
            request.headers().add(toString(field.name_string()), toString(field.value()));
        const size_t size = message.body().size();
        request._get_impl()->set_instream(concurrency::streams::bytestream::open_istream(std::move(message.body())));
        request._get_impl()->_complete(size);
        return request;
    }

} // namespace

HttpAnswer refusalAnswer(ResultCode code, const std::string& message, std::optional<Duration> retryAfter)
{
    const ResultCodeInfo& info = resultCodeInfo(code);
    web::json::value body = web::json::value::object();
    body["code"] = web::json::value::number(static_cast<int>(code));
    body["name"] = web::json::value::string(std::string(info.name));
    body["run"] = web::json::value::string(std::string(runStateName(info.runState)));
    body["message"] = web::json::value::string(message);
    HttpAnswer answer;
    answer.result(info.httpStatus);
    answer.set(http::field::content_type, "application/json");
    if (retryAfter) {
        const int64_t n = std::chrono::duration_cast<std::chrono::milliseconds>(*retryAfter).count();
        body["retry_after_ms"] = web::json::value::number(n);
        answer.set(http::field::retry_after, std::to_string((n + 999) / 1000));
    }
    answer.body() = body.serialize();
    return answer;
}

HttpRequestContext::~HttpRequestContext()
{
    if (m_connection)
        m_connection->answer(refusalAnswer(ResultCode::InternalError, "the request was dropped without an answer"));
}

HttpConnection::HttpConnection(tcp::socket socket, std::string endpoint, std::shared_ptr<HttpConnectionOwner> owner)
    : m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
    , m_owner(std::move(owner))
    , m_endpoint(std::move(endpoint))
{
    error_code ec;
    m_address = m_socket.remote_endpoint(ec).address().to_string();
    m_socket.set_option(tcp::no_delay(true), ec);
}

HttpConnection::~HttpConnection() = default;

void HttpConnection::start()
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->waitForRequest(); });
}

void HttpConnection::startRefused(ResultCode code, const std::string& message)
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this(), code, message] {
        self->m_exchange = std::make_unique<Exchange>();
        self->refuse(code, message);
    });
}

void HttpConnection::waitForRequest()
{
    if (m_phase == Phase::Closed)
        return;
    m_exchange.reset();
    if (m_buffer.size() > 0) {
        readHead();
        return;
    }
    m_buffer.shrink_to_fit();
    m_phase = Phase::Idle;
    armTimer(m_owner->draining() ? std::min(drainIdleTime, m_owner->settings().idleTimeout)
                                 : m_owner->settings().idleTimeout);
    // Waits without a read buffer, so that idle connections use little memory.
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const error_code& ec) {
        if (ec)
            self->close();
        else
            self->readHead();
    });
}

void HttpConnection::readHead()
{
    if (m_phase == Phase::Closed)
        return;
    m_phase = Phase::Head;
    m_exchange = std::make_unique<Exchange>();
    m_exchange->account
        = std::make_unique<RequestAccount>(m_owner->memory(), [weak = weak_from_this(), exchange = ++m_exchanges] {
              if (const HttpConnectionPtr self = weak.lock())
                  boost::asio::post(self->m_socket.get_executor(), [self, exchange] { self->endForMemory(exchange); });
          });
    if (!m_exchange->account->reserve(headLimit(m_owner->settings()), now())) {
        refuseForMemory();
        return;
    }
    m_exchange->parser.header_limit(static_cast<uint32_t>(headLimit(m_owner->settings())));
    m_exchange->parser.body_limit(m_owner->settings().maxBodyBytes);
    armTimer(m_owner->settings().headTimeout);
    http::async_read_header(m_socket, m_buffer, m_exchange->parser,
        [self = shared_from_this()](const error_code& ec, size_t) { self->headRead(ec); });
}

void HttpConnection::headRead(const error_code& ec)
{
    if (m_phase == Phase::Closed)
        return;
    if (ec || m_expired) {
        handleReadError(ec);
        return;
    }
    const std::string fault = lengthFault(m_exchange->parser);
    if (!fault.empty()) {
        refuse(ResultCode::BadRequest, fault);
        return;
    }
    if (!reserveBody()) {
        refuseForMemory();
        return;
    }
    m_phase = Phase::Body;
    m_exchange->parser.eager(true);
    armTimer(m_owner->settings().bodyTimeout);
    if (!boost::beast::iequals(m_exchange->parser.get()[http::field::expect], "100-continue")) {
        readBody();
        return;
    }
    static const std::string proceed = "HTTP/1.1 100 Continue\r\n\r\n";
    boost::asio::async_write(
        m_socket, boost::asio::buffer(proceed), [self = shared_from_this()](const error_code& writeError, size_t) {
            if (writeError || self->m_expired)
                self->handleReadError(writeError);
            else
                self->readBody();
        });
}

void HttpConnection::readBody()
{
    if (m_exchange->parser.is_done()) {
        run();
        return;
    }
    http::async_read_some(m_socket, m_buffer, m_exchange->parser,
        [self = shared_from_this()](const error_code& ec, size_t) { self->bodyRead(ec); });
}

void HttpConnection::bodyRead(const error_code& ec)
{
    if (m_phase == Phase::Closed)
        return;
    if (ec || (m_expired && !m_exchange->parser.is_done()))
        handleReadError(ec);
    else if (!reserveBody())
        refuseForMemory();
    else
        readBody();
}

bool HttpConnection::reserveBody()
{
    // A body without a stated length gets its memory as it arrives.
    Parser& parser = m_exchange->parser;
    const uint64_t length = parser.content_length().value_or(parser.get().body().size());
    return m_exchange->account->reserve(
        headLimit(m_owner->settings()) + RequestMemory::copies * static_cast<size_t>(length), now());
}

void HttpConnection::run()
{
    if (m_phase == Phase::Closed)
        return;
    disarmTimer();
    m_phase = Phase::Running;
    m_exchange->account->setRunning();
    m_exchange->keepAlive = m_exchange->parser.get().keep_alive();
    m_exchange->counted = true;
    m_owner->requestStarted();
    web::http::http_request request;
    try {
        request = requestFrom(m_exchange->parser.get(), shared_from_this());
    } catch (const std::exception& error) {
        refuse(ResultCode::BadRequest, error.what());
        return;
    }
    request._get_impl()->_set_remote_address(m_address);
    m_owner->dispatch(request, m_endpoint);
}

void HttpConnection::handleReadError(const error_code& ec)
{
    const HttpSettings& settings = m_owner->settings();
    const bool inHead = m_phase == Phase::Head;
    if (m_expired) {
        refuse(ResultCode::RequestTooSlow,
            inHead ? "the head did not arrive within " + timeLimit(settings.headTimeout)
                   : "the body did not arrive within " + timeLimit(settings.bodyTimeout));
    } else if (ec == http::error::header_limit || ec == http::error::buffer_overflow) {
        refuse(
            ResultCode::RequestTooLarge, "the head is larger than " + std::to_string(headLimit(settings)) + " bytes");
    } else if (ec == http::error::body_limit) {
        refuse(
            ResultCode::RequestTooLarge, "the body is larger than " + std::to_string(settings.maxBodyBytes) + " bytes");
    } else if (ec == http::error::end_of_stream || ec == http::error::partial_message
        || ec.category() != http::make_error_code(http::error::end_of_stream).category()) {
        close(); // The caller has disconnected.
    } else {
        refuse(ResultCode::BadRequest, "the request is malformed: " + ec.message());
    }
}

std::string HttpConnection::timeLimit(Duration limit) const
{
    return m_endedForMemory ? milliseconds(RequestMemory::slowLimit) + " while memory is scarce" : milliseconds(limit);
}

void HttpConnection::refuse(ResultCode code, const std::string& message, std::optional<Duration> retryAfter)
{
    if (m_phase == Phase::Closed)
        return;
    m_owner->countRefusal(code);
    m_exchange->keepAlive = false;
    m_exchange->answer = refusalAnswer(code, message, retryAfter);
    // Freed before the answer is written, as the caller may be slow to read it.
    std::string().swap(m_exchange->parser.get().body());
    m_exchange->account.reset();
    write();
}

void HttpConnection::refuseForMemory()
{
    refuse(ResultCode::QueueFull, "no memory for a request of this length now", RequestMemory::retryAfter);
}

pplx::task<void> HttpConnection::answer(HttpAnswer answer)
{
    const pplx::task_completion_event<void> written;
    boost::asio::post(m_socket.get_executor(),
        [self = shared_from_this(), written, answer = std::make_shared<HttpAnswer>(std::move(answer))] {
            if (self->m_phase != Phase::Running) {
                written.set();
                return;
            }
            self->m_exchange->answer = std::move(*answer);
            self->m_exchange->written = written;
            if (self->m_exchange->account)
                self->m_exchange->account->setAnswering(self->m_exchange->answer.body().size(), now());
            self->write();
        });
    return pplx::create_task(written);
}

void HttpConnection::write()
{
    m_phase = Phase::Answering;
    Exchange& exchange = *m_exchange;
    exchange.keepAlive
        = exchange.keepAlive && !m_owner->draining() && exchange.answer[http::field::connection] != "close";
    exchange.answer.version(11);
    exchange.answer.erase(http::field::transfer_encoding);
    exchange.answer.content_length(exchange.answer.body().size());
    exchange.answer.keep_alive(exchange.keepAlive);
    if (exchange.counted && exchange.parser.get().method() == http::verb::head)
        exchange.answer.body().clear();
    armTimer(m_owner->settings().idleTimeout);
    http::async_write(m_socket, exchange.answer,
        [self = shared_from_this()](const error_code& ec, size_t) { self->answerWritten(ec); });
}

void HttpConnection::answerWritten(const error_code& ec)
{
    disarmTimer();
    const bool keepAlive = m_exchange->keepAlive;
    if (ec)
        m_owner->countCallerDisconnect();
    if (m_exchange->counted)
        m_owner->requestEnded();
    m_exchange->counted = false;
    m_exchange->written.set();
    if (ec)
        close();
    else if (keepAlive)
        waitForRequest();
    else
        linger();
}

void HttpConnection::linger()
{
    if (m_phase == Phase::Closed)
        return;
    m_phase = Phase::Closing;
    m_exchange.reset();
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    error_code ec;
    m_socket.shutdown(tcp::socket::shutdown_send, ec);
    armTimer(lingerTime);
    discard();
}

void HttpConnection::discard()
{
    m_buffer.clear();
    m_socket.async_read_some(m_buffer.prepare(4096), [self = shared_from_this()](const error_code& ec, size_t) {
        if (ec)
            self->close();
        else if (self->m_phase == Phase::Closing)
            self->discard();
    });
}

void HttpConnection::close()
{
    if (m_phase == Phase::Closed)
        return;
    m_phase = Phase::Closed;
    disarmTimer();
    error_code ec;
    m_socket.close(ec);
    if (m_exchange) {
        if (m_exchange->counted)
            m_owner->requestEnded();
        m_exchange->counted = false;
        m_exchange->written.set();
        m_exchange->account.reset();
    }
    m_owner->connectionClosed(*this);
}

void HttpConnection::beginDrain()
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (self->m_phase == Phase::Idle)
            self->armTimer(std::min(drainIdleTime, self->m_owner->settings().idleTimeout));
    });
}

void HttpConnection::closeNow()
{
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->close(); });
}

void HttpConnection::armTimer(Duration duration)
{
    disarmTimer();
    m_timer.expires_after(duration);
    m_timer.async_wait([self = shared_from_this(), epoch = m_timerEpoch](const error_code& ec) {
        if (!ec && epoch == self->m_timerEpoch)
            self->expired();
    });
}

void HttpConnection::disarmTimer()
{
    ++m_timerEpoch;
    m_expired = false;
    m_endedForMemory = false;
    m_timer.cancel();
}

void HttpConnection::expired()
{
    if (m_expired || (m_phase != Phase::Head && m_phase != Phase::Body)) {
        close();
        return;
    }
    // The pending read fails and the request is refused. If the read ended with an exception instead, the timer closes
    // the connection.
    armTimer(lingerTime);
    m_expired = true;
    error_code ec;
    m_socket.cancel(ec);
}

void HttpConnection::endForMemory(uint32_t exchange)
{
    // Without an account, a refusal is being sent.
    if (exchange != m_exchanges || m_expired || !m_exchange || !m_exchange->account)
        return;
    if (m_phase == Phase::Answering) {
        close();
    } else if (m_phase == Phase::Head || m_phase == Phase::Body) {
        expired();
        m_endedForMemory = true;
    }
}

} // namespace plantainwall

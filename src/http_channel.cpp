#include "http_channel.h"
#include "endpoint.h"
#include "header_value.h"
#include "log_event.h"
#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <optional>
#include <sys/socket.h>

namespace plantainwall {

namespace {

    namespace beast = boost::beast;
    namespace http = boost::beast::http;
    using boost::asio::ip::tcp;

    /// Large enough for the largest configuration, encoded as base64 within a page of items.
    constexpr uint64_t maxResponseBytes = 8 * 1024 * 1024;

    /// Returns whether a server reads the target and the headers of a call as they are.
    bool readsBack(const HttpExchange& exchange)
    {
        const std::string& target = exchange.target;
        return std::none_of(target.begin(), target.end(), [](char c) {
            return static_cast<unsigned char>(c) <= ' ' || c == 0x7f;
        }) && std::all_of(exchange.headers.begin(), exchange.headers.end(), [](const auto& header) {
            return isHeaderValue(header.second);
        });
    }

} // namespace

std::string_view HttpOutcome::header(std::string_view name) const
{
    for (const auto& [key, value] : headers) {
        if (boost::algorithm::iequals(key, name))
            return value;
    }
    return {};
}

class HttpChannel::Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(boost::asio::io_context& loop, const std::string& address)
        : m_loop(loop)
        , m_address(address)
        , m_timer(loop)
        , m_endpoint(endpointOf<tcp::endpoint>(address))
    {
    }

    void call(HttpExchange exchange, std::function<void(HttpOutcome)> handler)
    {
        m_calls.push_back({ std::move(exchange), std::move(handler) });
        if (m_calls.size() == 1)
            boost::asio::post(m_loop, [self = shared_from_this()] { self->begin(); });
    }

    void cancel()
    {
        ++m_number;
        m_running = false;
        m_timer.cancel();
        closeStream();
        const std::deque<Call> calls = std::move(m_calls);
        m_calls.clear();
        boost::asio::post(m_loop, [self = shared_from_this(), calls] {
            for (const Call& call : calls) {
                if (!self->m_stopped)
                    call.handler({});
            }
        });
    }

    void stop()
    {
        m_stopped = true;
        m_calls.clear();
        m_timer.cancel();
        closeStream();
    }

private:
    struct Call {
        HttpExchange exchange;
        std::function<void(HttpOutcome)> handler;
    };

    /// Closes the connection. Operations in progress share the stream, so dropping it would leave it open.
    void closeStream()
    {
        if (m_stream)
            m_stream->close();
        m_stream.reset();
    }

    /// Opens a connection. If a call is in progress, it is sent then.
    void connect()
    {
        m_open = false;
        m_answers = 0;
        m_stream = std::make_shared<beast::tcp_stream>(m_loop);
        m_stream->async_connect(
            m_endpoint, [self = shared_from_this(), stream = m_stream](const boost::system::error_code& ec) {
                if (stream == self->m_stream)
                    self->connected(ec);
            });
    }

    void connected(const boost::system::error_code& ec)
    {
        m_open = !ec;
        if (ec)
            closeStream();
        if (m_running && ec)
            finish({});
        else if (m_running)
            write();
    }

    /// Returns whether the next call can be sent over the connection. Bytes that have arrived on it answer no call.
    bool isUsable(const HttpExchange& next)
    {
        if (!m_stream || !m_open || (next.fresh && m_answers > 0))
            return false;
        char byte = 0;
        const ssize_t n = ::recv(m_stream->socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (n > 0)
            logUnexpected(next, "before the call was sent");
        return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    void logUnexpected(const HttpExchange& exchange, std::string_view arrived) const
    {
        logEvent(LogEvent::AnswerUnexpected,
            { { "address", m_address }, { "call", exchange.target.substr(0, exchange.target.find('?')) },
                { "arrived", arrived }, { "answers", m_answers } });
    }

    void begin()
    {
        if (m_stopped || m_running || m_calls.empty())
            return;
        m_running = true;
        m_parser.reset();
        ++m_number;
        const HttpExchange& exchange = m_calls.front().exchange;
        if (!readsBack(exchange)) {
            logEvent(LogEvent::InternalFailure,
                { { "error", "a target or header does not read back as itself" }, { "address", m_address } });
            finish({});
            return;
        }
        giveUpAfter(exchange.timeout);
        if (isUsable(exchange)) {
            write();
            return;
        }
        closeStream();
        connect();
    }

    /// Replaces the time after which the running call is given up.
    void giveUpAfter(Duration timeout)
    {
        m_timer.expires_after(timeout);
        m_timer.async_wait([self = shared_from_this(), number = m_number](const boost::system::error_code& ec) {
            // A wait whose time had passed before it was replaced ends without an error.
            if (!ec && number == self->m_number && self->m_timer.expiry() <= std::chrono::steady_clock::now())
                self->giveUp();
        });
    }

    void giveUp()
    {
        HttpOutcome outcome;
        if (m_parser)
            outcome.incompleteBytes = m_parser->get().body().size();
        finish(std::move(outcome));
    }

    void write()
    {
        const HttpExchange& exchange = m_calls.front().exchange;
        m_request = {};
        m_request.method_string(exchange.method);
        m_request.target(exchange.target);
        m_request.version(11);
        m_request.set(http::field::host, m_address);
        for (const auto& [name, value] : exchange.headers)
            m_request.set(name, value);
        if (!exchange.body.empty()) {
            m_request.set(http::field::content_type, "application/json");
            m_request.body() = exchange.body;
        }
        m_request.prepare_payload();
        const uint64_t number = m_number;
        http::async_write(*m_stream, m_request,
            [self = shared_from_this(), stream = m_stream, number](const boost::system::error_code& ec, size_t) {
                if (number != self->m_number)
                    return;
                if (ec)
                    self->finish({});
                else
                    self->read();
            });
    }

    void read()
    {
        m_parser = std::make_shared<http::response_parser<http::string_body>>();
        m_parser->eager(true);
        m_parser->body_limit(maxResponseBytes);
        m_buffer = std::make_shared<beast::flat_buffer>();
        m_answerStartedAt.reset();
        readSome();
    }

    void readSome()
    {
        http::async_read_some(*m_stream, *m_buffer, *m_parser,
            [self = shared_from_this(), stream = m_stream, parser = m_parser, buffer = m_buffer, number = m_number](
                const boost::system::error_code& ec, size_t) {
                if (number == self->m_number)
                    self->someRead(ec);
            });
    }

    void someRead(const boost::system::error_code& ec)
    {
        if (ec) {
            giveUp();
            return;
        }
        if (!m_parser->is_done()) {
            const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
            const HttpExchange& exchange = m_calls.front().exchange;
            if (!m_answerStartedAt)
                m_answerStartedAt = now;
            const std::chrono::steady_clock::duration left = *m_answerStartedAt + exchange.answerTimeout - now;
            giveUpAfter(std::min(exchange.pauseTimeout, std::chrono::duration_cast<Duration>(left)));
            readSome();
            return;
        }
        answered();
    }

    void answered()
    {
        HttpOutcome outcome;
        outcome.answered = true;
        outcome.status = m_parser->get().result_int();
        for (const http::fields::value_type& it : m_parser->get())
            outcome.headers.emplace_back(it.name_string(), it.value());
        outcome.body = std::move(m_parser->get().body());
        const HttpExchange& exchange = m_calls.front().exchange;
        if (m_answers > 0 && outcome.status == 200 && exchange.fits && !exchange.fits(outcome)) {
            foreignAnswer(exchange);
            return;
        }
        ++m_answers;
        const bool surplus = m_buffer->size() > 0;
        if (surplus)
            logUnexpected(exchange, "after the answer");
        const bool renew = exchange.renew;
        // A copy of an answer with another status could not be told from the answer to a later call.
        if (!m_parser->keep_alive() || surplus || renew || outcome.status != 200)
            closeStream();
        finish(std::move(outcome));
        if (renew && m_calls.empty() && !m_stream && !m_stopped)
            connect();
    }

    /// An answer of an earlier call arrived in place of that of the call in progress, which may still follow.
    void foreignAnswer(const HttpExchange& exchange)
    {
        logUnexpected(exchange, "in place of the answer");
        if (exchange.method != "GET") {
            finish({});
            return;
        }
        ++m_number;
        m_parser.reset();
        giveUpAfter(exchange.timeout);
        closeStream();
        connect();
    }

    void finish(HttpOutcome outcome)
    {
        ++m_number;
        m_running = false;
        m_timer.cancel();
        if (!outcome.answered)
            closeStream();
        if (m_calls.empty())
            return;
        const Call call = std::move(m_calls.front());
        m_calls.pop_front();
        if (!m_calls.empty())
            boost::asio::post(m_loop, [self = shared_from_this()] { self->begin(); });
        call.handler(std::move(outcome));
    }

    boost::asio::io_context& m_loop;
    std::string m_address;
    boost::asio::steady_timer m_timer;
    tcp::endpoint m_endpoint;
    std::shared_ptr<beast::tcp_stream> m_stream;
    std::shared_ptr<http::response_parser<http::string_body>> m_parser;
    std::shared_ptr<beast::flat_buffer> m_buffer;
    http::request<http::string_body> m_request;
    std::deque<Call> m_calls;
    std::optional<std::chrono::steady_clock::time_point>
        m_answerStartedAt; ///< First bytes of the running call's answer.
    uint64_t m_number = 0; ///< Number of the running call. Callbacks of earlier calls are ignored.
    size_t m_answers = 0; ///< Answers on the connection. All but the last have status 200.
    bool m_open = false; ///< The connection has been opened.
    bool m_running = false; ///< The first call has been begun.
    bool m_stopped = false;
};

HttpChannel::HttpChannel(boost::asio::io_context& loop, const std::string& address)
    : m_connection(std::make_shared<Connection>(loop, address))
{
}

HttpChannel::~HttpChannel() { m_connection->stop(); }

void HttpChannel::call(HttpExchange exchange, std::function<void(HttpOutcome)> handler)
{
    m_connection->call(std::move(exchange), std::move(handler));
}

void HttpChannel::cancel() { m_connection->cancel(); }

} // namespace plantainwall

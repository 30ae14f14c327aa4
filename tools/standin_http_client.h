#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cctype>
#include <chrono>
#include <map>
#include <memory>
#include <string>

namespace plantainwall {

/// Answer of an HTTP call.
struct ClientReply {
    int status = 0;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

/// Synchronous HTTP client with one connection, which it keeps open between calls. For one thread at a time.
class ClientConnection {
public:
    /// address is ip:port.
    explicit ClientConnection(const std::string& address)
        : m_address(address)
    {
        const size_t colon = address.rfind(':');
        m_endpoint = { boost::asio::ip::make_address(address.substr(0, colon)),
            static_cast<uint16_t>(std::stoul(address.substr(colon + 1))) };
    }

    /// Sends one request and returns its answer. Throws system_error on a broken connection or after the timeout; the
    /// next call then uses a new connection.
    ClientReply call(const std::string& method, const std::string& target, const std::string& body,
        std::chrono::milliseconds timeout, const std::map<std::string, std::string>& headers = {})
    {
        namespace http = boost::beast::http;
        http::request<http::string_body> request;
        request.method_string(method);
        request.target(target);
        request.version(11);
        request.set(http::field::host, m_address);
        if (!body.empty())
            request.set(http::field::content_type, "application/json");
        for (const std::pair<const std::string, std::string>& header : headers)
            request.set(header.first, header.second);
        request.body() = body;
        request.prepare_payload();
        try {
            return exchange(request, timeout);
        } catch (...) {
            m_stream.reset();
            throw;
        }
    }

    void close() { m_stream.reset(); }

private:
    template <typename Start> void run(const Start& start)
    {
        boost::system::error_code result = boost::asio::error::would_block;
        start([&result](boost::system::error_code ec, auto...) { result = ec; });
        m_context.restart();
        m_context.run();
        if (result)
            throw boost::system::system_error(result);
    }

    template <typename Request> ClientReply exchange(const Request& request, std::chrono::milliseconds timeout)
    {
        namespace http = boost::beast::http;
        const bool reused = m_stream != nullptr;
        if (!reused)
            m_stream = std::make_unique<boost::beast::tcp_stream>(m_context);
        m_stream->expires_after(timeout);
        if (!reused) {
            run([this](auto done) { m_stream->async_connect(m_endpoint, done); });
            m_stream->socket().set_option(boost::asio::ip::tcp::no_delay(true));
        }
        run([&](auto done) { http::async_write(*m_stream, request, done); });
        boost::beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        // Boost 1.74 refuses every body that has a Content-Length if the limit is none.
        parser.body_limit(uint64_t(1) << 30);
        run([&](auto done) { http::async_read(*m_stream, buffer, parser, done); });
        const http::response<http::string_body>& response = parser.get();
        ClientReply reply;
        reply.status = static_cast<int>(response.result_int());
        for (const http::fields::value_type& field : response)
            reply.headers[lowerCase(std::string(field.name_string()))] = std::string(field.value());
        reply.body = response.body();
        if (!response.keep_alive())
            m_stream.reset();
        return reply;
    }

    static std::string lowerCase(std::string text)
    {
        for (char& c : text)
            c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
        return text;
    }

    std::string m_address;
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::endpoint m_endpoint;
    std::unique_ptr<boost::beast::tcp_stream> m_stream;
};

} // namespace plantainwall

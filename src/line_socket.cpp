#include "line_socket.h"
#include "log_event.h"
#include <array>
#include <boost/asio/post.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace plantainwall {

namespace {

    using boost::asio::ip::tcp;

    /// Closes the connection if sent data is not acknowledged in time. The longest path needs a fraction of it.
    constexpr int unacknowledgedTimeoutMs = 4000;
    constexpr int keepAliveIdleSeconds = 3;
    constexpr int keepAliveIntervalSeconds = 1;
    constexpr int keepAliveProbes = 2;

    /// Shared by all connections of the event loop: input is copied out of it before the next read.
    std::array<char, 64 * 1024> readBuffer;

    void setOption(int descriptor, int level, int name, int value)
    {
        // Failure is ignored: without the option a dead peer is only detected later.
        (void)::setsockopt(descriptor, level, name, &value, sizeof(value));
    }

} // namespace

LineSocket::LineSocket(tcp::socket socket, size_t maxLine)
    : m_socket(std::move(socket))
    , m_maxLine(maxLine)
{
}

void LineSocket::configure()
{
    boost::system::error_code ec;
    m_socket.non_blocking(true, ec);
    m_socket.set_option(tcp::no_delay(true), ec);
    const int descriptor = m_socket.native_handle();
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledgedTimeoutMs);
    m_open = true;
}

void LineSocket::start(Handlers handlers)
{
    m_handlers = std::move(handlers);
    configure();
    awaitInput();
}

void LineSocket::connect(const tcp::endpoint& endpoint, Handlers handlers)
{
    m_handlers = std::move(handlers);
    m_socket.async_connect(endpoint, [self = shared_from_this()](const boost::system::error_code& ec) {
        if (self->m_closing)
            return;
        if (ec) {
            self->failToConnect(ec);
            return;
        }
        self->configure();
        const std::function<void()> connected = self->m_handlers.connected;
        if (connected)
            connected();
        if (self->m_open) {
            self->awaitInput();
            self->writeAvailable();
        }
    });
}

void LineSocket::awaitInput()
{
    if (!m_open || m_ended)
        return;
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code& ec) {
        if (!ec && self->m_open)
            self->readAvailable();
    });
}

void LineSocket::readAvailable()
{
    boost::system::error_code ec;
    const size_t n = m_socket.read_some(boost::asio::buffer(readBuffer), ec);
    if (ec == boost::asio::error::would_block) {
        awaitInput();
        return;
    }
    if (ec) {
        m_ended = true;
        fail(false);
        return;
    }
    m_in.append(readBuffer.data(), n);
    const std::shared_ptr<LineSocket> self = shared_from_this();
    deliver();
    if (!m_open)
        return;
    // While a statement runs, one more message is buffered. Beyond that, reading stops and the sender has to wait.
    if (m_in.size() > m_maxLine) {
        if (!m_paused)
            fail(true);
        return;
    }
    awaitInput();
}

void LineSocket::deliver()
{
    if (m_delivering)
        return;
    m_delivering = true;
    // Copied, as the handler may close the socket, which destroys the handlers.
    const std::function<bool(std::string_view)> line = m_handlers.line;
    size_t start = 0;
    while (m_open && !m_paused) {
        const size_t end = m_in.find('\n', start);
        if (end == std::string::npos)
            break;
        size_t length = end - start;
        if (length > 0 && m_in[end - 1] == '\r')
            --length;
        try {
            m_paused = !line(std::string_view(m_in).substr(start, length));
        } catch (const std::exception& error) {
            // An unexpected line ends its own connection only.
            logEvent(LogEvent::InternalFailure, { { "error", error.what() }, { "line_bytes", length } });
            boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->fail(false); });
            m_paused = true;
        }
        start = end + 1;
    }
    m_in.erase(0, start);
    if (m_in.empty() && m_in.capacity() > readBuffer.size())
        m_in.shrink_to_fit();
    m_delivering = false;
}

void LineSocket::resume()
{
    if (!m_paused)
        return;
    m_paused = false;
    if (m_in.empty() || !m_open)
        return;
    const bool stalled = m_in.size() > m_maxLine;
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this(), stalled] {
        self->deliver();
        if (stalled && self->m_open)
            self->awaitInput();
    });
}

void LineSocket::send(std::string_view text)
{
    if (m_closing)
        return;
    m_out.append(text);
    if (m_open && !m_writing)
        writeAvailable();
}

void LineSocket::writeAvailable()
{
    while (!m_out.empty() && m_open) {
        boost::system::error_code ec;
        const size_t n = m_socket.write_some(boost::asio::buffer(m_out), ec);
        if (ec == boost::asio::error::would_block) {
            awaitOutput();
            return;
        }
        if (ec) {
            boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->fail(false); });
            return;
        }
        m_out.erase(0, n);
    }
    if (m_closing && m_open)
        close();
}

void LineSocket::awaitOutput()
{
    m_writing = true;
    m_socket.async_wait(tcp::socket::wait_write, [self = shared_from_this()](const boost::system::error_code& ec) {
        self->m_writing = false;
        if (!ec)
            self->writeAvailable();
    });
}

void LineSocket::closeAfterSend()
{
    m_closing = true;
    if (!m_writing)
        writeAvailable();
}

void LineSocket::close()
{
    m_closing = true;
    m_open = false;
    m_handlers = {};
    boost::system::error_code ec;
    m_socket.close(ec);
}

void LineSocket::failToConnect(const boost::system::error_code& ec)
{
    const std::function<void(const boost::system::error_code&)> connectFailed = std::move(m_handlers.connectFailed);
    if (!connectFailed) {
        fail(false);
        return;
    }
    close();
    connectFailed(ec);
}

void LineSocket::fail(bool tooLong)
{
    if (m_closing && !m_open)
        return;
    m_open = false;
    const std::function<void(bool)> closed = std::move(m_handlers.closed);
    if (tooLong) {
        // The socket stays open, so that the owner can still send the reason.
        m_open = true;
        if (closed)
            closed(true);
        return;
    }
    close();
    if (closed)
        closed(false);
}

} // namespace plantainwall

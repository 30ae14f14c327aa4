#include "line_socket.h"
#include "log_event.h"
#include <algorithm>
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

    /// Indexed by LineEnd.
    constexpr std::string_view lineEnds[] = { "\r\n", "\n" };
    static_assert(std::size(lineEnds) == static_cast<size_t>(LineEnd::Count), "one entry for each LineEnd");

    /// Unsent output, in bytes, beyond which no further line is handled on connections that a budget limits.
    constexpr size_t maxUnsentBytes = 64 * 1024;

    /// Input that is buffered on such connections while a line is handled.
    constexpr size_t maxInputAhead = 64 * 1024;

    /// Capacity of an empty buffer, in bytes, beyond which its memory is released: a part of a small account's.
    constexpr size_t keptBufferBytes = MemoryBudget::smallBytes / 4;

    /// Receive buffer of such connections. The kernel may use twice as much.
    constexpr int receiveBufferBytes = 64 * 1024;

    /// The same for one from which reading is paused.
    constexpr int pausedReceiveBufferBytes = 4 * 1024;

    /// Interval at which the budget is consulted again.
    constexpr std::chrono::milliseconds readRetryInterval(20);

    /// Shared by all connections of the event loop: input is copied out of it before the next read.
    std::array<char, 64 * 1024> readBuffer;

    /// Empties a buffer and frees its memory.
    void release(std::string& buf) { std::string().swap(buf); }

    void setOption(int descriptor, int level, int name, int value)
    {
        // Failure is ignored: without the option a dead peer is only detected later.
        (void)::setsockopt(descriptor, level, name, &value, sizeof(value));
    }

} // namespace

LineSocket::LineSocket(tcp::socket socket, LineEnd lineEnd, size_t maxLine)
    : m_socket(std::move(socket))
    , m_lineEnd(lineEnd)
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

void LineSocket::setMemory(std::unique_ptr<MemoryAccount> account)
{
    m_memory = std::move(account);
    m_memory->set(MemoryUse::Connection, sizeof(LineSocket));
    m_limitsSender = !m_memory->ofServer();
    if (m_limitsSender)
        setOption(m_socket.native_handle(), SOL_SOCKET, SO_RCVBUF, receiveBufferBytes);
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

bool LineSocket::blocked() const { return m_paused || (m_limitsSender && m_out.size() > maxUnsentBytes); }

bool LineSocket::stalled() const { return blocked() && m_in.size() > (m_limitsSender ? maxInputAhead : m_maxLine); }

void LineSocket::countMemory()
{
    if (m_memory == nullptr)
        return;
    m_memory->set(MemoryUse::Input, m_in.capacity());
    m_memory->set(MemoryUse::Output, m_out.capacity());
    m_memory->set(MemoryUse::Unread, m_limitsSender && (m_readTimer != nullptr || stalled()) ? receiveBufferBytes : 0);
}

void LineSocket::awaitInput()
{
    if (!m_open || m_ended || m_reading || m_closing)
        return;
    m_reading = true;
    m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code& ec) {
        self->m_reading = false;
        if (!ec && self->m_open)
            self->readAvailable();
    });
}

void LineSocket::pauseReading()
{
    m_reading = true;
    if (m_readTimer == nullptr) {
        m_readTimer = std::make_unique<boost::asio::steady_timer>(m_socket.get_executor());
        if (m_limitsSender)
            setOption(m_socket.native_handle(), SOL_SOCKET, SO_RCVBUF, pausedReceiveBufferBytes);
        countMemory();
    }
    m_readTimer->expires_after(readRetryInterval);
    m_readTimer->async_wait([self = shared_from_this()](const boost::system::error_code& ec) {
        self->m_reading = false;
        if (!ec && self->m_open)
            self->readAvailable();
    });
}

void LineSocket::readAvailable()
{
    if (m_closing || stalled())
        return;
    size_t limit = readBuffer.size();
    if (m_memory != nullptr) {
        limit = m_memory->readAllowance(limit);
        if (limit == 0) {
            pauseReading();
            return;
        }
        if (m_readTimer != nullptr) {
            m_readTimer.reset();
            if (m_limitsSender)
                setOption(m_socket.native_handle(), SOL_SOCKET, SO_RCVBUF, receiveBufferBytes);
        }
    }
    boost::system::error_code ec;
    const size_t n = m_socket.read_some(boost::asio::buffer(readBuffer.data(), limit), ec);
    if (ec == boost::asio::error::would_block) {
        countMemory();
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
    // While a statement runs, some input is buffered. Beyond that, reading stops and the sender has to wait.
    if (!stalled())
        awaitInput();
    countMemory();
}

void LineSocket::deliver()
{
    if (m_delivering)
        return;
    m_delivering = true;
    // Copied, as the handler may close the socket, which destroys the handlers.
    const std::function<bool(std::string_view)> line = m_handlers.line;
    const std::string_view lineEnd = lineEnds[static_cast<size_t>(m_lineEnd)];
    bool tooLong = false;
    size_t start = 0;
    while (m_open && !m_closing && !blocked()) {
        const size_t end = m_in.find(lineEnd, std::max(start, m_searched));
        // The input may end within a line end.
        m_searched = end == std::string::npos ? m_in.size() - std::min(m_in.size() - start, lineEnd.size() - 1) : end;
        const size_t length = std::min(end, m_searched) - start;
        tooLong = length > m_maxLine;
        if (tooLong || end == std::string::npos)
            break;
        try {
            m_paused = !line(std::string_view(m_in).substr(start, length));
        } catch (const std::exception& error) {
            // An unexpected line ends its own connection only.
            logEvent(LogEvent::InternalFailure, { { "error", error.what() }, { "line_bytes", length } });
            boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->fail(false); });
            m_paused = true;
        }
        start = end + lineEnd.size();
    }
    m_delivering = false;
    if (!m_open && m_memory == nullptr) {
        release(m_in);
        return;
    }
    m_in.erase(0, start);
    m_searched -= std::min(m_searched, start);
    if (m_in.empty() && m_in.capacity() > keptBufferBytes)
        release(m_in);
    else if (m_in.capacity() > readBuffer.size() && m_in.size() < m_in.capacity() / 4)
        m_in.shrink_to_fit();
    if (tooLong)
        fail(true);
}

void LineSocket::resume()
{
    if (!m_paused)
        return;
    m_paused = false;
    deliverLater();
}

void LineSocket::deliverLater()
{
    if (m_in.empty() || !m_open || m_closing)
        return;
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        self->deliver();
        if (self->m_open && !self->stalled())
            self->awaitInput();
        self->countMemory();
    });
}

void LineSocket::send(std::string_view text)
{
    if (m_closing)
        return;
    m_out.append(text);
    if (m_open && !m_writing)
        writeAvailable();
    countMemory();
}

void LineSocket::writeAvailable()
{
    const bool wasBlocked = blocked();
    size_t sent = 0;
    while (sent < m_out.size() && m_open) {
        boost::system::error_code ec;
        sent += m_socket.write_some(boost::asio::buffer(m_out.data() + sent, m_out.size() - sent), ec);
        if (ec == boost::asio::error::would_block) {
            awaitOutput();
            break;
        }
        if (ec) {
            boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->fail(false); });
            return;
        }
    }
    m_out.erase(0, sent);
    if (m_out.empty() && m_out.capacity() > keptBufferBytes)
        release(m_out);
    if (m_out.empty() && m_closing && m_open) {
        close();
        return;
    }
    if (wasBlocked && !blocked())
        deliverLater();
}

void LineSocket::awaitOutput()
{
    m_writing = true;
    m_socket.async_wait(tcp::socket::wait_write, [self = shared_from_this()](const boost::system::error_code& ec) {
        self->m_writing = false;
        if (ec)
            return;
        self->writeAvailable();
        self->countMemory();
    });
}

void LineSocket::closeAfterSend()
{
    m_closing = true;
    // Their owner may end before the output has been sent.
    m_handlers = {};
    if (!m_writing)
        writeAvailable();
}

void LineSocket::close()
{
    m_closing = true;
    m_open = false;
    m_handlers = {};
    // Moved out first: the account's owner may be called while it ends.
    const std::unique_ptr<MemoryAccount> account = std::move(m_memory);
    if (m_readTimer != nullptr)
        m_readTimer->cancel();
    if (!m_delivering)
        release(m_in);
    release(m_out);
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
        m_ended = true;
        release(m_in);
        m_searched = 0;
        countMemory();
        if (closed)
            closed(true);
        return;
    }
    close();
    if (closed)
        closed(false);
}

} // namespace plantainwall

#include "fault_proxy_route.h"
#include <stdexcept>

namespace plantainwall {

namespace {

    using tcp = boost::asio::ip::tcp;

    // Chunks waiting in one direction before reading stops; bounds the memory of a slow or frozen connection.
    const size_t maxQueuedChunks = 256;

    const char* const modeNames[] = { "pass", "cut", "freeze", "delay", "drop_answers" };
    static_assert(std::size(modeNames) == static_cast<size_t>(FaultMode::Count));

} // namespace

const char* faultModeName(FaultMode mode) { return modeNames[static_cast<size_t>(mode)]; }

FaultMode faultModeFromName(const std::string& name)
{
    for (size_t i = 0; i < std::size(modeNames); ++i) {
        if (name == modeNames[i])
            return static_cast<FaultMode>(i);
    }
    throw std::invalid_argument("unknown fault mode \"" + name + "\"");
}

ProxyConnection::Stream::Stream(boost::asio::io_context& context, tcp::socket& from, tcp::socket& to, bool toTarget)
    : from(from)
    , to(to)
    , toTarget(toTarget)
    , timer(context)
{
}

ProxyConnection::ProxyConnection(
    boost::asio::io_context& context, tcp::socket caller, std::shared_ptr<ProxyRoute> route)
    : m_caller(std::move(caller))
    , m_target(context)
    , m_route(std::move(route))
    , m_toTarget(context, m_caller, m_target, true)
    , m_fromTarget(context, m_target, m_caller, false)
{
}

void ProxyConnection::start()
{
    if (m_started || m_closed || m_fault.mode == FaultMode::Freeze)
        return;
    m_started = true;
    m_target.async_connect(m_route->target(), [self = shared_from_this()](boost::system::error_code ec) {
        if (ec || self->m_closed) {
            self->close();
            return;
        }
        self->m_connected = true;
        boost::system::error_code ignored;
        self->m_caller.set_option(tcp::no_delay(true), ignored);
        self->m_target.set_option(tcp::no_delay(true), ignored);
        self->read(self->m_toTarget);
        self->read(self->m_fromTarget);
    });
}

void ProxyConnection::setFault(const Fault& fault)
{
    m_fault = fault;
    start();
    if (!m_connected)
        return;
    for (Stream* stream : { &m_toTarget, &m_fromTarget }) {
        read(*stream);
        write(*stream);
    }
}

void ProxyConnection::close()
{
    if (m_closed)
        return;
    m_closed = true;
    boost::system::error_code ignored;
    m_caller.close(ignored);
    m_target.close(ignored);
    m_toTarget.timer.cancel(ignored);
    m_fromTarget.timer.cancel(ignored);
    m_route->remove(shared_from_this());
}

void ProxyConnection::read(Stream& stream)
{
    if (m_closed || stream.reading || stream.endRead || m_fault.mode == FaultMode::Freeze
        || stream.chunks.size() >= maxQueuedChunks)
        return;
    stream.reading = true;
    stream.from.async_read_some(boost::asio::buffer(stream.buffer),
        [self = shared_from_this(), &stream](boost::system::error_code ec, size_t bytes) {
            stream.reading = false;
            if (self->m_closed)
                return;
            if (ec && ec != boost::asio::error::eof) {
                self->close();
                return;
            }
            self->received(stream, bytes, ec == boost::asio::error::eof);
        });
}

void ProxyConnection::received(Stream& stream, size_t bytes, bool end)
{
    stream.endRead = end;
    const bool dropped = m_fault.mode == FaultMode::DropAnswers && !stream.toTarget && !end;
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    if (!dropped)
        stream.chunks.push_back(
            { now + (m_fault.mode == FaultMode::Delay ? m_fault.delay : std::chrono::microseconds(0)),
                std::string(stream.buffer.data(), end ? 0 : bytes) });
    write(stream);
    read(stream);
}

void ProxyConnection::write(Stream& stream)
{
    if (m_closed || stream.writing || stream.waiting || stream.chunks.empty() || m_fault.mode == FaultMode::Freeze)
        return;
    const Chunk& next = stream.chunks.front();
    if (next.due > std::chrono::steady_clock::now()) {
        stream.waiting = true;
        stream.timer.expires_at(next.due);
        stream.timer.async_wait([self = shared_from_this(), &stream](boost::system::error_code) {
            stream.waiting = false;
            self->write(stream);
        });
        return;
    }
    if (next.data.empty()) {
        sendEnd(stream);
        return;
    }
    stream.writing = true;
    boost::asio::async_write(stream.to, boost::asio::buffer(next.data),
        [self = shared_from_this(), &stream](boost::system::error_code ec, size_t bytes) {
            stream.writing = false;
            if (ec) {
                self->close();
                return;
            }
            RouteStats& stats = self->m_route->stats();
            (stream.toTarget ? stats.bytesToTarget : stats.bytesFromTarget) += bytes;
            stream.chunks.pop_front();
            self->write(stream);
            self->read(stream);
        });
}

/// Passes the end of one direction on; the connection closes when both have ended.
void ProxyConnection::sendEnd(Stream& stream)
{
    stream.chunks.pop_front();
    stream.endSent = true;
    boost::system::error_code ignored;
    stream.to.shutdown(tcp::socket::shutdown_send, ignored);
    if (m_toTarget.endSent && m_fromTarget.endSent)
        close();
}

ProxyRoute::ProxyRoute(boost::asio::io_context& context, tcp::endpoint listen, tcp::endpoint target)
    : m_context(context)
    , m_listen(std::move(listen))
    , m_target(std::move(target))
    , m_acceptor(context)
{
}

void ProxyRoute::start()
{
    m_acceptor.open(m_listen.protocol());
    m_acceptor.set_option(tcp::acceptor::reuse_address(true));
    m_acceptor.bind(m_listen);
    m_acceptor.listen();
    accept();
}

void ProxyRoute::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](boost::system::error_code ec, tcp::socket socket) {
        // Out of file descriptors or a connection reset before it was accepted; the listener itself is still good.
        if (ec && self->m_acceptor.is_open() && ec != boost::asio::error::operation_aborted) {
            self->accept();
            return;
        }
        if (ec)
            return;
        ++self->m_stats.accepted;
        const std::shared_ptr<ProxyConnection> connection
            = std::make_shared<ProxyConnection>(self->m_context, std::move(socket), self);
        self->m_connections.insert(connection);
        if (!self->m_fault.existingOnly)
            connection->setFault(self->m_fault);
        else
            connection->start();
        self->accept();
    });
}

void ProxyRoute::setFault(const Fault& fault)
{
    const bool wasCut = m_fault.mode == FaultMode::Cut;
    m_fault = fault;
    const std::set<std::shared_ptr<ProxyConnection>> connections = m_connections;
    for (const std::shared_ptr<ProxyConnection>& connection : connections) {
        if (fault.mode == FaultMode::Cut)
            connection->close();
        else
            connection->setFault(fault);
    }
    if (fault.mode == FaultMode::Cut)
        m_acceptor.close();
    else if (wasCut)
        start();
}

} // namespace plantainwall

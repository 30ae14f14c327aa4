#include "support_wire_stream.h"
#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace plantainwall::test {

namespace {

    using boost::asio::ip::tcp;

    constexpr std::string_view lineEnd = "\r\n";
    constexpr size_t readBytes = 16 * 1024;

    /// Pause between two segments: long enough for the receiver to read the first one alone.
    constexpr std::chrono::milliseconds segmentPause(2);

} // namespace

WireStream::WireStream(tcp::socket socket)
    : m_socket(std::move(socket))
    , m_pause(m_socket.get_executor())
    , m_buffer(readBytes, '\0')
{
}

void WireStream::start(Handlers handlers)
{
    m_handlers = std::move(handlers);
    boost::system::error_code ec;
    m_socket.set_option(tcp::no_delay(true), ec);
    m_open = true;
    read();
    write();
}

void WireStream::connect(const tcp::endpoint& endpoint, Handlers handlers)
{
    m_handlers = std::move(handlers);
    m_socket.async_connect(endpoint, [self = shared_from_this()](const boost::system::error_code& ec) {
        if (self->m_closing)
            return;
        if (ec) {
            self->fail();
            return;
        }
        const std::function<void()> connected = self->m_handlers.connected;
        self->start(std::move(self->m_handlers));
        if (connected)
            connected();
    });
}

void WireStream::read()
{
    m_socket.async_read_some(
        boost::asio::buffer(m_buffer), [self = shared_from_this()](const boost::system::error_code& ec, size_t n) {
            if (!self->m_open)
                return;
            if (ec) {
                self->fail();
                return;
            }
            self->m_in.append(self->m_buffer, 0, n);
            self->deliver();
            if (self->m_open)
                self->read();
        });
}

void WireStream::deliver()
{
    const std::function<void(std::string_view)> message = m_handlers.message;
    size_t start = 0;
    for (size_t end = m_in.find(lineEnd); end != std::string::npos && !m_closing; end = m_in.find(lineEnd, start)) {
        message(std::string_view(m_in).substr(start, end - start));
        start = end + lineEnd.size();
    }
    m_in.erase(0, start);
}

void WireStream::cutSegments(unsigned oneOf, uint64_t seed)
{
    m_cutOneOf = oneOf;
    m_random.seed(seed);
}

void WireStream::send(std::string_view text)
{
    if (m_closing || text.empty())
        return;
    if (m_cutOneOf != 0 && text.size() > 1 && m_random() % m_cutOneOf == 0) {
        const size_t end = text.rfind(lineEnd);
        const bool withinLineEnd = m_random() % 2 == 0 && end != std::string_view::npos;
        const size_t cut = withinLineEnd ? end + 1 : 1 + m_random() % (text.size() - 1);
        m_segments.push_back({ std::string(text.substr(0, cut)), true });
        m_segments.push_back({ std::string(text.substr(cut)), false });
    } else
        m_segments.push_back({ std::string(text), false });
    write();
}

void WireStream::write()
{
    if (!m_open || m_writing || m_segments.empty())
        return;
    m_writing = true;
    boost::asio::async_write(m_socket, boost::asio::buffer(m_segments.front().text),
        [self = shared_from_this()](const boost::system::error_code& ec, size_t) {
            const bool pause = self->m_segments.front().pauseAfter;
            self->m_segments.pop_front();
            if (ec || !self->m_open)
                return; // The reader reports the end of the connection.
            if (!pause) {
                self->m_writing = false;
                if (self->m_segments.empty() && self->m_closing)
                    self->close();
                self->write();
                return;
            }
            self->m_pause.expires_after(segmentPause);
            self->m_pause.async_wait([self](const boost::system::error_code& waitError) {
                self->m_writing = false;
                if (!waitError)
                    self->write();
            });
        });
}

void WireStream::closeAfterSend()
{
    m_closing = true;
    m_handlers = {};
    if (m_segments.empty())
        close();
}

void WireStream::close()
{
    m_closing = true;
    m_open = false;
    m_handlers = {};
    m_pause.cancel();
    boost::system::error_code ec;
    m_socket.close(ec);
}

void WireStream::fail()
{
    const std::function<void()> closed = std::move(m_handlers.closed);
    close();
    if (closed)
        closed();
}

} // namespace plantainwall::test

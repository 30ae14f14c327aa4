#include "support_datagram_route.h"
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <string>

namespace plantainwall::test {

using boost::asio::ip::udp;

DatagramRoute::DatagramRoute(boost::asio::io_context& loop, uint16_t from, uint16_t to)
    : m_loop(loop)
    , m_socket(loop, udp::endpoint(boost::asio::ip::address_v4::loopback(), from))
    , m_target(boost::asio::ip::address_v4::loopback(), to)
{
    receive();
}

void DatagramRoute::receive()
{
    m_socket.async_receive_from(
        boost::asio::buffer(m_buffer), m_sender, [this](const boost::system::error_code& ec, size_t n) {
            if (ec == boost::asio::error::operation_aborted)
                return;
            if (!ec && !m_lost) {
                const std::shared_ptr<std::string> text = std::make_shared<std::string>(m_buffer.data(), n);
                const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, m_delay);
                timer->async_wait([this, timer, text](const boost::system::error_code&) {
                    boost::system::error_code ignored; // A host that is down loses its datagrams.
                    m_socket.send_to(boost::asio::buffer(*text), m_target, 0, ignored);
                });
            }
            receive();
        });
}

} // namespace plantainwall::test

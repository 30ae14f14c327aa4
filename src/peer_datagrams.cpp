#include "peer_datagrams.h"
#include "endpoint.h"

namespace plantainwall {

using boost::asio::ip::udp;

PeerDatagrams::PeerDatagrams(boost::asio::io_context& loop, const std::string& address)
    : m_socket(loop)
    , m_buffer()
{
    const udp::endpoint endpoint = endpointOf<udp::endpoint>(address);
    m_socket.open(endpoint.protocol());
    m_socket.bind(endpoint);
    m_socket.non_blocking(true);
}

void PeerDatagrams::start(std::function<void(const std::string&)> handler)
{
    m_handler = std::move(handler);
    receive();
}

void PeerDatagrams::send(const std::string& address, const std::string& datagram)
{
    // Errors are ignored: reports are sent periodically, so the next one replaces a lost one.
    boost::system::error_code ec;
    m_socket.send_to(boost::asio::buffer(datagram), endpointOf<udp::endpoint>(address), 0, ec);
}

void PeerDatagrams::receive()
{
    m_socket.async_receive_from(
        boost::asio::buffer(m_buffer), m_sender, [this](const boost::system::error_code& ec, size_t n) {
            if (ec == boost::asio::error::operation_aborted)
                return;
            const std::string datagram = ec ? std::string() : std::string(m_buffer.data(), n);
            receive(); // First, so that an error in the handler does not end the reception.
            if (!ec)
                m_handler(datagram);
        });
}

} // namespace plantainwall

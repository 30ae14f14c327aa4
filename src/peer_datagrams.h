#pragma once

#include "gateway_ports.h"
#include <array>
#include <boost/asio/ip/udp.hpp>

namespace plantainwall {

/// Datagrams between entry hosts over UDP.
class PeerDatagrams final : public PeerChannel {
public:
    /// Binds to address (ip:port). Throws boost::system::system_error.
    PeerDatagrams(boost::asio::io_context&, const std::string& address);

    /// Starts receiving. handler is called with every datagram.
    void start(std::function<void(const std::string&)> handler);

    void send(const std::string& address, const std::string& datagram) override;

private:
    void receive();

    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, 65536> m_buffer;
    std::function<void(const std::string&)> m_handler;
};

} // namespace plantainwall

#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <memory>

namespace plantainwall::test {

/// Passes datagrams to another port of 127.0.0.1, late or not at all if a fault is set. Lives as long as its event
/// loop.
class DatagramRoute {
public:
    DatagramRoute(boost::asio::io_context&, uint16_t from, uint16_t to);

    void setLost(bool lost) { m_lost = lost; }
    void setDelay(std::chrono::milliseconds delay) { m_delay = delay; }

private:
    void receive();

    boost::asio::io_context& m_loop;
    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    boost::asio::ip::udp::endpoint m_target;
    std::array<char, 65536> m_buffer {};
    bool m_lost = false;
    std::chrono::milliseconds m_delay { 0 };
};

} // namespace plantainwall::test

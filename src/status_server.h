#pragma once

#include "plantainwall/plantainwall.h"
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>

namespace plantainwall {

/// HTTP server for probes: /metrics returns the metrics; every other path returns 200 if the host is ready, else 503.
class StatusServer {
public:
    /// Listens on an address of the form ip:port.
    /// @throws boost::system::system_error if the address cannot be bound.
    StatusServer(boost::asio::io_context&, const std::string& address, std::function<bool()> ready,
        std::function<std::string()> metrics);

    /// Stops listening.
    void stop();

private:
    class Connection;

    void accept();
    void makeRoom();

    boost::asio::io_context& m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::function<bool()> m_ready;
    std::function<std::string()> m_metrics;
    std::list<std::weak_ptr<Connection>> m_connections; ///< The oldest first; some may have ended.
};

} // namespace plantainwall

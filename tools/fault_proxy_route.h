#pragma once

#include <array>
#include <boost/asio.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <set>
#include <string>

namespace plantainwall {

enum class FaultMode : uint8_t {
    Pass,
    Cut, ///< Open connections are closed, new ones refused.
    Freeze, ///< Connections stay open and pass nothing.
    Delay, ///< Each chunk is delayed, each way.
    DropAnswers, ///< What comes from the target is discarded.
    Count
};

/// Returns the name of a mode in control calls.
const char* faultModeName(FaultMode);

/// Throws std::invalid_argument for an unknown name.
FaultMode faultModeFromName(const std::string&);

struct Fault {
    FaultMode mode = FaultMode::Pass;
    std::chrono::microseconds delay {};
    bool existingOnly = false; ///< Freeze: connections accepted later pass everything.
};

struct RouteStats {
    uint64_t accepted = 0;
    uint64_t bytesToTarget = 0;
    uint64_t bytesFromTarget = 0;
};

class ProxyRoute;

/// One accepted connection and its connection to the target.
class ProxyConnection : public std::enable_shared_from_this<ProxyConnection> {
public:
    ProxyConnection(boost::asio::io_context&, boost::asio::ip::tcp::socket, std::shared_ptr<ProxyRoute>);

    /// Connects to the target, unless frozen, and passes data.
    void start();
    void setFault(const Fault&);
    void close();

private:
    struct Chunk {
        std::chrono::steady_clock::time_point due;
        std::string data; ///< Empty: end of the stream.
    };

    /// One direction of the connection.
    struct Stream {
        Stream(boost::asio::io_context&, boost::asio::ip::tcp::socket& from, boost::asio::ip::tcp::socket& to,
            bool toTarget);

        boost::asio::ip::tcp::socket& from;
        boost::asio::ip::tcp::socket& to;
        const bool toTarget;
        boost::asio::steady_timer timer;
        std::array<char, 16384> buffer {};
        std::deque<Chunk> chunks;
        bool reading = false;
        bool writing = false;
        bool waiting = false;
        bool endRead = false;
        bool endSent = false;
    };

    void read(Stream&);
    void write(Stream&);
    void received(Stream&, size_t bytes, bool end);
    void sendEnd(Stream&);

    boost::asio::ip::tcp::socket m_caller;
    boost::asio::ip::tcp::socket m_target;
    std::shared_ptr<ProxyRoute> m_route;
    Fault m_fault;
    bool m_started = false;
    bool m_connected = false;
    bool m_closed = false;
    Stream m_toTarget;
    Stream m_fromTarget;
};

/// One listening address and its target. All calls on the thread of the io_context.
class ProxyRoute : public std::enable_shared_from_this<ProxyRoute> {
public:
    ProxyRoute(boost::asio::io_context&, boost::asio::ip::tcp::endpoint listen, boost::asio::ip::tcp::endpoint target);

    /// Listens. Throws system_error if it cannot.
    void start();
    void setFault(const Fault&);
    void remove(const std::shared_ptr<ProxyConnection>& connection) { m_connections.erase(connection); }

    uint16_t listenPort() const { return m_listen.port(); }
    const boost::asio::ip::tcp::endpoint& target() const { return m_target; }
    FaultMode mode() const { return m_fault.mode; }
    uint64_t connectionsOpen() const { return m_connections.size(); }
    RouteStats& stats() { return m_stats; }

private:
    void accept();

    boost::asio::io_context& m_context;
    const boost::asio::ip::tcp::endpoint m_listen;
    const boost::asio::ip::tcp::endpoint m_target;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Fault m_fault;
    std::set<std::shared_ptr<ProxyConnection>> m_connections;
    RouteStats m_stats;
};

} // namespace plantainwall

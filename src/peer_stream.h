#pragma once

#include "gateway_ports.h"
#include "link_lender.h"
#include "memory_budget.h"
#include "metrics.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

namespace plantainwall {

/// Streams of lines to other entry hosts over TCP. They carry the replies of backend servers, and are counted like
/// connections to those.
class TcpPeerStreams final : public PeerStreams {
public:
    /// @param budget Counts what is being received. Must outlive the loop.
    TcpPeerStreams(boost::asio::io_context&, MemoryBudget& budget);
    std::unique_ptr<PeerStream> connect(const std::string& address, Handlers) override;

private:
    boost::asio::io_context& m_loop;
    MemoryBudget& m_budget;
};

/// Accepts streams from other entry hosts and lends connections to backend servers over them.
class LenderPort {
public:
    using MakeLender = std::function<std::unique_ptr<LinkLender>(LinkLender::Send)>;

    /// Listens on address (ip:port). Throws boost::system::system_error.
    LenderPort(boost::asio::io_context&, const std::string& address, MemoryBudget&, Metrics&, MakeLender);
    ~LenderPort();

    /// Closes ended streams. Must be called every few milliseconds.
    void tick();

    /// Returns the number of connections currently lent.
    size_t lent() const;

private:
    struct Borrower;

    void accept();
    void admit(boost::asio::ip::tcp::socket);
    /// Ends the oldest stream that borrows nothing if there are too many. Returns whether one more may be accepted.
    bool makeRoom();
    void handleLine(Borrower&, std::string_view);

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_retryTimer;
    MemoryBudget& m_budget;
    Metrics& m_metrics;
    MakeLender m_makeLender;
    std::vector<std::unique_ptr<Borrower>> m_borrowers;
};

} // namespace plantainwall

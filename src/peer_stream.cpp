#include "peer_stream.h"
#include "caller_memory.h"
#include "endpoint.h"
#include "line_socket.h"
#include "log_event.h"
#include <algorithm>
#include <boost/asio/post.hpp>

namespace plantainwall {

namespace {

    using boost::asio::ip::tcp;

    /// Streams of other hosts beyond which those that borrow nothing end, the oldest first.
    constexpr size_t maxWithUnused = 300;

    /// Streams of other hosts. A fleet has fewer hosts that borrow from one, also while streams of hosts that restarted
    /// have not ended yet.
    constexpr size_t maxBorrowers = 2048;

    /// Pause after a failed accept.
    constexpr std::chrono::milliseconds acceptPause(100);

    class TcpPeerStream final : public PeerStream {
    public:
        TcpPeerStream(boost::asio::io_context& loop, const std::string& address, const PeerStreams::Handlers& handlers,
            MemoryBudget& budget)
            : m_socket(std::make_shared<LineSocket>(tcp::socket(loop), LineEnd::Lf, maxLineToBorrower))
        {
            const tcp::endpoint endpoint = endpointOf<tcp::endpoint>(address);
            if (endpoint.port() == 0) {
                boost::asio::post(loop, [alive = std::weak_ptr<LineSocket>(m_socket), closed = handlers.closed] {
                    if (alive.lock())
                        closed();
                });
                return;
            }
            LineSocket::Handlers lines;
            lines.line = [line = handlers.line](std::string_view text) {
                line(text);
                return true;
            };
            lines.closed = [closed = handlers.closed](bool) { closed(); };
            m_socket->setMemory(std::make_unique<MemoryAccount>(budget, ownerServers, nullptr));
            m_socket->connect(endpoint, std::move(lines));
        }

        ~TcpPeerStream() override { m_socket->close(); }

        void send(const std::string& line) override { m_socket->send(line + "\n"); }

    private:
        std::shared_ptr<LineSocket> m_socket;
    };

} // namespace

TcpPeerStreams::TcpPeerStreams(boost::asio::io_context& loop, MemoryBudget& budget)
    : m_loop(loop)
    , m_budget(budget)
{
}

std::unique_ptr<PeerStream> TcpPeerStreams::connect(const std::string& address, Handlers handlers)
{
    return std::make_unique<TcpPeerStream>(m_loop, address, handlers, m_budget);
}

struct LenderPort::Borrower {
    std::shared_ptr<LineSocket> socket;
    std::unique_ptr<LinkLender> lender;
    bool ended = false;
};

LenderPort::LenderPort(boost::asio::io_context& loop, const std::string& address, MemoryBudget& budget,
    Metrics& metrics, MakeLender makeLender)
    : m_acceptor(loop, endpointOf<tcp::endpoint>(address))
    , m_retryTimer(loop)
    , m_budget(budget)
    , m_metrics(metrics)
    , m_makeLender(std::move(makeLender))
{
    accept();
}

LenderPort::~LenderPort() = default;

void LenderPort::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code& ec, tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted)
            return;
        if (ec) {
            // Without descriptors the next attempt would fail at once.
            m_retryTimer.expires_after(acceptPause);
            m_retryTimer.async_wait([this](const boost::system::error_code& ended) {
                if (!ended)
                    accept();
            });
            return;
        }
        if (makeRoom())
            admit(std::move(socket));
        accept();
    });
}

bool LenderPort::makeRoom()
{
    const auto unused = [](const std::unique_ptr<Borrower>& it) { return !it->ended && it->lender->size() == 0; };
    const auto open = [](const std::unique_ptr<Borrower>& it) { return !it->ended; };
    const auto n = static_cast<size_t>(std::count_if(m_borrowers.begin(), m_borrowers.end(), open));
    if (n < maxWithUnused)
        return true;
    const auto it = std::find_if(m_borrowers.begin(), m_borrowers.end(), unused);
    if (it == m_borrowers.end()) {
        if (n < maxBorrowers)
            return true;
        m_metrics.count(MetricCounter::ConnectionsRefused);
        logEvent(LogEvent::ConnectionLimitReached, { { "reason", "all streams of other hosts borrow connections" } });
        return false;
    }
    logEvent(LogEvent::ConnectionEndedForRoom, { { "port", "peers" } });
    (*it)->ended = true;
    (*it)->socket->close();
    return true;
}

void LenderPort::admit(tcp::socket socket)
{
    m_borrowers.push_back(std::make_unique<Borrower>());
    Borrower& borrower = *m_borrowers.back();
    borrower.socket = std::make_shared<LineSocket>(std::move(socket), LineEnd::Lf, maxLineToLender);
    borrower.socket->setMemory(std::make_unique<MemoryAccount>(m_budget, ownerPeers, [&borrower] {
        borrower.ended = true;
        borrower.socket->close();
    }));
    borrower.lender = m_makeLender([socket = borrower.socket](const std::string& line) { socket->send(line + "\n"); });
    LineSocket::Handlers handlers;
    handlers.line = [this, &borrower](std::string_view text) {
        handleLine(borrower, text);
        return !borrower.ended;
    };
    handlers.closed = [&borrower](bool) { borrower.ended = true; };
    borrower.socket->start(std::move(handlers));
}

void LenderPort::handleLine(Borrower& borrower, std::string_view text)
{
    try {
        borrower.lender->line(text);
        if (borrower.socket->memory() != nullptr)
            borrower.socket->memory()->setLends(borrower.lender->size() > 0);
    } catch (const std::exception& error) {
        logEvent(LogEvent::BadRequest, { { "from", "borrower of connections" }, { "reason", error.what() } });
        borrower.ended = true;
    }
}

void LenderPort::tick()
{
    for (const std::unique_ptr<Borrower>& it : m_borrowers) {
        if (it->ended)
            it->socket->close();
        it->lender->tick();
        if (it->socket->memory() != nullptr)
            it->socket->memory()->setLends(it->lender->size() > 0);
    }
    m_borrowers.erase(std::remove_if(m_borrowers.begin(), m_borrowers.end(),
                          [](const std::unique_ptr<Borrower>& it) { return it->ended; }),
        m_borrowers.end());
}

size_t LenderPort::lent() const
{
    size_t n = 0;
    for (const std::unique_ptr<Borrower>& it : m_borrowers)
        n += it->lender->size();
    return n;
}

} // namespace plantainwall

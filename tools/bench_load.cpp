#include "bench_load.h"
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/histogram.hpp>
#include <deque>
#include <iomanip>
#include <sstream>

namespace plantainwall::bench {

namespace {

    namespace asio = boost::asio;
    namespace beast = boost::beast;
    namespace http = boost::beast::http;
    namespace histogram = boost::histogram;
    using Clock = std::chrono::steady_clock;
    using LogAxis = histogram::axis::regular<double, histogram::axis::transform::log>;
    using Latencies = decltype(histogram::make_histogram(LogAxis()));

    constexpr double lowestMs = 0.05;
    constexpr double highestMs = 20000;
    constexpr unsigned bins = 400; // 3% wide.

    asio::ip::tcp::endpoint endpointOf(const std::string& address)
    {
        const size_t colon = address.rfind(':');
        return { asio::ip::make_address(address.substr(0, colon)),
            static_cast<uint16_t>(std::stoul(address.substr(colon + 1))) };
    }

    double quantile(const Latencies& latencies, double part)
    {
        double total = 0;
        for (const auto& bin : histogram::indexed(latencies, histogram::coverage::all))
            total += static_cast<double>(*bin);
        double sum = 0;
        for (const auto& bin : histogram::indexed(latencies, histogram::coverage::all)) {
            sum += static_cast<double>(*bin);
            if (sum >= part * total)
                return bin.bin().upper();
        }
        return 0;
    }

    /// One line for each non-empty doubling of the latency.
    std::string plotOf(const Latencies& latencies)
    {
        std::map<int, double> counts;
        double most = 1;
        for (const auto& bin : histogram::indexed(latencies)) {
            if (*bin > 0) {
                double& count = counts[static_cast<int>(std::floor(std::log2(bin.bin().center())))];
                count += static_cast<double>(*bin);
                most = std::max(most, count);
            }
        }
        std::ostringstream text;
        for (const std::pair<const int, double>& line : counts) {
            const size_t width = static_cast<size_t>(std::ceil(50 * line.second / most));
            text << std::setw(10) << std::pow(2, line.first) << " ms " << std::setw(8) << line.second << ' '
                 << std::string(width, '#') << '\n';
        }
        return text.str();
    }

    struct Connection {
        explicit Connection(asio::io_context& context)
            : socket(context)
        {
        }
        asio::ip::tcp::socket socket;
        beast::flat_buffer buffer;
        http::response<http::string_body> response;
        std::string request;
        Clock::time_point arrival;
    };

    class Generator {
    public:
        explicit Generator(const LoadPlan& plan)
            : m_plan(plan)
            , m_timer(m_context)
            , m_random(plan.seed)
            , m_latencies(histogram::make_histogram(LogAxis(bins, lowestMs, highestMs)))
        {
            for (size_t i = 0; i < plan.connections; ++i) {
                m_connections.push_back(std::make_unique<Connection>(m_context));
                m_connections.back()->socket.connect(endpointOf(plan.address));
                m_connections.back()->socket.set_option(asio::ip::tcp::no_delay(true));
                m_connections.back()->request = plan.requests[i % plan.requests.size()];
                m_free.push_back(m_connections.back().get());
            }
        }

        LoadFigures run()
        {
            m_start = Clock::now();
            m_end = m_start + m_plan.length;
            m_nextArrival = m_start;
            release();
            m_context.run();
            LoadFigures figures;
            figures.perSecond = m_answered * 1e6 / static_cast<double>(m_plan.length.count());
            figures.failed = m_failed;
            figures.p50 = quantile(m_latencies, 0.5);
            figures.p99 = quantile(m_latencies, 0.99);
            figures.plot = plotOf(m_latencies);
            return figures;
        }

    private:
        /// Lets the requests arrive whose time has come.
        void release()
        {
            const Clock::time_point now = Clock::now();
            while (m_nextArrival <= now && m_nextArrival < m_end) {
                m_waiting.push_back(m_nextArrival);
                const double gap = std::exponential_distribution<double>(m_plan.perSecond / 1e9)(m_random);
                m_nextArrival += std::chrono::nanoseconds(static_cast<int64_t>(gap));
            }
            startWaiting();
            if (now >= m_end) {
                stop();
                return;
            }
            m_timer.expires_after(std::chrono::microseconds(500));
            m_timer.async_wait([this](const boost::system::error_code&) { release(); });
        }

        void startWaiting()
        {
            while (!m_waiting.empty() && !m_free.empty()) {
                Connection* const connection = m_free.back();
                m_free.pop_back();
                connection->arrival = m_waiting.front();
                m_waiting.pop_front();
                asio::async_write(connection->socket, asio::buffer(connection->request),
                    [this, connection](const boost::system::error_code& ec, size_t) { read(connection, ec); });
            }
        }

        void read(Connection* connection, const boost::system::error_code& ec)
        {
            if (ec) {
                ++m_failed;
                return;
            }
            connection->response = {};
            http::async_read(connection->socket, connection->buffer, connection->response,
                [this, connection](const boost::system::error_code& error, size_t) { answered(connection, error); });
        }

        void answered(Connection* connection, const boost::system::error_code& ec)
        {
            if (m_stopped)
                return;
            if (ec) {
                ++m_failed;
                return;
            }
            const double latency
                = std::chrono::duration<double, std::milli>(Clock::now() - connection->arrival).count();
            m_latencies(latency);
            if (connection->response.result() == http::status::ok)
                ++m_answered;
            else
                ++m_failed;
            m_free.push_back(connection);
            startWaiting();
        }

        void stop()
        {
            m_stopped = true;
            boost::system::error_code ec;
            for (const std::unique_ptr<Connection>& connection : m_connections)
                connection->socket.close(ec);
        }

        LoadPlan m_plan;
        asio::io_context m_context { 1 };
        asio::steady_timer m_timer;
        std::mt19937_64 m_random;
        Latencies m_latencies;
        std::vector<std::unique_ptr<Connection>> m_connections;
        std::vector<Connection*> m_free;
        std::deque<Clock::time_point> m_waiting;
        Clock::time_point m_start;
        Clock::time_point m_end;
        Clock::time_point m_nextArrival;
        double m_answered = 0;
        double m_failed = 0;
        bool m_stopped = false;
    };

} // namespace

LoadFigures runLoad(const LoadPlan& plan) { return Generator(plan).run(); }

void withIdleConnections(
    const std::string& address, const std::string& request, size_t connections, const std::function<void()>& whileOpen)
{
    asio::io_context context;
    std::vector<std::unique_ptr<Connection>> open;
    for (size_t i = 0; i < connections; ++i) {
        open.push_back(std::make_unique<Connection>(context));
        Connection& connection = *open.back();
        connection.socket.connect(endpointOf(address));
        asio::write(connection.socket, asio::buffer(request));
        http::read(connection.socket, connection.buffer, connection.response);
    }
    whileOpen();
}

} // namespace plantainwall::bench

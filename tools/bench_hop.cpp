#include "bench_load.h"
#include "support_entry_host.h"
#include <algorithm>
#include <fstream>
#include <iostream>

namespace plantainwall::bench {

namespace {

    using std::chrono::seconds;

    constexpr size_t customers = 16; // At most 64 requests of a customer wait at a database.
    constexpr unsigned threads = 4;
    constexpr unsigned rounds = 3; // Both hops in turn, so that other load on the machine meets both.
    constexpr double saturation = 40000; // Requests/s; more than either hop serves.
    constexpr double lowRate = 200;
    constexpr size_t idleConnections = 1000;

    std::string requestText(
        const std::string& method, const std::string& target, const std::string& headers, const std::string& body)
    {
        return method + ' ' + target + " HTTP/1.1\r\nHost: 127.0.0.1\r\n" + headers
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    double residentBytes(test::Process& process)
    {
        std::ifstream file("/proc/" + std::to_string(process.pid()) + "/statm");
        double size = 0;
        double resident = 0;
        file >> size >> resident;
        return resident * 4096;
    }

    double median(std::vector<double> values)
    {
        std::sort(values.begin(), values.end());
        return values[values.size() / 2];
    }

    test::Fleet::Options fleetOptions()
    {
        test::Fleet::Options options;
        options.dataCentres = { "mill/huon" };
        options.group.slots = 64;
        options.group.connections = 300;
        return options;
    }

    /// An entry host and a bare hop in front of the same database stand-ins.
    class HopBench {
    public:
        HopBench()
            : m_fleet(fleetOptions())
            , m_bareAddress(test::loopback(test::reserveport()))
            , m_bare("bench/bench",
                  { "bare-hop", "--listen", m_bareAddress, "--target", "http://" + m_fleet.group().directAddress(0),
                      "--threads", std::to_string(threads) })
        {
            m_bareRequests = { requestText("GET", "/v1/status", "", "") };
            for (size_t i = 0; i < customers; ++i) {
                const std::string key = m_fleet.operators().addTeam("team-" + std::to_string(i), "ledger");
                m_requests.push_back(requestText("POST", "/v1/groups/g/query",
                    "Authorization: Bearer " + key + "\r\nContent-Type: application/json\r\n",
                    R"({"statements":["GET k"],"read_only":true})"));
            }
            const auto ready = [this] { return test::getJson(m_bareAddress, "/v1/status").status == 200; };
            if (!test::waitUntil(ready, test::Milliseconds(10000)))
                throw std::runtime_error("the bare hop does not answer: " + m_bare.output());
            load(false, 64, 500, seconds(1)); // Opens the connections to the databases.
            load(true, 64, 500, seconds(1));
        }

        void throughputAndLatency(Report& report, size_t connections)
        {
            std::vector<double> real;
            std::vector<double> bare;
            double failed = 0;
            for (unsigned i = 0; i < rounds; ++i) {
                bare.push_back(load(true, connections, saturation, seconds(3)).perSecond);
                const LoadFigures figures = load(false, connections, saturation, seconds(3));
                real.push_back(figures.perSecond);
                failed += figures.failed;
            }
            const std::string name = std::to_string(connections) + "_connections";
            Result throughput { "hop_throughput_ratio", "loopback", name, median(real) / median(bare), "ratio", 1.0,
                {} };
            throughput.details
                = { { "plantainwall_per_s", median(real) }, { "bare_per_s", median(bare) }, { "not_ok", failed } };
            report.add(throughput);
            latency(report, connections, 0.5 * std::min(median(real), median(bare)), "");
            latency(report, connections, lowRate, "_low_rate");
        }

        void idleBytes(Report& report)
        {
            const double real = idleBytesOf(m_fleet.at(0), m_requests[0], m_fleet.host(0).process());
            const double bare = idleBytesOf(m_bareAddress, m_bareRequests[0], m_bare);
            report.add({ "idle_connection_bytes", "loopback", std::to_string(idleConnections) + "_connections", real,
                "bytes", bare, {} });
        }

    private:
        LoadFigures load(bool bare, size_t connections, double perSecond, Duration length)
        {
            LoadPlan plan;
            plan.address = bare ? m_bareAddress : m_fleet.at(0);
            plan.requests = bare ? m_bareRequests : m_requests;
            plan.connections = connections;
            plan.perSecond = perSecond;
            plan.length = length;
            return runLoad(plan);
        }

        /// Both at the same rate: half of what the slower one serves, or a low rate at which nothing queues.
        void latency(Report& report, size_t connections, double perSecond, const std::string& suffix)
        {
            std::vector<double> p50[2];
            std::vector<double> p99[2];
            std::string plots[2];
            for (unsigned i = 0; i < rounds; ++i) {
                for (const bool bare : { true, false }) {
                    const LoadFigures figures = load(bare, connections, perSecond, seconds(3));
                    p50[bare].push_back(figures.p50);
                    p99[bare].push_back(figures.p99);
                    plots[bare] = figures.plot;
                }
            }
            Result result { "hop_latency_ratio", "loopback", std::to_string(connections) + "_connections" + suffix,
                median(p50[0]) / median(p50[1]), "ratio of medians", 1.0, {} };
            result.details = { { "per_s", perSecond }, { "plantainwall_p50_ms", median(p50[0]) },
                { "bare_p50_ms", median(p50[1]) }, { "plantainwall_p99_ms", median(p99[0]) },
                { "bare_p99_ms", median(p99[1]) } };
            report.add(result);
            std::cout << "plantainwall, last round:\n" << plots[0] << "bare hop, last round:\n" << plots[1];
        }

        static double idleBytesOf(const std::string& address, const std::string& request, test::Process& process)
        {
            const double before = residentBytes(process);
            double after = before;
            withIdleConnections(address, request, idleConnections, [&] { after = residentBytes(process); });
            return (after - before) / idleConnections;
        }

        test::Fleet m_fleet;
        std::string m_bareAddress;
        test::Process m_bare;
        std::vector<std::string> m_bareRequests;
        std::vector<std::string> m_requests; ///< One for each customer.
    };

} // namespace

void benchHop(Report& report)
{
    if (report.options().quick)
        return; // Depends on how busy the machine is.
    HopBench bench;
    bench.idleBytes(report); // First: memory that earlier load has left free would hide the connections' own.
    for (const size_t connections : { size_t(64), size_t(1000) })
        bench.throughputAndLatency(report, connections);
}

} // namespace plantainwall::bench

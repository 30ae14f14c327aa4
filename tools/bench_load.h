#pragma once

#include "bench.h"

namespace plantainwall::bench {

/// Load on one address. Arrivals do not wait for answers: a request that finds no free connection waits in the
/// generator, and its latency counts from its arrival.
struct LoadPlan {
    std::string address; ///< ip:port
    std::vector<std::string> requests; ///< Complete HTTP requests; connection i sends number i modulo their count.
    size_t connections = 64;
    double perSecond = 0;
    Duration length = std::chrono::seconds(3);
    uint64_t seed = 1;
};

struct LoadFigures {
    double perSecond = 0; ///< Requests answered with status 200 within the length of the run.
    double failed = 0; ///< Other answers and broken connections.
    double p50 = 0; ///< ms
    double p99 = 0; ///< ms
    std::string plot; ///< Histogram of the latencies as text.
};

/// Runs the load. Throws std::runtime_error if a connection cannot be opened.
LoadFigures runLoad(const LoadPlan&);

/// Opens idle connections that have each sent one request, and calls the function while they are open.
void withIdleConnections(
    const std::string& address, const std::string& request, size_t connections, const std::function<void()>& whileOpen);

/// Serves HTTP on ip:port with cpprestsdk's listener and client alone: every request is passed on to a target
/// (http://ip:port) and its answer passed back. Returns on SIGTERM.
int serveBareHop(const std::string& address, const std::string& target, unsigned threads);

} // namespace plantainwall::bench

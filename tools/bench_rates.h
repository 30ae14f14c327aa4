#pragma once

#include "bench.h"

namespace plantainwall::bench {

/// One customer's load on a fleet of entry hosts.
struct RateScenario {
    std::string name;
    size_t hosts = 9;
    double rate = 900;
    double burst = 450;
    Duration length = std::chrono::seconds(35);
    std::vector<double> load; ///< Requests/s by host.
    bool moving = false; ///< The load moves to the next host every 5 s.
    bool hostLoss = false; ///< A host dies after a third of the run and is back after two thirds.
    bool partition = false; ///< The regions are parted in the middle third of the run.
    bool fixedShares = false; ///< Baseline: equal shares, no loans.
};

struct RateFigures {
    uint64_t arrivals = 0;
    uint64_t admitted = 0;
    uint64_t inRate = 0; ///< Arrivals that one bucket for the whole fleet admits.
    uint64_t wrongful = 0; ///< Of these, refused.
    double excess = 0; ///< Most tokens taken beyond what one bucket for the whole fleet allows.
    uint64_t messages = 0;
    uint64_t bytes = 0; ///< Sent and received by all hosts; only if processor time was asked for.
    uint64_t mostBytes = 0; ///< Of the busiest host.
    Duration cpu {}; ///< Processor time of the CustomerShare objects and the codec; only if it was asked for.
    double seconds = 0; ///< Length of the run with load.
};

/// Runs one customer's CustomerShare on every host in virtual time.
RateFigures runRates(const Deployment&, const RateScenario&, uint64_t seed, bool measureCpu);

/// Returns a scenario with the whole load of `part` of the rate spread evenly, or mostly on one host.
RateScenario evenLoad(size_t hosts, double part);
RateScenario skewedLoad(size_t hosts, double part);

} // namespace plantainwall::bench

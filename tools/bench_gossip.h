#pragma once

#include "bench.h"

namespace plantainwall::bench {

/// Gossip of a fleet in steady state, per daemon.
struct GossipFigures {
    double bytesPerSecond = 0; ///< Sent and received, heads included.
    double mostBytesPerSecond = 0; ///< Of the busiest daemon.
    double cpuPercent = 0; ///< Of a core; decisions and codec.
    double heapBytes = 0; ///< Of one daemon's Membership.
};

/// Runs Membership on every host with the codec of the control calls, in virtual time.
GossipFigures runGossip(const Deployment&, size_t hosts, size_t groupsPerHost, uint64_t seed);

} // namespace plantainwall::bench

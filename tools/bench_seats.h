#pragma once

#include "bench.h"

namespace plantainwall::bench {

/// Store calls and processor time of Seats on a fleet in steady state.
struct RateSliceFigures {
    double storeCallsPerSecond = 0; ///< Of the whole fleet.
    Duration cpuPerCall {}; ///< Of one Seats::next() on a host, on average.
    double heldPart = 0; ///< Part of the whole rate that the hosts hold at the end.
};

/// Runs Seats on every host against a store that answers at once; next() is called once a second.
RateSliceFigures runRateSlices(size_t hosts);

} // namespace plantainwall::bench

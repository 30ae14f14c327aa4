#include "connection_reserve.h"
#include <algorithm>

namespace plantainwall {

namespace {

    /// One in this many connections is reserved.
    constexpr size_t connectionsPerReserved = 5;

    /// Fewer connections have no reserve: with one of two reserved, a customer could not run two statements at a time.
    constexpr size_t minLimitWithReserve = 3;

} // namespace

bool leavesReserve(const ConnectionDemand& demand)
{
    if (demand.mostUrgent || demand.customerHasNone || demand.limit < minLimitWithReserve)
        return true;
    const size_t reserved = std::max<size_t>(1, demand.limit / connectionsPerReserved);
    return demand.used + reserved < demand.limit;
}

} // namespace plantainwall

#pragma once

#include <cstddef>

namespace plantainwall {

/// Request for one of the connections to a server that a host may use.
struct ConnectionDemand {
    size_t limit = 1; ///< Connections that the host may use.
    size_t used = 0; ///< Connections that are not idle, open transactions included.
    bool mostUrgent = false; ///< The operation has the most urgent priority of its service.
    bool customerHasNone = false; ///< The customer uses none of the connections.
};

/// Returns whether the request may be served without using the reserve.
///
/// Load pattern: a crowd of one customer, or sessions that rest inside transactions, use all connections of a host to a
/// server for seconds. A part of the connections remains for urgent operations and for customers without any.
bool leavesReserve(const ConnectionDemand&);

} // namespace plantainwall

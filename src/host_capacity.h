#pragma once

namespace plantainwall {

/// Greatest capacity of a host, in cores. A greater one is a mistake, which would make all other hosts seem weak.
constexpr double maxHostCapacity = 1024;

/// Returns whether a host is strong enough to work for others: it has at least half the processor capacity of the
/// strongest.
///
/// Load pattern: in a fleet of hundreds of hosts with an eighth of a core there are some with half of one. What one
/// host does for all others (watching the store, counting a customer's operations, lending connections, coordinating)
/// takes a strong host a few percent of its time, but makes a weak one too slow to answer within the time-outs.
/// @param capacity Cores of the host, a positive number.
/// @param strongest Cores of the strongest host.
inline bool isStrongHost(double capacity, double strongest) { return capacity * 2 >= strongest; }

} // namespace plantainwall

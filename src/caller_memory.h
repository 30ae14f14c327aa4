#pragma once

#include "memory_budget.h"
#include "metrics.h"
#include <boost/asio/io_context.hpp>

namespace plantainwall {

/// Owners of accounts that belong to no customer.
constexpr std::string_view ownerWithoutSession = "#unopened";
constexpr std::string_view ownerPeers = "#peers";
constexpr std::string_view ownerServers = "#servers";

/// Returns the owner of a customer's accounts, which is none of those above.
inline std::string ownerOfCustomer(std::string_view customer)
{
    return (customer.substr(0, 1) == "#" ? "#" : "") + std::string(customer);
}

/// Applies a budget on the event loop: closes connections, logs and counts.
class CallerMemory {
public:
    CallerMemory(boost::asio::io_context&, MemoryBudget&, std::function<Instant()> clock, Metrics&);

    /// Closes what has to be closed. Must be called every few milliseconds.
    void tick();

private:
    boost::asio::io_context& m_loop;
    std::function<Instant()> m_clock;
    Metrics& m_metrics;
    MemoryBudget& m_budget;
};

/// Returns the memory of the machine, in bytes.
size_t machineMemory();

} // namespace plantainwall

#pragma once

#include "connection_allowance.h"

namespace plantainwall {

/// Decides whether servers allow too few connections for every host to keep its own. A decision object.
///
/// Load pattern: two dozen hosts, each with statements of all customers, and a server that allows about three
/// connections a host. A customer's next statement on a host then rarely finds the customer's connection, and most
/// statements open one, which occupies the server about as long as the statement. Hosts that lend each other
/// connections keep them open.
class ConnectionScarcity {
public:
    /// With fewer hosts, each sees enough statements of a customer to use its connections again.
    static constexpr size_t minHosts = 12;

    explicit ConnectionScarcity(const ConnectionAllowanceSettings& settings = {})
        : m_settings(settings)
    {
    }

    /// Updates the decision. Between the bounds for the beginning and the end it stays, since the number of hosts
    /// changes during restarts.
    /// @param limit Connections that a server allows over all hosts; 0 if unknown, which changes nothing.
    /// @param hosts Number of hosts of the fleet.
    /// @return Whether hosts should share connections.
    bool update(unsigned limit, size_t hosts);

private:
    ConnectionAllowanceSettings m_settings;
    bool m_scarce = false;
};

} // namespace plantainwall

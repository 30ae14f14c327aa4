#pragma once

#include "cluster_view.h"
#include "controller_group.h"
#include <cpprest/json.h>

// cpprestsdk's macro for string literals collides with template parameters in other headers.
#undef U

namespace plantainwall {

/// Share of one customer's fleet-wide rate at this entry host.
struct ShareReport {
    std::string customer;
    double share = 0; ///< Fraction of the fleet-wide rate that this host may use now, from 0 to 1.
};

/// State of the fleet as known to one entry host, for the `status` command.
struct StatusReport {
    std::string host;
    uint64_t incarnation = 0;
    bool draining = false;
    uint64_t configRevision = 0;
    std::optional<Duration> configAge; ///< Absent if no copy has been confirmed yet.
    std::vector<std::string> configFaults; ///< Path and reason of each entry that is not in force.
    std::vector<HostInfo> hosts;
    std::vector<GroupReport> groups;
    /// Fraction of every customer's rate that this host holds by its rate slices, from 0 to 1.
    double rateSliceFraction = 0;
    std::vector<ShareReport> shares;
};

/// Returns the JSON of the operator's status request.
web::json::value statusJson(const StatusReport&);

/// Returns the text that `status` prints without --json.
std::string statusText(const web::json::value&);

} // namespace plantainwall

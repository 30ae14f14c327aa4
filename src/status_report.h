#pragma once

#include "cluster_view.h"
#include "controller_group.h"
#include <cpprest/json.h>

// cpprestsdk's macro for string literals collides with template parameters in other headers.
#undef U

namespace plantainwall {

/// One customer's share of its fleet-wide rate at this entry host.
struct ShareReport {
    std::string customer;
    double share = 0; ///< Part of the whole rate that this host may use now, from 0 to 1.
};

/// What an entry host believes, for the `status` command.
struct StatusReport {
    std::string host;
    uint64_t incarnation = 0;
    bool draining = false;
    uint64_t configRevision = 0;
    std::optional<Duration> configAge; ///< Absent: no copy was ever confirmed.
    std::vector<std::string> configFaults;
    std::vector<HostInfo> hosts;
    std::vector<GroupReport> groups;
    double rateSliceFraction = 0; ///< Part of every customer's rate that this host holds by its seats, from 0 to 1.
    std::vector<ShareReport> shares;
};

web::json::value statusJson(const StatusReport&);

/// Returns the text that `status` prints without --json.
std::string statusText(const web::json::value&);

} // namespace plantainwall

#pragma once

#include "cluster_view.h"

namespace plantainwall {

/// Assigns roles to entry hosts by rendezvous hashing (XXH3): every host computes the same assignment from the same
/// list, and when a host leaves only its own roles move. Only live hosts are chosen. Has no state.
class Placement {
public:
    /// Returns the weight of a host for a key; the host with the greatest weight is chosen, ties by name.
    static uint64_t weight(std::string_view host, std::string_view key);

    /// Returns the live host for a role, in one data centre or, if dataCentre is empty, in all; nullptr if there is
    /// none. The pointer refers to an element of hosts.
    static const HostInfo* hostFor(
        const std::vector<HostInfo>& hosts, std::string_view role, std::string_view dataCentre = {});

    /// Returns the live host that owns a database: from its data centre, else from its region, else from all hosts;
    /// nullptr if there is none.
    static const HostInfo* ownerOf(
        const std::vector<HostInfo>& hosts, std::string_view group, const MemberConfig& member);
};

} // namespace plantainwall

#pragma once

#include "config_snapshot.h"

namespace plantainwall {

enum class HostState : uint8_t { Live, Draining, Suspect, Dead, Count };

/// An entry host as this one sees it.
struct HostInfo {
    HostConfig config;
    uint64_t incarnation = 0; ///< Greater after every restart.
    HostState state = HostState::Live;
};

/// The entry hosts as this one sees them. Implementations are safe to call from any thread.
class ClusterView {
public:
    virtual ~ClusterView() = default;

    virtual std::string_view selfName() const = 0;

    /// Returns every known entry host, this one included.
    virtual std::vector<HostInfo> hosts() const = 0;

    /// Returns the owner of a database: by rendezvous hashing over the live hosts of its data centre, else of its
    /// region, else all. Empty if no host is live.
    virtual std::optional<HostInfo> ownerOf(std::string_view group, const MemberConfig&) const = 0;

    /// Returns the host for another duty ("pool/<customer>", "relay/<data centre>/<n>") among the live hosts of a data
    /// centre, or among all if it is empty.
    virtual std::optional<HostInfo> hostFor(std::string_view role, std::string_view dataCentre) const = 0;

    /// Returns whether the platform's list says that an entry host or a backend server (name of the member) is leaving.
    virtual bool isLeaving(std::string_view) const { return false; }
};

} // namespace plantainwall

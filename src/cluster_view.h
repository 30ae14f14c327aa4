#pragma once

#include "config_snapshot.h"

namespace plantainwall {

enum class HostState : uint8_t { Live, Draining, Suspect, Dead, Count };

/// An entry host and its state as known to this host.
struct HostInfo {
    HostConfig config;
    uint64_t incarnation = 0; ///< Increases with every restart.
    HostState state = HostState::Live;
};

/// The entry hosts known to this host. Implementations are safe to call from any thread.
class ClusterView {
public:
    virtual ~ClusterView() = default;

    virtual std::string_view selfName() const = 0;

    /// Returns all known entry hosts, including this one.
    virtual std::vector<HostInfo> hosts() const = 0;

    /// Returns the owner of a database, chosen by rendezvous hashing from the live hosts of its data centre, or if
    /// there are none, of its region, or else from all live hosts. Returns nullopt if no host is live.
    virtual std::optional<HostInfo> ownerOf(std::string_view group, const MemberConfig&) const = 0;

    /// Returns the host that is assigned another role, for example "pool/<customer>" or "relay/<data centre>/<n>".
    /// @param dataCentre Limits the choice to the live hosts of this data centre; empty for all live hosts.
    virtual std::optional<HostInfo> hostFor(std::string_view role, std::string_view dataCentre) const = 0;

    /// Returns whether the platform's list marks a host as leaving. Takes the name of an entry host, or the member name
    /// of a backend server.
    virtual bool isLeaving(std::string_view) const { return false; }
};

} // namespace plantainwall

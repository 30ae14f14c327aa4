#pragma once

#include "plantainwall/plantainwall.h"

namespace plantainwall {

/// Times within which a host would learn that a primary is being replaced.
struct FleetContactSettings {
    /// A host that has learned nothing for this long tells no caller of a commit. The coordinator waits as long for a
    /// host that it does not reach.
    Duration timeout = std::chrono::milliseconds(1500);
    /// After this time without a datagram of another host, the host asks the store itself. Reports of several hosts
    /// arrive more often, and a lost one must not cause a call.
    Duration readAfter = std::chrono::milliseconds(600);
    Duration readInterval = std::chrono::milliseconds(300); ///< Between two such calls.
};

/// Knows whether this host would have heard of the replacement of a primary: from another host or from the store. A
/// decision object of every entry host. Times must count suspension.
///
/// Load pattern: a partition separates a host from all others while it still reaches an old primary. The coordinator
/// stops the replicas and orders a promotion; a replica that was down returns, and the old primary confirms commits.
/// The host must not pass them on, although nobody can tell it so.
class FleetContact {
public:
    explicit FleetContact(const FleetContactSettings& = {});

    /// Sets whether there are other hosts. Without any, none can order a promotion.
    void setOthers(bool any) { m_others = any; }

    /// Records a message of another host, or that this host is itself the one that may order promotions.
    void heard(Instant now);

    /// Records an answer of the store with the revocations that it held.
    /// @param sentAt When the call was made.
    void storeRead(Instant sentAt);

    /// Returns whether a primary may be being replaced without this host knowing.
    bool isLost(Instant now) const;

    /// Returns whether the store is to be asked for revocations now, and records that it is.
    bool takeReadDue(Instant now);

private:
    FleetContactSettings m_settings;
    bool m_others = false;
    Instant m_heardAt;
    Instant m_readAt; ///< When the newest call that was answered was made.
    Instant m_nextReadAt;
};

} // namespace plantainwall

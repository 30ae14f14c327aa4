#pragma once

#include "plantainwall/plantainwall.h"
#include <deque>
#include <optional>

namespace plantainwall {

/// Log positions that the confirmed primary of one service has reported. A reported position covers every commit that
/// was acknowledged before the request for it was sent. A decision object. Times must count suspension.
class PrimaryPositions {
public:
    /// Records a position that a confirmed primary reported in reply to a request sent at @p requestedAt.
    void note(LogPosition, Instant requestedAt);

    /// Returns the lowest known position that covers every commit acknowledged before the given time, or nothing if no
    /// observation is recent enough.
    std::optional<LogPosition> covering(Instant) const;

    struct Observation {
        LogPosition position;
        Instant requestedAt;
    };

    /// Returns the newest observation, or nothing.
    std::optional<Observation> newest() const;

private:
    /// Ordered by requestedAt, with growing positions.
    std::deque<Observation> m_observations;
};

/// Returns the position that covers both: a later term's log holds everything that survived of earlier terms.
LogPosition laterPosition(const LogPosition&, const LogPosition&);

} // namespace plantainwall

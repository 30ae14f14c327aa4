#pragma once

#include "plantainwall/plantainwall.h"
#include <deque>
#include <optional>

namespace plantainwall {

/// What one service's primary has proved about its log: a position reported to a question asked at some time covers
/// every commit acknowledged before the question was asked. A decision object. Times must count suspension.
class PrimaryPositions {
public:
    /// Adds a position that a proven primary reported to a question sent at requestedAt.
    void note(LogPosition, Instant requestedAt);

    /// Returns the least position that covers every commit acknowledged before the given time, or nothing if no
    /// evidence is young enough.
    std::optional<LogPosition> covering(Instant) const;

    struct Observation {
        LogPosition position;
        Instant requestedAt;
    };

    /// Returns the youngest evidence, or nothing.
    std::optional<Observation> newest() const;

private:
    /// Ordered by requestedAt, with growing positions.
    std::deque<Observation> m_observations;
};

/// Returns the position that covers both: a later term's log holds everything that survived of earlier terms.
LogPosition laterPosition(const LogPosition&, const LogPosition&);

} // namespace plantainwall

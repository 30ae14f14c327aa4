#pragma once

#include "primary_positions.h"
#include <gsl/span>

namespace plantainwall {

/// What an entry host knows of the commits of one service that it told callers of. A primary reports the end of its log
/// with a commit, not the position of the commit itself, so that lies between two known ones.
struct AcknowledgedCommits {
    LogPosition earliest; ///< The newest commit that was acknowledged is at this position or after it.
    LogPosition latest; ///< It is at this position or before it.
    /// Newest position that a primary reported to the host or, through another one, to the fleet; nothing if none.
    std::optional<PrimaryPositions::Observation> observed;

    /// Records an acknowledged commit.
    /// @param before Position that the primary had reported before the commit was sent to it; zero if unknown.
    /// @param end Position that the primary reported with the commit.
    void note(const LogPosition& before, const LogPosition& end);
};

/// The newest commit that any caller was told of.
struct NewestAcknowledged {
    LogPosition earliest; ///< It is at this position or after it; zero if no host reported one.
    /// It is at this position or before it; nothing if commits of some host are not known.
    std::optional<LogPosition> latest;
};

/// Combines the reports of hosts. A decision.
///
/// Load pattern: a primary crashes under load together with a replica, and that replica is ahead of the one that
/// remains, or not. Only hosts tell callers of commits, so once all of them have stopped doing so their reports say
/// whether the remaining log is complete, whatever became of the others.
/// @param reports Made after the hosts stopped to acknowledge commits.
/// @param complete They are of all hosts that may run.
/// @param lastDeparture When a host was last found to have ended. What it acknowledged before is known only from a
///     position that was observed later.
NewestAcknowledged newestAcknowledged(
    gsl::span<const AcknowledgedCommits> reports, bool complete, Instant lastDeparture);

/// Returns whether a log that ends at @p end reaches @p position. A later term alone does not show it: a replica may
/// know the term before it has received the end of the log from which the term began.
inline bool reaches(const LogPosition& end, const LogPosition& position)
{
    return end.term >= position.term && end.position >= position.position;
}

} // namespace plantainwall

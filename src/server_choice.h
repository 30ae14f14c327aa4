#pragma once

#include "plantainwall/plantainwall.h"
#include <gsl/span>
#include <optional>

namespace plantainwall {

/// Where a backend server stands as seen from this entry host.
enum class Distance : uint8_t { SameDataCentre, SameRegion, OtherRegion, Count };

/// What one entry host knows of a backend server's speed, from its own statements. A decision object.
///
/// Load pattern: servers slow down (crowded slots, a slow link, a restart) without saying so. Response times are
/// averaged over recent statements and fall back to what the distance suggests once no statement has been sent for a
/// while, so that a recovered server is tried again.
class ServerSpeed {
public:
    explicit ServerSpeed(Distance = Distance::SameDataCentre);

    void noteResponse(Duration, Instant now);

    /// A statement got no answer in time, or the connection broke.
    void noteFailure(Instant now);

    /// A sign of life; ends the avoidance.
    void noteSuccess();

    /// Expected response time of one statement. Beyond it by the given factor a read is better sent elsewhere as well.
    Duration expected(Instant now) const;

    bool avoided(Instant now) const { return now < m_avoidUntil; }

private:
    Duration m_prior;
    double m_average; ///< Microseconds.
    Instant m_sampled;
    Instant m_avoidUntil;
    unsigned m_failures = 0;
};

/// One server that could run a piece of work.
struct ServerCandidate {
    Duration expected { 0 }; ///< From ServerSpeed.
    unsigned working = 0; ///< Statements that this host has running there.
    unsigned slots = 1;
    bool connected = false; ///< An idle connection of the customer exists; otherwise one must be opened.
    bool evicts = false; ///< Opening one closes another customer's connection.
    bool usable = false; ///< A connection is idle or may be opened.
};

/// Returns the probability with which work should be sent to a server that is expected to answer in the given time, if
/// the caller waits for at most the time left.
///
/// Load pattern: many hosts send to servers whose slots are all taken. Work that would be answered too late still takes
/// a slot, so with every host sending, nothing is answered in time. Each host holds back a growing part; what gets
/// through is answered, and the rest is refused at once.
double admissionProbability(Duration expected, Duration left, double overloadFraction);

/// Returns the index of the offer with the earliest expected completion, or nothing if none is usable. dice is from 0
/// to 1 and spreads equal choices.
std::optional<size_t> chooseServer(gsl::span<const ServerCandidate>, double randomFraction);

} // namespace plantainwall

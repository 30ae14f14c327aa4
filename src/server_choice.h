#pragma once

#include "plantainwall/plantainwall.h"
#include "server_load.h"
#include <gsl/span>
#include <optional>

namespace plantainwall {

/// Network distance from this entry host to a backend server.
enum class Distance : uint8_t { SameDataCentre, SameRegion, OtherRegion, Count };

/// Estimates a backend server's response time from the statements of this entry host. A decision object.
///
/// Load pattern: servers slow down (busy slots, a slow link, a restart) without reporting it. Response times are
/// averaged over recent statements. Without statements the average returns to the initial value for the server's
/// distance, so that a recovered server is tried again.
class ServerSpeed {
public:
    explicit ServerSpeed(Distance = Distance::SameDataCentre);

    /// Records the response time of a statement.
    void noteResponse(Duration, Instant now);

    /// Records that a statement timed out or that the connection broke.
    void noteFailure(Instant now);

    /// Records a reply or an opened connection; the server is no longer avoided.
    void noteSuccess();

    /// Returns the expected response time of one statement. A read that takes a multiple of it is hedged.
    Duration expected(Instant now) const;

    /// Returns the time since the last response.
    Duration age(Instant now) const { return std::chrono::duration_cast<Duration>(now - m_lastSampleAt); }

    bool avoided(Instant now) const { return now < m_avoidUntil; }

private:
    Duration m_initial; ///< Initial value for the server's distance.
    double m_average; ///< Microseconds.
    Instant m_lastSampleAt;
    Instant m_avoidUntil;
    unsigned m_failures = 0;
};

/// A server that could run a statement.
struct ServerCandidate {
    Duration expected { 0 }; ///< From ServerSpeed.
    unsigned runningStatements = 0; ///< Statements of this host that the server is running.
    unsigned slots = 1;
    bool connected = false; ///< An idle connection of the customer exists; otherwise one must be opened.
    bool evictsOther = false; ///< Opening a connection closes one of another customer.
    bool usable = false; ///< A connection is available or may be opened.
    std::optional<ServerLoads::Estimate> load; ///< Load from all hosts, if it is known.
    Distance distance = Distance::SameDataCentre;
    Duration detour { 0 }; ///< Response time that a nearer server may take longer; see preferNearServers().
};

/// Returns the probability with which a statement should be sent to a server.
///
/// Load pattern: many hosts send to servers whose slots are all busy. A statement that will be answered too late still
/// occupies a slot, so if every host sends everything, nothing is answered in time. Each host therefore holds back a
/// growing fraction: what is sent is answered in time, and the rest is refused at once.
///
/// @param expected Expected response time of the server.
/// @param left Time until the statement times out.
/// @param overloadFraction Fraction of the time left above which statements are held back.
double admissionProbability(Duration expected, Duration left, double overloadFraction);

/// Returns the index of the candidate with the earliest expected completion, or nothing if none is usable.
/// @param randomFraction Random number from 0 to 1 that spreads equal choices.
std::optional<size_t> chooseServer(gsl::span<const ServerCandidate>, double randomFraction);

/// Returns the index of a candidate, chosen with a probability that falls with its expected completion and with its
/// load relative to that of the others, or nothing if none is usable. Without a known load of two usable candidates, or
/// more, there is nothing to compare, and the choice is that of chooseServer().
///
/// Load pattern: many hosts learn at the same time that a server has little load, and choose at the same moment. If all
/// took the best one, it would be overrun before the next reports. Chosen in proportion, it gets more than the others,
/// but not everything, however old or wrong the reports are; and one that seems overrun still gets a little.
///
/// @param randomFraction Random number from 0 to 1.
std::optional<size_t> chooseEvenly(gsl::span<const ServerCandidate>, double randomFraction);

} // namespace plantainwall

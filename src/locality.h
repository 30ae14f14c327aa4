#pragma once

#include "server_choice.h"

namespace plantainwall {

/// Bounds of the preference for near servers. Fractions refer to the time that a statement has.
struct LocalitySettings {
    /// Additional response time that is accepted for each step of Distance that a near server saves.
    double acceptedDelayFraction = 0.015;
    /// Most that is accepted for a step. Two steps are less than a new connection costs.
    Duration maxAcceptedDelay = std::chrono::milliseconds(20);
    /// The preference ends where the near server is expected to take this fraction of the time.
    double yieldFraction = 0.1;
};

/// Sets ServerCandidate::detour of all candidates. A decision without state.
///
/// Load pattern: callers read from servers in several data centres that are about equally fast. Without a preference
/// most statements leave the data centre although a server in it is idle, and fill links that writes need. With a fixed
/// preference the near servers would be overrun while distant ones are idle. The accepted delay is therefore small
/// against the time that the statement has and shrinks to nothing as the near server becomes busy.
///
/// @param timeLeft Time within which the statement should be answered; without any left, no candidate is preferred.
void preferNearServers(gsl::span<ServerCandidate>, Duration timeLeft, const LocalitySettings& = {});

} // namespace plantainwall

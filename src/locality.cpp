#include "locality.h"
#include <algorithm>

namespace plantainwall {

namespace {

    /// Returns the expected response time, with the statements that this host has already sent, in microseconds.
    double loadedResponseTime(const ServerCandidate& candidate)
    {
        const double busy = static_cast<double>(candidate.runningStatements) / std::max(1U, candidate.slots);
        return static_cast<double>(candidate.expected.count()) * (1 + busy);
    }

    bool isNearer(const ServerCandidate& a, const ServerCandidate& b)
    {
        if (a.distance != b.distance)
            return a.distance < b.distance;
        return loadedResponseTime(a) < loadedResponseTime(b);
    }

} // namespace

void preferNearServers(gsl::span<ServerCandidate> candidates, Duration timeLeft, const LocalitySettings& settings)
{
    const ServerCandidate* nearest = nullptr;
    for (ServerCandidate& it : candidates) {
        it.detour = Duration(0);
        if (it.usable && (nearest == nullptr || isNearer(it, *nearest)))
            nearest = &it;
    }
    if (nearest == nullptr || timeLeft <= Duration(0))
        return;
    const double left = static_cast<double>(timeLeft.count());
    const double slack = std::max(0.0, 1 - loadedResponseTime(*nearest) / (left * settings.yieldFraction));
    const double most
        = std::min(left * settings.acceptedDelayFraction, static_cast<double>(settings.maxAcceptedDelay.count()));
    const double accepted = most * slack;
    for (ServerCandidate& it : candidates) {
        const int steps = static_cast<int>(it.distance) - static_cast<int>(nearest->distance);
        it.detour = Duration(static_cast<int64_t>(accepted * std::max(0, steps)));
    }
}

} // namespace plantainwall

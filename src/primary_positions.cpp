#include "primary_positions.h"
#include <algorithm>

namespace plantainwall {

namespace {

    /// Points kept: about ten a second for the longest staleness of a few seconds.
    constexpr size_t maxPoints = 64;

    /// Evidence closer together than this is merged, so that a busy primary does not push older points out.
    constexpr Duration minSpacing = std::chrono::milliseconds(50);

} // namespace

LogPosition laterPosition(const LogPosition& a, const LogPosition& b) { return a < b ? b : a; }

void PrimaryPositions::note(LogPosition position, Instant requestedAt)
{
    if (!m_observations.empty()) {
        const Observation& last = m_observations.back();
        // An answer that overtook another, or that an earlier term's primary gave, adds nothing.
        if (requestedAt < last.requestedAt + minSpacing || position < last.position)
            return;
    }
    m_observations.push_back({ position, requestedAt });
    if (m_observations.size() > maxPoints)
        m_observations.pop_front();
}

std::optional<LogPosition> PrimaryPositions::covering(Instant time) const
{
    const auto it = std::lower_bound(m_observations.begin(), m_observations.end(), time,
        [](const Observation& point, Instant t) { return point.requestedAt < t; });
    if (it == m_observations.end())
        return std::nullopt;
    return it->position;
}

std::optional<PrimaryPositions::Observation> PrimaryPositions::newest() const
{
    if (m_observations.empty())
        return std::nullopt;
    return m_observations.back();
}

} // namespace plantainwall

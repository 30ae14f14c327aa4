#include "urgency_admission.h"
#include <algorithm>

namespace plantainwall {

namespace {

    /// Longest time that one update may raise the level for. What happened in a longer gap is not known.
    constexpr Duration maxRiseStep = std::chrono::milliseconds(50);

    double inSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

size_t UrgencyNeeds::rankOf(unsigned priority) const
{
    const auto it = std::lower_bound(priorities.begin(), priorities.end(), priority);
    const size_t rank = static_cast<size_t>(it - priorities.begin());
    // A priority of an earlier configuration counts as the next less urgent one.
    return priorities.empty() ? 0 : std::min(rank, priorities.size() - 1);
}

UrgencyAdmission::UrgencyAdmission(const UrgencyAdmissionSettings& settings)
    : m_settings(settings)
{
}

void UrgencyAdmission::update(const UrgencyNeeds& needs, const ServerPressure& knowledge, Instant now)
{
    const Duration passed
        = m_updatedAt == Instant() ? Duration(0) : std::chrono::duration_cast<Duration>(now - m_updatedAt);
    m_updatedAt = now;
    m_knowledge = knowledge;
    if (!needs.ordered()) {
        m_ranks = 1;
        m_level = 0;
        return;
    }
    m_ranks = needs.priorities.size();
    // A priority is turned away within the time that the most urgent callers can spend on one statement.
    m_level = std::min(m_level, static_cast<double>(m_ranks - 1));
    m_riseTime = std::chrono::duration_cast<Duration>(needs.objective * m_settings.objectiveShare);
    const bool known = knowledge.age <= m_settings.maxAge && !knowledge.hasFreeSlot;
    const double pressure = known ? inSeconds(knowledge.responseTime) / inSeconds(m_riseTime) : 0;
    const double range = m_settings.allAt - m_settings.firstAt;
    const double target
        = std::clamp((pressure - m_settings.firstAt) / range, 0.0, 1.0) * static_cast<double>(m_ranks - 1);
    const double rise = inSeconds(std::min(passed, maxRiseStep)) / inSeconds(m_riseTime);
    const double fall = inSeconds(passed) / (inSeconds(m_riseTime) * m_settings.releaseFactor);
    m_level = std::clamp(target, std::max(0.0, m_level - fall), m_level + rise);
}

// Returns the fraction of a rank's operations that are turned away.
double UrgencyAdmission::turnedAway(size_t rank) const
{
    if (rank == 0 || rank >= m_ranks)
        return 0;
    const auto lowerRanks = static_cast<double>(m_ranks - 1 - rank);
    return std::clamp(m_level - lowerRanks, 0.0, 1.0);
}

double UrgencyAdmission::admittedFraction(size_t rank) const { return 1 - turnedAway(rank); }

bool UrgencyAdmission::lowerRanksTurnedAway(size_t rank) const
{
    return rank + 1 >= m_ranks || m_level >= static_cast<double>(m_ranks - 1 - rank);
}

Duration UrgencyAdmission::returnAfter(size_t rank) const
{
    if (turnedAway(rank) <= 0)
        return Duration(0);
    const auto lowerRanks = static_cast<double>(m_ranks - 1 - rank);
    return std::chrono::duration_cast<Duration>(m_riseTime * m_settings.releaseFactor * (m_level - lowerRanks));
}

} // namespace plantainwall

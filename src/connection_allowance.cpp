#include "connection_allowance.h"
#include <algorithm>
#include <cmath>

namespace plantainwall {

namespace {

    /// Number of doublings after which the pause has reached its maximum.
    constexpr unsigned maxDoublings = 4;

    /// Time in which the idle limit recovers its full length after a refusal.
    constexpr double idleRecoverySeconds = 4;

} // namespace

ConnectionAllowance::ConnectionAllowance(const ConnectionAllowanceSettings& settings)
    : m_settings(settings)
    , m_shortLivedIdleTime(settings.shortLivedIdleTime)
{
}

void ConnectionAllowance::setFleet(unsigned limit, size_t hosts, bool starting)
{
    const auto share
        = [&](double fraction) { return limit * fraction / static_cast<double>(std::max<size_t>(1, hosts)); };
    const size_t regular = std::max<size_t>(1, static_cast<size_t>(std::lround(share(m_settings.dividedFraction))));
    m_usesLenders = false;
    m_shortLived = share(m_settings.dividedFractionIfFew) < m_settings.shortLivedBelow;
    if (m_shortLived)
        m_cap = std::min<size_t>(m_settings.maxShortLived, std::max(1U, limit));
    else if (regular >= m_settings.fewConnections || starting)
        m_cap = regular;
    else
        m_cap = std::max(regular,
            std::min(
                m_settings.fewConnections, static_cast<size_t>(std::lround(share(m_settings.dividedFractionIfFew)))));
}

void ConnectionAllowance::useLenders()
{
    m_usesLenders = true;
    m_shortLived = true;
    m_cap = m_settings.maxLent;
}

void ConnectionAllowance::setPooled(Duration idle)
{
    m_shortLived = true;
    if (m_settings.shortLivedIdleTime == idle)
        return;
    m_settings.shortLivedIdleTime = idle;
    m_shortLivedIdleTime = std::min(m_shortLivedIdleTime, idle);
}

Duration ConnectionAllowance::idleLimit(Instant now) const
{
    if (m_usesLenders)
        return m_settings.lentIdleTime;
    if (!m_shortLived)
        return m_settings.keptIdleTime;
    const double sinceRefusal = std::chrono::duration<double>(now - m_refusedAt).count();
    const double recovered = static_cast<double>(m_settings.shortLivedIdleTime.count())
        * std::min(1.0, sinceRefusal / idleRecoverySeconds);
    return std::min(m_settings.shortLivedIdleTime, m_shortLivedIdleTime + Duration(static_cast<int64_t>(recovered)));
}

void ConnectionAllowance::noteRefused(Instant now)
{
    m_shortLivedIdleTime = std::max(m_settings.minShortLivedIdleTime, idleLimit(now) / 2);
    m_refusedAt = now;
    const Duration first = m_shortLived ? m_settings.firstPause : m_settings.maxPause;
    m_pausedUntil = now + std::min(m_settings.maxPause, first * (1 << std::min(m_refusals, maxDoublings)));
    ++m_refusals;
}

} // namespace plantainwall

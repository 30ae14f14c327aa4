#include "connection_allowance.h"
#include <algorithm>
#include <cmath>

namespace plantainwall {

namespace {

    /// Doublings of the pause that reach its maximum.
    constexpr unsigned maxDoublings = 4;

    /// Time over which the idle limit grows back by its full length after a refusal.
    constexpr double recoverySeconds = 4;

} // namespace

ConnectionAllowance::ConnectionAllowance(const ConnectionAllowanceSettings& settings)
    : m_settings(settings)
    , m_borrowIdle(settings.borrowIdle)
{
}

void ConnectionAllowance::setFleet(unsigned limit, size_t hosts, bool starting)
{
    const auto share = [&](double part) { return limit * part / static_cast<double>(std::max<size_t>(1, hosts)); };
    const size_t usual = std::max<size_t>(1, static_cast<size_t>(std::lround(share(m_settings.share))));
    m_shared = false;
    m_borrows = share(m_settings.shareFew) < m_settings.borrowBelow;
    if (m_borrows)
        m_cap = std::min<size_t>(m_settings.borrowed, std::max(1U, limit));
    else if (usual >= m_settings.few || starting)
        m_cap = usual;
    else
        m_cap = std::max(usual, std::min(m_settings.few, static_cast<size_t>(std::lround(share(m_settings.shareFew)))));
}

void ConnectionAllowance::useLenders()
{
    m_shared = true;
    m_borrows = true;
    m_cap = m_settings.shared;
}

void ConnectionAllowance::setPooled(Duration idle)
{
    m_borrows = true;
    if (m_settings.borrowIdle == idle)
        return;
    m_settings.borrowIdle = idle;
    m_borrowIdle = std::min(m_borrowIdle, idle);
}

Duration ConnectionAllowance::idleLimit(Instant now) const
{
    if (m_shared)
        return m_settings.sharedIdle;
    if (!m_borrows)
        return m_settings.keepIdle;
    const double calm = std::chrono::duration<double>(now - m_refusedAt).count();
    const double grown = static_cast<double>(m_settings.borrowIdle.count()) * std::min(1.0, calm / recoverySeconds);
    return std::min(m_settings.borrowIdle, m_borrowIdle + Duration(static_cast<int64_t>(grown)));
}

void ConnectionAllowance::noteRefused(Instant now)
{
    m_borrowIdle = std::max(m_settings.borrowIdleMin, idleLimit(now) / 2);
    m_refusedAt = now;
    const Duration first = m_borrows ? m_settings.firstPause : m_settings.maxPause;
    m_pausedUntil = now + std::min(m_settings.maxPause, first * (1 << std::min(m_refusals, maxDoublings)));
    ++m_refusals;
}

} // namespace plantainwall

#include "retry_budget.h"
#include <algorithm>

namespace plantainwall {

namespace {

    // Retries earned in quiet times and not used are kept up to this number; a burst of failures after an hour of
    // success must not be multiplied.
    constexpr double maxEarned = 100;

} // namespace

RetryBudget::RetryBudget(const RequestSettings& settings, Instant now)
    : m_ratio(settings.retryBudgetRatio)
    , m_minPerSecond(settings.retryBudgetMinPerSecond)
    , m_floor(settings.retryBudgetMinPerSecond)
    , m_updated(now)
{
}

void RetryBudget::noteAttempt() { m_earned = std::min(maxEarned, m_earned + m_ratio); }

bool RetryBudget::tryRetry(Instant now)
{
    const double seconds = std::chrono::duration<double>(now - m_updated).count();
    m_updated = std::max(m_updated, now);
    m_floor = std::min(m_minPerSecond, m_floor + std::max(0.0, seconds) * m_minPerSecond);
    // Sums of the ratio fall short of whole numbers by rounding.
    constexpr double one = 1 - 1e-9;
    double& tokens = m_earned >= one ? m_earned : m_floor;
    if (tokens < one)
        return false;
    tokens -= 1;
    return true;
}

} // namespace plantainwall

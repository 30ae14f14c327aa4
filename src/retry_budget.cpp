#include "retry_budget.h"
#include <algorithm>

namespace plantainwall {

namespace {

    // Limit of unused retries, so that a burst of failures after an hour of success is not multiplied.
    constexpr double maxEarned = 100;

} // namespace

RetryBudget::RetryBudget(const RequestSettings& settings, Instant now)
    : m_ratio(settings.retryBudgetRatio)
    , m_minPerSecond(settings.retryBudgetMinPerSecond)
    , m_guaranteed(settings.retryBudgetMinPerSecond)
    , m_updated(now)
{
}

void RetryBudget::noteAttempt() { m_earned = std::min(maxEarned, m_earned + m_ratio); }

bool RetryBudget::tryRetry(Instant now)
{
    const double seconds = std::chrono::duration<double>(now - m_updated).count();
    m_updated = std::max(m_updated, now);
    m_guaranteed = std::min(m_minPerSecond, m_guaranteed + std::max(0.0, seconds) * m_minPerSecond);
    // Sums of the ratio may be less than a whole number because of rounding.
    constexpr double wholeRetry = 1 - 1e-9;
    double& tokens = m_earned >= wholeRetry ? m_earned : m_guaranteed;
    if (tokens < wholeRetry)
        return false;
    tokens -= 1;
    return true;
}

} // namespace plantainwall

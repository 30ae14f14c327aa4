#pragma once

#include "plantainwall/plantainwall.h"

namespace plantainwall {

/// Limits retries to a fraction of the first attempts, so that retries do not turn a failure into an overload. A
/// decision object.
class RetryBudget {
public:
    RetryBudget(const RequestSettings&, Instant now);

    /// Counts a first attempt.
    void noteAttempt();

    /// Returns whether a retry is allowed, and counts it.
    bool tryRetry(Instant now);

private:
    double m_ratio;
    double m_minPerSecond;
    double m_earned = 0; ///< Retries earned by first attempts.
    double m_guaranteed; ///< Retries available at any load.
    Instant m_updated;
};

} // namespace plantainwall

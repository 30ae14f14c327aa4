#pragma once

#include "plantainwall/plantainwall.h"

namespace plantainwall {

/// Limits retries to a part of the first attempts, so that a failure is not multiplied into an overload. A decision
/// object.
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
    double m_earned = 0; ///< Retries earned by attempts.
    double m_floor; ///< Retries available at any load.
    Instant m_updated;
};

} // namespace plantainwall

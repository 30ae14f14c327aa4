#include "quota_buckets.h"
#include <algorithm>

namespace plantainwall {

namespace {

    /// Fraction of the burst that a new process starts with. The full burst could be granted a second time, after the
    /// process's predecessor, within the period over which rates are judged; none would refuse the many callers that
    /// reconnect after an outage.
    constexpr double initialFraction = 0.5;

} // namespace

void QuotaBuckets::setLimit(const std::string& customer, double ratePerSecond, double burst, Instant now)
{
    const auto [it, added] = m_buckets.try_emplace(customer);
    Bucket& bucket = it->second;
    bucket.rate = ratePerSecond;
    bucket.burst = burst;
    bucket.tokens = std::min(bucket.tokens, burst);
    if (!added)
        return;
    bucket.refilled = now;
    bucket.tokens = burst * initialFraction;
}

void QuotaBuckets::removeCustomer(const std::string& customer) { m_buckets.erase(customer); }

void QuotaBuckets::takeOver(const std::string& customer, Instant now)
{
    const auto it = m_buckets.find(customer);
    if (it == m_buckets.end())
        return;
    it->second.tokens = 0;
    it->second.refilled = now;
}

QuotaBuckets::Verdict QuotaBuckets::take(const std::string& customer, double fraction, Instant now)
{
    const auto it = m_buckets.find(customer);
    if (it == m_buckets.end())
        return { false, std::chrono::seconds(1) };
    Bucket& bucket = it->second;
    const double rate = bucket.rate * fraction;
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - bucket.refilled).count());
    bucket.refilled = now;
    bucket.tokens = std::min(std::max(1.0, bucket.burst * fraction), bucket.tokens + elapsed * rate);
    if (bucket.tokens >= 1) {
        bucket.tokens -= 1;
        return { true, Duration(0) };
    }
    const double seconds = rate > 0 ? (1 - bucket.tokens) / rate : 1;
    return { false, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(seconds, 1.0))) };
}

} // namespace plantainwall

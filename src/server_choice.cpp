#include "server_choice.h"
#include <algorithm>
#include <cmath>

namespace plantainwall {

namespace {

    /// Round trip and a typical statement, by distance.
    constexpr Duration priors[]
        = { std::chrono::milliseconds(25), std::chrono::milliseconds(28), std::chrono::milliseconds(90) };
    static_assert(sizeof(priors) / sizeof(priors[0]) == static_cast<size_t>(Distance::Count), "one entry each");

    /// Weight of a new sample: the last ten statements or so count.
    constexpr double sampleWeight = 0.15;

    /// Without samples the average returns to its prior over about this time.
    constexpr double forgetSeconds = 2;

    /// Avoidance after a failure; doubles with each further one. A restarted server is ready within seconds.
    constexpr Duration firstAvoidance = std::chrono::milliseconds(250);
    constexpr unsigned maxDoublings = 3;

    /// A new connection occupies a slot for longer than many statements do, and takes two round trips.
    constexpr double connectCostMs = 50;

    /// A connection that is closed for another customer is soon opened again.
    constexpr double evictCostMs = 50;

    /// Spread of equal choices, as a part of the expected time.
    constexpr double spread = 0.2;

} // namespace

ServerSpeed::ServerSpeed(Distance distance)
    : m_prior(priors[static_cast<size_t>(distance)])
    , m_average(static_cast<double>(m_prior.count()))
{
}

void ServerSpeed::noteResponse(Duration duration, Instant now)
{
    m_average = static_cast<double>(expected(now).count());
    m_average += (static_cast<double>(duration.count()) - m_average) * sampleWeight;
    m_sampled = now;
}

void ServerSpeed::noteFailure(Instant now)
{
    m_avoidUntil = now + firstAvoidance * (1 << std::min(m_failures, maxDoublings));
    ++m_failures;
}

void ServerSpeed::noteSuccess()
{
    m_failures = 0;
    m_avoidUntil = Instant();
}

Duration ServerSpeed::expected(Instant now) const
{
    const double age = std::chrono::duration<double>(now - m_sampled).count();
    const double prior = static_cast<double>(m_prior.count());
    return Duration(static_cast<int64_t>(prior + (m_average - prior) * std::exp(-age / forgetSeconds)));
}

double admissionProbability(Duration expected, Duration left, double overloadFraction)
{
    if (left <= Duration(0))
        return 0;
    const double ratio = static_cast<double>(left.count()) * overloadFraction
        / std::max<double>(1, static_cast<double>(expected.count()));
    return ratio >= 1 ? 1 : ratio * ratio;
}

std::optional<size_t> chooseServer(gsl::span<const ServerCandidate> offers, double randomFraction)
{
    std::optional<size_t> best;
    double bestCost = 0;
    for (size_t i = 0; i < offers.size(); ++i) {
        const ServerCandidate& offer = offers[i];
        if (!offer.usable)
            continue;
        double cost = static_cast<double>(offer.expected.count()) / 1000;
        cost *= 1 + static_cast<double>(offer.working) / std::max(1U, offer.slots);
        if (!offer.connected)
            cost += offer.evicts ? connectCostMs + evictCostMs : connectCostMs;
        cost *= 1 + spread * std::fmod(randomFraction + 0.618 * static_cast<double>(i), 1.0);
        if (!best || cost < bestCost) {
            best = i;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace plantainwall

#include "server_choice.h"
#include <algorithm>
#include <cmath>

namespace plantainwall {

namespace {

    /// Expected response time before any sample, by distance: a round trip and a typical statement.
    constexpr Duration initialResponseTimes[]
        = { std::chrono::milliseconds(25), std::chrono::milliseconds(28), std::chrono::milliseconds(90) };
    static_assert(
        sizeof(initialResponseTimes) / sizeof(initialResponseTimes[0]) == static_cast<size_t>(Distance::Count),
        "one entry each");

    /// Weight of a new sample: the average covers about the last ten statements.
    constexpr double sampleWeight = 0.15;

    /// Time constant with which the average returns to its initial value while there are no samples.
    constexpr double decaySeconds = 2;

    /// Time for which a server is avoided after a failure; doubles with each further one. A restarted server is ready
    /// within seconds.
    constexpr Duration firstAvoidanceTime = std::chrono::milliseconds(250);
    constexpr unsigned maxDoublings = 3;

    /// A new connection takes two round trips and occupies a slot for longer than most statements.
    constexpr double connectCostMs = 50;

    /// A connection that is closed in favour of another customer has to be opened again soon.
    constexpr double evictCostMs = 50;

    /// Random variation that spreads equal choices, as a fraction of the expected time.
    constexpr double choiceSpread = 0.2;

    /// Exponent with which the probability of a choice falls with its cost: a server that takes twice as long gets
    /// a small part, and one that takes a fifth longer is still chosen.
    constexpr double evenChoiceExponent = 6;

    /// A load relative to the others counts by this power: as reports are old, it is corrected in part only.
    constexpr double loadExponent = 0.75;

    /// Limit, either way, of what reports change in a cost: whatever they say, a server neither gets nor loses all
    /// work.
    constexpr double maxLoadRatio = 1.6;

    /// Statements for each slot that are added before loads are compared, since small loads differ by chance.
    constexpr double loadOffset = 0.5;

    /// Returns the time until a statement would be complete, as this host knows it.
    double completionMs(const ServerCandidate& candidate)
    {
        double cost = static_cast<double>(candidate.expected.count()) / 1000;
        cost *= 1 + static_cast<double>(candidate.runningStatements) / std::max(1U, candidate.slots);
        if (!candidate.connected)
            cost += candidate.evictsOther ? connectCostMs + evictCostMs : connectCostMs;
        return cost;
    }

    double detourMs(const ServerCandidate& candidate) { return static_cast<double>(candidate.detour.count()) / 1000; }

    /// Returns the statements for each slot that are under way or wait.
    double relativeLoad(const ServerCandidate& candidate)
    {
        return loadOffset + (candidate.load->running + candidate.load->waiting) / std::max(1U, candidate.slots);
    }

} // namespace

ServerSpeed::ServerSpeed(Distance distance)
    : m_initial(initialResponseTimes[static_cast<size_t>(distance)])
    , m_average(static_cast<double>(m_initial.count()))
{
}

void ServerSpeed::noteResponse(Duration duration, Instant now)
{
    m_average = static_cast<double>(expected(now).count());
    m_average += (static_cast<double>(duration.count()) - m_average) * sampleWeight;
    m_lastSampleAt = now;
}

void ServerSpeed::noteFailure(Instant now)
{
    m_avoidUntil = now + firstAvoidanceTime * (1 << std::min(m_failures, maxDoublings));
    ++m_failures;
}

void ServerSpeed::noteSuccess()
{
    m_failures = 0;
    m_avoidUntil = Instant();
}

Duration ServerSpeed::expected(Instant now) const
{
    const double age = std::chrono::duration<double>(now - m_lastSampleAt).count();
    const double initial = static_cast<double>(m_initial.count());
    return Duration(static_cast<int64_t>(initial + (m_average - initial) * std::exp(-age / decaySeconds)));
}

double admissionProbability(Duration expected, Duration left, double overloadFraction)
{
    if (left <= Duration(0))
        return 0;
    const double ratio = static_cast<double>(left.count()) * overloadFraction
        / std::max<double>(1, static_cast<double>(expected.count()));
    return ratio >= 1 ? 1 : ratio * ratio;
}

std::optional<size_t> chooseServer(gsl::span<const ServerCandidate> candidates, double randomFraction)
{
    std::optional<size_t> best;
    double bestCost = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
        const ServerCandidate& candidate = candidates[i];
        if (!candidate.usable)
            continue;
        double cost = completionMs(candidate);
        cost *= 1 + choiceSpread * std::fmod(randomFraction + 0.618 * static_cast<double>(i), 1.0);
        cost += detourMs(candidate);
        if (!best || cost < bestCost) {
            best = i;
            bestCost = cost;
        }
    }
    return best;
}

std::optional<size_t> chooseEvenly(gsl::span<const ServerCandidate> candidates, double randomFraction)
{
    double meanLoad = 0;
    size_t known = 0;
    for (const ServerCandidate& candidate : candidates) {
        if (!candidate.usable || !candidate.load)
            continue;
        meanLoad += relativeLoad(candidate);
        ++known;
    }
    if (known < 2)
        return chooseServer(candidates, randomFraction);
    meanLoad /= static_cast<double>(known);
    std::vector<double> weights(candidates.size());
    double sum = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
        const ServerCandidate& candidate = candidates[i];
        if (!candidate.usable)
            continue;
        double cost = std::max(1.0, completionMs(candidate));
        if (candidate.load) {
            const double ratio = std::clamp(relativeLoad(candidate) / meanLoad, 1 / maxLoadRatio, maxLoadRatio);
            cost *= std::pow(ratio, loadExponent);
        }
        cost += detourMs(candidate);
        weights[i] = std::max(1U, candidate.slots) * std::pow(cost, -evenChoiceExponent);
        sum += weights[i];
    }
    double left = randomFraction * sum;
    std::optional<size_t> choice;
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (weights[i] <= 0)
            continue;
        choice = i;
        left -= weights[i];
        if (left < 0)
            break;
    }
    return choice;
}

} // namespace plantainwall

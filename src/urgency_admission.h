#pragma once

#include "plantainwall/plantainwall.h"
#include <vector>

namespace plantainwall {

struct UrgencyAdmissionSettings {
    /// Part of the most urgent callers' latency objective that one statement may take. Operations consist of up to
    /// about four statements.
    double objectiveShare = 0.25;
    /// Pressure, as a multiple of that part, at which the first operations are turned away, and at which all less
    /// urgent ones are. A narrower range makes the level swing where knowledge is late.
    double firstAt = 0.7;
    double allAt = 1.2;
    /// Shortest time in which one priority is admitted again, as a multiple of the one in which it is turned away.
    double releaseFactor = 5;
    /// Knowledge that is older than this turns nobody away. Overload that lasts is confirmed by each answer and report.
    Duration maxAge = std::chrono::seconds(2);
};

/// What the callers of one service need, from the priorities and objectives of its routes.
struct UrgencyNeeds {
    std::vector<unsigned> priorities; ///< Distinct, most urgent first.
    /// Shortest latency objective or statement timeout of the most urgent priority; 0 if unknown.
    Duration objective { 0 };

    /// Returns the rank of a priority, from 0 for the most urgent.
    size_t rankOf(unsigned priority) const;

    /// Returns whether there is an order between the callers.
    bool ordered() const { return priorities.size() > 1 && objective > Duration(0); }
};

/// What is known of a server when a decision is made.
struct ServerPressure {
    Duration responseTime { 0 }; ///< Of one statement.
    Duration age { 0 }; ///< Time since the knowledge was gained.
    size_t sources = 1; ///< Hosts that contributed.
    bool hasFreeSlot = false; ///< Known to have a slot that no statement uses or waits for.
};

/// Decides which priorities may begin operations at one server. A decision object.
///
/// Load pattern: a burst of callers of all priorities over many hosts, more than the server's slots can run. Queued
/// statements delay all callers alike, and those with the shortest objectives fail first. The least urgent priority is
/// turned away, growing from none of it to all of it, before the next one, and the most urgent one is never turned away
/// here. The level follows the response time, so that it settles where the admitted load is what the server can run.
/// After the burst, priorities return one after another, slower than they were turned away, so that the load does not
/// come back at once.
class UrgencyAdmission {
public:
    explicit UrgencyAdmission(const UrgencyAdmissionSettings& = {});

    /// Updates the level. Must be called regularly, with or without new knowledge.
    void update(const UrgencyNeeds&, const ServerPressure&, Instant now);

    /// Returns the number of priorities that are turned away, from the least urgent; the fraction belongs to the last
    /// of them.
    double level() const { return m_level; }

    /// Returns the fraction of the operations of a rank that may begin, from 0 to 1.
    double admittedFraction(size_t rank) const;

    /// Returns whether the last knowledge of the server is recent.
    bool isInformed() const { return m_knowledge.age <= m_settings.maxAge; }

    /// Returns whether all operations of the less urgent ranks are turned away.
    bool lowerRanksTurnedAway(size_t rank) const;

    /// Returns the time after which an operation of a rank is likely to be admitted, if the load ends now.
    Duration returnAfter(size_t rank) const;

    /// Returns what the level was last updated from.
    const ServerPressure& knowledge() const { return m_knowledge; }

private:
    double turnedAway(size_t rank) const;

    UrgencyAdmissionSettings m_settings;
    ServerPressure m_knowledge;
    size_t m_ranks = 1;
    Duration m_riseTime { 0 }; ///< Shortest time in which one priority is turned away.
    double m_level = 0;
    Instant m_updatedAt;
};

} // namespace plantainwall

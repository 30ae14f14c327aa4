#pragma once

#include "plantainwall/plantainwall.h"
#include <map>
#include <optional>
#include <vector>

namespace plantainwall {

struct WorkQueueSettings {
    size_t maxWaiting = 128; ///< Entries; limits memory and the cost of ordering.
};

/// Queue of one service's statements that wait for a connection to a backend server. A decision object.
///
/// Load pattern: more statements arrive than the slots can run. A statement that would wait beyond its limit is refused
/// on arrival, so its caller gets an answer at once. The most urgent priority is served first, and within a priority
/// customers take turns, so that one customer's backlog delays the others by at most one statement.
class WorkQueue {
public:
    struct Entry {
        uint64_t job = 0;
        unsigned priority = 0;
        std::string customer;
        bool needsPrimary = false;
        Instant arrived;
        Instant expiresAt; ///< The entry expires if it is still queued at this time.
        bool resumed = false; ///< Has run in part and goes before all that has not.
    };

    explicit WorkQueue(const WorkQueueSettings& = {});

    /// Returns how long an entry would wait if the servers finish the given number of statements per second; 0 if that
    /// number is 0, which means unknown.
    Duration expectedWait(const Entry&, double capacityPerSecond) const;

    /// Adds an entry. Returns false if the queue is full or the entry would expire before its turn.
    bool push(const Entry&, double capacityPerSecond, Instant now);

    /// Returns the job that should leave a full queue for an entry: the newest of the least urgent priority, if the
    /// entry is more urgent. Returns nothing if the queue is not full or the entry has to be refused itself.
    std::optional<uint64_t> displacedBy(const Entry&) const;

    void erase(uint64_t job);

    /// Returns the waiting jobs in the order in which they should be tried.
    std::vector<uint64_t> order() const;

    /// Removes the expired entries and returns their jobs.
    std::vector<uint64_t> expire(Instant now);

    size_t size() const { return m_entries.size(); }
    bool empty() const { return m_entries.empty(); }

private:
    WorkQueueSettings m_settings;
    std::vector<Entry> m_entries; ///< In order of arrival.
};

} // namespace plantainwall

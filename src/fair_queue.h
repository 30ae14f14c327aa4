#pragma once

#include "plantainwall/plantainwall.h"
#include <map>
#include <optional>

namespace plantainwall {

/// Weighted fair queue of one database: divides its slots between customers by database time.
/// A decision object: the caller passes the time in and starts what startable() returns.
class FairQueue {
public:
    using Ticket = uint64_t;

    struct Decision {
        Ticket ticket = 0;
        std::optional<ResultCode> refusal; ///< Absent: start it now. Otherwise refused as not run with this code.
    };

    FairQueue(const QueueSettings&, unsigned slots);

    /// Queues a request. Returns its ticket, or the code of an immediate refusal (QueueFull, DeadlineTooShort).
    Decision enqueue(std::string_view customer, double weight, Instant deadline, Instant now);

    /// Returns the requests to start now and those refused because they cannot finish before their deadline.
    std::vector<Decision> startable(Instant now);

    /// Reports that a started request has finished after the given database time.
    void finished(Ticket, Duration databaseTime, Instant now);

    /// Removes a queued request whose caller has gone or whose key was withdrawn. Returns whether it was queued.
    bool cancel(Ticket);

    void setSlots(unsigned slots) { m_slots = slots; }
    size_t queued() const;
    unsigned running() const { return m_running; }

private:
    unsigned m_slots;
    unsigned m_running = 0;
};

} // namespace plantainwall

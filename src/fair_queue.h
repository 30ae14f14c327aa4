#pragma once

#include "plantainwall/plantainwall.h"
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace plantainwall {

/// Weighted fair queue of one database: divides its slots between customers by database time.
/// A decision object: the owner passes the time in and starts the requests that startable() returns.
class FairQueue {
public:
    using Ticket = uint64_t;

    struct Decision {
        Ticket ticket = 0;
        /// Code with which the request is refused as not run; absent: it is queued or may start now.
        std::optional<ResultCode> refusal;
    };

    FairQueue(const QueueSettings&, unsigned slots);

    /// Queues a request. Returns its ticket, or an immediate refusal with QueueFull or DeadlineTooShort.
    Decision enqueue(std::string_view customer, double weight, Instant deadline, Instant now);

    /// Returns the requests to start now and those refused because they cannot finish before their deadline.
    std::vector<Decision> startable(Instant now);

    /// Reports that a started request has finished after the given database time.
    void finished(Ticket, Duration databaseTime, Instant now);

    /// Removes a queued request, as after a caller disconnect or the withdrawal of its key. Returns whether it was
    /// queued.
    bool cancel(Ticket);

    void setSlots(unsigned slots) { m_slots = slots; }
    size_t queued() const;
    unsigned running() const { return m_running; }

private:
    // Times are doubles in microseconds; virtual time is microseconds per unit of weight.
    struct Customer {
        double weight = 1;
        double cost = 0; // Estimated database time of one request.
        double nextStart = 0; // Start tag of the first queued request.
        unsigned running = 0;
        Instant lastFinished {}; // Of the latest finished request; the epoch if there was none.
        std::deque<Ticket> queue;
    };
    using CustomerMap = std::map<std::string, Customer, std::less<>>;

    struct Request {
        CustomerMap::iterator customer;
        Instant deadline {};
        double chargedCost = 0;
        bool started = false;
    };

    CustomerMap::iterator customerFor(std::string_view name, double weight);
    double expectedDuration(const Customer&) const;
    void addBacklogged(CustomerMap::iterator, Instant now);
    void removeBacklogged(CustomerMap::iterator);
    void removeQueued(Ticket);
    void refuseExpired(Instant now, std::vector<Decision>&);
    Decision startNext(Instant now);
    void removeIdleCustomers();

    QueueSettings m_settings;
    unsigned m_slots;
    unsigned m_running = 0;
    unsigned m_runningBacklogged = 0; // Running requests of customers that also have queued ones.
    double m_virtualTime = 0;
    double m_activeWeight = 0; // Customers with queued or running requests.
    double m_backloggedWeight = 0; // Customers with queued requests.
    Ticket m_lastTicket = 0;
    CustomerMap m_customers;
    std::unordered_map<Ticket, Request> m_requests;
    std::set<std::pair<Instant, Ticket>> m_deadlines; // Queued requests only.
    std::set<std::pair<double, Ticket>> m_heads; // Start tag and first queued request of each backlogged customer.
};

} // namespace plantainwall

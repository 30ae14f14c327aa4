#include "fair_queue.h"
#include <algorithm>

namespace plantainwall {

namespace {

    // Weight of a new measurement in the moving estimate of a customer's cost.
    constexpr double costSampleWeight = 0.1;
    // Above this number idle customers are removed, so that deleted customers do not accumulate.
    constexpr size_t maxKnownCustomers = 1024;
    constexpr double minWeight = 1e-3;
    // Largest credit of an active customer, in requests of its mean cost. It lets bursts overtake the backlog of a
    // customer above its share. Below 20 the largest of eight customers waits over twice as long when another one
    // overloads; above 32 bursts delay the others (unit.fair-queue, bench worst_customer_p99_ratio).
    constexpr double maxCreditInRequests = 24;
    // A customer without requests for this long is idle and loses its credit. Well above the gaps between requests of a
    // customer that sends 10 or more per second.
    constexpr Duration creditLifetime = std::chrono::milliseconds(250);

    double microseconds(Duration duration) { return static_cast<double>(duration.count()); }

} // namespace

FairQueue::FairQueue(const QueueSettings& settings, unsigned slots)
    : m_settings(settings)
    , m_slots(slots)
{
}

size_t FairQueue::queued() const { return m_deadlines.size(); }

FairQueue::CustomerMap::iterator FairQueue::customerFor(std::string_view name, double weight)
{
    CustomerMap::iterator it = m_customers.find(name);
    if (it == m_customers.end()) {
        removeIdleCustomers();
        it = m_customers.emplace(name, Customer {}).first;
        it->second.cost = microseconds(m_settings.initialCost);
    }
    Customer& customer = it->second;
    const double newWeight = std::max(weight, minWeight);
    if (customer.running || !customer.queue.empty())
        m_activeWeight += newWeight - customer.weight;
    if (!customer.queue.empty())
        m_backloggedWeight += newWeight - customer.weight;
    customer.weight = newWeight;
    return it;
}

void FairQueue::removeIdleCustomers()
{
    if (m_customers.size() < maxKnownCustomers)
        return;
    for (CustomerMap::iterator it = m_customers.begin(); it != m_customers.end();) {
        const Customer& customer = it->second;
        // A customer whose start tag is ahead of the virtual time has used more than its share.
        const bool idle = !customer.running && customer.queue.empty() && customer.nextStart <= m_virtualTime;
        it = idle ? m_customers.erase(it) : std::next(it);
    }
}

// Returns the estimated time in microseconds until a request that this customer queues now has finished.
double FairQueue::expectedDuration(const Customer& customer) const
{
    if (m_running < m_slots && m_deadlines.empty())
        return customer.cost;
    if (!m_slots)
        return 0; // No estimate while the number of slots is unknown.
    const bool backlogged = !customer.queue.empty();
    const bool active = backlogged || customer.running;
    const double activeWeight = m_activeWeight + (active ? 0 : customer.weight);
    const double backloggedWeight = m_backloggedWeight + (backlogged ? 0 : customer.weight);
    const unsigned ownRunning = backlogged ? 0 : customer.running;
    const unsigned runningOthers = m_running - std::min(m_running, m_runningBacklogged + ownRunning);
    const double freeSlots = m_slots > runningOthers ? static_cast<double>(m_slots - runningOthers) : 0;
    // At least the customer's share of all slots; more if customers without queued requests leave some unused.
    const double slots = customer.weight * std::max(m_slots / activeWeight, freeSlots / backloggedWeight);
    return customer.cost * (static_cast<double>(customer.queue.size()) / slots + 1);
}

FairQueue::Decision FairQueue::enqueue(std::string_view customerName, double weight, Instant deadline, Instant now)
{
    CustomerMap::iterator it = customerFor(customerName, weight);
    Customer& customer = it->second;
    if (deadline <= now)
        return { 0, ResultCode::DeadlineTooShort };
    if (customer.queue.size() >= m_settings.maxQueuedPerCustomer)
        return { 0, ResultCode::QueueFull };
    // A customer with nothing queued or running is always admitted: otherwise its estimate would never be corrected.
    const bool soleRequest = !customer.running && customer.queue.empty();
    if (!soleRequest && expectedDuration(customer) > microseconds(deadline - now))
        return { 0, ResultCode::DeadlineTooShort };

    const Ticket ticket = ++m_lastTicket;
    m_requests.emplace(ticket, Request { it, deadline });
    m_deadlines.emplace(deadline, ticket);
    customer.queue.push_back(ticket);
    if (customer.queue.size() == 1)
        addBacklogged(it, now);
    return { ticket, std::nullopt };
}

// Called when the customer's first request has been queued. A customer below its share keeps a limited credit for the
// service that it left to others; idle time earns no credit.
void FairQueue::addBacklogged(CustomerMap::iterator it, Instant now)
{
    Customer& customer = it->second;
    const bool idle = !customer.running && now - customer.lastFinished > creditLifetime;
    const double credit = idle ? 0 : maxCreditInRequests * customer.cost / customer.weight;
    customer.nextStart = std::max(customer.nextStart, m_virtualTime - credit);
    m_heads.emplace(customer.nextStart, customer.queue.front());
    m_backloggedWeight += customer.weight;
    m_runningBacklogged += customer.running;
    if (!customer.running)
        m_activeWeight += customer.weight;
}

// Called when the customer's last queued request has been removed.
void FairQueue::removeBacklogged(CustomerMap::iterator it)
{
    Customer& customer = it->second;
    m_backloggedWeight = m_heads.empty() ? 0 : m_backloggedWeight - customer.weight;
    m_runningBacklogged -= customer.running;
    if (!customer.running)
        m_activeWeight -= customer.weight;
}

void FairQueue::removeQueued(Ticket ticket)
{
    const Request& request = m_requests.at(ticket);
    CustomerMap::iterator it = request.customer;
    Customer& customer = it->second;
    m_deadlines.erase({ request.deadline, ticket });
    const bool wasHead = customer.queue.front() == ticket;
    if (wasHead) {
        m_heads.erase({ customer.nextStart, ticket });
        customer.queue.pop_front();
        if (!customer.queue.empty())
            m_heads.emplace(customer.nextStart, customer.queue.front());
    } else {
        customer.queue.erase(std::find(customer.queue.begin(), customer.queue.end(), ticket));
    }
    if (customer.queue.empty())
        removeBacklogged(it);
}

void FairQueue::refuseExpired(Instant now, std::vector<Decision>& decisions)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const Ticket ticket = m_deadlines.begin()->second;
        removeQueued(ticket);
        m_requests.erase(ticket);
        decisions.push_back({ ticket, ResultCode::DeadlineExceeded });
    }
}

FairQueue::Decision FairQueue::startNext(Instant now)
{
    const Ticket ticket = m_heads.begin()->second;
    Request& request = m_requests.at(ticket);
    Customer& customer = request.customer->second;
    const bool soleRequest = !customer.running && customer.queue.size() == 1;
    removeQueued(ticket);
    if (!soleRequest && customer.cost > microseconds(request.deadline - now)) {
        m_requests.erase(ticket);
        return { ticket, ResultCode::DeadlineTooShort };
    }
    m_virtualTime = std::max(m_virtualTime, customer.nextStart);
    request.started = true;
    request.chargedCost = customer.cost;
    const bool backlogged = !customer.queue.empty();
    if (backlogged)
        m_heads.erase({ customer.nextStart, customer.queue.front() });
    customer.nextStart += customer.cost / customer.weight;
    if (backlogged) {
        m_heads.emplace(customer.nextStart, customer.queue.front());
        ++m_runningBacklogged;
    } else if (!customer.running) {
        m_activeWeight += customer.weight;
    }
    ++customer.running;
    ++m_running;
    return { ticket, std::nullopt };
}

std::vector<FairQueue::Decision> FairQueue::startable(Instant now)
{
    std::vector<Decision> decisions;
    refuseExpired(now, decisions);
    while (m_running < m_slots && !m_heads.empty())
        decisions.push_back(startNext(now));
    return decisions;
}

void FairQueue::finished(Ticket ticket, Duration databaseTime, Instant now)
{
    const std::unordered_map<Ticket, Request>::iterator found = m_requests.find(ticket);
    if (found == m_requests.end() || !found->second.started)
        return;
    Customer& customer = found->second.customer->second;
    const double measured = std::max(microseconds(databaseTime), 0.0);
    const double correction = (measured - found->second.chargedCost) / customer.weight;
    m_requests.erase(found);
    customer.cost += costSampleWeight * (measured - customer.cost);
    customer.lastFinished = now;
    --customer.running;
    --m_running;
    if (!customer.queue.empty()) {
        m_heads.erase({ customer.nextStart, customer.queue.front() });
        customer.nextStart += correction;
        m_heads.emplace(customer.nextStart, customer.queue.front());
        --m_runningBacklogged;
        return;
    }
    customer.nextStart += correction;
    if (!customer.running)
        m_activeWeight -= customer.weight;
    if (!m_running && m_heads.empty())
        m_activeWeight = 0; // Discards rounding errors.
}

bool FairQueue::cancel(Ticket ticket)
{
    const std::unordered_map<Ticket, Request>::iterator found = m_requests.find(ticket);
    if (found == m_requests.end() || found->second.started)
        return false;
    removeQueued(ticket);
    m_requests.erase(ticket);
    return true;
}

} // namespace plantainwall

#include "work_queue.h"
#include <algorithm>

namespace plantainwall {

WorkQueue::WorkQueue(const WorkQueueSettings& settings)
    : m_settings(settings)
{
}

Duration WorkQueue::expectedWait(const Entry& entry, double capacityPerSecond) const
{
    size_t ahead = 0;
    size_t ownEntries = 0;
    std::map<std::string, size_t> perCustomer;
    for (const Entry& other : m_entries) {
        if (other.needsPrimary != entry.needsPrimary || other.priority > entry.priority)
            continue;
        if (other.customer == entry.customer)
            ++ownEntries;
        else
            ++perCustomer[other.customer];
        if (other.priority < entry.priority)
            ++ahead;
    }
    // Customers take turns: each other customer gets at most one turn more than this customer has entries queued.
    for (const auto& [customer, n] : perCustomer)
        ahead += std::min(n, ownEntries + 1);
    ahead += ownEntries;
    if (ahead == 0 || capacityPerSecond <= 0)
        return Duration(0);
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(static_cast<double>(ahead) / capacityPerSecond));
}

bool WorkQueue::push(const Entry& entry, double capacityPerSecond, Instant now)
{
    if (m_entries.size() >= m_settings.maxWaiting || now + expectedWait(entry, capacityPerSecond) > entry.expiresAt)
        return false;
    m_entries.push_back(entry);
    return true;
}

// Load pattern: a burst of less urgent statements has filled the queue when an urgent one arrives.
std::optional<uint64_t> WorkQueue::displacedBy(const Entry& entry) const
{
    if (m_entries.size() < m_settings.maxWaiting)
        return std::nullopt;
    const Entry* last = nullptr;
    for (const Entry& other : m_entries) {
        if (!other.resumed && (last == nullptr || other.priority >= last->priority))
            last = &other;
    }
    return last != nullptr && last->priority > entry.priority ? std::optional<uint64_t>(last->job) : std::nullopt;
}

void WorkQueue::erase(uint64_t job)
{
    const auto it
        = std::find_if(m_entries.begin(), m_entries.end(), [&](const Entry& entry) { return entry.job == job; });
    if (it != m_entries.end())
        m_entries.erase(it);
}

std::vector<uint64_t> WorkQueue::order() const
{
    struct OrderedJob {
        bool isNew;
        unsigned priority;
        size_t turn;
        size_t arrival;
        uint64_t job;
    };
    std::vector<OrderedJob> ordered;
    std::map<std::pair<unsigned, std::string>, size_t> turns;
    for (size_t i = 0; i < m_entries.size(); ++i) {
        const Entry& entry = m_entries[i];
        ordered.push_back(
            { !entry.resumed, entry.priority, turns[{ entry.priority, entry.customer }]++, i, entry.job });
    }
    std::sort(ordered.begin(), ordered.end(), [](const OrderedJob& a, const OrderedJob& b) {
        return std::tie(a.isNew, a.priority, a.turn, a.arrival) < std::tie(b.isNew, b.priority, b.turn, b.arrival);
    });
    std::vector<uint64_t> jobs;
    jobs.reserve(ordered.size());
    for (const OrderedJob& orderedJob : ordered)
        jobs.push_back(orderedJob.job);
    return jobs;
}

std::vector<uint64_t> WorkQueue::expire(Instant now)
{
    std::vector<uint64_t> expired;
    for (const Entry& entry : m_entries) {
        if (entry.expiresAt <= now)
            expired.push_back(entry.job);
    }
    m_entries.erase(
        std::remove_if(m_entries.begin(), m_entries.end(), [&](const Entry& entry) { return entry.expiresAt <= now; }),
        m_entries.end());
    return expired;
}

} // namespace plantainwall

#include "request_memory.h"
#include <algorithm>

namespace plantainwall {

RequestMemory::RequestMemory(size_t totalBytes)
    : m_total(totalBytes)
{
}

size_t RequestMemory::held() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_held;
}

uint64_t RequestMemory::ended() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_ended;
}

RequestMemory::EndHandlers RequestMemory::makeRoom(const RequestAccount& other, size_t bytes, size_t limit, Instant now)
{
    size_t wanted = m_held + bytes;
    std::vector<RequestAccount*> slow;
    for (RequestAccount* const it : m_accounts) {
        if (it->m_ending)
            wanted -= it->m_bytes;
        else if (it != &other && it->m_bytes > 0 && it->m_waitsSince && now - *it->m_waitsSince >= slowLimit)
            slow.push_back(it);
    }
    std::sort(slow.begin(), slow.end(), [](const RequestAccount* a, const RequestAccount* b) {
        return a->m_bytes != b->m_bytes ? a->m_bytes > b->m_bytes : *a->m_waitsSince < *b->m_waitsSince;
    });
    EndHandlers handlers;
    for (auto it = slow.begin(); it != slow.end() && wanted > limit; ++it) {
        (*it)->m_ending = true;
        wanted -= (*it)->m_bytes;
        ++m_ended;
        handlers.push_back((*it)->m_end);
    }
    return handlers;
}

RequestAccount::RequestAccount(RequestMemory& memory, std::function<void()> end)
    : m_memory(memory)
    , m_end(std::move(end))
{
    std::lock_guard<std::mutex> lock(m_memory.m_mutex);
    m_index = m_memory.m_accounts.size();
    m_memory.m_accounts.push_back(this);
}

RequestAccount::~RequestAccount()
{
    std::lock_guard<std::mutex> lock(m_memory.m_mutex);
    m_memory.m_held -= m_bytes;
    RequestAccount* const last = m_memory.m_accounts.back();
    last->m_index = m_index;
    m_memory.m_accounts[m_index] = last;
    m_memory.m_accounts.pop_back();
}

bool RequestAccount::reserve(size_t bytes, Instant now)
{
    RequestMemory::EndHandlers handlers;
    {
        std::lock_guard<std::mutex> lock(m_memory.m_mutex);
        if (!m_waitsSince)
            m_waitsSince = now;
        if (bytes <= m_bytes)
            return true;
        const size_t added = bytes - m_bytes;
        const size_t reserve = bytes <= RequestMemory::smallBytes ? 0 : m_memory.m_total / 8;
        const size_t limit = m_memory.m_total - reserve;
        if (m_memory.m_held + added <= limit) {
            m_memory.m_held += added;
            m_bytes = bytes;
            return true;
        }
        handlers = m_memory.makeRoom(*this, added, limit, now);
    }
    // Called unlocked, as a handler may destroy accounts.
    for (const std::function<void()>& handler : handlers)
        handler();
    return false;
}

void RequestAccount::setRunning()
{
    std::lock_guard<std::mutex> lock(m_memory.m_mutex);
    m_waitsSince.reset();
    m_ending = false;
}

void RequestAccount::setAnswering(size_t bytes, Instant now)
{
    std::lock_guard<std::mutex> lock(m_memory.m_mutex);
    m_memory.m_held += bytes;
    m_bytes += bytes;
    m_waitsSince = now;
}

} // namespace plantainwall

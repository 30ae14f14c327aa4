#include "rate_share.h"
#include <algorithm>

namespace plantainwall {

namespace {

    // A waiting request is answered after this time with what is there; the borrower's caller waits 50 ms in all.
    constexpr Duration maxCollectTime = std::chrono::milliseconds(80);
    // Pause after a request to a holder, doubled for each refusal in a row up to 1.6 s. A holder is asked for all that
    // is missing; a surplus is returned.
    constexpr Duration requestPause = std::chrono::milliseconds(50);

} // namespace

SharePool::SharePool(RateShare& share, std::string self)
    : m_share(share)
    , m_self(std::move(self))
{
}

std::vector<ShareMessage> SharePool::collect(
    ShareUnits units, const std::vector<std::string>& holders, const std::string& except, Instant now)
{
    std::vector<ShareMessage> messages;
    for (const std::string& holder : holders) {
        if (holder == m_self || holder == except)
            continue;
        Holder& known = m_holders[holder];
        if (known.nextRequest > now)
            continue;
        known.nextRequest = now + requestPause * (1 << std::min(known.refusedInRow, 5U));
        messages.push_back(m_share.makeRequest(holder, false, units, now));
        m_collecting[messages.back().id] = now + maxCollectTime;
    }
    return messages;
}

std::vector<ShareMessage> SharePool::request(
    const ShareMessage& message, const std::vector<std::string>& holders, Instant now)
{
    const ShareUnits available = m_share.lendable(now);
    std::vector<ShareMessage> messages;
    if (available < message.units)
        messages = collect(message.units - available, holders, message.from, now);
    if (available > 0 || m_collecting.empty())
        messages.push_back(m_share.lend(message, now));
    else
        m_waiting.push_back({ message, now + maxCollectTime });
    return messages;
}

std::vector<ShareMessage> SharePool::granted(const ShareMessage& message, Instant now)
{
    if (!m_collecting.erase(message.id))
        return {};
    Holder& holder = m_holders[message.from];
    holder.refusedInRow = message.units > 0 ? 0 : holder.refusedInRow + 1;
    return answer(m_collecting.empty(), now);
}

std::vector<ShareMessage> SharePool::answer(bool all, Instant now)
{
    std::vector<ShareMessage> messages;
    std::vector<Waiting> left;
    for (Waiting& waiting : m_waiting) {
        const bool enough = m_share.lendable(now) > 0;
        if (all || enough || waiting.until <= now)
            messages.push_back(m_share.lend(waiting.request, now));
        else
            left.push_back(std::move(waiting));
    }
    m_waiting = std::move(left);
    return messages;
}

std::vector<ShareMessage> SharePool::tick(const std::vector<std::string>& holders, Instant now)
{
    for (std::map<ShareId, Instant>::iterator it = m_collecting.begin(); it != m_collecting.end();)
        it = it->second <= now ? m_collecting.erase(it) : std::next(it);
    std::vector<ShareMessage> messages = answer(m_collecting.empty(), now);
    if (holders.empty())
        return messages;
    const ShareUnits units = m_share.unitsToRequest(now);
    if (units > 0) {
        for (ShareMessage& message : collect(units, holders, m_self, now))
            messages.push_back(std::move(message));
    }
    return messages;
}

CustomerShare::CustomerShare(
    const LimitSettings& settings, const std::string& customer, const std::string& self, uint64_t incarnation)
    : m_self(self)
    , m_share(settings, customer, self, incarnation)
    , m_pool(m_share, self)
{
}

std::vector<ShareMessage> CustomerShare::receive(
    const ShareMessage& message, const std::vector<std::string>& holders, Instant now)
{
    if (message.kind == ShareMessageKind::Request && message.toPool)
        return m_pool.request(message, holders, now);
    std::vector<ShareMessage> messages = m_share.receive(message, now);
    if (message.kind == ShareMessageKind::Grant) {
        for (ShareMessage& answer : m_pool.granted(message, now))
            messages.push_back(std::move(answer));
    }
    return messages;
}

std::vector<ShareMessage> CustomerShare::tick(
    std::string_view pool, const std::vector<std::string>& holders, Instant now)
{
    std::vector<ShareMessage> messages = m_share.tick(pool, now);
    // Requests that wait are answered even if the duty has moved to another host.
    static const std::vector<std::string> none;
    for (ShareMessage& message : m_pool.tick(pool == m_self ? holders : none, now))
        messages.push_back(std::move(message));
    return messages;
}

} // namespace plantainwall

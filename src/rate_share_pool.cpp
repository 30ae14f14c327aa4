#include "rate_share.h"
#include <algorithm>

namespace plantainwall {

namespace {

    // A waiting request is answered after this time with the units available by then. The borrower's caller waits 50 ms
    // in total.
    constexpr Duration maxCollectTime = std::chrono::milliseconds(80);
    // Pause after a request to a holder, doubled for each consecutive refusal up to 1.6 s. Each holder is asked for all
    // missing units; a surplus is returned.
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
        HolderState& state = m_holders[holder];
        if (state.nextRequest > now)
            continue;
        state.nextRequest = now + requestPause * (1 << std::min(state.consecutiveRefusals, 5U));
        messages.push_back(m_share.makeRequest(holder, false, units, now));
        m_collecting[messages.back().id] = now + maxCollectTime;
    }
    return messages;
}

std::vector<ShareMessage> SharePool::handleRequest(
    const ShareMessage& message, const std::vector<std::string>& holders, Instant now)
{
    const ShareUnits available = m_share.lendable(now);
    std::vector<ShareMessage> messages;
    if (available < message.units)
        messages = collect(message.units - available, holders, message.from, now);
    if (available > 0 || m_collecting.empty())
        messages.push_back(m_share.lend(message, now));
    else
        m_waitingRequests.push_back({ message, now + maxCollectTime });
    return messages;
}

std::vector<ShareMessage> SharePool::handleGrant(const ShareMessage& message, Instant now)
{
    if (!m_collecting.erase(message.id))
        return {};
    HolderState& holder = m_holders[message.from];
    holder.consecutiveRefusals = message.units > 0 ? 0 : holder.consecutiveRefusals + 1;
    return answerWaiting(m_collecting.empty(), now);
}

std::vector<ShareMessage> SharePool::answerWaiting(bool all, Instant now)
{
    std::vector<ShareMessage> messages;
    std::vector<WaitingRequest> stillWaiting;
    for (WaitingRequest& waiting : m_waitingRequests) {
        const bool hasUnits = m_share.lendable(now) > 0;
        if (all || hasUnits || waiting.until <= now)
            messages.push_back(m_share.lend(waiting.request, now));
        else
            stillWaiting.push_back(std::move(waiting));
    }
    m_waitingRequests = std::move(stillWaiting);
    return messages;
}

std::vector<ShareMessage> SharePool::tick(const std::vector<std::string>& holders, Instant now)
{
    for (std::map<ShareId, Instant>::iterator it = m_collecting.begin(); it != m_collecting.end();)
        it = it->second <= now ? m_collecting.erase(it) : std::next(it);
    std::vector<ShareMessage> messages = answerWaiting(m_collecting.empty(), now);
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
        return m_pool.handleRequest(message, holders, now);
    std::vector<ShareMessage> messages = m_share.receive(message, now);
    if (message.kind == ShareMessageKind::Grant) {
        for (ShareMessage& answer : m_pool.handleGrant(message, now))
            messages.push_back(std::move(answer));
    }
    return messages;
}

std::vector<ShareMessage> CustomerShare::tick(
    std::string_view pool, const std::vector<std::string>& holders, Instant now)
{
    std::vector<ShareMessage> messages = m_share.tick(pool, now);
    // Waiting requests are answered even if the role of pool host has moved to another host.
    static const std::vector<std::string> noHolders;
    for (ShareMessage& message : m_pool.tick(pool == m_self ? holders : noHolders, now))
        messages.push_back(std::move(message));
    return messages;
}

} // namespace plantainwall

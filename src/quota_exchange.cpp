#include "quota_exchange.h"
#include "log_event.h"
#include "placement.h"
#include <algorithm>
#include <charconv>
#include <utility>

namespace plantainwall {

namespace {

    constexpr std::string_view requestPrefix = "quota? ";
    constexpr std::string_view answerPrefix = "quota! ";

    /// A host that left requests unanswered gets no requests for this long or until a message from it arrives. In
    /// fleets of 90 hosts a dead host counts as unreachable by then, because its reports are missing.
    constexpr Duration avoidanceTime = std::chrono::seconds(10);

    /// More than a request has beside the customer, in bytes: a word, a number and the name of a host.
    constexpr size_t maxRequestOverhead = 256;

    /// The same on all hosts, whatever their names: they must agree on which customers are counted by one host.
    bool canBeRequested(const std::string& customer)
    {
        return customer.size() + maxRequestOverhead <= PeerChannel::maxDatagramBytes;
    }

    std::string_view nextField(std::string_view& rest)
    {
        const size_t end = rest.find(' ');
        const std::string_view field = rest.substr(0, end);
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
        return field;
    }

    uint64_t parseNumber(std::string_view text)
    {
        uint64_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

} // namespace

QuotaExchange::QuotaExchange(std::string host, PeerChannel& channel, Clock clock, uint64_t firstRequest)
    : m_host(std::move(host))
    , m_channel(channel)
    , m_clock(std::move(clock))
    , m_nextNumber(firstRequest)
{
}

std::string QuotaExchange::chooseQuotaHost(const std::string& customer) const
{
    const auto weightOf = [&](const std::string& host) {
        return std::make_pair(m_weakHosts.count(host) == 0, Placement::weight(host, customer));
    };
    std::string best = m_host;
    std::pair<bool, uint64_t> bestWeight = weightOf(m_host);
    for (const auto& [host, address] : m_reachableHosts) {
        const std::pair<bool, uint64_t> weight = weightOf(host);
        if (weight > bestWeight && m_unresponsiveUntil.count(host) == 0) {
            best = host;
            bestWeight = weight;
        }
    }
    return best;
}

void QuotaExchange::updateQuotaHosts()
{
    for (auto& [customer, host] : m_quotaHosts) {
        const std::string chosen = chooseQuotaHost(customer);
        if (chosen == host)
            continue;
        if (chosen == m_host)
            m_buckets.takeOver(customer, m_clock());
        host = chosen;
    }
}

void QuotaExchange::setLimit(const GatewayCustomer& customer)
{
    m_buckets.setLimit(customer.name, customer.ratePerSecond, customer.burst, m_clock());
    m_quotaHosts.try_emplace(customer.name, chooseQuotaHost(customer.name));
}

void QuotaExchange::removeCustomer(const std::string& customer)
{
    m_buckets.removeCustomer(customer);
    m_quotaHosts.erase(customer);
    m_refusedUntil.erase(customer);
}

void QuotaExchange::setFleet(
    std::map<std::string, std::string> reachableHosts, size_t fleetSize, std::set<std::string> weakHosts)
{
    m_fleetSize = std::max(fleetSize, reachableHosts.size() + 1);
    if (reachableHosts == m_reachableHosts && weakHosts == m_weakHosts)
        return;
    m_reachableHosts = std::move(reachableHosts);
    m_weakHosts = std::move(weakHosts);
    for (auto it = m_unresponsiveUntil.begin(); it != m_unresponsiveUntil.end();)
        it = m_reachableHosts.count(it->first) == 0 ? m_unresponsiveUntil.erase(it) : std::next(it);
    updateQuotaHosts();
}

void QuotaExchange::heard(const std::string& host)
{
    if (m_unresponsiveUntil.erase(host) != 0)
        updateQuotaHosts();
}

void QuotaExchange::markUnresponsive(const std::string& host)
{
    if (!m_unresponsiveUntil.emplace(host, m_clock() + avoidanceTime).second)
        return;
    logEvent(LogEvent::PeerSilent, { { "peer", host }, { "reason", "left a quota request unanswered" } });
    updateQuotaHosts();
}

// Checks whether a host answers, unless a request to it is already pending.
void QuotaExchange::probe(const std::string& host)
{
    const bool requestPending = std::any_of(
        m_requests.begin(), m_requests.end(), [&](const auto& entry) { return entry.second.host == host; });
    if (requestPending || m_unresponsiveUntil.count(host) != 0)
        return;
    const uint64_t number = m_nextNumber++;
    TokenRequest& request = m_requests[number];
    request.host = host;
    send(number, request);
}

const std::string& QuotaExchange::quotaHost(const std::string& customer) const
{
    const auto it = m_quotaHosts.find(customer);
    return it == m_quotaHosts.end() ? m_host : it->second;
}

QuotaBuckets::Verdict QuotaExchange::takeLocally(const std::string& customer)
{
    const bool own = quotaHost(customer) == m_host && canBeRequested(customer);
    const double countedHosts = own ? static_cast<double>(m_reachableHosts.size() + 1) : 1;
    return m_buckets.take(customer, countedHosts / static_cast<double>(m_fleetSize), m_clock());
}

// The requesting host sends a request again if the answer is late, and the network may repeat a datagram. Only one
// operation runs.
QuotaBuckets::Verdict QuotaExchange::answerTo(const RequestId& id, const std::string& customer)
{
    const Instant now = m_clock();
    const auto known = m_answered.find(id);
    if (known != m_answered.end() && known->second.customer == customer
        && now - known->second.at < m_settings.answerReuse)
        return known->second.verdict;
    const QuotaBuckets::Verdict verdict = takeLocally(customer);
    m_answered[id] = { customer, verdict, now };
    m_answeredOrder.emplace_back(now, id);
    return verdict;
}

void QuotaExchange::requestToken(const std::string& customer, std::function<void(QuotaBuckets::Verdict)> handler)
{
    const auto refusal = m_refusedUntil.find(customer);
    if (refusal != m_refusedUntil.end()) {
        const Instant now = m_clock();
        if (now < refusal->second) {
            handler({ false, std::chrono::duration_cast<Duration>(refusal->second - now) });
            return;
        }
        m_refusedUntil.erase(refusal);
    }
    TokenRequest request;
    request.customer = customer;
    request.handler = std::move(handler);
    sendToQuotaHost(m_nextNumber++, std::move(request));
}

void QuotaExchange::sendToQuotaHost(uint64_t number, TokenRequest request)
{
    request.host = quotaHost(request.customer);
    request.attempts = 0;
    ++request.hostsTried;
    if (request.host == m_host || !canBeRequested(request.customer)) {
        const QuotaBuckets::Verdict verdict = takeLocally(request.customer);
        request.handler(verdict);
        return;
    }
    send(number, m_requests[number] = std::move(request));
}

void QuotaExchange::send(uint64_t number, TokenRequest& request)
{
    ++request.attempts;
    request.prolonged = false;
    request.sentAt = m_clock();
    const auto it = m_reachableHosts.find(request.host);
    if (it == m_reachableHosts.end())
        return;
    m_channel.send(
        it->second, std::string(requestPrefix) + std::to_string(number) + " " + m_host + " " + request.customer);
}

bool QuotaExchange::datagram(const std::string& text)
{
    std::string_view rest = text;
    if (rest.substr(0, requestPrefix.size()) == requestPrefix) {
        rest.remove_prefix(requestPrefix.size());
        const std::string number(nextField(rest));
        const std::string sender(nextField(rest));
        const std::string customer(rest);
        const auto peer = m_reachableHosts.find(sender);
        if (peer == m_reachableHosts.end())
            return true; // The sender will try another host.
        heard(sender);
        if (customer.empty()) {
            m_channel.send(peer->second, std::string(answerPrefix) + number + " 0 0");
            return true;
        }
        if (!m_buckets.contains(customer))
            return true;
        const std::string& expected = quotaHost(customer);
        if (expected != m_host)
            probe(expected);
        const QuotaBuckets::Verdict verdict = answerTo({ sender, parseNumber(number) }, customer);
        m_channel.send(peer->second,
            std::string(answerPrefix) + number + (verdict.admitted ? " 1 " : " 0 ")
                + std::to_string(verdict.retryAfter.count()));
        return true;
    }
    if (rest.substr(0, answerPrefix.size()) != answerPrefix)
        return false;
    rest.remove_prefix(answerPrefix.size());
    const auto it = m_requests.find(parseNumber(nextField(rest)));
    if (it == m_requests.end())
        return true;
    QuotaBuckets::Verdict verdict;
    verdict.admitted = nextField(rest) == "1";
    verdict.retryAfter = Duration(static_cast<int64_t>(parseNumber(rest)));
    const TokenRequest request = std::move(it->second);
    m_requests.erase(it);
    if (request.customer.empty())
        return true;
    if (!verdict.admitted)
        m_refusedUntil[request.customer] = m_clock() + std::min(verdict.retryAfter, m_settings.refusalCacheTime);
    request.handler(verdict);
    return true;
}

void QuotaExchange::tick()
{
    const Instant now = m_clock();
    bool changed = false;
    for (auto it = m_unresponsiveUntil.begin(); it != m_unresponsiveUntil.end();) {
        const bool expired = it->second <= now;
        changed = changed || expired;
        it = expired ? m_unresponsiveUntil.erase(it) : std::next(it);
    }
    for (; !m_answeredOrder.empty() && now - m_answeredOrder.front().first >= m_settings.answerReuse;
         m_answeredOrder.pop_front()) {
        const auto it = m_answered.find(m_answeredOrder.front().second);
        if (it != m_answered.end() && it->second.at == m_answeredOrder.front().first)
            m_answered.erase(it);
    }
    const Duration gap = std::chrono::duration_cast<Duration>(now - m_tickedAt);
    const bool late = m_tickedAt != Instant() && gap > m_settings.maxTickGap;
    m_tickedAt = now;
    std::vector<uint64_t> due;
    for (auto& [number, request] : m_requests) {
        if (late && !request.prolonged) {
            request.prolonged = true;
            request.sentAt += gap;
        }
        if (now - request.sentAt >= m_settings.answerTimeout)
            due.push_back(number);
    }
    for (const uint64_t number : due) {
        TokenRequest& request = m_requests[number];
        if (request.attempts < m_settings.maxAttemptsPerHost && m_unresponsiveUntil.count(request.host) == 0) {
            send(number, request);
            continue;
        }
        TokenRequest timedOut = std::move(request);
        m_requests.erase(number);
        markUnresponsive(timedOut.host);
        if (timedOut.customer.empty())
            continue;
        if (timedOut.hostsTried < m_settings.maxHosts)
            sendToQuotaHost(number, std::move(timedOut));
        else
            timedOut.handler(takeLocally(timedOut.customer));
    }
    if (changed)
        updateQuotaHosts();
}

} // namespace plantainwall

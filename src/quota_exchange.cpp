#include "quota_exchange.h"
#include "log_event.h"
#include "placement.h"
#include <algorithm>
#include <charconv>

namespace plantainwall {

namespace {

    constexpr std::string_view questionWord = "quota? ";
    constexpr std::string_view answerWord = "quota! ";

    /// A host that left questions unanswered is not asked again until it is heard, or for this long: in fleets of 90
    /// hosts it is out of reach by then, for want of reports.
    constexpr Duration avoidanceTime = std::chrono::seconds(10);

    std::string_view nextField(std::string_view& rest)
    {
        const size_t end = rest.find(' ');
        const std::string_view field = rest.substr(0, end);
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
        return field;
    }

    uint64_t numberOf(std::string_view text)
    {
        uint64_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

} // namespace

QuotaExchange::QuotaExchange(std::string host, PeerChannel& channel, Clock clock)
    : m_host(std::move(host))
    , m_channel(channel)
    , m_clock(std::move(clock))
{
}

std::string QuotaExchange::choose(const std::string& customer) const
{
    std::string best = m_host;
    uint64_t bestWeight = Placement::weight(m_host, customer);
    for (const auto& [host, address] : m_reachableHosts) {
        const uint64_t w = Placement::weight(host, customer);
        if (w > bestWeight && m_unresponsiveUntil.count(host) == 0) {
            best = host;
            bestWeight = w;
        }
    }
    return best;
}

void QuotaExchange::chooseAll()
{
    for (auto& [customer, host] : m_quotaHosts) {
        const std::string chosen = choose(customer);
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
    m_quotaHosts.try_emplace(customer.name, choose(customer.name));
}

void QuotaExchange::removeCustomer(const std::string& customer)
{
    m_buckets.removeCustomer(customer);
    m_quotaHosts.erase(customer);
    m_deniedUntil.erase(customer);
}

void QuotaExchange::setFleet(std::map<std::string, std::string> reachableHosts, size_t hosts)
{
    m_hosts = std::max(hosts, reachableHosts.size() + 1);
    if (reachableHosts == m_reachableHosts)
        return;
    m_reachableHosts = std::move(reachableHosts);
    for (auto it = m_unresponsiveUntil.begin(); it != m_unresponsiveUntil.end();)
        it = m_reachableHosts.count(it->first) == 0 ? m_unresponsiveUntil.erase(it) : std::next(it);
    chooseAll();
}

void QuotaExchange::heard(const std::string& host)
{
    if (m_unresponsiveUntil.erase(host) != 0)
        chooseAll();
}

void QuotaExchange::markUnresponsive(const std::string& host)
{
    if (!m_unresponsiveUntil.emplace(host, m_clock() + avoidanceTime).second)
        return;
    logEvent(LogEvent::PeerSilent, { { "peer", host }, { "reason", "left a question unanswered" } });
    chooseAll();
}

// Asks a host whether it answers, unless a question to it is under way.
void QuotaExchange::verify(const std::string& host)
{
    const bool asked = std::any_of(
        m_questions.begin(), m_questions.end(), [&](const auto& entry) { return entry.second.host == host; });
    if (asked || m_unresponsiveUntil.count(host) != 0)
        return;
    const uint64_t number = m_nextNumber++;
    Question& question = m_questions[number];
    question.host = host;
    send(number, question);
}

const std::string& QuotaExchange::quotaHost(const std::string& customer) const
{
    const auto it = m_quotaHosts.find(customer);
    return it == m_quotaHosts.end() ? m_host : it->second;
}

QuotaBuckets::Verdict QuotaExchange::takeLocally(const std::string& customer)
{
    const bool own = quotaHost(customer) == m_host;
    const double heard = own ? static_cast<double>(m_reachableHosts.size() + 1) : 1;
    return m_buckets.take(customer, heard / static_cast<double>(m_hosts), m_clock());
}

void QuotaExchange::requestToken(const std::string& customer, std::function<void(QuotaBuckets::Verdict)> handler)
{
    const auto denied = m_deniedUntil.find(customer);
    if (denied != m_deniedUntil.end()) {
        const Instant now = m_clock();
        if (now < denied->second) {
            handler({ false, std::chrono::duration_cast<Duration>(denied->second - now) });
            return;
        }
        m_deniedUntil.erase(denied);
    }
    Question question;
    question.customer = customer;
    question.handler = std::move(handler);
    put(m_nextNumber++, std::move(question));
}

void QuotaExchange::put(uint64_t number, Question question)
{
    question.host = quotaHost(question.customer);
    question.tries = 0;
    ++question.hosts;
    if (question.host == m_host) {
        const QuotaBuckets::Verdict verdict = takeLocally(question.customer);
        question.handler(verdict);
        return;
    }
    send(number, m_questions[number] = std::move(question));
}

void QuotaExchange::send(uint64_t number, Question& question)
{
    ++question.tries;
    question.sentAt = m_clock();
    const auto it = m_reachableHosts.find(question.host);
    if (it == m_reachableHosts.end())
        return;
    m_channel.send(
        it->second, std::string(questionWord) + std::to_string(number) + " " + m_host + " " + question.customer);
}

bool QuotaExchange::datagram(const std::string& text)
{
    std::string_view rest = text;
    if (rest.substr(0, questionWord.size()) == questionWord) {
        rest.remove_prefix(questionWord.size());
        const std::string number(nextField(rest));
        const std::string asker(nextField(rest));
        const std::string customer(rest);
        const auto peer = m_reachableHosts.find(asker);
        if (peer == m_reachableHosts.end())
            return true; // The asker turns to another host.
        heard(asker);
        if (customer.empty()) {
            m_channel.send(peer->second, std::string(answerWord) + number + " 0 0");
            return true;
        }
        if (!m_buckets.knows(customer))
            return true;
        const std::string& expected = quotaHost(customer);
        if (expected != m_host)
            verify(expected);
        const QuotaBuckets::Verdict verdict = takeLocally(customer);
        m_channel.send(peer->second,
            std::string(answerWord) + number + (verdict.admitted ? " 1 " : " 0 ")
                + std::to_string(verdict.retryAfter.count()));
        return true;
    }
    if (rest.substr(0, answerWord.size()) != answerWord)
        return false;
    rest.remove_prefix(answerWord.size());
    const auto it = m_questions.find(numberOf(nextField(rest)));
    if (it == m_questions.end())
        return true;
    QuotaBuckets::Verdict verdict;
    verdict.admitted = nextField(rest) == "1";
    verdict.retryAfter = Duration(static_cast<int64_t>(numberOf(rest)));
    const Question question = std::move(it->second);
    m_questions.erase(it);
    if (question.customer.empty())
        return true;
    if (!verdict.admitted)
        m_deniedUntil[question.customer] = m_clock() + std::min(verdict.retryAfter, m_settings.refusalCacheTime);
    question.handler(verdict);
    return true;
}

void QuotaExchange::tick()
{
    const Instant now = m_clock();
    bool changed = false;
    for (auto it = m_unresponsiveUntil.begin(); it != m_unresponsiveUntil.end();) {
        const bool over = it->second <= now;
        changed = changed || over;
        it = over ? m_unresponsiveUntil.erase(it) : std::next(it);
    }
    std::vector<uint64_t> due;
    for (auto& [number, question] : m_questions) {
        if (now - question.sentAt >= m_settings.answerTimeout)
            due.push_back(number);
    }
    for (const uint64_t number : due) {
        Question& question = m_questions[number];
        if (question.tries < m_settings.tries && m_unresponsiveUntil.count(question.host) == 0) {
            send(number, question);
            continue;
        }
        Question next = std::move(question);
        m_questions.erase(number);
        markUnresponsive(next.host);
        if (next.customer.empty())
            continue;
        if (next.hosts < m_settings.hosts)
            put(number, std::move(next));
        else
            next.handler(takeLocally(next.customer));
    }
    if (changed)
        chooseAll();
}

} // namespace plantainwall

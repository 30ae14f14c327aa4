#include "probe_exchange.h"
#include "json_number.h"
#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <cpprest/json.h>
#include <tuple>
#include <xxhash.h>

namespace plantainwall {

namespace {

    using web::json::value;

    // Request: n (time of sending), h (host), s (list of [id, start]). Answer: the same n, h of the answering host, and
    // s as a list of [id, start, age of the last answer, age of the first unanswered attempt].
    constexpr std::string_view requestWord = "probe? ";
    constexpr std::string_view answerWord = "probe! ";

    constexpr size_t idField = 0;
    constexpr size_t startField = 1;
    constexpr size_t reachedField = 2; ///< Age in microseconds; negative if there is none.
    constexpr size_t silentField = 3;

    /// Ages of other hosts beyond this are mistakes; differences of such times must not overflow.
    constexpr Duration maxAge = std::chrono::hours(24 * 365 * 10);

    value ageOf(std::optional<Instant> instant, Instant now)
    {
        return value::number(
            instant ? static_cast<int64_t>(std::chrono::duration_cast<Duration>(now - *instant).count()) : int64_t(-1));
    }

    /// Throws std::exception if the age is not a whole number of microseconds, or -1.
    std::optional<Instant> instantOf(const value& age, Instant now)
    {
        if (age.is_integer() && age.as_number().is_int64() && age.as_number().to_int64() == -1)
            return std::nullopt;
        return now - Duration(static_cast<int64_t>(unsignedFrom(age, maxAge.count())));
    }

} // namespace

std::vector<size_t> chooseProbingHosts(const ServerEntry& server, gsl::span<const ProbingHost> hosts, size_t count)
{
    struct Candidate {
        size_t index;
        size_t rankInDataCentre;
        bool elsewhere;
        uint64_t hash;
    };
    std::vector<Candidate> candidates;
    for (size_t i = 0; i < static_cast<size_t>(hosts.size()); ++i) {
        const ProbingHost& host = hosts[i];
        const uint64_t hash = XXH64(host.name.data(), host.name.size(), XXH64(server.id.data(), server.id.size(), 0));
        candidates.push_back({ i, 0, host.dataCentre != server.dataCentre, hash });
    }
    std::sort(candidates.begin(), candidates.end(),
        [](const Candidate& a, const Candidate& b) { return std::tie(a.hash, a.index) < std::tie(b.hash, b.index); });
    std::map<std::string, size_t> chosenOf;
    for (Candidate& candidate : candidates)
        candidate.rankInDataCentre = chosenOf[hosts[candidate.index].dataCentre]++;
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
        return std::make_tuple(a.rankInDataCentre > 0, a.elsewhere, a.hash, a.index)
            < std::make_tuple(b.rankInDataCentre > 0, b.elsewhere, b.hash, b.index);
    });
    std::vector<size_t> result;
    for (size_t i = 0; i < std::min(count, candidates.size()); ++i)
        result.push_back(candidates[i].index);
    return result;
}

ProbeExchange::ProbeExchange(std::string host, PeerChannel& channel, Gateway::Clock clock, ServerProber& prober)
    : m_host(std::move(host))
    , m_channel(channel)
    , m_clock(std::move(clock))
    , m_prober(prober)
{
}

ProbeSummary ProbeExchange::probe(const ServerEntry& server)
{
    const Instant now = m_clock();
    const auto [it, added] = m_targets.try_emplace({ server.id, server.startedUnixMs });
    Target& target = it->second;
    if (added)
        target.addedAt = now;
    target.server = server;
    target.wantedAt = now;
    ProbeSummary summary;
    summary.pending = target.pending;
    summary.reachedAt = target.reachedAt;
    summary.silentSince = target.silentSince;
    for (const auto& [host, report] : target.reports) {
        if (report.answeredAt && now - *report.answeredAt < m_settings.answerTimeout)
            (report.reached ? summary.reachedBy : summary.notReachedBy).push_back(host);
    }
    return summary;
}

void ProbeExchange::updatePending(Target& target) const
{
    const Instant now = m_clock();
    const bool unheard = target.reports.empty()
        ? now - target.addedAt < m_settings.answerTimeout
        : std::any_of(target.reports.begin(), target.reports.end(), [&](const auto& entry) {
              return !entry.second.answeredAt && now - entry.second.firstAskedAt < m_settings.answerTimeout;
          });
    target.pending = target.pending && unheard;
}

void ProbeExchange::tick(const Hosts& hosts)
{
    const Instant now = m_clock();
    m_prober.tick();
    for (auto it = m_targets.begin(); it != m_targets.end();)
        it = now - it->second.wantedAt >= m_settings.forgetAfter ? m_targets.erase(it) : std::next(it);
    if (m_targets.empty())
        return;
    if (now >= m_requestAt) {
        m_requestAt = now + m_settings.requestInterval;
        sendRequests(hosts());
    }
    for (auto& [process, target] : m_targets)
        updatePending(target);
}

void ProbeExchange::sendRequests(gsl::span<const ProbingHost> hosts)
{
    const Instant now = m_clock();
    std::map<std::string, std::vector<value>> requests; // By address.
    for (auto& [process, target] : m_targets) {
        if (now - target.wantedAt >= m_settings.requestInterval)
            continue;
        const value item = value::array({ value::string(process.first), value::number(process.second) });
        for (const size_t index : chooseProbingHosts(target.server, hosts, m_settings.hostsPerServer)) {
            const ProbingHost& host = hosts[index];
            const auto [report, added] = target.reports.try_emplace(host.name);
            if (added)
                report->second.firstAskedAt = now;
            if (!host.address.empty()) {
                requests[host.address].push_back(item);
                continue;
            }
            const std::optional<ProbeResult> known = m_prober.probe(process.first, process.second);
            if (known)
                note(target, host.name, *known);
        }
    }
    for (const auto& [address, items] : requests) {
        for (size_t first = 0; first < items.size(); first += m_settings.serversPerDatagram) {
            const size_t last = std::min(items.size(), first + m_settings.serversPerDatagram);
            value request = value::object();
            request["n"] = value::number(static_cast<int64_t>(now.time_since_epoch().count()));
            request["h"] = value::string(m_host);
            request["s"] = value::array(std::vector<value>(
                items.begin() + static_cast<ptrdiff_t>(first), items.begin() + static_cast<ptrdiff_t>(last)));
            m_channel.send(address, std::string(requestWord) + request.serialize());
        }
    }
}

void ProbeExchange::note(Target& target, const std::string& host, const ProbeResult& result)
{
    const auto report = target.reports.find(host);
    if (report == target.reports.end() || (!result.reachedAt && !result.silentSince))
        return;
    report->second.answeredAt = m_clock();
    report->second.reached = !result.silentSince;
    if (result.reachedAt)
        target.reachedAt = std::max(target.reachedAt.value_or(*result.reachedAt), *result.reachedAt);
    if (result.silentSince)
        target.silentSince = std::min(target.silentSince.value_or(*result.silentSince), *result.silentSince);
}

bool ProbeExchange::datagram(
    const std::string& text, const std::function<std::string(const std::string& host)>& addressOf)
{
    const Instant now = m_clock();
    if (boost::algorithm::starts_with(text, requestWord)) {
        const value request = value::parse(text.substr(requestWord.size()));
        const std::string address = addressOf(request.at("h").as_string());
        if (address.empty())
            return true;
        std::vector<value> results;
        for (const value& item : request.at("s").as_array()) {
            const std::optional<ProbeResult> known
                = m_prober.probe(item.at(idField).as_string(), unsignedFrom(item.at(startField)));
            if (known)
                results.push_back(value::array({ item.at(idField), item.at(startField), ageOf(known->reachedAt, now),
                    ageOf(known->silentSince, now) }));
        }
        value answer = value::object();
        answer["n"] = request.at("n");
        answer["h"] = value::string(m_host);
        answer["s"] = value::array(results);
        m_channel.send(address, std::string(answerWord) + answer.serialize());
        return true;
    }
    if (!boost::algorithm::starts_with(text, answerWord))
        return false;
    const value answer = value::parse(text.substr(answerWord.size()));
    const std::string host = answer.at("h").as_string();
    const web::json::number& sent = answer.at("n").as_number();
    if (!sent.is_int64())
        throw std::out_of_range("time of a request is not whole or out of range");
    const Instant requestedAt(Duration(std::max<int64_t>(0, sent.to_int64())));
    for (const value& item : answer.at("s").as_array()) {
        const Process process(item.at(idField).as_string(), unsignedFrom(item.at(startField)));
        const ProbeResult result { instantOf(item.at(reachedField), now), instantOf(item.at(silentField), now) };
        const auto target = m_targets.find(process);
        if (target != m_targets.end() && requestedAt <= now && now - requestedAt < m_settings.answerTimeout)
            note(target->second, host, result);
    }
    return true;
}

} // namespace plantainwall

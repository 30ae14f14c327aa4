#include "position_exchange.h"
#include "json_number.h"
#include "log_event.h"
#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <cpprest/json.h>

namespace plantainwall {

namespace {

    using web::json::value;

    constexpr std::string_view requestWord = "evidence? ";
    constexpr std::string_view answerWord = "evidence! ";

    constexpr Duration maxAge = std::chrono::hours(24);

} // namespace

PositionExchange::PositionExchange(
    std::string host, PeerChannel& channel, Clock clock, PositionHolder& holder, uint64_t firstRequest)
    : m_host(std::move(host))
    , m_channel(channel)
    , m_clock(std::move(clock))
    , m_holder(holder)
    , m_number(firstRequest - 1)
{
}

void PositionExchange::tick(const Sources& sources)
{
    const Instant now = m_clock();
    if (m_requestPending && now - m_requestedAt >= m_settings.answerTimeout) {
        m_requestPending = false;
        m_avoided.avoid(m_requestHost, now + m_settings.avoidanceTime);
        logEvent(LogEvent::PeerSilent,
            { { "peer", m_requestHost }, { "reason", "left a request for primary positions unanswered" } });
    }
    if (m_requestPending || now - m_requestedAt < m_settings.pollInterval)
        return;
    const std::vector<std::string> services = m_holder.servicesToRefresh();
    if (services.empty())
        return;
    const std::vector<std::pair<std::string, std::string>> candidates = sources();
    const auto source = std::find_if(candidates.begin(), candidates.end(),
        [&](const auto& candidate) { return !m_avoided.contains(candidate.first, now); });
    if (source == candidates.end())
        return;
    std::vector<value> names;
    names.reserve(services.size());
    for (const std::string& service : services)
        names.push_back(value::string(service));
    value request = value::object();
    request["n"] = value::number(++m_number);
    request["h"] = value::string(m_host);
    request["s"] = value::array(names);
    m_requestPending = true;
    m_requestHost = source->first;
    m_requestHasAlternative = std::any_of(std::next(source), candidates.end(),
        [&](const auto& candidate) { return !m_avoided.contains(candidate.first, now); });
    m_requestedAt = now;
    m_channel.send(source->second, std::string(requestWord) + request.serialize());
}

bool PositionExchange::datagram(
    const std::string& text, const std::function<std::string(const std::string& host)>& addressOf)
{
    if (boost::algorithm::starts_with(text, requestWord)) {
        const value request = value::parse(text.substr(requestWord.size()));
        const std::string address = addressOf(request.at("h").as_string());
        if (address.empty())
            return true; // The requesting host will try another host.
        value positions = value::object();
        for (const value& name : request.at("s").as_array()) {
            const std::optional<PrimaryPositions::Observation> known = m_holder.positionOf(name.as_string());
            if (!known)
                continue;
            const Duration age = std::chrono::duration_cast<Duration>(m_clock() - known->requestedAt);
            positions[name.as_string()] = value::array({ value::number(known->position.term),
                value::number(known->position.position), value::number(static_cast<uint64_t>(age.count())) });
        }
        value answer = value::object();
        answer["n"] = request.at("n");
        answer["e"] = positions;
        m_channel.send(address, std::string(answerWord) + answer.serialize());
        return true;
    }
    if (!boost::algorithm::starts_with(text, answerWord))
        return false;
    const value answer = value::parse(text.substr(answerWord.size()));
    if (!m_requestPending || unsignedFrom(answer.at("n")) != m_number)
        return true;
    m_requestPending = false;
    bool useful = false;
    for (const auto& [service, known] : answer.at("e").as_object()) {
        // A position of the future would cover commits that it does not know.
        const Duration age(static_cast<int64_t>(unsignedFrom(known.at(2), maxAge.count())));
        const LogPosition position { unsignedFrom(known.at(0), maxLogNumber), unsignedFrom(known.at(1), maxLogNumber) };
        useful = useful || age < m_settings.maxAnswerAge;
        m_holder.positionReceived(service, { position, m_requestedAt - age });
    }
    if (!useful && m_requestHasAlternative)
        m_avoided.avoid(m_requestHost, m_clock() + m_settings.avoidanceTime);
    return true;
}

} // namespace plantainwall

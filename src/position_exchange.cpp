#include "position_exchange.h"
#include "log_event.h"
#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <cpprest/json.h>

namespace plantainwall {

namespace {

    using web::json::value;

    constexpr std::string_view questionWord = "evidence? ";
    constexpr std::string_view answerWord = "evidence! ";

    uint64_t number(const value& array, size_t index)
    {
        return static_cast<uint64_t>(array.at(index).as_number().to_int64());
    }

} // namespace

PositionExchange::PositionExchange(std::string host, PeerChannel& channel, Clock clock, PositionHolder& holder)
    : m_host(std::move(host))
    , m_channel(channel)
    , m_clock(std::move(clock))
    , m_holder(holder)
{
}

void PositionExchange::tick(const Sources& sources)
{
    const Instant now = m_clock();
    if (m_open && now - m_requestedAt >= m_settings.answerTimeout) {
        m_open = false;
        m_avoided.avoid(m_requestHost, now + m_settings.avoidanceTime);
        logEvent(LogEvent::PeerSilent,
            { { "peer", m_requestHost }, { "reason", "left a question for evidence unanswered" } });
    }
    if (m_open || now - m_requestedAt < m_settings.pollInterval)
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
    value question = value::object();
    question["n"] = value::number(++m_number);
    question["h"] = value::string(m_host);
    question["s"] = value::array(names);
    m_open = true;
    m_requestHost = source->first;
    m_requestedAt = now;
    m_channel.send(source->second, std::string(questionWord) + question.serialize());
}

bool PositionExchange::datagram(
    const std::string& text, const std::function<std::string(const std::string& host)>& addressOf)
{
    if (boost::algorithm::starts_with(text, questionWord)) {
        const value question = value::parse(text.substr(questionWord.size()));
        const std::string address = addressOf(question.at("h").as_string());
        if (address.empty())
            return true; // The asker turns to another host.
        value told = value::object();
        for (const value& name : question.at("s").as_array()) {
            const std::optional<PrimaryPositions::Observation> known = m_holder.positionOf(name.as_string());
            if (!known)
                continue;
            const Duration age = std::chrono::duration_cast<Duration>(m_clock() - known->requestedAt);
            told[name.as_string()] = value::array({ value::number(known->position.term),
                value::number(known->position.position), value::number(static_cast<uint64_t>(age.count())) });
        }
        value answer = value::object();
        answer["n"] = question.at("n");
        answer["e"] = told;
        m_channel.send(address, std::string(answerWord) + answer.serialize());
        return true;
    }
    if (!boost::algorithm::starts_with(text, answerWord))
        return false;
    const value answer = value::parse(text.substr(answerWord.size()));
    if (!m_open || static_cast<uint64_t>(answer.at("n").as_number().to_int64()) != m_number)
        return true;
    m_open = false;
    for (const auto& [service, known] : answer.at("e").as_object()) {
        const Duration age(static_cast<int64_t>(number(known, 2)));
        m_holder.positionReceived(service, { { number(known, 0), number(known, 1) }, m_requestedAt - age });
    }
    return true;
}

} // namespace plantainwall

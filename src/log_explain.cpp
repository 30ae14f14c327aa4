#include "log_explain.h"
#include "text_escape.h"
#include <algorithm>
#include <istream>
#include <map>
#include <ostream>
#include <set>

namespace plantainwall {

namespace {

    /// Events up to this long before the first line of a request may have caused its outcome: unresponsive peers and
    /// servers are detected within about 2 s, a failover takes up to 4 s.
    constexpr uint64_t lookBackUs = 6'000'000;

    /// Events up to this long after the last line are related too: a lost primary is replaced about 4 s after its
    /// connections ended.
    constexpr uint64_t lookAheadUs = 6'000'000;

    /// Related events that are printed at most; a network partition causes hundreds.
    constexpr size_t maxRelatedEvents = 60;

    /// What an event must have in common with a line of the path to be related to the request.
    enum class Scope : uint8_t {
        None,
        Server, ///< Same server.
        Service, ///< Same service, on any host.
        Host, ///< Same entry host.
        Count
    };

    struct EventScope {
        LogEvent event;
        Scope scope;
    };

    constexpr EventScope eventScopes[] = { { LogEvent::ServerConnectionLost, Scope::Server },
        { LogEvent::ServerRegistered, Scope::Server }, { LogEvent::ServerRemoved, Scope::Server },
        { LogEvent::BackendLeaving, Scope::Server }, { LogEvent::PrimaryChanged, Scope::Service },
        { LogEvent::FailoverStep, Scope::Service }, { LogEvent::FailoverServer, Scope::Service },
        { LogEvent::FailoverBlocked, Scope::Service }, { LogEvent::PromotionAnswered, Scope::Service },
        { LogEvent::Started, Scope::Host }, { LogEvent::Stopped, Scope::Host },
        { LogEvent::ConfigurationInForce, Scope::Host }, { LogEvent::StoreUnreachable, Scope::Host },
        { LogEvent::StoreReachable, Scope::Host }, { LogEvent::PeerSilent, Scope::Host },
        { LogEvent::PeerHeard, Scope::Host }, { LogEvent::DrainStarted, Scope::Host },
        { LogEvent::SettingsReloaded, Scope::Host }, { LogEvent::LinesDropped, Scope::Host },
        { LogEvent::StoreItemRejected, Scope::Host }, { LogEvent::StoreRestored, Scope::Host },
        { LogEvent::RelayEraDiffers, Scope::Host }, { LogEvent::ConfigurationNotApplied, Scope::Host },
        { LogEvent::ListingRelayed, Scope::Host }, { LogEvent::DutyClaimOutdated, Scope::Host },
        { LogEvent::ServerProbed, Scope::Service }, { LogEvent::InternalFailure, Scope::Host },
        { LogEvent::ChangesDropped, Scope::Host }, { LogEvent::AdmissionLevelChanged, Scope::Service } };

    Scope scopeOf(const std::optional<LogEvent>& event)
    {
        const auto it = std::find_if(std::begin(eventScopes), std::end(eventScopes),
            [&](const EventScope& entry) { return entry.event == event; });
        return it == std::end(eventScopes) ? Scope::None : it->scope;
    }

    /// Returns whether the line reports the outcome of its request.
    bool reportsAnswer(const LogRecord& record)
    {
        return record.event
            && (*record.event == LogEvent::StatementServed || logEventInfo(*record.event).onFailedRequest);
    }

    /// Host and session that a line names.
    using SessionKey = std::pair<std::string, std::string>;

    /// Returns the last line on an answer of each session of a path, null if there is none. Lines that name no session
    /// count as one of their own only if no line names any.
    std::map<SessionKey, const LogRecord*> answersOf(const std::vector<LogRecord>& path)
    {
        const bool named = std::any_of(
            path.begin(), path.end(), [](const LogRecord& line) { return line.fields.has_field("session"); });
        std::map<SessionKey, const LogRecord*> answers;
        for (const LogRecord& line : path) {
            if (named && !line.fields.has_field("session"))
                continue;
            const LogRecord*& answer = answers[{ named ? line.host : std::string(), line.text("session") }];
            if (reportsAnswer(line))
                answer = &line;
        }
        return answers;
    }

    std::string eventName(const LogRecord& record) { return record.text("name"); }

    /// Parses JSON. Returns null for text that is none.
    web::json::value parseJson(const std::string& text)
    {
        // Where char is signed, the library takes this byte for the end of the text; elsewhere it would read it.
        constexpr char endOfText = '\xff';
        if (text.find(endOfText) != std::string::npos)
            return web::json::value::null();
        std::error_code ec;
        try {
            web::json::value value = web::json::value::parse(text, ec);
            return ec ? web::json::value::null() : value;
        } catch (const std::range_error&) { // Halves of surrogate pairs, in spite of ec.
            return web::json::value::null();
        }
    }

    /// Start of every line of a log. It occurs nowhere else, as quotes within values are escaped.
    constexpr std::string_view lineStart = "{\"time\":";

    std::string printableValue(const web::json::value& value)
    {
        if (!value.is_string())
            return printableLine(utf8Text(value.serialize()));
        std::string text;
        appendJsonString(text, utf8Text(value.as_string()));
        return text;
    }

    constexpr size_t timestampLength = sizeof("2026-01-01T00:00:00.000000Z") - 1;

    void printRecord(std::ostream& out, const LogRecord& record)
    {
        static const std::set<std::string> skippedFields { "time", "host", "event", "name", "level", "request" };
        std::string time = printableWord(record.text("time"));
        time.resize(std::max(time.size(), timestampLength), ' ');
        out << "  " << time << "  " << (record.host.empty() ? "" : printableWord(record.host)) << "  "
            << printableWord(eventName(record));
        for (const auto& [name, value] : record.fields.as_object()) {
            const bool empty = value.is_string() && value.as_string().empty();
            if (skippedFields.count(name) == 0 && !empty)
                out << ' ' << printableWord(utf8Text(name)) << '=' << printableValue(value);
        }
        out << '\n';
    }

    void printOutcome(std::ostream& out, const LogRecord& answer)
    {
        out << "  " << logEventInfo(*answer.event).meaning << '\n';
        const std::string code = answer.text("code");
        if (!code.empty())
            out << "  " << printableWord(code) << ": " << resultCodeInfo(resultCodeFromName(code)).meaning << '\n';
        if (!answer.text("reason").empty())
            out << "  reason: " << printableLine(answer.text("reason")) << '\n';
    }

} // namespace

std::string LogRecord::text(const std::string& name) const
{
    if (!fields.has_field(name))
        return {};
    const web::json::value& value = fields.at(name);
    return utf8Text(value.is_string() ? value.as_string() : value.serialize());
}

int64_t LogRecord::number(const std::string& name) const
{
    return fields.has_integer_field(name) ? fields.at(name).as_number().to_int64() : 0;
}

std::string requestInLog(std::string_view argument)
{
    if (!argument.empty() && argument.front() == '"') {
        const web::json::value json = parseJson(std::string(argument));
        if (json.is_string())
            return utf8Text(json.as_string());
    }
    return utf8Text(argument);
}

void LogExplainer::read(std::istream& in)
{
    std::map<std::string, uint64_t> lastTimes; // By host.
    std::string line;
    while (std::getline(in, line)) {
        if (line.empty())
            continue;
        LogRecord record;
        record.fields = parseJson(line);
        const size_t start = line.rfind(lineStart);
        if (record.fields.is_null() && start != 0 && start != std::string::npos) {
            // A process that was killed within a line left it without an end.
            ++m_unreadable;
            record.fields = parseJson(line.substr(start));
        }
        if (!record.fields.is_object() || !record.fields.has_string_field("name")) {
            ++m_unreadable;
            continue;
        }
        constexpr uint64_t unitsPerUs = 10; // cpprestsdk counts units of 100 ns.
        record.timeUs = utility::datetime::from_string(record.text("time"), utility::datetime::ISO_8601).to_interval()
            / unitsPerUs;
        if (record.timeUs == 0) {
            ++m_unreadable;
            continue;
        }
        record.host = record.text("host");
        // Lines of one host keep their order even if its clock is set back.
        uint64_t& last = lastTimes[record.host];
        record.timeUs = last = std::max(record.timeUs, last);
        record.event = logEventFromName(eventName(record));
        m_records.push_back(std::move(record));
    }
    std::stable_sort(
        m_records.begin(), m_records.end(), [](const LogRecord& a, const LogRecord& b) { return a.timeUs < b.timeUs; });
}

bool LogExplainer::isRelated(const LogRecord& record, const RequestExplanation& explanation) const
{
    const Scope scope = scopeOf(record.event);
    return std::any_of(explanation.path.begin(), explanation.path.end(), [&](const LogRecord& line) {
        switch (scope) {
        case Scope::Server:
            return !line.text("server").empty() && line.text("server") == record.text("server");
        case Scope::Service:
            return !line.text("service").empty() && line.text("service") == record.text("service");
        case Scope::Host:
            return line.host == record.host;
        case Scope::None:
        case Scope::Count:
            break;
        }
        return false;
    });
}

RequestExplanation LogExplainer::explain(std::string_view request) const
{
    const std::string value = requestInLog(request);
    RequestExplanation result;
    for (const LogRecord& record : m_records) {
        if (record.fields.has_string_field("request") && record.text("request") == value)
            result.path.push_back(record);
    }
    const std::map<SessionKey, const LogRecord*> answers = answersOf(result.path);
    result.sessions = answers.size();
    result.answered = !answers.empty()
        && std::all_of(answers.begin(), answers.end(), [](const auto& entry) { return entry.second != nullptr; });
    if (!result.path.empty()) {
        const uint64_t from = result.path.front().timeUs - std::min(lookBackUs, result.path.front().timeUs);
        const uint64_t to = result.path.back().timeUs + lookAheadUs;
        const LogRecord* configuration = nullptr;
        for (const LogRecord& record : m_records) {
            if (record.timeUs > to)
                break;
            if (record.timeUs >= from && isRelated(record, result))
                result.relatedEvents.push_back(record);
            else if (record.event == LogEvent::ConfigurationInForce && record.host == result.path.front().host)
                configuration = &record;
        }
        if (configuration != nullptr) // Shows the age of the configuration that the request was served with.
            result.relatedEvents.insert(result.relatedEvents.begin(), *configuration);
    }
    addGaps(request, result);
    return result;
}

void LogExplainer::addGaps(std::string_view request, RequestExplanation& result) const
{
    const bool found = !result.path.empty();
    if (!found)
        result.gaps.push_back("no line on request " + printableWord(requestInLog(request)));
    else if (!result.answered)
        result.gaps.emplace_back(
            "no line on the answer: the caller disconnected, the host stopped, or the line was suppressed");
    const uint64_t from = found ? result.path.front().timeUs : 0;
    const uint64_t to = found ? result.path.back().timeUs + lookAheadUs : UINT64_MAX;
    std::map<std::pair<std::string, std::string>, int64_t> omittedLines; // By host and event name.
    for (const LogRecord& record : m_records) {
        if (record.timeUs < from || record.timeUs > to || (found && record.host != result.path.front().host))
            continue;
        const bool aboutRequest = record.fields.has_field("request");
        if (aboutRequest && record.number("suppressed_before") > 0)
            omittedLines[{ record.host, eventName(record) }] += record.number("suppressed_before");
        if (record.event == LogEvent::LinesDropped)
            omittedLines[{ record.host, "any event (log reader too slow)" }] += record.number("lines");
    }
    for (const auto& [key, lines] : omittedLines)
        result.gaps.push_back(
            printableWord(key.first) + " suppressed " + std::to_string(lines) + " lines: " + printableLine(key.second));
    const auto moved = std::count_if(result.path.begin(), result.path.end(),
        [](const LogRecord& line) { return line.event == LogEvent::StatementMoved; });
    const int64_t attempts = found ? result.path.back().number("attempt") : 0;
    if (result.answered && result.sessions == 1 && attempts > 1 + moved)
        result.gaps.push_back(std::to_string(attempts - 1 - moved) + " moves to another server have no log line");
}

void printExplanation(std::ostream& out, std::string_view request, const RequestExplanation& explanation)
{
    out << "request " << printableWord(requestInLog(request)) << '\n';
    for (const LogRecord& record : explanation.path)
        printRecord(out, record);
    if (explanation.sessions > 1)
        out << "  " << explanation.sessions << " sessions used this id\n";
    for (const auto& [session, answer] : answersOf(explanation.path)) {
        if (answer == nullptr)
            continue;
        out << "outcome\n";
        if (explanation.sessions > 1)
            out << "  " << printableWord(session.first) << " session " << printableWord(session.second) << '\n';
        printOutcome(out, *answer);
    }
    if (!explanation.relatedEvents.empty())
        out << "around it, on its hosts, servers and services\n";
    const size_t n = std::min(explanation.relatedEvents.size(), maxRelatedEvents);
    for (size_t i = 0; i < n; ++i)
        printRecord(out, explanation.relatedEvents[i]);
    if (explanation.relatedEvents.size() > n)
        out << "  and " << explanation.relatedEvents.size() - n << " more\n";
    if (!explanation.gaps.empty())
        out << "missing\n";
    for (const std::string& gap : explanation.gaps)
        out << "  " << gap << '\n';
}

} // namespace plantainwall

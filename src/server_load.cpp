#include "server_load.h"
#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace plantainwall {

namespace {

    /// Time constant of the mean number of statements. It is longer than the interval between two reports: what lasts
    /// from one report to the next can be evened out by them, and a host's own response times show the rest sooner.
    constexpr double meanSeconds = 1;

    /// Weight of a new response time; the mean covers about the last ten.
    constexpr double responseWeight = 0.15;

    /// A response time is told for this long.
    constexpr Duration responseValidity = std::chrono::seconds(2);

    /// No server runs as many statements, or as long ones; a report with more is wrong.
    constexpr double maxStatements = 10000;
    constexpr Duration maxResponseTime = std::chrono::minutes(10);

    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";
    constexpr unsigned maxDigit = 63;

    /// Steps for a doubling of a value.
    constexpr double statementSteps = 8;
    constexpr double responseSteps = 4;
    constexpr double statementUnit = 0.25;

    /// Load on a server that is not worth the bytes of a report.
    constexpr double minReported = 0.1;

    constexpr size_t sampleChars = 3;
    constexpr size_t nameChars = 3;
    constexpr size_t maxEncoded = 64;

    bool isStatementCount(double n) { return n >= 0 && n <= maxStatements; } // False for NaN.

    bool isPlausible(const ServerLoadSample& sample)
    {
        return isStatementCount(sample.running) && isStatementCount(sample.waiting)
            && sample.responseTime >= Duration(0) && sample.responseTime <= maxResponseTime;
    }

    char digitOf(double value)
    {
        return digits[static_cast<size_t>(std::clamp(std::round(value), 0.0, static_cast<double>(maxDigit)))];
    }

    double valueOf(char digit)
    {
        const size_t value = digits.find(digit);
        if (value == std::string_view::npos)
            throw std::runtime_error("server load has a character that is no digit");
        return static_cast<double>(value);
    }

    char encodeStatements(double n) { return digitOf(statementSteps * std::log2(1 + n / statementUnit)); }
    double decodeStatements(char digit) { return statementUnit * (std::exp2(valueOf(digit) / statementSteps) - 1); }

    /// Returns the characters that stand for a server: a hash of its id (FNV-1a), the same on all hosts.
    std::string nameOf(std::string_view server)
    {
        uint32_t hash = 2166136261U;
        for (const char c : server)
            hash = (hash ^ static_cast<unsigned char>(c)) * 16777619U;
        hash ^= hash >> 16;
        std::string name;
        for (size_t i = 0; i < nameChars; ++i, hash >>= 6)
            name.push_back(digits[hash & maxDigit]);
        return name;
    }

} // namespace

void ServerLoadMeter::setRunning(size_t running, Instant now)
{
    if (running == m_running)
        return;
    m_mean = meanRunning(now);
    m_running = running;
    m_changedAt = now;
}

void ServerLoadMeter::noteResponse(Duration duration, Instant now)
{
    const double sample = static_cast<double>(duration.count());
    const bool first = m_responseUs == 0 || now - m_respondedAt > responseValidity;
    m_responseUs = first ? sample : m_responseUs + (sample - m_responseUs) * responseWeight;
    m_respondedAt = now;
}

double ServerLoadMeter::meanRunning(Instant now) const
{
    const double elapsed = std::chrono::duration<double>(now - m_changedAt).count();
    const auto running = static_cast<double>(m_running);
    return running + (m_mean - running) * std::exp(-std::max(0.0, elapsed) / meanSeconds);
}

ServerLoadSample ServerLoadMeter::sample(size_t waiting, Instant now) const
{
    ServerLoadSample result;
    result.running = meanRunning(now);
    result.waiting = static_cast<double>(waiting);
    if (now - m_respondedAt <= responseValidity)
        result.responseTime = Duration(static_cast<int64_t>(m_responseUs));
    return result;
}

bool ServerLoads::reject()
{
    ++m_rejected;
    return false;
}

bool ServerLoads::note(
    const std::string& server, const std::string& source, const ServerLoadSample& sample, Instant asOf, Instant now)
{
    if (!isPlausible(sample) || asOf > now)
        return reject();
    if ((m_servers.count(server) == 0 && m_servers.size() >= m_settings.maxServers)
        || (m_sources.count(source) == 0 && m_sources.size() >= m_settings.maxSources))
        return reject();
    Report& report = m_servers[server].reports[source];
    if (report.asOf > asOf)
        return reject();
    report = { sample, asOf };
    m_sources[source] = std::max(m_sources[source], asOf);
    return true;
}

bool ServerLoads::noteComplete(const std::string& source, const ServerLoadList& list, Instant asOf, Instant now)
{
    const bool plausible = std::all_of(list.begin(), list.end(), [](const auto& it) { return isPlausible(it.second); });
    const auto last = m_completeAt.find(source);
    const bool outdated = last != m_completeAt.end() && last->second > asOf;
    if (!plausible || outdated || asOf > now || m_servers.size() + list.size() > 2 * m_settings.maxServers
        || (m_sources.count(source) == 0 && m_sources.size() >= m_settings.maxSources))
        return reject();
    for (auto& [id, server] : m_servers)
        server.reports.erase(source);
    m_completeAt[source] = asOf;
    m_sources[source] = asOf;
    for (const auto& [server, sample] : list) {
        if (m_servers.count(server) != 0 || m_servers.size() < m_settings.maxServers)
            m_servers[server].reports[source] = { sample, asOf };
    }
    return true;
}

void ServerLoads::noteOwnChoice(const std::string& server, Instant now)
{
    std::deque<Instant>& choices = m_servers[server].ownChoices;
    if (choices.size() >= m_settings.maxOwnChoices)
        choices.pop_front();
    choices.push_back(now);
}

void ServerLoads::noteOwnEnd(const std::string& server, Instant chosenAt)
{
    const auto it = m_servers.find(server);
    if (it == m_servers.end())
        return;
    std::deque<Instant>& choices = it->second.ownChoices;
    const auto choice = std::lower_bound(choices.begin(), choices.end(), chosenAt);
    if (choice != choices.end() && *choice == chosenAt)
        choices.erase(choice);
}

std::optional<ServerLoads::Estimate> ServerLoads::estimate(const std::string& server, Instant now) const
{
    static const Server unknown;
    const auto it = m_servers.find(server);
    const Server& state = it == m_servers.end() ? unknown : it->second;
    Estimate result;
    std::optional<Instant> coveredUntil; // Of the statements of this host.
    const auto add = [&](Instant asOf) {
        result.age = std::max(result.age, std::chrono::duration_cast<Duration>(now - asOf));
        ++result.sources;
    };
    for (const auto& [source, report] : state.reports) {
        if (!isValid(report.asOf, now))
            continue;
        add(report.asOf);
        result.running += report.sample.running;
        result.waiting += report.sample.waiting;
        result.responseTime = std::max(result.responseTime, report.sample.responseTime);
        if (report.sample.coversReceiver)
            coveredUntil = std::min(coveredUntil.value_or(report.asOf), report.asOf);
    }
    for (const auto& [source, asOf] : m_completeAt) {
        if (isValid(asOf, now) && state.reports.count(source) == 0)
            add(asOf);
    }
    if (result.sources == 0)
        return std::nullopt;
    const auto uncovered = coveredUntil
        ? std::upper_bound(state.ownChoices.begin(), state.ownChoices.end(), *coveredUntil)
        : state.ownChoices.begin();
    result.running += static_cast<double>(state.ownChoices.end() - uncovered);
    return result;
}

void ServerLoads::forgetServer(const std::string& server) { m_servers.erase(server); }

void ServerLoads::forgetSource(const std::string& source)
{
    m_sources.erase(source);
    m_completeAt.erase(source);
    for (auto& [id, server] : m_servers)
        server.reports.erase(source);
}

std::string encodeServerLoad(const ServerLoadSample& sample)
{
    const double ms = static_cast<double>(sample.responseTime.count()) / 1000;
    return { encodeStatements(sample.running), encodeStatements(sample.waiting),
        digitOf(responseSteps * std::log2(1 + ms)) };
}

ServerLoadSample decodeServerLoad(std::string_view text)
{
    if (text.size() != sampleChars)
        throw std::runtime_error("server load of a wrong length");
    ServerLoadSample sample;
    sample.running = decodeStatements(text[0]);
    sample.waiting = decodeStatements(text[1]);
    sample.responseTime = Duration(static_cast<int64_t>((std::exp2(valueOf(text[2]) / responseSteps) - 1) * 1000));
    return sample;
}

std::string encodeServerLoads(const ServerLoadList& list)
{
    ServerLoadList loaded;
    std::copy_if(list.begin(), list.end(), std::back_inserter(loaded),
        [](const auto& it) { return it.second.running + it.second.waiting >= minReported; });
    std::sort(
        loaded.begin(), loaded.end(), [](const auto& a, const auto& b) { return a.second.running > b.second.running; });
    loaded.resize(std::min(loaded.size(), maxEncoded));
    std::string text;
    for (const auto& [server, sample] : loaded)
        text += nameOf(server) + encodeServerLoad(sample);
    return text;
}

ServerLoadList decodeServerLoads(std::string_view text, const std::vector<std::string>& known)
{
    constexpr size_t entryChars = nameChars + sampleChars;
    if (text.size() % entryChars != 0 || text.size() > entryChars * maxEncoded)
        throw std::runtime_error("server loads of a wrong length");
    std::map<std::string, const std::string*> ids;
    for (const std::string& id : known) {
        const auto [it, added] = ids.emplace(nameOf(id), &id);
        if (!added)
            it->second = nullptr;
    }
    ServerLoadList list;
    for (size_t i = 0; i < text.size(); i += entryChars) {
        const ServerLoadSample sample = decodeServerLoad(text.substr(i + nameChars, sampleChars));
        const auto it = ids.find(std::string(text.substr(i, nameChars)));
        if (it != ids.end() && it->second != nullptr)
            list.emplace_back(*it->second, sample);
    }
    return list;
}

} // namespace plantainwall

#include "revocation_exchange.h"
#include "json_number.h"
#include "log_event.h"
#include "peer_request_number.h"
#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <cpprest/json.h>

namespace plantainwall {

namespace {

    using web::json::value;

    constexpr std::string_view noticeWord = "revoke? ";
    constexpr std::string_view acknowledgementWord = "revoke! ";

    /// Ages beyond this are as good as unknown; larger numbers would overflow.
    constexpr uint64_t maxReportedAgeMs = 1'000'000'000;

    constexpr uint64_t lastScope = static_cast<uint64_t>(RevocationScope::Count) - 1;

} // namespace

RevocationExchange::RevocationExchange(
    std::string host, uint64_t incarnation, PeerChannel& channel, Gateway::Clock clock, Gateway& gateway)
    : m_host(std::move(host))
    , m_incarnation(incarnation)
    , m_channel(channel)
    , m_clock(std::move(clock))
    , m_gateway(gateway)
    , m_number(firstPeerRequest(incarnation))
    , m_departedAt(m_clock())
{
}

RevocationExchange::Notice RevocationExchange::newNotice(
    const std::optional<PrimaryRevocation>& revocation, uint64_t token)
{
    Notice notice;
    notice.revocation = revocation;
    notice.token = token;
    notice.number = ++m_number;
    notice.changedAt = m_clock();
    notice.recordNumber = m_number;
    return notice;
}

void RevocationExchange::setRevocation(
    const std::string& service, std::optional<PrimaryRevocation> revocation, uint64_t token)
{
    const auto it = m_notices.find(service);
    if (it == m_notices.end() ? !revocation : it->second.revocation == revocation)
        return;
    const bool wasRecorded = it != m_notices.end() && it->second.recorded;
    // A successor is named in the same change.
    const bool sameChange = wasRecorded && revocation && it->second.revocation
        && it->second.revocation->term == revocation->term && it->second.revocation->scope == revocation->scope;
    Notice next = newNotice(revocation, token);
    if (sameChange) {
        next.recordNumber = it->second.recordNumber;
        next.recordedAsOrdered = it->second.recordedAsOrdered;
        next.orderDueAt = it->second.orderDueAt;
    }
    Notice& notice = m_notices[service];
    notice = std::move(next);
    m_reportsChanged = true;
    if (wasRecorded && revocation)
        record(service, notice, notice.recordedAsOrdered);
    else if (wasRecorded)
        m_records.set(service, std::nullopt);
    apply(service, revocation, token, m_number, m_host);
}

void RevocationExchange::record(const std::string& service, Notice& notice, bool ordered)
{
    notice.recorded = true;
    notice.recordedAsOrdered = ordered;
    // The store does not name the successor: naming it would be a second call for each change.
    PrimaryRevocation revocation = *notice.revocation;
    revocation.successor.clear();
    revocation.ordered = ordered;
    m_records.set(service, RecordedRevocation { revocation, notice.token, notice.recordNumber });
}

bool RevocationExchange::requireRecord(const std::string& service)
{
    const auto it = m_notices.find(service);
    if (it == m_notices.end() || !it->second.revocation || !m_storeReachable)
        return true;
    Notice& notice = it->second;
    if (!notice.recordedAsOrdered) {
        notice.orderDueAt = m_clock();
        record(service, notice, true);
    }
    return m_records.recordedAt(service) || m_clock() - *notice.orderDueAt >= m_settings.recordTimeout;
}

std::optional<PrimaryRevocation> RevocationExchange::unfinished(const std::string& service, uint64_t token) const
{
    return m_gateway.revocations().unfinished(service, token, m_clock());
}

void RevocationExchange::dismiss(const std::string& service, uint64_t token)
{
    m_notices[service] = newNotice(std::nullopt, token);
    m_records.set(service, std::nullopt);
    apply(service, std::nullopt, token, m_number, m_host);
}

void RevocationExchange::itemsRead(const std::map<std::string, StoreItem>& items, bool followed)
{
    m_records.itemsRead(items, followed, m_gateway.revocations(), m_clock(), m_settings.lifetime);
}

std::optional<Instant> RevocationExchange::inForceSince(const std::string& service) const
{
    const auto it = m_notices.find(service);
    return it == m_notices.end() || !it->second.revocation ? std::nullopt : it->second.inForceSince;
}

NewestAcknowledged RevocationExchange::newestAcknowledged(const std::string& service) const
{
    const auto it = m_notices.find(service);
    return it == m_notices.end() ? NewestAcknowledged() : it->second.newestAcknowledged;
}

void RevocationExchange::noteDeparture()
{
    m_departedAt = m_clock();
    m_reportsChanged = true;
}

void RevocationExchange::reset()
{
    // What was withdrawn last would otherwise last until its end on the other hosts.
    const bool withdrawn
        = std::any_of(m_notices.begin(), m_notices.end(), [](const auto& notice) { return !notice.second.revocation; });
    const std::string text = withdrawn ? message() : std::string();
    for (const auto& [host, last] : m_acknowledgements) {
        if (withdrawn && last.number < m_number && !last.address.empty())
            m_channel.send(last.address, text);
    }
    m_notices.clear();
    m_acknowledgements.clear();
    m_records.reset();
}

void RevocationExchange::apply(const std::string& service, const std::optional<PrimaryRevocation>& revocation,
    uint64_t token, uint64_t number, const std::string& coordinator)
{
    PrimaryRevocations& revocations = m_gateway.revocations();
    const bool changed = revocation
        ? revocations.revoke(service, *revocation, token, m_clock(), m_settings.lifetime, number)
        : revocations.withdraw(service, token, number);
    if (!changed)
        return;
    logEvent(LogEvent::PrimaryRevoked,
        { { "service", service }, { "scope", revocation ? revocationScopeName(revocation->scope) : "none" },
            { "below_term", revocation ? revocation->term : 0 }, { "token", token }, { "coordinator", coordinator } });
    if (!revocation)
        m_gateway.serversChanged();
}

// A notice may arrive again, after later ones of the same coordinator.
bool RevocationExchange::isOutdated(const std::string& service, uint64_t token, uint64_t number)
{
    std::pair<uint64_t, uint64_t>& last = m_heard[service];
    if (token == last.first && number < last.second)
        return true;
    last = { token, number };
    return false;
}

bool RevocationExchange::hasAcknowledged(const RevocationTarget& target, uint64_t number) const
{
    const auto it = m_acknowledgements.find(target.host);
    return it != m_acknowledgements.end() && it->second.incarnation == target.incarnation
        && it->second.number >= number;
}

bool RevocationExchange::hostsHaveLostContact(const std::string& service, const Notice& notice) const
{
    const Instant now = m_clock();
    const std::optional<Instant> recordedAt = m_records.recordedAt(service);
    if (!recordedAt && m_storeReachable && now - notice.changedAt < m_settings.recordTimeout)
        return false;
    const Instant since = recordedAt ? std::max(*recordedAt, notice.changedAt) : notice.changedAt;
    return now - since >= m_contact.timeout + m_settings.contactMargin;
}

void RevocationExchange::updateInForce(const std::vector<RevocationTarget>& targets)
{
    const Instant now = m_clock();
    for (auto& [service, notice] : m_notices) {
        if (!notice.revocation)
            continue;
        if (m_reportsChanged)
            notice.newestAcknowledged = collectAcknowledged(service, notice, targets);
        if (notice.inForceSince)
            continue;
        const bool withholds = notice.revocation->scope == RevocationScope::AllCommits;
        const auto pending = std::count_if(targets.begin(), targets.end(), [&, number = notice.number](const auto& it) {
            return (withholds ? it.mayRun : it.reachable) && !hasAcknowledged(it, number);
        });
        // One lost datagram is not worth a call.
        if (withholds && pending != 0 && !notice.recorded && now - notice.changedAt >= m_settings.repeatInterval)
            record(service, notice, false);
        const bool waits = withholds ? !hostsHaveLostContact(service, notice)
                                     : now - notice.changedAt < m_settings.acknowledgementTimeout;
        if (pending != 0 && waits)
            continue;
        notice.inForceSince = now;
        logEvent(LogEvent::RevocationInForce,
            { { "service", service }, { "below_term", notice.revocation->term }, { "hosts", targets.size() },
                { "unacknowledged", pending },
                { "ms", std::chrono::duration_cast<std::chrono::milliseconds>(now - notice.changedAt).count() } });
    }
    m_reportsChanged = false;
}

const AcknowledgedCommits* RevocationExchange::reportOf(
    const RevocationTarget& target, const std::string& service, uint64_t number) const
{
    if (!hasAcknowledged(target, number))
        return nullptr;
    const std::map<std::string, AcknowledgedCommits>& commits = m_acknowledgements.at(target.host).commits;
    const auto it = commits.find(service);
    return it == commits.end() ? nullptr : &it->second;
}

NewestAcknowledged RevocationExchange::collectAcknowledged(
    const std::string& service, const Notice& notice, const std::vector<RevocationTarget>& targets) const
{
    std::vector<AcknowledgedCommits> reports { m_gateway.acknowledgedCommits(service) };
    bool complete = notice.revocation->scope == RevocationScope::AllCommits;
    for (const RevocationTarget& target : targets) {
        const AcknowledgedCommits* const report = reportOf(target, service, notice.number);
        if (report != nullptr)
            reports.push_back(*report);
        complete = complete && (report != nullptr || !target.mayRun);
    }
    return plantainwall::newestAcknowledged(reports, complete, m_departedAt);
}

std::string RevocationExchange::message() const
{
    std::vector<value> entries;
    for (const auto& [service, notice] : m_notices) {
        const std::pair<std::string, uint64_t> primary = m_gateway.directory().provenPrimary(service);
        const PrimaryRevocation revocation = notice.revocation.value_or(PrimaryRevocation());
        entries.push_back(value::array({ value::string(service), value::number(revocation.term),
            value::number(static_cast<uint64_t>(revocation.scope)), value::number(notice.token),
            value::string(primary.first), value::number(primary.second), value::string(revocation.successor),
            value::boolean(revocation.ordered) }));
    }
    value text = value::object();
    text["h"] = value::string(m_host);
    text["n"] = value::number(m_number);
    text["s"] = value::array(entries);
    return std::string(noticeWord) + text.serialize();
}

void RevocationExchange::tick(const Targets& targets)
{
    const Instant now = m_clock();
    for (auto it = m_notices.begin(); it != m_notices.end();) {
        const bool ended = !it->second.revocation && now - it->second.changedAt >= m_settings.withdrawalTime;
        it = ended ? m_notices.erase(it) : std::next(it);
    }
    if (m_notices.empty()) {
        m_acknowledgements.clear();
        return;
    }
    const std::vector<RevocationTarget> hosts = targets();
    updateInForce(hosts);
    std::string text;
    for (const RevocationTarget& target : hosts) {
        Acknowledgement& last = m_acknowledgements[target.host];
        const Duration interval
            = hasAcknowledged(target, m_number) ? m_settings.renewalInterval : m_settings.repeatInterval;
        if (target.address.empty() || now - last.sentAt < interval)
            continue;
        if (text.empty())
            text = message();
        last.sentAt = now;
        last.address = target.address;
        m_channel.send(target.address, text);
    }
    for (const auto& [service, notice] : m_notices) {
        if (notice.revocation)
            apply(service, notice.revocation, notice.token, notice.number, m_host);
    }
}

bool RevocationExchange::datagram(
    const std::string& text, const std::function<std::string(const std::string& host)>& addressOf)
{
    if (boost::algorithm::starts_with(text, acknowledgementWord)) {
        acknowledged(text);
        return true;
    }
    if (!boost::algorithm::starts_with(text, noticeWord))
        return false;
    const value notice = value::parse(text.substr(noticeWord.size()));
    const std::string coordinator = notice.at("h").as_string();
    const std::string address = addressOf(coordinator);
    if (address.empty())
        return true;
    const uint64_t number = unsignedFrom(notice.at("n"));
    std::vector<std::string> withheld;
    for (const value& entry : notice.at("s").as_array()) {
        const std::string service = entry.at(0).as_string();
        PrimaryRevocation revocation;
        revocation.term = unsignedFrom(entry.at(1), maxLogNumber);
        revocation.scope = static_cast<RevocationScope>(unsignedFrom(entry.at(2), lastScope));
        if (entry.size() > 6) {
            revocation.successor = entry.at(6).as_string();
            revocation.ordered = entry.at(7).as_bool();
        }
        const uint64_t token = unsignedFrom(entry.at(3));
        if (revocation.term != 0 && revocation.scope == RevocationScope::AllCommits)
            withheld.push_back(service);
        if (isOutdated(service, token, number))
            continue;
        m_gateway.directory().noteReportedPrimary(
            service, entry.at(4).as_string(), unsignedFrom(entry.at(5), maxLogNumber));
        apply(
            service, revocation.term != 0 ? std::make_optional(revocation) : std::nullopt, token, number, coordinator);
    }
    acknowledge(address, number, withheld);
    return true;
}

void RevocationExchange::acknowledge(
    const std::string& address, uint64_t number, const std::vector<std::string>& services)
{
    const Instant now = m_clock();
    std::vector<value> commits;
    for (const std::string& service : services) {
        const AcknowledgedCommits known = m_gateway.acknowledgedCommits(service);
        std::vector<value> entry { value::string(service), value::number(known.earliest.term),
            value::number(known.earliest.position), value::number(known.latest.term),
            value::number(known.latest.position) };
        if (known.observed) {
            const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - known.observed->requestedAt);
            entry.push_back(value::number(known.observed->position.term));
            entry.push_back(value::number(known.observed->position.position));
            entry.push_back(value::number(static_cast<uint64_t>(std::max<int64_t>(age.count(), 0) + 1)));
        }
        commits.push_back(value::array(std::move(entry)));
    }
    value reply = value::object();
    reply["h"] = value::string(m_host);
    reply["i"] = value::number(m_incarnation);
    reply["n"] = value::number(number);
    if (!commits.empty())
        reply["c"] = value::array(std::move(commits));
    m_channel.send(address, std::string(acknowledgementWord) + reply.serialize());
}

void RevocationExchange::acknowledged(const std::string& datagram)
{
    const value reply = value::parse(datagram.substr(acknowledgementWord.size()));
    const auto it = m_acknowledgements.find(reply.at("h").as_string());
    if (it == m_acknowledgements.end())
        return;
    const uint64_t incarnation = unsignedFrom(reply.at("i"));
    const uint64_t number = unsignedFrom(reply.at("n"));
    Acknowledgement& known = it->second;
    if (known.incarnation == incarnation && number < known.number)
        return;
    std::map<std::string, AcknowledgedCommits> commits;
    if (reply.has_field("c")) {
        for (const value& entry : reply.at("c").as_array()) {
            AcknowledgedCommits& reported = commits[entry.at(0).as_string()];
            reported.earliest = { unsignedFrom(entry.at(1), maxLogNumber), unsignedFrom(entry.at(2), maxLogNumber) };
            reported.latest = { unsignedFrom(entry.at(3), maxLogNumber), unsignedFrom(entry.at(4), maxLogNumber) };
            if (entry.size() <= 5)
                continue;
            // The age counts from when the host answered, which was later than the notice was sent.
            const auto notice = std::find_if(m_notices.begin(), m_notices.end(),
                [&](const auto& sent) { return sent.first == entry.at(0).as_string(); });
            if (notice == m_notices.end())
                continue;
            const std::chrono::milliseconds age(unsignedFrom(entry.at(7), maxReportedAgeMs));
            reported.observed = { { unsignedFrom(entry.at(5), maxLogNumber), unsignedFrom(entry.at(6), maxLogNumber) },
                notice->second.changedAt - age };
        }
    }
    known.incarnation = incarnation;
    known.number = number;
    known.commits = std::move(commits);
    m_reportsChanged = true;
}

} // namespace plantainwall

#include "fleet_member.h"
#include "json_number.h"
#include "log_event.h"
#include <algorithm>

// Reports between entry hosts, and detection of unreachable hosts.

namespace plantainwall {

Duration FleetMember::reportInterval() const
{
    return m_settings.baseReportInterval * std::max<size_t>(1, (m_peers.size() + 1) / m_settings.fullRateReportHosts);
}

// Returns N if every Nth report is sent to a host.
unsigned FleetMember::reportPeriod(const Peer& peer) const
{
    if (largeFleet() && peer.region != m_gatewaySettings.region)
        return m_settings.crossRegionReportPeriod;
    if (!m_gatewaySettings.localDistribution || !peer.distributes || peer.dataCentre == m_gatewaySettings.dataCentre)
        return 1;
    // Load pattern: a partition of a small fleet, whose hosts are not probed. Until each side notices it, both count a
    // customer at its whole rate.
    if (reportInterval() * m_settings.maxMissedReports <= 2 * m_settings.probeTimeout)
        return 1;
    const auto period
        = static_cast<unsigned>(m_settings.maxReducedSilence / (reportInterval() * m_settings.maxMissedReports));
    return std::clamp(period, 1U, m_settings.crossRegionReportPeriod);
}

Duration FleetMember::silenceTimeout(const Peer& peer) const
{
    return reportInterval() * reportPeriod(peer) * m_settings.maxMissedReports;
}

// A host that does not reach the store sends every report, so its word that it does not is as recent as that of hosts
// in the same data centre.
Duration FleetMember::outageSilence(const Peer& peer) const
{
    return peer.region == m_gatewaySettings.region || !largeFleet() ? reportInterval() * m_settings.maxMissedReports
                                                                    : silenceTimeout(peer);
}

// After a change every host reports the primaries that it has learned from servers. Only the repetitions, in case
// reports were lost, are left to a few hosts.
bool FleetMember::repeatsPrimariesTo(const Peer& peer) const
{
    return m_reportsPrimaries || !peer.distributes || peer.dataCentre == m_gatewaySettings.dataCentre;
}

// A host without any report yet is assumed to be reachable until its reports are overdue.
bool FleetMember::isUnreachable(const Peer& peer) const
{
    return peer.silent
        && (peer.probeFailed || m_clock() - std::max(peer.listedAt, peer.lastSeen) > silenceTimeout(peer));
}

FleetMember::Primaries FleetMember::provenPrimaries() const
{
    Primaries result;
    if (m_gateway.configuration() == nullptr)
        return result;
    for (const auto& [name, service] : m_gateway.configuration()->services) {
        const std::pair<std::string, uint64_t> primary = m_gateway.directory().provenPrimary(name);
        if (!primary.first.empty())
            result.emplace(name, primary);
    }
    return result;
}

std::string FleetMember::report(ReportKind kind, const Primaries& primaries) const
{
    web::json::value value = web::json::value::object();
    value["h"] = web::json::value::string(m_gatewaySettings.host);
    value["i"] = web::json::value::number(m_incarnation);
    value["s"] = web::json::value::boolean(m_follower.reachable());
    if (kind == ReportKind::Leaving)
        value["e"] = web::json::value::boolean(true);
    if (kind == ReportKind::ReplyRequested)
        value["q"] = web::json::value::boolean(true);
    // Large fleets learn the load from lenders.
    if (kind == ReportKind::Plain && m_gatewaySettings.evenLoad && !largeFleet())
        value["l"] = web::json::value::string(m_gateway.loadReport());
    if (primaries.empty())
        return value.serialize();
    web::json::value entries = web::json::value::object();
    for (const auto& [service, primary] : primaries)
        entries[service] = web::json::value::array(
            { web::json::value::string(primary.first), web::json::value::number(primary.second) });
    value["p"] = entries;
    return value.serialize();
}

void FleetMember::sendReports()
{
    const Instant now = m_clock();
    m_reportAt = now + reportInterval();
    Primaries primaries = provenPrimaries();
    if (primaries != m_reportedPrimaries)
        m_primariesRepeatsLeft = m_settings.primariesRepeatCount;
    const bool complete = m_primariesRepeatsLeft > 0 || m_reportCount % m_settings.primariesReportPeriod == 0;
    m_reportedPrimaries = std::move(primaries);
    const std::string full = report(ReportKind::Plain, m_reportedPrimaries);
    const std::string brief = report(ReportKind::Plain, {});
    // Changed primaries are sent to all at once, with local distribution also whether this host reaches the store.
    const bool reachable = m_follower.reachable();
    const bool news = m_primariesRepeatsLeft > 0
        || (m_gatewaySettings.localDistribution && (!reachable || reachable != m_reportedReachable));
    m_reportedReachable = reachable;
    for (auto& [host, peer] : m_peers) {
        if (!peer.silent && now - peer.lastSeen > silenceTimeout(peer))
            noteSilent(host, peer, "reports are overdue");
        const bool due = news || m_reportCount % reportPeriod(peer) == 0;
        if (peer.address.empty() || (peer.primariesSent && !due))
            continue;
        const bool withPrimaries
            = m_primariesRepeatsLeft > 0 || ((complete || !peer.primariesSent) && repeatsPrimariesTo(peer));
        m_channel.send(peer.address, withPrimaries ? full : brief);
        peer.primariesSent = !peer.silent;
    }
    ++m_reportCount;
    m_primariesRepeatsLeft -= std::min(m_primariesRepeatsLeft, 1U);
    fleetChanged();
}

void FleetMember::noteSilent(const std::string& host, Peer& peer, const std::string& reason)
{
    peer.silent = true;
    peer.primariesSent = false;
    logEvent(LogEvent::PeerSilent,
        { { "peer", host }, { "reason", reason },
            { "silent_ms", std::chrono::duration_cast<Duration>(m_clock() - peer.lastSeen).count() / 1000 } });
}

// Until two hosts know each other they count customers' operations separately, each within its fraction of the rate.
// In large fleets reports are seconds apart, so a report is sent to a newly known host, and requested from it, at once.
void FleetMember::sendFirstReports()
{
    std::string requestingReply;
    std::string plain;
    for (auto& [host, peer] : m_peers) {
        if (peer.firstReportIncarnation == peer.incarnation || peer.address.empty())
            continue;
        peer.firstReportIncarnation = peer.incarnation;
        std::string& text = peer.silent ? requestingReply : plain;
        if (text.empty())
            text = report(peer.silent ? ReportKind::ReplyRequested : ReportKind::Plain, {});
        m_channel.send(peer.address, text);
    }
}

void FleetMember::startProbe(bool all)
{
    m_probeStarted = m_clock();
    m_probeRepeated = false;
    m_probesAll = all || m_peers.size() <= 2 * m_settings.probeSample;
    m_probed.clear();
    for (const auto& [host, peer] : m_peers) {
        if (!peer.silent && peer.lastSeen < m_probeStarted)
            m_probed.push_back(host);
    }
    if (!m_probesAll) {
        std::shuffle(m_probed.begin(), m_probed.end(), m_random);
        m_probed.resize(std::min(m_probed.size(), m_settings.probeSample));
    }
    sendProbes();
}

void FleetMember::sendProbes()
{
    const std::string text = report(ReportKind::ReplyRequested, {});
    for (const std::string& host : m_probed) {
        const auto it = m_peers.find(host);
        if (it != m_peers.end() && !it->second.silent && it->second.lastSeen < m_probeStarted)
            m_channel.send(it->second.address, text);
    }
}

// After a partition each side counts customers' operations again on its own reachable hosts. Missing reports reveal a
// partition only after several intervals, so several hosts with unanswered requests trigger a probe.
void FleetMember::probe()
{
    const Instant now = m_clock();
    if (m_probeStarted == Instant()) {
        const bool useful = reportInterval() * m_settings.maxMissedReports > 2 * m_settings.probeTimeout;
        if (useful && m_quota.unresponsiveHosts() >= m_settings.unresponsiveHosts && now >= m_noProbeBefore)
            startProbe(false);
        return;
    }
    if (!m_probeRepeated && now - m_probeStarted >= m_settings.probeRepeatDelay) {
        m_probeRepeated = true;
        sendProbes();
    }
    if (now - m_probeStarted < m_settings.probeTimeout)
        return;
    std::vector<std::string> unanswered;
    for (const std::string& host : m_probed) {
        const auto it = m_peers.find(host);
        if (it != m_peers.end() && !it->second.silent && it->second.lastSeen < m_probeStarted)
            unanswered.push_back(host);
    }
    const bool inconclusive = m_lateTickAt >= m_probeStarted;
    const bool many = unanswered.size() * 8 > m_probed.size();
    if (!inconclusive && many && !m_probesAll) {
        startProbe(true);
        return;
    }
    m_probeStarted = Instant();
    m_noProbeBefore = now + m_settings.probePause;
    // Of a sample, single hosts that do not answer may be restarting; their reports tell.
    if (inconclusive || !m_probesAll)
        return;
    for (const std::string& host : unanswered) {
        Peer& peer = m_peers.at(host);
        noteSilent(host, peer, "did not answer a probe");
        peer.probeFailed = true;
    }
    fleetChanged();
}

void FleetMember::peerDatagram(const std::string& datagram)
{
    try {
        if (m_quota.datagram(datagram) || takeDatagram(datagram))
            m_gateway.fleetContact().heard(earliestSent());
    } catch (const std::exception& error) {
        logEvent(LogEvent::BadRequest, { { "from", "peer" }, { "reason", error.what() } });
    }
}

// Datagrams wait in the socket while this host does not run.
Instant FleetMember::earliestSent() const
{
    const Instant now = m_clock();
    if (now - m_tickedAt > m_settings.maxTickGap)
        return m_tickedAt;
    return now - m_lateTickAt < m_settings.lateDatagramTime ? now - m_lateBy : now;
}

bool FleetMember::takeDatagram(const std::string& datagram)
{
    const auto addressOf = [this](const std::string& host) {
        const auto it = m_peers.find(host);
        return it == m_peers.end() ? std::string() : it->second.address;
    };
    if (m_positionExchange.datagram(datagram, addressOf))
        return true;
    if (m_probeExchange.datagram(datagram, addressOf) || leaseDatagram(datagram)
        || m_revocations.datagram(datagram, addressOf))
        return true;
    std::optional<StoreEvents> changes;
    if (m_changeExchange.datagram(datagram, addressOf, changes)) {
        if (changes && changes->from == 0)
            m_follower.applyRelayedListing(*changes);
        else if (changes)
            m_follower.applyRelayed(*changes);
        return true;
    }
    if (passOn(datagram))
        return true;
    if (isStoreEvents(datagram)) {
        m_follower.applyRelayed(decodeStoreEvents(datagram));
        return true;
    }
    return takeReport(datagram);
}

bool FleetMember::takeReport(const std::string& datagram)
{
    const web::json::value value = web::json::value::parse(datagram);
    const std::string host = value.at("h").as_string();
    const auto incarnation = unsignedFrom(value.at("i"));
    const auto it = m_peers.find(host);
    if (it == m_peers.end() || it->second.endedIncarnations.count(incarnation) != 0)
        return false;
    if (value.has_field("e")) {
        // A notice of an earlier process may arrive late.
        if (incarnation == it->second.incarnation) {
            m_gateway.forgetReports(host);
            m_revocations.noteDeparture();
            m_peers.erase(it);
            m_fleetChanged = true;
        }
        return true;
    }
    Peer& peer = it->second;
    peer.lastSeen = m_clock();
    m_quota.heard(host);
    peer.storeReachable = value.at("s").as_bool();
    if (value.has_field("l"))
        m_gateway.loadReported(host, value.at("l").as_string());
    if (value.has_field("p")) {
        for (const auto& [service, entry] : value.at("p").as_object()) {
            const std::string id = entry.at(0).as_string();
            const auto term = unsignedFrom(entry.at(1), maxLogNumber);
            if (!m_gateway.directory().noteReportedPrimary(service, id, term))
                continue;
            // The source reports it to all hosts; this host need not repeat it.
            m_reportedPrimaries[service] = { id, term };
            logEvent(LogEvent::PrimaryChanged,
                { { "service", service }, { "server", id }, { "term", term }, { "source", host } });
        }
    }
    if (value.has_field("q") || peer.silent)
        m_channel.send(peer.address, report(ReportKind::Plain, {}));
    if (!peer.silent)
        return true;
    peer.silent = false;
    peer.probeFailed = false;
    m_fleetChanged = true;
    logEvent(LogEvent::PeerHeard, { { "peer", host }, { "incarnation", incarnation } });
    return true;
}

} // namespace plantainwall

#include "fleet_member.h"
#include "log_event.h"
#include <algorithm>
#include <cpprest/json.h>

// What entry hosts report to each other, and which of them are in reach.

namespace plantainwall {

Duration FleetMember::reportInterval() const
{
    return m_settings.reportEvery * std::max<size_t>(1, (m_peers.size() + 1) / m_settings.fullRateReportHosts);
}

bool FleetMember::usesCrossRegionPeriod(const Peer& peer) const
{
    return largeFleet() && peer.region != m_gatewaySettings.region;
}

Duration FleetMember::silenceLimit(const Peer& peer) const
{
    const Duration interval
        = reportInterval() * (usesCrossRegionPeriod(peer) ? m_settings.crossRegionReportPeriod : 1U);
    return interval * m_settings.maxMissedReports;
}

// A host that was never heard is taken to be in reach until its reports are overdue.
bool FleetMember::outOfReach(const Peer& peer) const
{
    return peer.silent && (peer.probeFailed || m_clock() - std::max(peer.listedAt, peer.heard) > silenceLimit(peer));
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
    if (primaries != m_reported)
        m_repeats = m_settings.primariesRepeatCount;
    const bool complete = m_repeats > 0 || m_reports % m_settings.primariesReportPeriod == 0;
    m_reported = std::move(primaries);
    const std::string full = report(ReportKind::Plain, m_reported);
    const std::string brief = complete ? full : report(ReportKind::Plain, {});
    // New knowledge goes everywhere at once.
    const bool due = m_repeats > 0 || m_reports % m_settings.crossRegionReportPeriod == 0;
    for (auto& [host, peer] : m_peers) {
        if (!peer.silent && now - peer.heard > silenceLimit(peer))
            noteSilent(host, peer, "reports are overdue");
        if (peer.address.empty() || (usesCrossRegionPeriod(peer) && peer.primariesSent && !due))
            continue;
        m_channel.send(peer.address, peer.primariesSent ? brief : full);
        peer.primariesSent = !peer.silent;
    }
    ++m_reports;
    m_repeats -= std::min(m_repeats, 1U);
    fleetChanged();
}

void FleetMember::noteSilent(const std::string& host, Peer& peer, const std::string& reason)
{
    peer.silent = true;
    peer.primariesSent = false;
    logEvent(LogEvent::PeerSilent,
        { { "peer", host }, { "reason", reason },
            { "silent_ms", std::chrono::duration_cast<Duration>(m_clock() - peer.heard).count() / 1000 } });
}

// Hosts that do not know each other yet count customers' operations apart, each within its part of the rate. In large
// fleets reports are seconds apart, so a host that becomes known is told, and asked, at once.
void FleetMember::sendFirstReports()
{
    std::string asking;
    std::string plain;
    for (auto& [host, peer] : m_peers) {
        if (peer.firstReportIncarnation == peer.incarnation || peer.address.empty())
            continue;
        peer.firstReportIncarnation = peer.incarnation;
        std::string& text = peer.silent ? asking : plain;
        if (text.empty())
            text = report(peer.silent ? ReportKind::ReplyRequested : ReportKind::Plain, {});
        m_channel.send(peer.address, text);
    }
}

// After a partition customers' operations are counted anew on each side, by the hosts in reach. Reports show it only
// after several intervals, so hosts that fail to answer questions make this one ask everybody.
void FleetMember::probe()
{
    const Instant now = m_clock();
    const auto ask = [&](Instant unlessSeenSince) {
        const std::string text = report(ReportKind::ReplyRequested, {});
        for (const auto& [host, peer] : m_peers) {
            if (!peer.silent && peer.heard < unlessSeenSince)
                m_channel.send(peer.address, text);
        }
    };
    if (m_probeStarted == Instant()) {
        const bool useful = reportInterval() * m_settings.maxMissedReports > 2 * m_settings.probeLimit;
        if (!useful || m_quota.unresponsiveHosts() < m_settings.unresponsiveHosts || now < m_noProbeBefore)
            return;
        m_probeStarted = now;
        m_probeRepeated = false;
        ask(now);
        return;
    }
    if (!m_probeRepeated && now - m_probeStarted >= m_settings.probeRepeat) {
        m_probeRepeated = true;
        ask(m_probeStarted);
    }
    if (now - m_probeStarted < m_settings.probeLimit)
        return;
    for (auto& [host, peer] : m_peers) {
        if (peer.silent || peer.heard >= m_probeStarted)
            continue;
        noteSilent(host, peer, "did not answer a probe");
        peer.probeFailed = true;
    }
    m_probeStarted = Instant();
    m_noProbeBefore = now + m_settings.probePause;
    fleetChanged();
}

void FleetMember::peerDatagram(const std::string& datagram)
{
    if (m_quota.datagram(datagram))
        return;
    try {
        const auto addressOf = [this](const std::string& host) {
            const auto it = m_peers.find(host);
            return it == m_peers.end() ? std::string() : it->second.address;
        };
        if (m_positionExchange.datagram(datagram, addressOf))
            return;
        std::optional<StoreEvents> changes;
        if (m_changes.datagram(datagram, addressOf, changes)) {
            if (changes)
                m_follower.applyRelayed(*changes);
            return;
        }
        if (isStoreEvents(datagram)) {
            m_follower.applyRelayed(decodeStoreEvents(datagram));
            return;
        }
        const web::json::value value = web::json::value::parse(datagram);
        const std::string host = value.at("h").as_string();
        const auto incarnation = static_cast<uint64_t>(value.at("i").as_number().to_int64());
        const auto it = m_peers.find(host);
        if (it == m_peers.end() || incarnation < it->second.incarnation)
            return;
        if (value.has_field("e")) {
            m_peers.erase(it);
            m_fleetChanged = true;
            return;
        }
        Peer& peer = it->second;
        peer.heard = m_clock();
        m_quota.heard(host);
        peer.storeReachable = value.at("s").as_bool();
        if (value.has_field("p")) {
            for (const auto& [service, entry] : value.at("p").as_object()) {
                const std::string id = entry.at(0).as_string();
                const auto term = static_cast<uint64_t>(entry.at(1).as_number().to_int64());
                if (!m_gateway.directory().noteReportedPrimary(service, id, term, m_clock()))
                    continue;
                // What others tell everybody need not be told again.
                m_reported[service] = { id, term };
                logEvent(LogEvent::PrimaryChanged,
                    { { "service", service }, { "server", id }, { "term", term }, { "source", host } });
            }
        }
        if (value.has_field("q") || peer.silent)
            m_channel.send(peer.address, report(ReportKind::Plain, {}));
        if (!peer.silent)
            return;
        peer.silent = false;
        peer.probeFailed = false;
        m_fleetChanged = true;
        logEvent(LogEvent::PeerHeard, { { "peer", host }, { "incarnation", incarnation } });
    } catch (const std::exception& error) {
        logEvent(LogEvent::BadRequest, { { "from", "peer" }, { "reason", error.what() } });
    }
}

} // namespace plantainwall

#include "lease_grantor.h"
#include <algorithm>

namespace plantainwall {

LeaseGrantor::LeaseGrantor(const PrimaryLeaseSettings& settings)
    : m_settings(settings)
{
}

void LeaseGrantor::activate(Instant now)
{
    const PrimaryLeaseSettings settings = m_settings;
    *this = LeaseGrantor(settings);
    m_activatedAt = now;
}

void LeaseGrantor::recordRead(
    const PrimaryRecordVersion& version, const LeasedPrimaries& primaries, bool valid, Instant now)
{
    m_read = true;
    m_version = version;
    const LeasedPrimaries known = valid ? primaries : LeasedPrimaries();
    for (const auto& [service, primary] : known) {
        const auto it = m_recorded.find(service);
        // Written by an unanswered call of this host, or late by the coordinator before.
        if (it == m_recorded.end() || it->second.server != primary.server)
            m_replaced[service] = { version, now };
        m_desired.emplace(service, primary);
    }
    m_recorded = known;
}

void LeaseGrantor::setPrimary(const std::string& service, const LeasedPrimary& primary)
{
    m_desired[service] = primary;
}

std::optional<LeasedPrimary> LeaseGrantor::primaryOf(const std::string& service) const
{
    const auto it = m_desired.find(service);
    return it == m_desired.end() ? std::nullopt : std::make_optional(it->second);
}

std::optional<LeaseGrantor::Write> LeaseGrantor::due()
{
    if (!m_read || m_writing || m_desired == m_recorded)
        return std::nullopt;
    m_writing = true;
    m_inFlight = m_desired;
    return Write { m_desired, m_version.revision };
}

void LeaseGrantor::written(bool accepted, const PrimaryRecordVersion& version, Instant now)
{
    m_writing = false;
    if (!accepted) {
        m_read = false;
        return;
    }
    m_version = version;
    for (const auto& [service, primary] : m_inFlight) {
        const auto it = m_recorded.find(service);
        if (it == m_recorded.end() || it->second.server != primary.server)
            m_replaced[service] = { version, now };
    }
    m_recorded = m_inFlight;
}

void LeaseGrantor::acknowledged(const std::string& host, const PrimaryRecordVersion& version)
{
    m_acknowledged[host] = version;
}

bool LeaseGrantor::unacknowledged(const std::string& host) const
{
    const auto it = m_acknowledged.find(host);
    return it == m_acknowledged.end() || it->second < m_version;
}

bool LeaseGrantor::othersEnded(const std::string& service, const LeasedPrimary& primary,
    const std::set<std::string>& hosts, Instant trustedSince, Instant now) const
{
    const auto recorded = m_recorded.find(service);
    const auto desired = m_desired.find(service);
    const bool current = m_read && recorded != m_recorded.end() && desired != m_desired.end()
        && recorded->second.server == primary.server && desired->second.server == primary.server;
    if (!current)
        return false;
    const auto it = m_replaced.find(service);
    const Replacement replacement = it == m_replaced.end() ? Replacement { m_version, m_activatedAt } : it->second;
    const Duration lifetime = m_settings.lifetime + m_settings.margin;
    if (now >= std::max({ replacement.at, m_activatedAt, trustedSince }) + lifetime)
        return true;
    // Hosts that this one does not know may hold leases of the coordinator before.
    if (now < std::max(m_activatedAt, trustedSince) + lifetime)
        return false;
    return std::all_of(hosts.begin(), hosts.end(), [&](const std::string& host) {
        const auto acknowledged = m_acknowledged.find(host);
        return acknowledged != m_acknowledged.end() && !(acknowledged->second < replacement.version);
    });
}

} // namespace plantainwall

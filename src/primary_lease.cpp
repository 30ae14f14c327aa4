#include "primary_lease.h"
#include "json_number.h"
#include <algorithm>
#include <utility>

namespace plantainwall {

std::string encodePrimaryRecord(const LeasedPrimaries& primaries, uint64_t era)
{
    web::json::value entries = web::json::value::object();
    for (const auto& [service, primary] : primaries)
        entries[service] = web::json::value::array(
            { web::json::value::string(primary.server), web::json::value::number(primary.term) });
    web::json::value record = web::json::value::object();
    record["era"] = web::json::value::number(era);
    record["primaries"] = entries;
    return record.serialize();
}

LeasedPrimaries decodePrimaryRecord(std::string_view text, uint64_t& era)
{
    const web::json::value record = web::json::value::parse(std::string(text));
    LeasedPrimaries primaries;
    for (const auto& [service, entry] : record.at("primaries").as_object())
        primaries[service] = { entry.at(0).as_string(), unsignedFrom(entry.at(1), maxLogNumber) };
    era = unsignedFrom(record.at("era"));
    return primaries;
}

PrimaryLeases::PrimaryLeases(bool required, const PrimaryLeaseSettings& settings)
    : m_required(required)
    , m_settings(settings)
{
}

bool PrimaryLeases::adopt(const PrimaryRecordVersion& version, const LeasedPrimaries& primaries)
{
    if (version < m_version || (version == m_version && !m_leases.empty()))
        return false;
    m_version = version;
    std::map<std::string, Lease> leases;
    bool differs = primaries.size() != m_leases.size();
    for (const auto& [service, primary] : primaries) {
        const auto it = m_leases.find(service);
        // A server that led an earlier term was replaced in between.
        const bool same = it != m_leases.end() && it->second.primary == primary;
        leases[service] = { primary, same ? it->second.until : Instant() };
        differs = differs || !same;
    }
    m_leases = std::move(leases);
    return differs;
}

void PrimaryLeases::confirm(const PrimaryRecordVersion& version, Instant requestedAt)
{
    if (!(version == m_version))
        return;
    m_confirmedAt = std::max(m_confirmedAt, requestedAt);
    for (auto& [service, lease] : m_leases)
        lease.until = std::max(lease.until, requestedAt + m_settings.lifetime);
}

Instant PrimaryLeases::until(const std::string& service, std::string_view server) const
{
    if (!m_required)
        return Instant::max();
    const auto it = m_leases.find(service);
    return it == m_leases.end() || it->second.primary.server != server ? Instant() : it->second.until;
}

std::string_view PrimaryLeases::serverFor(const std::string& service) const
{
    const auto it = m_leases.find(service);
    return !m_required || it == m_leases.end() ? std::string_view() : std::string_view(it->second.primary.server);
}

} // namespace plantainwall

#include "primary_revocation.h"
#include <algorithm>
#include <tuple>

namespace plantainwall {

namespace {

    constexpr std::string_view scopeNames[] = { "new_commits", "all_commits" };
    static_assert(
        std::size(scopeNames) == static_cast<size_t>(RevocationScope::Count), "one entry for each RevocationScope");

} // namespace

std::string_view revocationScopeName(RevocationScope scope) { return scopeNames[static_cast<size_t>(scope)]; }

bool PrimaryRevocations::revoke(const std::string& service, const PrimaryRevocation& revocation, uint64_t token,
    Instant now, Duration lifetime, uint64_t number)
{
    Entry& known = m_revocations[service];
    if (token < known.token && now < known.until)
        return false;
    const bool added = !(known.revocation == revocation);
    known = { revocation, token, number, now + lifetime, now };
    return added;
}

bool PrimaryRevocations::revokeAsRecorded(const std::string& service, const PrimaryRevocation& revocation,
    uint64_t token, uint64_t number, Instant now, Duration lifetime)
{
    Entry& known = m_revocations[service];
    if (std::tie(known.token, known.number) < std::tie(token, number))
        return revoke(service, revocation, token, now, lifetime, number);
    if (token == known.token && known.revocation.term != 0) {
        known.revocation.ordered = known.revocation.ordered || revocation.ordered;
        known.until = std::max(known.until, now + lifetime);
        known.heardAt = now;
    }
    return false;
}

bool PrimaryRevocations::withdraw(const std::string& service, uint64_t token, uint64_t number)
{
    const auto it = m_revocations.find(service);
    if (it == m_revocations.end() || it->second.revocation.term == 0 || token < it->second.token)
        return false;
    it->second.revocation.term = 0;
    it->second.token = token;
    it->second.number = number;
    return true;
}

void PrimaryRevocations::withdrawAsRecorded(const std::string& service, uint64_t token, uint64_t number)
{
    const auto it = m_revocations.find(service);
    if (it != m_revocations.end() && it->second.token == token && it->second.number <= number)
        it->second.revocation.term = 0;
}

bool PrimaryRevocations::isRevoked(
    const std::string& service, std::string_view server, uint64_t term, Instant now) const
{
    const auto it = m_revocations.find(service);
    if (it == m_revocations.end() || it->second.revocation.term == 0 || now >= it->second.until)
        return false;
    const PrimaryRevocation& revocation = it->second.revocation;
    return term < revocation.term
        || (revocation.scope == RevocationScope::AllCommits && server != revocation.successor);
}

bool PrimaryRevocations::withholdsCommits(
    const std::string& service, std::string_view server, uint64_t term, Instant now) const
{
    return isRevoked(service, server, term, now)
        && m_revocations.at(service).revocation.scope == RevocationScope::AllCommits;
}

std::optional<PrimaryRevocation> PrimaryRevocations::unfinished(
    const std::string& service, uint64_t token, Instant now) const
{
    const auto it = m_revocations.find(service);
    const bool known = it != m_revocations.end() && it->second.revocation.term != 0 && it->second.revocation.ordered
        && it->second.token < token && now - it->second.heardAt < lateOrderTime;
    return known ? std::make_optional(it->second.revocation) : std::nullopt;
}

} // namespace plantainwall

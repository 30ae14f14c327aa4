#include "server_directory.h"
#include <algorithm>

namespace plantainwall {

ServerDirectory::ServerDirectory(const DirectorySettings& settings)
    : m_settings(settings)
{
}

std::vector<std::string> ServerDirectory::replaceAll(const std::vector<ServerEntry>& entries, Instant now)
{
    std::set<std::string> listed;
    for (const ServerEntry& entry : entries) {
        listed.insert(entry.id);
        registerServer(entry);
    }
    std::vector<std::string> absent;
    for (const auto& [id, known] : m_servers) {
        if (listed.count(id) == 0)
            absent.push_back(id);
    }
    std::vector<std::string> removed;
    for (const std::string& id : absent) {
        if (remove(id, now))
            removed.push_back(id);
    }
    return removed;
}

void ServerDirectory::registerServer(const ServerEntry& entry)
{
    KnownServer& known = m_servers[entry.id];
    const bool sameStart = entry.startedUnixMs != 0 && known.entry.startedUnixMs == entry.startedUnixMs;
    if (sameStart && entry.sequence != 0 && entry.sequence < known.entry.sequence) {
        known.missingSince.reset();
        return;
    }
    const bool restarted = known.entry.startedUnixMs != entry.startedUnixMs && !known.entry.id.empty();
    const bool becamePrimary = entry.primary && (!known.entry.primary || restarted);
    known.entry = entry;
    known.missingSince.reset();
    Leadership& leadership = m_leadership[entry.service];
    if (becamePrimary) {
        leadership.id = entry.id;
        leadership.provenTerm = 0;
        leadership.deniedAt.erase(entry.id);
    }
}

bool ServerDirectory::remove(const std::string& id, Instant now)
{
    const auto it = m_servers.find(id);
    if (it == m_servers.end())
        return false;
    if (it->second.entry.draining) {
        m_servers.erase(it);
        return true;
    }
    if (!it->second.missingSince)
        it->second.missingSince = now;
    return false;
}

void ServerDirectory::storeBecameUnreachable()
{
    m_storeUnreachable = true;
    m_storeReachableSince.reset();
}

void ServerDirectory::storeReachableAgain(Instant now)
{
    if (!m_storeUnreachable)
        return;
    m_storeUnreachable = false;
    m_storeReachableSince = now;
}

void ServerDirectory::storeRestored(Instant now)
{
    if (!m_storeUnreachable)
        m_storeReachableSince = now;
}

std::vector<std::string> ServerDirectory::expire(Instant now)
{
    std::vector<std::string> removed;
    if (m_storeUnreachable || (m_storeReachableSince && now - *m_storeReachableSince < m_settings.returnGrace))
        return removed;
    for (auto it = m_servers.begin(); it != m_servers.end();) {
        if (!it->second.missingSince || now - *it->second.missingSince < m_settings.returnGrace) {
            ++it;
            continue;
        }
        removed.push_back(it->first);
        it = m_servers.erase(it);
    }
    return removed;
}

const ServerEntry* ServerDirectory::find(const std::string& id) const
{
    const auto it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : &it->second.entry;
}

std::vector<const ServerEntry*> ServerDirectory::members(const std::string& service) const
{
    std::vector<const ServerEntry*> result;
    for (const auto& [id, known] : m_servers) {
        if (known.entry.service == service)
            result.push_back(&known.entry);
    }
    return result;
}

std::string ServerDirectory::primary(const std::string& service, Instant now) const
{
    const auto it = m_leadership.find(service);
    if (it == m_leadership.end())
        return {};
    const Leadership& leadership = it->second;
    const auto deniedRecently = [&](const std::string& id) {
        const auto denied = leadership.deniedAt.find(id);
        return denied != leadership.deniedAt.end() && now - denied->second < m_settings.denialTime;
    };
    if (!leadership.id.empty() && find(leadership.id) != nullptr && !deniedRecently(leadership.id))
        return leadership.id;
    const ServerEntry* best = nullptr;
    for (const ServerEntry* member : members(service)) {
        if (deniedRecently(member->id))
            continue;
        if (best == nullptr || (member->primary && !best->primary))
            best = member;
    }
    return best == nullptr ? std::string() : best->id;
}

std::string ServerDirectory::knownPrimary(const std::string& service) const
{
    const auto it = m_leadership.find(service);
    if (it != m_leadership.end() && !it->second.id.empty())
        return it->second.id;
    for (const ServerEntry* member : members(service)) {
        if (member->primary)
            return member->id;
    }
    return {};
}

bool ServerDirectory::noteReportedPrimary(const std::string& service, const std::string& id, uint64_t term, Instant now)
{
    const std::string known = primary(service, now);
    if (term < this->term(service) || (term == this->term(service) && !known.empty()) || find(id) == nullptr)
        return false;
    return notePrimary(service, id, term);
}

std::pair<std::string, uint64_t> ServerDirectory::provenPrimary(const std::string& service) const
{
    const auto it = m_leadership.find(service);
    if (it == m_leadership.end() || it->second.provenTerm == 0)
        return { {}, 0 };
    return { it->second.id, it->second.provenTerm };
}

uint64_t ServerDirectory::term(const std::string& service) const
{
    const auto it = m_leadership.find(service);
    return it == m_leadership.end() ? 0 : it->second.term;
}

bool ServerDirectory::notePrimary(const std::string& service, const std::string& id, uint64_t term)
{
    Leadership& leadership = m_leadership[service];
    if (term < leadership.term || term < leadership.provenTerm)
        return false;
    const bool changed = leadership.id != id || leadership.provenTerm != term;
    leadership.id = id;
    leadership.term = term;
    leadership.provenTerm = term;
    leadership.deniedAt.erase(id);
    return changed;
}

void ServerDirectory::noteNotPrimary(const std::string& service, const std::string& id, Instant now)
{
    Leadership& leadership = m_leadership[service];
    leadership.deniedAt[id] = now;
    if (leadership.id == id) {
        leadership.id.clear();
        leadership.provenTerm = 0;
    }
}

void ServerDirectory::noteTerm(const std::string& service, uint64_t term)
{
    Leadership& leadership = m_leadership[service];
    leadership.term = std::max(leadership.term, term);
}

} // namespace plantainwall

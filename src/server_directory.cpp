#include "server_directory.h"
#include "log_event.h"
#include <algorithm>
#include <tuple>
#include <utility>

namespace plantainwall {

ServerDirectory::ServerDirectory(const DirectorySettings& settings)
    : m_settings(settings)
{
}

std::vector<std::string> ServerDirectory::replaceAll(const std::vector<ServerEntry>& entries, Instant now)
{
    std::set<std::string> listed;
    m_deferred.clear();
    for (const ServerEntry& entry : entries) {
        listed.insert(entry.id);
        if (mayBeCopy(now) && mayBeOutdated(entry))
            m_deferred[entry.id] = entry;
        else
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

uint64_t ServerDirectory::runningStart(const std::string& id) const
{
    const auto registered = m_servers.find(id);
    if (registered != m_servers.end())
        return registered->second.entry.startedUnixMs;
    for (auto it = m_lapsed.lower_bound({ id, 0 }); it != m_lapsed.end() && it->first.first == id; ++it) {
        if (!it->second.ended)
            return it->first.second;
    }
    return 0;
}

void ServerDirectory::registerServer(const ServerEntry& entry)
{
    m_deferred.erase(entry.id);
    const uint64_t knownStart = runningStart(entry.id);
    if (entry.startedUnixMs == 0 && knownStart != 0) {
        ServerEntry completed = entry;
        completed.startedUnixMs = knownStart;
        registerServer(completed);
        return;
    }
    KnownServer& known = m_servers[entry.id];
    const bool sameStart = entry.startedUnixMs != 0 && known.entry.startedUnixMs == entry.startedUnixMs;
    if (sameStart && entry.sequence != 0 && entry.sequence < known.entry.sequence) {
        known.missingSince.reset();
        return;
    }
    const auto lapsed = m_lapsed.find({ entry.id, entry.startedUnixMs });
    if (lapsed != m_lapsed.end() && entry.sequence != 0 && entry.sequence < lapsed->second.entry.sequence) {
        // Registered again by a copy of the store, in which it may not be leaving yet.
        ServerEntry newest = lapsed->second.entry;
        m_lapsed.erase(lapsed);
        registerServer(newest);
        return;
    }
    const bool restarted = known.entry.startedUnixMs != entry.startedUnixMs && !known.entry.id.empty();
    const bool becamePrimary = entry.primary && (!known.entry.primary || restarted);
    if (restarted && known.entry.startedUnixMs != 0)
        lapse(known.entry, m_expiredAt, true);
    known.entry = entry;
    known.missingSince.reset();
    markEnded(entry.id);
    m_lapsed.erase({ entry.id, entry.startedUnixMs });
    Leadership& leadership = m_leadership[entry.service];
    if (becamePrimary) {
        leadership.id = entry.id;
        leadership.provenTerm = 0;
        leadership.deniedAt.erase(entry.id);
    }
}

bool ServerDirectory::mayBeCopy(Instant now) const
{
    return m_restoredAt && now - *m_restoredAt < m_settings.copyGrace;
}

bool ServerDirectory::mayBeOutdated(const ServerEntry& entry) const
{
    if (entry.startedUnixMs == 0)
        return false;
    const auto lapsed = m_lapsed.find({ entry.id, entry.startedUnixMs });
    if (lapsed == m_lapsed.end())
        return entry.startedUnixMs < runningStart(entry.id);
    const uint64_t sequence = lapsed->second.entry.sequence;
    return lapsed->second.ended || sequence == 0 || entry.sequence <= sequence;
}

bool ServerDirectory::registerDeferred(Instant now)
{
    if (m_deferred.empty() || m_storeUnreachable || mayBeCopy(now))
        return false;
    const std::map<std::string, ServerEntry> entries = std::exchange(m_deferred, {});
    for (const auto& [id, entry] : entries)
        registerServer(entry);
    return true;
}

bool ServerDirectory::remove(const std::string& id, Instant now)
{
    m_deferred.erase(id);
    const auto it = m_servers.find(id);
    if (it == m_servers.end())
        return false;
    if (it->second.entry.draining) {
        lapse(it->second.entry, now, false);
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
    m_restoredAt = now;
    m_deferred.clear();
    if (!m_storeUnreachable)
        m_storeReachableSince = now;
}

std::vector<std::string> ServerDirectory::expire(Instant now)
{
    m_expiredAt = now;
    std::vector<std::string> removed;
    if (m_storeUnreachable || (m_storeReachableSince && now - *m_storeReachableSince < m_settings.returnGrace))
        return removed;
    for (auto it = m_servers.begin(); it != m_servers.end();) {
        if (!it->second.missingSince || now - *it->second.missingSince < m_settings.returnGrace) {
            ++it;
            continue;
        }
        removed.push_back(it->first);
        lapse(it->second.entry, *it->second.missingSince, false);
        it = m_servers.erase(it);
    }
    return removed;
}

void ServerDirectory::lapse(const ServerEntry& entry, Instant since, bool ended)
{
    m_lapsed[{ entry.id, entry.startedUnixMs }] = { entry, since, ended, {} };
    const auto goesFirst = [](const LapsedServer& a, const LapsedServer& b) {
        return std::make_tuple(!a.settledAt, a.since) < std::make_tuple(!b.settledAt, b.since);
    };
    size_t n = 0;
    auto first = m_lapsed.end();
    for (auto it = m_lapsed.begin(); it != m_lapsed.end(); ++it) {
        if (it->second.entry.service != entry.service)
            continue;
        ++n;
        if (first == m_lapsed.end() || goesFirst(it->second, first->second))
            first = it;
    }
    if (n <= m_settings.maxLapsedPerService)
        return;
    if (!first->second.settledAt)
        logEvent(LogEvent::ServerRemoved,
            { { "service", entry.service }, { "server", first->first.first }, { "started", first->first.second },
                { "reason", "too many lapsed servers; its log may be needed" } });
    m_lapsed.erase(first);
}

std::vector<const LapsedServer*> ServerDirectory::lapsed(const std::string& service) const
{
    std::vector<const LapsedServer*> result;
    for (const auto& [process, server] : m_lapsed) {
        if (server.entry.service == service)
            result.push_back(&server);
    }
    return result;
}

void ServerDirectory::addLapsed(const ServerEntry& entry, Instant now, bool ended, bool settled)
{
    const auto registered = m_servers.find(entry.id);
    const uint64_t registeredStart = registered == m_servers.end() ? 0 : registered->second.entry.startedUnixMs;
    if (registered != m_servers.end() && (registeredStart == 0 || registeredStart == entry.startedUnixMs))
        return;
    const auto lapsed = m_lapsed.find({ entry.id, entry.startedUnixMs });
    if (lapsed != m_lapsed.end()) {
        lapsed->second.ended = lapsed->second.ended || ended;
        if (!settled)
            lapsed->second.settledAt.reset();
        else if (!lapsed->second.settledAt)
            lapsed->second.settledAt = now;
        return;
    }
    ended = ended || registered != m_servers.end() || (mayBeCopy(now) && runningStart(entry.id) != 0);
    if (!ended)
        markEnded(entry.id);
    lapse(entry, now, ended);
    if (settled)
        noteSettled(entry.id, entry.startedUnixMs, now);
}

void ServerDirectory::markEnded(const std::string& id)
{
    for (auto it = m_lapsed.lower_bound({ id, 0 }); it != m_lapsed.end() && it->first.first == id; ++it)
        it->second.ended = true;
}

std::vector<const LapsedServer*> ServerDirectory::lapsed() const
{
    std::vector<const LapsedServer*> result;
    for (const auto& [process, server] : m_lapsed)
        result.push_back(&server);
    return result;
}

std::map<std::string, std::vector<Replica>> ServerDirectory::replicas() const
{
    std::map<std::string, std::vector<Replica>> result;
    for (const auto& [id, known] : m_servers)
        result[known.entry.service].push_back({ known.entry, false, false });
    for (const auto& [process, server] : m_lapsed)
        result[server.entry.service].push_back({ server.entry, server.ended, server.settledAt.has_value() });
    for (auto& [service, servers] : result)
        std::sort(servers.begin(), servers.end(), [](const Replica& a, const Replica& b) {
            return std::tie(a.entry.id, a.entry.startedUnixMs) < std::tie(b.entry.id, b.entry.startedUnixMs);
        });
    return result;
}

void ServerDirectory::noteSettled(const std::string& id, uint64_t startedUnixMs, Instant now)
{
    const auto it = m_lapsed.find({ id, startedUnixMs });
    if (it == m_lapsed.end())
        return;
    if (it->second.ended)
        m_lapsed.erase(it);
    else if (!it->second.settledAt)
        it->second.settledAt = now;
}

std::vector<std::pair<std::string, uint64_t>> ServerDirectory::settleLapsed(
    const std::string& service, const std::vector<std::pair<std::string, uint64_t>>& settled, Instant now)
{
    std::vector<std::pair<std::string, uint64_t>> dropped;
    for (auto it = m_lapsed.begin(); it != m_lapsed.end();) {
        LapsedServer& server = it->second;
        const bool isSettled = std::find(settled.begin(), settled.end(), it->first) != settled.end();
        if (server.entry.service == service && !isSettled)
            server.settledAt.reset();
        else if (server.entry.service == service && !server.settledAt)
            server.settledAt = now;
        const bool drop = server.entry.service == service && server.settledAt
            && (server.ended || now - *server.settledAt >= m_settings.forgetAfter);
        if (drop)
            dropped.push_back(it->first);
        it = drop ? m_lapsed.erase(it) : std::next(it);
    }
    return dropped;
}

void ServerDirectory::forgetLapsed(const std::string& id, uint64_t startedUnixMs)
{
    m_lapsed.erase({ id, startedUnixMs });
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
    if (!leadership.id.empty() && find(leadership.id) != nullptr && !deniedRecently(service, leadership.id, now))
        return leadership.id;
    const ServerEntry* best = nullptr;
    for (const ServerEntry* member : members(service)) {
        if (deniedRecently(service, member->id, now))
            continue;
        if (best == nullptr || (member->primary && !best->primary))
            best = member;
    }
    return best == nullptr ? std::string() : best->id;
}

bool ServerDirectory::deniedRecently(const std::string& service, const std::string& id, Instant now) const
{
    const auto it = m_leadership.find(service);
    if (it == m_leadership.end())
        return false;
    const auto denied = it->second.deniedAt.find(id);
    return denied != it->second.deniedAt.end() && now - denied->second < m_settings.denialTime;
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

bool ServerDirectory::noteReportedPrimary(const std::string& service, const std::string& id, uint64_t term)
{
    const std::string known = knownPrimary(service);
    const bool lapsed
        = std::any_of(m_lapsed.begin(), m_lapsed.end(), [&](const auto& server) { return server.first.first == id; });
    if (term < this->term(service) || (term == this->term(service) && !known.empty())
        || (find(id) == nullptr && !lapsed))
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
    leadership.lastProvenId = id;
    leadership.lastProvenTerm = term;
    leadership.deniedAt.erase(id);
    return changed;
}

std::string ServerDirectory::registeredPrimary(const std::string& service, std::string_view other, Instant now) const
{
    for (const ServerEntry* const member : members(service)) {
        if (member->primary && member->id != other && !deniedRecently(service, member->id, now))
            return member->id;
    }
    return {};
}

uint64_t ServerDirectory::ledTerm(const std::string& service, const std::string& id) const
{
    const auto it = m_leadership.find(service);
    return it == m_leadership.end() || it->second.lastProvenId != id ? 0 : it->second.lastProvenTerm;
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

#include "membership.h"
#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace plantainwall {

namespace {

    // Changes are repeated for this long; afterwards only the background entries spread them.
    constexpr Duration changeSpreadTime = std::chrono::seconds(10);
    // Dead hosts are kept this long, so that late gossip does not add them again as live.
    constexpr Duration deadRetentionTime = std::chrono::seconds(60);
    constexpr unsigned failuresBeforeSuspicion = 3;
    // Minimum time between two comparisons of whole lists; 750 entries are about 100 KB.
    constexpr Duration minComparisonInterval = std::chrono::seconds(10);
    // In fleets up to this size a draining host notifies all others directly.
    constexpr size_t smallFleet = 16;

} // namespace

Membership::Membership(
    const MembershipSettings& settings, HostConfig self, uint64_t incarnation, std::vector<std::string> seeds)
    : m_settings(settings)
    , m_self(self.name)
    , m_seeds(std::move(seeds))
{
    Member& member = m_members[m_self];
    member.entry.config = std::move(self);
    member.entry.incarnation = incarnation;
    member.entry.heartbeat = 1;
}

HostState Membership::stateOf(const Member& member, Instant now) const
{
    const bool draining = member.entry.draining || member.platformLeaving;
    if (member.entry.config.name != m_self && member.suspectedSince) {
        const Duration silent = now - *member.suspectedSince;
        if (silent >= m_settings.deadAfter || (silent >= m_settings.suspectAfter && member.absentSince))
            return HostState::Dead;
        if (silent >= m_settings.suspectAfter)
            return HostState::Suspect;
    }
    // A host that is only listed is not eligible before its first heartbeat.
    if (!member.entry.heartbeat)
        return HostState::Suspect;
    return draining ? HostState::Draining : HostState::Live;
}

unsigned Membership::sendsPerChange() const
{
    return 3 * static_cast<unsigned>(std::ceil(std::log2(static_cast<double>(m_members.size()) + 1)));
}

uint64_t Membership::digest(Instant now) const
{
    uint64_t sum = 0;
    for (const auto& [name, member] : m_members) {
        if (member.entry.heartbeat && stateOf(member, now) != HostState::Dead)
            sum ^= XXH3_64bits_withSeed(name.data(), name.size(), member.entry.incarnation);
    }
    return sum;
}

void Membership::startSpreading(Member& member, Instant now)
{
    member.sendsLeft = sendsPerChange();
    member.changedAt = now;
}

void Membership::markSuspected(Member& member, Instant since, Instant now)
{
    if (member.lastSeen >= since) {
        // This host knows a later heartbeat, which the other hosts need too.
        startSpreading(member, now);
        return;
    }
    if (member.suspectedSince && *member.suspectedSince <= since)
        return;
    const bool isNew = !member.suspectedSince;
    member.suspectedSince = since;
    if (isNew)
        startSpreading(member, now);
}

void Membership::mergeHeartbeat(Member& member, const GossipEntry& entry, Instant lastSeen, Instant now)
{
    const bool restarted = entry.incarnation > member.entry.incarnation;
    const bool isNew = !member.entry.heartbeat;
    const bool changed = restarted || isNew || entry.draining != member.entry.draining;
    if (restarted || !entry.config.peerAddress.empty())
        member.entry.config = entry.config;
    member.entry.incarnation = entry.incarnation;
    member.entry.heartbeat = entry.heartbeat;
    member.entry.draining = entry.draining;
    member.lastSeen = restarted ? lastSeen : std::max(member.lastSeen, lastSeen);
    if (restarted)
        member.suspectedSince.reset();
    if (changed)
        startSpreading(member, now);
    if (member.suspectedSince && member.lastSeen >= *member.suspectedSince) {
        member.suspectedSince.reset();
        member.failures = 0;
        startSpreading(member, now);
    }
}

void Membership::merge(const GossipEntry& entry, Instant now)
{
    if (entry.config.name.empty())
        return;
    MemberMap::iterator it = m_members.find(entry.config.name);
    if (entry.config.name == m_self) {
        // Another host suspects this one: spread a greater heartbeat, which clears the suspicion.
        if (entry.silentFor) {
            ++it->second.entry.heartbeat;
            startSpreading(it->second, now);
        }
        return;
    }
    const bool dead = entry.silentFor && *entry.silentFor >= m_settings.deadAfter;
    if (it == m_members.end()) {
        if (dead)
            return;
        it = m_members.emplace(entry.config.name, Member {}).first;
        it->second.entry.config = entry.config;
    }
    Member& member = it->second;
    if (entry.incarnation < member.entry.incarnation)
        return;
    if (entry.incarnation > member.entry.incarnation || entry.heartbeat > member.entry.heartbeat)
        mergeHeartbeat(member, entry, now - entry.heartbeatAge, now);
    if (entry.silentFor)
        markSuspected(member, now - *entry.silentFor, now);
}

GossipEntry Membership::entryOf(const Member& member, Instant now) const
{
    GossipEntry entry = member.entry;
    if (entry.config.name == m_self)
        return entry;
    entry.heartbeatAge = now - member.lastSeen;
    if (member.suspectedSince)
        entry.silentFor = now - *member.suspectedSince;
    return entry;
}

GossipMessage Membership::makeMessage(Instant now)
{
    GossipMessage message;
    message.sender = entryOf(m_members.at(m_self), now);
    message.payload = m_payload;
    message.digest = digest(now);
    std::vector<Member*> changed;
    for (auto& [name, member] : m_members) {
        if (member.sendsLeft && member.changedAt + changeSpreadTime > now && name != m_self)
            changed.push_back(&member);
    }
    // The least repeated changes first.
    const size_t count = std::min(changed.size(), maxChanges);
    std::partial_sort(changed.begin(), changed.begin() + static_cast<std::ptrdiff_t>(count), changed.end(),
        [](const Member* a, const Member* b) { return a->sendsLeft > b->sendsLeft; });
    for (size_t i = 0; i < count; ++i) {
        --changed[i]->sendsLeft;
        message.entries.push_back(entryOf(*changed[i], now));
    }
    for (size_t i = 0; i < std::min(backgroundEntries, m_members.size() - 1); ++i) {
        MemberMap::const_iterator next = m_members.upper_bound(m_lastBackgroundHost);
        if (next == m_members.end())
            next = m_members.begin();
        m_lastBackgroundHost = next->first;
        if (next->first != m_self)
            message.entries.push_back(entryOf(next->second, now));
    }
    return message;
}

void Membership::addPage(GossipMessage& message, const std::string& after, Instant now) const
{
    MemberMap::const_iterator it = m_members.upper_bound(after);
    for (size_t n = 0; n < pageSize && it != m_members.end(); ++n, ++it)
        message.entries.push_back(entryOf(it->second, now));
    message.pageAfter = it == m_members.end() ? std::string() : std::prev(it)->first;
}

void Membership::handle(const GossipMessage& message, Instant now)
{
    GossipEntry sender = message.sender;
    sender.heartbeatAge = Duration(0);
    sender.silentFor.reset();
    merge(sender, now);
    const MemberMap::iterator it = m_members.find(sender.config.name);
    if (it != m_members.end() && it->second.entry.incarnation == sender.incarnation && sender.config.name != m_self)
        it->second.payload = { message.payload.begin(), message.payload.end() };
    for (const GossipEntry& entry : message.entries)
        merge(entry, now);
}

GossipMessage Membership::receive(const GossipMessage& message, Instant now)
{
    handle(message, now);
    // The answer shows that this host is alive and needs a heartbeat of its own.
    ++m_members.at(m_self).entry.heartbeat;
    GossipMessage answer = makeMessage(now);
    if (message.wantsPage)
        addPage(answer, message.pageAfter, now);
    return answer;
}

SendGossip Membership::makeCall(const Member& member, Instant now)
{
    return { member.entry.config.name, member.entry.config.peerAddress, makeMessage(now) };
}

std::vector<const Membership::Member*> Membership::chooseTargets(
    size_t count, Instant now, std::mt19937_64& random) const
{
    std::vector<const Member*> near;
    std::vector<const Member*> all;
    std::vector<const Member*> dead;
    const std::string& dataCentre = m_members.at(m_self).entry.config.dataCentre;
    for (const auto& [name, member] : m_members) {
        if (name == m_self || member.entry.config.peerAddress.empty())
            continue;
        if (stateOf(member, now) == HostState::Dead) {
            dead.push_back(&member);
            continue;
        }
        all.push_back(&member);
        if (member.entry.config.dataCentre == dataCentre)
            near.push_back(&member);
    }
    std::shuffle(near.begin(), near.end(), random);
    std::shuffle(all.begin(), all.end(), random);
    std::vector<const Member*> chosen;
    if (count > 1 && near.size() >= count)
        chosen.assign(near.begin(), near.begin() + static_cast<std::ptrdiff_t>(count - 1));
    for (const Member* member : all) {
        if (chosen.size() < count && std::find(chosen.begin(), chosen.end(), member) == chosen.end())
            chosen.push_back(member);
    }
    // One call per round to a dead host detects the end of a partition.
    if (!dead.empty())
        chosen.push_back(dead[random() % dead.size()]);
    return chosen;
}

void Membership::forgetDead(Instant now)
{
    for (MemberMap::iterator it = m_members.begin(); it != m_members.end();) {
        const Member& member = it->second;
        const bool listed = m_platformListKnown && !member.absentSince;
        const bool forget = it->first != m_self && !listed && member.suspectedSince
            && *member.suspectedSince + m_settings.deadAfter + deadRetentionTime < now;
        it = forget ? m_members.erase(it) : std::next(it);
    }
}

std::vector<SendGossip> Membership::tick(Instant now, std::mt19937_64& random)
{
    forgetDead(now);
    Member& self = m_members.at(m_self);
    ++self.entry.heartbeat;
    std::vector<SendGossip> calls;
    for (const Member* member : chooseTargets(m_settings.gossipFanout, now, random))
        calls.push_back(makeCall(*member, now));
    if (calls.empty() || !m_hasWholeList) {
        if (!m_seeds.empty())
            calls.push_back({ {}, m_seeds[random() % m_seeds.size()], makeMessage(now) });
        if (!calls.empty())
            calls.back().message.wantsPage = true;
    }
    return calls;
}

std::vector<SendGossip> Membership::answered(const SendGossip& call, const GossipMessage& answer, Instant now)
{
    handle(answer, now);
    const MemberMap::iterator it = m_members.find(answer.sender.config.name);
    if (it != m_members.end())
        it->second.failures = 0;
    const bool compare = !call.message.wantsPage && now >= m_nextComparison && answer.digest != digest(now);
    if (!call.message.wantsPage && !compare)
        return {};
    if (compare) {
        m_nextComparison = now + minComparisonInterval;
    } else if (answer.pageAfter.empty()) {
        m_hasWholeList = true;
        return {};
    }
    SendGossip next = call;
    next.message = makeMessage(now);
    next.message.wantsPage = true;
    next.message.pageAfter = answer.pageAfter;
    return { std::move(next) };
}

std::vector<SendGossip> Membership::failed(const SendGossip& call, Instant sent, Instant now)
{
    const MemberMap::iterator it = m_members.find(call.host);
    if (it == m_members.end() || call.host == m_self)
        return {};
    Member& member = it->second;
    if (member.lastSeen >= sent)
        return {};
    if (++member.failures == 1 && !member.suspectedSince)
        return { makeCall(member, now), makeCall(member, now) };
    // A loss of 1% fails 2% of the calls: with one repetition 750 hosts would wrongly suspect about one host a second.
    if (member.failures < failuresBeforeSuspicion && !member.suspectedSince)
        return {};
    markSuspected(member, sent, now);
    return {};
}

std::vector<SendGossip> Membership::drain(Instant now, std::mt19937_64& random)
{
    Member& self = m_members.at(m_self);
    self.entry.draining = true;
    ++self.entry.heartbeat;
    const size_t count = m_members.size() <= smallFleet ? m_members.size() : 2 * m_settings.gossipFanout;
    std::vector<SendGossip> calls;
    for (const Member* member : chooseTargets(count, now, random))
        calls.push_back(makeCall(*member, now));
    return calls;
}

void Membership::setConfiguredHosts(const std::map<std::string, HostConfig, std::less<>>& hosts, Instant now)
{
    for (const auto& [name, config] : hosts) {
        Member& member = m_members[name];
        // The address that a running host reports takes precedence.
        if (member.entry.heartbeat)
            continue;
        member.entry.config = config;
        member.entry.config.name = name;
        member.lastSeen = std::max(member.lastSeen, now);
    }
}

void Membership::setPlatformHosts(const std::vector<PlatformHost>& hosts, Instant now)
{
    m_platformListKnown = true;
    std::map<std::string_view, PlatformHostState> listed;
    for (const PlatformHost& host : hosts) {
        listed.emplace(host.name, host.state);
        Member& member = m_members[host.name];
        member.entry.config.name = host.name;
    }
    for (auto& [name, member] : m_members) {
        const std::map<std::string_view, PlatformHostState>::const_iterator it = listed.find(name);
        member.platformLeaving = it != listed.end() && it->second == PlatformHostState::Leaving;
        if (it != listed.end())
            member.absentSince.reset();
        else if (!member.absentSince)
            member.absentSince = now;
    }
}

HostState Membership::stateOf(std::string_view host, Instant now) const
{
    const MemberMap::const_iterator it = m_members.find(host);
    return it == m_members.end() ? HostState::Dead : stateOf(it->second, now);
}

Duration Membership::absentFor(std::string_view host, Instant now) const
{
    const MemberMap::const_iterator it = m_members.find(host);
    if (it == m_members.end() || !it->second.absentSince)
        return Duration(0);
    return now - *it->second.absentSince;
}

void Membership::setPayload(std::string_view field, std::string value)
{
    m_payload[std::string(field)] = std::move(value);
}

std::string Membership::payloadOf(std::string_view host, std::string_view field) const
{
    const MemberMap::const_iterator it = m_members.find(host);
    if (it == m_members.end())
        return {};
    const std::map<std::string, std::string, std::less<>>::const_iterator value = it->second.payload.find(field);
    return value == it->second.payload.end() ? std::string() : value->second;
}

std::vector<HostInfo> Membership::hosts(Instant now) const
{
    std::vector<HostInfo> hosts;
    hosts.reserve(m_members.size());
    for (const auto& [name, member] : m_members)
        hosts.push_back({ member.entry.config, member.entry.incarnation, stateOf(member, now) });
    return hosts;
}

} // namespace plantainwall

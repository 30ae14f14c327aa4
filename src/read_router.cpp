#include "read_router.h"
#include <algorithm>

namespace plantainwall {

namespace {

    // 512 samples span at least 10 s at the shortest interval between two status calls of a primary, 20 ms.
    constexpr size_t maxSamples = 512;
    constexpr double rateWeight = 0.3; // Weight of the newest interval in the arrival rate.

} // namespace

ReadRouter::ReadRouter(std::vector<MemberConfig> members, const ReadCosts& costs)
    : m_costs(costs)
{
    for (MemberConfig& config : members) {
        Member member;
        member.config = std::move(config);
        m_members.push_back(std::move(member));
    }
}

void ReadRouter::onStatus(std::string_view name, const MemberStatus& status, Instant sent, Instant now)
{
    Member* const member = find(name);
    if (!member || sent < member->sent)
        return;
    noteRate(*member, status, now);
    member->status = status;
    member->reachable = true;
    member->sent = sent;
    member->lastSeen = now;
    if (status.role == MemberRole::Primary)
        addSample(status, sent);
    validateSamples();
}

void ReadRouter::onFailure(std::string_view name)
{
    Member* const member = find(name);
    if (member)
        member->reachable = false;
}

void ReadRouter::setPrimary(std::string_view member, uint64_t term)
{
    m_primary = member;
    m_primaryTerm = term;
}

ReadChoice ReadRouter::choose(const ReadRequirement& need, Instant) const
{
    ReadChoice choice;
    Duration best = Duration::max();
    for (const Member& member : m_members) {
        if (!member.reachable || member.status->leaving)
            continue;
        const std::optional<Duration> wait = waitFor(member, need);
        if (!wait || *wait > m_costs.maxWait || cost(member, need) + *wait >= best)
            continue;
        best = cost(member, need) + *wait;
        choice.member = member.config.name;
        choice.wait = *wait;
        choice.primary = member.config.name == m_primary;
    }
    return choice;
}

bool ReadRouter::canServe(std::string_view name, const ReadRequirement& need) const
{
    const Member* const member = find(name);
    if (!member || !member->status)
        return false;
    // The last entry of the log shows the term: a replica at term T has the whole log of T's primary up to there.
    if (member->status->received.term < need.minPosition.term
        || member->status->applied.position < need.minPosition.position)
        return false;
    if (!need.maxAge)
        return true;
    const std::optional<Instant> fresh = freshSince(name);
    return fresh && *fresh >= need.arrived - *need.maxAge;
}

std::optional<Duration> ReadRouter::timeToReach(std::string_view name, const LogPosition& position) const
{
    const Member* const member = find(name);
    if (!member || !member->status)
        return std::nullopt;
    if (member->status->applied.position >= position.position && member->status->received.term >= position.term)
        return Duration::zero();
    // A token's position is confirmed by a majority, so the primary has it even if its last status is older.
    if (name == m_primary && position.term <= m_primaryTerm)
        return Duration::zero();
    if (member->entriesPerSecond <= 0 || member->status->applied.position >= position.position)
        return std::nullopt;
    const double missing = static_cast<double>(position.position - member->status->applied.position);
    const double seconds = missing / member->entriesPerSecond;
    if (seconds > std::chrono::duration<double>(m_costs.maxWait).count())
        return std::nullopt;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

std::optional<Instant> ReadRouter::freshSince(std::string_view name) const
{
    const Member* const member = find(name);
    if (!member || !member->status)
        return std::nullopt;
    for (std::deque<Sample>::const_reverse_iterator it = m_samples.rbegin(); it != m_samples.rend(); ++it) {
        if (it->valid && member->status->received.term >= it->term && member->status->applied.position >= it->position)
            return it->sent;
    }
    return std::nullopt;
}

ReadRouter::Member* ReadRouter::find(std::string_view name)
{
    const std::vector<Member>::iterator it = std::find_if(
        m_members.begin(), m_members.end(), [name](const Member& member) { return member.config.name == name; });
    return it == m_members.end() ? nullptr : &*it;
}

const ReadRouter::Member* ReadRouter::find(std::string_view name) const
{
    const std::vector<Member>::const_iterator it = std::find_if(
        m_members.begin(), m_members.end(), [name](const Member& member) { return member.config.name == name; });
    return it == m_members.end() ? nullptr : &*it;
}

void ReadRouter::noteRate(Member& member, const MemberStatus& status, Instant now) const
{
    if (!member.status || now <= member.lastSeen || status.applied.position <= member.status->applied.position)
        return;
    const double seconds = std::chrono::duration<double>(now - member.lastSeen).count();
    const double rate = static_cast<double>(status.applied.position - member.status->applied.position) / seconds;
    member.entriesPerSecond
        = member.entriesPerSecond <= 0 ? rate : member.entriesPerSecond * (1 - rateWeight) + rate * rateWeight;
}

void ReadRouter::addSample(const MemberStatus& status, Instant sent)
{
    if (!m_samples.empty() && (m_samples.back().term > status.term || m_samples.back().sent > sent))
        return;
    m_samples.push_back(Sample { status.term, status.applied.position, sent, false });
    if (m_samples.size() > maxSamples)
        m_samples.pop_front();
}

void ReadRouter::validateSamples()
{
    for (std::deque<Sample>::reverse_iterator it = m_samples.rbegin(); it != m_samples.rend() && !it->valid; ++it) {
        size_t agreeing = 0;
        for (const Member& member : m_members)
            agreeing += member.status && member.sent >= it->sent && member.status->term <= it->term ? 1 : 0;
        it->valid = agreeing >= m_members.size() / 2 + 1;
    }
}

Duration ReadRouter::cost(const Member& member, const ReadRequirement& need) const
{
    Duration sum = member.config.name == m_primary ? m_costs.primary : Duration::zero();
    if (member.config.region != need.region)
        sum += m_costs.otherRegion;
    else if (member.config.dataCentre != need.dataCentre)
        sum += m_costs.sameRegion;
    return sum;
}

/// Returns the estimated wait at a member; nothing if it will not be able to serve the read in time.
std::optional<Duration> ReadRouter::waitFor(const Member& member, const ReadRequirement& need) const
{
    if (canServe(member.config.name, need))
        return Duration::zero();
    const std::optional<Duration> wait = timeToReach(member.config.name, need.minPosition);
    if (!wait || !need.maxAge)
        return wait;
    if (member.config.name == m_primary)
        return std::max(*wait, m_costs.sameRegion); // The next round of status calls shows that it is fresh.
    for (std::deque<Sample>::const_iterator it = m_samples.begin(); it != m_samples.end(); ++it) {
        if (!it->valid || it->sent < need.arrived - *need.maxAge)
            continue;
        const std::optional<Duration> fresh = timeToReach(member.config.name, LogPosition { it->term, it->position });
        return fresh ? std::optional<Duration>(std::max(*wait, *fresh)) : std::nullopt;
    }
    return m_costs.sameRegion;
}

} // namespace plantainwall

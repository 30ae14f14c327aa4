#include "promotion.h"
#include <algorithm>

namespace plantainwall {

namespace {

    // Time for the slower members to answer a fence call: their logs may be longer than those of the majority that has
    // answered, and a round trip between regions takes about 60 ms.
    constexpr Duration fenceSettleTime = std::chrono::milliseconds(100);

    // A promoted member that leaves this many calls unanswered is assumed dead, and a higher term is tried.
    constexpr unsigned maxPromoteCalls = 3;

    constexpr std::string_view phaseNames[] = { "watching", "waiting", "fencing", "promoting" };
    static_assert(sizeof(phaseNames) / sizeof(phaseNames[0]) == static_cast<size_t>(Promotion::Phase::Count),
        "one entry for each Phase");

} // namespace

std::string_view promotionPhaseName(Promotion::Phase phase) { return phaseNames[static_cast<size_t>(phase)]; }

Promotion::Promotion(const GroupSettings& settings, std::string_view host, std::vector<std::string> members,
    std::mt19937_64& random, Instant now)
    : m_settings(settings)
    , m_candidate(std::string(host) + "." + std::to_string(random()))
    , m_random(random)
    , m_lastPrimaryContact(now)
    , m_noRoundBefore(now)
{
    for (std::string& name : members)
        m_members.emplace(std::move(name), Member {});
}

void Promotion::setCandidates(unsigned rank, std::vector<std::string> otherOwners)
{
    m_rank = rank;
    m_otherOwners = std::move(otherOwners);
}

std::vector<PromotionAction> Promotion::onStatus(
    std::string_view name, const MemberStatus& status, Instant sent, Instant now)
{
    std::vector<PromotionAction> actions;
    const std::map<std::string, Member, std::less<>>::iterator it = m_members.find(name);
    if (it == m_members.end() || sent < it->second.sent || (it->second.status && it->second.status->term > status.term))
        return actions;
    it->second.status = status;
    it->second.sent = sent;
    it->second.lastSeen = now;
    noteTerm(status.term, now);
    updatePrimary(now, actions);
    noteStranded(now);
    return actions;
}

std::vector<PromotionAction> Promotion::onFenceReply(
    std::string_view member, uint64_t term, const FenceReply& reply, Instant now)
{
    std::vector<PromotionAction> actions;
    if (m_members.find(member) == m_members.end())
        return actions;
    m_highestTerm = std::max(m_highestTerm, reply.term);
    if (!m_round || m_round->term != term || !m_round->chosen.empty())
        return actions;
    if (reply.granted)
        m_round->granted[std::string(member)] = reply.received;
    else
        m_round->denied[std::string(member)] = reply.term;
    continueRound(now, actions);
    return actions;
}

std::vector<PromotionAction> Promotion::onPromoteReply(
    std::string_view member, uint64_t term, bool promoted, Instant now)
{
    std::vector<PromotionAction> actions;
    if (!m_round || m_round->term != term || m_round->chosen != member)
        return actions;
    if (!promoted) {
        abandonRound(now, m_settings.candidateStagger);
        return actions;
    }
    const std::string chosen = m_round->chosen;
    m_round.reset();
    m_phase = Phase::Watching;
    ++m_promotions;
    m_lastPrimaryContact = now;
    m_members.find(chosen)->second.sent = now; // A status requested earlier still shows its previous role.
    if (term > m_primaryTerm)
        setPrimary(chosen, term, now, actions);
    return actions;
}

void Promotion::onPeerContact(std::string_view host, Duration age, Instant now)
{
    m_peers[std::string(host)] = PeerContact { now - age, now };
}

std::vector<PromotionAction> Promotion::tick(Instant now)
{
    std::vector<PromotionAction> actions;
    if (m_round) {
        continueRound(now, actions);
        return actions;
    }
    if (!shouldReplace(now)) {
        m_phase = Phase::Watching;
        return actions;
    }
    if (m_phase == Phase::Watching) {
        m_phase = Phase::Waiting;
        m_roundDueAt = now + m_settings.candidateStagger * m_rank + jitter(m_settings.candidateStagger / 3);
        for (const std::pair<const std::string, Member>& entry : m_members)
            actions.emplace_back(ProbeMember { entry.first });
    }
    if (now >= m_roundDueAt && now >= m_noRoundBefore)
        startRound(now, actions);
    return actions;
}

bool Promotion::isFresh(const Member& member, Instant now) const
{
    return member.status && now - member.lastSeen <= m_settings.primaryUnreachable;
}

bool Promotion::isSilent(const Member& member, Instant now, Duration silence) const
{
    return isFresh(member, now) && member.status->role != MemberRole::Primary
        && member.status->primarySilence >= silence;
}

size_t Promotion::silentMembers(Instant now, Duration silence) const
{
    size_t n = 0;
    for (const std::pair<const std::string, Member>& entry : m_members)
        n += isSilent(entry.second, now, silence) ? 1 : 0;
    return n;
}

bool Promotion::unreachableByEveryOwner(Instant now) const
{
    if (m_primary.empty() || now - m_lastPrimaryContact < m_settings.unreachableByAllOwners)
        return false;
    for (const std::string& host : m_otherOwners) {
        const std::map<std::string, PeerContact, std::less<>>::const_iterator it = m_peers.find(host);
        if (it == m_peers.end() || now - it->second.lastSeen > m_settings.unreachableByAllOwners / 2
            || now - it->second.primaryReachedAt < m_settings.unreachableByAllOwners)
            return false;
    }
    return true;
}

/// Returns whether a member has been fenced above the primary's term for so long that its candidate must have died. The
/// member refuses the primary until some member is promoted in a higher term.
bool Promotion::memberStranded(Instant now) const
{
    for (const std::pair<const std::string, Member>& entry : m_members) {
        if (entry.second.strandedSince && isFresh(entry.second, now)
            && now - *entry.second.strandedSince >= 2 * m_settings.primaryUnreachable)
            return true;
    }
    return false;
}

/// Returns whether the primary reports that it is leaving and a majority of the members is not leaving.
bool Promotion::primaryLeaving(Instant now) const
{
    const std::map<std::string, Member, std::less<>>::const_iterator primary = m_members.find(m_primary);
    if (primary == m_members.end() || !primary->second.status || !primary->second.status->leaving)
        return false;
    size_t staying = 0;
    for (const std::pair<const std::string, Member>& entry : m_members)
        staying += isFresh(entry.second, now) && !entry.second.status->leaving ? 1 : 0;
    return staying >= majority();
}

bool Promotion::shouldReplace(Instant now) const
{
    if (primaryLeaving(now))
        return true;
    // A primary that only this host reaches, not a majority of the members, cannot acknowledge writes.
    if (silentMembers(now, m_settings.unreachableByAllOwners) >= majority())
        return true;
    if (now - m_lastPrimaryContact >= m_settings.primaryUnreachable
        && silentMembers(now, m_settings.primarySilence) >= majority())
        return true;
    return unreachableByEveryOwner(now) || memberStranded(now);
}

bool Promotion::knowsNewerPrimary(uint64_t term, Instant now) const
{
    for (const std::pair<const std::string, Member>& entry : m_members) {
        if (isFresh(entry.second, now) && entry.second.status->term > term
            && entry.second.status->role == MemberRole::Replica
            && entry.second.status->primarySilence < m_settings.primarySilence)
            return true;
    }
    return false;
}

void Promotion::noteStranded(Instant now)
{
    for (std::pair<const std::string, Member>& entry : m_members) {
        Member& member = entry.second;
        const bool stranded = !m_primary.empty() && member.status && member.status->role != MemberRole::Primary
            && member.status->term > m_primaryTerm && member.status->primarySilence >= m_settings.primarySilence;
        if (!stranded)
            member.strandedSince.reset();
        else if (!member.strandedSince)
            member.strandedSince = now;
    }
}

/// The primary is the member that reports this role in the highest term, unless a majority is in a higher term.
void Promotion::updatePrimary(Instant now, std::vector<PromotionAction>& actions)
{
    const std::pair<const std::string, Member>* best = nullptr;
    for (const std::pair<const std::string, Member>& entry : m_members) {
        if (entry.second.status && entry.second.status->role == MemberRole::Primary
            && (!best || entry.second.status->term > best->second.status->term))
            best = &entry;
    }
    const std::map<std::string, Member, std::less<>>::const_iterator current = m_members.find(m_primary);
    // A member that this host has just promoted is the primary until it reports a status in that term itself.
    const bool currentPending
        = current != m_members.end() && (!current->second.status || current->second.status->term < m_primaryTerm);
    if (currentPending && (!best || best->second.status->term <= m_primaryTerm))
        return;
    size_t inHigherTerm = 0;
    for (const std::pair<const std::string, Member>& entry : m_members)
        inHigherTerm += best && entry.second.status && entry.second.status->term > best->second.status->term ? 1 : 0;
    if (!best || inHigherTerm >= majority() || knowsNewerPrimary(best->second.status->term, now)) {
        if (!m_primary.empty())
            setPrimary({}, m_primaryTerm, now, actions);
        return;
    }
    const uint64_t term = best->second.status->term;
    m_lastPrimaryContact = std::max(m_lastPrimaryContact, best->second.lastSeen);
    if (m_round && term >= m_round->term) {
        if (best->first == m_round->chosen && term == m_round->term)
            ++m_promotions;
        m_round.reset();
        m_phase = Phase::Watching;
    } else if (m_round && m_round->granted.empty() && best->second.lastSeen == now && !shouldReplace(now)) {
        abandonRound(now, Duration::zero()); // The primary is reachable again and no member was fenced.
    }
    if (best->first != m_primary || term != m_primaryTerm)
        setPrimary(best->first, term, now, actions);
}

void Promotion::setPrimary(const std::string& member, uint64_t term, Instant now, std::vector<PromotionAction>& actions)
{
    m_primary = member;
    // A new primary needs time to reach the other members.
    if (term > m_primaryTerm && !member.empty())
        m_noRoundBefore = std::max(m_noRoundBefore, now + m_settings.primaryUnreachable);
    m_primaryTerm = term;
    m_highestTerm = std::max(m_highestTerm, term);
    actions.emplace_back(PrimaryKnown { member, term });
}

void Promotion::startRound(Instant now, std::vector<PromotionAction>& actions)
{
    m_round = Round();
    m_round->term = ++m_highestTerm;
    m_round->started = now;
    const bool leaving = primaryLeaving(now);
    for (const std::pair<const std::string, Member>& entry : m_members) {
        const Member& member = entry.second;
        if (isFresh(member, now) && !member.status->leaving
            && (leaving || isSilent(member, now, m_settings.primarySilence)))
            m_round->preferred.insert(entry.first);
    }
    m_phase = Phase::Fencing;
    ++m_rounds;
    sendFences(now, actions);
}

void Promotion::sendFences(Instant now, std::vector<PromotionAction>& actions)
{
    for (const std::pair<const std::string, Member>& entry : m_members) {
        if (m_round->granted.count(entry.first) || m_round->denied.count(entry.first))
            continue;
        const std::map<std::string, Instant>::const_iterator it = m_round->sent.find(entry.first);
        if (it != m_round->sent.end() && now - it->second < m_settings.fenceTimeout)
            continue;
        m_round->sent[entry.first] = now;
        actions.emplace_back(FenceMember { entry.first, m_round->term, m_candidate });
    }
}

void Promotion::continueRound(Instant now, std::vector<PromotionAction>& actions)
{
    if (!m_round->chosen.empty()) {
        if (now - m_round->promoteSent < m_settings.fenceTimeout)
            return;
        if (m_round->promoteCalls >= maxPromoteCalls)
            abandonRound(now, Duration::zero());
        else
            sendPromote(now, actions);
        return;
    }
    // A member above the round's term would not follow a primary of this term; another candidate may have a round.
    const bool overtaken = m_highestTerm > m_round->term;
    if (overtaken || m_members.size() - m_round->denied.size() < majority()) {
        abandonRound(now, m_settings.candidateStagger);
        return;
    }
    const bool allAnswered = m_round->granted.size() + m_round->denied.size() == m_members.size();
    if (m_round->granted.size() >= majority() && (allAnswered || now - m_round->started >= fenceSettleTime))
        choosePromotedMember(now, actions);
    else
        sendFences(now, actions);
}

/// Chooses the member with the longest log of a fenced majority. A primary that the other members have lost, or that is
/// leaving, has the longest log but cannot serve the new term, so it is skipped if a majority without it was fenced.
void Promotion::choosePromotedMember(Instant now, std::vector<PromotionAction>& actions)
{
    const auto isPreferred = [this](const std::pair<const std::string, LogPosition>& entry) {
        return m_round->preferred.count(entry.first) != 0;
    };
    const std::map<std::string, LogPosition>& granted = m_round->granted;
    const bool preferredOnly
        = static_cast<size_t>(std::count_if(granted.begin(), granted.end(), isPreferred)) >= majority();
    const std::pair<const std::string, LogPosition>* best = nullptr;
    for (const std::pair<const std::string, LogPosition>& entry : granted) {
        if (preferredOnly && !isPreferred(entry))
            continue;
        const bool longer = !best || best->second < entry.second;
        if (longer || (best->second == entry.second && entry.first == m_primary))
            best = &entry;
    }
    m_round->chosen = best->first;
    m_phase = Phase::Promoting;
    sendPromote(now, actions);
}

void Promotion::sendPromote(Instant now, std::vector<PromotionAction>& actions)
{
    ++m_round->promoteCalls;
    m_round->promoteSent = now;
    actions.emplace_back(PromoteMember { m_round->chosen, m_round->term, m_candidate });
}

/// Ends the round without a result. Later rounds use higher terms, so late answers to this one have no effect.
void Promotion::abandonRound(Instant now, Duration pause)
{
    m_round.reset();
    m_phase = Phase::Watching;
    if (pause > Duration::zero())
        m_noRoundBefore = now + pause * (m_rank + 1) + jitter(2 * pause);
}

/// A term that this host did not start belongs to another candidate, which gets time to finish its round.
void Promotion::noteTerm(uint64_t term, Instant now)
{
    if (term <= m_highestTerm)
        return;
    m_highestTerm = term;
    m_noRoundBefore = now + m_settings.fenceTimeout + m_settings.candidateStagger * (m_rank + 1)
        + jitter(m_settings.candidateStagger);
}

Duration Promotion::jitter(Duration limit)
{
    return Duration(std::uniform_int_distribution<Duration::rep>(0, limit.count())(m_random));
}

} // namespace plantainwall

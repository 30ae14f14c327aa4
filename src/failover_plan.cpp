#include "failover_plan.h"
#include <algorithm>

namespace plantainwall {

namespace {

    constexpr std::string_view reasonNames[]
        = { "none", "leaving", "gone", "unreachable", "no_primary", "unconfirmed", "left_stopped" };
    static_assert(sizeof(reasonNames) / sizeof(reasonNames[0]) == static_cast<size_t>(FailoverReason::Count),
        "one entry for each FailoverReason");

    /// Returns whether a server is primary of the newest term, by its own status or, before it has reported one, by
    /// assumption.
    bool leads(const FailoverMember& member, const std::string& assumedPrimary, uint64_t term)
    {
        return member.status ? member.status->primary && member.status->term >= term : member.id == assumedPrimary;
    }

    const FailoverMember* findMember(const std::vector<FailoverMember>& members, const std::string& id)
    {
        const auto it = std::find_if(
            members.begin(), members.end(), [&](const FailoverMember& member) { return member.id == id; });
        return it == members.end() ? nullptr : &*it;
    }

} // namespace

std::string_view failoverReasonName(FailoverReason reason) { return reasonNames[static_cast<size_t>(reason)]; }

FailoverPlan::FailoverPlan(const FailoverSettings& settings)
    : m_settings(settings)
{
}

void FailoverPlan::reset() { *this = FailoverPlan(m_settings); }

FailoverReason FailoverPlan::findReason(
    Instant now, const std::string& primary, const std::vector<FailoverMember>& members, uint64_t term)
{
    const auto holdsFor = [&](FailoverReason reason, bool condition, Duration limit) {
        if (!condition) {
            m_since.erase(reason);
            return false;
        }
        const Instant since = m_since.try_emplace(reason, now).first->second;
        return now - since >= limit;
    };
    const FailoverMember* const leader = primary.empty() ? nullptr : findMember(members, primary);
    const bool gone = !primary.empty() && leader == nullptr;
    const bool unreachable = leader != nullptr && leader->silentSince
        && now - *leader->silentSince >= (leader->refused ? m_settings.refusedTimeout : m_settings.unreachableTimeout);
    const bool withoutPrimary
        = primary.empty() || (leader != nullptr && leader->status && !leader->status->primary && !leader->silentSince);
    bool leftStopped = false;
    bool confirmed = false;
    size_t replicas = 0;
    for (const FailoverMember& member : members) {
        if (!member.status || leads(member, primary, term))
            continue;
        ++replicas;
        leftStopped = leftStopped || (!member.silentSince && member.status->stoppedAtTerm > 0);
        confirmed = confirmed || !(member.status->received < m_unconfirmedPosition);
    }
    bool unconfirmed = false;
    if (leader != nullptr && leader->status && leader->status->primary && replicas > 0) {
        if (confirmed || m_unconfirmedPosition == LogPosition()) {
            m_unconfirmedPosition = leader->status->received;
            m_unconfirmedAt = now;
        }
        unconfirmed = !confirmed && now - m_unconfirmedAt >= m_settings.unconfirmedTimeout;
    }
    if (leader != nullptr && leader->draining)
        return FailoverReason::Leaving;
    if (holdsFor(FailoverReason::Gone, gone, Duration(0)))
        return FailoverReason::Gone;
    if (unreachable)
        return FailoverReason::Unreachable;
    if (holdsFor(FailoverReason::NoPrimary, withoutPrimary, m_settings.noPrimaryTimeout))
        return FailoverReason::NoPrimary;
    if (holdsFor(FailoverReason::LeftStopped, leftStopped, m_settings.leftStoppedTimeout))
        return FailoverReason::LeftStopped;
    return unconfirmed ? FailoverReason::Unconfirmed : FailoverReason::None;
}

void FailoverPlan::updateReplicas(
    Instant now, const std::string& primary, const std::vector<FailoverMember>& members, uint64_t term)
{
    const FailoverMember* const leader = primary.empty() ? nullptr : findMember(members, primary);
    const bool leaderAnswers = leader != nullptr && leader->status && leader->status->primary && !leader->silentSince;
    for (const FailoverMember& member : members) {
        if (leads(member, primary, term)) {
            m_replicas.erase(member.id);
            m_primaryAtLoss.erase(member.id);
            continue;
        }
        Replica& replica = m_replicas[member.id];
        replica.silentSince = member.silentSince;
        if (!member.silentSince)
            m_primaryAtLoss.erase(member.id);
    }
    LogPosition longest;
    for (const FailoverMember& member : members) {
        if (!leads(member, primary, term) && member.status && !member.silentSince)
            longest = laterPosition(longest, member.status->received);
    }
    for (auto it = m_replicas.begin(); it != m_replicas.end();) {
        Replica& replica = it->second;
        const bool registered = findMember(members, it->first) != nullptr;
        if (!registered && !replica.silentSince)
            replica.silentSince = now;
        if (replica.silentSince && leaderAnswers && leader->requestedAt > *replica.silentSince)
            m_primaryAtLoss.try_emplace(it->first, leader->status->received);
        const auto seen = m_primaryAtLoss.find(it->first);
        const bool covered = seen != m_primaryAtLoss.end() && !(longest < seen->second);
        if (!registered && covered) {
            m_primaryAtLoss.erase(it->first);
            it = m_replicas.erase(it);
        } else
            ++it;
    }
}

FailoverPlan::Step FailoverPlan::resumeStopped(const std::vector<FailoverMember>& members)
{
    Step step;
    step.reason = m_reason;
    for (const FailoverMember& member : members) {
        if (member.status && member.status->stoppedAtTerm > 0)
            step.servers.push_back(member.id);
    }
    if (!step.servers.empty())
        step.action = FailoverAction::ResumeReceiving;
    return step;
}

FailoverPlan::Step FailoverPlan::collect(
    Instant now, const std::string& primary, const std::vector<FailoverMember>& members, uint64_t term)
{
    Step step;
    step.term = m_term;
    step.reason = m_reason;
    const FailoverMember* best = nullptr;
    const FailoverMember* bestStaying = nullptr;
    const FailoverMember* leader = nullptr;
    LogPosition longest;
    bool complete = true;
    std::vector<std::string> stopped;
    for (const FailoverMember& member : members) {
        if (member.status && member.status->primary && member.status->term >= m_term) {
            // Another host's promotion took effect first.
            m_phase = Phase::Resuming;
            m_target = member.id;
            m_repeatAt = m_startedAt;
            return step;
        }
        if (leads(member, primary, term)) {
            if (member.status && !member.silentSince)
                leader = &member;
            continue;
        }
        if (!member.status || member.status->stoppedAtTerm < m_term || member.requestedAt < m_startedAt)
            continue;
        stopped.push_back(member.id);
        longest = laterPosition(longest, member.status->received);
        if (best == nullptr || best->status->received < member.status->received)
            best = &member;
        if (!member.draining && (bestStaying == nullptr || bestStaying->status->received < member.status->received))
            bestStaying = &member;
    }
    for (const auto& [id, replica] : m_replicas) {
        if (std::find(stopped.begin(), stopped.end(), id) != stopped.end())
            continue;
        const FailoverMember* const member = findMember(members, id);
        // A server that does not answer this host may still receive and confirm commits.
        const auto seen = m_primaryAtLoss.find(id);
        const bool down = member == nullptr || (member->refused && member->silentSince);
        if (down && seen != m_primaryAtLoss.end() && !(longest < seen->second))
            continue;
        complete = false;
        if (member != nullptr)
            step.servers.push_back(id);
    }
    complete = complete || std::find(stopped.begin(), stopped.end(), m_demoted) != stopped.end();
    if (complete && best != nullptr) {
        const bool stayingHasAll = bestStaying != nullptr && !(bestStaying->status->received < longest);
        m_target = stayingHasAll ? bestStaying->id : best->id;
        m_phase = Phase::Promoting;
        m_failedAttempts = 0;
        m_ordered = true;
        m_waitingForAnswer = true;
        step.action = FailoverAction::Promote;
        step.servers = { m_target };
        return step;
    }
    if (leader != nullptr && now - m_startedAt >= m_settings.demoteAfter && now >= m_repeatAt) {
        m_repeatAt = now + m_settings.stopRepeatInterval;
        m_demoted = leader->id;
        m_ordered = true;
        step.action = FailoverAction::Demote;
        step.servers = { leader->id };
        return step;
    }
    if (now - m_startedAt > m_settings.collectTimeout && !m_ordered) {
        m_phase = Phase::Watching;
        ++m_failedAttempts;
        m_noChangeBefore = now + m_settings.pauseAfterAbort;
        m_since.clear();
        return resumeStopped(members);
    }
    if (now >= m_repeatAt && !step.servers.empty()) {
        m_repeatAt = now + m_settings.stopRepeatInterval;
        m_term = std::max(m_term, term + 1);
        step.term = m_term;
        step.action = FailoverAction::StopReceiving;
        return step;
    }
    return step;
}

FailoverPlan::Step FailoverPlan::step(
    Instant now, const std::string& primary, const std::vector<FailoverMember>& members, uint64_t term)
{
    updateReplicas(now, primary, members, term);
    switch (m_phase) {
    case Phase::Watching: {
        if (now < m_noChangeBefore)
            return {};
        m_reason = findReason(now, primary, members, term);
        if (m_reason == FailoverReason::None)
            return {};
        m_phase = Phase::Collecting;
        m_startedAt = now;
        m_repeatAt = now;
        m_term = term + 1;
        m_ordered = false;
        return collect(now, primary, members, term);
    }
    case Phase::Collecting:
        return collect(now, primary, members, term);
    case Phase::Promoting: {
        if (m_waitingForAnswer || now < m_repeatAt)
            return {};
        m_waitingForAnswer = true;
        Step step;
        step.action = FailoverAction::Promote;
        step.servers = { m_target };
        step.term = m_term;
        step.reason = m_reason;
        return step;
    }
    case Phase::Resuming: {
        // A promotion takes effect some time after its answer. If replicas received before that, the old primary could
        // acknowledge commits that the new one lacks.
        const FailoverMember* const target = findMember(members, m_target);
        const bool leads = target != nullptr && target->status && target->status->primary
            && target->status->term >= m_term && target->answeredAt >= m_repeatAt;
        if (!leads) {
            if (now - m_repeatAt <= m_settings.effectTimeout)
                return {};
            m_phase = Phase::Collecting;
            m_startedAt = now;
            return {};
        }
        m_phase = Phase::Watching;
        m_noChangeBefore = now + m_settings.pauseAfterChange;
        m_since.clear();
        m_unconfirmedPosition = LogPosition();
        m_demoted.clear();
        return resumeStopped(members);
    }
    case Phase::Count:
        break;
    }
    return {};
}

void FailoverPlan::promoteAnswered(PromotionOutcome outcome, Instant now)
{
    if (m_phase != Phase::Promoting)
        return;
    m_waitingForAnswer = false;
    m_repeatAt = now + m_settings.orderRepeatDelay;
    if (outcome == PromotionOutcome::Done) {
        m_phase = Phase::Resuming;
        m_repeatAt = now;
    } else if (outcome == PromotionOutcome::Rejected) {
        // The target does not run, or another host ordered a change, so the replicas are polled again.
        m_phase = Phase::Collecting;
        m_startedAt = now;
    }
}

} // namespace plantainwall

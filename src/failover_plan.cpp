#include "failover_plan.h"
#include <algorithm>

namespace plantainwall {

namespace {

    constexpr std::string_view reasonNames[]
        = { "none", "leaving", "gone", "unreachable", "no_primary", "unconfirmed", "left_stopped", "unfinished" };
    static_assert(sizeof(reasonNames) / sizeof(reasonNames[0]) == static_cast<size_t>(FailoverReason::Count),
        "one entry for each FailoverReason");

    /// Returns whether a replica can become primary and stay it.
    bool isStaying(const FailoverMember& member) { return member.registered && !member.draining; }

} // namespace

std::string_view failoverReasonName(FailoverReason reason) { return reasonNames[static_cast<size_t>(reason)]; }

FailoverPlan::FailoverPlan(const FailoverSettings& settings)
    : m_settings(settings)
    , m_logs(settings.logs)
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
    const bool gone = !primary.empty() && (leader == nullptr || !leader->registered);
    const bool unreachable = leader != nullptr && leader->silentSince
        && now - *leader->silentSince >= (leader->refused ? m_settings.refusedTimeout : m_settings.unreachableTimeout);
    const bool withoutPrimary
        = primary.empty() || (leader != nullptr && leader->status && !leader->status->primary && !leader->silentSince);
    bool leftStopped = false;
    bool confirmed = false;
    size_t replicas = 0;
    for (const FailoverMember& member : members) {
        if (!member.status || member.ended || leads(member, primary, term))
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

FailoverPlan::Stopped FailoverPlan::stoppedReplicas(
    const std::string& primary, const std::vector<FailoverMember>& members, uint64_t term) const
{
    Stopped stopped;
    const bool demotedHoldsAll = m_demotedAt && !isSuperseded(members);
    // A replica that has restarted since it was asked may have confirmed commits.
    const Instant askedSince = commitsWithheld() ? std::max(m_startedAt, *m_revokedSince) : m_startedAt;
    const auto hasLonger = [](const FailoverMember* best, const FailoverMember& member) {
        return best == nullptr || best->status->received < member.status->received;
    };
    for (const FailoverMember& member : members) {
        if (member.ended || leads(member, primary, term) || !m_logs.isCurrent(member)
            || member.requestedAt < askedSince)
            continue;
        // Nobody leads, so a demoted primary receives nothing.
        const bool demoted = demotedHoldsAll && member.id == m_demoted && !member.status->primary;
        if (member.status->stoppedAtTerm < m_term && !demoted)
            continue;
        stopped.ids.push_back(member.id);
        stopped.longest = laterPosition(stopped.longest, member.status->received);
        if (demoted)
            stopped.demoted = true;
        else
            stopped.longestButDemoted = laterPosition(stopped.longestButDemoted, member.status->received);
        if (hasLonger(stopped.best, member))
            stopped.best = &member;
        if (isStaying(member) && hasLonger(stopped.bestStaying, member))
            stopped.bestStaying = &member;
    }
    return stopped;
}

void FailoverPlan::noteAnswers(Instant now, const std::vector<FailoverMember>& members)
{
    std::vector<std::string> answering;
    for (const FailoverMember& member : members) {
        if (member.ended)
            continue;
        // A server that is down, even a settled one, may have the only copy of what the destroyed logs held.
        if (member.silentSince || !m_logs.isCurrent(member)) {
            answering.clear();
            break;
        }
        answering.push_back(member.id);
    }
    std::sort(answering.begin(), answering.end());
    if (answering == m_answering)
        return;
    m_answering = std::move(answering);
    m_answeringSince = now;
}

bool FailoverPlan::allCompared(Instant now, const Stopped& stopped, const std::vector<FailoverMember>& members) const
{
    if (m_answering.empty() || now - m_answeringSince < m_settings.allAnsweringTime)
        return false;
    // If only a server that lost its log before has the longest one, a server that was settled by that log and is no
    // longer known may have more.
    bool keptLongest = false;
    for (const FailoverMember& member : members) {
        if (member.ended)
            continue;
        if (std::find(stopped.ids.begin(), stopped.ids.end(), member.id) == stopped.ids.end())
            return false;
        keptLongest = keptLongest || (member.status->received == stopped.longest && !m_logs.hasLostLog(member.id));
    }
    return keptLongest;
}

bool FailoverPlan::isSuperseded(const std::vector<FailoverMember>& members) const
{
    return std::any_of(members.begin(), members.end(), [&](const FailoverMember& member) {
        return member.provenTerm > m_demotedTerm
            || (member.status && std::max(member.status->term, member.status->received.term) > m_demotedTerm);
    });
}

const FailoverMember* FailoverPlan::chooseTarget(Instant now, const Stopped& stopped,
    const std::vector<FailoverMember>& members, uint64_t term, gsl::span<const ReplicaLogs::Missing> missing,
    bool needsEnd) const
{
    const bool demotedStandsIn = stopped.demoted && (m_logs.hasLed(m_demoted, term) || !m_logs.hasLostLog(m_demoted));
    const bool onlyDestroyed
        = std::all_of(missing.begin(), missing.end(), [](const ReplicaLogs::Missing& log) { return log.lost; });
    if (!missing.empty() && !demotedStandsIn && !(onlyDestroyed && allCompared(now, stopped, members)))
        return nullptr;
    // The end of the log of a primary that does not leave need not be kept: the known replicas have not confirmed it.
    const bool needsWholeLog = needsEnd || !missing.empty() || (demotedStandsIn && m_reason == FailoverReason::Leaving);
    const LogPosition& needed = needsWholeLog ? stopped.longest : stopped.longestButDemoted;
    if (stopped.bestStaying != nullptr && !(stopped.bestStaying->status->received < needed))
        return stopped.bestStaying;
    // A primary that leaves would soon be replaced again, so proof that the silent servers are still down is awaited.
    const FailoverMember* const demoted = demotedStandsIn ? findMember(members, m_demoted) : nullptr;
    const bool waits = needsWholeLog && demoted != nullptr && !isStaying(*demoted) && stopped.bestStaying != nullptr
        && m_demotedAt && now - *m_demotedAt < m_settings.catchUpTimeout;
    return waits ? nullptr : stopped.best;
}

void FailoverPlan::chooseStage(Instant now, const FailoverMember* leader, const std::string& primary,
    const std::vector<FailoverMember>& members, uint64_t term)
{
    if (m_allStoppingSince)
        return;
    bool leavingStopped = true;
    Instant stoppedAt = m_startedAt;
    LogPosition longestStaying;
    size_t leaving = 0;
    size_t staying = 0;
    for (const FailoverMember& member : members) {
        if (member.ended || member.silentSince || !m_logs.isCurrent(member) || leads(member, primary, term))
            continue;
        if (isStaying(member)) {
            ++staying;
            longestStaying = laterPosition(longestStaying, member.status->received);
            continue;
        }
        ++leaving;
        leavingStopped = leavingStopped && member.status->stoppedAtTerm >= m_term && member.requestedAt >= m_startedAt;
        stoppedAt = std::max(stoppedAt, member.answeredAt);
    }
    const bool leaves = m_reason == FailoverReason::Leaving;
    // Until then the log of the primary may get longer, because a leaving replica confirms commits or hosts send
    // writes.
    const Instant growsUntil
        = leaves && m_revokedSince ? std::max(stoppedAt, *m_revokedSince + m_settings.writesEndAfter) : stoppedAt;
    const bool caughtUp = leavingStopped && leader != nullptr && (!leaves || m_revokedSince)
        && (leader->requestedAt > growsUntil || (leaving == 0 && leader->requestedAt == growsUntil))
        && !(longestStaying < leader->status->received);
    if (leader == nullptr || (leaving == 0 && !leaves) || staying == 0 || caughtUp
        || now - m_startedAt >= m_settings.catchUpTimeout) {
        m_allStoppingSince = now;
        m_repeatAt = now;
    }
}

void FailoverPlan::noteDemoted(const FailoverMember* leader, const std::vector<FailoverMember>& members, uint64_t term)
{
    for (const FailoverMember& member : members) {
        if (member.ended || member.silentSince || !member.status || member.status->primary)
            continue;
        // A process that does not know the term has not led it: it restarted and lost the log.
        const bool byOther = m_demoted.empty() && leader == nullptr && member.provenTerm > 0
            && member.provenTerm >= term && member.status->term >= member.provenTerm;
        if (byOther) {
            m_demoted = member.id;
            m_demotedTerm = member.provenTerm;
        }
        if (!m_demotedAt && member.id == m_demoted)
            m_demotedAt = member.answeredAt;
    }
}

bool FailoverPlan::commitsWithheld() const
{
    return m_revocation && m_revocation->scope == RevocationScope::AllCommits && m_revokedSince;
}

void FailoverPlan::updateRevocation(const FailoverMember* leader, const std::vector<FailoverMember>& members,
    uint64_t term, std::optional<Instant> revokedSince, Instant now)
{
    const bool demoted = m_demotedAt && !isSuperseded(members);
    // A demotion ends the commits of a primary that answers, but an order that was given before may take effect first.
    const bool confirms = m_unfinished || (!demoted && (leader == nullptr || m_promotionOrdered));
    PrimaryRevocation revocation;
    revocation.term = term + 1;
    revocation.scope = confirms ? RevocationScope::AllCommits : RevocationScope::NewCommits;
    revocation.ordered = m_promotionOrdered || m_unfinished;
    const bool inForce = revokedSince && (m_revocation == revocation || *revokedSince == Instant());
    m_revocation = revocation;
    if (inForce && !m_revokedSince && confirms)
        m_repeatAt = now; // The replicas are asked again at once.
    m_revokedSince = inForce ? revokedSince : std::nullopt;
}

bool FailoverPlan::checkAcknowledged(Instant now, const Stopped& stopped, const std::vector<FailoverMember>& members,
    const FailoverKnowledge& knowledge, std::vector<ReplicaLogs::Missing>& missing) const
{
    const NewestAcknowledged& acknowledged = knowledge.acknowledged;
    const bool mayAnswer = std::any_of(missing.begin(), missing.end(), [&](const ReplicaLogs::Missing& log) {
        const FailoverMember* const member = findMember(members, log.id);
        return !log.lost && member != nullptr && !member->silentSince;
    });
    if (commitsWithheld() && !mayAnswer && acknowledged.latest && reaches(stopped.longest, *acknowledged.latest)) {
        missing.clear();
        return !reaches(stopped.longestButDemoted, *acknowledged.latest);
    }
    // Also for one of an earlier term: a replica may know the later term and still lack the end of the log before it.
    if (reaches(stopped.longestButDemoted, acknowledged.earliest))
        return false;
    if (!reaches(stopped.longest, acknowledged.earliest) && now - knowledge.primarySeenAt < m_settings.acknowledgedWait)
        missing.push_back({ "", "a caller was told of a commit that no known log holds", true });
    return true;
}

bool FailoverPlan::endsChange(const FailoverMember& member) const
{
    if (member.ended || !member.status || !member.status->primary || member.status->term < m_term)
        return false;
    // While orders of an earlier coordinator may be on their way, another one may replace any other server.
    return !m_unfinished || member.id == (m_promotionOrdered ? m_target : m_earlierSuccessor);
}

FailoverPlan::Step FailoverPlan::order(const std::string& target)
{
    m_target = target;
    m_revocation->successor = m_target;
    m_revocation->ordered = true;
    m_phase = Phase::Promoting;
    m_failedAttempts = 0;
    m_promotionOrdered = true;
    m_waitingForAnswer = true;
    Step step;
    step.action = FailoverAction::Promote;
    step.servers = { m_target };
    step.term = m_term;
    step.reason = m_reason;
    return step;
}

FailoverPlan::Step FailoverPlan::giveUp(Instant now, const std::vector<FailoverMember>& members)
{
    m_phase = Phase::Watching;
    m_noChangeBefore = now + m_settings.pauseAfterAbort;
    m_since.clear();
    m_revocation.reset();
    m_revokedSince.reset();
    return resumeStopped(members);
}

FailoverPlan::Step FailoverPlan::collect(Instant now, const std::string& primary,
    const std::vector<FailoverMember>& members, uint64_t term, const FailoverKnowledge& knowledge)
{
    Step step;
    step.term = m_term;
    step.reason = m_reason;
    const FailoverMember* leader = nullptr;
    for (const FailoverMember& member : members) {
        if (endsChange(member)) {
            // Another host's promotion took effect first.
            m_phase = Phase::Resuming;
            m_target = member.id;
            m_repeatAt = m_startedAt;
            return step;
        }
        if (leads(member, primary, term) && member.status && !member.silentSince)
            leader = &member;
    }
    noteDemoted(leader, members, term);
    updateRevocation(leader, members, term, knowledge.revokedSince, now);
    const Stopped stopped = stoppedReplicas(primary, members, term);
    // A server may run between an attempt to reach it and the end of all commits, and confirm some.
    const Instant commitsEndedAt = commitsWithheld() ? std::max(m_startedAt, *m_revokedSince) : m_startedAt;
    const std::optional<Instant> unansweredSince = leader != nullptr
        ? std::nullopt
        : std::optional<Instant>(std::max(commitsEndedAt, m_demotedAt.value_or(commitsEndedAt)));
    std::vector<ReplicaLogs::Missing> missing = m_logs.missing(stopped.ids, stopped.longestButDemoted, unansweredSince);
    const bool needsEnd = leader == nullptr && checkAcknowledged(now, stopped, members, knowledge, missing);
    const FailoverMember* const target = chooseTarget(now, stopped, members, term, missing, needsEnd);
    const bool commitsEnded = m_revocation->scope == RevocationScope::NewCommits || m_revokedSince;
    if (target != nullptr && leader == nullptr && commitsEnded) {
        // The replicas stay stopped until the promotion is permitted; no commit is acknowledged meanwhile.
        if (knowledge.permit && !knowledge.permit(target->id, term + 1, m_demotedAt && !isSuperseded(members)))
            return step;
        if (knowledge.isRecorded && !knowledge.isRecorded())
            return step;
        return order(target->id);
    }
    chooseStage(now, leader, primary, members, term);
    const Instant stageStart = m_allStoppingSince ? *m_allStoppingSince : m_startedAt;
    const bool demoteDue = target != nullptr || (m_allStoppingSince && now - stageStart >= m_settings.demoteAfter);
    // Once demoted, a restarted primary can no longer show that its present process has led.
    if (leader != nullptr && m_logs.isCurrent(*leader) && demoteDue && (now >= m_repeatAt || m_demoted != leader->id)) {
        m_repeatAt = now + m_settings.stopRepeatInterval;
        m_demoted = leader->id;
        m_demotedTerm = leader->status->term;
        m_demotedAt.reset();
        step.action = FailoverAction::Demote;
        step.servers = { leader->id };
        return step;
    }
    const Instant lastProgress
        = std::max({ stageStart, m_demotedAt.value_or(stageStart), m_revokedSince.value_or(stageStart) });
    // Hosts are waited for no longer than until they have lost contact.
    const bool waitsForHosts = target != nullptr && !commitsEnded;
    const bool timedOut = m_allStoppingSince && now - lastProgress > m_settings.collectTimeout && !waitsForHosts;
    const bool mayReachMore = std::any_of(missing.begin(), missing.end(), [](const auto& log) { return !log.lost; });
    // The replicas stay stopped, and the next coordinator goes on.
    if (timedOut && m_unfinished && mayReachMore)
        ++m_failedAttempts;
    if (timedOut && !m_promotionOrdered && !m_unfinished) {
        // Another host can reach a server that does not answer this one, but cannot replace a lost log.
        if (mayReachMore)
            ++m_failedAttempts;
        Step resume = giveUp(now, members);
        resume.missing = std::move(missing);
        return resume;
    }
    for (const ReplicaLogs::Missing& log : missing) {
        const FailoverMember* const member = findMember(members, log.id);
        if (!log.lost && member != nullptr && (m_allStoppingSince || !isStaying(*member)))
            step.servers.push_back(log.id);
    }
    if (now >= m_reportMissingAt) {
        m_reportMissingAt = now + m_settings.reportMissingInterval;
        step.missing = std::move(missing);
    }
    if (now >= m_repeatAt && !step.servers.empty()) {
        m_repeatAt = now + m_settings.stopRepeatInterval;
        m_term = std::max(m_term, term + 1);
        step.term = m_term;
        step.action = FailoverAction::StopReceiving;
    }
    return step;
}

void FailoverPlan::restartAttempt(Instant now)
{
    m_phase = Phase::Collecting;
    m_startedAt = now;
    m_allStoppingSince = now;
}

FailoverPlan::Step FailoverPlan::step(Instant now, const std::string& primary,
    const std::vector<FailoverMember>& members, uint64_t term, const FailoverKnowledge& knowledge)
{
    m_logs.update(now, primary, members, term, knowledge.primarySeenAt);
    noteAnswers(now, members);
    switch (m_phase) {
    case Phase::Watching: {
        if (now < m_noChangeBefore)
            return {};
        m_reason = findReason(now, primary, members, term);
        if (knowledge.unfinished && m_reason != FailoverReason::Leaving)
            m_reason = FailoverReason::Unfinished;
        if (m_reason == FailoverReason::None)
            return {};
        m_phase = Phase::Collecting;
        m_startedAt = now;
        m_allStoppingSince.reset();
        m_reportMissingAt = now + m_settings.reportMissingInterval;
        m_repeatAt = now;
        m_term = term + 1;
        m_promotionOrdered = false;
        m_unfinished = knowledge.unfinished;
        m_earlierSuccessor = knowledge.successor;
        return collect(now, primary, members, term, knowledge);
    }
    case Phase::Collecting:
        return collect(now, primary, members, term, knowledge);
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
            restartAttempt(now);
            return {};
        }
        m_phase = Phase::Watching;
        m_logs.primaryChanged(now);
        m_noChangeBefore = now + m_settings.pauseAfterChange;
        m_since.clear();
        m_unconfirmedPosition = LogPosition();
        m_demoted.clear();
        m_demotedAt.reset();
        m_revocation.reset();
        m_revokedSince.reset();
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
        restartAttempt(now);
    }
}

} // namespace plantainwall

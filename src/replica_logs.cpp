#include "replica_logs.h"
#include <algorithm>

namespace plantainwall {

ReplicaLogs::ReplicaLogs(const ReplicaLogsSettings& settings)
    : m_settings(settings)
{
}

bool ReplicaLogs::isDown(Instant now, const FailoverMember& member, bool wasDown) const
{
    if (member.replaced)
        return true;
    if (!member.silentSince)
        return false;
    // The network may refuse connections as well, but hardly those of all hosts.
    if (member.refused)
        return member.probes.reachedBy.empty();
    if (member.registered)
        return false;
    if (member.refusedAt && member.probes.reachedAt.value_or(*member.refusedAt) <= *member.refusedAt)
        return wasDown || !member.probes.pending;
    // Attempts of other hosts count, so that a new coordinator need not start from its own.
    Instant silentSince = *member.silentSince;
    if (member.probes.silentSince && !member.probes.pending)
        silentSince = std::min(silentSince, *member.probes.silentSince);
    const Instant lastSign
        = std::max({ member.lapsedAt, member.lastReplyAt, member.probes.reachedAt.value_or(member.lastReplyAt) });
    return now - std::max(lastSign, silentSince) >= m_settings.goneTimeout;
}

void ReplicaLogs::noteLost(
    Instant now, const std::string& id, uint64_t startedUnixMs, bool wasPrimary, const Copy& copy)
{
    for (const LostCopy& lost : m_lostCopies) {
        if (lost.id != id)
            continue;
        if (lost.startedUnixMs == startedUnixMs)
            return;
        // Nobody has led since, so a later process has confirmed nothing. A restart may also be recorded twice, by its
        // shorter log and by its new start.
        wasPrimary = wasPrimary || lost.wasPrimary;
    }
    m_lostCopies.push_back({ id, startedUnixMs, wasPrimary, copy.term, copy.received, { now, {}, {}, {} } });
}

// A server that lost its log reports less than before, unless it receives the whole log before its first answer.
void ReplicaLogs::checkLogKept(Instant now, const std::string& id, const ServerStatus& status)
{
    for (LostCopy& lost : m_lostCopies) {
        const bool kept = lost.term != 0 && status.term >= lost.term && !(status.received < lost.received);
        if (lost.id == id && kept && m_leaderSeenAt < lost.coverage.since && !lost.coverage.coveredAt)
            lost.coverage.coveredAt = now;
    }
}

void ReplicaLogs::checkSuccessors(Instant now, const std::vector<FailoverMember>& members)
{
    for (const FailoverMember& member : members) {
        if (member.ended || member.silentSince || !isCurrent(member))
            continue;
        const ServerStatus& status = *member.status;
        for (auto& [id, copy] : m_copies) {
            const bool kept = copy.term != 0 && status.term >= copy.term && !(status.received < copy.received)
                && !(status.received == LogPosition());
            if (copy.replaced && copy.down && id != member.id && copy.address == member.address && kept
                && m_leaderSeenAt < copy.down->since && !copy.down->coveredAt)
                copy.down->coveredAt = now;
        }
    }
}

void ReplicaLogs::updateCopy(Instant now, const FailoverMember& member, const std::string& primary, uint64_t term)
{
    const auto [it, added] = m_copies.try_emplace(member.id);
    Copy& copy = it->second;
    const bool wasLeading = copy.leading;
    if (added) {
        copy.startedUnixMs = member.startedUnixMs;
        if (member.settled) {
            copy.down = Coverage { now, {}, {}, {} };
            copy.settledBefore = true;
        }
    }
    if (copy.startedUnixMs != member.startedUnixMs && member.startedUnixMs != 0) {
        if (copy.startedUnixMs != 0) {
            const bool ledNewestTerm = member.ledTerm != 0 && member.ledTerm >= term;
            noteLost(now, member.id, copy.startedUnixMs, wasLeading || ledNewestTerm, copy);
            const uint64_t lostInTerm = copy.lostInTerm;
            copy = Copy();
            copy.lostInTerm = lostInTerm;
            copy.validFrom = now;
            copy.restarted = true;
        }
        copy.startedUnixMs = member.startedUnixMs;
    }
    copy.leading = leads(member, primary, term);
    copy.registered = member.registered;
    copy.failedAt = member.failedAt;
    copy.address = member.address;
    copy.replaced = member.replaced;
    copy.unlistedSince.reset();
    if (isCurrent(member) && !member.silentSince) {
        const ServerStatus& status = *member.status;
        if (copy.restarted) {
            checkLogKept(now, member.id, status);
            for (const LostCopy& lost : m_lostCopies) {
                if (lost.id == member.id && status.received < lost.received)
                    copy.lostInTerm = std::max(copy.lostInTerm, lost.term);
            }
        }
        copy.restarted = false;
        // A log gets shorter within a term only if the server lost it. A new primary may shorten it, in a new term.
        if (status.term < copy.term || (status.term == copy.term && status.received < copy.received)) {
            noteLost(now, member.id, 0, wasLeading, Copy());
            copy.validFrom = member.requestedAt;
            copy.ledTerm = 0;
            copy.lostInTerm = std::max(copy.lostInTerm, copy.term);
        }
        if (status.primary && status.term > copy.lostInTerm)
            copy.ledTerm = status.term;
        copy.term = status.term;
        copy.received = status.received;
    }
    const bool reachedSince = copy.down && member.probes.reachedAt && *member.probes.reachedAt > copy.down->since;
    const bool stillSettled = member.settled && copy.down && !member.status && !reachedSince;
    if (!isDown(now, member, copy.down.has_value()) && !stillSettled) {
        copy.down.reset();
        copy.settledBefore = false;
    } else if (!copy.down)
        copy.down = Coverage { now, {}, {}, {} };
}

void ReplicaLogs::update(Instant now, const std::string& primary, const std::vector<FailoverMember>& members,
    uint64_t term, Instant primarySeenAt)
{
    for (const FailoverMember& member : members) {
        if (!leads(member, primary, term) || !member.status || member.silentSince)
            continue;
        m_leaderSeenAt = now;
        // A promotion that the plan did not wait for, for example a late one, changes the primary too.
        if (m_leaderTerm != 0 && member.status->term > m_leaderTerm)
            primaryChanged(now);
        m_leaderTerm = std::max(m_leaderTerm, member.status->term);
    }
    for (const FailoverMember& member : members) {
        if (member.ended)
            noteLost(now, member.id, member.startedUnixMs, member.wasPrimary, Copy());
        else
            updateCopy(now, member, primary, term);
    }
    const FailoverMember* leader = nullptr;
    std::vector<const FailoverMember*> answering;
    for (const FailoverMember& member : members) {
        if (member.ended || member.silentSince || !isCurrent(member))
            continue;
        if (!leads(member, primary, term))
            answering.push_back(&member);
        // A demoted primary reports where its term ended.
        if (leads(member, primary, term) ? member.status->primary : hasLed(member.id, term))
            leader = &member;
    }
    checkSuccessors(now, members);
    const auto updateCoverage = [&](Coverage& coverage) {
        if (!coverage.primaryPosition && leader != nullptr && leader->requestedAt > coverage.since) {
            coverage.primaryPosition = leader->status->received;
            coverage.primary = leader->id;
        }
        const bool covered = coverage.primaryPosition
            && std::any_of(answering.begin(), answering.end(), [&](const FailoverMember* member) {
                   return member->id != coverage.primary && !(member->status->received < *coverage.primaryPosition);
               });
        if (covered && !coverage.coveredAt)
            coverage.coveredAt = now;
    };
    for (auto it = m_copies.begin(); it != m_copies.end();) {
        Copy& copy = it->second;
        const bool listed = findMember(members, it->first) != nullptr;
        if (!listed && !copy.unlistedSince)
            copy.unlistedSince = now;
        if (!listed && !copy.down && now - *copy.unlistedSince >= m_settings.goneTimeout)
            copy.down = Coverage { now, {}, {}, {} };
        if (copy.down)
            updateCoverage(*copy.down);
        if (copy.down && !copy.down->coveredAt && copy.settledBefore
            && now - std::max(primarySeenAt, m_leaderSeenAt) >= m_settings.settledReturnTime)
            copy.down->coveredAt = now;
        it = !listed && copy.down && copy.down->coveredAt ? m_copies.erase(it) : std::next(it);
    }
    for (auto it = m_lostCopies.begin(); it != m_lostCopies.end();) {
        LostCopy& lost = *it;
        if (!lost.wasPrimary)
            updateCoverage(lost.coverage);
        const bool listed = std::any_of(members.begin(), members.end(), [&](const FailoverMember& member) {
            return member.ended && member.id == lost.id && member.startedUnixMs == lost.startedUnixMs;
        });
        it = !listed && lost.coverage.coveredAt ? m_lostCopies.erase(it) : std::next(it);
    }
}

void ReplicaLogs::primaryChanged(Instant now)
{
    const Coverage restarted { now, {}, {}, {} };
    for (auto& [id, copy] : m_copies) {
        if (copy.down)
            copy.down = restarted;
    }
    for (LostCopy& lost : m_lostCopies) {
        lost.wasPrimary = false;
        lost.coverage = restarted;
    }
}

bool ReplicaLogs::isCurrent(const FailoverMember& member) const
{
    const auto it = m_copies.find(member.id);
    return member.status && it != m_copies.end() && member.requestedAt >= it->second.validFrom;
}

bool ReplicaLogs::hasLostLog(const std::string& id) const
{
    return std::any_of(m_lostCopies.begin(), m_lostCopies.end(),
        [&](const LostCopy& lost) { return lost.id == id && !lost.coverage.coveredAt; });
}

bool ReplicaLogs::hasLed(const std::string& id, uint64_t term) const
{
    const auto it = m_copies.find(id);
    return it != m_copies.end() && it->second.ledTerm != 0 && it->second.ledTerm >= term;
}

std::vector<ReplicaLogs::Missing> ReplicaLogs::missing(
    gsl::span<const std::string> stopped, const LogPosition& longest, std::optional<Instant> unansweredSince) const
{
    std::vector<Missing> result;
    const auto covered = [&](const Coverage& coverage) {
        return coverage.coveredAt || (coverage.primaryPosition && !(longest < *coverage.primaryPosition));
    };
    for (const auto& [id, copy] : m_copies) {
        if (copy.leading || std::find(stopped.begin(), stopped.end(), id) != stopped.end())
            continue;
        if (!copy.down)
            result.push_back({ id, "has not stopped receiving", false });
        else if (!covered(*copy.down) && copy.settledBefore)
            result.push_back({ id, "was not needed by an earlier coordinator, but may have run since", false });
        else if (!covered(*copy.down))
            result.push_back({ id, "does not answer, and its commits may be in no other log", false });
        else if (!unansweredSince || (!copy.unlistedSince && copy.failedAt < *unansweredSince))
            result.push_back({ id, "did not answer, but may run again", false });
    }
    for (const LostCopy& lost : m_lostCopies) {
        if (!lost.wasPrimary && !covered(lost.coverage))
            result.push_back({ lost.id, "restarted, and its commits may be in no other log", true });
    }
    return result;
}

std::vector<std::pair<std::string, uint64_t>> ReplicaLogs::settled() const
{
    std::vector<std::pair<std::string, uint64_t>> result;
    for (const auto& [id, copy] : m_copies) {
        if (!copy.registered && copy.down && (copy.down->coveredAt || copy.settledBefore))
            result.emplace_back(id, copy.startedUnixMs);
    }
    for (const LostCopy& lost : m_lostCopies) {
        if (lost.startedUnixMs != 0 && lost.coverage.coveredAt)
            result.emplace_back(lost.id, lost.startedUnixMs);
    }
    return result;
}

} // namespace plantainwall

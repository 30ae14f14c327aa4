#include "dispatch_plan.h"
#include <algorithm>

namespace plantainwall {

namespace {

    /// Returns the rank of a member for a read; 0 is best. Replicas in the host's region rank before a primary there,
    /// to leave the primary's slots to writes. A primary in the region ranks before replicas elsewhere, because traffic
    /// between regions is slow and billed.
    int readRank(const MemberConfig& member, const DispatchRequest& request, std::string_view primary)
    {
        const bool isPrimary = member.name == primary;
        if (member.dataCentre == request.dataCentre && !isPrimary)
            return 0;
        if (member.region == request.region)
            return isPrimary ? 2 : 1;
        return isPrimary ? 4 : 3;
    }

} // namespace

DispatchPlan::DispatchPlan(const GroupConfig& group, DispatchRequest request, std::string_view primary)
    : m_request(std::move(request))
    , m_primary(primary)
{
    orderReadCandidates(group);
}

void DispatchPlan::orderReadCandidates(const GroupConfig& group)
{
    std::vector<const MemberConfig*> members;
    for (const MemberConfig& member : group.members)
        members.push_back(&member);
    std::stable_sort(members.begin(), members.end(), [this](const MemberConfig* a, const MemberConfig* b) {
        return readRank(*a, m_request, m_primary) < readRank(*b, m_request, m_primary);
    });
    for (const MemberConfig* member : members)
        m_candidates.push_back(member->name);
}

DispatchPlan::Attempt DispatchPlan::first()
{
    if (!m_request.pinnedMember.empty())
        return { m_request.pinnedMember, std::nullopt };
    if (m_request.readOnly && m_request.step == TransactionStep::None)
        return { m_candidates.front(), std::nullopt };
    return { m_primary.empty() ? m_candidates.front() : m_primary, std::nullopt };
}

bool DispatchPlan::mayRepeat(const MemberAnswer& answer) const
{
    if (answer.runState == RunState::NotRun)
        return true;
    // A single write may be sent again with its request id: the database runs each id once and returns the outcome.
    // A transaction whose begin was not answered is rolled back by the database after its idle time.
    return answer.runState == RunState::Unknown
        && (m_request.idempotent || m_request.readOnly || m_request.step == TransactionStep::None
            || m_request.step == TransactionStep::Begin);
}

std::string DispatchPlan::nextCandidate()
{
    m_candidate = (m_candidate + 1) % m_candidates.size();
    return m_candidates[m_candidate];
}

DispatchPlan::Step DispatchPlan::retryLater(const MemberAnswer& answer, Instant now, bool needsBudget)
{
    if (now + m_backoff >= m_request.deadline)
        return answer;
    Wait wait;
    wait.delay = m_backoff;
    wait.needsBudget = needsBudget;
    wait.primaryUnknown = answer.code == ResultCode::NoPrimary;
    m_backoff = std::min(m_backoff * 2, maxBackoff);
    wait.attempt.member = m_request.pinnedMember.empty() ? nextCandidate() : m_request.pinnedMember;
    if (!m_request.readOnly && !m_primary.empty() && answer.code != ResultCode::NoPrimary
        && m_request.pinnedMember.empty())
        wait.attempt.member = m_primary;
    return wait;
}

DispatchPlan::Step DispatchPlan::redirect(const MemberAnswer& answer, Instant now)
{
    std::string target = m_request.readOnly ? answer.replicaHint : std::string();
    if (target.empty())
        target = answer.primaryHint;
    if (target.empty() || ++m_redirects > maxRedirects)
        return retryLater(answer, now, false);
    return Attempt { std::move(target), std::nullopt };
}

DispatchPlan::Step DispatchPlan::next(const MemberAnswer& answer, Instant now)
{
    if (!answer.primaryHint.empty())
        m_primary = answer.primaryHint;
    if (answer.code == ResultCode::Ok || !mayRepeat(answer) || now >= m_request.deadline)
        return answer;
    switch (answer.code) {
    case ResultCode::NotPrimary:
    case ResultCode::ReplicaBehind:
        return m_request.pinnedMember.empty() ? redirect(answer, now) : Step(answer);
    case ResultCode::NoPrimary:
    case ResultCode::NotOwner:
    case ResultCode::MemberLeaving:
        return retryLater(answer, now, false);
    case ResultCode::PeerUnavailable:
    case ResultCode::ConnectionsExhausted:
    case ResultCode::OutcomeUnknown:
        return retryLater(answer, now, true);
    default:
        return answer;
    }
}

} // namespace plantainwall

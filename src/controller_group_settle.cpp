#include "controller_group_shard.h"
#include "request_context.h"
#include <algorithm>

namespace plantainwall {

namespace {

    // Pause between two outcome lookups of one request while a group has no primary or the answer proves nothing.
    constexpr Duration lookUpPause = std::chrono::milliseconds(50);
    constexpr unsigned maxSends = 4;

} // namespace

pplx::task<MemberAnswer> GroupShard::outcome(std::string_view requestId, Duration timeLeft)
{
    const PendingRequestPtr pending = std::make_shared<PendingRequest>();
    pending->request.requestId = requestId;
    pending->lookupOnly = true;
    pending->inDoubt = true;
    pplx::task<MemberAnswer> answer(pending->done);
    const Locked lock(*this);
    pending->id = ++m_lastRequestId;
    pending->arrived = now();
    pending->deadline = pending->arrived + timeLeft;
    m_pendingRequests[pending->id] = pending;
    settle(pending);
    return answer;
}

/// Answers a write once a majority holds its entry. primary showed the entry in its log while it led the term, so its
/// log holds that position in that term whatever term the entry itself was written in.
void GroupShard::confirm(
    const PendingRequestPtr& pending, std::string_view primary, uint64_t term, const ExecuteOutcome& outcome)
{
    pending->stage = Stage::Confirming;
    m_lastProgressNeeded = now();
    pending->results = outcome.results;
    pending->term = term;
    apply(m_tracker.executed(pending->id, primary, LogPosition { term, outcome.position.position }, pending->deadline));
    // The primary may have lost the role between the answer and now.
    if (pending->stage == Stage::Confirming && m_promotion.primaryTerm() > term)
        apply(m_tracker.higherTerm(m_promotion.primaryTerm()));
}

void GroupShard::apply(const AckTracker::Actions& actions)
{
    for (const AckTracker::Acknowledge& action : actions.acknowledge) {
        const PendingRequestPtr pending = findRequest(action.write);
        if (!pending)
            continue;
        ++m_counters.acknowledged;
        MemberAnswer answer;
        answer.code = ResultCode::Ok;
        answer.runState = RunState::Run;
        answer.results = pending->results;
        answer.position = action.position;
        finish(pending, std::move(answer));
    }
    for (const AckTracker::GiveUp& action : actions.giveUp) {
        const PendingRequestPtr pending = findRequest(action.write);
        if (!pending)
            continue;
        pending->inDoubt = true;
        if (action.reason == AckTracker::Reason::HigherTerm)
            settle(pending);
        else
            finish(pending, ResultCode::OutcomeUnknown, "executed, but not confirmed by a majority in time");
    }
}

/// Finds out what became of a write that may have run: looks it up at the current primary until the deadline.
void GroupShard::settle(const PendingRequestPtr& pending)
{
    pending->stage = Stage::Settling;
    if (pending->deadline <= now() + m_settings.request.minRemaining) {
        finish(pending, ResultCode::OutcomeUnknown, "the outcome could not be settled in time");
        return;
    }
    if (pending->lookingUp || now() < pending->lookUpAt || m_promotion.primary().empty())
        return; // sweep() calls again.
    lookUp(pending);
}

/// The status after the lookup proves that the member was primary of the term while it answered.
void GroupShard::lookUp(const PendingRequestPtr& pending)
{
    pending->lookingUp = true;
    pending->lookUpAt = now() + lookUpPause;
    pending->lookUpAfterClose = pending->closeConfirmed;
    ++m_counters.outcomeLookups;
    const std::string primary = m_promotion.primary();
    const uint64_t term = m_promotion.primaryTerm();
    const std::shared_ptr<Database> database = findMember(primary)->database;
    const Duration timeout = std::min(pending->deadline - now(), m_settings.group.probeTimeout);
    m_effects.emplace_back([self = shared_from_this(), database, primary, term, timeout, id = pending->id,
                               requestId = pending->request.requestId] {
        database->outcome(requestId, timeout)
            .then([database, timeout](const ExecuteOutcome& outcome) {
                return database->status(timeout).then(
                    [outcome](const MemberStatus& status) { return std::make_pair(outcome, status); });
            })
            .then([self, primary, term, id](const pplx::task<std::pair<ExecuteOutcome, MemberStatus>>& answer) {
                try {
                    const std::pair<ExecuteOutcome, MemberStatus> found = answer.get();
                    self->onLookedUp(id, primary, term, found.first, found.second);
                } catch (const std::exception&) {
                    const Locked lock(*self);
                    const PendingRequestPtr failed = self->findRequest(id);
                    if (failed)
                        failed->lookingUp = false;
                }
            });
    });
}

void GroupShard::onLookedUp(
    uint64_t id, const std::string& primary, uint64_t term, const ExecuteOutcome& outcome, const MemberStatus& status)
{
    const Locked lock(*this);
    const PendingRequestPtr pending = findRequest(id);
    if (!pending)
        return;
    pending->lookingUp = false;
    if (status.role != MemberRole::Primary || status.term != term)
        return; // Replaced meanwhile: sweep() looks it up at the next primary.
    if (outcome.code == ResultCode::Ok)
        confirm(pending, primary, term, outcome);
    else if (outcome.code == ResultCode::OutcomeNotFound)
        onNotFound(pending, primary, term);
}

/// The log of the primary does not hold the write now.
void GroupShard::onNotFound(const PendingRequestPtr& pending, const std::string& primary, uint64_t term)
{
    if (pending->lookupOnly) {
        finish(pending, ResultCode::OutcomeNotFound);
        return;
    }
    // Once a majority holds an entry of this higher term, every later log starts with this one, and a delayed call in
    // the old term can only reach logs that will be truncated. A confirmed entry of a still higher term proves nothing:
    // its primary may have been chosen from members that never followed this one.
    const bool superseded = term > pending->term && m_tracker.confirmed().term == term;
    const bool commit = pending->request.step == TransactionStep::Commit;
    if (superseded || (commit && pending->lookUpAfterClose && term == pending->term)) {
        pending->inDoubt = false;
        finish(pending, commit ? ResultCode::TransactionAborted : ResultCode::NotPrimary);
        return;
    }
    Member& member = *findMember(pending->request.member);
    // The database runs a request id once, so sending it again is safe and its answer is definite.
    if (!commit && primary == pending->request.member && member.owned && pending->attempts < maxSends) {
        ++m_counters.resends;
        enqueue(pending);
    }
}

/// A commit that arrives after its connection was closed is refused, so a confirmed close makes a lookup final.
void GroupShard::closeForCommit(const PendingRequestPtr& pending)
{
    const std::map<std::string, Transaction, std::less<>>::iterator it
        = m_transactions.find(pending->request.transaction);
    if (it == m_transactions.end())
        return;
    abortTransaction(it->first);
    pending->lookUpAt = now();
    const std::shared_ptr<Database> database = findMember(pending->request.member)->database;
    m_effects.emplace_back([self = shared_from_this(), database, connection = pending->connection, id = pending->id] {
        database->closeConnection(connection).then([self, id](const pplx::task<void>& answer) {
            try {
                answer.get();
            } catch (const std::exception&) {
                return;
            }
            const Locked lock(*self);
            const PendingRequestPtr closed = self->findRequest(id);
            if (closed)
                closed->closeConfirmed = true;
        });
    });
}

/// Returns the position that a read puts into the token: what it saw, as far as a majority holds it.
LogPosition GroupShard::readPosition(const PendingRequest& pending, const LogPosition& applied) const
{
    const LogPosition confirmed = m_tracker.confirmed();
    LogPosition position = pending.request.minPosition;
    if (confirmed.covers(applied))
        position = std::max(position, applied);
    else if (applied.covers(confirmed))
        position = std::max(position, confirmed);
    return position;
}

void GroupShard::finish(const PendingRequestPtr& pending, ResultCode code, const std::string& message)
{
    finish(pending, refusal(code, message));
}

/// Ends a request. A request in doubt is never answered as not run: its outcome is looked up, or it is unknown.
void GroupShard::finish(const PendingRequestPtr& pending, MemberAnswer answer)
{
    if (pending->inDoubt && answer.runState == RunState::NotRun) {
        releaseSlot(*pending);
        releaseConnection(*pending, false);
        if (!pending->request.readOnly) {
            settle(pending);
            return;
        }
        answer = refusal(ResultCode::OutcomeUnknown, answer.message);
    }
    if (m_pendingRequests.erase(pending->id) == 0)
        return;
    if (Member* const member = findMember(pending->request.member))
        member->ledger.cancel(pending->id);
    releaseSlot(*pending);
    const std::string transaction = pending->request.transaction;
    const std::map<std::string, Transaction, std::less<>>::iterator it = m_transactions.find(transaction);
    if (it != m_transactions.end() && it->second.connection == pending->connection) {
        it->second.busy = false;
        if (it->second.withdrawn || answer.code == ResultCode::TransactionAborted)
            abortTransaction(transaction);
    } else {
        releaseConnection(*pending, true);
    }
    if (answer.code == ResultCode::OutcomeUnknown)
        ++m_counters.outcomesUnknown;
    if (answer.code == ResultCode::ReplicaBehind)
        answer.replicaHint = m_router.choose(requirementOf(*pending), now()).member;
    answer.primaryHint = m_promotion.primary();
    answer.term = m_promotion.primaryTerm();
    m_effects.emplace_back([done = pending->done, answer = std::move(answer)] { done.set(answer); });
}

/// Gives the queue slot or place back.
void GroupShard::releaseSlot(PendingRequest& pending)
{
    if (!pending.ticket)
        return;
    const FairQueue::Ticket ticket = *pending.ticket;
    pending.ticket.reset();
    Member& member = *findMember(pending.request.member);
    member.queuedRequests.erase(ticket);
    if (!pending.started) {
        member.queue->cancel(ticket);
        return;
    }
    pending.started = false;
    const bool wasSent = pending.stage == Stage::Running;
    member.queue->finished(ticket, wasSent ? now() - pending.sent : Duration::zero(), now());
    // Others start after this call: the present request is in the middle of a change.
    const std::weak_ptr<GroupShard> weak = weak_from_this();
    m_effects.emplace_back([weak, name = pending.request.member] {
        const std::shared_ptr<GroupShard> self = weak.lock();
        if (!self)
            return;
        const Locked lock(*self);
        self->pump(*self->findMember(name));
    });
}

/// Gives back a connection that the work itself holds; without effect for that of a transaction.
void GroupShard::releaseConnection(PendingRequest& pending, bool reusable)
{
    if (pending.connection.empty())
        return;
    const std::string connection = pending.connection;
    pending.connection.clear();
    Member& member = *findMember(pending.request.member);
    apply(member, member.ledger.release(pending.id, connection, reusable, now()));
}

GroupShard::PendingRequestPtr GroupShard::findRequest(uint64_t id) const
{
    const std::map<uint64_t, PendingRequestPtr>::const_iterator it = m_pendingRequests.find(id);
    return it == m_pendingRequests.end() ? nullptr : it->second;
}

} // namespace plantainwall

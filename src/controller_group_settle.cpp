#include "controller_group_shard.h"
#include "request_context.h"
#include <algorithm>

namespace plantainwall {

namespace {

    // Between two outcome lookups of one request, while lookups fail or their answers are inconclusive.
    constexpr Duration lookUpInterval = std::chrono::milliseconds(50);
    constexpr unsigned maxWriteAttempts = 4;

} // namespace

pplx::task<MemberAnswer> GroupShard::outcome(std::string_view requestId, Duration timeLeft)
{
    const PendingRequestPtr pending = std::make_shared<PendingRequest>();
    pending->request.requestId = requestId;
    pending->lookupOnly = true;
    pending->inDoubt = true;
    pplx::task<MemberAnswer> answer(pending->answerEvent);
    const DeferringLock lock(*this);
    pending->id = ++m_lastRequestId;
    pending->arrived = now();
    pending->deadline = pending->arrived + timeLeft;
    m_pendingRequests[pending->id] = pending;
    resolveOutcome(pending);
    return answer;
}

/// Waits until a majority holds the entry of a write, then answers the write. The primary had the entry in its log
/// during the given term, so its log holds that position in that term even if the entry was written in an earlier one.
void GroupShard::confirm(
    const PendingRequestPtr& pending, std::string_view primary, uint64_t term, const ExecuteOutcome& outcome)
{
    pending->stage = Stage::Confirming;
    m_lastProgressNeeded = now();
    pending->results = outcome.results;
    pending->term = term;
    apply(m_tracker.executed(pending->id, primary, LogPosition { term, outcome.position.position }, pending->deadline));
    // The primary may have been replaced since it answered.
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
    for (const AckTracker::Unconfirmed& action : actions.unconfirmed) {
        const PendingRequestPtr pending = findRequest(action.write);
        if (!pending)
            continue;
        pending->inDoubt = true;
        if (action.reason == AckTracker::Reason::HigherTerm)
            resolveOutcome(pending);
        else
            finish(pending, ResultCode::OutcomeUnknown, "executed, but not confirmed by a majority in time");
    }
}

/// Determines the outcome of a write that may have run, by lookups at the current primary until the deadline.
void GroupShard::resolveOutcome(const PendingRequestPtr& pending)
{
    pending->stage = Stage::ResolvingOutcome;
    if (pending->deadline <= now() + m_settings.request.minRemaining) {
        finish(pending, ResultCode::OutcomeUnknown, "the outcome could not be settled in time");
        return;
    }
    if (pending->lookingUp || now() < pending->nextLookUpAt || m_promotion.primary().empty())
        return; // expireOverdue() calls this function again.
    lookUp(pending);
}

/// Sends an outcome lookup followed by a status call. The status proves that the member was still primary of the term
/// when it answered the lookup.
void GroupShard::lookUp(const PendingRequestPtr& pending)
{
    pending->lookingUp = true;
    pending->nextLookUpAt = now() + lookUpInterval;
    pending->lookUpSentAfterClose = pending->closeConfirmed;
    ++m_counters.outcomeLookups;
    const std::string primary = m_promotion.primary();
    const uint64_t term = m_promotion.primaryTerm();
    const std::shared_ptr<Database> database = findMember(primary)->database;
    const Duration timeout = std::min(pending->deadline - now(), m_settings.group.probeTimeout);
    m_deferredCalls.emplace_back([self = shared_from_this(), database, primary, term, timeout, id = pending->id,
                                     requestId = pending->request.requestId] {
        database->outcome(requestId, timeout)
            .then([database, timeout](const ExecuteOutcome& outcome) {
                return database->status(timeout).then(
                    [outcome](const MemberStatus& status) { return std::make_pair(outcome, status); });
            })
            .then([self, primary, term, id](const pplx::task<std::pair<ExecuteOutcome, MemberStatus>>& answer) {
                try {
                    const std::pair<ExecuteOutcome, MemberStatus> found = answer.get();
                    self->onOutcomeAnswer(id, primary, term, found.first, found.second);
                } catch (const std::exception&) {
                    const DeferringLock lock(*self);
                    const PendingRequestPtr failed = self->findRequest(id);
                    if (failed)
                        failed->lookingUp = false;
                }
            });
    });
}

void GroupShard::onOutcomeAnswer(
    uint64_t id, const std::string& primary, uint64_t term, const ExecuteOutcome& outcome, const MemberStatus& status)
{
    const DeferringLock lock(*this);
    const PendingRequestPtr pending = findRequest(id);
    if (!pending)
        return;
    pending->lookingUp = false;
    if (status.role != MemberRole::Primary || status.term != term)
        return; // The primary was replaced: expireOverdue() triggers a lookup at the next one.
    if (outcome.code == ResultCode::Ok)
        confirm(pending, primary, term, outcome);
    else if (outcome.code == ResultCode::OutcomeNotFound)
        onNotFound(pending, primary, term);
}

/// Handles a lookup that did not find the write in the log of the primary. The write may still arrive, so it is
/// answered as not run only if that is ruled out.
void GroupShard::onNotFound(const PendingRequestPtr& pending, const std::string& primary, uint64_t term)
{
    if (pending->lookupOnly) {
        finish(pending, ResultCode::OutcomeNotFound);
        return;
    }
    // Once a majority holds an entry of this higher term, every later log starts with the log of this primary, and a
    // delayed call in the old term can only reach logs that will be truncated. A confirmed entry of an even higher term
    // is no proof: its primary may have been chosen from members that never followed this one.
    const bool superseded = term > pending->term && m_tracker.confirmed().term == term;
    const bool commit = pending->request.step == TransactionStep::Commit;
    if (superseded || (commit && pending->lookUpSentAfterClose && term == pending->term)) {
        pending->inDoubt = false;
        finish(pending, commit ? ResultCode::TransactionAborted : ResultCode::NotPrimary);
        return;
    }
    Member& member = *findMember(pending->request.member);
    // The database runs each request id at most once, so a resend is safe and its answer is conclusive.
    if (!commit && primary == pending->request.member && member.owned && pending->attempts < maxWriteAttempts) {
        ++m_counters.resends;
        enqueue(pending);
    }
}

/// Closes the connection of a commit in doubt. The database refuses a commit that arrives after the close, so a lookup
/// sent after the confirmed close is conclusive.
void GroupShard::closeConnectionOfCommit(const PendingRequestPtr& pending)
{
    const std::map<std::string, Transaction, std::less<>>::iterator it
        = m_transactions.find(pending->request.transaction);
    if (it == m_transactions.end())
        return;
    abortTransaction(it->first);
    pending->nextLookUpAt = now();
    const std::shared_ptr<Database> database = findMember(pending->request.member)->database;
    m_deferredCalls.emplace_back(
        [self = shared_from_this(), database, connection = pending->connection, id = pending->id] {
            database->closeConnection(connection).then([self, id](const pplx::task<void>& answer) {
                try {
                    answer.get();
                } catch (const std::exception&) {
                    return;
                }
                const DeferringLock lock(*self);
                const PendingRequestPtr closed = self->findRequest(id);
                if (closed)
                    closed->closeConfirmed = true;
            });
        });
}

/// Returns the position for the session token of a read: the position it saw, limited to what a majority holds.
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

/// Answers a request and releases its slot and connection. A request in doubt is never answered as not run: the outcome
/// of a write is looked up, and a read is answered as unknown.
void GroupShard::finish(const PendingRequestPtr& pending, MemberAnswer answer)
{
    if (pending->inDoubt && answer.runState == RunState::NotRun) {
        releaseSlot(*pending);
        releaseConnection(*pending, false);
        if (!pending->request.readOnly) {
            resolveOutcome(pending);
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
    m_deferredCalls.emplace_back(
        [answerEvent = pending->answerEvent, answer = std::move(answer)] { answerEvent.set(answer); });
}

/// Releases the queue slot of a request, or removes the request from the queue.
void GroupShard::releaseSlot(PendingRequest& pending)
{
    if (!pending.ticket)
        return;
    const FairQueue::Ticket ticket = *pending.ticket;
    pending.ticket.reset();
    Member& member = *findMember(pending.request.member);
    member.queuedRequests.erase(ticket);
    if (!pending.holdsSlot) {
        member.queue->cancel(ticket);
        return;
    }
    pending.holdsSlot = false;
    const bool wasSent = pending.stage == Stage::Running;
    member.queue->finished(ticket, wasSent ? now() - pending.sentAt : Duration::zero(), now());
    // Deferred, because the state of this request is still being changed.
    const std::weak_ptr<GroupShard> weak = weak_from_this();
    m_deferredCalls.emplace_back([weak, name = pending.request.member] {
        const std::shared_ptr<GroupShard> self = weak.lock();
        if (!self)
            return;
        const DeferringLock lock(*self);
        self->startQueued(*self->findMember(name));
    });
}

/// Releases the connection that the request itself holds. The connection of a transaction is not affected.
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

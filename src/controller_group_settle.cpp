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
    const PendingRequestPtr active = std::make_shared<PendingRequest>();
    active->request.requestId = requestId;
    active->lookupOnly = true;
    active->inDoubt = true;
    pplx::task<MemberAnswer> answer(active->done);
    const DeferringLock lock(*this);
    active->id = ++m_lastRequestId;
    active->arrived = now();
    active->deadline = active->arrived + timeLeft;
    m_pendingRequests[active->id] = active;
    resolveOutcome(active);
    return answer;
}

/// Waits until a majority holds the entry of a write, then answers the write. The primary had the entry in its log
/// during the given term, so its log holds that position in that term even if the entry was written in an earlier one.
void GroupShard::confirm(
    const PendingRequestPtr& active, std::string_view primary, uint64_t term, const ExecuteOutcome& outcome)
{
    active->stage = Stage::Confirming;
    m_lastProgressNeeded = now();
    active->results = outcome.results;
    active->term = term;
    apply(m_tracker.executed(active->id, primary, LogPosition { term, outcome.position.position }, active->deadline));
    // The primary may have been replaced since it answered.
    if (active->stage == Stage::Confirming && m_promotion.primaryTerm() > term)
        apply(m_tracker.higherTerm(m_promotion.primaryTerm()));
}

void GroupShard::apply(const AckTracker::Actions& actions)
{
    for (const AckTracker::Acknowledge& action : actions.acknowledge) {
        const PendingRequestPtr active = findRequest(action.write);
        if (!active)
            continue;
        ++m_counters.acknowledged;
        MemberAnswer answer;
        answer.code = ResultCode::Ok;
        answer.runState = RunState::Run;
        answer.results = active->results;
        answer.position = action.position;
        finish(active, std::move(answer));
    }
    for (const AckTracker::Unconfirmed& action : actions.unconfirmed) {
        const PendingRequestPtr active = findRequest(action.write);
        if (!active)
            continue;
        active->inDoubt = true;
        if (action.reason == AckTracker::Reason::HigherTerm)
            resolveOutcome(active);
        else
            finish(active, ResultCode::OutcomeUnknown, "executed, but not confirmed by a majority in time");
    }
}

/// Determines the outcome of a write that may have run, by lookups at the current primary until the deadline.
void GroupShard::resolveOutcome(const PendingRequestPtr& active)
{
    active->stage = Stage::ResolvingOutcome;
    if (active->deadline <= now() + m_settings.request.minRemaining) {
        finish(active, ResultCode::OutcomeUnknown, "the outcome could not be settled in time");
        return;
    }
    if (active->lookingUp || now() < active->nextLookUpAt || m_promotion.primary().empty())
        return; // expireOverdue() calls this function again.
    lookUp(active);
}

/// Sends an outcome lookup followed by a status call. The status proves that the member was still primary of the term
/// when it answered the lookup.
void GroupShard::lookUp(const PendingRequestPtr& active)
{
    active->lookingUp = true;
    active->nextLookUpAt = now() + lookUpInterval;
    active->lookUpSentAfterClose = active->closeConfirmed;
    ++m_counters.outcomeLookups;
    const std::string primary = m_promotion.primary();
    const uint64_t term = m_promotion.primaryTerm();
    const std::shared_ptr<Database> database = findMember(primary)->database;
    const Duration timeout = std::min(active->deadline - now(), m_settings.group.probeTimeout);
    m_deferredCalls.emplace_back([self = shared_from_this(), database, primary, term, timeout, id = active->id,
                                     requestId = active->request.requestId] {
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
    const PendingRequestPtr active = findRequest(id);
    if (!active)
        return;
    active->lookingUp = false;
    if (status.role != MemberRole::Primary || status.term != term)
        return; // The primary was replaced: expireOverdue() triggers a lookup at the next one.
    if (outcome.code == ResultCode::Ok)
        confirm(active, primary, term, outcome);
    else if (outcome.code == ResultCode::OutcomeNotFound)
        onNotFound(active, primary, term);
}

/// Handles a lookup that did not find the write in the log of the primary. The write may still arrive, so it is
/// answered as not run only if that is ruled out.
void GroupShard::onNotFound(const PendingRequestPtr& active, const std::string& primary, uint64_t term)
{
    if (active->lookupOnly) {
        finish(active, ResultCode::OutcomeNotFound);
        return;
    }
    // Once a majority holds an entry of this higher term, every later log starts with the log of this primary, and a
    // delayed call in the old term can only reach logs that will be truncated. A confirmed entry of an even higher term
    // is no proof: its primary may have been chosen from members that never followed this one.
    const bool superseded = term > active->term && m_tracker.confirmed().term == term;
    const bool commit = active->request.step == TransactionStep::Commit;
    if (superseded || (commit && active->lookUpSentAfterClose && term == active->term)) {
        active->inDoubt = false;
        finish(active, commit ? ResultCode::TransactionAborted : ResultCode::NotPrimary);
        return;
    }
    Member& member = *findMember(active->request.member);
    // The database runs each request id at most once, so a resend is safe and its answer is conclusive.
    if (!commit && primary == active->request.member && member.owned && active->attempts < maxWriteAttempts) {
        ++m_counters.resends;
        enqueue(active);
    }
}

/// Closes the connection of a commit in doubt. The database refuses a commit that arrives after the close, so a lookup
/// sent after the confirmed close is conclusive.
void GroupShard::closeConnectionOfCommit(const PendingRequestPtr& active)
{
    const std::map<std::string, Transaction, std::less<>>::iterator it
        = m_transactions.find(active->request.transaction);
    if (it == m_transactions.end())
        return;
    abortTransaction(it->first);
    active->nextLookUpAt = now();
    const std::shared_ptr<Database> database = findMember(active->request.member)->database;
    m_deferredCalls.emplace_back(
        [self = shared_from_this(), database, connection = active->connection, id = active->id] {
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
LogPosition GroupShard::readPosition(const PendingRequest& active, const LogPosition& applied) const
{
    const LogPosition confirmed = m_tracker.confirmed();
    LogPosition position = active.request.minPosition;
    if (confirmed.covers(applied))
        position = std::max(position, applied);
    else if (applied.covers(confirmed))
        position = std::max(position, confirmed);
    return position;
}

void GroupShard::finish(const PendingRequestPtr& active, ResultCode code, const std::string& message)
{
    finish(active, refusal(code, message));
}

/// Answers a request and releases its slot and connection. A request in doubt is never answered as not run: the outcome
/// of a write is looked up, and a read is answered as unknown.
void GroupShard::finish(const PendingRequestPtr& active, MemberAnswer answer)
{
    if (active->inDoubt && answer.runState == RunState::NotRun) {
        releaseSlot(*active);
        releaseConnection(*active, false);
        if (!active->request.readOnly) {
            resolveOutcome(active);
            return;
        }
        answer = refusal(ResultCode::OutcomeUnknown, answer.message);
    }
    if (m_pendingRequests.erase(active->id) == 0)
        return;
    if (Member* const member = findMember(active->request.member))
        member->ledger.cancel(active->id);
    releaseSlot(*active);
    const std::string transaction = active->request.transaction;
    const std::map<std::string, Transaction, std::less<>>::iterator it = m_transactions.find(transaction);
    if (it != m_transactions.end() && it->second.connection == active->connection) {
        it->second.busy = false;
        if (it->second.withdrawn || answer.code == ResultCode::TransactionAborted)
            abortTransaction(transaction);
    } else {
        releaseConnection(*active, true);
    }
    if (answer.code == ResultCode::OutcomeUnknown)
        ++m_counters.outcomesUnknown;
    if (answer.code == ResultCode::ReplicaBehind)
        answer.replicaHint = m_router.choose(readNeedOf(*active), now()).member;
    answer.primaryHint = m_promotion.primary();
    answer.term = m_promotion.primaryTerm();
    m_deferredCalls.emplace_back([done = active->done, answer = std::move(answer)] { done.set(answer); });
}

/// Releases the queue slot of a request, or removes the request from the queue.
void GroupShard::releaseSlot(PendingRequest& active)
{
    if (!active.ticket)
        return;
    const FairQueue::Ticket ticket = *active.ticket;
    active.ticket.reset();
    Member& member = *findMember(active.request.member);
    member.queuedRequests.erase(ticket);
    if (!active.holdsSlot) {
        member.queue->cancel(ticket);
        return;
    }
    active.holdsSlot = false;
    const bool wasSent = active.stage == Stage::Running;
    member.queue->finished(ticket, wasSent ? now() - active.sentAt : Duration::zero(), now());
    // Deferred, because the state of this request is still being changed.
    const std::weak_ptr<GroupShard> weak = weak_from_this();
    m_deferredCalls.emplace_back([weak, name = active.request.member] {
        const std::shared_ptr<GroupShard> self = weak.lock();
        if (!self)
            return;
        const DeferringLock lock(*self);
        self->startQueued(*self->findMember(name));
    });
}

/// Releases the connection that the request itself holds. The connection of a transaction is not affected.
void GroupShard::releaseConnection(PendingRequest& active, bool reusable)
{
    if (active.connection.empty())
        return;
    const std::string connection = active.connection;
    active.connection.clear();
    Member& member = *findMember(active.request.member);
    apply(member, member.ledger.release(active.id, connection, reusable, now()));
}

GroupShard::PendingRequestPtr GroupShard::findRequest(uint64_t id) const
{
    const std::map<uint64_t, PendingRequestPtr>::const_iterator it = m_pendingRequests.find(id);
    return it == m_pendingRequests.end() ? nullptr : it->second;
}

} // namespace plantainwall

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
    const WorkPtr work = std::make_shared<Work>();
    work->request.requestId = requestId;
    work->lookupOnly = true;
    work->inDoubt = true;
    pplx::task<MemberAnswer> answer(work->done);
    const Locked lock(*this);
    work->id = ++m_lastWork;
    work->arrived = now();
    work->deadline = work->arrived + timeLeft;
    m_works[work->id] = work;
    settle(work);
    return answer;
}

/// Answers a write once a majority holds its entry. primary showed the entry in its log while it led the term, so its
/// log holds that position in that term whatever term the entry itself was written in.
void GroupShard::confirm(const WorkPtr& work, std::string_view primary, uint64_t term, const ExecuteOutcome& outcome)
{
    work->stage = Stage::Confirming;
    m_lastProgressNeeded = now();
    work->results = outcome.results;
    work->term = term;
    apply(m_tracker.executed(work->id, primary, LogPosition { term, outcome.position.position }, work->deadline));
    // The primary may have lost the role between the answer and now.
    if (work->stage == Stage::Confirming && m_promotion.primaryTerm() > term)
        apply(m_tracker.higherTerm(m_promotion.primaryTerm()));
}

void GroupShard::apply(const AckTracker::Actions& actions)
{
    for (const AckTracker::Acknowledge& action : actions.acknowledge) {
        const WorkPtr work = findWork(action.write);
        if (!work)
            continue;
        ++m_counters.acknowledged;
        MemberAnswer answer;
        answer.code = ResultCode::Ok;
        answer.runState = RunState::Run;
        answer.results = work->results;
        answer.position = action.position;
        finish(work, std::move(answer));
    }
    for (const AckTracker::GiveUp& action : actions.giveUp) {
        const WorkPtr work = findWork(action.write);
        if (!work)
            continue;
        work->inDoubt = true;
        if (action.reason == AckTracker::Reason::HigherTerm)
            settle(work);
        else
            finish(work, ResultCode::OutcomeUnknown, "executed, but not confirmed by a majority in time");
    }
}

/// Finds out what became of a write that may have run: looks it up at the current primary until the deadline.
void GroupShard::settle(const WorkPtr& work)
{
    work->stage = Stage::Settling;
    if (work->deadline <= now() + m_settings.request.minRemaining) {
        finish(work, ResultCode::OutcomeUnknown, "the outcome could not be settled in time");
        return;
    }
    if (work->lookingUp || now() < work->lookUpAt || m_promotion.primary().empty())
        return; // sweep() calls again.
    lookUp(work);
}

/// The status after the lookup proves that the member was primary of the term while it answered.
void GroupShard::lookUp(const WorkPtr& work)
{
    work->lookingUp = true;
    work->lookUpAt = now() + lookUpPause;
    work->lookUpAfterClose = work->closeConfirmed;
    ++m_counters.outcomeLookups;
    const std::string primary = m_promotion.primary();
    const uint64_t term = m_promotion.primaryTerm();
    const std::shared_ptr<Database> database = findMember(primary)->database;
    const Duration timeout = std::min(work->deadline - now(), m_settings.group.probeTimeout);
    m_effects.emplace_back([self = shared_from_this(), database, primary, term, timeout, id = work->id,
                               requestId = work->request.requestId] {
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
                    const WorkPtr failed = self->findWork(id);
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
    const WorkPtr work = findWork(id);
    if (!work)
        return;
    work->lookingUp = false;
    if (status.role != MemberRole::Primary || status.term != term)
        return; // Replaced meanwhile: sweep() looks it up at the next primary.
    if (outcome.code == ResultCode::Ok)
        confirm(work, primary, term, outcome);
    else if (outcome.code == ResultCode::OutcomeNotFound)
        onNotFound(work, primary, term);
}

/// The log of the primary does not hold the write now.
void GroupShard::onNotFound(const WorkPtr& work, const std::string& primary, uint64_t term)
{
    if (work->lookupOnly) {
        finish(work, ResultCode::OutcomeNotFound);
        return;
    }
    // Once a majority holds an entry of this higher term, every later log starts with this one, and a delayed call in
    // the old term can only reach logs that will be truncated. A confirmed entry of a still higher term proves nothing:
    // its primary may have been chosen from members that never followed this one.
    const bool superseded = term > work->term && m_tracker.confirmed().term == term;
    const bool commit = work->request.step == TransactionStep::Commit;
    if (superseded || (commit && work->lookUpAfterClose && term == work->term)) {
        work->inDoubt = false;
        finish(work, commit ? ResultCode::TransactionAborted : ResultCode::NotPrimary);
        return;
    }
    Member& member = *findMember(work->request.member);
    // The database runs a request id once, so sending it again is safe and its answer is definite.
    if (!commit && primary == work->request.member && member.owned && work->attempts < maxSends) {
        ++m_counters.resends;
        enqueue(work);
    }
}

/// A commit that arrives after its connection was closed is refused, so a confirmed close makes a lookup final.
void GroupShard::closeForCommit(const WorkPtr& work)
{
    const std::map<std::string, Transaction, std::less<>>::iterator it = m_transactions.find(work->request.transaction);
    if (it == m_transactions.end())
        return;
    abortTransaction(it->first);
    work->lookUpAt = now();
    const std::shared_ptr<Database> database = findMember(work->request.member)->database;
    m_effects.emplace_back([self = shared_from_this(), database, connection = work->connection, id = work->id] {
        database->closeConnection(connection).then([self, id](const pplx::task<void>& answer) {
            try {
                answer.get();
            } catch (const std::exception&) {
                return;
            }
            const Locked lock(*self);
            const WorkPtr closed = self->findWork(id);
            if (closed)
                closed->closeConfirmed = true;
        });
    });
}

/// Returns the position that a read puts into the token: what it saw, as far as a majority holds it.
LogPosition GroupShard::readPosition(const Work& work, const LogPosition& applied) const
{
    const LogPosition confirmed = m_tracker.confirmed();
    LogPosition position = work.request.minPosition;
    if (confirmed.covers(applied))
        position = std::max(position, applied);
    else if (applied.covers(confirmed))
        position = std::max(position, confirmed);
    return position;
}

void GroupShard::finish(const WorkPtr& work, ResultCode code, const std::string& message)
{
    finish(work, refusal(code, message));
}

/// Ends a request. A request in doubt is never answered as not run: its outcome is looked up, or it is unknown.
void GroupShard::finish(const WorkPtr& work, MemberAnswer answer)
{
    if (work->inDoubt && answer.runState == RunState::NotRun) {
        releaseSlot(*work);
        releaseConnection(*work, false);
        if (!work->request.readOnly) {
            settle(work);
            return;
        }
        answer = refusal(ResultCode::OutcomeUnknown, answer.message);
    }
    if (m_works.erase(work->id) == 0)
        return;
    if (Member* const member = findMember(work->request.member))
        member->ledger.cancel(work->id);
    releaseSlot(*work);
    const std::string transaction = work->request.transaction;
    const std::map<std::string, Transaction, std::less<>>::iterator it = m_transactions.find(transaction);
    if (it != m_transactions.end() && it->second.connection == work->connection) {
        it->second.busy = false;
        if (it->second.withdrawn || answer.code == ResultCode::TransactionAborted)
            abortTransaction(transaction);
    } else {
        releaseConnection(*work, true);
    }
    if (answer.code == ResultCode::OutcomeUnknown)
        ++m_counters.outcomesUnknown;
    if (answer.code == ResultCode::ReplicaBehind)
        answer.replicaHint = m_router.choose(needOf(*work), now()).member;
    answer.primaryHint = m_promotion.primary();
    answer.term = m_promotion.primaryTerm();
    m_effects.emplace_back([done = work->done, answer = std::move(answer)] { done.set(answer); });
}

/// Gives the queue slot or place back.
void GroupShard::releaseSlot(Work& work)
{
    if (!work.ticket)
        return;
    const FairQueue::Ticket ticket = *work.ticket;
    work.ticket.reset();
    Member& member = *findMember(work.request.member);
    member.queuedWork.erase(ticket);
    if (!work.started) {
        member.queue->cancel(ticket);
        return;
    }
    work.started = false;
    const bool wasSent = work.stage == Stage::Running;
    member.queue->finished(ticket, wasSent ? now() - work.sent : Duration::zero(), now());
    // Others start after this call: the present request is in the middle of a change.
    const std::weak_ptr<GroupShard> weak = weak_from_this();
    m_effects.emplace_back([weak, name = work.request.member] {
        const std::shared_ptr<GroupShard> self = weak.lock();
        if (!self)
            return;
        const Locked lock(*self);
        self->pump(*self->findMember(name));
    });
}

/// Gives back a connection that the work itself holds; without effect for that of a transaction.
void GroupShard::releaseConnection(Work& work, bool reusable)
{
    if (work.connection.empty())
        return;
    const std::string connection = work.connection;
    work.connection.clear();
    Member& member = *findMember(work.request.member);
    apply(member, member.ledger.release(work.id, connection, reusable, now()));
}

GroupShard::WorkPtr GroupShard::findWork(uint64_t id) const
{
    const std::map<uint64_t, WorkPtr>::const_iterator it = m_works.find(id);
    return it == m_works.end() ? nullptr : it->second;
}

} // namespace plantainwall

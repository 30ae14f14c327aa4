#include "controller_group_shard.h"
#include "request_context.h"
#include <algorithm>
#include <sodium.h>

namespace plantainwall {

namespace {

    constexpr Duration openTimeout = std::chrono::seconds(1);
    // Wait for a lagging replica without an estimate: a status round trip within the region, with some margin.
    constexpr Duration defaultCatchUpWait = std::chrono::milliseconds(20);
    // Time to refresh the status of the members for a read with a maximum age.
    constexpr Duration statusRefreshWait = std::chrono::milliseconds(200);
    // Shorter than the database's own limit (5 s on the stand-in), so that the owner ends a transaction first.
    constexpr Duration maxTransactionIdle = std::chrono::seconds(4);
    constexpr unsigned maxAttempts = 3;

    bool continuesTransaction(TransactionStep step)
    {
        return step == TransactionStep::Continue || step == TransactionStep::Commit
            || step == TransactionStep::Rollback;
    }

    /// Returns an unguessable transaction id. Any request of the same customer that carries the id may use it.
    std::string randomId()
    {
        unsigned char bytes[12];
        randombytes_buf(bytes, sizeof(bytes));
        char text[2 * sizeof(bytes) + 1];
        sodium_bin2hex(text, sizeof(text), bytes, sizeof(bytes));
        return text;
    }

} // namespace

pplx::task<MemberAnswer> GroupShard::execute(MemberRequest request)
{
    const PendingRequestPtr active = std::make_shared<PendingRequest>();
    active->request = std::move(request);
    pplx::task<MemberAnswer> answer(active->done);
    const DeferringLock lock(*this);
    active->id = ++m_lastRequestId;
    active->arrived = now();
    active->deadline = active->arrived + active->request.timeLeft;
    m_pendingRequests[active->id] = active;
    admit(active);
    return answer;
}

void GroupShard::admit(const PendingRequestPtr& active)
{
    const MemberRequest& request = active->request;
    if (request.timeLeft < m_settings.request.minRemaining) {
        finish(active, ResultCode::DeadlineTooShort);
        return;
    }
    if (continuesTransaction(request.step)) {
        admitTransactionStep(active);
        return;
    }
    Member* const member = findMember(request.member);
    if (!member || !member->owned)
        finish(active, ResultCode::NotOwner);
    else if (member->status && member->status->leaving)
        finish(active, ResultCode::MemberLeaving);
    else if (request.readOnly && request.step == TransactionStep::None)
        admitRead(active, *member);
    else
        admitWrite(active);
}

void GroupShard::admitWrite(const PendingRequestPtr& active)
{
    if (!primaryUsable())
        finish(active, ResultCode::NoPrimary);
    else if (m_promotion.primary() != active->request.member)
        finish(active, ResultCode::NotPrimary);
    else
        enqueue(active);
}

void GroupShard::admitRead(const PendingRequestPtr& active, Member& member)
{
    if (member.reachable && canServe(*active)) {
        enqueue(active);
        return;
    }
    const std::optional<Duration> estimate = m_router.timeToReach(active->request.member, active->request.minPosition);
    Duration wait = estimate ? *estimate * 2 + defaultCatchUpWait : defaultCatchUpWait;
    if (active->request.maxAge) {
        wait = std::max(wait, statusRefreshWait);
        probeAll();
    }
    if (active->request.waitLimit)
        wait = *active->request.waitLimit;
    if (wait <= Duration::zero() || !member.reachable) {
        finish(active, ResultCode::ReplicaBehind);
        return;
    }
    active->stage = Stage::CatchingUp;
    m_lastProgressNeeded = now();
    active->catchUpUntil = std::min(active->deadline, active->arrived + wait);
}

void GroupShard::admitTransactionStep(const PendingRequestPtr& active)
{
    const std::map<std::string, Transaction, std::less<>>::iterator it
        = m_transactions.find(active->request.transaction);
    if (it == m_transactions.end() || it->second.customer != active->request.customer) {
        finish(active, ResultCode::TransactionUnknown);
        return;
    }
    if (it->second.busy) {
        finish(active, ResultCode::BadRequest, "a statement of this transaction is still running");
        return;
    }
    it->second.busy = true;
    it->second.lastUsed = now();
    active->request.member = it->second.member;
    active->request.readOnly = it->second.readOnly;
    active->connection = it->second.connection;
    enqueue(active);
}

ReadRequirement GroupShard::readNeedOf(const PendingRequest& active) const
{
    ReadRequirement need;
    need.minPosition = active.request.minPosition;
    need.maxAge = active.request.maxAge;
    need.arrived = active.arrived;
    // The request does not name its origin, so the location of this host stands in: a read goes to the nearest member
    // first, and the owner of a member is in the member's data centre or at least in its region.
    need.dataCentre = m_settings.dataCentre;
    need.region = m_settings.region;
    return need;
}

/// Returns whether the member of a read has the position that the read needs. The last status of the primary need not
/// show it: the primary of a term holds every entry confirmed in that term or earlier, and it refuses the read if it is
/// no longer primary of the term.
bool GroupShard::canServe(const PendingRequest& active) const
{
    if (active.request.member != m_promotion.primary() || active.request.maxAge)
        return m_router.canServe(active.request.member, readNeedOf(active));
    return active.request.minPosition.term <= m_promotion.primaryTerm();
}

/// Refuses the unsent reads of an unreachable member, so that they can be sent to another member instead of waiting for
/// a connection until their deadlines.
void GroupShard::finishUnsentReads(const std::string& name)
{
    std::vector<PendingRequestPtr> unsent;
    for (const std::pair<const uint64_t, PendingRequestPtr>& entry : m_pendingRequests) {
        const PendingRequest& active = *entry.second;
        const bool waits
            = active.stage == Stage::Queued || active.stage == Stage::Connecting || active.stage == Stage::CatchingUp;
        if (waits && active.request.member == name && active.request.readOnly
            && !continuesTransaction(active.request.step))
            unsent.push_back(entry.second);
    }
    for (const PendingRequestPtr& active : unsent)
        finish(active, ResultCode::ReplicaBehind, "the member does not answer");
}

void GroupShard::enqueueCaughtUpReads(const std::string&)
{
    std::vector<PendingRequestPtr> ready;
    for (const std::pair<const uint64_t, PendingRequestPtr>& entry : m_pendingRequests) {
        if (entry.second->stage == Stage::CatchingUp && canServe(*entry.second))
            ready.push_back(entry.second);
    }
    for (const PendingRequestPtr& active : ready)
        enqueue(active);
}

void GroupShard::enqueue(const PendingRequestPtr& active)
{
    Member& member = *findMember(active->request.member);
    active->stage = Stage::Queued;
    const FairQueue::Decision decision
        = member.queue->enqueue(active->request.customer, active->request.weight, active->deadline, now());
    if (decision.refusal) {
        finish(active, *decision.refusal);
        return;
    }
    active->ticket = decision.ticket;
    active->holdsSlot = false;
    member.queuedRequests[decision.ticket] = active->id;
    startQueued(member);
}

void GroupShard::startQueued(Member& member)
{
    for (const FairQueue::Decision& decision : member.queue->startable(now())) {
        const std::map<FairQueue::Ticket, uint64_t>::iterator it = member.queuedRequests.find(decision.ticket);
        const PendingRequestPtr active = it == member.queuedRequests.end() ? nullptr : findRequest(it->second);
        if (it != member.queuedRequests.end())
            member.queuedRequests.erase(it);
        if (decision.refusal) {
            if (active) {
                active->ticket.reset();
                finish(active, *decision.refusal);
            }
        } else if (active) {
            active->holdsSlot = true;
            start(active, member);
        } else {
            member.queue->finished(decision.ticket, Duration::zero(), now());
        }
    }
}

void GroupShard::start(const PendingRequestPtr& active, Member& member)
{
    if (!active->connection.empty()) {
        send(active);
        return;
    }
    active->stage = Stage::Connecting;
    apply(member, member.ledger.acquire(active->id, active->deadline, now()));
}

/// Checks a request again when its turn in the queue comes. Returns the reason to refuse it, or nullopt to send it.
std::optional<ResultCode> GroupShard::refusalBeforeSending(const PendingRequest& active)
{
    const Member& member = *findMember(active.request.member);
    if (active.deadline - now() < m_settings.request.minRemaining)
        return ResultCode::DeadlineExceeded;
    // The host that forwarded the request may not have received the withdrawal yet.
    if (m_environment.keyWithdrawn(active.request.customer, active.request.keyId))
        return ResultCode::KeyWithdrawn;
    if (continuesTransaction(active.request.step)) {
        const std::map<std::string, Transaction, std::less<>>::const_iterator it
            = m_transactions.find(active.request.transaction);
        const bool open
            = it != m_transactions.end() && (it->second.readOnly || m_promotion.primaryTerm() <= it->second.term);
        return open ? std::nullopt : std::optional<ResultCode>(ResultCode::TransactionAborted);
    }
    if (member.status && member.status->leaving)
        return ResultCode::MemberLeaving;
    if (active.request.readOnly && active.request.step == TransactionStep::None)
        return canServe(active) ? std::nullopt : std::optional<ResultCode>(ResultCode::ReplicaBehind);
    if (!primaryUsable())
        return ResultCode::NoPrimary;
    return m_promotion.primary() == active.request.member ? std::nullopt
                                                          : std::optional<ResultCode>(ResultCode::NotPrimary);
}

void GroupShard::send(const PendingRequestPtr& active)
{
    const std::optional<ResultCode> refused = refusalBeforeSending(*active);
    if (refused) {
        finish(active, *refused);
        return;
    }
    const Member& member = *findMember(active->request.member);
    const bool primary = active->request.member == m_promotion.primary();
    if (continuesTransaction(active->request.step))
        active->term = m_transactions.find(active->request.transaction)->second.term;
    else
        active->term = primary ? m_promotion.primaryTerm() : 0;
    active->stage = Stage::Running;
    active->sentAt = now();
    ++active->attempts;
    ExecuteRequest call;
    call.connection = active->connection;
    call.requestId = active->request.requestId;
    call.term = active->term;
    call.statements = active->request.statements;
    call.readOnly = active->request.readOnly;
    call.step = active->request.step;
    call.timeLeft = active->deadline - active->sentAt;
    const std::shared_ptr<Database> database = member.database;
    m_deferredCalls.emplace_back(
        [self = shared_from_this(), database, call, id = active->id, attempt = active->attempts] {
            database->execute(call).then([self, id, attempt](const pplx::task<ExecuteOutcome>& answer) {
                ExecuteOutcome outcome;
                try {
                    outcome = answer.get();
                } catch (const std::exception& error) {
                    outcome.sendState = SendState::MaybeSent;
                    outcome.code = ResultCode::OutcomeUnknown;
                    outcome.message = error.what();
                }
                self->onExecuted(id, attempt, outcome);
            });
        });
}

void GroupShard::apply(Member& member, const ConnectionLedger::Actions& actions)
{
    for (const ConnectionLedger::Action& action : actions) {
        if (std::holds_alternative<ConnectionLedger::Open>(action)) {
            openConnection(member);
        } else if (const ConnectionLedger::Close* close = std::get_if<ConnectionLedger::Close>(&action)) {
            closeConnection(member, close->connection);
        } else if (const ConnectionLedger::Grant* grant = std::get_if<ConnectionLedger::Grant>(&action)) {
            const PendingRequestPtr active = findRequest(grant->waiter);
            if (!active || active->stage != Stage::Connecting) {
                apply(member, member.ledger.release(grant->waiter, grant->connection, true, now()));
                continue;
            }
            active->connection = grant->connection;
            send(active);
        } else {
            const PendingRequestPtr active = findRequest(std::get<ConnectionLedger::Expire>(action).waiter);
            if (active)
                finish(active, ResultCode::ConnectionsExhausted);
        }
    }
}

void GroupShard::openConnection(const Member& member)
{
    ++m_counters.connectionsOpened;
    const std::string name = member.config.name;
    const std::shared_ptr<Database> database = member.database;
    m_deferredCalls.emplace_back([self = shared_from_this(), name, database] {
        database->openConnection(openTimeout).then([self, name](const pplx::task<std::string>& answer) {
            std::optional<std::string> connection;
            try {
                connection = answer.get();
            } catch (const std::exception&) {
                connection = std::nullopt; // The ledger retries after a pause.
            }
            const DeferringLock lock(*self);
            Member& opened = *self->findMember(name);
            self->apply(opened,
                connection ? opened.ledger.opened(*connection, self->now()) : opened.ledger.openFailed(self->now()));
        });
    });
}

/// Closes a connection. A failed close is not retried, because the database closes idle connections itself.
void GroupShard::closeConnection(const Member& member, const std::string& connection)
{
    const std::shared_ptr<Database> database = member.database;
    m_deferredCalls.emplace_back([database, connection] {
        database->closeConnection(connection).then([](const pplx::task<void>& answer) {
            try {
                answer.get();
            } catch (const std::exception&) {
                return;
            }
        });
    });
}

void GroupShard::onExecuted(uint64_t id, unsigned attempt, const ExecuteOutcome& outcome)
{
    const DeferringLock lock(*this);
    const PendingRequestPtr active = findRequest(id);
    if (!active || active->stage != Stage::Running || active->attempts != attempt)
        return; // The attempt was abandoned when the primary was replaced.
    releaseSlot(*active);
    if (outcome.sendState == SendState::NotSent)
        onNotSent(active, outcome);
    else if (outcome.sendState == SendState::MaybeSent || outcome.code == ResultCode::OutcomeUnknown
        || outcome.code == ResultCode::InternalError)
        onInDoubt(active, outcome.message);
    else if (outcome.code == ResultCode::Ok)
        onSucceeded(active, outcome);
    else
        onRefused(active, outcome);
}

void GroupShard::onSucceeded(const PendingRequestPtr& active, const ExecuteOutcome& outcome)
{
    const TransactionStep step = active->request.step;
    active->results = outcome.results;
    if (step == TransactionStep::Begin) {
        beginTransaction(active, outcome);
        return;
    }
    if (step == TransactionStep::Continue) {
        const std::map<std::string, Transaction, std::less<>>::iterator it
            = m_transactions.find(active->request.transaction);
        if (it == m_transactions.end()) {
            finish(active, ResultCode::TransactionAborted);
            return;
        }
        it->second.busy = false;
        it->second.lastUsed = now();
    } else if (step == TransactionStep::None) {
        releaseConnection(*active, true);
    } else {
        // A repeated commit may have left the transaction open.
        endTransaction(*active, !outcome.repeated);
    }
    const bool writes = !active->request.readOnly && (step == TransactionStep::None || step == TransactionStep::Commit);
    if (writes && outcome.position.position > 0) {
        confirm(active, active->request.member, active->term, outcome);
        return;
    }
    MemberAnswer answer;
    answer.code = ResultCode::Ok;
    answer.runState = RunState::Run;
    answer.results = active->results;
    answer.transaction = step == TransactionStep::Continue ? active->request.transaction : std::string();
    answer.position = active->request.readOnly ? readPosition(*active, outcome.position) : active->request.minPosition;
    answer.servedByReplica = active->term == 0;
    finish(active, std::move(answer));
}

void GroupShard::beginTransaction(const PendingRequestPtr& active, const ExecuteOutcome& outcome)
{
    Transaction transaction;
    transaction.member = active->request.member;
    transaction.customer = active->request.customer;
    transaction.keyId = active->request.keyId;
    transaction.connection = active->connection;
    transaction.connectionHolder = active->id;
    transaction.term = active->term;
    transaction.readOnly = active->request.readOnly;
    transaction.begunAt = now();
    transaction.lastUsed = transaction.begunAt;
    const std::string id = m_settings.host + "." + active->request.member + "." + randomId();
    m_transactions[id] = std::move(transaction);
    active->connection.clear(); // The transaction owns it now.
    MemberAnswer answer;
    answer.code = ResultCode::Ok;
    answer.runState = RunState::Run;
    answer.results = outcome.results;
    answer.transaction = id;
    answer.position = active->request.minPosition;
    answer.servedByReplica = active->term == 0;
    finish(active, std::move(answer));
}

/// Handles an answer that proves that the database did not run the request.
void GroupShard::onRefused(const PendingRequestPtr& active, const ExecuteOutcome& outcome)
{
    const bool inTransaction = continuesTransaction(active->request.step);
    if (outcome.code == ResultCode::NotPrimary)
        probe(active->request.member);
    if (inTransaction && (outcome.code == ResultCode::QueueFull || outcome.code == ResultCode::DeadlineExceeded)) {
        finish(active, outcome.code, outcome.message); // The transaction is still open.
        return;
    }
    if (inTransaction) {
        endTransaction(*active, false);
        const bool failed = outcome.code == ResultCode::StatementFailed;
        finish(active, failed ? outcome.code : ResultCode::TransactionAborted, outcome.message);
        return;
    }
    const bool reusable = active->request.step == TransactionStep::None
        && outcome.code != ResultCode::TransactionUnknown && outcome.code != ResultCode::QueueFull;
    releaseConnection(*active, reusable);
    if (outcome.code == ResultCode::TransactionUnknown)
        retryOrFinish(active, ResultCode::ConnectionsExhausted, outcome.message); // The connection had been closed.
    else
        finish(active, outcome.code, outcome.message);
}

void GroupShard::onNotSent(const PendingRequestPtr& active, const ExecuteOutcome& outcome)
{
    if (continuesTransaction(active->request.step)) {
        endTransaction(*active, false);
        finish(active, ResultCode::TransactionAborted, outcome.message);
        return;
    }
    releaseConnection(*active, false);
    retryOrFinish(
        active, active->request.readOnly ? ResultCode::PeerUnavailable : ResultCode::NoPrimary, outcome.message);
}

/// Handles a request that may have run.
void GroupShard::onInDoubt(const PendingRequestPtr& active, const std::string& message)
{
    const TransactionStep step = active->request.step;
    if (step == TransactionStep::Commit && !active->request.readOnly) {
        active->inDoubt = true;
        closeConnectionOfCommit(active);
        resolveOutcome(active);
        return;
    }
    if (continuesTransaction(step)) {
        endTransaction(*active, false); // A transaction without a commit has no effect.
        finish(active, ResultCode::TransactionAborted, message);
        return;
    }
    releaseConnection(*active, false);
    if (step == TransactionStep::Begin) {
        finish(active, ResultCode::TransactionAborted, message);
    } else if (active->request.readOnly) {
        active->inDoubt = true;
        retryOrFinish(active, ResultCode::OutcomeUnknown, message);
    } else {
        active->inDoubt = true;
        resolveOutcome(active);
    }
}

/// Stops waiting for a replaced primary, which may never answer. The outcome of its writes is looked up at the new one.
void GroupShard::onPrimaryReplaced(const std::string& primary, uint64_t term)
{
    std::vector<PendingRequestPtr> running;
    std::vector<PendingRequestPtr> waiting;
    for (const std::pair<const uint64_t, PendingRequestPtr>& entry : m_pendingRequests) {
        const PendingRequest& active = *entry.second;
        const bool unsent = active.stage == Stage::Queued || active.stage == Stage::Connecting;
        if (active.stage == Stage::Running && active.term != 0 && active.term < term)
            running.push_back(entry.second);
        else if (unsent && !active.request.readOnly && active.request.member != primary)
            waiting.push_back(entry.second);
    }
    for (const PendingRequestPtr& active : waiting)
        finish(active,
            continuesTransaction(active->request.step) ? ResultCode::TransactionAborted : ResultCode::NotPrimary);
    for (const PendingRequestPtr& active : running) {
        releaseSlot(*active);
        if (!active->request.readOnly) {
            onInDoubt(active, "the primary was replaced");
            continue;
        }
        endTransaction(*active, false);
        releaseConnection(*active, false);
        finish(active, ResultCode::OutcomeUnknown, "the primary was replaced");
    }
}

/// Retries a request that provably did not run or is read-only. Finishes it with the code if it cannot be retried.
void GroupShard::retryOrFinish(const PendingRequestPtr& active, ResultCode code, const std::string& message)
{
    const bool timeLeft = active->deadline - now() > m_settings.request.minRemaining;
    if (active->attempts < maxAttempts && timeLeft && !refusalBeforeSending(*active))
        enqueue(active);
    else
        finish(active, code, message);
}

void GroupShard::abortTransaction(const std::string& id)
{
    const std::map<std::string, Transaction, std::less<>>::iterator it = m_transactions.find(id);
    if (it == m_transactions.end())
        return;
    const Transaction transaction = it->second;
    m_transactions.erase(it);
    ++m_counters.transactionsRolledBack;
    Member& member = *findMember(transaction.member);
    apply(member, member.ledger.release(transaction.connectionHolder, transaction.connection, false, now()));
}

/// Ends the transaction of a request.
/// @param reusable The connection is known to have no open transaction; otherwise it is closed.
void GroupShard::endTransaction(const PendingRequest& active, bool reusable)
{
    if (!reusable) {
        abortTransaction(active.request.transaction);
        return;
    }
    const std::map<std::string, Transaction, std::less<>>::iterator it
        = m_transactions.find(active.request.transaction);
    if (it == m_transactions.end())
        return;
    const Transaction transaction = it->second;
    m_transactions.erase(it);
    Member& member = *findMember(transaction.member);
    apply(member, member.ledger.release(transaction.connectionHolder, transaction.connection, true, now()));
}

/// Rolls back idle and expired transactions and those of withdrawn keys, refuses reads whose catch-up wait is over, and
/// continues pending outcome lookups.
void GroupShard::expireOverdue(Instant time)
{
    std::vector<std::string> idle;
    for (const std::pair<const std::string, Transaction>& entry : m_transactions) {
        const bool expired = time - entry.second.begunAt >= m_settings.request.maxDeadline
            || time - entry.second.lastUsed >= maxTransactionIdle
            || m_environment.keyWithdrawn(entry.second.customer, entry.second.keyId);
        if (!entry.second.busy && expired)
            idle.push_back(entry.first);
    }
    for (const std::string& id : idle)
        abortTransaction(id);
    std::vector<PendingRequestPtr> overdue;
    for (const std::pair<const uint64_t, PendingRequestPtr>& entry : m_pendingRequests) {
        const PendingRequest& active = *entry.second;
        if (active.stage == Stage::ResolvingOutcome
            || (active.stage == Stage::CatchingUp && active.catchUpUntil <= time))
            overdue.push_back(entry.second);
    }
    for (const PendingRequestPtr& active : overdue) {
        if (active->stage == Stage::ResolvingOutcome)
            resolveOutcome(active);
        else
            finish(active, ResultCode::ReplicaBehind);
    }
}

void GroupShard::cancelQueued(std::string_view customer, std::string_view keyId)
{
    const DeferringLock lock(*this);
    std::vector<PendingRequestPtr> waiting;
    for (const std::pair<const uint64_t, PendingRequestPtr>& entry : m_pendingRequests) {
        const PendingRequest& active = *entry.second;
        const bool unsent
            = active.stage == Stage::CatchingUp || active.stage == Stage::Queued || active.stage == Stage::Connecting;
        const bool sameKey = keyId.empty() || active.request.keyId == keyId;
        if (active.request.customer == customer && sameKey && unsent && !active.inDoubt)
            waiting.push_back(entry.second);
    }
    for (const PendingRequestPtr& active : waiting)
        finish(active, ResultCode::KeyWithdrawn);
    std::vector<std::string> open;
    for (std::pair<const std::string, Transaction>& entry : m_transactions) {
        if (entry.second.customer != customer || (!keyId.empty() && entry.second.keyId != keyId))
            continue;
        entry.second.withdrawn = true;
        if (!entry.second.busy)
            open.push_back(entry.first);
    }
    for (const std::string& id : open)
        abortTransaction(id);
}

} // namespace plantainwall

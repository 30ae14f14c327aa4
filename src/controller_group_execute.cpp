#include "controller_group_shard.h"
#include "request_context.h"
#include <algorithm>
#include <sodium.h>

namespace plantainwall {

namespace {

    constexpr Duration openTimeout = std::chrono::seconds(1);
    // Wait for a replica without an estimate: a status round trip in the same region, with room.
    constexpr Duration defaultCatchUp = std::chrono::milliseconds(20);
    // A refresh of the members' status for reads with a stated age.
    constexpr Duration freshnessWait = std::chrono::milliseconds(200);
    // Shorter than the database's own limit (5 s on the stand-in), so that the owner knows that a transaction ended.
    constexpr Duration maxTransactionIdle = std::chrono::seconds(4);
    constexpr unsigned maxAttempts = 3;

    bool continuesTransaction(TransactionStep step)
    {
        return step == TransactionStep::Continue || step == TransactionStep::Commit
            || step == TransactionStep::Rollback;
    }

    /// Transaction ids are not guessable: whoever knows one may use it if the customer matches.
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
    const PendingRequestPtr pending = std::make_shared<PendingRequest>();
    pending->request = std::move(request);
    pplx::task<MemberAnswer> answer(pending->done);
    const Locked lock(*this);
    pending->id = ++m_lastRequestId;
    pending->arrived = now();
    pending->deadline = pending->arrived + pending->request.timeLeft;
    m_pendingRequests[pending->id] = pending;
    admit(pending);
    return answer;
}

void GroupShard::admit(const PendingRequestPtr& pending)
{
    const MemberRequest& request = pending->request;
    if (request.timeLeft < m_settings.request.minRemaining) {
        finish(pending, ResultCode::DeadlineTooShort);
        return;
    }
    if (continuesTransaction(request.step)) {
        admitTransactionStep(pending);
        return;
    }
    Member* const member = findMember(request.member);
    if (!member || !member->owned)
        finish(pending, ResultCode::NotOwner);
    else if (member->status && member->status->leaving)
        finish(pending, ResultCode::MemberLeaving);
    else if (request.readOnly && request.step == TransactionStep::None)
        admitRead(pending, *member);
    else
        admitWrite(pending);
}

void GroupShard::admitWrite(const PendingRequestPtr& pending)
{
    if (!primaryUsable())
        finish(pending, ResultCode::NoPrimary);
    else if (m_promotion.primary() != pending->request.member)
        finish(pending, ResultCode::NotPrimary);
    else
        enqueue(pending);
}

void GroupShard::admitRead(const PendingRequestPtr& pending, Member& member)
{
    if (member.reachable && canServe(*pending)) {
        enqueue(pending);
        return;
    }
    const std::optional<Duration> estimate
        = m_router.timeToReach(pending->request.member, pending->request.minPosition);
    Duration wait = estimate ? *estimate * 2 + defaultCatchUp : defaultCatchUp;
    if (pending->request.maxAge) {
        wait = std::max(wait, freshnessWait);
        probeAll();
    }
    if (pending->request.waitLimit)
        wait = *pending->request.waitLimit;
    if (wait <= Duration::zero() || !member.reachable) {
        finish(pending, ResultCode::ReplicaBehind);
        return;
    }
    pending->stage = Stage::CatchingUp;
    m_lastProgressNeeded = now();
    pending->catchUpUntil = std::min(pending->deadline, pending->arrived + wait);
}

void GroupShard::admitTransactionStep(const PendingRequestPtr& pending)
{
    const std::map<std::string, Transaction, std::less<>>::iterator it
        = m_transactions.find(pending->request.transaction);
    if (it == m_transactions.end() || it->second.customer != pending->request.customer) {
        finish(pending, ResultCode::TransactionUnknown);
        return;
    }
    if (it->second.busy) {
        finish(pending, ResultCode::BadRequest, "a statement of this transaction is still running");
        return;
    }
    it->second.busy = true;
    it->second.lastUsed = now();
    pending->request.member = it->second.member;
    pending->request.readOnly = it->second.readOnly;
    pending->connection = it->second.connection;
    enqueue(pending);
}

ReadRequirement GroupShard::requirementOf(const PendingRequest& pending) const
{
    ReadRequirement need;
    need.minPosition = pending.request.minPosition;
    need.maxAge = pending.request.maxAge;
    need.arrived = pending.arrived;
    // The request does not say where it came from. It was sent to the nearest member first, and the owner of a member
    // is in the member's data centre or at least in its region.
    need.dataCentre = m_settings.dataCentre;
    need.region = m_settings.region;
    return need;
}

/// The primary of a term holds every entry confirmed in that term or before, whatever its last status said; and it
/// refuses the read if it is not primary of the term any more.
bool GroupShard::canServe(const PendingRequest& pending) const
{
    if (pending.request.member != m_promotion.primary() || pending.request.maxAge)
        return m_router.canServe(pending.request.member, requirementOf(pending));
    return pending.request.minPosition.term <= m_promotion.primaryTerm();
}

/// Lets reads that have not been sent go to another member, instead of waiting for a connection until their deadlines.
void GroupShard::leaveUnreachable(const std::string& name)
{
    std::vector<PendingRequestPtr> unsent;
    for (const std::pair<const uint64_t, PendingRequestPtr>& entry : m_pendingRequests) {
        const PendingRequest& pending = *entry.second;
        const bool waits = pending.stage == Stage::Queued || pending.stage == Stage::Connecting
            || pending.stage == Stage::CatchingUp;
        if (waits && pending.request.member == name && pending.request.readOnly
            && !continuesTransaction(pending.request.step))
            unsent.push_back(entry.second);
    }
    for (const PendingRequestPtr& pending : unsent)
        finish(pending, ResultCode::ReplicaBehind, "the member does not answer");
}

void GroupShard::checkCatchingUp(const std::string&)
{
    std::vector<PendingRequestPtr> ready;
    for (const std::pair<const uint64_t, PendingRequestPtr>& entry : m_pendingRequests) {
        if (entry.second->stage == Stage::CatchingUp && canServe(*entry.second))
            ready.push_back(entry.second);
    }
    for (const PendingRequestPtr& pending : ready)
        enqueue(pending);
}

void GroupShard::enqueue(const PendingRequestPtr& pending)
{
    Member& member = *findMember(pending->request.member);
    pending->stage = Stage::Queued;
    const FairQueue::Decision decision
        = member.queue->enqueue(pending->request.customer, pending->request.weight, pending->deadline, now());
    if (decision.refusal) {
        finish(pending, *decision.refusal);
        return;
    }
    pending->ticket = decision.ticket;
    pending->started = false;
    member.queuedRequests[decision.ticket] = pending->id;
    pump(member);
}

void GroupShard::pump(Member& member)
{
    for (const FairQueue::Decision& decision : member.queue->startable(now())) {
        const std::map<FairQueue::Ticket, uint64_t>::iterator it = member.queuedRequests.find(decision.ticket);
        const PendingRequestPtr pending = it == member.queuedRequests.end() ? nullptr : findRequest(it->second);
        if (it != member.queuedRequests.end())
            member.queuedRequests.erase(it);
        if (decision.refusal) {
            if (pending) {
                pending->ticket.reset();
                finish(pending, *decision.refusal);
            }
        } else if (pending) {
            pending->started = true;
            start(pending, member);
        } else {
            member.queue->finished(decision.ticket, Duration::zero(), now());
        }
    }
}

void GroupShard::start(const PendingRequestPtr& pending, Member& member)
{
    if (!pending->connection.empty()) {
        send(pending);
        return;
    }
    pending->stage = Stage::Connecting;
    apply(member, member.ledger.acquire(pending->id, pending->deadline, now()));
}

/// Returns why a request that has reached its turn is not sent after all.
std::optional<ResultCode> GroupShard::refusalBeforeSending(const PendingRequest& pending)
{
    const Member& member = *findMember(pending.request.member);
    if (pending.deadline - now() < m_settings.request.minRemaining)
        return ResultCode::DeadlineExceeded;
    // The request may have come from a host that did not know of the withdrawal yet.
    if (m_environment.keyWithdrawn(pending.request.customer, pending.request.keyId))
        return ResultCode::KeyWithdrawn;
    if (continuesTransaction(pending.request.step)) {
        const std::map<std::string, Transaction, std::less<>>::const_iterator it
            = m_transactions.find(pending.request.transaction);
        const bool open
            = it != m_transactions.end() && (it->second.readOnly || m_promotion.primaryTerm() <= it->second.term);
        return open ? std::nullopt : std::optional<ResultCode>(ResultCode::TransactionAborted);
    }
    if (member.status && member.status->leaving)
        return ResultCode::MemberLeaving;
    if (pending.request.readOnly && pending.request.step == TransactionStep::None)
        return canServe(pending) ? std::nullopt : std::optional<ResultCode>(ResultCode::ReplicaBehind);
    if (!primaryUsable())
        return ResultCode::NoPrimary;
    return m_promotion.primary() == pending.request.member ? std::nullopt
                                                           : std::optional<ResultCode>(ResultCode::NotPrimary);
}

void GroupShard::send(const PendingRequestPtr& pending)
{
    const std::optional<ResultCode> refused = refusalBeforeSending(*pending);
    if (refused) {
        finish(pending, *refused);
        return;
    }
    const Member& member = *findMember(pending->request.member);
    const bool primary = pending->request.member == m_promotion.primary();
    if (continuesTransaction(pending->request.step))
        pending->term = m_transactions.find(pending->request.transaction)->second.term;
    else
        pending->term = primary ? m_promotion.primaryTerm() : 0;
    pending->stage = Stage::Running;
    pending->sent = now();
    ++pending->attempts;
    ExecuteRequest call;
    call.connection = pending->connection;
    call.requestId = pending->request.requestId;
    call.term = pending->term;
    call.statements = pending->request.statements;
    call.readOnly = pending->request.readOnly;
    call.step = pending->request.step;
    call.timeLeft = pending->deadline - pending->sent;
    const std::shared_ptr<Database> database = member.database;
    m_effects.emplace_back([self = shared_from_this(), database, call, id = pending->id, attempt = pending->attempts] {
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
            const PendingRequestPtr pending = findRequest(grant->waiter);
            if (!pending || pending->stage != Stage::Connecting) {
                apply(member, member.ledger.release(grant->waiter, grant->connection, true, now()));
                continue;
            }
            pending->connection = grant->connection;
            send(pending);
        } else {
            const PendingRequestPtr pending = findRequest(std::get<ConnectionLedger::Expire>(action).waiter);
            if (pending)
                finish(pending, ResultCode::ConnectionsExhausted);
        }
    }
}

void GroupShard::openConnection(const Member& member)
{
    ++m_counters.connectionsOpened;
    const std::string name = member.config.name;
    const std::shared_ptr<Database> database = member.database;
    m_effects.emplace_back([self = shared_from_this(), name, database] {
        database->openConnection(openTimeout).then([self, name](const pplx::task<std::string>& answer) {
            std::optional<std::string> connection;
            try {
                connection = answer.get();
            } catch (const std::exception&) {
                connection = std::nullopt; // The ledger tries again after a pause.
            }
            const Locked lock(*self);
            Member& opened = *self->findMember(name);
            self->apply(opened,
                connection ? opened.ledger.opened(*connection, self->now()) : opened.ledger.openFailed(self->now()));
        });
    });
}

/// A failed close is not repeated: the database closes an idle connection itself.
void GroupShard::closeConnection(const Member& member, const std::string& connection)
{
    const std::shared_ptr<Database> database = member.database;
    m_effects.emplace_back([database, connection] {
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
    const Locked lock(*this);
    const PendingRequestPtr pending = findRequest(id);
    if (!pending || pending->stage != Stage::Running || pending->attempts != attempt)
        return; // Given up when the primary was replaced.
    releaseSlot(*pending);
    if (outcome.sendState == SendState::NotSent)
        onNotSent(pending, outcome);
    else if (outcome.sendState == SendState::MaybeSent || outcome.code == ResultCode::OutcomeUnknown
        || outcome.code == ResultCode::InternalError)
        onInDoubt(pending, outcome.message);
    else if (outcome.code == ResultCode::Ok)
        onRun(pending, outcome);
    else
        onRefused(pending, outcome);
}

void GroupShard::onRun(const PendingRequestPtr& pending, const ExecuteOutcome& outcome)
{
    const TransactionStep step = pending->request.step;
    pending->results = outcome.results;
    if (step == TransactionStep::Begin) {
        beginTransaction(pending, outcome);
        return;
    }
    if (step == TransactionStep::Continue) {
        const std::map<std::string, Transaction, std::less<>>::iterator it
            = m_transactions.find(pending->request.transaction);
        if (it == m_transactions.end()) {
            finish(pending, ResultCode::TransactionAborted);
            return;
        }
        it->second.busy = false;
        it->second.lastUsed = now();
    } else if (step == TransactionStep::None) {
        releaseConnection(*pending, true);
    } else {
        endTransaction(*pending, !outcome.repeated); // A repeated commit may have left the transaction open.
    }
    const bool writes
        = !pending->request.readOnly && (step == TransactionStep::None || step == TransactionStep::Commit);
    if (writes && outcome.position.position > 0) {
        confirm(pending, pending->request.member, pending->term, outcome);
        return;
    }
    MemberAnswer answer;
    answer.code = ResultCode::Ok;
    answer.runState = RunState::Run;
    answer.results = pending->results;
    answer.transaction = step == TransactionStep::Continue ? pending->request.transaction : std::string();
    answer.position
        = pending->request.readOnly ? readPosition(*pending, outcome.position) : pending->request.minPosition;
    answer.servedByReplica = pending->term == 0;
    finish(pending, std::move(answer));
}

void GroupShard::beginTransaction(const PendingRequestPtr& pending, const ExecuteOutcome& outcome)
{
    Transaction transaction;
    transaction.member = pending->request.member;
    transaction.customer = pending->request.customer;
    transaction.keyId = pending->request.keyId;
    transaction.connection = pending->connection;
    transaction.holder = pending->id;
    transaction.term = pending->term;
    transaction.readOnly = pending->request.readOnly;
    transaction.begun = now();
    transaction.lastUsed = transaction.begun;
    const std::string id = m_settings.host + "." + pending->request.member + "." + randomId();
    m_transactions[id] = std::move(transaction);
    pending->connection.clear(); // Belongs to the transaction now.
    MemberAnswer answer;
    answer.code = ResultCode::Ok;
    answer.runState = RunState::Run;
    answer.results = outcome.results;
    answer.transaction = id;
    answer.position = pending->request.minPosition;
    answer.servedByReplica = pending->term == 0;
    finish(pending, std::move(answer));
}

/// The database proved that it did not run the request.
void GroupShard::onRefused(const PendingRequestPtr& pending, const ExecuteOutcome& outcome)
{
    const bool inTransaction = continuesTransaction(pending->request.step);
    if (outcome.code == ResultCode::NotPrimary)
        probe(pending->request.member);
    if (inTransaction && (outcome.code == ResultCode::QueueFull || outcome.code == ResultCode::DeadlineExceeded)) {
        finish(pending, outcome.code, outcome.message); // The transaction is still open.
        return;
    }
    if (inTransaction) {
        endTransaction(*pending, false);
        const bool failed = outcome.code == ResultCode::StatementFailed;
        finish(pending, failed ? outcome.code : ResultCode::TransactionAborted, outcome.message);
        return;
    }
    const bool reusable = pending->request.step == TransactionStep::None
        && outcome.code != ResultCode::TransactionUnknown && outcome.code != ResultCode::QueueFull;
    releaseConnection(*pending, reusable);
    if (outcome.code == ResultCode::TransactionUnknown)
        retryOr(pending, ResultCode::ConnectionsExhausted, outcome.message); // The connection had been closed.
    else
        finish(pending, outcome.code, outcome.message);
}

void GroupShard::onNotSent(const PendingRequestPtr& pending, const ExecuteOutcome& outcome)
{
    if (continuesTransaction(pending->request.step)) {
        endTransaction(*pending, false);
        finish(pending, ResultCode::TransactionAborted, outcome.message);
        return;
    }
    releaseConnection(*pending, false);
    retryOr(pending, pending->request.readOnly ? ResultCode::PeerUnavailable : ResultCode::NoPrimary, outcome.message);
}

/// The request may have run.
void GroupShard::onInDoubt(const PendingRequestPtr& pending, const std::string& message)
{
    const TransactionStep step = pending->request.step;
    if (step == TransactionStep::Commit && !pending->request.readOnly) {
        pending->inDoubt = true;
        closeForCommit(pending);
        settle(pending);
        return;
    }
    if (continuesTransaction(step)) {
        endTransaction(*pending, false); // Nothing of a transaction takes effect without its commit.
        finish(pending, ResultCode::TransactionAborted, message);
        return;
    }
    releaseConnection(*pending, false);
    if (step == TransactionStep::Begin) {
        finish(pending, ResultCode::TransactionAborted, message);
    } else if (pending->request.readOnly) {
        pending->inDoubt = true;
        retryOr(pending, ResultCode::OutcomeUnknown, message);
    } else {
        pending->inDoubt = true;
        settle(pending);
    }
}

/// Ends the wait for an old primary that may never answer: its writes are settled at the new one.
void GroupShard::onPrimaryReplaced(const std::string& primary, uint64_t term)
{
    std::vector<PendingRequestPtr> running;
    std::vector<PendingRequestPtr> waiting;
    for (const std::pair<const uint64_t, PendingRequestPtr>& entry : m_pendingRequests) {
        const PendingRequest& pending = *entry.second;
        const bool unsent = pending.stage == Stage::Queued || pending.stage == Stage::Connecting;
        if (pending.stage == Stage::Running && pending.term != 0 && pending.term < term)
            running.push_back(entry.second);
        else if (unsent && !pending.request.readOnly && pending.request.member != primary)
            waiting.push_back(entry.second);
    }
    for (const PendingRequestPtr& pending : waiting)
        finish(pending,
            continuesTransaction(pending->request.step) ? ResultCode::TransactionAborted : ResultCode::NotPrimary);
    for (const PendingRequestPtr& pending : running) {
        releaseSlot(*pending);
        if (!pending->request.readOnly) {
            onInDoubt(pending, "the primary was replaced");
            continue;
        }
        endTransaction(*pending, false);
        releaseConnection(*pending, false);
        finish(pending, ResultCode::OutcomeUnknown, "the primary was replaced");
    }
}

/// Sends a request again that is proven not run or read only.
void GroupShard::retryOr(const PendingRequestPtr& pending, ResultCode code, const std::string& message)
{
    const bool timeLeft = pending->deadline - now() > m_settings.request.minRemaining;
    if (pending->attempts < maxAttempts && timeLeft && !refusalBeforeSending(*pending))
        enqueue(pending);
    else
        finish(pending, code, message);
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
    apply(member, member.ledger.release(transaction.holder, transaction.connection, false, now()));
}

/// Ends the transaction of a step. Its connection is closed unless its state is certain.
void GroupShard::endTransaction(const PendingRequest& pending, bool reusable)
{
    if (!reusable) {
        abortTransaction(pending.request.transaction);
        return;
    }
    const std::map<std::string, Transaction, std::less<>>::iterator it
        = m_transactions.find(pending.request.transaction);
    if (it == m_transactions.end())
        return;
    const Transaction transaction = it->second;
    m_transactions.erase(it);
    Member& member = *findMember(transaction.member);
    apply(member, member.ledger.release(transaction.holder, transaction.connection, true, now()));
}

/// Ends what has waited too long.
void GroupShard::sweep(Instant time)
{
    std::vector<std::string> idle;
    for (const std::pair<const std::string, Transaction>& entry : m_transactions) {
        const bool expired = time - entry.second.begun >= m_settings.request.maxDeadline
            || time - entry.second.lastUsed >= maxTransactionIdle
            || m_environment.keyWithdrawn(entry.second.customer, entry.second.keyId);
        if (!entry.second.busy && expired)
            idle.push_back(entry.first);
    }
    for (const std::string& id : idle)
        abortTransaction(id);
    std::vector<PendingRequestPtr> due;
    for (const std::pair<const uint64_t, PendingRequestPtr>& entry : m_pendingRequests) {
        const PendingRequest& pending = *entry.second;
        if (pending.stage == Stage::Settling || (pending.stage == Stage::CatchingUp && pending.catchUpUntil <= time))
            due.push_back(entry.second);
    }
    for (const PendingRequestPtr& pending : due) {
        if (pending->stage == Stage::Settling)
            settle(pending);
        else
            finish(pending, ResultCode::ReplicaBehind);
    }
}

void GroupShard::cancelQueued(std::string_view customer, std::string_view keyId)
{
    const Locked lock(*this);
    std::vector<PendingRequestPtr> waiting;
    for (const std::pair<const uint64_t, PendingRequestPtr>& entry : m_pendingRequests) {
        const PendingRequest& pending = *entry.second;
        const bool unsent = pending.stage == Stage::CatchingUp || pending.stage == Stage::Queued
            || pending.stage == Stage::Connecting;
        const bool sameKey = keyId.empty() || pending.request.keyId == keyId;
        if (pending.request.customer == customer && sameKey && unsent && !pending.inDoubt)
            waiting.push_back(entry.second);
    }
    for (const PendingRequestPtr& pending : waiting)
        finish(pending, ResultCode::KeyWithdrawn);
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

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
    const WorkPtr work = std::make_shared<Work>();
    work->request = std::move(request);
    pplx::task<MemberAnswer> answer(work->done);
    const Locked lock(*this);
    work->id = ++m_lastWork;
    work->arrived = now();
    work->deadline = work->arrived + work->request.timeLeft;
    m_works[work->id] = work;
    admit(work);
    return answer;
}

void GroupShard::admit(const WorkPtr& work)
{
    const MemberRequest& request = work->request;
    if (request.timeLeft < m_settings.request.minRemaining) {
        finish(work, ResultCode::DeadlineTooShort);
        return;
    }
    if (continuesTransaction(request.step)) {
        admitTransactionStep(work);
        return;
    }
    Member* const member = findMember(request.member);
    if (!member || !member->owned)
        finish(work, ResultCode::NotOwner);
    else if (member->status && member->status->leaving)
        finish(work, ResultCode::MemberLeaving);
    else if (request.readOnly && request.step == TransactionStep::None)
        admitRead(work, *member);
    else
        admitWrite(work);
}

void GroupShard::admitWrite(const WorkPtr& work)
{
    if (!primaryUsable())
        finish(work, ResultCode::NoPrimary);
    else if (m_promotion.primary() != work->request.member)
        finish(work, ResultCode::NotPrimary);
    else
        enqueue(work);
}

void GroupShard::admitRead(const WorkPtr& work, Member& member)
{
    if (member.reachable && canServe(*work)) {
        enqueue(work);
        return;
    }
    const std::optional<Duration> estimate = m_router.timeToReach(work->request.member, work->request.minPosition);
    Duration wait = estimate ? *estimate * 2 + defaultCatchUp : defaultCatchUp;
    if (work->request.maxAge) {
        wait = std::max(wait, freshnessWait);
        probeAll();
    }
    if (work->request.waitLimit)
        wait = *work->request.waitLimit;
    if (wait <= Duration::zero() || !member.reachable) {
        finish(work, ResultCode::ReplicaBehind);
        return;
    }
    work->stage = Stage::CatchingUp;
    m_lastProgressNeeded = now();
    work->catchUpUntil = std::min(work->deadline, work->arrived + wait);
}

void GroupShard::admitTransactionStep(const WorkPtr& work)
{
    const std::map<std::string, Transaction, std::less<>>::iterator it = m_transactions.find(work->request.transaction);
    if (it == m_transactions.end() || it->second.customer != work->request.customer) {
        finish(work, ResultCode::TransactionUnknown);
        return;
    }
    if (it->second.busy) {
        finish(work, ResultCode::BadRequest, "a statement of this transaction is still running");
        return;
    }
    it->second.busy = true;
    it->second.lastUsed = now();
    work->request.member = it->second.member;
    work->request.readOnly = it->second.readOnly;
    work->connection = it->second.connection;
    enqueue(work);
}

ReadNeed GroupShard::needOf(const Work& work) const
{
    ReadNeed need;
    need.minPosition = work.request.minPosition;
    need.maxAge = work.request.maxAge;
    need.arrived = work.arrived;
    // The request does not say where it came from. It was sent to the nearest member first, and the owner of a member
    // is in the member's data centre or at least in its region.
    need.dataCentre = m_settings.dataCentre;
    need.region = m_settings.region;
    return need;
}

/// The primary of a term holds every entry confirmed in that term or before, whatever its last status said; and it
/// refuses the read if it is not primary of the term any more.
bool GroupShard::canServe(const Work& work) const
{
    if (work.request.member != m_promotion.primary() || work.request.maxAge)
        return m_router.canServe(work.request.member, needOf(work));
    return work.request.minPosition.term <= m_promotion.primaryTerm();
}

/// Lets reads that have not been sent go to another member, instead of waiting for a connection until their deadlines.
void GroupShard::leaveUnreachable(const std::string& name)
{
    std::vector<WorkPtr> unsent;
    for (const std::pair<const uint64_t, WorkPtr>& entry : m_works) {
        const Work& work = *entry.second;
        const bool waits
            = work.stage == Stage::Queued || work.stage == Stage::Connecting || work.stage == Stage::CatchingUp;
        if (waits && work.request.member == name && work.request.readOnly && !continuesTransaction(work.request.step))
            unsent.push_back(entry.second);
    }
    for (const WorkPtr& work : unsent)
        finish(work, ResultCode::ReplicaBehind, "the member does not answer");
}

void GroupShard::checkCatchingUp(const std::string&)
{
    std::vector<WorkPtr> ready;
    for (const std::pair<const uint64_t, WorkPtr>& entry : m_works) {
        if (entry.second->stage == Stage::CatchingUp && canServe(*entry.second))
            ready.push_back(entry.second);
    }
    for (const WorkPtr& work : ready)
        enqueue(work);
}

void GroupShard::enqueue(const WorkPtr& work)
{
    Member& member = *findMember(work->request.member);
    work->stage = Stage::Queued;
    const FairQueue::Decision decision
        = member.queue->enqueue(work->request.customer, work->request.weight, work->deadline, now());
    if (decision.refusal) {
        finish(work, *decision.refusal);
        return;
    }
    work->ticket = decision.ticket;
    work->started = false;
    member.queuedWork[decision.ticket] = work->id;
    pump(member);
}

void GroupShard::pump(Member& member)
{
    for (const FairQueue::Decision& decision : member.queue->startable(now())) {
        const std::map<FairQueue::Ticket, uint64_t>::iterator it = member.queuedWork.find(decision.ticket);
        const WorkPtr work = it == member.queuedWork.end() ? nullptr : findWork(it->second);
        if (it != member.queuedWork.end())
            member.queuedWork.erase(it);
        if (decision.refusal) {
            if (work) {
                work->ticket.reset();
                finish(work, *decision.refusal);
            }
        } else if (work) {
            work->started = true;
            start(work, member);
        } else {
            member.queue->finished(decision.ticket, Duration::zero(), now());
        }
    }
}

void GroupShard::start(const WorkPtr& work, Member& member)
{
    if (!work->connection.empty()) {
        send(work);
        return;
    }
    work->stage = Stage::Connecting;
    apply(member, member.ledger.acquire(work->id, work->deadline, now()));
}

/// Returns why a request that has reached its turn is not sent after all.
std::optional<ResultCode> GroupShard::refusalBeforeSending(const Work& work)
{
    const Member& member = *findMember(work.request.member);
    if (work.deadline - now() < m_settings.request.minRemaining)
        return ResultCode::DeadlineExceeded;
    // The request may have come from a host that did not know of the withdrawal yet.
    if (m_environment.keyWithdrawn(work.request.customer, work.request.keyId))
        return ResultCode::KeyWithdrawn;
    if (continuesTransaction(work.request.step)) {
        const std::map<std::string, Transaction, std::less<>>::const_iterator it
            = m_transactions.find(work.request.transaction);
        const bool open
            = it != m_transactions.end() && (it->second.readOnly || m_promotion.primaryTerm() <= it->second.term);
        return open ? std::nullopt : std::optional<ResultCode>(ResultCode::TransactionAborted);
    }
    if (member.status && member.status->leaving)
        return ResultCode::MemberLeaving;
    if (work.request.readOnly && work.request.step == TransactionStep::None)
        return canServe(work) ? std::nullopt : std::optional<ResultCode>(ResultCode::ReplicaBehind);
    if (!primaryUsable())
        return ResultCode::NoPrimary;
    return m_promotion.primary() == work.request.member ? std::nullopt
                                                        : std::optional<ResultCode>(ResultCode::NotPrimary);
}

void GroupShard::send(const WorkPtr& work)
{
    const std::optional<ResultCode> refused = refusalBeforeSending(*work);
    if (refused) {
        finish(work, *refused);
        return;
    }
    const Member& member = *findMember(work->request.member);
    const bool primary = work->request.member == m_promotion.primary();
    if (continuesTransaction(work->request.step))
        work->term = m_transactions.find(work->request.transaction)->second.term;
    else
        work->term = primary ? m_promotion.primaryTerm() : 0;
    work->stage = Stage::Running;
    work->sent = now();
    ++work->attempts;
    ExecuteRequest call;
    call.connection = work->connection;
    call.requestId = work->request.requestId;
    call.term = work->term;
    call.statements = work->request.statements;
    call.readOnly = work->request.readOnly;
    call.step = work->request.step;
    call.timeLeft = work->deadline - work->sent;
    const std::shared_ptr<Database> database = member.database;
    m_effects.emplace_back([self = shared_from_this(), database, call, id = work->id, attempt = work->attempts] {
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
            const WorkPtr work = findWork(grant->waiter);
            if (!work || work->stage != Stage::Connecting) {
                apply(member, member.ledger.release(grant->waiter, grant->connection, true, now()));
                continue;
            }
            work->connection = grant->connection;
            send(work);
        } else {
            const WorkPtr work = findWork(std::get<ConnectionLedger::Expire>(action).waiter);
            if (work)
                finish(work, ResultCode::ConnectionsExhausted);
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
    const WorkPtr work = findWork(id);
    if (!work || work->stage != Stage::Running || work->attempts != attempt)
        return; // Given up when the primary was replaced.
    releaseSlot(*work);
    if (outcome.sendState == SendState::NotSent)
        onNotSent(work, outcome);
    else if (outcome.sendState == SendState::MaybeSent || outcome.code == ResultCode::OutcomeUnknown
        || outcome.code == ResultCode::InternalError)
        onInDoubt(work, outcome.message);
    else if (outcome.code == ResultCode::Ok)
        onRun(work, outcome);
    else
        onRefused(work, outcome);
}

void GroupShard::onRun(const WorkPtr& work, const ExecuteOutcome& outcome)
{
    const TransactionStep step = work->request.step;
    work->results = outcome.results;
    if (step == TransactionStep::Begin) {
        beginTransaction(work, outcome);
        return;
    }
    if (step == TransactionStep::Continue) {
        const std::map<std::string, Transaction, std::less<>>::iterator it
            = m_transactions.find(work->request.transaction);
        if (it == m_transactions.end()) {
            finish(work, ResultCode::TransactionAborted);
            return;
        }
        it->second.busy = false;
        it->second.lastUsed = now();
    } else if (step == TransactionStep::None) {
        releaseConnection(*work, true);
    } else {
        endTransaction(*work, !outcome.repeated); // A repeated commit may have left the transaction open.
    }
    const bool writes = !work->request.readOnly && (step == TransactionStep::None || step == TransactionStep::Commit);
    if (writes && outcome.position.position > 0) {
        confirm(work, work->request.member, work->term, outcome);
        return;
    }
    MemberAnswer answer;
    answer.code = ResultCode::Ok;
    answer.runState = RunState::Run;
    answer.results = work->results;
    answer.transaction = step == TransactionStep::Continue ? work->request.transaction : std::string();
    answer.position = work->request.readOnly ? readPosition(*work, outcome.position) : work->request.minPosition;
    answer.servedByReplica = work->term == 0;
    finish(work, std::move(answer));
}

void GroupShard::beginTransaction(const WorkPtr& work, const ExecuteOutcome& outcome)
{
    Transaction transaction;
    transaction.member = work->request.member;
    transaction.customer = work->request.customer;
    transaction.keyId = work->request.keyId;
    transaction.connection = work->connection;
    transaction.holder = work->id;
    transaction.term = work->term;
    transaction.readOnly = work->request.readOnly;
    transaction.begun = now();
    transaction.lastUsed = transaction.begun;
    const std::string id = m_settings.host + "." + work->request.member + "." + randomId();
    m_transactions[id] = std::move(transaction);
    work->connection.clear(); // Belongs to the transaction now.
    MemberAnswer answer;
    answer.code = ResultCode::Ok;
    answer.runState = RunState::Run;
    answer.results = outcome.results;
    answer.transaction = id;
    answer.position = work->request.minPosition;
    answer.servedByReplica = work->term == 0;
    finish(work, std::move(answer));
}

/// The database proved that it did not run the request.
void GroupShard::onRefused(const WorkPtr& work, const ExecuteOutcome& outcome)
{
    const bool inTransaction = continuesTransaction(work->request.step);
    if (outcome.code == ResultCode::NotPrimary)
        probe(work->request.member);
    if (inTransaction && (outcome.code == ResultCode::QueueFull || outcome.code == ResultCode::DeadlineExceeded)) {
        finish(work, outcome.code, outcome.message); // The transaction is still open.
        return;
    }
    if (inTransaction) {
        endTransaction(*work, false);
        const bool failed = outcome.code == ResultCode::StatementFailed;
        finish(work, failed ? outcome.code : ResultCode::TransactionAborted, outcome.message);
        return;
    }
    const bool reusable = work->request.step == TransactionStep::None && outcome.code != ResultCode::TransactionUnknown
        && outcome.code != ResultCode::QueueFull;
    releaseConnection(*work, reusable);
    if (outcome.code == ResultCode::TransactionUnknown)
        retryOr(work, ResultCode::ConnectionsExhausted, outcome.message); // The connection had been closed.
    else
        finish(work, outcome.code, outcome.message);
}

void GroupShard::onNotSent(const WorkPtr& work, const ExecuteOutcome& outcome)
{
    if (continuesTransaction(work->request.step)) {
        endTransaction(*work, false);
        finish(work, ResultCode::TransactionAborted, outcome.message);
        return;
    }
    releaseConnection(*work, false);
    retryOr(work, work->request.readOnly ? ResultCode::PeerUnavailable : ResultCode::NoPrimary, outcome.message);
}

/// The request may have run.
void GroupShard::onInDoubt(const WorkPtr& work, const std::string& message)
{
    const TransactionStep step = work->request.step;
    if (step == TransactionStep::Commit && !work->request.readOnly) {
        work->inDoubt = true;
        closeForCommit(work);
        settle(work);
        return;
    }
    if (continuesTransaction(step)) {
        endTransaction(*work, false); // Nothing of a transaction takes effect without its commit.
        finish(work, ResultCode::TransactionAborted, message);
        return;
    }
    releaseConnection(*work, false);
    if (step == TransactionStep::Begin) {
        finish(work, ResultCode::TransactionAborted, message);
    } else if (work->request.readOnly) {
        work->inDoubt = true;
        retryOr(work, ResultCode::OutcomeUnknown, message);
    } else {
        work->inDoubt = true;
        settle(work);
    }
}

/// Ends the wait for an old primary that may never answer: its writes are settled at the new one.
void GroupShard::onPrimaryReplaced(const std::string& primary, uint64_t term)
{
    std::vector<WorkPtr> running;
    std::vector<WorkPtr> waiting;
    for (const std::pair<const uint64_t, WorkPtr>& entry : m_works) {
        const Work& work = *entry.second;
        const bool unsent = work.stage == Stage::Queued || work.stage == Stage::Connecting;
        if (work.stage == Stage::Running && work.term != 0 && work.term < term)
            running.push_back(entry.second);
        else if (unsent && !work.request.readOnly && work.request.member != primary)
            waiting.push_back(entry.second);
    }
    for (const WorkPtr& work : waiting)
        finish(
            work, continuesTransaction(work->request.step) ? ResultCode::TransactionAborted : ResultCode::NotPrimary);
    for (const WorkPtr& work : running) {
        releaseSlot(*work);
        if (!work->request.readOnly) {
            onInDoubt(work, "the primary was replaced");
            continue;
        }
        endTransaction(*work, false);
        releaseConnection(*work, false);
        finish(work, ResultCode::OutcomeUnknown, "the primary was replaced");
    }
}

/// Sends a request again that is proven not run or read only.
void GroupShard::retryOr(const WorkPtr& work, ResultCode code, const std::string& message)
{
    const bool timeLeft = work->deadline - now() > m_settings.request.minRemaining;
    if (work->attempts < maxAttempts && timeLeft && !refusalBeforeSending(*work))
        enqueue(work);
    else
        finish(work, code, message);
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
void GroupShard::endTransaction(const Work& work, bool reusable)
{
    if (!reusable) {
        abortTransaction(work.request.transaction);
        return;
    }
    const std::map<std::string, Transaction, std::less<>>::iterator it = m_transactions.find(work.request.transaction);
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
    std::vector<WorkPtr> due;
    for (const std::pair<const uint64_t, WorkPtr>& entry : m_works) {
        const Work& work = *entry.second;
        if (work.stage == Stage::Settling || (work.stage == Stage::CatchingUp && work.catchUpUntil <= time))
            due.push_back(entry.second);
    }
    for (const WorkPtr& work : due) {
        if (work->stage == Stage::Settling)
            settle(work);
        else
            finish(work, ResultCode::ReplicaBehind);
    }
}

void GroupShard::cancelQueued(std::string_view customer, std::string_view keyId)
{
    const Locked lock(*this);
    std::vector<WorkPtr> waiting;
    for (const std::pair<const uint64_t, WorkPtr>& entry : m_works) {
        const Work& work = *entry.second;
        const bool unsent
            = work.stage == Stage::CatchingUp || work.stage == Stage::Queued || work.stage == Stage::Connecting;
        const bool sameKey = keyId.empty() || work.request.keyId == keyId;
        if (work.request.customer == customer && sameKey && unsent && !work.inDoubt)
            waiting.push_back(entry.second);
    }
    for (const WorkPtr& work : waiting)
        finish(work, ResultCode::KeyWithdrawn);
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

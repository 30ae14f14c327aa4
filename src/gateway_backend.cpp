#include "gateway.h"
#include <algorithm>

namespace plantainwall {

namespace {

    constexpr std::string_view errorNames[] = { "none", "busy", "failed", "timed_out", "behind", "read_only",
        "misrouted", "connection_limit", "statement_unknown", "other" };
    static_assert(sizeof(errorNames) / sizeof(errorNames[0]) == static_cast<size_t>(BackendError::Count),
        "one entry for each BackendError");

    constexpr std::string_view closeReasonNames[]
        = { "refused", "misrouted", "connection_limit", "lost", "protocol_error", "lender_lost", "not_opened" };
    static_assert(
        sizeof(closeReasonNames) / sizeof(closeReasonNames[0]) == static_cast<size_t>(BackendCloseReason::Count),
        "one entry for each BackendCloseReason");

    constexpr std::string_view storeOutcomeNames[]
        = { "ok", "not_found", "conflict", "history_lost", "refused", "unreachable" };
    static_assert(sizeof(storeOutcomeNames) / sizeof(storeOutcomeNames[0]) == static_cast<size_t>(StoreOutcome::Count),
        "one entry for each StoreOutcome");

    /// Pause before the next connection attempt after a server refused or lost one.
    constexpr Duration reconnectPause = std::chrono::milliseconds(200);

    /// A server that reported no free slot receives no new statement for this long: about half a statement's run time.
    constexpr Duration busyServerPause = std::chrono::milliseconds(15);

    /// Most replies that are requested to prove a transaction; beyond that another connection is cheaper.
    constexpr unsigned maxProofs = 3;

    /// Repeats of a failed read before the caller receives the error.
    constexpr unsigned maxFailedRuns = 2;

    /// A connection is reset before its next use when its prepared statements hold more than this, in bytes. Within a
    /// transaction, which forbids that, this host forgets them.
    constexpr size_t maxPreparedBytes = 256 * 1024;

    bool contains(const std::map<std::string, std::string>& all, const std::map<std::string, std::string>& subset)
    {
        return std::all_of(
            subset.begin(), subset.end(), [&](const auto& value) { return all.count(value.first) != 0; });
    }

} // namespace

std::string_view backendErrorName(BackendError error) { return errorNames[static_cast<size_t>(error)]; }

std::string_view backendCloseReasonName(BackendCloseReason reason)
{
    return closeReasonNames[static_cast<size_t>(reason)];
}

std::string_view storeOutcomeName(StoreOutcome outcome) { return storeOutcomeNames[static_cast<size_t>(outcome)]; }

void GatewayConnection::backendOpened() { gateway.connectionOpened(*this); }

void GatewayConnection::backendReplied(BackendReply reply) { gateway.connectionReplied(*this, std::move(reply)); }

void GatewayConnection::backendClosed(BackendCloseReason reason) { gateway.connectionClosed(*this, reason); }

void Gateway::send(GatewayConnection& connection, CommandRole role, const BackendCommand& command)
{
    const bool changesValues
        = command.kind == BackendCommandKind::SetValue || command.kind == BackendCommandKind::Reset;
    connection.unansweredCommands.push_back({ role, m_clock(), changesValues });
    connection.link->send(command);
}

void Gateway::connectionOpened(GatewayConnection& connection)
{
    connection.open = true;
    connection.usedAt = m_clock();
    connection.server.speed.noteSuccess();
    connection.server.allowance.noteOpened();
    Job* const job = connection.job != 0 ? findJob(connection.job) : nullptr;
    if (job != nullptr)
        run(connection, *job);
    else {
        connection.job = 0;
        connectionIdle(connection);
    }
}

void Gateway::sendSetup(GatewayConnection& connection, const Session& session, const Job& job)
{
    const bool crowded = connection.prepared.bytes() > maxPreparedBytes && connection.session == 0;
    if (!connection.valuesKnown || crowded || !contains(session.values, connection.values)) {
        BackendCommand reset;
        reset.kind = BackendCommandKind::Reset;
        send(connection, CommandRole::Setup, reset);
        connection.values.clear();
        connection.prepared.reset();
        connection.valuesKnown = true;
    }
    for (const auto& [name, value] : session.values) {
        const auto it = connection.values.find(name);
        if (it != connection.values.end() && it->second == value)
            continue;
        BackendCommand set;
        set.kind = BackendCommandKind::SetValue;
        set.name = name;
        set.argument = value;
        send(connection, CommandRole::Setup, set);
        connection.values[name] = value;
        if (connection.session != 0)
            connection.valueChangedInTransaction = true;
    }
    if (job.statement.kind != StatementKind::Execute)
        return;
    const auto it = session.prepared.find(job.statement.name);
    if (it == session.prepared.end() || connection.prepared.find(it->second))
        return;
    // Within a transaction the connection cannot be reset.
    if (connection.prepared.heldBytes() > maxPreparedBytes)
        connection.prepared.forget();
    BackendCommand prepare;
    prepare.kind = BackendCommandKind::Prepare;
    prepare.name = connection.prepared.add(it->second);
    prepare.argument = it->second.shape;
    prepare.writes = it->second.writes;
    send(connection, CommandRole::Setup, prepare);
}

void Gateway::run(GatewayConnection& connection, Job& job)
{
    Session* const session = findSession(job.session);
    if (session == nullptr) {
        connection.job = 0;
        eraseJob(job.number);
        connectionIdle(connection);
        return;
    }
    if (heldBack(connection, job, *session))
        return;
    const Instant now = m_clock();
    connection.statementSent = false;
    job.sentAt = now;
    sendSetup(connection, *session, job);
    const bool readsOnPrimary = !job.inTransaction && !job.writes && job.onPrimary;
    connection.wrapsRead = readsOnPrimary;
    const bool needsCheck = job.writes && !job.inTransaction && now - connection.usedAt > m_settings.validateAfter;
    connection.usedAt = now;
    if (job.opensTransaction || readsOnPrimary) {
        BackendCommand begin;
        begin.kind = job.opensTransaction && session->readOnly && !job.onPrimary ? BackendCommandKind::BeginReadOnly
                                                                                 : BackendCommandKind::Begin;
        if (!job.onPrimary)
            begin.after = job.after;
        send(connection, CommandRole::Begin, begin);
        connection.proofsMissing = 0;
        if (job.opensTransaction && !connection.beginIsProvable())
            sendProofs(connection, 1);
        // The read does not wait for the reply: its rows are used only if the transaction was opened.
        if (readsOnPrimary)
            sendStatement(connection, job);
        return;
    }
    if (needsCheck) {
        // Tests the connection first: a write sent on a broken one would have an unknown outcome.
        BackendCommand check;
        check.kind = BackendCommandKind::Begin;
        send(connection, CommandRole::Check, check);
        check.kind = BackendCommandKind::Rollback;
        send(connection, CommandRole::Setup, check);
        return;
    }
    sendStatement(connection, job);
}

BackendCommand Gateway::commandOf(const Statement& statement, std::string preparedName)
{
    BackendCommand command;
    command.id = statement.id;
    if (statement.kind == StatementKind::Execute) {
        command.kind = BackendCommandKind::Execute;
        command.name = std::move(preparedName);
        command.argument = statement.argument;
    } else
        command.text = statement.text;
    return command;
}

void Gateway::sendStatement(GatewayConnection& connection, Job& job)
{
    const Session* const session = findSession(job.session);
    std::string preparedName;
    if (job.statement.kind == StatementKind::Execute) {
        std::optional<std::string> name;
        if (session != nullptr && session->prepared.count(job.statement.name) != 0)
            name = connection.prepared.find(session->prepared.at(job.statement.name));
        // Without a name the server has refused to prepare the shape since.
        preparedName = name ? *name : connection.prepared.unknown();
    }
    BackendCommand command = commandOf(job.statement, std::move(preparedName));
    if (!job.inTransaction && !job.writes && !job.onPrimary)
        command.after = job.after;
    connection.preparedName = command.name;
    job.sentToServer = true;
    job.sentAt = m_clock();
    const std::optional<PrimaryPositions::Observation> newest = m_primaryPositions[connection.server.service].newest();
    job.primaryBefore = newest ? newest->position : LogPosition();
    noteSent(connection.server);
    connection.statementSent = true;
    send(connection, CommandRole::Statement, command);
    if (!job.inTransaction && !job.writes && job.onPrimary) {
        BackendCommand rollback;
        rollback.kind = BackendCommandKind::Rollback;
        send(connection, CommandRole::Ending, rollback);
    }
}

void Gateway::notePrimary(const GatewayServer& server, const LogPosition& position, Instant requestedAt)
{
    if (m_directory.notePrimary(server.service, server.id, position.term))
        logEvent(LogEvent::PrimaryChanged,
            { { "service", server.service }, { "server", server.id }, { "term", position.term },
                { "position", position.position }, { "source", "answer of the server" } });
    // The position covers what was acknowledged while the server is known to have led.
    const Instant until = m_primaryLeases.until(server.service, server.id);
    if (until != Instant())
        m_primaryPositions[server.service].note(position, std::min(requestedAt, until));
}

// Sets a session value to what it is. Returns false if there is none.
bool Gateway::sendProofs(GatewayConnection& connection, unsigned n)
{
    if (connection.values.empty())
        return false;
    BackendCommand set;
    set.kind = BackendCommandKind::SetValue;
    set.name = connection.values.begin()->first;
    set.argument = connection.values.begin()->second;
    for (unsigned i = 0; i < n; ++i)
        send(connection, CommandRole::Proof, set);
    return true;
}

// A caller's transaction must be open before it is used, which the reply to BEGIN does not show if it may be a copy of
// an earlier one. Further replies that show a transaction do, once they are more than the possible copies.
bool Gateway::requestProofs(GatewayConnection& connection, unsigned needed)
{
    const auto underWay = static_cast<unsigned>(std::count_if(connection.unansweredCommands.begin(),
        connection.unansweredCommands.end(), [](const auto& sent) { return sent.role == CommandRole::Proof; }));
    if (needed > maxProofs || (needed > underWay && !sendProofs(connection, needed - underWay)))
        return false;
    connection.proofsMissing = needed;
    return true;
}

void Gateway::proofReplied(GatewayConnection& connection, const BackendReply& reply)
{
    Job* const job = findJob(connection.job);
    if (connection.proofsMissing > 0 && job != nullptr) {
        const bool older = reply.position < connection.began;
        if (older || reply.error != BackendError::None || reply.state != TransactionState::Open)
            connectionClosed(connection, BackendCloseReason::ProtocolError);
        else if (--connection.proofsMissing == 0)
            transactionOpened(connection, *job);
        return;
    }
    // The job has ended meanwhile.
    const bool abandoned = job == nullptr && connection.session == 0 && connection.unansweredCommands.empty();
    if (abandoned && reply.state != TransactionState::Idle) {
        BackendCommand rollback;
        rollback.kind = BackendCommandKind::Rollback;
        send(connection, CommandRole::Ending, rollback);
    }
}

void Gateway::transactionOpened(GatewayConnection& connection, Job& job)
{
    Session* const session = findSession(job.session);
    job.opensTransaction = false;
    connection.session = job.session;
    connection.valueChangedInTransaction = false;
    session->pinned = &connection;
    sendStatement(connection, job);
}

// An error decides whether a statement is run again. A BEGIN that only proves something is proved by the reply to the
// statement after it as well.
bool Gateway::rejectInDoubt(GatewayConnection& connection, CommandRole role, const BackendReply& reply)
{
    if (reply.lookalikes == 0)
        return false;
    Job* const job = findJob(connection.job);
    const bool decides = role == CommandRole::Begin || role == CommandRole::Statement || role == CommandRole::Check;
    const bool opensTransaction = role == CommandRole::Begin && job != nullptr && job->opensTransaction;
    if (reply.error != BackendError::None)
        return decides;
    if (!opensTransaction || requestProofs(connection, reply.lookalikes))
        return false;
    job->beginInDoubt = true;
    return true;
}

void Gateway::connectionReplied(GatewayConnection& connection, BackendReply reply)
{
    if (connection.unansweredCommands.empty()) {
        connectionClosed(connection, BackendCloseReason::ProtocolError);
        return;
    }
    const GatewayConnection::SentCommand command = connection.unansweredCommands.front();
    // The statement that was sent behind a refused SET or RESET runs under other values than its session's.
    const bool refusedValues = command.role == CommandRole::Setup && command.changesValues && connection.job != 0
        && reply.error != BackendError::None;
    if (refusedValues || rejectInDoubt(connection, command.role, reply)) {
        connectionClosed(connection, BackendCloseReason::ProtocolError);
        return;
    }
    connection.unansweredCommands.pop_front();
    connection.usedAt = m_clock();
    connection.server.speed.noteSuccess();
    if (reply.position != LogPosition() && reply.lookalikes == 0) {
        connection.server.applied = reply.position;
        connection.server.appliedAt = connection.usedAt;
    }
    Job* const job = connection.job != 0 ? findJob(connection.job) : nullptr;
    switch (command.role) {
    case CommandRole::Setup:
    case CommandRole::Ending:
        if (reply.error != BackendError::None) {
            connection.valuesKnown = false;
            connection.prepared.forget();
        }
        if (command.role == CommandRole::Ending && connection.valueChangedInTransaction) {
            connection.valuesKnown = false;
            connection.valueChangedInTransaction = false;
        }
        break;
    case CommandRole::Begin:
    case CommandRole::Check:
        beginReplied(connection, reply, command);
        break;
    case CommandRole::Proof:
        proofReplied(connection, reply);
        break;
    case CommandRole::Statement:
        if (job != nullptr)
            statementReplied(connection, *job, reply, command.sentAt);
        else if (connection.session == 0 && connection.unansweredCommands.empty()
            && reply.state != TransactionState::Idle) {
            BackendCommand rollback;
            rollback.kind = BackendCommandKind::Rollback;
            send(connection, CommandRole::Ending, rollback);
        }
        break;
    case CommandRole::Count:
        break;
    }
    connectionIdle(connection);
}

void Gateway::beginReplied(
    GatewayConnection& connection, BackendReply& reply, const GatewayConnection::SentCommand& command)
{
    const bool check = command.role == CommandRole::Check;
    Job* const job = connection.job != 0 ? findJob(connection.job) : nullptr;
    const bool provesPrimary = check || (job != nullptr && job->onPrimary);
    if (reply.error == BackendError::None)
        connection.began = reply.position;
    if (reply.error == BackendError::None && provesPrimary && reply.lookalikes == 0)
        notePrimary(connection.server, reply.position, command.sentAt);
    if (reply.error == BackendError::ReadOnly)
        m_directory.noteNotPrimary(connection.server.service, connection.server.id, m_clock());
    if (check) {
        if (job == nullptr)
            return;
        if (reply.error == BackendError::None)
            sendStatement(connection, *job);
        else
            requeue(*job, connection, std::string(backendErrorName(reply.error)));
        return;
    }
    const bool failed = reply.error != BackendError::None;
    if (!failed && job != nullptr) {
        if (job->opensTransaction && connection.proofsMissing == 0)
            transactionOpened(connection, *job);
        return;
    }
    if (job != nullptr && connection.statementSent)
        job->mayHaveRun = true;
    const bool open = !failed || reply.state != TransactionState::Idle;
    if (open && connection.unansweredCommands.empty()) {
        BackendCommand rollback;
        rollback.kind = BackendCommandKind::Rollback;
        send(connection, CommandRole::Ending, rollback);
    }
    if (job == nullptr)
        return;
    if (reply.error == BackendError::Busy)
        connection.server.busyUntil = m_clock() + busyServerPause;
    if (reply.error == BackendError::Behind)
        noteLagging(connection.server);
    requeue(*job, connection, std::string(backendErrorName(reply.error)));
}

void Gateway::statementReplied(GatewayConnection& connection, Job& job, BackendReply& reply, Instant sentAt)
{
    const Instant now = m_clock();
    connection.server.speed.noteResponse(std::chrono::duration_cast<Duration>(now - sentAt), now);
    connection.server.load.noteResponse(std::chrono::duration_cast<Duration>(now - sentAt), now);
    if (reply.error == BackendError::None && reply.signature.empty())
        reply.error = BackendError::Other; // Reported as success, but without proof of execution.
    if (reply.error != BackendError::None) {
        connection.failed = reply.position;
        statementFailed(connection, job, reply);
        return;
    }
    Session* const session = findSession(job.session);
    const bool commit = job.statement.kind == StatementKind::Commit;
    const bool needsTransaction = connection.wrapsRead || (job.inTransaction && !commit);
    if (needsTransaction && reply.state != TransactionState::Open) {
        // The BEGIN before it failed, so that another server may lead.
        connectionClosed(connection, BackendCloseReason::ProtocolError);
        return;
    }
    if (connection.wrapsRead)
        notePrimary(connection.server, reply.position, sentAt);
    if (job.writes || (commit && session != nullptr && session->wrote)) {
        if (!job.inTransaction || commit) {
            const std::string& service = connection.server.service;
            const bool revoked
                = m_revocations.withholdsCommits(service, connection.server.id, reply.position.term, now);
            const bool outOfContact = m_fleetContact.isLost(now);
            if (revoked || outOfContact || m_primaryLeases.until(service, connection.server.id) < now) {
                // Another server may lead since, or soon, whose log lacks this commit.
                logEvent(LogEvent::CommitNotConfirmed,
                    { { "request", job.statement.id }, { "service", service }, { "server", connection.server.id },
                        { "term", reply.position.term }, { "position", reply.position.position },
                        { "revoked", revoked }, { "out_of_contact", outOfContact } });
                connectionClosed(connection, BackendCloseReason::Lost);
                return;
            }
            notePrimary(connection.server, reply.position, sentAt);
            commitAcknowledged(service, job.primaryBefore, reply.position);
            if (session != nullptr)
                session->ownPosition = laterPosition(session->ownPosition, reply.position);
        }
    }
    logEvent(LogEvent::StatementServed,
        { { "request", job.statement.id }, { "session", job.session }, { "service", job.route.service },
            { "server", connection.server.id }, { "lender", connection.lender() }, { "primary", job.onPrimary },
            { "attempt", job.attempts + 1 },
            { "ms", std::chrono::duration_cast<Duration>(now - job.arrived).count() / 1000 },
            { "server_ms", std::chrono::duration_cast<Duration>(now - sentAt).count() / 1000 },
            { "term", reply.position.term }, { "position", reply.position.position },
            { "after_position", job.after ? job.after->position : 0 }, { "configuration", m_configuration->version },
            { "prepared", connection.preparedName } });
    m_metrics.count(job.onPrimary ? MetricCounter::ReadsByPrimary : MetricCounter::ReadsByReplica);
    if (job.after)
        connection.server.laggingReplies = 0;
    if (commit && session != nullptr) {
        session->pinned = nullptr;
        session->state = TransactionState::Idle;
        connection.session = 0;
        if (connection.valueChangedInTransaction) {
            connection.valuesKnown = false;
            connection.valueChangedInTransaction = false;
        }
    }
    connection.job = 0;
    StatementAnswer result;
    result.rows = std::move(reply.rows);
    result.signature = std::move(reply.signature);
    result.position = reply.position;
    finish(job, std::move(result));
}

void Gateway::statementFailed(GatewayConnection& connection, Job& job, BackendReply& reply)
{
    const std::string cause
        = std::string(backendErrorName(reply.error)) + (reply.detail.empty() ? "" : " " + reply.detail);
    if (reply.error == BackendError::StatementUnknown)
        connection.prepared.forget();
    if (reply.error == BackendError::Busy)
        connection.server.busyUntil = m_clock() + busyServerPause;
    if (reply.error == BackendError::Behind)
        noteLagging(connection.server);
    if (reply.error == BackendError::ReadOnly)
        m_directory.noteNotPrimary(connection.server.service, connection.server.id, m_clock());
    Session* const session = findSession(job.session);
    if (job.inTransaction) {
        const bool resend = reply.error == BackendError::Busy || reply.error == BackendError::StatementUnknown;
        if (resend && reply.state == TransactionState::Open && m_clock() + m_settings.busyRetryDelay < job.timeoutAt) {
            job.resendAt = m_clock() + m_settings.busyRetryDelay;
            return;
        }
        connection.job = 0;
        const bool mayHaveRun = reply.error == BackendError::Failed || reply.error == BackendError::TimedOut
            || reply.error == BackendError::Other;
        const bool outcomeUnknown
            = job.statement.kind == StatementKind::Commit && mayHaveRun && session != nullptr && session->wrote;
        if (session != nullptr)
            failTransaction(
                *session, job, outcomeUnknown ? ResultCode::OutcomeUnknown : ResultCode::TransactionAborted, cause);
        return;
    }
    switch (reply.error) {
    case BackendError::Busy:
    case BackendError::Behind:
    case BackendError::ReadOnly:
    case BackendError::StatementUnknown:
        requeue(job, connection, cause);
        return;
    case BackendError::Failed:
    case BackendError::TimedOut:
        job.mayHaveRun = true;
        if (!job.writes && job.attempts < maxFailedRuns) {
            requeue(job, connection, cause);
            return;
        }
        break;
    default:
        break;
    }
    connection.job = 0;
    const ResultCode code
        = reply.error == BackendError::TimedOut ? ResultCode::StatementTimeout : ResultCode::BackendFailure;
    logEvent(LogEvent::StatementFailed,
        { { "request", job.statement.id }, { "session", job.session }, { "service", job.route.service },
            { "server", connection.server.id }, { "lender", connection.lender() },
            { "code", resultCodeInfo(code).name }, { "reason", cause }, { "attempt", job.attempts + 1 } });
    StatementAnswer result;
    result.code = code;
    result.detail = reply.detail;
    finish(job, std::move(result));
}

void Gateway::connectionIdle(GatewayConnection& connection)
{
    if (!connection.idle())
        return;
    const ServerEntry* const entry = m_directory.find(connection.server.id);
    const bool leaving = entry == nullptr || isEvacuated(connection.server)
        || (connection.server.drainingSince && primaryOf(connection.server.service) != connection.server.id);
    if (leaving)
        dropConnection(connection);
    dispatchQueued();
}

void Gateway::dropConnection(GatewayConnection& connection)
{
    std::list<std::unique_ptr<GatewayConnection>>& connections = connection.server.connections;
    const auto it = std::find_if(
        connections.begin(), connections.end(), [&](const auto& other) { return other.get() == &connection; });
    if (it == connections.end())
        return;
    connection.link.reset();
    connection.open = false;
    endOwnChoice(connection);
    // Functions further up the stack may still use the connection.
    m_discarded.push_back(std::move(*it));
    connections.erase(it);
}

void Gateway::connectionClosed(GatewayConnection& connection, BackendCloseReason reason)
{
    const Instant now = m_clock();
    GatewayServer& server = connection.server;
    const bool inUse = connection.job != 0 || connection.session != 0 || !connection.open;
    if (inUse)
        logEvent(LogEvent::ServerConnectionLost,
            { { "service", server.service }, { "server", server.id }, { "reason", backendCloseReasonName(reason) },
                { "opened", connection.open }, { "unanswered", connection.unansweredCommands.size() } });
    if (reason == BackendCloseReason::ConnectionLimit)
        server.allowance.noteRefused(now);
    else if (reason != BackendCloseReason::LenderLost && (!connection.open || reason == BackendCloseReason::Lost)) {
        if (inUse)
            server.speed.noteFailure(now);
        server.retryConnectAt = now + reconnectPause;
    }
    Job* const job = connection.job != 0 ? findJob(connection.job) : nullptr;
    Session* const session = connection.session != 0 ? findSession(connection.session) : nullptr;
    dropConnection(connection);
    connection.job = 0;
    if (job != nullptr)
        jobConnectionLost(connection, *job, reason);
    else if (session != nullptr && session->pinned == &connection) {
        session->pinned = nullptr;
        session->state = TransactionState::Failed;
        if (session->sink == nullptr)
            m_sessions.erase(session->number);
    }
    dispatchQueued();
}

void Gateway::jobConnectionLost(GatewayConnection& connection, Job& job, BackendCloseReason reason)
{
    const std::string cause(backendCloseReasonName(reason));
    Session* const session = findSession(job.session);
    if (job.inTransaction && !job.opensTransaction) {
        const bool commit = job.statement.kind == StatementKind::Commit && connection.statementSent;
        if (session != nullptr) {
            session->pinned = nullptr;
            failTransaction(*session, job,
                commit && session->wrote ? ResultCode::OutcomeUnknown : ResultCode::TransactionAborted,
                "connection " + cause);
        }
        return;
    }
    if (!job.writes || !connection.statementSent) {
        job.mayHaveRun = job.mayHaveRun || connection.statementSent;
        requeue(job, connection, "connection " + cause);
        return;
    }
    logEvent(LogEvent::WriteOutcomeUnknown,
        { { "request", job.statement.id }, { "session", job.session }, { "service", job.route.service },
            { "server", connection.server.id }, { "lender", connection.lender() },
            { "code", resultCodeInfo(ResultCode::OutcomeUnknown).name }, { "reason", "connection " + cause },
            { "waited_ms", std::chrono::duration_cast<Duration>(m_clock() - job.sentAt).count() / 1000 } });
    StatementAnswer result;
    result.code = ResultCode::OutcomeUnknown;
    result.detail = "the write may have taken effect";
    finish(job, std::move(result));
}

} // namespace plantainwall

#include "gateway.h"
#include <algorithm>

namespace plantainwall {

namespace {

    /// Retry advice while no primary is known: a change of primary takes about this long.
    constexpr Duration primaryRetryAfter = std::chrono::seconds(1);

    /// Minimum retry advice for a caller over its quota: about one tick of its bucket.
    constexpr Duration quotaRetryAfter = std::chrono::milliseconds(500);

    /// Memory of a session value or a prepared name beside its texts, in bytes.
    constexpr size_t stateEntryBytes = 160;

    constexpr const char* tooLongForServers = "the statement is too long to be sent to a server";

    /// Returns the command that leaves a value or a prepared statement on a connection.
    BackendCommand setupCommand(const Statement& statement)
    {
        BackendCommand command;
        const bool sets = statement.kind == StatementKind::SetValue;
        command.kind = sets ? BackendCommandKind::SetValue : BackendCommandKind::Prepare;
        command.name = sets ? statement.name : PreparedNames::longest();
        command.argument = statement.argument;
        command.writes = statement.writes;
        return command;
    }

} // namespace

ResultCode Gateway::openSession(CallerSink& sink, const std::string& database, const std::string& key, uint64_t& number)
{
    if (m_configuration == nullptr)
        return ResultCode::ConfigurationMissing;
    if (m_sessions.size() + m_settings.reservedDescriptors >= m_settings.maxDescriptors)
        return ResultCode::TooManyConnections;
    Session session;
    session.number = m_nextNumber++;
    session.sink = &sink;
    session.database = database;
    session.key = key;
    session.lastStatement = m_clock();
    const GatewayRoute* const route = routeOf(session);
    std::string customer;
    const ResultCode code = route == nullptr ? ResultCode::GroupUnknown : authorize(session, *route, customer);
    if (code != ResultCode::Ok) {
        logEvent(LogEvent::SessionRefused,
            { { "database", database }, { "code", resultCodeInfo(code).name },
                { "configuration", m_configuration->version } });
        return code;
    }
    number = session.number;
    m_sessions.emplace(number, std::move(session));
    return ResultCode::Ok;
}

void Gateway::closeSession(uint64_t number)
{
    Session* const session = findSession(number);
    if (session == nullptr)
        return;
    session->sink = nullptr;
    Job* const job = session->job != 0 ? findJob(session->job) : nullptr;
    if (job != nullptr && job->inTransaction && job->running > 0) {
        // A commit that was sent is left to complete; anything else is rolled back when its answer arrives.
        return;
    }
    if (job != nullptr)
        eraseJob(job->number);
    releasePinned(*session);
    m_sessions.erase(number);
}

const GatewayRoute* Gateway::routeOf(const Session& session) const
{
    const auto it = m_configuration->routes.find(session.database);
    return it == m_configuration->routes.end() ? nullptr : &it->second;
}

const std::string* Gateway::customerOf(const Session& session) const
{
    if (m_configuration == nullptr)
        return nullptr;
    const auto it = m_configuration->customerByKey.find(session.key);
    return it == m_configuration->customerByKey.end() ? nullptr : &it->second;
}

ResultCode Gateway::authorize(const Session& session, const GatewayRoute& route, std::string& customer) const
{
    const std::string* const customerOfKey = customerOf(session);
    if (customerOfKey != nullptr)
        customer = *customerOfKey;
    else if (!route.open)
        return ResultCode::KeyInvalid;
    return ResultCode::Ok;
}

void Gateway::answer(Session& session, const Statement& statement, StatementAnswer result)
{
    session.lastStatement = m_clock();
    result.state = session.state;
    if (session.sink != nullptr)
        session.sink->answer(statement, result);
}

void Gateway::refuse(
    Session& session, const Statement& statement, ResultCode code, const std::string& detail, Duration retryAfter)
{
    const std::string* const customer = customerOf(session);
    const GatewayRoute* const route = routeOf(session);
    logEvent(LogEvent::StatementRefused,
        { { "request", statement.id }, { "session", session.number }, { "database", session.database },
            { "service", route != nullptr ? route->service : std::string() },
            { "customer", customer != nullptr ? *customer : std::string() }, { "code", resultCodeInfo(code).name },
            { "reason", detail }, { "retry_after_ms", retryAfter.count() / 1000 },
            { "configuration", m_configuration ? m_configuration->version : 0 } });
    m_metrics.countAnswer(code, Duration(0));
    StatementAnswer result;
    result.code = code;
    result.detail = detail;
    result.retryAfter = retryAfter;
    answer(session, statement, std::move(result));
}

std::string_view Gateway::customerOfSession(uint64_t number) const
{
    const Session* const session = findSession(number);
    const std::string* const customer = session != nullptr ? customerOf(*session) : nullptr;
    return customer != nullptr ? std::string_view(*customer) : std::string_view();
}

void Gateway::refuseMessage(
    uint64_t number, const Statement& statement, ResultCode code, const std::string& detail, Duration retryAfter)
{
    Session* const session = findSession(number);
    if (session != nullptr)
        session->statementExpected = false;
    if (session == nullptr || session->job != 0 || session->quotaRequest != 0)
        return;
    if (code == ResultCode::QueueFull)
        refuseForMemory(*session, statement, detail, retryAfter);
    else
        refuse(*session, statement, code, detail, retryAfter);
}

void Gateway::refuseForMemory(
    Session& session, const Statement& statement, const std::string& detail, Duration retryAfter)
{
    if (session.state != TransactionState::Open) {
        refuse(session, statement, ResultCode::QueueFull, detail, retryAfter);
        return;
    }
    // QueueFull says that nothing was run, which would not be so if the transaction could still be committed.
    releasePinned(session);
    session.state = TransactionState::Failed;
    refuse(session, statement, ResultCode::TransactionAborted, detail, retryAfter);
}

bool Gateway::statementWrites(const Session& session, const Statement& statement) const
{
    if (statement.kind != StatementKind::Execute)
        return statement.kind == StatementKind::Write;
    const auto it = session.prepared.find(statement.name);
    return it != session.prepared.end() && it->second.writes;
}

bool Gateway::resizeState(Session& session, const Statement& statement, size_t removed, size_t added)
{
    const size_t bytes = session.stateBytes - removed + added;
    if (bytes == session.stateBytes)
        return true;
    const ResultCode code = session.sink != nullptr ? session.sink->keepState(bytes) : ResultCode::Ok;
    if (code == ResultCode::Ok) {
        session.stateBytes = bytes;
        return true;
    }
    if (code == ResultCode::QueueFull)
        refuseForMemory(session, statement, "no memory for session values now", defaultRetryAfter);
    else
        refuse(session, statement, code, "the session's values and prepared names are too large");
    return false;
}

bool Gateway::executeLocally(Session& session, const Statement& statement)
{
    const auto bytesOf = [&](const std::string& text) { return stateEntryBytes + statement.name.size() + text.size(); };
    const bool setup = statement.kind == StatementKind::SetValue || statement.kind == StatementKind::Prepare;
    if (setup && !m_connector.carries(setupCommand(statement))) {
        refuse(session, statement, ResultCode::RequestTooLarge, tooLongForServers);
        return true;
    }
    switch (statement.kind) {
    case StatementKind::SetValue: {
        const auto it = session.values.find(statement.name);
        const bool known = it != session.values.end();
        if (!resizeState(session, statement, known ? bytesOf(it->second) : 0, bytesOf(statement.argument)))
            return true;
        if (known)
            it->second = statement.argument;
        else
            session.values.emplace(statement.name, statement.argument);
        break;
    }
    case StatementKind::Prepare: {
        const auto it = session.prepared.find(statement.name);
        const size_t former = it != session.prepared.end() ? bytesOf(it->second.shape) : 0;
        if (!resizeState(session, statement, former, bytesOf(statement.argument)))
            return true;
        session.prepared[statement.name] = { statement.argument, statement.writes };
        break;
    }
    case StatementKind::Deallocate: {
        const auto it = session.prepared.find(statement.name);
        if (it == session.prepared.end()) {
            refuse(session, statement, ResultCode::StatementUnknown, "no such prepared statement");
            return true;
        }
        resizeState(session, statement, bytesOf(it->second.shape), 0);
        session.prepared.erase(it);
        break;
    }
    default:
        return false;
    }
    answer(session, statement, {});
    return true;
}

void Gateway::expectStatement(uint64_t number)
{
    Session* const session = findSession(number);
    if (session != nullptr)
        session->statementExpected = true;
}

void Gateway::execute(uint64_t number, Statement statement)
{
    Session* const session = findSession(number);
    if (session != nullptr)
        session->statementExpected = false;
    if (session == nullptr || session->job != 0 || session->quotaRequest != 0)
        return;
    session->lastStatement = m_clock();
    if (statement.kind == StatementKind::Malformed) {
        refuse(*session, statement, ResultCode::BadRequest, "unknown or incomplete statement");
        return;
    }
    if (session->state == TransactionState::Failed) {
        if (statement.kind == StatementKind::Rollback || statement.kind == StatementKind::Commit)
            endTransaction(*session, statement);
        else
            refuse(*session, statement, ResultCode::BadRequest, "the transaction has failed; roll it back");
        return;
    }
    const GatewayRoute* const route = routeOf(*session);
    std::string customer;
    const ResultCode code = route == nullptr
        ? (session->state == TransactionState::Open ? ResultCode::Ok : ResultCode::GroupUnknown)
        : authorize(*session, *route, customer);
    if (code != ResultCode::Ok) {
        releasePinned(*session);
        session->state = TransactionState::Idle;
        refuse(*session, statement, code, "not allowed by the configuration");
        if (code == ResultCode::KeyInvalid && session->sink != nullptr)
            session->sink->close();
        return;
    }
    // The connection of an open transaction is the former customer's.
    const bool moved = session->state == TransactionState::Open && route != nullptr && customer != session->customer;
    if (moved && statement.kind != StatementKind::Rollback) {
        releasePinned(*session);
        session->state = statement.kind == StatementKind::Commit ? TransactionState::Idle : TransactionState::Failed;
        refuse(*session, statement, ResultCode::TransactionAborted, "the key belongs to another customer now");
        return;
    }
    if (executeLocally(*session, statement))
        return;
    if (statement.kind == StatementKind::Execute && session->prepared.count(statement.name) == 0) {
        refuse(*session, statement, ResultCode::StatementUnknown, "no such prepared statement");
        return;
    }
    if (!m_connector.carries(commandOf(statement, PreparedNames::longest()))) {
        refuse(*session, statement, ResultCode::RequestTooLarge, tooLongForServers);
        return;
    }
    const bool begins = statement.kind == StatementKind::Begin || statement.kind == StatementKind::BeginReadOnly;
    const bool ends = statement.kind == StatementKind::Commit || statement.kind == StatementKind::Rollback;
    const bool open = session->state == TransactionState::Open;
    if ((begins && open) || (ends && !open)) {
        refuse(*session, statement, ResultCode::BadRequest, open ? "a transaction is open" : "no transaction is open");
        return;
    }
    if (!open) {
        session->route = *route;
        session->customer = customer;
        if (!customer.empty()) {
            const uint64_t quotaRequest = m_nextNumber++;
            session->quotaRequest = quotaRequest;
            m_quota.requestToken(customer,
                [this, number, quotaRequest, statement = std::move(statement)](
                    QuotaBuckets::Verdict verdict) { quotaAnswered(number, quotaRequest, statement, verdict); });
            return;
        }
    }
    startStatement(*session, std::move(statement));
}

void Gateway::quotaAnswered(uint64_t number, uint64_t quotaRequest, Statement statement, QuotaBuckets::Verdict verdict)
{
    Session* const session = findSession(number);
    if (session == nullptr || session->quotaRequest != quotaRequest)
        return;
    session->quotaRequest = 0;
    if (!verdict.admitted) {
        refuse(*session, statement, ResultCode::RateExceeded, "rate of " + session->customer + " is used up",
            std::max(verdict.retryAfter, quotaRetryAfter));
        return;
    }
    startStatement(*session, std::move(statement));
}

void Gateway::startStatement(Session& session, Statement statement)
{
    const bool begins = statement.kind == StatementKind::Begin || statement.kind == StatementKind::BeginReadOnly;
    const bool emptyCommit
        = statement.kind == StatementKind::Commit && session.pinned == nullptr && !session.wrote && session.readOnly;
    if (begins)
        beginTransaction(session, statement);
    else if (statement.kind == StatementKind::Rollback || emptyCommit)
        endTransaction(session, statement);
    else if (session.state == TransactionState::Open)
        runInTransaction(session, std::move(statement));
    else
        runOutsideTransaction(session, std::move(statement));
}

void Gateway::beginTransaction(Session& session, const Statement& statement)
{
    session.readOnly = statement.kind == StatementKind::BeginReadOnly;
    if (refuseBegin(session, statement))
        return;
    session.wrote = false;
    session.began = m_clock();
    session.state = TransactionState::Open;
    answer(session, statement, {});
}

void Gateway::endTransaction(Session& session, const Statement& statement)
{
    const bool failed = session.state == TransactionState::Failed;
    releasePinned(session);
    session.state = TransactionState::Idle;
    if (failed && statement.kind == StatementKind::Commit) {
        refuse(session, statement, ResultCode::TransactionAborted, "the transaction had failed and was rolled back");
        return;
    }
    answer(session, statement, {});
}

void Gateway::releasePinned(Session& session)
{
    GatewayConnection* const connection = session.pinned;
    session.pinned = nullptr;
    if (connection == nullptr)
        return;
    connection->session = 0;
    if (!connection->open || !connection->unansweredCommands.empty() || isEvacuated(connection->server)) {
        dropConnection(*connection);
        return;
    }
    BackendCommand rollback;
    rollback.kind = BackendCommandKind::Rollback;
    send(*connection, CommandRole::Ending, rollback);
}

Gateway::Job& Gateway::addJob(
    Session& session, Statement statement, const GatewayRoute& route, const std::string& customer)
{
    const uint64_t number = m_nextNumber++;
    Job& job = m_jobs[number];
    job.number = number;
    job.session = session.number;
    job.arrived = m_clock();
    job.freshnessTime = job.arrived;
    job.route = route;
    job.customer = customer;
    job.timeoutAt = job.arrived + route.statementTimeout;
    job.writes = statementWrites(session, statement);
    job.statement = std::move(statement);
    session.job = number;
    return job;
}

void Gateway::runOutsideTransaction(Session& session, Statement statement)
{
    Job& job = addJob(session, std::move(statement), session.route, session.customer);
    job.needsPrimary = job.writes || job.route.consistency == ReadConsistency::Primary;
    if (!job.needsPrimary) {
        // A replica has to be told a position, which may make the command too long; the primary does not.
        BackendCommand command = commandOf(job.statement, PreparedNames::longest());
        command.after = LogPosition { maxLogNumber, maxLogNumber };
        job.needsPrimary = !m_connector.carries(command);
    }
    dispatch(job);
}

void Gateway::runInTransaction(Session& session, Statement statement)
{
    Job& job = addJob(session, std::move(statement), session.route, session.customer);
    job.inTransaction = true;
    job.freshnessTime = session.began;
    session.wrote = session.wrote || job.writes;
    if (session.pinned != nullptr) {
        GatewayConnection& connection = *session.pinned;
        const bool commits = job.statement.kind == StatementKind::Commit && session.wrote;
        if ((job.writes || commits) && m_fleetContact.isLost(m_clock())) {
            failTransaction(session, job, ResultCode::TransactionAborted,
                "this host reaches neither the other hosts nor the store");
            return;
        }
        if ((job.writes || commits) && isRevoked(connection.server.service, connection.server.id)) {
            failTransaction(session, job, ResultCode::TransactionAborted, "the primary is being replaced");
            return;
        }
        connection.job = job.number;
        job.running = 1;
        run(connection, job);
        return;
    }
    job.opensTransaction = true;
    job.needsPrimary = !session.readOnly || job.route.consistency == ReadConsistency::Primary;
    dispatch(job);
}

void Gateway::countAnswer(const Job& job, ResultCode code)
{
    constexpr MetricHistogram histograms[] = { MetricHistogram::PrimaryStatements,
        MetricHistogram::BoundedStalenessStatements, MetricHistogram::ReadYourWritesStatements };
    static_assert(std::size(histograms) == static_cast<size_t>(ReadConsistency::Count), "one for each consistency");
    const Duration took = std::chrono::duration_cast<Duration>(m_clock() - job.arrived);
    m_metrics.countAnswer(code, took);
    m_metrics.observe(histograms[static_cast<size_t>(job.route.consistency)], took);
}

void Gateway::finish(Job& job, StatementAnswer result)
{
    Session* const session = findSession(job.session);
    const Statement statement = job.statement;
    const ResultCode code = result.code;
    countAnswer(job, code);
    eraseJob(job.number);
    if (session == nullptr)
        return;
    if (session->sink == nullptr) {
        releasePinned(*session);
        m_sessions.erase(session->number);
        return;
    }
    answer(*session, statement, std::move(result));
}

void Gateway::failTransaction(Session& session, const Job& failed, ResultCode code, const std::string& detail)
{
    const Statement statement = failed.statement;
    logEvent(LogEvent::TransactionFailed,
        { { "request", statement.id }, { "session", session.number }, { "service", failed.route.service },
            { "server", session.pinned != nullptr ? session.pinned->server.id : "" },
            { "code", resultCodeInfo(code).name }, { "reason", detail } });
    countAnswer(failed, code);
    eraseJob(failed.number);
    releasePinned(session);
    session.state = TransactionState::Failed;
    if (session.sink == nullptr) {
        m_sessions.erase(session.number);
        return;
    }
    StatementAnswer result;
    result.code = code;
    result.detail = detail;
    answer(session, statement, std::move(result));
}

void Gateway::eraseJob(uint64_t number)
{
    Job* const job = findJob(number);
    if (job == nullptr)
        return;
    if (job->queued)
        m_queues[job->route.service].erase(number);
    Session* const session = findSession(job->session);
    if (session != nullptr && session->job == number)
        session->job = 0;
    if (job->running > 0) {
        for (auto& [id, server] : m_servers) {
            for (const std::unique_ptr<GatewayConnection>& connection : server.connections) {
                if (connection->job == number)
                    connection->job = 0;
            }
        }
    }
    m_jobs.erase(number);
}

void Gateway::checkSessions()
{
    const Instant now = m_clock();
    const Duration idleLimit = m_configuration ? m_configuration->transactionIdle : Duration(0);
    std::vector<uint64_t> closing;
    for (auto& [number, session] : m_sessions) {
        if (session.sink == nullptr || session.job != 0 || session.quotaRequest != 0 || session.statementExpected)
            continue;
        if (session.state == TransactionState::Open && idleLimit > Duration(0)
            && now - session.lastStatement > idleLimit) {
            logEvent(LogEvent::TransactionFailed,
                { { "session", number }, { "service", session.route.service }, { "code", "transaction_aborted" },
                    { "reason", "idle for longer than the configuration allows" } });
            releasePinned(session);
            session.state = TransactionState::Failed;
        }
        if (!m_drainStarted || now - *m_drainStarted < m_settings.readinessDrainTime)
            continue;
        const bool graceExpired = now - *m_drainStarted > m_settings.drainGrace();
        if (session.state == TransactionState::Idle || graceExpired)
            closing.push_back(number);
    }
    for (const uint64_t number : closing) {
        Session* const session = findSession(number);
        if (session != nullptr && session->sink != nullptr)
            session->sink->close();
    }
}

void Gateway::drain()
{
    if (!m_drainStarted)
        m_drainStarted = m_clock();
}

bool Gateway::accepting() const
{
    return !m_drainStarted || m_clock() - *m_drainStarted < m_settings.readinessDrainTime;
}

bool Gateway::drained() const { return m_drainStarted && !accepting() && m_sessions.empty() && m_jobs.empty(); }

} // namespace plantainwall

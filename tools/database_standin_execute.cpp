// Logical connections, slots and statements of a member.
#include "database_standin_member.h"
#include <algorithm>

namespace plantainwall {

namespace {

    const size_t maxExecutedWrites = 10000;
    const std::chrono::milliseconds idleSweepInterval(25);
    const char* const stepNames[] = { "none", "begin", "continue", "commit", "rollback" };
    static_assert(std::size(stepNames) == static_cast<size_t>(TransactionStep::Count));

    struct ErrorStatus {
        const char* error;
        int status;
    };

    const ErrorStatus errorStatuses[] = {
        { "stale_term", 409 },
        { "not_primary", 409 },
        { "fenced", 409 },
        { "connection_busy", 409 },
        { "unknown_connection", 404 },
        { "transaction_unknown", 404 },
        { "read_only", 403 },
        { "statement_failed", 422 },
        { "slots_busy", 503 },
        { "leaving", 503 },
        { "deadline", 504 },
    };

    Duration milliseconds(double ms) { return Duration(static_cast<int64_t>(ms * 1000)); }

    TransactionStep parseStep(const std::string& name)
    {
        if (name.empty())
            return TransactionStep::None;
        for (size_t i = 0; i < std::size(stepNames); ++i) {
            if (name == stepNames[i])
                return static_cast<TransactionStep>(i);
        }
        throw std::invalid_argument("unknown step \"" + name + "\"");
    }

    void refuse(const Reply& reply, const std::string& error, const std::string& message)
    {
        int status = 400;
        for (const ErrorStatus& known : errorStatuses) {
            if (error == known.error)
                status = known.status;
        }
        reply(status,
            makeObject({ { "error", value::string(error) }, { "run", value::string("not_run") },
                { "message", value::string(message) } }));
    }

    value outcomeObject(const Results& results, LogPosition position)
    {
        return makeObject(
            { { "results", resultsToJson(results) }, { "term", position.term }, { "position", position.position } });
    }

} // namespace

bool Member::Request::hasWrites() const
{
    return std::any_of(statements.begin(), statements.end(), [](const Statement& s) { return s.isWrite(); });
}

/// Only a read outside a transaction that names no term may run on a replica.
bool Member::Request::needsPrimary() const { return step != TransactionStep::None || !readOnly || term != 0; }

void Member::openConnection(const std::string&, const Reply& reply)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_connections.size() >= m_options.connectionLimit) {
        ++m_stats.connectionsRefused;
        reply(503, makeObject({ { "error", value::string("connection_limit") } }));
        return;
    }
    const ConnectionPtr connection = std::make_shared<Connection>();
    connection->id = m_options.name + "-" + std::to_string(m_nextConnection++);
    connection->lastUsed = std::chrono::steady_clock::now();
    m_connections[connection->id] = connection;
    m_stats.connectionsPeak = std::max<uint64_t>(m_stats.connectionsPeak, m_connections.size());
    m_scheduler->schedule(milliseconds(m_options.connectMs), [this, connection, reply] {
        std::lock_guard<std::mutex> timerLock(m_mutex);
        connection->open = true;
        connection->lastUsed = std::chrono::steady_clock::now();
        reply(200, makeObject({ { "connection", value::string(connection->id) } }));
    });
}

void Member::closeNow(const ConnectionPtr& connection)
{
    connection->open = false;
    connection->transaction.reset();
    m_connections.erase(connection->id);
}

void Member::closeConnection(const std::string& id, const Reply& reply)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const std::map<std::string, ConnectionPtr>::const_iterator it = m_connections.find(id);
    if (it == m_connections.end() || !it->second->open) {
        refuse(reply, "unknown_connection", "no connection " + id);
        return;
    }
    const ConnectionPtr connection = it->second;
    closeNow(connection);
    reply(200, makeObject({ { "closed", value::boolean(true) } }));
}

void Member::closeIdle()
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        const SteadyTime now = std::chrono::steady_clock::now();
        std::vector<ConnectionPtr> idle;
        for (const std::pair<const std::string, ConnectionPtr>& item : m_connections) {
            const Connection& connection = *item.second;
            const double limit = connection.transaction ? m_options.transactionIdleMs : m_options.connectionIdleMs;
            if (connection.open && !connection.busy && connection.lastUsed + milliseconds(limit) <= now)
                idle.push_back(item.second);
        }
        for (const ConnectionPtr& connection : idle)
            closeNow(connection);
    }
    m_scheduler->schedule(idleSweepInterval, [this] { closeIdle(); });
}

Member::RequestPtr Member::parseRequest(const ConnectionPtr& connection, const value& body, const Reply& reply) const
{
    RequestPtr request = std::make_shared<Request>();
    request->connection = connection;
    request->id = stringField(body, "request_id");
    request->term = integerField(body, "term");
    request->readOnly = boolField(body, "read_only");
    request->step = parseStep(stringField(body, "step"));
    request->reply = reply;
    if (body.has_field("statements")) {
        for (const value& statement : body.at("statements").as_array())
            request->statements.push_back(parseStatement(statement.as_string()));
    }
    return request;
}

/// Returns the error because of which the member may not run the request now; empty if it may.
std::string Member::refusalOf(const Request& request) const
{
    if (!request.connection->open)
        return "unknown_connection";
    if (m_refuseWork)
        return "leaving";
    if (request.needsPrimary()) {
        if (request.term < m_term)
            return "stale_term";
        if (m_role != MemberRole::Primary)
            return m_role == MemberRole::Fenced ? "fenced" : "not_primary";
        if (request.term != m_term)
            return "stale_term";
    }
    return request.readOnly && request.hasWrites() ? "read_only" : "";
}

/// Answers a write that has already run with its recorded outcome. Returns whether it did.
bool Member::replyRecorded(const Request& request)
{
    if (request.id.empty() || request.readOnly)
        return false;
    if (const LogEntryPtr entry = m_log.outcome(request.id)) {
        value answer = outcomeObject(entry->results, { entry->term, entry->position });
        answer["repeated"] = value::boolean(true);
        request.reply(200, answer);
        return true;
    }
    return false;
}

void Member::execute(const std::string& id, const value& body, const Reply& plainReply)
{
    const Reply reply = [plainReply, requestId = stringField(body, "request_id")](int status, value answer) {
        answer["request_id"] = value::string(requestId);
        plainReply(status, answer);
    };
    std::lock_guard<std::mutex> lock(m_mutex);
    const std::map<std::string, ConnectionPtr>::const_iterator it = m_connections.find(id);
    if (it == m_connections.end() || !it->second->open) {
        refuse(reply, "unknown_connection", "no connection " + id);
        return;
    }
    const ConnectionPtr connection = it->second;
    RequestPtr request;
    try {
        request = parseRequest(connection, body, reply);
    } catch (const std::invalid_argument& e) {
        refuse(reply, "statement_failed", e.what());
        return;
    }
    if (connection->busy) {
        refuse(reply, "connection_busy", "a request is running on connection " + id);
        return;
    }
    const std::string refusal = refusalOf(*request);
    if (!refusal.empty()) {
        refuse(reply, refusal, "term of the member is " + std::to_string(m_term));
        return;
    }
    connection->lastUsed = std::chrono::steady_clock::now();
    if (!replyRecorded(*request))
        queueRequest(request, numberField(body, "time_left_ms", 5000));
}

void Member::queueRequest(const RequestPtr& request, double timeLeftMs)
{
    if (timeLeftMs <= 0) {
        refuse(request->reply, "deadline", "no time is left");
        return;
    }
    request->connection->busy = true;
    m_queue.push_back(request);
    startQueued();
    if (request->started)
        return;
    m_scheduler->schedule(milliseconds(timeLeftMs), [this, request] {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (request->started)
            return;
        m_queue.erase(std::remove(m_queue.begin(), m_queue.end(), request), m_queue.end());
        request->started = true;
        replyRefused(*request, "slots_busy", "no slot became free in time");
    });
}

void Member::startQueued()
{
    while (m_slotsUsed < m_options.slots && !m_queue.empty()) {
        const RequestPtr request = m_queue.front();
        m_queue.pop_front();
        startRequest(request);
    }
}

void Member::startRequest(const RequestPtr& request)
{
    request->started = true;
    ++m_slotsUsed;
    m_stats.slotsPeak = std::max<uint64_t>(m_stats.slotsPeak, m_slotsUsed);
    double duration = m_statementMs * static_cast<double>(std::max<size_t>(1, request->statements.size()));
    for (const Statement& statement : request->statements)
        duration += statement.kind == StatementKind::Sleep ? static_cast<double>(statement.number) : 0;
    if (duration <= 0) {
        finishRequest(request);
        return;
    }
    m_scheduler->schedule(milliseconds(duration), [this, request] {
        std::lock_guard<std::mutex> lock(m_mutex);
        finishRequest(request);
        startQueued();
    });
}

/// Frees the slot and runs the statements, all at once. Whatever refuses them now is certain that nothing has run.
void Member::finishRequest(const RequestPtr& request)
{
    --m_slotsUsed;
    request->connection->busy = false;
    request->connection->lastUsed = std::chrono::steady_clock::now();
    const std::string refusal = refusalOf(*request);
    if (!refusal.empty()) {
        replyRefused(*request, refusal, "term of the member is " + std::to_string(m_term));
        return;
    }
    if (replyRecorded(*request))
        return;
    try {
        runRequest(*request);
    } catch (const std::invalid_argument& e) {
        replyRefused(*request, "statement_failed", e.what());
    }
}

void Member::replyRefused(const Request& request, const std::string& error, const std::string& message)
{
    request.connection->busy = false;
    refuse(request.reply, error, message);
}

void Member::runRequest(const Request& request)
{
    const bool inTransaction = request.connection->transaction != nullptr;
    const bool opens = request.step == TransactionStep::None || request.step == TransactionStep::Begin;
    if (opens && inTransaction) {
        replyRefused(request, "connection_busy", "a transaction is open on the connection");
        return;
    }
    if (!opens && !inTransaction) {
        replyRefused(request, "transaction_unknown", "no transaction is open on the connection");
        return;
    }
    switch (request.step) {
    case TransactionStep::Rollback:
        request.connection->transaction.reset();
        request.reply(200, outcomeObject({}, { m_log.termAt(m_applied), m_applied }));
        return;
    case TransactionStep::Commit:
        runCommit(request);
        return;
    case TransactionStep::Begin:
    case TransactionStep::Continue:
        runInTransaction(request);
        return;
    default:
        commitWrites(request, request.statements, 0);
    }
}

/// Runs statements inside a transaction. A failing statement leaves the transaction as it was before the request.
void Member::runInTransaction(const Request& request)
{
    Transaction* const open = request.connection->transaction.get();
    const LogPosition applied = { m_log.termAt(m_applied), m_applied };
    if (open != nullptr && !request.id.empty() && open->resultsByRequest.count(request.id) > 0) {
        value answer = outcomeObject(open->resultsByRequest[request.id], applied);
        answer["repeated"] = value::boolean(true);
        request.reply(200, answer);
        return;
    }
    std::unique_ptr<Transaction> next = std::make_unique<Transaction>(open != nullptr ? *open : Transaction());
    ValueView view(m_values);
    for (const Statement& statement : next->statements)
        view.run(statement);
    Results results;
    for (const Statement& statement : request.statements) {
        results.push_back(view.run(statement));
        if (statement.isWrite())
            next->statements.push_back(statement);
    }
    if (!request.id.empty())
        next->resultsByRequest[request.id] = results;
    request.connection->transaction = std::move(next);
    countStatements(request, request.statements.size());
    request.reply(200, outcomeObject(results, applied));
}

/// Counts statements that have run. A leaving member may finish its transactions, but should get no new work.
void Member::countStatements(const Request& request, size_t count)
{
    m_stats.statementsRun += count;
    if (!m_leaving || (request.step != TransactionStep::None && request.step != TransactionStep::Begin))
        return;
    m_stats.statementsAfterLeaving += count;
    m_stats.lastStatementAfterLeavingMs
        = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - m_leavingSince).count();
}

/// Counts a real execution of a write, for the last 10000 request ids.
void Member::countExecuted(const std::string& requestId)
{
    if (requestId.empty() || ++m_stats.executedWrites[requestId] > 1)
        return;
    m_stats.executedOrder.push_back(requestId);
    if (m_stats.executedOrder.size() <= maxExecutedWrites)
        return;
    m_stats.executedWrites.erase(m_stats.executedOrder.front());
    m_stats.executedOrder.pop_front();
}

/// Runs the buffered writes again on the current state, so that no update of another transaction is lost.
void Member::runCommit(const Request& request)
{
    std::vector<Statement> statements = request.connection->transaction->statements;
    const size_t buffered = statements.size();
    statements.insert(statements.end(), request.statements.begin(), request.statements.end());
    request.connection->transaction.reset();
    commitWrites(request, statements, buffered);
}

/// Runs statements and appends their writes as one entry. The answer holds the results from firstResult on.
void Member::commitWrites(const Request& request, const std::vector<Statement>& statements, size_t firstResult)
{
    ValueView view(m_values);
    Results results;
    for (size_t i = 0; i < statements.size(); ++i) {
        const std::optional<std::string> result = view.run(statements[i]);
        if (i >= firstResult)
            results.push_back(result);
    }
    countStatements(request, results.size());
    std::vector<Write> writes = view.writes();
    if (writes.empty()) {
        request.reply(200, outcomeObject(results, { m_log.termAt(m_applied), m_applied }));
        return;
    }
    countExecuted(request.id);
    appendEntry(request.id, std::move(writes), results);
    request.reply(200, outcomeObject(results, m_log.last()));
}

void Member::outcome(const std::string& requestId, const Reply& reply)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const LogEntryPtr entry = m_log.outcome(requestId);
    value answer = entry ? outcomeObject(entry->results, { entry->term, entry->position }) : value::object();
    answer["found"] = value::boolean(entry != nullptr);
    answer["member_term"] = value::number(m_term);
    answer["member_role"] = statusObject().at("role");
    reply(200, answer);
}

} // namespace plantainwall

#include "database_standin_member.h"
#include <algorithm>

namespace plantainwall {

namespace {

    const std::chrono::milliseconds idleSweepInterval(25);
    const std::chrono::milliseconds heartbeatInterval(200);
    const size_t maxBatchEntries = 200;
    const size_t maxValuesPerHeader = 64;
    const char* const roleNames[] = { "primary", "replica", "fenced" };
    static_assert(std::size(roleNames) == static_cast<size_t>(MemberRole::Count));

    double elapsedMs(SteadyTime since)
    {
        return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - since).count();
    }

    Duration milliseconds(double ms) { return Duration(static_cast<int64_t>(ms * 1000)); }

    value errorObject(const char* error) { return makeObject({ { "error", value::string(error) } }); }

} // namespace

value resultsToJson(const Results& results)
{
    std::vector<value> items;
    items.reserve(results.size());
    for (const std::optional<std::string>& result : results)
        items.push_back(optionalValue(result));
    return value::array(items);
}

std::shared_ptr<LogEntry> entryFromJson(const value& json)
{
    std::shared_ptr<LogEntry> entry = std::make_shared<LogEntry>();
    entry->term = integerField(json, "term");
    entry->position = integerField(json, "position");
    entry->requestId = stringField(json, "request_id");
    for (const value& write : json.at("writes").as_array()) {
        const value& text = write.at("value");
        entry->writes.push_back({ write.at("key").as_string(),
            text.is_null() ? std::optional<std::string>() : std::optional<std::string>(text.as_string()) });
    }
    for (const value& result : json.at("results").as_array())
        entry->results.push_back(result.is_null() ? std::optional<std::string>() : result.as_string());
    entry->arrived = std::chrono::steady_clock::now();
    return entry;
}

value entryToJson(const LogEntry& entry)
{
    std::vector<value> writes;
    for (const Write& write : entry.writes)
        writes.push_back(
            makeObject({ { "key", value::string(write.key) }, { "value", optionalValue(write.newValue) } }));
    return makeObject(
        { { "term", entry.term }, { "position", entry.position }, { "request_id", value::string(entry.requestId) },
            { "writes", value::array(writes) }, { "results", resultsToJson(entry.results) } });
}

Member::Member(MemberOptions options, std::shared_ptr<Scheduler> scheduler)
    : m_options(std::move(options))
    , m_scheduler(std::move(scheduler))
    , m_primaryHeard(std::chrono::steady_clock::now())
    , m_journal(m_options.dataFile)
    // Starts at the time of day so that a restarted member does not reuse connection ids.
    , m_nextConnection(static_cast<uint64_t>(std::chrono::system_clock::now().time_since_epoch().count() / 1000000))
    , m_lagMs(m_options.lagMs)
    , m_statementMs(m_options.statementMs)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    restore();
    if (m_options.primary && m_term == 0) {
        m_term = 1;
        m_role = MemberRole::Primary;
        m_termPrimary = m_options.name;
        saveTerm();
        appendEntry({}, {}, {});
    }
    m_scheduler->schedule(idleSweepInterval, [this] { closeIdle(); });
}

/// Continues with the log and the term of an earlier run, as a replica whose whole log is applied.
void Member::restore()
{
    const TermState state = m_journal.load(m_log);
    m_term = state.term;
    m_candidate = state.candidate;
    m_termPrimary = state.primary;
    if (!m_candidate.empty() && m_termPrimary.empty())
        m_role = MemberRole::Fenced;
    while (m_applied < m_log.last().position)
        applyEntry(m_values, *m_log.at(++m_applied));
}

/// Has to be called before a promise about the term is answered.
void Member::saveTerm() { m_journal.saveTerm({ m_term, m_candidate, m_termPrimary }); }

value Member::statusObject() const
{
    const double silence = m_role == MemberRole::Primary ? 0 : elapsedMs(m_primaryHeard);
    return makeObject({ { "group", value::string(m_options.group) }, { "name", value::string(m_options.name) },
        { "term", m_term }, { "role", value::string(roleNames[static_cast<size_t>(m_role)]) },
        { "last_term", m_log.last().term }, { "received", m_log.last().position }, { "applied", m_applied },
        { "applied_term", m_log.termAt(m_applied) }, { "leaving", value::boolean(m_leaving) },
        { "slots", m_options.slots }, { "connections_open", static_cast<uint64_t>(m_connections.size()) },
        { "connection_limit", m_options.connectionLimit }, { "primary_silence_ms", static_cast<uint64_t>(silence) } });
}

/// Returns what a position call compares: role, term and leaving of now, and the given positions.
Member::Snapshot Member::snapshot(LogPosition received, LogPosition applied) const
{
    return { m_role, m_term, m_leaving, received.term, received.position, applied.term, applied.position };
}

Member::Snapshot Member::currentSnapshot() const
{
    return snapshot(m_log.last(), { m_log.termAt(m_applied), m_applied });
}

void Member::stateChanged()
{
    m_replicationWork.notify_all();
    if (m_waiters.empty())
        return;
    const Snapshot now = currentSnapshot();
    const value answer = statusObject();
    for (std::map<uint64_t, Waiter>::iterator it = m_waiters.begin(); it != m_waiters.end();) {
        if (it->second.known == now) {
            ++it;
            continue;
        }
        it->second.reply(200, answer);
        it = m_waiters.erase(it);
    }
}

void Member::status(const Reply& reply)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    reply(200, statusObject());
}

void Member::waitForPosition(LogPosition received, LogPosition applied, double waitMs, const Reply& reply)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const Snapshot known = snapshot(received, applied);
    if (waitMs <= 0 || known != currentSnapshot()) {
        reply(200, statusObject());
        return;
    }
    const uint64_t id = m_nextWaiter++;
    m_waiters[id] = { known, reply };
    m_scheduler->schedule(milliseconds(waitMs), [this, id] {
        std::lock_guard<std::mutex> timerLock(m_mutex);
        const std::map<uint64_t, Waiter>::iterator it = m_waiters.find(id);
        if (it == m_waiters.end())
            return;
        it->second.reply(200, statusObject());
        m_waiters.erase(it);
    });
}

void Member::adoptTerm(uint64_t term, MemberRole role)
{
    m_term = term;
    m_role = role;
    m_candidate.clear();
    m_termPrimary.clear();
    rollBackTransactions();
}

void Member::rollBackTransactions()
{
    for (const std::pair<const std::string, ConnectionPtr>& connection : m_connections)
        connection.second->transaction.reset();
}

void Member::fence(uint64_t term, const std::string& candidate, const Reply& reply)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const bool repeated = term == m_term && !candidate.empty() && candidate == m_candidate;
    const bool granted = term > m_term || repeated;
    if (granted && !repeated) {
        adoptTerm(term, MemberRole::Fenced);
        m_candidate = candidate;
        saveTerm();
        stateChanged();
    }
    reply(200,
        makeObject({ { "granted", value::boolean(granted) }, { "term", m_term }, { "last_term", m_log.last().term },
            { "received", m_log.last().position } }));
}

void Member::promote(uint64_t term, const std::string& candidate, const Reply& reply)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const bool permitted = term == m_term && !candidate.empty() && candidate == m_candidate;
    const bool otherPrimary = !m_termPrimary.empty() && m_termPrimary != m_options.name;
    if (permitted && otherPrimary)
        ++m_stats.termConflicts;
    const bool promoted = permitted && !otherPrimary;
    if (promoted && m_role != MemberRole::Primary) {
        m_role = MemberRole::Primary;
        m_termPrimary = m_options.name;
        saveTerm();
        appendEntry({}, {}, {});
    }
    reply(200, makeObject({ { "promoted", value::boolean(promoted) }, { "term", m_term } }));
}

/// Appends an entry of the current term as primary; a primary applies its whole log at once.
void Member::appendEntry(std::string requestId, std::vector<Write> writes, Results results)
{
    const std::shared_ptr<LogEntry> entry = std::make_shared<LogEntry>();
    entry->term = m_term;
    entry->position = m_log.last().position + 1;
    entry->requestId = std::move(requestId);
    entry->writes = std::move(writes);
    entry->results = std::move(results);
    entry->arrived = std::chrono::steady_clock::now();
    m_journal.append(*entry);
    m_log.append(entry);
    while (m_applied < m_log.last().position)
        applyEntry(m_values, *m_log.at(++m_applied));
    stateChanged();
}

void Member::applyDue()
{
    const uint64_t before = m_applied;
    const Duration lag = milliseconds(m_role == MemberRole::Primary ? 0 : m_lagMs);
    const SteadyTime now = std::chrono::steady_clock::now();
    while (m_applied < m_log.last().position && m_log.at(m_applied + 1)->arrived + lag <= now)
        applyEntry(m_values, *m_log.at(++m_applied));
    if (m_applied != before)
        stateChanged();
    if (m_applied == m_log.last().position || m_applyScheduled)
        return;
    m_applyScheduled = true;
    const SteadyTime due = m_log.at(m_applied + 1)->arrived + lag;
    m_scheduler->schedule(std::chrono::duration_cast<Duration>(due - now) + Duration(1), [this] {
        std::lock_guard<std::mutex> lock(m_mutex);
        m_applyScheduled = false;
        applyDue();
    });
}

/// Removes the entries after a position; the state is rebuilt if some of them were applied.
void Member::truncateLog(uint64_t position)
{
    m_stats.entriesTruncated += m_log.last().position - position;
    m_journal.truncate(position);
    m_log.truncate(position);
    if (m_applied <= position)
        return;
    m_values.clear();
    for (m_applied = 0; m_applied < position;)
        applyEntry(m_values, *m_log.at(++m_applied));
}

/// Returns whether this log contains the entry; an entry of another term at its position is removed.
bool Member::matchPrevious(LogPosition previous)
{
    if (previous.position > m_log.last().position)
        return false;
    if (m_log.termAt(previous.position) == previous.term)
        return true;
    truncateLog(previous.position - 1);
    return false;
}

/// Appends entries that are new and replaces conflicting ones. Returns whether the log changed.
bool Member::appendReplicated(const value& entries)
{
    bool changed = false;
    for (const value& json : entries.as_array()) {
        const std::shared_ptr<LogEntry> entry = entryFromJson(json);
        if (entry->position == 0 || entry->position > m_log.last().position + 1)
            throw std::invalid_argument("entry " + std::to_string(entry->position) + " does not follow the log");
        if (entry->position <= m_log.last().position) {
            if (m_log.termAt(entry->position) == entry->term)
                continue;
            truncateLog(entry->position - 1);
        }
        m_journal.append(*entry);
        m_log.append(entry);
        changed = true;
    }
    return changed;
}

void Member::replicate(const value& body, const Reply& reply)
{
    const uint64_t term = integerField(body, "term");
    const std::string primary = stringField(body, "primary");
    std::lock_guard<std::mutex> lock(m_mutex);
    if (term < m_term || primary.empty()) {
        reply(409, makeObject({ { "error", value::string("stale_term") }, { "term", m_term } }));
        return;
    }
    if (term == m_term && !m_termPrimary.empty() && m_termPrimary != primary) {
        ++m_stats.termConflicts;
        reply(409, makeObject({ { "error", value::string("term_conflict") }, { "term", m_term } }));
        return;
    }
    const bool roleChanged = term > m_term || m_role != MemberRole::Replica;
    if (term > m_term)
        adoptTerm(term, MemberRole::Replica);
    m_role = MemberRole::Replica;
    m_termPrimary = primary;
    saveTerm();
    m_primaryHeard = std::chrono::steady_clock::now();
    if (m_replicationPaused && body.at("entries").size() > 0) {
        reply(503, errorObject("replication_paused"));
        return;
    }
    const LogPosition before = m_log.last();
    const bool matched = matchPrevious({ integerField(body, "prev_term"), integerField(body, "prev_position") });
    const bool changed = matched && appendReplicated(body.at("entries"));
    if (roleChanged || changed || m_log.last() != before)
        stateChanged();
    applyDue();
    reply(200,
        makeObject({ { "ok", value::boolean(matched) }, { "term", m_term }, { "received", m_log.last().position } }));
}

ReplicationBatch Member::nextBatch(uint64_t peerPosition, SteadyTime lastSent)
{
    std::unique_lock<std::mutex> lock(m_mutex);
    const SteadyTime due = lastSent + heartbeatInterval;
    while (true) {
        const bool primary = m_role == MemberRole::Primary;
        const bool entries = !m_replicationPaused && m_log.last().position > peerPosition;
        if (primary && (entries || std::chrono::steady_clock::now() >= due))
            break;
        if (primary)
            m_replicationWork.wait_until(lock, due);
        else
            m_replicationWork.wait(lock);
    }
    ReplicationBatch batch;
    batch.term = m_term;
    const uint64_t previous = std::min(peerPosition, m_log.last().position);
    batch.previous = { m_log.termAt(previous), previous };
    for (uint64_t position = previous + 1; !m_replicationPaused && position <= m_log.last().position; ++position) {
        if (batch.entries.size() == maxBatchEntries)
            break;
        batch.entries.push_back(m_log.at(position));
    }
    return batch;
}

void Member::observeTerm(uint64_t term)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (term <= m_term)
        return;
    adoptTerm(term, MemberRole::Replica);
    saveTerm();
    m_primaryHeard = std::chrono::steady_clock::now();
    stateChanged();
}

void Member::admin(const value& body, const Reply& reply)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_lagMs = numberField(body, "lag_ms", m_lagMs);
    m_statementMs = numberField(body, "statement_ms", m_statementMs);
    if (body.has_field("replication_paused"))
        m_replicationPaused = boolField(body, "replication_paused");
    if (body.has_field("refuse_work"))
        m_refuseWork = boolField(body, "refuse_work");
    if (body.has_field("leaving") && m_leaving != boolField(body, "leaving")) {
        m_leaving = !m_leaving;
        m_leavingSince = std::chrono::steady_clock::now();
        m_stats.statementsAfterLeaving = 0;
        m_stats.lastStatementAfterLeavingMs = 0;
    }
    applyDue();
    stateChanged();
    reply(200, statusObject());
}

void Member::recordRequest(const ServerCall& call)
{
    const std::string keyPrefix = "pw_";
    const size_t prefixLength = 16;
    std::lock_guard<std::mutex> lock(m_mutex);
    bool keySeen = call.text.find(keyPrefix) != std::string::npos
        || call.request.absolute_uri().to_string().find(keyPrefix) != std::string::npos;
    for (const std::pair<const std::string, std::string>& header : call.request.headers()) {
        const bool key = header.second.find(keyPrefix) != std::string::npos;
        keySeen = keySeen || key;
        std::set<std::string>& values = m_stats.headers[header.first];
        // Headers such as traceparent differ in every request; those with a key are always kept.
        if (key || values.size() < maxValuesPerHeader)
            values.insert(header.second.substr(0, prefixLength));
    }
    m_stats.keysSeen += keySeen ? 1 : 0;
}

void Member::stats(const Reply& reply)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    value executed = value::object();
    for (const std::pair<const std::string, uint64_t>& write : m_stats.executedWrites)
        executed[write.first] = write.second;
    std::vector<value> headers;
    for (const std::pair<const std::string, std::set<std::string>>& header : m_stats.headers) {
        for (const std::string& prefix : header.second)
            headers.push_back(
                makeObject({ { "name", value::string(header.first) }, { "value_prefix", value::string(prefix) } }));
    }
    reply(200,
        makeObject({ { "executed_writes", executed }, { "connections_peak", m_stats.connectionsPeak },
            { "connections_refused", m_stats.connectionsRefused }, { "slots_peak", m_stats.slotsPeak },
            { "headers_seen", value::array(headers) }, { "keys_seen", m_stats.keysSeen },
            { "statements_run", m_stats.statementsRun }, { "statements_after_leaving", m_stats.statementsAfterLeaving },
            { "last_statement_after_leaving_ms", m_stats.lastStatementAfterLeavingMs },
            { "entries_truncated", m_stats.entriesTruncated }, { "term_conflicts", m_stats.termConflicts } }));
}

void Member::dump(const Reply& reply)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    value values = value::object();
    for (const std::pair<const std::string, std::string>& item : m_values)
        values[item.first] = value::string(item.second);
    reply(200, values);
}

} // namespace plantainwall

#include "support_line_group.h"
#include <algorithm>

namespace plantainwall::test {

namespace {

    using boost::asio::ip::tcp;

    uint64_t unixMilliseconds()
    {
        using std::chrono::milliseconds;
        const auto time = std::chrono::system_clock::now().time_since_epoch();
        return static_cast<uint64_t>(std::chrono::duration_cast<milliseconds>(time).count());
    }

    std::string nextWord(std::string_view& rest)
    {
        const size_t end = rest.find(' ');
        std::string word(rest.substr(0, end));
        rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
        return word;
    }

} // namespace

void Ledger::note(const std::string& event)
{
    events += std::to_string(unixMilliseconds()) + " " + printable(event) + "\n";
}

std::string Ledger::signedFor(const std::string& signature) const
{
    const auto it = std::find_if(
        signatures.begin(), signatures.end(), [&](const auto& given) { return given.second == signature; });
    return it == signatures.end() ? std::string() : it->first;
}

/// One connection of an entry host to a server.
class LineGroup::Connection : public std::enable_shared_from_this<LineGroup::Connection> {
public:
    Connection(LineGroup& group, size_t index, tcp::socket socket)
        : m_group(group)
        , m_index(index)
        , m_socket(std::make_shared<WireStream>(std::move(socket)))
    {
    }

    void start()
    {
        if (m_group.m_oddPerThousand != 0)
            m_socket->cutSegments(1000 / m_group.m_oddPerThousand + 1, m_group.m_signatures);
        WireStream::Handlers handlers;
        handlers.message = [this](std::string_view line) {
            const std::shared_ptr<Connection> self = shared_from_this();
            m_lines.emplace_back(line);
            if (!m_busy)
                next();
        };
        handlers.closed = [this] { drop(); };
        m_socket->start(std::move(handlers));
    }

    void close() { m_socket->close(); }

private:
    Server& server() { return m_group.m_servers[m_index]; }
    bool leads() const { return m_group.m_primary == m_index; }

    void drop()
    {
        const std::shared_ptr<Connection> self = shared_from_this();
        m_lines.clear();
        m_socket->close();
        server().connections.remove(self);
    }

    void next()
    {
        while (!m_busy && !m_lines.empty()) {
            const std::string line = std::move(m_lines.front());
            m_lines.pop_front();
            take(line);
        }
    }

    void take(const std::string& line)
    {
        if (line.size() > OddTexts::maxMessageBytes)
            m_group.m_ledger.violation("PROTOCOL", "a message of " + std::to_string(line.size()) + " bytes");
        std::string_view rest = line;
        const std::string word = nextWord(rest);
        if (word == "STARTUP") {
            open(rest);
            return;
        }
        if (word != "QUERY" || m_customer.empty()) {
            if (word != "TERMINATE")
                m_group.m_ledger.violation("PROTOCOL", line);
            drop();
            return;
        }
        const std::string id = nextWord(rest);
        execute(id, std::string(rest));
    }

    void open(std::string_view rest)
    {
        const std::string service = nextWord(rest);
        m_customer = nextWord(rest);
        const std::string expected = nextWord(rest);
        const bool limited = server().connections.size() > m_group.m_settings.maxConnections;
        if (limited || service != m_group.m_settings.service || (!expected.empty() && expected != server().id)) {
            m_socket->send(limited ? "ERROR CONNLIMIT full\r\n" : "ERROR MISROUTED other\r\n");
            m_socket->closeAfterSend();
            return;
        }
        m_command = "STARTUP";
        answer({});
    }

    void answer(std::string text)
    {
        const std::string state = m_open ? (m_failed ? "E " : "T ") : "I ";
        text += "READY " + state + m_group.position(server()) + "\r\n";
        m_socket->send(text);
        const std::optional<std::chrono::milliseconds> delay
            = m_group.m_repeats ? m_group.m_repeats(m_command) : std::nullopt;
        if (!delay)
            return;
        m_group.after(*delay, [self = shared_from_this(), text = std::move(text), command = m_command] {
            LineGroup& group = self->m_group;
            ++group.m_repeated;
            group.m_ledger.note("repeat " + self->server().id + " " + command + ": " + text.substr(0, text.find('\r')));
            self->m_socket->send(text);
        });
    }

    bool odd() { return m_group.m_odd.chance(m_group.m_oddPerThousand); }

    void complete(const std::vector<std::string>& rows = {}, const std::string& signature = "-")
    {
        std::string text;
        for (const std::string& row : rows)
            text += "DATAROW " + row + "\r\n";
        answer(text + "COMPLETE " + signature + "\r\n");
    }

    void error(const std::string& code)
    {
        m_failed = m_failed || m_open;
        answer("ERROR " + code + " " + server().id + (odd() ? " " + m_group.m_odd.lastField() : "") + "\r\n");
    }

    /// Answers BUSY if there is no free slot. The state of a transaction stays.
    bool refuseForLackOfSlot()
    {
        if (!m_group.m_busyRule || !m_group.m_busyRule(m_command))
            return false;
        answer("ERROR BUSY " + server().id + "\r\n");
        return true;
    }

    void end()
    {
        m_open = false;
        m_failed = false;
        m_transaction = 0;
        m_writes.clear();
    }

    void execute(const std::string& id, std::string text)
    {
        std::string_view rest = text;
        std::string verb = nextWord(rest);
        std::optional<uint64_t> needs;
        if (verb == "AFTERLSN") {
            const std::string position = nextWord(rest);
            const size_t dot = position.find('.');
            // A later term holds all that an earlier one kept.
            needs = std::stoull(position.substr(0, dot)) > m_group.m_term ? UINT64_MAX
                                                                          : std::stoull(position.substr(dot + 1));
            text.erase(0, text.size() - rest.size());
            rest = text;
            verb = nextWord(rest);
        }
        m_command = verb;
        if (id == "-")
            own(verb, rest, needs);
        else
            forCaller(id, text, verb, rest, needs);
    }

    void own(const std::string& verb, std::string_view rest, const std::optional<uint64_t>& needs)
    {
        if (verb == "BEGIN") {
            const bool readOnly = rest == "READ";
            if (refuseForLackOfSlot())
                return;
            if (needs && *needs > server().applied)
                error("LAGGING");
            else if (!readOnly && !leads())
                error("READONLY");
            else {
                m_open = true;
                m_writable = !readOnly;
                m_term = m_group.m_term;
                complete();
            }
        } else if (verb == "ROLLBACK") {
            end();
            complete();
        } else if (verb == "SET") {
            const std::string name = nextWord(rest);
            m_values[name] = std::string(rest);
            complete();
        } else if (verb == "PREPARE") {
            const std::string name = nextWord(rest);
            m_prepared[name] = std::string(rest);
            complete();
        } else if (verb == "RESET") {
            m_values.clear();
            m_prepared.clear();
            complete();
        } else if (verb == "STATUS" || verb == "PAUSE" || verb == "RESUME" || verb == "DEMOTE")
            control(verb, rest);
        else {
            m_group.m_ledger.violation("UNASKED", "own statement " + verb);
            error("MALFORMED");
        }
    }

    void control(const std::string& verb, std::string_view rest)
    {
        const uint64_t term = verb == "PAUSE" || verb == "DEMOTE" ? std::stoull(std::string(rest)) : 0;
        if (verb == "PAUSE" && !leads() && term > m_group.m_term)
            server().stoppedAtTerm = std::max(server().stoppedAtTerm, term);
        if (verb == "RESUME") {
            server().stoppedAtTerm = 0;
            m_group.replicate();
        }
        if (verb == "DEMOTE" && leads() && term > m_group.m_term) {
            m_group.m_primary = m_group.m_servers.size();
            m_group.answerPending(false, SIZE_MAX);
            m_group.registerAll();
        }
        const Server& it = server();
        complete({ std::string(leads() ? "primary " : "replica ") + std::to_string(m_group.m_term) + " "
            + std::to_string(m_group.m_term) + "." + std::to_string(it.log.size()) + " "
            + std::to_string(it.stoppedAtTerm) + " 0 0 " + std::to_string(it.connections.size()) });
    }

    void forCaller(const std::string& id, const std::string& text, const std::string& verb, std::string_view rest,
        const std::optional<uint64_t>& needs)
    {
        Ledger& ledger = m_group.m_ledger;
        const Ledger::Asked* const asked = ledger.find(id);
        if (asked == nullptr || !sameStatement(asked->text, text) || asked->customer != m_customer) {
            ledger.violation("UNASKED", id + " " + text + " as " + m_customer);
            error("MALFORMED");
            return;
        }
        if (verb == "EXECUTE") {
            executePrepared(id, *asked, rest, needs);
            return;
        }
        check(id, *asked, verb, rest, needs);
    }

    /// Returns whether two texts are the same but for the name of a prepared statement.
    static bool sameStatement(std::string_view asked, std::string_view run)
    {
        const auto withoutName = [](std::string_view text) {
            if (nextWord(text) == "EXECUTE")
                nextWord(text);
            return text;
        };
        constexpr std::string_view execute = "EXECUTE ";
        const bool both = asked.substr(0, execute.size()) == execute && run.substr(0, execute.size()) == execute;
        return asked == run || (both && withoutName(asked) == withoutName(run));
    }

    void executePrepared(
        const std::string& id, const Ledger::Asked& asked, std::string_view rest, const std::optional<uint64_t>& needs)
    {
        const auto it = m_prepared.find(nextWord(rest));
        if (it == m_prepared.end() || it->second != asked.shape) {
            m_group.m_ledger.violation("PINNED",
                id + ": prepared " + asked.shape + ", runs " + (it == m_prepared.end() ? "no shape" : it->second));
            error("NOSTMT");
            return;
        }
        std::string_view shape = it->second;
        check(id, asked, nextWord(shape), rest, needs);
    }

    void check(const std::string& id, const Ledger::Asked& request, const std::string& verb, std::string_view rest,
        const std::optional<uint64_t>& needs)
    {
        Ledger& ledger = m_group.m_ledger;
        const Ledger::Asked* const asked = &request;
        if (asked->values != m_values)
            ledger.violation("PINNED", id + " runs with other session values");
        if (asked->transaction != 0 && (!m_open || (m_transaction != 0 && m_transaction != asked->transaction)))
            ledger.violation("PINNED", id + " runs outside its transaction");
        if (asked->transaction == 0 && m_transaction != 0)
            ledger.violation("PINNED", id + " runs inside another's transaction");
        m_transaction = asked->transaction;
        if (needs && *needs > server().applied) {
            error("LAGGING");
            return;
        }
        const bool lost = m_open && m_writable && (!leads() || m_term != m_group.m_term);
        const bool writes = verb == "WRITE" || (verb == "COMMIT" && !m_writes.empty());
        if (lost || (writes && !leads())) {
            error("READONLY");
            return;
        }
        if (refuseForLackOfSlot())
            return;
        m_busy = true;
        m_group.after(m_group.m_settings.work,
            [self = shared_from_this(), id, verb, rest = std::string(rest)] { self->run(id, verb, rest); });
    }

    std::string sign(const std::string& id)
    {
        std::string signature = server().id + "." + std::to_string(++m_group.m_signatures);
        m_group.m_ledger.signatures.emplace(id, signature);
        return signature;
    }

    void run(const std::string& id, const std::string& verb, const std::string& rest)
    {
        if (!server().running)
            return;
        const bool writes = verb == "WRITE" || (verb == "COMMIT" && !m_writes.empty());
        const bool lost = m_open && m_writable && (!leads() || m_term != m_group.m_term);
        if (lost || (writes && !leads()))
            error("READONLY");
        else if (verb == "READ") {
            // The row tells the log that the read ran on.
            std::string row = std::to_string(server().applied);
            row.resize(std::max(row.size(), m_group.m_rowBytes), ' ');
            std::vector<std::string> rows(m_group.m_rowRepeats, row);
            while (odd())
                rows.push_back(m_group.m_odd.lastField());
            if (m_group.m_oddPerThousand != 0 && m_group.m_odd.chance(OddTexts::longPerThousand))
                rows.push_back(m_group.m_odd.fill(OddTexts::maxMessageBytes - std::string("DATAROW ").size()));
            const std::string signature = sign(id);
            m_group.m_ledger.rows[signature] = rows;
            complete(rows, signature);
        } else if (verb == "WRITE" && m_open) {
            m_writes.emplace_back(rest, id);
            complete({}, sign(id));
        } else if (writes) {
            Commit commit { id, std::move(m_writes) };
            if (verb == "WRITE")
                commit.writes.emplace_back(rest, id);
            m_group.commit(std::move(commit), [self = shared_from_this(), id](bool confirmed) {
                self->end();
                if (!confirmed) {
                    self->drop(); // Whether it is kept is open.
                    return;
                }
                self->complete({}, self->sign(id));
                self->m_busy = false;
                self->next();
            });
            return;
        } else {
            end();
            complete({}, sign(id));
        }
        m_busy = false;
        next();
    }

    LineGroup& m_group;
    size_t m_index;
    std::shared_ptr<WireStream> m_socket;
    std::string m_customer;
    std::deque<std::string> m_lines;
    bool m_busy = false;
    bool m_open = false;
    bool m_failed = false;
    bool m_writable = false;
    uint64_t m_term = 0;
    uint64_t m_transaction = 0; ///< Of the caller, as the ledger numbers it.
    std::vector<std::pair<std::string, std::string>> m_writes;
    std::map<std::string, std::string> m_values;
    std::map<std::string, std::string> m_prepared; ///< Mode and shape, by name.
    std::string m_command; ///< First word of what is being answered.
};

LineGroup::LineGroup(
    boost::asio::io_context& loop, const std::vector<uint16_t>& ports, Ledger& ledger, Register registerServer)
    : m_loop(loop)
    , m_ledger(ledger)
    , m_register(std::move(registerServer))
    , m_servers(ports.size())
{
    for (size_t i = 0; i < ports.size(); ++i) {
        m_servers[i].id = "i-" + std::to_string(i);
        m_servers[i].port = ports[i];
        restart(i);
    }
}

LineGroup::~LineGroup() { *m_alive = false; }

void LineGroup::after(std::chrono::milliseconds delay, std::function<void()> task)
{
    const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, delay);
    timer->async_wait([timer, alive = m_alive, task = std::move(task)](const boost::system::error_code& ec) {
        if (!ec && *alive)
            task();
    });
}

void LineGroup::accept(size_t index)
{
    Server& server = m_servers[index];
    server.acceptor->async_accept([this, index](const boost::system::error_code& ec, tcp::socket socket) {
        if (ec || !m_servers[index].running)
            return;
        m_servers[index].connections.push_back(std::make_shared<Connection>(*this, index, std::move(socket)));
        m_servers[index].connections.back()->start();
        accept(index);
    });
}

void LineGroup::crash(size_t index)
{
    Server& server = m_servers[index];
    server.running = false;
    server.stoppedAtTerm = 0;
    // A new start time does not tell whether the log was kept.
    if (++m_crashes % 2 == 0)
        server.bornUnixMs = 0;
    m_ledger.note("crash " + server.id + " with " + std::to_string(server.log.size()) + " commits");
    server.acceptor.reset();
    const std::list<std::shared_ptr<Connection>> connections = std::move(server.connections);
    server.connections.clear();
    for (const std::shared_ptr<Connection>& connection : connections)
        connection->close();
    if (index == m_primary)
        answerPending(false, SIZE_MAX);
    removeRegistrationLater(index);
}

bool LineGroup::wipe(size_t index)
{
    size_t elsewhere = 0;
    const Server* holder = nullptr;
    for (const Server& other : m_servers) {
        if (&other == &m_servers[index])
            continue;
        elsewhere = std::max(elsewhere, other.log.size());
        if (other.running && (holder == nullptr || other.log.size() > holder->log.size()))
            holder = &other;
    }
    if (!m_servers[index].running || holder == nullptr || !missing(*holder).empty())
        return false;
    crash(index);
    Server& server = m_servers[index];
    m_ledger.note("wipe " + server.id);
    for (size_t i = elsewhere; i < server.log.size(); ++i)
        forget(*server.log[i]);
    server.log.clear();
    server.applied = 0;
    server.bornUnixMs = 0;
    if (index == m_primary)
        m_primary = m_servers.size();
    return true;
}

void LineGroup::cutFromStore(size_t index, std::chrono::milliseconds duration)
{
    m_servers[index].cutUntil = std::max(m_servers[index].cutUntil, Clock::now() + duration);
    m_ledger.note("cut from the store " + m_servers[index].id + " for " + std::to_string(duration.count()) + " ms");
    removeRegistrationLater(index);
    after(duration, [this, index] { announce(index); });
}

bool LineGroup::reachesStore(size_t index) const
{
    return m_servers[index].running && Clock::now() >= m_servers[index].cutUntil;
}

void LineGroup::endCutsFromStore()
{
    for (Server& server : m_servers)
        server.cutUntil = {};
    registerAll();
}

void LineGroup::announce(size_t index)
{
    Server& server = m_servers[index];
    if (!reachesStore(index))
        return;
    server.registeredAt = Clock::now();
    m_register({ server.id, index, index == m_primary, false, server.bornUnixMs, ++server.sequence });
}

void LineGroup::removeRegistrationLater(size_t index)
{
    after(m_settings.registration, [this, index] {
        if (Clock::now() - m_servers[index].registeredAt >= m_settings.registration) {
            m_ledger.note("registration removed " + m_servers[index].id);
            m_register({ m_servers[index].id, index, false, true, 0, 0 });
        }
    });
}

void LineGroup::forget(const Commit& commit)
{
    m_ledger.committed.erase(commit.id);
    m_ledger.effects.erase(commit.id);
}

std::vector<std::string> LineGroup::missing(const Server& server) const
{
    std::set<std::string> held;
    for (const std::shared_ptr<const Commit>& commit : server.log)
        held.insert(commit->id);
    std::vector<std::string> result;
    std::set_difference(m_ledger.acknowledged.begin(), m_ledger.acknowledged.end(), held.begin(), held.end(),
        std::back_inserter(result));
    return result;
}

void LineGroup::checkLog(size_t index, const std::string& occasion)
{
    const std::vector<std::string> lost = missing(m_servers[index]);
    if (lost.empty())
        return;
    m_ledger.violation("LOST",
        occasion + ": " + m_servers[index].id + " with " + std::to_string(m_servers[index].log.size())
            + " commits lacks " + std::to_string(lost.size()) + " acknowledged commits, among them " + lost.front());
    // Each lost commit is reported once.
    for (const std::string& id : lost)
        m_ledger.acknowledged.erase(id);
}

void LineGroup::restart(size_t index)
{
    Server& server = m_servers[index];
    if (server.running)
        return;
    server.running = true;
    server.acceptor
        = std::make_unique<tcp::acceptor>(m_loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), server.port));
    accept(index);
    if (server.bornUnixMs == 0) {
        server.bornUnixMs = unixMilliseconds();
        server.sequence = 0;
    }
    m_ledger.note("start " + server.id + " with " + std::to_string(server.log.size()) + " commits");
    announce(index);
    replicate();
}

void LineGroup::registerAll()
{
    for (size_t i = 0; i < m_servers.size(); ++i)
        announce(i);
}

std::string LineGroup::position(const Server& server) const
{
    return std::to_string(m_term) + "." + std::to_string(server.applied);
}

void LineGroup::commit(Commit commit, std::function<void(bool confirmed)> done)
{
    Server& primary = m_servers[m_primary];
    if (++m_ledger.effects[commit.id] > 1)
        m_ledger.violation("TWICE", commit.id);
    primary.log.push_back(std::make_shared<const Commit>(std::move(commit)));
    primary.applied = primary.log.size();
    m_ledger.committed[primary.log.back()->id] = primary.log.size();
    m_pending.push_back({ primary.log.size(), primary.log.back()->id, std::move(done) });
    replicate();
}

void LineGroup::replicate()
{
    for (size_t i = 0; i < m_servers.size(); ++i) {
        if (i == m_primary || !m_replicating.insert(i).second)
            continue;
        after(std::max(m_settings.replication, m_servers[i].receiveDelay), [this, i] {
            m_replicating.erase(i);
            received(i);
        });
    }
}

void LineGroup::received(size_t index)
{
    if (m_primary >= m_servers.size() || !m_servers[m_primary].running)
        return;
    Server& replica = m_servers[index];
    const Server& primary = m_servers[m_primary];
    if (!replica.running || replica.stoppedAtTerm != 0 || index == m_primary
        || replica.log.size() == primary.log.size())
        return;
    replica.log = primary.log;
    answerPending(true, replica.log.size());
    after(m_settings.apply, [this, index, n = replica.log.size(), term = m_term] {
        if (term == m_term)
            m_servers[index].applied = std::max(m_servers[index].applied, n);
    });
}

void LineGroup::answerPending(bool confirmed, size_t upTo)
{
    std::list<Pending> due;
    for (auto it = m_pending.begin(); it != m_pending.end();) {
        const auto next = std::next(it);
        if (it->number <= upTo)
            due.splice(due.end(), m_pending, it);
        it = next;
    }
    for (const Pending& pending : due) {
        if (confirmed)
            m_ledger.acknowledged.insert(pending.id);
        pending.done(confirmed);
    }
}

unsigned LineGroup::promote(const std::string& id, const std::string& holder, uint64_t fencingToken)
{
    const std::string& first = m_holders.emplace(fencingToken, holder).first->second;
    if (first != holder)
        m_ledger.violation(
            "ONE", holder + " orders with token " + std::to_string(fencingToken) + ", which " + first + " has used");
    const auto it
        = std::find_if(m_servers.begin(), m_servers.end(), [&](const Server& server) { return server.id == id; });
    const bool refused = it == m_servers.end() || !it->running || fencingToken < m_fence;
    m_ledger.note("promote " + id + " by " + holder + " with token " + std::to_string(fencingToken)
        + (refused ? " refused" : ""));
    if (refused)
        return 409;
    m_fence = fencingToken;
    const auto index = static_cast<size_t>(it - m_servers.begin());
    if (index != m_primary)
        after(m_settings.promotion, [this, index] { takeEffect(index); });
    return 200;
}

void LineGroup::takeEffect(size_t index)
{
    if (!m_servers[index].running || index == m_primary)
        return;
    answerPending(false, SIZE_MAX);
    const size_t kept = m_servers[index].log.size();
    checkLog(index, "promotion");
    m_primary = index;
    ++m_term;
    ++m_promotions;
    m_ledger.note("primary " + m_servers[index].id + " with " + std::to_string(kept) + " commits");
    for (Server& server : m_servers) {
        for (size_t i = kept; i < server.log.size(); ++i)
            forget(*server.log[i]);
        server.log.resize(std::min(server.log.size(), kept));
        server.applied = std::min(server.applied, kept);
        server.stoppedAtTerm = 0;
    }
    m_servers[index].applied = kept;
    registerAll();
    replicate();
}

} // namespace plantainwall::test

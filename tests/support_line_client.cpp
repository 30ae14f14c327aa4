#include "support_line_client.h"

namespace plantainwall::test {

namespace {

    using boost::asio::ip::tcp;
    using std::chrono::milliseconds;

    constexpr milliseconds openTimeout(2000);
    constexpr milliseconds answerTimeout(6000);

    /// Session values that callers set. With different names, a connection has to be reset between two of them.
    constexpr const char* valueNames[] = { "zone", "shed", "" };

    const std::set<std::string> promises { "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT" };

} // namespace

const char* lineRouteName(LineRoute route)
{
    constexpr const char* names[] = { "primary", "bounded", "own" };
    static_assert(sizeof(names) / sizeof(names[0]) == static_cast<size_t>(LineRoute::Count), "one entry each");
    return names[static_cast<size_t>(route)];
}

uint64_t Acknowledgements::before(Clock::time_point time) const
{
    const auto it = std::lower_bound(
        m_points.begin(), m_points.end(), time, [](const auto& point, Clock::time_point t) { return point.first < t; });
    return it == m_points.begin() ? 0 : std::prev(it)->second;
}

LineClient::LineClient(boost::asio::io_context& loop, Fleet& fleet, unsigned number, LineRoute route)
    : m_loop(loop)
    , m_fleet(fleet)
    , m_name("c" + std::to_string(number))
    , m_customer("customer" + std::to_string(number % 3))
    , m_route(route)
    , m_valueName(valueNames[number / 3 % std::size(valueNames)])
    , m_timer(loop)
{
}

void LineClient::stop()
{
    m_stopped = true;
    m_timer.cancel();
    if (m_socket)
        m_socket->close();
    m_socket.reset();
}

void LineClient::pause()
{
    m_timer.expires_after(milliseconds(20 + m_fleet.random() % 100));
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (ec || m_stopped)
            return;
        if (m_socket && m_ready)
            begin();
        else
            connect();
    });
}

void LineClient::armTimeout(milliseconds limit)
{
    m_timer.expires_after(limit);
    m_timer.async_wait([this](const boost::system::error_code& ec) {
        if (ec || m_stopped)
            return;
        if (m_socket)
            m_socket->close();
        closed();
    });
}

void LineClient::connect()
{
    m_ready = false;
    m_id.clear();
    m_values.clear();
    m_prepared.clear();
    m_ownPosition = 0;
    m_readName = odd() ? m_fleet.odd.field() : "s0";
    m_writeName = odd() ? "w" + m_fleet.odd.field() : "s1";
    m_socket = std::make_shared<WireStream>(tcp::socket(m_loop));
    if (m_fleet.oddPerThousand != 0)
        m_socket->cutSegments(1000 / m_fleet.oddPerThousand + 1, m_fleet.random());
    WireStream::Handlers handlers;
    handlers.message = [this](std::string_view line) { take(line); };
    handlers.closed = [this] { closed(); };
    handlers.connected
        = [this] { m_socket->send(std::string("STARTUP ") + lineRouteName(m_route) + " key-" + m_customer + "\r\n"); };
    const uint16_t port = m_fleet.ports[m_fleet.random() % m_fleet.ports.size()];
    m_socket->connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), port), std::move(handlers));
    armTimeout(openTimeout);
}

void LineClient::closed()
{
    m_socket.reset();
    m_ready = false;
    if (!m_id.empty())
        finish(false);
    else
        pause();
}

void LineClient::take(std::string_view line)
{
    const size_t end = line.find(' ');
    const std::string word(line.substr(0, end));
    const std::string rest(end == std::string_view::npos ? std::string_view() : line.substr(end + 1));
    if (!m_ready) {
        m_ready = word == "READY";
        if (m_ready) {
            m_timer.cancel();
            pause();
        }
        return;
    }
    if (m_id.empty()) {
        if (word != "ERROR")
            m_fleet.ledger.violation("MIXED", m_name + " was sent without asking: " + std::string(line));
        return;
    }
    if (word == "DATAROW")
        m_rows.push_back(rest);
    else if (word == "COMPLETE")
        m_signature = rest;
    else if (word == "ERROR")
        m_error = rest.substr(0, rest.find(' '));
    else if (word == "READY")
        answered(rest.substr(0, 1));
}

void LineClient::begin()
{
    const Clock::time_point now = Clock::now();
    m_outcome = { now, false, false };
    m_writes.clear();
    m_transaction = 0;
    const milliseconds staleness = m_route == LineRoute::Primary ? milliseconds(0)
        : m_route == LineRoute::Bounded                          ? boundedStaleness
                                                                 : ownStaleness;
    m_needed = m_fleet.acknowledgements.before(now - staleness);
    if (m_route == LineRoute::OwnWrites)
        m_needed = std::max(m_needed, m_ownPosition);
    m_steps = chooseSteps();
    if (m_steps.size() > 1)
        m_transaction = ++m_sent;
    send(m_steps.front());
}

// All callers use the same two names, each for shapes of its own that change from time to time.
std::deque<std::string> LineClient::chooseSteps()
{
    const unsigned choice = m_fleet.random() % 10;
    std::string item = "item" + std::to_string(m_fleet.random() % 20);
    std::string shape = "q" + std::to_string(m_fleet.random() % 6);
    if (m_values.empty() && !m_valueName.empty())
        return { "SET " + m_valueName + " " + (odd() ? m_fleet.odd.lastField() : m_name) };
    if (m_fleet.oddPerThousand != 0 && m_fleet.odd.chance(30))
        return { "SET " + (odd() ? m_fleet.odd.field() : "shed") + " " + m_fleet.odd.lastField() };
    if (odd())
        shape = m_fleet.odd.shape();
    if (m_prepared.count(m_readName) == 0 || m_fleet.random() % 20 == 0)
        return { "PREPARE " + m_readName + " READ " + shape };
    if (m_prepared.count(m_writeName) == 0 || m_fleet.random() % 20 == 0)
        return { "PREPARE " + m_writeName + " WRITE " + shape };
    const std::string readItem = odd() ? m_fleet.odd.lastField() : item;
    const std::string data = odd() ? m_fleet.odd.lastField() : "data";
    if (odd())
        item = m_fleet.odd.field();
    const std::string read
        = (m_fleet.random() % 2 == 0 ? std::string("READ ") : "EXECUTE " + m_readName + " ") + readItem;
    const std::string write
        = (m_fleet.random() % 2 == 0 ? std::string("WRITE ") : "EXECUTE " + m_writeName + " ") + item + " " + data;
    if (choice < 5)
        return { read };
    if (choice < 7)
        return { write };
    return { "BEGIN", read, write, choice == 9 ? "ROLLBACK" : "COMMIT" };
}

// Returns mode and shape of the statement that a text executes; empty if it executes none.
std::string LineClient::preparedUnder(const std::string& text) const
{
    constexpr std::string_view execute = "EXECUTE ";
    if (text.rfind(execute, 0) != 0)
        return {};
    const auto it = m_prepared.find(text.substr(execute.size(), text.find(' ', execute.size()) - execute.size()));
    return it == m_prepared.end() ? std::string() : it->second;
}

// Returns the verb of a text, for a prepared statement its mode.
std::string LineClient::verbOf(const std::string& text) const
{
    const std::string prepared = preparedUnder(text);
    const std::string& words = prepared.empty() ? text : prepared;
    return words.substr(0, words.find(' '));
}

void LineClient::send(const std::string& text)
{
    m_id = m_name + "-" + std::to_string(++m_sent) + (odd() ? m_fleet.odd.field() : std::string());
    m_text = text;
    const std::string verb = verbOf(text);
    const bool direct = text.rfind("READ ", 0) == 0 || text.rfind("WRITE ", 0) == 0;
    if (direct && m_fleet.oddPerThousand != 0 && m_fleet.odd.chance(OddTexts::longPerThousand)) {
        const size_t bytes = ("QUERY " + m_id + " " + text).size() + m_fleet.random() % 64;
        m_text += m_fleet.odd.fill(OddTexts::maxMessageBytes - bytes);
    }
    m_rows.clear();
    m_signature.clear();
    m_error.clear();
    if (verb == "WRITE")
        m_writes.push_back(m_id);
    if (verb == "READ" || verb == "WRITE" || verb == "COMMIT") {
        // Transactions of different callers must not look alike.
        const uint64_t transaction
            = m_transaction == 0 ? 0 : std::hash<std::string> {}(m_name + std::to_string(m_transaction)) | 1U;
        m_fleet.ledger.ask(m_id, { m_customer, m_text, transaction, m_values, preparedUnder(text) });
    }
    m_socket->send("QUERY " + m_id + " " + m_text + "\r\n");
    armTimeout(answerTimeout);
}

void LineClient::noteRefusal()
{
    m_outcome.unknownKey = m_error == "NOAUTH";
    if (promises.count(m_error) == 0)
        return;
    // Writes of a transaction take effect under the id of its commit.
    if (m_transaction == 0 || m_text == "COMMIT")
        promised.insert(m_id);
}

void LineClient::checkSuccess()
{
    Ledger& ledger = m_fleet.ledger;
    const std::string verb = verbOf(m_text);
    if (verb != "READ" && verb != "WRITE" && verb != "COMMIT")
        return;
    const auto [first, last] = ledger.signatures.equal_range(m_id);
    if (std::none_of(first, last, [&](const auto& it) { return it.second == m_signature; }))
        ledger.violation(
            "MIXED", m_id + " " + m_text + " with signature " + m_signature + " of " + ledger.signedFor(m_signature));
    const auto sent = ledger.rows.find(m_signature);
    if (m_rows != (sent == ledger.rows.end() ? std::vector<std::string>() : sent->second))
        ledger.violation("MIXED", m_id + " " + m_text + " with other rows than its server has sent");
    // The first row of a read tells the log that it ran on.
    if (verb == "READ" && !m_rows.empty() && std::strtoull(m_rows.front().c_str(), nullptr, 10) < m_needed)
        ledger.violation("STALE",
            m_id + " " + m_text + " on " + lineRouteName(m_route) + " read at " + m_rows.front() + ", needed "
                + std::to_string(m_needed) + ", answered by " + m_signature);
    const bool commits = verb == "COMMIT" || (verb == "WRITE" && m_transaction == 0);
    if (!commits)
        return;
    const auto committed = ledger.committed.find(m_id);
    if (committed == ledger.committed.end()) {
        ledger.violation("LOST", m_id + " was acknowledged and is in no log");
        return;
    }
    m_ownPosition = std::max(m_ownPosition, committed->second);
    m_fleet.acknowledgements.note(committed->second);
}

void LineClient::answered(const std::string& state)
{
    m_timer.cancel();
    if (m_error.empty())
        checkSuccess();
    else
        noteRefusal();
    advance(state);
}

// Notes what an acknowledged SET or PREPARE leaves in the session.
void LineClient::noteSessionState()
{
    constexpr std::string_view prepare = "PREPARE ";
    constexpr std::string_view set = "SET ";
    if (m_text.rfind(set, 0) == 0) {
        const size_t end = m_text.find(' ', set.size());
        m_values[m_text.substr(set.size(), end - set.size())] = m_text.substr(end + 1);
    }
    if (m_text.rfind(prepare, 0) != 0)
        return;
    const size_t end = m_text.find(' ', prepare.size());
    m_prepared[m_text.substr(prepare.size(), end - prepare.size())] = m_text.substr(end + 1);
}

void LineClient::advance(const std::string& state)
{
    const bool failed = !m_error.empty();
    if (!failed)
        noteSessionState();
    m_steps.pop_front();
    if (failed && state != "I") {
        m_steps.clear();
        m_outcome.served = false;
        m_transaction = 0;
        if (m_text != "ROLLBACK") {
            m_steps = { "ROLLBACK" };
            send("ROLLBACK");
            return;
        }
    }
    if (!failed && !m_steps.empty()) {
        send(m_steps.front());
        return;
    }
    const bool rolledBackAfterError = m_text == "ROLLBACK" && m_transaction == 0;
    finish(!failed && !rolledBackAfterError);
}

void LineClient::finish(bool served)
{
    m_outcome.served = served;
    m_outcomes.push_back(m_outcome);
    m_id.clear();
    m_steps.clear();
    if (!m_stopped)
        pause();
}

} // namespace plantainwall::test

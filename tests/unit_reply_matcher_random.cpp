#include "reply_matcher.h"
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <random>
#include <set>
#include <sstream>

// A server that executes commands in their order, fails some and repeats some replies late, and a client that uses the
// matcher as Gateway does.
//
// To run more seeds by hand: MATCHER_SEEDS=1000000 MATCHER_FIRST=1 build/unit_reply_matcher_random
// MATCHER_ERRORS=10 lets the server lack a slot for so many of a thousand commands.

using namespace plantainwall;

namespace {

using Kind = BackendCommandKind;
using Verdict = ReplyMatcher::Verdict;

uint64_t numberFromEnvironment(const char* name, uint64_t byDefault)
{
    const char* const text = std::getenv(name);
    return text == nullptr ? byDefault : std::strtoull(text, nullptr, 10);
}

struct Faults {
    bool copies = true;
    bool statusOnly = false; ///< The connection is one over which a server is polled.
    bool proofs = true; ///< The session has a value, so that a BEGIN in doubt can be proved.
    uint64_t errorsPerThousand = numberFromEnvironment("MATCHER_ERRORS", 100);
    unsigned lostPerThousand = 0; ///< Replies that never arrive, although the command was run.
};

enum class Role : uint8_t { Setup, Begin, Proof, Statement, Ending, Check, Status };

/// One connection with both of its ends.
class Connection {
public:
    Connection(uint64_t seed, const Faults& faults)
        : m_faults(faults)
        , m_random(seed)
    {
    }

    /// Plays until the client closes the connection or has done its operations. Returns the violation, if any.
    std::string play()
    {
        constexpr unsigned operations = 12;
        while (m_violation.empty() && !m_closed) {
            if (m_unanswered.empty() && m_operations < operations && chance(500))
                act();
            else if (!m_queue.empty() && chance(600))
                execute();
            else if (!m_copies.empty() && chance(300)) {
                const auto it = m_copies.begin() + static_cast<std::ptrdiff_t>(m_random() % m_copies.size());
                const Sent copy = *it;
                m_copies.erase(it);
                m_copied = true;
                deliver(copy, " copy");
            } else if (chance(50)) {
                ++m_position.position;
                m_log << " | log " << m_position.position;
            } else if (m_queue.empty() && m_copies.empty() && (m_operations >= operations || !m_unanswered.empty()))
                break;
        }
        if (m_violation.empty() && !m_closed && !m_unanswered.empty() && !m_lost)
            m_violation = "HANG: a command is unanswered for ever";
        return m_violation;
    }

    std::string log() const { return m_log.str(); }
    bool closed() const { return m_closed; }
    bool copied() const { return m_copied; }
    unsigned served() const { return m_served; }

private:
    struct Command {
        uint64_t number = 0;
        Kind kind = Kind::Forward;
        Role role = Role::Statement;
        std::string text;
        uint64_t transaction = 0; ///< Transaction in which it must run; 0: none.
    };

    struct Sent {
        uint64_t number = 0;
        BackendReply reply;
    };

    bool chance(uint64_t perThousand) { return m_random() % 1000 < perThousand; }

    // The server.

    void execute()
    {
        const Command command = m_queue.front();
        m_queue.erase(m_queue.begin());
        Sent sent;
        sent.number = command.number;
        BackendReply& reply = sent.reply;
        const bool statement = command.role == Role::Statement;
        if (statement && m_state != TransactionState::Failed && command.transaction != 0
            && m_openTransaction != command.transaction && !m_wrapped)
            m_violation = "PINNED: " + std::to_string(command.number) + " runs outside its transaction";
        const bool needsSlot = command.kind == Kind::Begin || statement || command.kind == Kind::Status;
        if (command.kind == Kind::Rollback) {
            m_state = TransactionState::Idle;
            m_openTransaction = 0;
        } else if (m_state == TransactionState::Failed)
            reply.error = BackendError::Other;
        else if (needsSlot && chance(m_faults.errorsPerThousand))
            reply.error = BackendError::Busy;
        else if (command.kind == Kind::Begin) {
            if (chance(m_faults.errorsPerThousand / 4)) {
                reply.error = BackendError::ReadOnly;
                reply.detail = "p";
            } else {
                m_state = TransactionState::Open;
                m_openTransaction = command.number;
            }
        } else if (command.kind == Kind::Status)
            reply.rows = { "row " + std::to_string(m_position.position) + " " + std::to_string(m_random() % 2) };
        else if (statement && chance(m_faults.errorsPerThousand / 2)) {
            reply.error = BackendError::Failed;
            if (m_state == TransactionState::Open)
                m_state = TransactionState::Failed;
        } else if (statement) {
            reply.signature = "s" + std::to_string(command.number);
            if (command.text == "COMMIT" || (command.text == "WRITE" && m_state == TransactionState::Idle))
                ++m_position.position;
            if (command.text == "COMMIT")
                m_state = TransactionState::Idle;
        }
        reply.state = m_state;
        reply.position = m_position;
        const bool lost = chance(m_faults.lostPerThousand);
        if (!lost && m_faults.copies && chance(250))
            m_copies.push_back(sent);
        if (lost) {
            m_lost = true;
            m_log << " | lost " << sent.number;
            return;
        }
        deliver(sent, "");
    }

    // The client.

    void send(Kind kind, Role role, const std::string& text, uint64_t transaction = 0)
    {
        Command command { ++m_numbers, kind, role, text, transaction };
        BackendCommand sent;
        sent.kind = kind;
        m_matcher.sent(sent);
        m_queue.push_back(command);
        m_unanswered.push_back(command);
        m_log << " | > " << command.number << " " << text;
    }

    void sendSetup()
    {
        for (unsigned n = m_random() % 3; n > 0; --n)
            send(m_random() % 2 == 0 ? Kind::SetValue : Kind::Prepare, Role::Setup, "SET");
    }

    void sendProofs(unsigned n)
    {
        for (; n > 0; --n)
            send(Kind::SetValue, Role::Proof, "SET proof");
    }

    void act()
    {
        if (m_transaction != 0) {
            sendInTransaction();
            return;
        }
        ++m_operations;
        m_wrapped = false;
        if (m_faults.statusOnly) {
            send(Kind::Status, Role::Status, "STATUS");
            return;
        }
        switch (m_random() % 6) {
        case 0:
            sendSetup();
            send(Kind::Forward, Role::Statement, "WRITE");
            break;
        case 1:
            m_wrapped = true;
            sendSetup();
            send(Kind::Begin, Role::Begin, "BEGIN");
            send(Kind::Forward, Role::Statement, "READ", m_numbers);
            send(Kind::Rollback, Role::Ending, "ROLLBACK");
            break;
        case 2:
            send(Kind::Begin, Role::Check, "BEGIN");
            send(Kind::Rollback, Role::Setup, "ROLLBACK");
            break;
        case 3:
            if (m_state != TransactionState::Idle)
                send(Kind::Rollback, Role::Ending, "ROLLBACK");
            send(Kind::Reset, Role::Setup, "RESET");
            break;
        default:
            sendSetup();
            send(Kind::Begin, Role::Begin, "BEGIN");
            m_begin = m_numbers;
            m_opensTransaction = true;
            m_proofsMissing = 0;
            if (m_faults.proofs && m_began == m_position)
                sendProofs(1);
            break;
        }
    }

    void sendInTransaction()
    {
        const unsigned choice = m_random() % 6;
        if (choice == 0) {
            send(Kind::Rollback, Role::Ending, "ROLLBACK");
            m_transaction = 0;
            return;
        }
        if (choice > 2)
            sendSetup();
        send(Kind::Forward, Role::Statement, choice == 1 ? "COMMIT" : "WRITE", m_transaction);
    }

    void deliver(const Sent& sent, const std::string& mark)
    {
        BackendReply reply = sent.reply;
        const Verdict verdict = m_matcher.received(reply);
        m_log << " | < " << sent.number << mark << " " << backendErrorName(reply.error) << " " << reply.signature
              << " ITE"[1 + static_cast<size_t>(reply.state)] << reply.position.position << " verdict "
              << static_cast<int>(verdict) << " lookalikes " << reply.lookalikes;
        if (verdict == Verdict::Copy)
            return;
        if (verdict == Verdict::Unsolicited) {
            close();
            if (!m_copied && !m_lost)
                m_violation = "CLOSED: without a copy";
            return;
        }
        const Command command = m_unanswered.front();
        const bool error = reply.error != BackendError::None;
        const bool decides
            = command.role == Role::Begin || command.role == Role::Statement || command.role == Role::Check;
        if (reply.lookalikes > 0 && decides && error) {
            close();
            return;
        }
        const bool opens = command.role == Role::Begin && m_opensTransaction;
        if (reply.lookalikes > 0 && opens && !error && !requestProofs(reply.lookalikes)) {
            close();
            return;
        }
        m_unanswered.erase(m_unanswered.begin());
        answered(command, reply, sent.number);
    }

    bool requestProofs(unsigned needed)
    {
        constexpr unsigned maxProofs = 3;
        const auto underWay = static_cast<unsigned>(std::count_if(
            m_unanswered.begin(), m_unanswered.end(), [](const Command& it) { return it.role == Role::Proof; }));
        if (needed > maxProofs || (needed > underWay && !m_faults.proofs))
            return false;
        if (needed > underWay)
            sendProofs(needed - underWay);
        m_proofsMissing = needed;
        return true;
    }

    void answered(const Command& command, const BackendReply& reply, uint64_t number)
    {
        const bool error = reply.error != BackendError::None;
        const bool own = number == command.number;
        switch (command.role) {
        case Role::Setup:
        case Role::Ending:
            break;
        case Role::Status:
            if (reply.lookalikes == 0 && !own)
                m_violation = "STATUS: a reply without doubt to " + std::to_string(command.number) + " is another's";
            break;
        case Role::Check:
            beginAnswered(command, reply, number);
            if (!error)
                send(Kind::Forward, Role::Statement, "WRITE");
            break;
        case Role::Begin:
            beginAnswered(command, reply, number);
            if (!m_opensTransaction)
                break;
            if (error)
                m_opensTransaction = false;
            else if (m_proofsMissing == 0)
                opened();
            break;
        case Role::Proof:
            if (!m_opensTransaction || m_proofsMissing == 0)
                break;
            if (error || reply.state != TransactionState::Open)
                close();
            else if (--m_proofsMissing == 0)
                opened();
            break;
        case Role::Statement:
            statementAnswered(command, reply, own);
            break;
        }
    }

    void beginAnswered(const Command& command, const BackendReply& reply, uint64_t number)
    {
        if (reply.error == BackendError::None)
            m_began = reply.position;
        if (reply.error == BackendError::None && reply.lookalikes == 0 && number < command.number)
            m_violation = "STALE: a reply without doubt to " + std::to_string(command.number) + " is an earlier one's";
    }

    void opened()
    {
        m_opensTransaction = false;
        m_transaction = m_begin;
        sendInTransaction();
    }

    void statementAnswered(const Command& command, const BackendReply& reply, bool own)
    {
        const bool success = reply.error == BackendError::None && !reply.signature.empty();
        const bool promise = reply.error == BackendError::Busy || reply.error == BackendError::ReadOnly;
        if (!own && (success || promise)) {
            m_violation = (success ? "MIXED: " : "PROMISE: ") + std::to_string(command.number) + " got another's reply";
            return;
        }
        const bool commits = command.text == "COMMIT";
        if (success && command.transaction != 0 && !commits && reply.state != TransactionState::Open) {
            if (m_transaction != 0)
                m_violation = "PINNED: a transaction is not open";
            close();
            return;
        }
        m_served += success ? 1 : 0;
        if (m_transaction == 0)
            return;
        if (success && commits)
            m_transaction = 0;
        if (!success && reply.error != BackendError::Busy) {
            m_transaction = 0;
            if (m_unanswered.empty())
                send(Kind::Rollback, Role::Ending, "ROLLBACK");
        }
    }

    void close() { m_closed = true; }

    Faults m_faults;
    std::mt19937_64 m_random;
    ReplyMatcher m_matcher;
    std::vector<Command> m_queue;
    std::vector<Command> m_unanswered;
    std::vector<Sent> m_copies;
    TransactionState m_state = TransactionState::Idle;
    uint64_t m_openTransaction = 0;
    LogPosition m_position { 1, 1 };
    LogPosition m_began;
    bool m_wrapped = false;
    bool m_opensTransaction = false;
    uint64_t m_begin = 0;
    uint64_t m_transaction = 0;
    unsigned m_proofsMissing = 0;
    uint64_t m_numbers = 0;
    unsigned m_operations = 0;
    unsigned m_served = 0;
    bool m_closed = false;
    bool m_copied = false;
    bool m_lost = false;
    std::string m_violation;
    std::ostringstream m_log;
};

struct Totals {
    uint64_t served = 0;
    uint64_t closed = 0;
    uint64_t played = 0;
    std::map<std::string, std::pair<uint64_t, std::pair<uint64_t, std::string>>> violations; ///< Count, seed, shortest.
};

/// Plays the seeds and returns what was found, by the first word of the violation.
Totals playSeeds(const Faults& faults)
{
    const uint64_t first = numberFromEnvironment("MATCHER_FIRST", 1);
    const uint64_t seeds = numberFromEnvironment("MATCHER_SEEDS", 20000);
    Totals totals;
    for (uint64_t seed = first; seed < first + seeds; ++seed) {
        Connection connection(seed, faults);
        const std::string violation = connection.play();
        totals.served += connection.served();
        ++totals.played;
        totals.closed += connection.closed() ? 1 : 0;
        if (violation.empty())
            continue;
        auto& found = totals.violations[violation.substr(0, violation.find(':'))];
        const std::string text = violation + connection.log();
        if (found.first++ == 0 || text.size() < found.second.second.size())
            found.second = { seed, text };
    }
    BOOST_TEST_MESSAGE(
        totals.served << " statements served, " << totals.closed << " of " << seeds << " connections closed");
    return totals;
}

/// Checks that there is no violation of the given names.
void expectNone(const Totals& totals, const std::set<std::string>& names)
{
    for (const auto& [name, found] : totals.violations) {
        const std::string text = std::to_string(found.first) + " " + name + ", shortest seed "
            + std::to_string(found.second.first) + ": " + found.second.second;
        if (names.count(name) != 0)
            BOOST_ERROR(text);
        else
            BOOST_TEST_MESSAGE("not checked here: " << text);
    }
    BOOST_TEST(totals.played > 0U);
}

const std::set<std::string> wrongAnswers { "MIXED", "PROMISE", "STALE", "PINNED", "HANG" };

} // namespace

BOOST_AUTO_TEST_CASE(no_copy_is_taken_for_the_answer_of_a_statement) { expectNone(playSeeds({}), wrongAnswers); }

BOOST_AUTO_TEST_CASE(no_copy_is_taken_for_the_answer_of_a_statement_without_proofs)
{
    Faults faults;
    faults.proofs = false;
    expectNone(playSeeds(faults), { "MIXED", "PROMISE", "STALE", "PINNED", "HANG" });
}

BOOST_AUTO_TEST_CASE(without_copies_every_reply_answers_its_command)
{
    Faults faults;
    faults.copies = false;
    expectNone(playSeeds(faults), { "MIXED", "PROMISE", "STALE", "PINNED", "HANG", "CLOSED" });
}

BOOST_AUTO_TEST_CASE(lost_reply_beside_copies_is_not_replaced_by_another)
{
    Faults faults;
    faults.lostPerThousand = 30;
    expectNone(playSeeds(faults), wrongAnswers);
}

BOOST_AUTO_TEST_CASE(status_without_doubt_answers_its_own_request)
{
    Faults faults;
    faults.statusOnly = true;
    expectNone(playSeeds(faults), { "STATUS", "HANG", "CLOSED" });
}

#include "connection_pool.h"
#include "matched_connector.h"
#include "reply_matcher.h"
#include "support_gateway.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;

namespace {

using Kind = BackendCommandKind;
using Verdict = ReplyMatcher::Verdict;

BackendReply own(TransactionState state, LogPosition position)
{
    BackendReply reply;
    reply.state = state;
    reply.position = position;
    return reply;
}

struct Matching {
    void send(Kind kind)
    {
        BackendCommand command;
        command.kind = kind;
        matcher.sent(command);
    }
    Verdict receive(BackendReply reply)
    {
        const Verdict verdict = matcher.received(reply);
        last = std::move(reply);
        return verdict;
    }
    void run(Kind kind, BackendReply reply)
    {
        send(kind);
        BOOST_TEST((receive(std::move(reply)) == Verdict::Answer));
    }
    ReplyMatcher matcher;
    BackendReply last;
};

constexpr LogPosition p1 { 3, 10 };
constexpr LogPosition p2 { 3, 11 };

} // namespace

// Guards against a connection that waits for a reply that it has ignored.
BOOST_FIXTURE_TEST_CASE(refused_begin_after_a_copy_leaves_no_command_unanswered, Matching)
{
    run(Kind::SetValue, own(TransactionState::Idle, p1));
    run(Kind::Begin, own(TransactionState::Open, p1));
    run(Kind::Rollback, own(TransactionState::Idle, p1));
    send(Kind::Begin);
    BOOST_TEST((receive(own(TransactionState::Open, p1)) == Verdict::Answer)); // Copy.
    send(Kind::SetValue); // Proof.
    BackendReply busy = own(TransactionState::Idle, p1);
    busy.error = BackendError::Busy;
    const bool closed
        = receive(busy) == Verdict::Unsolicited || receive(own(TransactionState::Idle, p1)) == Verdict::Unsolicited;
    BOOST_TEST((closed || !matcher.expected().has_value()));
}

// Seed 2074555 of unit.reply-matcher-random, shortened. Guards against a statement that gets the signature of another.
BOOST_FIXTURE_TEST_CASE(reply_to_a_setup_command_is_not_the_answer_of_the_statement_after_it, Matching)
{
    constexpr LogPosition p3 { 3, 12 };
    run(Kind::Begin, own(TransactionState::Open, p1));
    run(Kind::Rollback, own(TransactionState::Idle, p1));
    run(Kind::Begin, own(TransactionState::Open, p2));
    BackendReply failed = own(TransactionState::Failed, p2);
    failed.error = BackendError::Failed;
    run(Kind::Forward, failed);
    send(Kind::Rollback);
    receive(failed); // Copy.
    send(Kind::Reset);
    send(Kind::SetValue);
    send(Kind::Forward);
    receive(own(TransactionState::Open, p1)); // Copy.
    receive(own(TransactionState::Idle, p2)); // Of ROLLBACK.
    const Verdict reset = receive(own(TransactionState::Idle, p3)); // Of RESET.
    BOOST_TEST((reset != Verdict::Answer || matcher.expected() == Kind::Forward));
}

// More reads than signatures are kept, at one log position.
BOOST_FIXTURE_TEST_CASE(copy_of_an_old_signature_is_not_the_answer_of_a_read, Matching)
{
    for (int i = 0; i < 200; ++i) {
        BackendReply reply = own(TransactionState::Idle, p1);
        reply.signature = "s" + std::to_string(i);
        run(Kind::Forward, reply);
    }
    send(Kind::Forward);
    BackendReply copy = own(TransactionState::Idle, p1);
    copy.signature = "s0";
    BOOST_TEST((receive(copy) != Verdict::Answer));
}

// A copy from below the greatest position proves nothing.
BOOST_FIXTURE_TEST_CASE(older_copy_is_no_proof_of_a_transaction, GatewayFixture)
{
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    Statement set;
    set.kind = StatementKind::SetValue;
    set.id = "0";
    set.name = "zone";
    set.argument = "north";
    gateway.execute(session, set);
    execute(session, StatementKind::Begin, "BEGIN", "1");
    execute(session, StatementKind::Write, "WRITE a b", "2");
    connector.acceptAll();
    connector.reply(0, okReply("", { 1, 5 }));
    BackendReply doubtful = own(TransactionState::Open, { 1, 5 });
    doubtful.lookalikes = 1;
    connector.reply(0, doubtful); // Copy of a BEGIN's reply at 1.5.
    BackendReply older = own(TransactionState::Open, { 1, 4 });
    older.lookalikes = 1001; // As the matcher reports a copy of a BEGIN's reply at 1.4.
    connector.reply(0, older);
    BOOST_TEST(connector.statementLink() == connector.links.size());
}

// Its content is older than the request.
BOOST_FIXTURE_TEST_CASE(older_status_row_is_no_answer, Matching)
{
    BackendReply first = own(TransactionState::Idle, p1);
    first.rows = { "replica 3 3.10 0 0 0 1" };
    BackendReply second = own(TransactionState::Idle, p2);
    second.rows = { "replica 3 3.11 0 0 0 1" };
    run(Kind::Status, first);
    run(Kind::Status, second);
    send(Kind::StopReceiving);
    BOOST_TEST((receive(first) == Verdict::Copy));
}

namespace {

struct Borrower final : BackendObserver {
    void backendOpened() override { ++opened; }
    void backendReplied(BackendReply reply) override { last = std::move(reply); }
    void backendClosed(BackendCloseReason) override { }
    unsigned opened = 0;
    BackendReply last;
};

} // namespace

// Load pattern: transactions of borrowers without session values, while the log does not grow and nothing is repeated.
BOOST_AUTO_TEST_CASE(borrower_gets_a_connection_on_which_a_begin_can_be_proved)
{
    Instant now { std::chrono::seconds(1000) };
    ServerEntry entry;
    entry.id = "p";
    entry.service = "orders";
    FakeConnector sockets;
    Metrics metrics;
    MatchedConnector matched(sockets, metrics);
    std::deque<std::function<void()>> tasks;
    ConnectionPool pool(
        matched, [&](const std::string&) { return &entry; }, [&] { return now; },
        [&](std::function<void()> task) { tasks.push_back(std::move(task)); });
    pool.setLimit("orders", 40, 10);
    const auto borrow = [&](Borrower& borrower) {
        std::unique_ptr<BackendLink> link = pool.open(entry, "hatter", borrower);
        sockets.acceptAll();
        for (; !tasks.empty(); tasks.pop_front())
            tasks.front()();
        return link;
    };
    const auto begin = [&](Borrower& borrower) {
        std::unique_ptr<BackendLink> link = borrow(borrower);
        BOOST_REQUIRE(borrower.opened == 1U);
        BackendCommand command;
        command.kind = Kind::Begin;
        link->send(command);
        sockets.reply(sockets.links.size() - 1, own(TransactionState::Open, { 1, 5 }));
        return link;
    };
    const auto giveBack = [&](std::unique_ptr<BackendLink> link) {
        link.reset();
        while (!sockets.links.back().closed && !sockets.links.back().commands.empty())
            sockets.reply(sockets.links.size() - 1, own(TransactionState::Idle, { 1, 5 }));
    };
    Borrower borrowers[6];
    giveBack(begin(borrowers[0]));
    unsigned inDoubt = 0;
    for (size_t i = 1; i < 6; ++i) {
        giveBack(begin(borrowers[i]));
        inDoubt += borrowers[i].last.lookalikes > 0 ? 1 : 0;
    }
    BOOST_TEST(inDoubt < 5U); // Gateway gives up after 5 attempts.
    BOOST_TEST(sockets.links.size() > 1U);
}

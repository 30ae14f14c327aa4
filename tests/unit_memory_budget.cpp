#include "caller_memory.h"
#include "line_socket.h"
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <random>
#include <set>

using namespace plantainwall;
using boost::asio::ip::tcp;

namespace {

constexpr size_t kibibyte = 1024;
constexpr size_t mebibyte = 1024 * kibibyte;
constexpr size_t total = 32 * mebibyte;

using AccountPtr = std::unique_ptr<MemoryAccount>;

struct BudgetFixture {
    AccountPtr open(const std::string& owner)
    {
        return std::make_unique<MemoryAccount>(budget, owner, [] {});
    }

    MemoryBudget budget { total };
    Instant now { std::chrono::seconds(1000) };
};

} // namespace

BOOST_FIXTURE_TEST_CASE(calm_budget_lets_one_account_read_the_largest_message, BudgetFixture)
{
    const AccountPtr account = open("hatter");
    account->set(MemoryUse::Input, 2 * mebibyte);
    BOOST_TEST(account->readAllowance(64 * kibibyte) == 64 * kibibyte);
    BOOST_TEST(account->mayRun(4 * mebibyte));
    BOOST_TEST(budget.accountsToClose(now).empty());
}

// Load pattern: many sessions of one customer send large messages, and another customer goes on as before.
BOOST_FIXTURE_TEST_CASE(pressure_pauses_the_crowd_and_serves_others, BudgetFixture)
{
    std::vector<AccountPtr> crowd;
    for (int i = 0; i < 40; ++i) {
        crowd.push_back(open("crowd"));
        crowd.back()->set(MemoryUse::Input, 450 * kibibyte);
    }
    const AccountPtr small = open("hatter");
    const AccountPtr message = open("hare");
    message->set(MemoryUse::Input, 900 * kibibyte);
    BOOST_TEST(budget.underPressure());
    BOOST_TEST(!budget.full());
    BOOST_TEST(crowd.front()->readAllowance(64 * kibibyte) == 0U);
    BOOST_TEST(!crowd.front()->mayRun(mebibyte));
    BOOST_TEST(small->readAllowance(64 * kibibyte) == 64 * kibibyte);
    BOOST_TEST(small->mayRun(kibibyte));
    BOOST_TEST(message->readAllowance(64 * kibibyte) == 64 * kibibyte);
    BOOST_TEST(message->mayRun(4 * mebibyte));
}

// Load pattern: sessions send the most of a message and stop.
BOOST_FIXTURE_TEST_CASE(pressure_closes_accounts_that_stay_large, BudgetFixture)
{
    std::vector<AccountPtr> crowd;
    for (size_t i = 0; i < 20; ++i) {
        crowd.push_back(open("crowd"));
        crowd.back()->set(MemoryUse::Input, 800 * kibibyte + i * kibibyte);
    }
    const AccountPtr message = open("hare");
    message->set(MemoryUse::Input, 2 * mebibyte);
    BOOST_TEST(budget.accountsToClose(now).empty());
    now += MemoryBudget::largeLimit;
    const std::vector<MemoryAccount*> closing = budget.accountsToClose(now);
    BOOST_REQUIRE(!closing.empty());
    BOOST_TEST(closing.front() == crowd.back().get());
    BOOST_TEST((std::find(closing.begin(), closing.end(), message.get()) == closing.end()));
    size_t closed = 0;
    for (const MemoryAccount* const it : closing)
        closed += it->held();
    BOOST_TEST(budget.held() - closed < total / 2);
    BOOST_TEST(budget.accountsToClose(now).empty());
}

BOOST_FIXTURE_TEST_CASE(full_budget_closes_at_once_and_spares_running_statements, BudgetFixture)
{
    bool called = false;
    budget.setFullHandler([&] { called = true; });
    const AccountPtr running = open("crowd");
    running->set(MemoryUse::Statement, 4 * mebibyte);
    std::vector<AccountPtr> crowd;
    for (int i = 0; i < 25; ++i) {
        crowd.push_back(open("crowd"));
        crowd.back()->set(MemoryUse::Output, mebibyte);
    }
    BOOST_TEST(called);
    BOOST_TEST(budget.full());
    BOOST_TEST(!budget.mayAccept());
    const std::vector<MemoryAccount*> closing = budget.accountsToClose(now);
    BOOST_REQUIRE(!closing.empty());
    BOOST_TEST((std::find(closing.begin(), closing.end(), running.get()) == closing.end()));
}

BOOST_FIXTURE_TEST_CASE(state_is_limited_for_a_session_and_for_all, BudgetFixture)
{
    const AccountPtr first = open("hatter");
    BOOST_TEST(first->mayKeep(mebibyte));
    BOOST_TEST(!first->mayKeep(first->stateLimit() + 1));
    std::vector<AccountPtr> crowd;
    for (size_t kept = 0; kept < total / 2; kept += mebibyte) {
        crowd.push_back(open("crowd"));
        BOOST_TEST(crowd.back()->mayKeep(mebibyte));
        crowd.back()->set(MemoryUse::State, mebibyte);
    }
    BOOST_TEST(!first->mayKeep(mebibyte));
    BOOST_TEST(first->mayKeep(kibibyte));
    crowd.pop_back();
    BOOST_TEST(first->mayKeep(mebibyte));
}

BOOST_FIXTURE_TEST_CASE(accounts_move_to_their_customer, BudgetFixture)
{
    const AccountPtr account = open("");
    account->set(MemoryUse::Input, mebibyte);
    account->setOwner("hatter");
    BOOST_TEST(account->owner() == "hatter");
    BOOST_TEST(budget.held() == mebibyte);
    account->setOwner("hatter");
    BOOST_TEST(account->held() == mebibyte);
}

// Load pattern: many sessions of one customer, each paused with little input, beside one large message.
BOOST_FIXTURE_TEST_CASE(unread_bytes_count_in_the_total_and_make_no_account_large, BudgetFixture)
{
    std::vector<AccountPtr> crowd;
    for (int i = 0; i < 300; ++i) {
        crowd.push_back(open("crowd"));
        crowd.back()->set(MemoryUse::Unread, 64 * kibibyte);
        crowd.back()->set(MemoryUse::Input, kibibyte);
        BOOST_TEST(!crowd.back()->large());
    }
    BOOST_TEST(budget.held() == 300 * 65 * kibibyte);
    BOOST_TEST(budget.underPressure());
    BOOST_TEST(crowd.front()->readAllowance(64 * kibibyte) == 64 * kibibyte); // Its share, as no other is large.
    BOOST_TEST(crowd.front()->mayRun(kibibyte));
    budget.accountsToClose(now);
    now += MemoryBudget::largeLimit;
    BOOST_TEST(budget.accountsToClose(now).empty());
    crowd.front()->set(MemoryUse::Input, 17 * kibibyte);
    BOOST_TEST(crowd.front()->large());
    crowd.front()->setOwner("hatter");
    BOOST_TEST(crowd.front()->large());
}

// Load pattern: more small messages that stop half-way than the budget has room for.
BOOST_FIXTURE_TEST_CASE(unread_bytes_of_small_accounts_are_made_room_for_when_full, BudgetFixture)
{
    std::vector<AccountPtr> crowd;
    while (budget.held() < total) {
        crowd.push_back(open("crowd"));
        crowd.back()->set(MemoryUse::Input, 10 * kibibyte);
    }
    BOOST_TEST(crowd.front()->readAllowance(kibibyte) == 0U);
    for (size_t i = 0; i < 100; ++i)
        crowd[i]->set(MemoryUse::Unread, 64 * kibibyte);
    size_t closed = 0;
    for (const MemoryAccount* const it : budget.accountsToClose(now))
        closed += it->held();
    BOOST_TEST(closed > 0U);
    BOOST_TEST(budget.held() - closed < total);
}

BOOST_FIXTURE_TEST_CASE(account_is_not_closed_for_time_in_an_earlier_pressure, BudgetFixture)
{
    const AccountPtr account = open("hatter");
    account->set(MemoryUse::Output, 20 * mebibyte);
    BOOST_TEST(budget.accountsToClose(now).empty());
    account->set(MemoryUse::Output, mebibyte);
    now += std::chrono::seconds(1);
    BOOST_TEST(budget.accountsToClose(now).empty());
    account->set(MemoryUse::Output, 20 * mebibyte);
    now += MemoryBudget::largeLimit;
    BOOST_TEST(budget.accountsToClose(now).empty());
    now += MemoryBudget::largeLimit;
    BOOST_TEST(budget.accountsToClose(now).size() == 1U);
}

// Load pattern: a stream over which another host runs statements, beside callers.
BOOST_FIXTURE_TEST_CASE(stream_that_lends_is_closed_last_and_only_when_full, BudgetFixture)
{
    const AccountPtr stream = open("peers");
    stream->setLends(true);
    stream->set(MemoryUse::Output, 20 * mebibyte);
    budget.accountsToClose(now);
    now += MemoryBudget::largeLimit;
    BOOST_TEST(budget.accountsToClose(now).empty());
    const AccountPtr running = open("hatter");
    running->set(MemoryUse::Statement, 9 * mebibyte);
    BOOST_TEST(budget.full());
    const std::vector<MemoryAccount*> closing = budget.accountsToClose(now);
    BOOST_REQUIRE(!closing.empty());
    BOOST_TEST(closing.front() == running.get());
    stream->setLends(false);
    BOOST_REQUIRE(budget.accountsToClose(now).size() == 1U);
}

// Any order of growth that the budget allows, and of growth that cannot be refused, which the closing makes up for.
BOOST_AUTO_TEST_CASE(random_use_keeps_the_sum_and_the_limit)
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        MemoryBudget budget(total);
        Instant now { std::chrono::seconds(1000) };
        std::vector<AccountPtr> accounts;
        bool full = false;
        budget.setFullHandler([&] { full = true; });
        for (int step = 0; step < 500; ++step) {
            now += std::chrono::milliseconds(random() % 200);
            const size_t i = accounts.empty() ? 0 : random() % accounts.size();
            switch (accounts.empty() ? 0 : random() % 8) {
            case 0:
                if (budget.mayAccept())
                    accounts.push_back(
                        std::make_unique<MemoryAccount>(budget, "c" + std::to_string(random() % 4), [] {}));
                break;
            case 1:
                accounts.erase(accounts.begin() + static_cast<ptrdiff_t>(i));
                break;
            case 2:
                accounts[i]->setOwner("c" + std::to_string(random() % 4));
                break;
            case 3:
                accounts[i]->set(MemoryUse::Output, random() % (2 * mebibyte));
                break;
            case 4: {
                const size_t bytes = random() % (3 * mebibyte);
                if (accounts[i]->mayKeep(bytes))
                    accounts[i]->set(MemoryUse::State, bytes);
                break;
            }
            case 5: {
                const size_t bytes = random() % (4 * mebibyte);
                if (accounts[i]->held(MemoryUse::Statement) == 0 && accounts[i]->mayRun(bytes))
                    accounts[i]->set(MemoryUse::Statement, bytes);
                break;
            }
            case 6:
                accounts[i]->set(MemoryUse::Statement, 0);
                break;
            default: {
                const size_t before = accounts[i]->held(MemoryUse::Input);
                const size_t some = accounts[i]->readAllowance(random() % (256 * kibibyte));
                accounts[i]->set(MemoryUse::Input, before + some);
                break;
            }
            }
            if (full || step % 10 == 0) {
                for (const MemoryAccount* const closed : budget.accountsToClose(now))
                    accounts.erase(std::find_if(
                        accounts.begin(), accounts.end(), [&](const AccountPtr& it) { return it.get() == closed; }));
                full = false;
            }
            size_t sum = 0;
            for (const AccountPtr& it : accounts)
                sum += it->held();
            BOOST_REQUIRE_MESSAGE(sum == budget.held(), "seed " << seed << " step " << step);
            BOOST_REQUIRE_MESSAGE(budget.held() < total, "seed " << seed << " step " << step);
        }
        accounts.clear();
        BOOST_REQUIRE(budget.held() == 0U);
    }
}

namespace {

/// A socket with a budget, and the other end of its connection.
struct ReaderFixture {
    ReaderFixture(size_t budgetBytes, size_t maxLine, LineEnd lineEnd = LineEnd::CrLf)
        : budget(budgetBytes)
        , acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , sender(loop)
    {
        sender.connect(acceptor.local_endpoint());
        sender.non_blocking(true);
        reader = std::make_shared<LineSocket>(acceptor.accept(), lineEnd, maxLine);
        reader->setMemory(std::make_unique<MemoryAccount>(budget, "hatter", [] {}));
    }

    ~ReaderFixture() { reader->close(); }

    MemoryBudget budget;
    boost::asio::io_context loop;
    tcp::acceptor acceptor;
    tcp::socket sender;
    std::shared_ptr<LineSocket> reader;
};

} // namespace

// A customer called "#servers" would share the memory of the servers' replies.
BOOST_AUTO_TEST_CASE(customer_owns_no_account_of_the_host)
{
    std::set<std::string> owners { std::string(ownerWithoutSession), std::string(ownerPeers),
        std::string(ownerServers) };
    for (const std::string name : { "hatter", "", "#", "##", "#servers", "##servers", "#peers", "#unopened" })
        BOOST_TEST(owners.insert(ownerOfCustomer(name)).second, name);
    BOOST_TEST(ownerOfCustomer("hatter") == "hatter");
}

// Lines of any length, sent in pieces of any length, to a reader that pauses at any line and answers at length.
BOOST_AUTO_TEST_CASE(random_pieces_arrive_as_the_lines_that_were_sent)
{
    constexpr size_t maxLine = 200 * kibibyte;
    for (unsigned seed = 1; seed <= 40; ++seed) {
        std::mt19937 random(seed);
        const bool crLf = random() % 2 == 0;
        const std::string lineEnd = crLf ? "\r\n" : "\n";
        ReaderFixture fixture(32 * mebibyte, maxLine, crLf ? LineEnd::CrLf : LineEnd::Lf);
        std::deque<std::string> expected;
        std::string out;
        for (int i = 0; i < 60; ++i) {
            const size_t length = random() % 8 == 0 ? random() % maxLine : random() % 300;
            std::string line(length, static_cast<char>('a' + random() % 26));
            for (size_t n = random() % 4; n > 0 && length > 0; --n)
                line[random() % length] = random() % 2 == 0 ? '\r' : '\n';
            for (size_t end = line.find(lineEnd); end != std::string::npos; end = line.find(lineEnd))
                line[end] = 'x';
            expected.push_back(std::move(line));
            out += expected.back() + lineEnd;
        }
        bool paused = false;
        size_t received = 0;
        LineSocket::Handlers handlers;
        handlers.line = [&](std::string_view line) {
            BOOST_REQUIRE_MESSAGE(!paused, "seed " << seed << ": a line arrived during a pause");
            BOOST_REQUIRE_MESSAGE(received < expected.size() && line == expected[received], "seed " << seed);
            ++received;
            paused = random() % 3 == 0;
            if (random() % 4 == 0)
                fixture.reader->send(std::string(random() % (300 * kibibyte), 'z'));
            return !paused;
        };
        handlers.closed = [&](bool) { BOOST_ERROR("seed " << seed << ": closed"); };
        fixture.reader->start(std::move(handlers));
        size_t sent = 0;
        std::string buf(64 * kibibyte, '\0');
        // By time: the kernel may hold the last segment back for tens of milliseconds until others are acknowledged.
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (received < expected.size() && std::chrono::steady_clock::now() < until) {
            boost::system::error_code ec;
            const size_t n = std::min<size_t>(out.size() - sent, 1 + random() % (random() % 2 == 0 ? 20 : 100000));
            if (n > 0)
                sent += fixture.sender.write_some(boost::asio::buffer(out.data() + sent, n), ec);
            if (random() % 3 == 0)
                fixture.sender.read_some(boost::asio::buffer(buf), ec);
            fixture.loop.poll();
            fixture.loop.restart();
            if (paused && random() % 3 == 0) {
                paused = false;
                fixture.reader->resume();
            }
        }
        BOOST_TEST(received == expected.size(), "seed " << seed << ": " << received << " lines");
        fixture.reader->close();
        BOOST_TEST(fixture.budget.held() == 0U);
    }
}

BOOST_AUTO_TEST_CASE(reader_pauses_at_its_share_and_goes_on_afterwards)
{
    ReaderFixture fixture(4 * mebibyte, mebibyte);
    AccountPtr other = std::make_unique<MemoryAccount>(fixture.budget, "hare", [] {});
    other->set(MemoryUse::Output, 3 * mebibyte);
    size_t received = 0;
    LineSocket::Handlers handlers;
    handlers.line = [&](std::string_view line) {
        received = line.size();
        return true;
    };
    fixture.reader->start(std::move(handlers));
    const std::string out = std::string(mebibyte - 1, 'a') + "\r\n";
    size_t sent = 0;
    const auto run = [&] {
        for (int i = 0; i < 100; ++i) {
            boost::system::error_code ec;
            sent += fixture.sender.write_some(boost::asio::buffer(out.data() + sent, out.size() - sent), ec);
            fixture.loop.restart();
            fixture.loop.run_for(std::chrono::milliseconds(1));
        }
    };
    run();
    BOOST_TEST(received == 0U);
    BOOST_TEST(fixture.budget.held() < fixture.budget.total());
    other.reset();
    run();
    BOOST_TEST(received == mebibyte - 1);
}

BOOST_AUTO_TEST_CASE(too_long_line_is_not_kept)
{
    ReaderFixture fixture(32 * mebibyte, 100 * kibibyte);
    bool tooLong = false;
    LineSocket::Handlers handlers;
    handlers.line = [](std::string_view) { return true; };
    handlers.closed = [&](bool reason) { tooLong = reason; };
    fixture.reader->start(std::move(handlers));
    const std::string out(400 * kibibyte, 'a');
    for (int i = 0; i < 100 && !tooLong; ++i) {
        boost::system::error_code ec;
        fixture.sender.write_some(boost::asio::buffer(out), ec);
        fixture.loop.restart();
        fixture.loop.run_for(std::chrono::milliseconds(1));
    }
    BOOST_TEST(tooLong);
    BOOST_TEST(fixture.reader->memory()->held(MemoryUse::Input) < kibibyte);
}

// Load pattern: a caller that reads slowly ends its session, or is ended, and sends or disconnects before all answers
// have been sent.
BOOST_AUTO_TEST_CASE(closing_socket_calls_no_handler)
{
    for (const bool sends : { true, false }) {
        ReaderFixture fixture(32 * mebibyte, mebibyte);
        unsigned calls = 0;
        LineSocket::Handlers handlers;
        handlers.line = [&](std::string_view) {
            ++calls;
            return true;
        };
        handlers.closed = [&](bool) { ++calls; };
        fixture.reader->start(std::move(handlers));
        const std::string chunk(4 * kibibyte, 'z');
        while (fixture.reader->memory()->held(MemoryUse::Output) < 2 * chunk.size())
            fixture.reader->send(chunk);
        fixture.reader->closeAfterSend();
        boost::system::error_code ec;
        if (sends)
            fixture.sender.write_some(boost::asio::buffer("late\r\n", 6), ec);
        else
            fixture.sender.close(ec);
        fixture.loop.run_for(std::chrono::milliseconds(100));
        BOOST_TEST(calls == 0U, (sends ? "line" : "end") << " was handled");
        // The rest of the output is still sent.
        BOOST_TEST((fixture.reader->memory() != nullptr) == sends);
        std::string buf(64 * kibibyte, '\0');
        for (int i = 0; sends && i < 1000 && fixture.reader->memory() != nullptr; ++i) {
            fixture.sender.read_some(boost::asio::buffer(buf), ec);
            fixture.loop.restart();
            fixture.loop.run_for(std::chrono::milliseconds(1));
        }
        BOOST_TEST(fixture.reader->memory() == nullptr);
        BOOST_TEST(fixture.budget.held() == 0U);
    }
}

// Load pattern: thousands of sessions that once sent or received some kilobytes and are idle since.
BOOST_AUTO_TEST_CASE(idle_socket_is_small_after_a_long_line)
{
    ReaderFixture fixture(32 * mebibyte, mebibyte);
    size_t received = 0;
    LineSocket::Handlers handlers;
    handlers.line = [&](std::string_view line) {
        received = line.size();
        fixture.reader->send(line);
        return true;
    };
    fixture.reader->start(std::move(handlers));
    const std::string out = std::string(20 * kibibyte, 'a') + "\r\n";
    boost::system::error_code ec;
    size_t sent = 0;
    for (int i = 0; i < 100; ++i) {
        sent += fixture.sender.write_some(boost::asio::buffer(out.data() + sent, out.size() - sent), ec);
        fixture.loop.restart();
        fixture.loop.run_for(std::chrono::milliseconds(1));
    }
    BOOST_TEST(received == 20 * kibibyte);
    BOOST_TEST(!fixture.reader->memory()->large());
    BOOST_TEST(fixture.reader->memory()->held(MemoryUse::Input) < 5 * kibibyte);
    BOOST_TEST(fixture.reader->memory()->held(MemoryUse::Output) < 5 * kibibyte);
}

#include "connection_pool.h"
#include "link_borrower.h"
#include "link_lender.h"
#include "support_gateway.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct RecordingObserver final : BackendObserver {
    void backendOpened() override { opened = true; }
    void backendReplied(BackendReply reply) override { replies.push_back(std::move(reply)); }
    void backendClosed(BackendCloseReason reason) override { closed = reason; }

    bool opened = false;
    std::vector<BackendReply> replies;
    std::optional<BackendCloseReason> closed;
};

/// A host that borrows from two others, "a" and "b", over in-memory streams.
struct Fixture : PeerStreams, LenderChoice {
    struct Stream final : PeerStream {
        Stream(Fixture& fixture, std::string to)
            : fixture(fixture)
            , to(std::move(to))
        {
        }
        ~Stream() override { fixture.hosts[to].lender.reset(); }
        void send(const std::string& line) override { fixture.lines.emplace_back(to, line); }

        Fixture& fixture;
        std::string to;
    };
    struct Host {
        FakeConnector connector;
        std::unique_ptr<LinkLender> lender;
        Handlers borrower;
        bool shuttingDown = false;
        bool unresponsive = false;
        bool readsStrings = false; ///< Of the version before: announces no format, and knows none.
        unsigned streams = 0;
    };

    Fixture()
        : borrower("self", own, ownPool, *this, [this] { return now; })
    {
        entry.id = "p";
        entry.dataCentre = "mill";
        borrower.setLenders(*this);
    }

    std::unique_ptr<PeerStream> connect(const std::string& address, Handlers handlers) override
    {
        Host& host = hosts[address];
        ++host.streams;
        host.borrower = std::move(handlers);
        host.lender = std::make_unique<LinkLender>(
            host.connector, [this](const std::string& id) { return id == entry.id ? &entry : nullptr; },
            [&host] { return host.shuttingDown; },
            [&host](const std::string& line) {
                LinkMessage message = decodeLinkMessage(line);
                if (host.readsStrings && message.kind == LinkMessageKind::Accepted)
                    message.format = LinkFormat::Strings;
                host.borrower.line(encodeLinkMessage(message, LinkFormat::AnyTexts).value());
            });
        return std::make_unique<Stream>(*this, address);
    }

    const std::vector<LenderCandidate>& lenders(const std::string& dataCentre) const override
    {
        BOOST_TEST(dataCentre == "mill");
        return choice;
    }

    /// Delivers all queued lines, then accepts all connections.
    void settle()
    {
        while (!lines.empty()) {
            const auto [to, line] = lines.front();
            lines.pop_front();
            if (!hosts[to].unresponsive && hosts[to].lender)
                hosts[to].lender->line(line);
        }
        for (auto& [name, host] : hosts) {
            if (!host.unresponsive)
                host.connector.acceptAll();
        }
    }

    std::unique_ptr<BackendLink> open(RecordingObserver& observer, const std::string& customer = "hatter")
    {
        std::unique_ptr<BackendLink> link = borrower.open(entry, customer, observer);
        settle();
        return link;
    }

    /// Returns the host that lends the only connection of a customer.
    std::string lenderOf(const std::string& customer)
    {
        for (const auto& [name, host] : hosts) {
            for (const FakeConnector::Opened& it : host.connector.links) {
                if (it.customer == customer && !it.closed)
                    return name;
            }
        }
        return {};
    }

    Instant now { seconds(1000) };
    ServerEntry entry;
    FakeConnector own;
    FakeConnector ownPool;
    std::map<std::string, Host> hosts;
    std::deque<std::pair<std::string, std::string>> lines;
    std::vector<LenderCandidate> choice { { "a", "a" }, { "b", "b" } };
    LinkBorrower borrower;
};

BackendCommand statement(const std::string& id)
{
    BackendCommand command;
    command.id = id;
    command.text = "WRITE a \"b\"";
    command.writes = true;
    command.after = LogPosition { 3, 1207 };
    return command;
}

} // namespace

BOOST_FIXTURE_TEST_CASE(commands_and_replies_pass_through_the_lender, Fixture)
{
    RecordingObserver observer;
    std::unique_ptr<BackendLink> link = open(observer);
    BOOST_TEST(observer.opened);
    const std::string lender = lenderOf("hatter");
    BOOST_REQUIRE(!lender.empty());
    FakeConnector& connector = hosts[lender].connector;
    link->send(statement("5c0e"));
    settle();
    BOOST_REQUIRE(connector.links[0].commands.size() == 1U);
    const BackendCommand& command = connector.links[0].commands[0];
    BOOST_TEST(command.id == "5c0e");
    BOOST_TEST(command.text == "WRITE a \"b\"");
    BOOST_TEST(command.writes);
    BOOST_TEST((command.after == std::optional<LogPosition>({ 3, 1207 })));
    BackendReply reply = okReply("row", { 3, 1209 }, TransactionState::Open);
    reply.signature = "7.1f3";
    connector.reply(0, reply);
    BOOST_REQUIRE(observer.replies.size() == 1U);
    BOOST_TEST(observer.replies[0].rows == reply.rows);
    BOOST_TEST(observer.replies[0].signature == "7.1f3");
    BOOST_TEST((observer.replies[0].position == LogPosition { 3, 1209 }));
    BOOST_TEST((observer.replies[0].state == TransactionState::Open));
    link.reset();
    settle();
    BOOST_TEST(connector.links[0].closed);
}

// All connections of a customer go through the same host, so that they can be reused. Customers are spread over hosts.
BOOST_FIXTURE_TEST_CASE(a_customer_has_one_lender, Fixture)
{
    std::vector<std::unique_ptr<RecordingObserver>> observers;
    std::vector<std::unique_ptr<BackendLink>> links;
    std::map<std::string, int> customers;
    for (int i = 0; i < 40; ++i) {
        observers.push_back(std::make_unique<RecordingObserver>());
        links.push_back(open(*observers.back(), "customer" + std::to_string(i % 20)));
        BOOST_TEST(observers.back()->opened);
    }
    for (int i = 0; i < 20; ++i)
        ++customers[lenderOf("customer" + std::to_string(i))];
    BOOST_TEST(customers.size() == 2U);
    BOOST_TEST(customers.begin()->second > 3);
    BOOST_TEST(customers.rbegin()->second > 3);
    BOOST_TEST(hosts["a"].connector.links.size() + hosts["b"].connector.links.size() == 40U);
    BOOST_TEST(hosts["a"].connector.links.size() == 2U * static_cast<size_t>(customers["a"]));
}

BOOST_FIXTURE_TEST_CASE(a_lost_lender_is_replaced, Fixture)
{
    RecordingObserver first;
    const std::unique_ptr<BackendLink> link = open(first);
    const std::string lender = lenderOf("hatter");
    hosts[lender].borrower.closed();
    BOOST_TEST((first.closed == BackendCloseReason::LenderLost));
    link->send(statement("1")); // Is dropped.
    RecordingObserver second;
    const std::unique_ptr<BackendLink> other = open(second);
    BOOST_TEST(second.opened);
    BOOST_TEST(hosts[lender == "a" ? "b" : "a"].connector.links.size() == 1U);
    now += seconds(3);
    borrower.tick();
    RecordingObserver third;
    const std::unique_ptr<BackendLink> again = open(third);
    BOOST_TEST(hosts[lender].streams == 2U);
}

// A lender that does not answer an Open counts as lost. A lender that has accepted it does not, even if the server does
// not answer.
BOOST_FIXTURE_TEST_CASE(an_unresponsive_lender_is_lost_but_not_for_an_unresponsive_server, Fixture)
{
    RecordingObserver observer;
    hosts["a"].unresponsive = hosts["b"].unresponsive = true;
    const std::unique_ptr<BackendLink> link = open(observer);
    now += milliseconds(600);
    borrower.tick();
    BOOST_TEST((observer.closed == BackendCloseReason::LenderLost));
    hosts["a"].unresponsive = hosts["b"].unresponsive = false;
    RecordingObserver patient;
    const std::unique_ptr<BackendLink> slow = borrower.open(entry, "hatter", patient);
    while (!lines.empty()) {
        const auto [to, line] = lines.front();
        lines.pop_front();
        if (hosts[to].lender)
            hosts[to].lender->line(line);
    }
    now += milliseconds(600);
    borrower.tick();
    BOOST_TEST(!patient.closed.has_value());
    BOOST_TEST(!patient.opened);
}

BOOST_FIXTURE_TEST_CASE(a_leaving_lender_lends_nothing_new, Fixture)
{
    RecordingObserver first;
    const std::unique_ptr<BackendLink> link = open(first);
    const std::string lender = lenderOf("hatter");
    hosts[lender].shuttingDown = true;
    RecordingObserver refused;
    const std::unique_ptr<BackendLink> second = open(refused);
    BOOST_TEST((refused.closed == BackendCloseReason::LenderLost));
    RecordingObserver moved;
    const std::unique_ptr<BackendLink> third = open(moved);
    BOOST_TEST(moved.opened);
    link->send(statement("1")); // Connections that are already lent continue to work.
    settle();
    BOOST_TEST(hosts[lender].connector.links[0].commands.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(the_end_of_the_borrower_ends_its_connections, Fixture)
{
    RecordingObserver observer;
    const std::unique_ptr<BackendLink> link = open(observer);
    const std::string lender = lenderOf("hatter");
    hosts[lender].lender.reset();
    BOOST_TEST(hosts[lender].connector.links[0].closed);
}

BOOST_FIXTURE_TEST_CASE(this_host_uses_its_own_pool_where_it_is_the_lender, Fixture)
{
    choice = { { "self", "" } };
    RecordingObserver observer;
    const std::unique_ptr<BackendLink> link = open(observer);
    BOOST_TEST(ownPool.links.size() == 1U);
    choice.clear(); // No lenders.
    const std::unique_ptr<BackendLink> direct = open(observer);
    BOOST_TEST(own.links.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(malformed_messages_are_rejected, Fixture)
{
    RecordingObserver observer;
    const std::unique_ptr<BackendLink> link = open(observer);
    const std::string name = lenderOf("hatter");
    LinkLender& lender = *hosts[name].lender;
    for (const char* line : { "", "[]", "{}", "[\"z\",1]", "[\"c\",1,99,\"\",\"\",\"\",\"\",false,0]", "[\"o\",9]",
             "[\"o\",1,\"p\",\"hatter\"]", "[\"r\",1,0,\"\",\"\",0,0,0]" })
        BOOST_CHECK_THROW(lender.line(line), std::exception);
    lender.line("[\"c\",77,0,\"\",\"\",\"\",\"\",false,0]"); // For a connection that has ended.
    hosts[name].borrower.line("[\"x\",1,99]");
    BOOST_TEST((observer.closed == BackendCloseReason::LenderLost));
}

// Guards against a borrower that has not learned of an evacuation: the lender opens and uses no connection, and is not
// avoided for other servers.
BOOST_FIXTURE_TEST_CASE(lenders_refuse_closed_servers, Fixture)
{
    RecordingObserver first;
    const std::unique_ptr<BackendLink> link = open(first);
    const std::string name = lenderOf("hatter");
    BOOST_TEST(first.opened);
    for (const char* host : { "a", "b" }) {
        if (hosts[host].lender != nullptr)
            hosts[host].lender->setRefusedServers([](const std::string& server) { return server == "p"; });
    }
    BackendCommand command;
    command.id = "1";
    link->send(command);
    settle();
    BOOST_TEST((first.closed == BackendCloseReason::NotOpened));
    BOOST_TEST(hosts[name].connector.links[0].commands.empty());
    BOOST_TEST(hosts[name].connector.links[0].closed);
    RecordingObserver second;
    const std::unique_ptr<BackendLink> other = open(second);
    BOOST_TEST(!second.opened);
    BOOST_TEST((second.closed == BackendCloseReason::LenderLost)); // Another lender may reach it.
    entry.id = "q";
    RecordingObserver third;
    const std::unique_ptr<BackendLink> elsewhere = borrower.open(entry, "hatter", third);
    settle();
    BOOST_TEST(third.opened);
    BOOST_TEST(lenderOf("hatter") == name);
}

// The connection between one lender and a server may have failed, so a second lender is tried before the server counts
// as unreachable.
BOOST_FIXTURE_TEST_CASE(a_server_is_unreachable_if_two_lenders_fail, Fixture)
{
    RecordingObserver first;
    const std::unique_ptr<BackendLink> link = borrower.open(entry, "hatter", first);
    const auto deliver = [this] {
        while (!lines.empty()) {
            const auto [to, line] = lines.front();
            lines.pop_front();
            hosts[to].lender->line(line);
        }
    };
    deliver();
    const std::string firstLender = lenderOf("hatter");
    hosts[firstLender].connector.links[0].observer->backendClosed(BackendCloseReason::Lost);
    BOOST_TEST((first.closed == BackendCloseReason::LenderLost));
    RecordingObserver second;
    const std::unique_ptr<BackendLink> other = borrower.open(entry, "hatter", second);
    deliver();
    const std::string secondLender = firstLender == "a" ? "b" : "a";
    BOOST_REQUIRE(hosts[secondLender].connector.links.size() == 1U);
    hosts[secondLender].connector.links[0].observer->backendClosed(BackendCloseReason::Lost);
    BOOST_TEST((second.closed == BackendCloseReason::Lost));
    now += seconds(3);
    borrower.tick();
    RecordingObserver third;
    const std::unique_ptr<BackendLink> again = borrower.open(entry, "hatter", third);
    settle();
    BOOST_TEST(third.opened);
}

// Guards against a use after free: when a lender is lost, statements move to another one whose stream was about to be
// closed as unused.
BOOST_FIXTURE_TEST_CASE(a_stream_that_is_used_again_is_not_closed, Fixture)
{
    struct ReopeningObserver final : BackendObserver {
        explicit ReopeningObserver(Fixture& fixture)
            : fixture(fixture)
        {
        }
        void backendOpened() override { }
        void backendReplied(BackendReply) override { }
        void backendClosed(BackendCloseReason) override
        {
            link = fixture.borrower.open(fixture.entry, "hatter", second);
        }

        Fixture& fixture;
        RecordingObserver second;
        std::unique_ptr<BackendLink> link;
    };
    RecordingObserver probe;
    open(probe).reset();
    const std::string preferred = hosts["a"].streams != 0 ? "a" : "b";
    const std::string other = preferred == "a" ? "b" : "a";
    hosts[preferred].shuttingDown = true; // So the other one lends for a while.
    open(probe).reset();
    open(probe).reset();
    hosts[preferred].shuttingDown = false;
    BOOST_REQUIRE(hosts[other].streams == 1U);
    now += seconds(29);
    borrower.tick();
    ReopeningObserver observer(*this);
    const std::unique_ptr<BackendLink> link = borrower.open(entry, "hatter", observer);
    hosts[preferred].unresponsive = true;
    now += milliseconds(1600);
    borrower.tick();
    settle();
    BOOST_TEST(observer.second.opened);
    BOOST_TEST(hosts[other].streams == 1U);
    BackendCommand command;
    command.kind = BackendCommandKind::Begin;
    observer.link->send(command);
    settle();
    observer.link.reset();
}

// A lender of an earlier rank lends while it answers; a later one takes its place.
BOOST_FIXTURE_TEST_CASE(lenders_of_the_first_rank_come_first, Fixture)
{
    choice = { { "a", "a", LenderRank::Weak }, { "b", "b", LenderRank::Near } };
    std::vector<std::unique_ptr<RecordingObserver>> observers;
    std::vector<std::unique_ptr<BackendLink>> links;
    for (int i = 0; i < 20; ++i) {
        observers.push_back(std::make_unique<RecordingObserver>());
        links.push_back(open(*observers.back(), "customer" + std::to_string(i)));
        BOOST_TEST(links.back()->lender() == "b");
    }
    hosts["b"].borrower.closed();
    RecordingObserver observer;
    BOOST_TEST(open(observer)->lender() == "a");
    links.clear();
}

// Rolling restart: a text that the other host could not read ends its own connection, before anything is sent.
BOOST_FIXTURE_TEST_CASE(a_lender_that_reads_strings_gets_no_other_text, Fixture)
{
    choice = { { "a", "a" } };
    hosts["a"].readsStrings = true;
    RecordingObserver first;
    RecordingObserver second;
    const std::unique_ptr<BackendLink> link = open(first);
    const std::unique_ptr<BackendLink> other = open(second);
    FakeConnector& connector = hosts["a"].connector;
    BackendCommand command = statement("1");
    command.text = "WRITE a \xff";
    link->send(command);
    link->send(statement("2")); // May depend on the one before.
    BOOST_TEST(!first.closed.has_value()); // Not called from within send().
    settle();
    BOOST_TEST(connector.links[0].commands.empty());
    BOOST_TEST(connector.links[0].closed);
    borrower.tick();
    BOOST_TEST((first.closed == BackendCloseReason::ProtocolError));
    command.text = "WRITE a \xfe";
    other->send(command);
    settle();
    BOOST_REQUIRE(connector.links[1].commands.size() == 1U);
    BOOST_TEST(connector.links[1].commands[0].text == command.text);
    BOOST_TEST(!second.closed.has_value());
    RecordingObserver unnamed;
    const std::unique_ptr<BackendLink> refused = open(unnamed, "\xff");
    borrower.tick();
    BOOST_TEST((unnamed.closed == BackendCloseReason::ProtocolError));
    BOOST_TEST(hosts["a"].streams == 1U);
}

// Likewise.
BOOST_FIXTURE_TEST_CASE(a_borrower_that_reads_strings_gets_no_other_text, Fixture)
{
    FakeConnector connector;
    std::vector<std::string> sent;
    LinkLender lender(
        connector, [this](const std::string&) { return &entry; }, [] { return false; },
        [&sent](const std::string& line) { sent.push_back(line); });
    for (const char* line : { R"(["o",1,"p","hatter"])", R"(["o",2,"p","hatter"])" })
        lender.line(line);
    connector.acceptAll();
    for (const char* line :
        { R"(["c",1,6,"5c0e","READ a","","",false,0])", R"(["c",2,6,"5c0e","READ a","","",false,0])" })
        lender.line(line);
    sent.clear();
    connector.reply(0, okReply("\xff", { 3, 9 }));
    connector.reply(1, okReply("\xfe", { 3, 9 }));
    BOOST_REQUIRE(sent.size() == 2U);
    BOOST_TEST((decodeLinkMessage(sent[0]).reason == BackendCloseReason::ProtocolError));
    BOOST_TEST(decodeLinkMessage(sent[1]).reply.rows.at(0) == "\xfe");
    BOOST_TEST(connector.links[0].closed);
    BOOST_TEST(!connector.links[1].closed);
}

BOOST_FIXTURE_TEST_CASE(any_byte_passes_both_ways, Fixture)
{
    RecordingObserver observer;
    const std::unique_ptr<BackendLink> link = open(observer);
    FakeConnector& connector = hosts[lenderOf("hatter")].connector;
    std::string bytes;
    for (int c = 0; c < 256; ++c)
        bytes += static_cast<char>(c);
    BackendCommand command = statement(bytes);
    command.text = "WRITE a " + bytes;
    link->send(command);
    settle();
    BOOST_REQUIRE(connector.links[0].commands.size() == 1U);
    BOOST_TEST((connector.links[0].commands[0].id == bytes));
    BOOST_TEST((connector.links[0].commands[0].text == command.text));
    const BackendReply reply = okReply(bytes, { 3, 9 });
    connector.reply(0, reply);
    BOOST_REQUIRE(observer.replies.size() == 1U);
    BOOST_TEST((observer.replies[0].rows == reply.rows));
}

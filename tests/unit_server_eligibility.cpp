#include "support_fleet.h"
#include <boost/test/unit_test.hpp>
#include <random>

// Which servers a statement may be sent to: evacuated data centres, regions of routes and customers, warming servers.

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// The servers "p" and "r1" are in data centre "mill" of region "west", "r2" is in "quay" of region "east".
struct PlacedFixture : GatewayFixture {
    PlacedFixture()
        : GatewayFixture(settingsOf())
    {
        for (const char* id : { "p", "r1", "r2" })
            place(id, id == std::string_view("r2") ? "quay" : "mill");
        gateway.serversChanged();
        pass(GatewaySettings().connections.startupPeriod + seconds(1));
    }

    static GatewaySettings settingsOf()
    {
        GatewaySettings settings;
        settings.host = "h0";
        settings.dataCentre = "mill";
        settings.region = "west";
        settings.regionOfDataCentre = { { "mill", "west" }, { "quay", "east" } };
        return settings;
    }

    void place(const std::string& id, const std::string& dataCentre, Duration warmupLeft = Duration(0))
    {
        ServerEntry entry;
        entry.id = id;
        entry.service = "orders";
        entry.address = "127.0.0.1:1";
        entry.dataCentre = dataCentre;
        entry.slots = 4;
        entry.primary = id == "p";
        entry.sequence = ++sequence;
        entry.warmupLeft = warmupLeft;
        gateway.directory().registerServer(entry);
    }

    void evacuate(const std::string& dataCentre)
    {
        gateway.evacuations().request(dataCentre);
        gateway.evacuationsChanged();
    }

    void takeBack(const std::string& dataCentre)
    {
        gateway.evacuations().takeBack(dataCentre);
        gateway.evacuationsChanged();
    }

    /// Puts a configuration in force in which a route and the customer have regions.
    void restrict(const std::string& route, const std::set<std::string>& ofRoute,
        const std::set<std::string>& ofCustomer = {}, double warmupPerSecond = 0)
    {
        const std::shared_ptr<GatewayConfiguration> next = configuration(gateway.configuration()->version + 1);
        next->routes[route].regions = ofRoute;
        next->customers["hatter"].regions = ofCustomer;
        next->services["orders"].warmupPerSecond = warmupPerSecond;
        gateway.setConfiguration(next);
    }

    /// Returns the server that has an unanswered statement of a caller; empty if there is none.
    std::string statementServer()
    {
        connector.acceptAll();
        connector.answerOwnCommands({ 1, 7 });
        const size_t link = connector.statementLink();
        return link == connector.links.size() ? std::string() : connector.links[link].server;
    }

    /// Reads through a session. Returns the server that got the statement, which is answered.
    std::string readOnce(uint64_t session)
    {
        execute(session, StatementKind::Read, "READ a");
        std::string server = statementServer();
        if (!server.empty())
            connector.reply(connector.statementLink(), okReply("x", { 1, 7 }, TransactionState::Open));
        connector.answerOwnCommands({ 1, 7 });
        return server;
    }

    size_t openLinksTo(const std::string& server) const
    {
        return static_cast<size_t>(std::count_if(connector.links.begin(), connector.links.end(),
            [&](const FakeConnector::Opened& link) { return link.server == server && !link.closed; }));
    }

    /// Lets the primary warm up at one statement per second, of which this host sends none or all.
    void warmPrimary(bool sends)
    {
        const std::vector<std::string> others
            = sends ? std::vector<std::string>() : std::vector<std::string> { "h1", "h2", "h3", "h4", "h5" };
        BOOST_REQUIRE(WarmupShare::of(1, "h0", others, "p") == (sends ? 1U : 0U));
        gateway.setOtherHosts(others);
        restrict("bounded", {}, {}, 1);
        place("p", "mill", seconds(60));
        gateway.serversChanged();
    }

    /// Opens a transaction in which one write has been answered. Returns the link of its server.
    size_t openTransaction(uint64_t session)
    {
        execute(session, StatementKind::Begin, "BEGIN", "1");
        execute(session, StatementKind::Write, "WRITE a b", "2");
        BOOST_REQUIRE(statementServer() == "p");
        const size_t link = connector.statementLink();
        connector.reply(link, okReply("", { 1, 5 }, TransactionState::Open));
        return link;
    }

    uint64_t sequence = 0;
};

std::vector<std::string> hostNames(size_t n)
{
    std::vector<std::string> names;
    for (size_t i = 0; i < n; ++i)
        names.push_back("h" + std::to_string(i));
    return names;
}

std::vector<std::string> without(std::vector<std::string> names, const std::string& name)
{
    names.erase(std::remove(names.begin(), names.end(), name), names.end());
    return names;
}

/// Returns the sum of the shares of some hosts that know the given hosts.
size_t sumOfShares(double perSecond, const std::vector<std::string>& hosts, const std::vector<std::string>& known)
{
    size_t sum = 0;
    for (const std::string& host : hosts)
        sum += WarmupShare::of(perSecond, host, without(known, host), "i-1");
    return sum;
}

} // namespace

BOOST_AUTO_TEST_CASE(evacuations_follow_the_store)
{
    Evacuations it;
    const std::vector<std::string> listed { "mill", "quay" };
    BOOST_TEST(it.list(listed).started.size() == 2U);
    BOOST_TEST(it.list(listed).started.empty());
    BOOST_TEST(!it.request("mill"));
    BOOST_TEST(it.takeBack("mill"));
    BOOST_TEST(!it.contains("mill"));
    const Evacuations::Change change = it.list({});
    BOOST_TEST(change.ended.count("quay") == 1U);
    BOOST_TEST(it.empty());
}

// A copy of the store that is older than the request does not take the evacuation back.
BOOST_AUTO_TEST_CASE(evacuation_stays_in_force_after_a_restore)
{
    Evacuations it;
    it.request("mill");
    it.storeRestored();
    const Evacuations::Change first = it.list({});
    BOOST_TEST(first.ended.empty());
    BOOST_TEST(first.kept.count("mill") == 1U);
    const Evacuations::Change second = it.list({}); // Nor does a later listing.
    BOOST_TEST(second.ended.empty());
    BOOST_TEST(second.kept.empty());
    BOOST_TEST(it.contains("mill"));
    it.request("mill");
    BOOST_TEST(it.list({}).ended.count("mill") == 1U);
    it.request("quay");
    it.storeRestored();
    BOOST_TEST(it.takeBack("quay"));
    BOOST_TEST(it.empty());
}

BOOST_AUTO_TEST_CASE(regions_of_route_and_customer_both_apply)
{
    const std::set<std::string> all;
    const std::set<std::string> west { "west" };
    const std::set<std::string> both { "west", "east" };
    BOOST_TEST(HomeRegions(all, all).contains(""));
    BOOST_TEST(HomeRegions(west, all).contains("west"));
    BOOST_TEST(!HomeRegions(west, all).contains("east"));
    BOOST_TEST(!HomeRegions(both, west).contains("east"));
    BOOST_TEST(!HomeRegions(west, { "east" }).contains("west"));
    BOOST_TEST(!HomeRegions(west, all).contains(""));
}

BOOST_AUTO_TEST_CASE(unplaceable_statements_are_recognised)
{
    const PlacedServer primary { true, false, false, true };
    const PlacedServer replica { true, false, false, false };
    PlacedServer evacuatedPrimary = primary;
    evacuatedPrimary.evacuated = true;
    PlacedServer evacuatedReplica = replica;
    evacuatedReplica.evacuated = true;
    PlacedServer leavingReplica = replica;
    leavingReplica.leaving = true;
    PlacedServer foreignPrimary = primary;
    foreignPrimary.inHome = false;
    PlacedServer foreignReplica = replica;
    foreignReplica.inHome = false;
    struct Case {
        std::vector<PlacedServer> servers;
        PlacementVerdict read;
        PlacementVerdict write;
    };
    const Case cases[] = {
        { {}, PlacementVerdict::Possible, PlacementVerdict::Possible },
        { { primary, replica }, PlacementVerdict::Possible, PlacementVerdict::Possible },
        { { evacuatedPrimary, replica }, PlacementVerdict::Possible, PlacementVerdict::Possible },
        { { evacuatedPrimary, evacuatedReplica }, PlacementVerdict::Evacuated, PlacementVerdict::Evacuated },
        { { evacuatedPrimary, leavingReplica }, PlacementVerdict::Possible, PlacementVerdict::Evacuated },
        { { foreignPrimary, replica }, PlacementVerdict::Possible, PlacementVerdict::NoHomeServer },
        { { foreignPrimary, foreignReplica }, PlacementVerdict::NoHomeServer, PlacementVerdict::NoHomeServer },
        { { foreignPrimary, evacuatedReplica }, PlacementVerdict::Evacuated, PlacementVerdict::NoHomeServer },
    };
    for (const Case& it : cases) {
        BOOST_TEST((placementVerdict(it.servers, false) == it.read));
        BOOST_TEST((placementVerdict(it.servers, true) == it.write));
    }
}

BOOST_AUTO_TEST_CASE(warmup_shares_add_up_to_the_rate)
{
    for (const size_t n : { 1U, 3U, 81U, 300U }) {
        const std::vector<std::string> hosts = hostNames(n);
        for (const double perSecond : { 1.0, 5.0, 40.0, 81.0, 1000.0 })
            BOOST_TEST(sumOfShares(perSecond, hosts, hosts) == static_cast<size_t>(perSecond));
        BOOST_TEST(sumOfShares(0.4, hosts, hosts) == 1U);
    }
}

// Load pattern: a third of the hosts is cut off. The others forget it and divide the rate among themselves, while the
// hosts behind the cut go on with the shares that they had.
BOOST_AUTO_TEST_CASE(warmup_shares_of_a_divided_fleet_stay_near_the_rate)
{
    const std::vector<std::string> all = hostNames(81);
    std::vector<std::string> behind(all.begin(), all.begin() + 27);
    std::vector<std::string> rest(all.begin() + 27, all.end());
    for (const double perSecond : { 10.0, 40.0, 400.0 }) {
        const size_t sum = sumOfShares(perSecond, rest, rest) + sumOfShares(perSecond, behind, all);
        BOOST_TEST(static_cast<double>(sum) <= 1.5 * perSecond);
    }
}

BOOST_AUTO_TEST_CASE(warmup_share_holds_in_every_second)
{
    WarmupShare share;
    share.setPerSecond(3);
    Instant now { seconds(1000) };
    std::deque<Instant> sent;
    std::mt19937 random(1);
    for (int i = 0; i < 10000; ++i) {
        now += milliseconds(random() % 60);
        if (!share.admits(0, now))
            continue;
        share.noteSent(now);
        sent.push_back(now);
        while (now - sent.front() >= seconds(1))
            sent.pop_front();
        BOOST_TEST(sent.size() <= 3U);
    }
    now += seconds(2);
    BOOST_TEST(share.admits(2, now));
    BOOST_TEST(!share.admits(3, now)); // Statements that wait for a connection count.
}

BOOST_FIXTURE_TEST_CASE(reads_avoid_an_evacuated_data_centre, PlacedFixture)
{
    provePrimary({ 1, 7 });
    FakeCaller caller;
    const uint64_t session = open(caller, "bounded");
    evacuate("quay");
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(readOnce(session) != "r2");
    BOOST_TEST(caller.answers.size() == 20U);
    takeBack("quay");
    evacuate("mill");
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(readOnce(session) == "r2");
    BOOST_TEST(openLinksTo("p") == 0U);
    BOOST_TEST(openLinksTo("r1") == 0U);
}

// A statement whose connection is still being opened goes elsewhere; the connection is closed without a command.
BOOST_FIXTURE_TEST_CASE(evacuation_takes_back_statements_that_wait_for_a_connection, PlacedFixture)
{
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    execute(session, StatementKind::Write, "WRITE a b");
    BOOST_REQUIRE(connector.links.size() == 1U);
    BOOST_TEST(connector.links[0].server == "p");
    evacuate("mill");
    BOOST_TEST(connector.links[0].closed);
    BOOST_TEST(connector.links[0].commands.empty());
    BOOST_TEST(statementServer() != "p");
    pass(seconds(1)); // "r2" may become primary, so the statement waits as for any change.
    BOOST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST((caller.answers[0].code == ResultCode::NoPrimary));
    BOOST_TEST(openLinksTo("p") == 0U);
}

BOOST_FIXTURE_TEST_CASE(statements_without_a_server_elsewhere_are_refused_at_once, PlacedFixture)
{
    evacuate("mill");
    evacuate("quay");
    FakeCaller writer;
    execute(open(writer, "primary"), StatementKind::Write, "WRITE a b");
    BOOST_REQUIRE(writer.answers.size() == 1U);
    BOOST_TEST((writer.answers[0].code == ResultCode::NoPrimary));
    BOOST_TEST((resultCodeInfo(writer.answers[0].code).runState == RunState::NotRun));
    FakeCaller reader;
    execute(open(reader, "bounded"), StatementKind::Read, "READ a");
    BOOST_REQUIRE(reader.answers.size() == 1U);
    BOOST_TEST((reader.answers[0].code == ResultCode::QueueFull));
    takeBack("mill");
    FakeCaller later;
    execute(open(later, "primary"), StatementKind::Write, "WRITE a b");
    BOOST_TEST(statementServer() == "p");
}

// The transaction ends without a command to the server; the caller may run it again.
BOOST_FIXTURE_TEST_CASE(evacuation_aborts_an_open_transaction, PlacedFixture)
{
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    execute(session, StatementKind::Begin, "BEGIN", "1");
    execute(session, StatementKind::Write, "WRITE a b", "2");
    BOOST_REQUIRE(statementServer() == "p");
    const size_t link = connector.statementLink();
    connector.reply(link, okReply("", { 1, 5 }, TransactionState::Open));
    evacuate("mill");
    execute(session, StatementKind::Commit, "COMMIT", "3");
    BOOST_REQUIRE(caller.answers.size() == 3U);
    BOOST_TEST((caller.answers[2].code == ResultCode::TransactionAborted));
    BOOST_TEST(connector.links[link].closed);
    BOOST_TEST(connector.links[link].commands.empty());
}

BOOST_FIXTURE_TEST_CASE(statements_stay_in_their_regions, PlacedFixture)
{
    provePrimary({ 1, 7 });
    restrict("bounded", { "east" });
    FakeCaller caller;
    const uint64_t session = open(caller, "bounded");
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(readOnce(session) == "r2");
    restrict("bounded", { "west", "east" }, { "west" });
    for (int i = 0; i < 20; ++i)
        BOOST_TEST(readOnce(session) != "r2");
    restrict("bounded", { "east" }, { "west" });
    execute(session, StatementKind::Read, "READ a", "none");
    BOOST_REQUIRE(caller.answers.size() == 41U);
    BOOST_TEST((caller.answers[40].code == ResultCode::QueueFull));
    BOOST_TEST(!caller.answers[40].detail.empty());
}

// While no primary is known, a statement that needs it waits: the next one may be in a home region.
BOOST_FIXTURE_TEST_CASE(statements_wait_for_an_unknown_primary, PlacedFixture)
{
    place("r1", "quay");
    gateway.serversChanged();
    restrict("primary", { "west" });
    gateway.directory().noteNotPrimary("orders", "p", now - milliseconds(200));
    BOOST_REQUIRE(gateway.directory().primary("orders", now) == "r1");
    FakeCaller caller;
    execute(open(caller, "primary"), StatementKind::Write, "WRITE a b");
    BOOST_TEST(caller.answers.empty());
    pass(milliseconds(200)); // The denial has ended.
    BOOST_TEST(statementServer() == "p");
}

// Neither a retry nor the repetition of an overdue read leaves the regions.
BOOST_FIXTURE_TEST_CASE(retries_stay_in_their_regions, PlacedFixture)
{
    provePrimary({ 1, 7 });
    restrict("bounded", { "east" });
    FakeCaller caller;
    const uint64_t session = open(caller, "bounded");
    execute(session, StatementKind::Read, "READ a");
    BOOST_REQUIRE(statementServer() == "r2");
    connector.reply(connector.statementLink(), errorReply(BackendError::Behind));
    pass(seconds(1));
    for (const FakeConnector::Opened& link : connector.links) {
        const bool foreign = link.server != "r2"
            && std::any_of(link.commands.begin(), link.commands.end(),
                [](const BackendCommand& command) { return !command.id.empty(); });
        BOOST_TEST(!foreign);
    }
    BOOST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST((caller.answers[0].code != ResultCode::Ok));
}

BOOST_FIXTURE_TEST_CASE(home_that_changes_within_a_transaction_aborts_it, PlacedFixture)
{
    restrict("primary", { "west" });
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    execute(session, StatementKind::Begin, "BEGIN", "1");
    execute(session, StatementKind::Write, "WRITE a b", "2");
    BOOST_REQUIRE(statementServer() == "p");
    connector.reply(connector.statementLink(), okReply("", { 1, 5 }, TransactionState::Open));
    restrict("primary", { "east" });
    execute(session, StatementKind::Commit, "COMMIT", "3");
    BOOST_REQUIRE(caller.answers.size() == 3U);
    BOOST_TEST((caller.answers[2].code == ResultCode::TransactionAborted));
    BOOST_TEST(statementServer().empty());
    execute(session, StatementKind::Rollback, "ROLLBACK", "4");
    execute(session, StatementKind::Write, "WRITE a b", "5");
    BOOST_REQUIRE(caller.answers.size() == 5U);
    BOOST_TEST((caller.answers[4].code == ResultCode::NoPrimary));
}

// Load pattern: both replicas start cold at the same time, and the primary is in no home region. Each replica gets this
// host's share in any second, and no more of the reads that wait.
BOOST_FIXTURE_TEST_CASE(two_warming_servers_get_their_shares, PlacedFixture)
{
    constexpr size_t share = 4;
    constexpr Duration warmup = seconds(5);
    gateway.setOtherHosts({ "h1" });
    restrict("bounded", { "east" }, {}, 2 * share);
    place("r1", "quay", warmup);
    place("r2", "quay", warmup);
    gateway.serversChanged();
    const Instant warm = now + warmup;
    FakeCaller caller;
    const uint64_t session = open(caller, "bounded");
    std::map<std::string, std::vector<Instant>> sent;
    size_t reads = 0;
    while (now < warm - milliseconds(20)) {
        if (caller.answers.size() == reads) {
            provePrimary({ 1, 7 });
            execute(session, StatementKind::Read, "READ a");
            ++reads;
        }
        const std::string server = statementServer();
        if (!server.empty()) {
            sent[server].push_back(now);
            connector.reply(connector.statementLink(), okReply("x", { 1, 7 }));
        }
        pass(milliseconds(20));
    }
    for (const char* id : { "r1", "r2" }) {
        const std::vector<Instant>& times = sent[id];
        BOOST_TEST(times.size() >= 4 * share);
        for (size_t i = share; i < times.size(); ++i)
            BOOST_TEST((times[i] - times[i - share] >= seconds(1)));
    }
    BOOST_TEST(sent.size() == 2U);
    pass(seconds(1)); // Now they are warm.
    provePrimary({ 1, 7 });
    for (size_t i = 0; i < 8 * share; ++i)
        BOOST_TEST(!readOnce(session).empty());
}

// A transaction on a warming server waits for the next second; a starting host sends nothing to one.
BOOST_FIXTURE_TEST_CASE(transactions_wait_for_a_warming_server, PlacedFixture)
{
    restrict("bounded", {}, {}, 2);
    place("p", "mill", seconds(60));
    gateway.serversChanged();
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    execute(session, StatementKind::Begin, "BEGIN", "1");
    for (int i = 0; i < 2; ++i) {
        execute(session, StatementKind::Write, "WRITE a b", "2");
        BOOST_REQUIRE(statementServer() == "p");
        connector.reply(connector.statementLink(), okReply("", { 1, 5 }, TransactionState::Open));
    }
    pass(milliseconds(900));
    execute(session, StatementKind::Commit, "COMMIT", "3");
    BOOST_TEST(statementServer().empty());
    BOOST_TEST(caller.answers.size() == 3U);
    pass(milliseconds(160));
    BOOST_TEST(statementServer() == "p");

    GatewayFixture starting;
    const std::shared_ptr<GatewayConfiguration> next = configuration(2);
    next->services["orders"].warmupPerSecond = 100;
    starting.gateway.setConfiguration(next);
    ServerEntry entry = *starting.gateway.directory().find("p");
    entry.warmupLeft = seconds(60);
    starting.gateway.directory().registerServer(entry);
    starting.gateway.serversChanged();
    FakeCaller early;
    starting.execute(starting.open(early, "primary"), StatementKind::Write, "WRITE a b");
    BOOST_TEST(starting.connector.links.empty());
}

BOOST_FIXTURE_TEST_CASE(held_back_statement_times_out, PlacedFixture)
{
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    const size_t link = openTransaction(session);
    warmPrimary(false);
    execute(session, StatementKind::Write, "WRITE a b", "3");
    pass(milliseconds(900));
    BOOST_TEST(caller.answers.size() == 2U);
    pass(milliseconds(200));
    BOOST_REQUIRE(caller.answers.size() == 3U);
    BOOST_TEST((caller.answers[2].code == ResultCode::TransactionAborted));
    BOOST_TEST(statementServer().empty());
    execute(session, StatementKind::Rollback, "ROLLBACK", "4");
    BOOST_REQUIRE(caller.answers.size() == 4U);
    BOOST_TEST((caller.answers[3].code == ResultCode::Ok));
    gateway.closeSession(session);
    gateway.drain();
    pass(seconds(20));
    BOOST_TEST(gateway.drained());
    BOOST_TEST(connector.links[link].commands.empty());
}

BOOST_FIXTURE_TEST_CASE(held_back_statement_ends_with_its_session, PlacedFixture)
{
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    const size_t link = openTransaction(session);
    warmPrimary(false);
    execute(session, StatementKind::Write, "WRITE a b", "3");
    gateway.closeSession(session);
    pass(milliseconds(100));
    BOOST_REQUIRE(!connector.links[link].commands.empty());
    BOOST_TEST((connector.links[link].commands.front().kind == BackendCommandKind::Rollback));
    connector.answerOwnCommands({ 1, 7 });
    gateway.drain();
    pass(seconds(20));
    BOOST_TEST(gateway.drained());
}

// Nothing of a held-back COMMIT has reached the server.
BOOST_FIXTURE_TEST_CASE(held_back_commit_whose_connection_closes_is_aborted, PlacedFixture)
{
    FakeCaller caller;
    const uint64_t session = open(caller, "primary");
    const size_t link = openTransaction(session);
    warmPrimary(false);
    execute(session, StatementKind::Commit, "COMMIT", "3");
    BOOST_TEST(caller.answers.size() == 2U);
    connector.links[link].observer->backendClosed(BackendCloseReason::Lost);
    BOOST_REQUIRE(caller.answers.size() == 3U);
    BOOST_TEST((caller.answers[2].code == ResultCode::TransactionAborted));
}

// With a share of one statement per second, held-back statements neither block themselves nor each other.
BOOST_FIXTURE_TEST_CASE(held_back_statements_take_turns, PlacedFixture)
{
    FakeCaller callers[2];
    uint64_t sessions[2];
    for (size_t i = 0; i < 2; ++i) {
        sessions[i] = open(callers[i], "primary");
        openTransaction(sessions[i]);
    }
    warmPrimary(true);
    FakeCaller first;
    execute(open(first, "primary"), StatementKind::Write, "WRITE a b", "3");
    BOOST_REQUIRE(statementServer() == "p");
    connector.reply(connector.statementLink(), okReply("", { 1, 6 }));
    pass(milliseconds(500));
    for (size_t i = 0; i < 2; ++i)
        execute(sessions[i], StatementKind::Write, "WRITE a b", "4");
    BOOST_TEST(statementServer().empty());
    pass(milliseconds(540));
    BOOST_REQUIRE(statementServer() == "p");
    connector.reply(connector.statementLink(), okReply("", { 1, 6 }, TransactionState::Open));
    BOOST_TEST(statementServer().empty());
    BOOST_TEST(callers[0].answers.size() + callers[1].answers.size() == 5U);
}

// Failed attempts do not send a read to a primary that may not serve it.
BOOST_FIXTURE_TEST_CASE(failed_reads_stay_off_an_evacuated_primary, PlacedFixture)
{
    place("r1", "quay");
    gateway.serversChanged();
    provePrimary({ 1, 7 });
    evacuate("mill");
    FakeCaller caller;
    execute(open(caller, "bounded"), StatementKind::Read, "READ a");
    for (int i = 0; i < 2; ++i) {
        const std::string server = statementServer();
        BOOST_REQUIRE(!server.empty());
        BOOST_TEST(server != "p");
        connector.reply(connector.statementLink(), errorReply(BackendError::Busy));
    }
    pass(milliseconds(40));
    BOOST_TEST(!statementServer().empty());
    BOOST_REQUIRE(connector.statementLink() != connector.links.size());
    connector.reply(connector.statementLink(), okReply("x", { 1, 7 }));
    BOOST_REQUIRE(caller.answers.size() == 1U);
    BOOST_TEST((caller.answers[0].code == ResultCode::Ok));
}

// A statement that waits is refused as soon as no server may run it.
BOOST_FIXTURE_TEST_CASE(waiting_statements_without_a_server_are_refused_at_once, PlacedFixture)
{
    evacuate("mill");
    FakeCaller waiting;
    execute(open(waiting, "primary"), StatementKind::Write, "WRITE a b");
    BOOST_TEST(waiting.answers.empty()); // "r2" may become primary.
    evacuate("quay");
    BOOST_REQUIRE(waiting.answers.size() == 1U);
    BOOST_TEST((waiting.answers[0].code == ResultCode::NoPrimary));
    takeBack("quay");

    FakeCaller restricted;
    execute(open(restricted, "primary"), StatementKind::Write, "WRITE a b");
    BOOST_TEST(restricted.answers.empty());
    restrict("primary", { "north" });
    BOOST_REQUIRE(restricted.answers.size() == 1U);
    BOOST_TEST((restricted.answers[0].code == ResultCode::NoPrimary));
}

// Hosts that start, are cut off from the store, or follow a store that was replaced by an older copy.
BOOST_AUTO_TEST_CASE(evacuation_is_in_force_on_every_host)
{
    for (const size_t n : { 3U, 40U }) {
        FakeFleet fleet(n);
        const auto evacuatedAt = [&] {
            return static_cast<size_t>(std::count_if(fleet.hosts.begin(), fleet.hosts.end(),
                [](const auto& host) { return host->fixture.gateway.evacuations().contains("mill"); }));
        };
        fleet.pass(seconds(10));
        fleet.store.snapshot();
        fleet.hosts[1]->store.refuses = true; // It follows through other hosts.
        fleet.pass(seconds(3));
        fleet.store.put("e/mill", "{}");
        fleet.pass(milliseconds(500));
        fleet.restart(0, 2); // Starts while the evacuation is in force.
        fleet.pass(seconds(4));
        BOOST_TEST(evacuatedAt() == n);
        fleet.store.unavailable = true;
        fleet.pass(seconds(20));
        BOOST_TEST(evacuatedAt() == n);
        fleet.store.restore(); // The copy has no evacuation.
        fleet.store.unavailable = false;
        fleet.hosts[1]->store.refuses = false;
        fleet.pass(seconds(10));
        BOOST_TEST(evacuatedAt() == n);
        fleet.store.put("e/mill", "{}");
        fleet.pass(seconds(4));
        BOOST_TEST(evacuatedAt() == n);
        fleet.store.erase("e/mill");
        fleet.pass(seconds(4));
        BOOST_TEST(evacuatedAt() == 0U);
    }
}

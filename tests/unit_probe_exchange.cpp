#include "probe_exchange.h"
#include "support_gateway.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cpprest/json.h>
#include <queue>
#include <set>

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct FakeChannel final : PeerChannel {
    void send(const std::string& address, const std::string& datagram) override { sent.push({ address, datagram }); }

    std::queue<std::pair<std::string, std::string>> sent;
};

/// A host that asks and a host that probes. The server "r2" has lapsed at both.
struct Pair {
    struct Host {
        Host(Pair& pair, const std::string& name)
            : prober(
                fixture.gateway, fixture.connector, [&pair] { return pair.now; }, name)
            , exchange(
                  name, channel, [&pair] { return pair.now; }, prober)
        {
            fixture.gateway.directory().registerServer(pair.server(true));
            fixture.gateway.directory().remove("r2", pair.now);
        }

        GatewayFixture fixture;
        FakeChannel channel;
        ServerProber prober;
        ProbeExchange exchange;
    };

    ServerEntry server(bool draining = false) const
    {
        ServerEntry entry;
        entry.id = "r2";
        entry.service = "orders";
        entry.startedUnixMs = 5;
        entry.draining = draining;
        return entry;
    }

    /// Passes time in which the first host asks. Datagrams arrive in the next step, unless the channels are held.
    void pass(Duration duration)
    {
        for (Duration passed {}; passed < duration; passed += milliseconds(10)) {
            now += milliseconds(10);
            if (asks)
                summary = a.exchange.probe(server());
            a.exchange.tick([this] { return hosts; });
            b.exchange.tick([this] { return hosts; });
            if (!held)
                deliver();
        }
    }

    void deliver()
    {
        for (; !a.channel.sent.empty(); a.channel.sent.pop()) {
            ++requests;
            if (a.channel.sent.front().first == "2")
                b.exchange.datagram(a.channel.sent.front().second, addressOf);
        }
        for (; !b.channel.sent.empty(); b.channel.sent.pop())
            a.exchange.datagram(b.channel.sent.front().second, addressOf);
    }

    /// Lets the server answer every command of the second host.
    void answerProbes()
    {
        b.fixture.connector.acceptAll();
        for (size_t i = 0; i < b.fixture.connector.links.size(); ++i) {
            while (!b.fixture.connector.links[i].closed && !b.fixture.connector.links[i].commands.empty())
                b.fixture.connector.reply(i, okReply("", { 1, 1 }));
        }
    }

    static std::string addressOf(const std::string& host) { return host == "a" ? "1" : host == "b" ? "2" : ""; }

    Instant now { seconds(1000) };
    Host a { *this, "a" };
    Host b { *this, "b" };
    std::vector<ProbingHost> hosts { { "b", "2", "north" } };
    ProbeSummary summary;
    bool asks = true;
    bool held = false;
    unsigned requests = 0;
};

const std::vector<std::string> onlyB { "b" };

} // namespace

BOOST_FIXTURE_TEST_CASE(silence_is_reported_with_its_start, Pair)
{
    const Instant start = now;
    pass(milliseconds(600));
    BOOST_TEST(summary.pending); // The first attempt has not failed yet.
    pass(seconds(4));
    BOOST_TEST(!summary.pending);
    BOOST_TEST((summary.notReachedBy == onlyB));
    BOOST_TEST(!summary.reachedAt);
    BOOST_REQUIRE(summary.silentSince.has_value());
    BOOST_TEST((*summary.silentSince >= start));
    BOOST_TEST((*summary.silentSince <= start + milliseconds(100)));
}

BOOST_FIXTURE_TEST_CASE(answers_of_the_server_are_reported, Pair)
{
    for (int i = 0; i < 40; ++i) {
        pass(milliseconds(100));
        answerProbes();
    }
    pass(milliseconds(500));
    BOOST_TEST((summary.reachedBy == onlyB));
    BOOST_TEST(summary.notReachedBy.empty());
    BOOST_REQUIRE(summary.reachedAt.has_value());
    BOOST_TEST((now - *summary.reachedAt <= seconds(2)));
    BOOST_TEST(b.exchange.reachesProbed());
    pass(seconds(3)); // It falls silent.
    BOOST_TEST((summary.notReachedBy == onlyB));
    BOOST_REQUIRE(summary.silentSince.has_value());
    BOOST_TEST((*summary.silentSince >= *summary.reachedAt - milliseconds(100)));
    BOOST_TEST(!b.exchange.reachesProbed());
}

// A server at its connection limit runs; one that is refused or replaced at its address does not answer.
BOOST_FIXTURE_TEST_CASE(closed_connections_tell_whether_the_process_runs, Pair)
{
    const std::pair<BackendCloseReason, bool> cases[]
        = { { BackendCloseReason::ConnectionLimit, true }, { BackendCloseReason::Refused, false },
              { BackendCloseReason::Misrouted, false }, { BackendCloseReason::Lost, false } };
    for (const auto& [reason, runs] : cases) {
        const Instant before = now;
        for (int i = 0; i < 30; ++i) {
            pass(milliseconds(100));
            for (FakeConnector::Opened& link : b.fixture.connector.links) {
                if (!link.closed && !link.accepted)
                    link.observer->backendClosed(reason);
                link.accepted = true;
            }
        }
        BOOST_TEST((summary.reachedBy == onlyB) == runs, "close reason " << static_cast<int>(reason));
        BOOST_TEST((summary.reachedAt && *summary.reachedAt > before) == runs);
    }
}

// However long datagrams take, a server does not seem silent for longer than it is, nor an answer of it older.
BOOST_FIXTURE_TEST_CASE(slow_datagrams_do_not_age_reports, Pair)
{
    pass(milliseconds(10));
    const Instant firstAttempt = now;
    pass(seconds(2));
    held = true;
    pass(milliseconds(1200));
    deliver();
    pass(milliseconds(10));
    BOOST_REQUIRE(summary.silentSince.has_value());
    BOOST_TEST((*summary.silentSince >= firstAttempt - milliseconds(10)));
}

BOOST_FIXTURE_TEST_CASE(late_answers_are_dropped, Pair)
{
    held = true;
    pass(milliseconds(10));
    b.prober.probe("r2", 5);
    pass(seconds(1)); // The first attempt of the other host has failed.
    b.exchange.datagram(a.channel.sent.front().second, addressOf);
    const std::string answer = b.channel.sent.front().second;
    pass(seconds(1));
    BOOST_TEST(a.exchange.datagram(answer, addressOf));
    pass(milliseconds(10));
    BOOST_TEST(!summary.silentSince);
    BOOST_TEST(summary.notReachedBy.empty());
}

// A host that does not answer is not waited for.
BOOST_FIXTURE_TEST_CASE(hosts_that_do_not_answer_are_not_awaited, Pair)
{
    hosts.push_back({ "c", "3", "south" });
    pass(milliseconds(1400));
    BOOST_TEST(summary.pending);
    pass(milliseconds(300));
    BOOST_TEST(!summary.pending);
    BOOST_TEST((summary.notReachedBy == onlyB));
    BOOST_TEST(summary.silentSince.has_value());
}

BOOST_FIXTURE_TEST_CASE(no_other_host_leaves_nothing_pending_for_long, Pair)
{
    hosts.clear();
    pass(seconds(2));
    BOOST_TEST(!summary.pending);
    BOOST_TEST(!summary.reachedAt);
    BOOST_TEST(!summary.silentSince);
}

BOOST_FIXTURE_TEST_CASE(requests_and_probes_end_with_the_need, Pair)
{
    pass(seconds(5));
    BOOST_TEST(requests >= 9U);
    BOOST_TEST(requests <= 11U);
    asks = false;
    pass(seconds(3));
    requests = 0;
    pass(seconds(5));
    BOOST_TEST(requests == 0U);
    pass(seconds(5));
    BOOST_TEST(b.prober.size() == 0U);
}

// A host probes only processes that it knows from their registrations, and a bounded number of them.
BOOST_FIXTURE_TEST_CASE(unknown_processes_are_not_probed, Pair)
{
    BOOST_TEST(!b.prober.probe("r2", 6).has_value());
    BOOST_TEST(!b.prober.probe("other", 5).has_value());
    BOOST_TEST(b.fixture.connector.links.empty());
    const size_t limit = ServerProber::Settings().maxServers;
    for (size_t i = 0; i < limit + 10; ++i) {
        ServerEntry entry = server();
        entry.id = std::to_string(i);
        b.fixture.gateway.directory().registerServer(entry);
        BOOST_TEST(b.prober.probe(entry.id, 5).has_value() == (i < limit));
    }
}

BOOST_FIXTURE_TEST_CASE(malformed_datagrams_are_errors, Pair)
{
    pass(milliseconds(100));
    for (const char* text : { "probe? {", "probe? {}", "probe? {\"h\":\"a\",\"n\":1,\"s\":[[\"r2\"]]}",
             "probe? {\"h\":\"a\",\"n\":1,\"s\":[[\"r2\",\"5\"]]}", "probe? {\"h\":\"a\",\"n\":1,\"s\":[[]]}",
             "probe! [", "probe! {}", "probe! {\"h\":\"b\",\"n\":\"x\",\"s\":[]}",
             "probe! {\"h\":\"b\",\"n\":1,\"s\":[[\"r2\",5,1]]}" })
        BOOST_CHECK_THROW(a.exchange.datagram(text, addressOf), std::exception);
    BOOST_TEST(!a.exchange.datagram("quota? 1", addressOf));
    BOOST_TEST(a.exchange.datagram("probe? {\"h\":\"unknown\",\"n\":1,\"s\":[[\"r2\",5]]}", addressOf));
    // Answers of hosts that were not asked, for servers that nobody asks for, and from the future.
    const std::string future = std::to_string((now + seconds(1)).time_since_epoch().count());
    const std::string present = std::to_string(now.time_since_epoch().count());
    for (const std::string& text : { "probe! {\"h\":\"c\",\"n\":" + present + ",\"s\":[[\"r2\",5,-1,9000000]]}",
             "probe! {\"h\":\"b\",\"n\":" + present + ",\"s\":[[\"r9\",5,-1,9000000]]}",
             "probe! {\"h\":\"b\",\"n\":" + future + ",\"s\":[[\"r2\",5,-1,9000000]]}",
             std::string("probe! {\"h\":\"b\",\"n\":-9223372036854775807,\"s\":[[\"r2\",5,-1,9000000]]}") })
        BOOST_TEST(a.exchange.datagram(text, addressOf));
    BOOST_TEST(!a.exchange.probe(server()).silentSince);
}

// One host of each data centre at least; every host chooses the same ones.
BOOST_AUTO_TEST_CASE(probing_hosts_cover_the_data_centres)
{
    std::vector<ProbingHost> hosts;
    hosts.reserve(60);
    for (int i = 0; i < 60; ++i)
        hosts.push_back({ "host-" + std::to_string(i), "", i < 50 ? "north" : i < 58 ? "south" : "east" });
    ServerEntry server;
    server.id = "r2";
    server.dataCentre = "south";
    const auto chosen = [&] {
        std::map<std::string, size_t> perDataCentre;
        std::set<std::string> names;
        for (const size_t index : chooseProbingHosts(server, hosts, 6)) {
            ++perDataCentre[hosts[index].dataCentre];
            names.insert(hosts[index].name);
        }
        BOOST_TEST(names.size() == 6U);
        BOOST_TEST(perDataCentre["south"] == 4U);
        BOOST_TEST(perDataCentre["north"] == 1U);
        BOOST_TEST(perDataCentre["east"] == 1U);
        return names;
    };
    const std::set<std::string> names = chosen();
    std::reverse(hosts.begin(), hosts.end());
    BOOST_TEST((chosen() == names));
    BOOST_TEST(chooseProbingHosts(server, gsl::span<const ProbingHost>(hosts).first(3), 6).size() == 3U);
    BOOST_TEST(chooseProbingHosts(server, {}, 6).empty());
}

// Guards against a server that seems silent for ages, or answering in the future, because of one malformed report: the
// times are kept and would count in every later decision about its promotion.
BOOST_FIXTURE_TEST_CASE(ages_out_of_range_are_errors, Pair)
{
    held = true;
    pass(milliseconds(600));
    BOOST_REQUIRE(!a.channel.sent.empty());
    const std::string request = a.channel.sent.back().second;
    const std::string number = web::json::value::parse(request.substr(request.find('{'))).at("n").serialize();
    for (const std::string ages : { "9223372036854775807,-1", "-1,9223372036854775807", "1e30,-1", "-1,1e30", "0.5,-1",
             "-7,-1", "-1,18446744073709551615" }) {
        std::string answer = R"(probe! {"h":"b","n":)";
        answer.append(number).append(R"(,"s":[["r2",5,)").append(ages).append("]]}");
        BOOST_CHECK_THROW(a.exchange.datagram(answer, addressOf), std::exception);
    }
    for (const std::string other : { "1e30", "0.5", "18446744073709551615", "18446744073709551616" })
        BOOST_CHECK_THROW(
            a.exchange.datagram(R"(probe! {"h":"b","n":)" + other + R"(,"s":[["r2",5,0,-1]]})", addressOf),
            std::exception);
    pass(milliseconds(20));
    BOOST_TEST(!summary.silentSince.has_value());
    BOOST_TEST(!summary.reachedAt.has_value());
}

#include "position_exchange.h"
#include <boost/test/unit_test.hpp>
#include <cpprest/json.h>
#include <queue>

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct FakeHolder final : PositionHolder {
    std::vector<std::string> servicesToRefresh() const override { return servicesToRequest; }
    std::optional<PrimaryPositions::Observation> positionOf(const std::string& service) override
    {
        return service == "orders" ? known : std::nullopt;
    }
    void positionReceived(const std::string& service, const PrimaryPositions::Observation& position) override
    {
        BOOST_TEST(service == "orders");
        received.push_back(position);
    }

    std::vector<std::string> servicesToRequest;
    std::optional<PrimaryPositions::Observation> known;
    std::vector<PrimaryPositions::Observation> received;
};

struct FakeChannel final : PeerChannel {
    void send(const std::string& address, const std::string& datagram) override { sent.push({ address, datagram }); }

    std::queue<std::pair<std::string, std::string>> sent;
};

struct Pair {
    std::string take(FakeChannel& channel, const std::string& expectedAddress)
    {
        BOOST_REQUIRE(!channel.sent.empty());
        const auto [address, text] = channel.sent.front();
        channel.sent.pop();
        BOOST_TEST(address == expectedAddress);
        return text;
    }
    static std::string addressOf(const std::string& host) { return host == "a" ? "1" : ""; }

    Instant now { seconds(1000) };
    FakeHolder requester;
    FakeHolder source;
    FakeChannel fromRequester;
    FakeChannel fromSource;
    PositionExchange a { "a", fromRequester, [this] { return now; }, requester, firstPeerRequest(1) };
    PositionExchange b { "b", fromSource, [this] { return now; }, source, firstPeerRequest(1) };
    PositionExchange::Sources sources = [] {
        return std::vector<std::pair<std::string, std::string>> { { "b", "2" }, { "c", "3" } };
    };
};

} // namespace

// A position never seems newer than it is, however long the datagrams and a pause of either host take.
BOOST_FIXTURE_TEST_CASE(positions_never_seem_newer_than_they_are, Pair)
{
    requester.servicesToRequest = { "orders", "unknown" };
    source.known = PrimaryPositions::Observation { { 2, 40 }, now };
    now += milliseconds(100);
    const Instant requestedAt = now;
    a.tick(sources);
    const std::string request = take(fromRequester, "2");
    now += milliseconds(90);
    BOOST_TEST(b.datagram(request, addressOf));
    const std::string answer = take(fromSource, "1");
    now += milliseconds(100);
    BOOST_TEST(a.datagram(answer, addressOf));
    BOOST_REQUIRE(requester.received.size() == 1U);
    BOOST_TEST((requester.received[0].position == LogPosition { 2, 40 }));
    BOOST_TEST((requester.received[0].requestedAt == requestedAt - milliseconds(190)));
    BOOST_TEST((requester.received[0].requestedAt <= source.known->requestedAt));
    BOOST_TEST(a.datagram(answer, addressOf)); // A repeated answer has no effect.
    BOOST_TEST(requester.received.size() == 1U);
}

// A host that does not answer is replaced by the next one; its late answer is ignored.
BOOST_FIXTURE_TEST_CASE(silent_source_is_replaced, Pair)
{
    requester.servicesToRequest = { "orders" };
    source.known = PrimaryPositions::Observation { { 2, 40 }, now };
    a.tick(sources);
    BOOST_TEST(b.datagram(take(fromRequester, "2"), addressOf));
    now += milliseconds(400);
    a.tick(sources);
    take(fromRequester, "3");
    BOOST_TEST(a.datagram(take(fromSource, "1"), addressOf));
    BOOST_TEST(requester.received.empty());
}

BOOST_FIXTURE_TEST_CASE(requests_are_sent_only_when_needed, Pair)
{
    a.tick(sources);
    requester.servicesToRequest = { "orders" };
    a.tick([] { return std::vector<std::pair<std::string, std::string>>(); });
    BOOST_TEST(fromRequester.sent.empty());
    a.tick(sources);
    a.tick(sources);
    BOOST_TEST(fromRequester.sent.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(malformed_datagrams_are_errors, Pair)
{
    requester.servicesToRequest = { "orders" };
    a.tick(sources);
    for (const char* text : { "evidence? {", "evidence? {}", "evidence! {}", "evidence! [" })
        BOOST_CHECK_THROW(a.datagram(text, addressOf), std::exception);
    BOOST_TEST(!a.datagram("quota? 1", addressOf));
}

// The age in an answer to an earlier process of this host would be subtracted from a later request's time, so that the
// position would seem newer than it is.
BOOST_FIXTURE_TEST_CASE(an_answer_to_an_earlier_process_is_ignored, Pair)
{
    requester.servicesToRequest = { "orders" };
    source.known = PrimaryPositions::Observation { { 1, 5 }, now };
    a.tick(sources);
    BOOST_TEST(b.datagram(take(fromRequester, "2"), addressOf));
    const std::string answer = take(fromSource, "1");
    now += seconds(1);
    PositionExchange restarted(
        "a", fromRequester, [this] { return now; }, requester, firstPeerRequest(2));
    restarted.tick(sources);
    BOOST_TEST(restarted.datagram(answer, addressOf));
    BOOST_TEST(requester.received.empty());
}

// Guards against a position that no log ever reaches: reads would wait for it until the host ends.
BOOST_FIXTURE_TEST_CASE(positions_out_of_range_are_errors, Pair)
{
    requester.servicesToRequest = { "orders" };
    for (const std::string numbers : { "18446744073709551615,1", "1,18446744073709551615", "9223372036854775807,1",
             "1,9223372036854775807", "-1,1", "1e30,1", "1.5,1" }) {
        now += seconds(10);
        a.tick(sources);
        const std::string request = fromRequester.sent.back().second;
        const std::string number = web::json::value::parse(request.substr(request.find('{'))).at("n").serialize();
        std::string answer = "evidence! {\"n\":";
        answer.append(number).append(",\"e\":{\"orders\":[").append(numbers).append(",0]}}");
        BOOST_CHECK_THROW(a.datagram(answer, addressOf), std::exception);
    }
    BOOST_TEST(requester.received.empty());
}

// A host that answers, but has lost its own source, is left for another one; the last one is kept.
BOOST_FIXTURE_TEST_CASE(host_with_old_positions_is_left_for_another, Pair)
{
    requester.servicesToRequest = { "orders" };
    source.known = PrimaryPositions::Observation { { 3, 10 }, now - seconds(2) };
    a.tick(sources);
    b.datagram(take(fromRequester, "2"), addressOf);
    a.datagram(take(fromSource, "1"), addressOf);
    BOOST_TEST(requester.received.size() == 1U);
    for (int i = 0; i < 2; ++i) {
        now += milliseconds(400);
        a.tick(sources);
        b.datagram(take(fromRequester, "3"), addressOf);
        a.datagram(take(fromSource, "1"), addressOf);
    }
    now += seconds(3);
    a.tick(sources);
    take(fromRequester, "2");
}

#include "position_exchange.h"
#include <boost/test/unit_test.hpp>
#include <queue>

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct FakeHolder final : PositionHolder {
    std::vector<std::string> servicesToRefresh() const override { return wanted; }
    std::optional<PrimaryPositions::Observation> positionOf(const std::string& service) override
    {
        return service == "orders" ? known : std::nullopt;
    }
    void positionReceived(const std::string& service, const PrimaryPositions::Observation& point) override
    {
        BOOST_TEST(service == "orders");
        told.push_back(point);
    }

    std::vector<std::string> wanted;
    std::optional<PrimaryPositions::Observation> known;
    std::vector<PrimaryPositions::Observation> told;
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
    FakeHolder asker;
    FakeHolder source;
    FakeChannel fromAsker;
    FakeChannel fromSource;
    PositionExchange a { "a", fromAsker, [this] { return now; }, asker };
    PositionExchange b { "b", fromSource, [this] { return now; }, source };
    PositionExchange::Sources sources = [] {
        return std::vector<std::pair<std::string, std::string>> { { "b", "2" }, { "c", "3" } };
    };
};

} // namespace

// Evidence never seems younger than it is, however long the datagrams and a pause of either host take.
BOOST_FIXTURE_TEST_CASE(delays_only_age_evidence, Pair)
{
    asker.wanted = { "orders", "unknown" };
    source.known = PrimaryPositions::Observation { { 2, 40 }, now };
    now += milliseconds(100);
    const Instant asked = now;
    a.tick(sources);
    const std::string question = take(fromAsker, "2");
    now += milliseconds(90);
    BOOST_TEST(b.datagram(question, addressOf));
    const std::string answer = take(fromSource, "1");
    now += milliseconds(100);
    BOOST_TEST(a.datagram(answer, addressOf));
    BOOST_REQUIRE(asker.told.size() == 1U);
    BOOST_TEST((asker.told[0].position == LogPosition { 2, 40 }));
    BOOST_TEST((asker.told[0].requestedAt == asked - milliseconds(190)));
    BOOST_TEST((asker.told[0].requestedAt <= source.known->requestedAt));
    BOOST_TEST(a.datagram(answer, addressOf)); // Once more: without effect.
    BOOST_TEST(asker.told.size() == 1U);
}

// A host that does not answer is replaced by the next; what it answers late is not used.
BOOST_FIXTURE_TEST_CASE(silent_source_is_replaced, Pair)
{
    asker.wanted = { "orders" };
    source.known = PrimaryPositions::Observation { { 2, 40 }, now };
    a.tick(sources);
    BOOST_TEST(b.datagram(take(fromAsker, "2"), addressOf));
    now += milliseconds(400);
    a.tick(sources);
    take(fromAsker, "3");
    BOOST_TEST(a.datagram(take(fromSource, "1"), addressOf));
    BOOST_TEST(asker.told.empty());
}

BOOST_FIXTURE_TEST_CASE(nobody_is_asked_without_need, Pair)
{
    a.tick(sources);
    asker.wanted = { "orders" };
    a.tick([] { return std::vector<std::pair<std::string, std::string>>(); });
    BOOST_TEST(fromAsker.sent.empty());
    a.tick(sources);
    a.tick(sources);
    BOOST_TEST(fromAsker.sent.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(malformed_datagrams_are_errors, Pair)
{
    asker.wanted = { "orders" };
    a.tick(sources);
    for (const char* text : { "evidence? {", "evidence? {}", "evidence! {}", "evidence! [" })
        BOOST_CHECK_THROW(a.datagram(text, addressOf), std::exception);
    BOOST_TEST(!a.datagram("quota? 1", addressOf));
}

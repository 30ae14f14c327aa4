#include "change_exchange.h"
#include "support_fleet.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A host that misses changes and one that has them; datagrams are delivered at once unless they are lost.
struct Fixture {
    Fixture()
        : source(
            "teller", sourcePort, [this] { return now; }, [this] { return readListing(); })
        , requester(
              "asker", requesterPort, [this] { return now; }, [] { return StoreEvents(); })
    {
    }

    StoreEvents readListing()
    {
        ++listingsRead;
        return listing;
    }

    static std::string addressOf(const std::string& host) { return host; }

    void tick(std::optional<uint64_t> after)
    {
        requester.tick(after, [this] { return sources; });
    }

    bool hasRequested(const std::string& host) const
    {
        return std::any_of(network.sent.begin(), network.sent.end(),
            [&](const FakePeerNetwork::Datagram& it) { return it.to == host; });
    }

    /// Delivers up to n datagrams, in the order in which they were sent. Returns the changes that were received
    /// completely.
    std::optional<StoreEvents> deliver(size_t n = SIZE_MAX)
    {
        std::optional<StoreEvents> read;
        for (; n > 0 && !network.queue.empty(); --n) {
            const FakePeerNetwork::Datagram datagram = network.queue.front();
            network.queue.pop_front();
            ++delivered;
            if (datagram.to == "other" || (lost && lost(delivered)))
                continue;
            std::optional<StoreEvents> changes;
            BOOST_TEST((datagram.to == "teller" ? source : requester).datagram(datagram.text, addressOf, changes));
            if (changes)
                read = changes;
        }
        return read;
    }

    Instant now { seconds(1000) };
    StoreEvents listing; ///< Of the host that has the changes.
    unsigned listingsRead = 0;
    std::vector<std::pair<std::string, std::string>> sources { { "teller", "teller" } };
    FakePeerNetwork network;
    FakePeerNetwork::Port sourcePort { network, "teller" };
    FakePeerNetwork::Port requesterPort { network, "asker" };
    ChangeExchange source;
    ChangeExchange requester;
    size_t delivered = 0;
    std::function<bool(size_t)> lost;
};

/// Returns a change whose value has the given size and does not compress well.
StoreEvents change(uint64_t revision, size_t bytes)
{
    std::mt19937 random(static_cast<unsigned>(revision));
    std::string value;
    while (value.size() < bytes)
        value += static_cast<char>(random() % 256);
    return { revision - 1, revision, Duration(0), { { "key" + std::to_string(revision), value, revision, false } } };
}

} // namespace

BOOST_FIXTURE_TEST_CASE(changes_after_a_revision_are_sent_completely, Fixture)
{
    for (uint64_t revision = 11; revision <= 14; ++revision)
        source.keep(change(revision, 20000));
    tick(12);
    const std::optional<StoreEvents> read = deliver();
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->from == 12U);
    BOOST_TEST(read->to == 14U);
    BOOST_REQUIRE(read->items.size() == 2U);
    BOOST_TEST(read->items[1].value == change(14, 20000).items[0].value);
    for (const FakePeerNetwork::Datagram& datagram : network.sent)
        BOOST_TEST(datagram.text.size() <= 1200U);
}

BOOST_FIXTURE_TEST_CASE(only_lost_parts_are_requested_again, Fixture)
{
    source.keep(change(11, 20000));
    lost = [](size_t n) { return n == 5 || n == 7; };
    tick(10);
    BOOST_TEST(!deliver().has_value());
    now += milliseconds(160);
    tick(10);
    network.sent.clear();
    BOOST_TEST(deliver().has_value());
    BOOST_TEST(network.sent.size() == 2U);
}

// Changes with a gap are not sent: the receiver would wrongly consider a revision complete.
BOOST_FIXTURE_TEST_CASE(changes_with_a_gap_are_not_sent, Fixture)
{
    source.keep(change(11, 100));
    source.keep(change(13, 100));
    tick(10);
    BOOST_TEST(!deliver().has_value());
    BOOST_TEST(network.sent.size() == 1U);
    now += milliseconds(160);
    tick(12); // Fewer changes are missing now, so another request is sent.
    BOOST_TEST(deliver().has_value());
}

// Guards against changes of a store's earlier era, whose revisions a restored store gives out again.
BOOST_FIXTURE_TEST_CASE(changes_of_another_era_are_not_sent, Fixture)
{
    source.setEra(1);
    requester.setEra(2);
    StoreEvents events = change(11, 20000);
    events.era = 1;
    source.keep(events);
    tick(10);
    BOOST_TEST(!deliver().has_value()); // The requesting host knows a newer era.
    source.setEra(2);
    now += milliseconds(160);
    tick(10);
    BOOST_TEST(!deliver().has_value()); // The kept changes were dropped.
    source.keep(events);
    now += milliseconds(160);
    tick(10);
    BOOST_TEST(!deliver().has_value()); // A late answer of the earlier era.
    events.era = 2;
    source.keep(events);
    now += milliseconds(160);
    tick(10);
    const std::optional<StoreEvents> read = deliver();
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->era == 2U);
    BOOST_TEST(read->to == 11U);
}

// Guards against an answer composed of parts from before and after a restore of the store.
BOOST_FIXTURE_TEST_CASE(parts_of_an_earlier_era_are_dropped, Fixture)
{
    source.keep(change(11, 20000));
    lost = [](size_t n) { return n == 5; };
    tick(10);
    BOOST_TEST(!deliver().has_value());
    lost = nullptr;
    const std::vector<FakePeerNetwork::Datagram> sent = network.sent;
    requester.setEra(1);
    for (const FakePeerNetwork::Datagram& datagram : sent)
        network.queue.push_back(datagram);
    BOOST_TEST(!deliver().has_value());
}

// A listing is packed once for several hosts, although the store goes on changing, and only its lost parts are sent
// again.
BOOST_FIXTURE_TEST_CASE(a_listing_is_packed_once, Fixture)
{
    source.keep(change(41, 100));
    listing = change(40, 20000);
    listing.from = 0;
    for (const bool partsLost : { true, false }) {
        lost = [&](size_t n) { return partsLost && (n == 5 || n == 7); };
        tick(0);
        std::optional<StoreEvents> read = deliver();
        if (partsLost) {
            BOOST_TEST(!read.has_value());
            listing.to = 41;
            now += milliseconds(160);
            tick(0);
            network.sent.clear();
            read = deliver();
            BOOST_TEST(network.sent.size() == 2U);
        }
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST(read->from == 0U);
        BOOST_TEST(read->to == 40U);
        BOOST_TEST(read->items[0].value == listing.items[0].value);
    }
    BOOST_TEST(listingsRead == 1U);
    now += seconds(3);
    source.tick(std::nullopt, {});
    tick(0);
    const std::optional<StoreEvents> later = deliver();
    BOOST_REQUIRE(later.has_value());
    BOOST_TEST(later->to == 41U);
}

// Guards against a listing whose following changes no host can send.
BOOST_FIXTURE_TEST_CASE(a_listing_before_a_gap_is_not_sent_again, Fixture)
{
    source.keep(change(41, 100));
    listing = change(40, 100);
    tick(0);
    BOOST_TEST(deliver().value_or(StoreEvents()).to == 40U);
    listing = change(50, 100);
    source.keep(change(51, 100));
    tick(0);
    BOOST_TEST(deliver().value_or(StoreEvents()).to == 50U);
}

// Changes alone are no listing, and a listing of another era is none of this one.
BOOST_FIXTURE_TEST_CASE(a_listing_of_another_era_is_not_sent, Fixture)
{
    source.keep(change(1, 100));
    source.setEra(2);
    requester.setEra(2);
    tick(0);
    BOOST_TEST(!deliver().has_value());
    listing = change(40, 100);
    listing.era = 1;
    now += milliseconds(160);
    tick(0);
    BOOST_TEST(!deliver().has_value());
    listing.era = 2;
    now += milliseconds(160);
    tick(0);
    BOOST_TEST(deliver().has_value());
    requester.setEra(3);
    now += milliseconds(160);
    tick(0);
    BOOST_TEST(!deliver().has_value());
}

BOOST_FIXTURE_TEST_CASE(host_without_the_changes_gets_no_further_requests, Fixture)
{
    for (int i = 0; i < 50; ++i) {
        tick(10);
        deliver();
        now += milliseconds(20);
    }
    BOOST_TEST(network.sent.size() == ChangeExchange::Settings().tries);
}

BOOST_FIXTURE_TEST_CASE(malformed_parts_are_rejected, Fixture)
{
    std::optional<StoreEvents> changes;
    for (const std::string text : { "x", "1 11 3 2 x", "1 11 0 99999999 x" })
        BOOST_CHECK_THROW(requester.datagram("changes! " + text, Fixture::addressOf, changes), std::exception);
    BOOST_CHECK_THROW(source.datagram("changes? 1", Fixture::addressOf, changes), std::exception);
    uint64_t number = 0;
    for (const std::string text : { "99999999999 x", "no", "100 no", "" }) {
        now += seconds(3);
        tick(++number);
        const std::string whole = "changes! " + std::to_string(number) + " 11 0 1 " + text;
        if (text.empty())
            BOOST_TEST(requester.datagram(whole, Fixture::addressOf, changes)); // An empty part counts as missing.
        else
            BOOST_CHECK_THROW(requester.datagram(whole, Fixture::addressOf, changes), std::exception);
    }
    BOOST_TEST(!changes.has_value());
    BOOST_TEST(!requester.datagram("store! {}", Fixture::addressOf, changes));
}

// Load pattern: configurations in quick succession. A host that missed several gets the newest alone.
BOOST_FIXTURE_TEST_CASE(only_the_last_change_of_a_key_is_sent, Fixture)
{
    for (uint64_t revision = 11; revision <= 30; ++revision) {
        StoreEvents events = change(revision, 20000);
        events.items.front().key = revision % 5 == 0 ? "other" : "config";
        source.keep(events);
    }
    tick(10);
    const std::optional<StoreEvents> read = deliver();
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->from == 10U);
    BOOST_TEST(read->to == 30U);
    BOOST_REQUIRE(read->items.size() == 2U);
    BOOST_TEST(read->items[0].revision == 29U);
    BOOST_TEST(read->items[1].revision == 30U);
}

// Guards against a transfer that starts anew with each change and never ends: changes come faster than a weak host
// receives them, and parts get lost.
BOOST_FIXTURE_TEST_CASE(a_transfer_ends_although_newer_changes_come, Fixture)
{
    source.keep(change(11, 30000));
    lost = [](size_t n) { return n % 4 == 0; };
    tick(10);
    std::optional<StoreEvents> read = deliver();
    for (uint64_t revision = 12; revision <= 15 && !read; ++revision) {
        now += milliseconds(150);
        StoreEvents newer = change(revision, 30000);
        newer.items.front().key = "config";
        source.keep(newer);
        const size_t before = network.sent.size();
        tick(10);
        read = deliver();
        BOOST_TEST(network.sent.size() - before < 20U); // The lost parts only.
    }
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->to == 11U);
}

// A host that has not received a change yet itself answers as soon as it has.
BOOST_FIXTURE_TEST_CASE(a_request_waits_for_the_change, Fixture)
{
    source.keep(change(11, 100));
    tick(11);
    BOOST_TEST(!deliver().has_value());
    source.keep(change(12, 5000));
    const std::optional<StoreEvents> read = deliver();
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->to == 12U);
    tick(12);
    deliver();
    now += seconds(2);
    const size_t sent = network.sent.size();
    source.keep(change(13, 100));
    BOOST_TEST(network.sent.size() == sent); // It has asked another host since.
}

// Guards against configurations that hosts stop passing on as soon as any other item of the store changes.
BOOST_FIXTURE_TEST_CASE(the_largest_value_is_kept_beside_later_changes, Fixture)
{
    constexpr size_t largestValueBytes = 1024 * 1024;
    std::string document;
    for (unsigned i = 0; document.size() < largestValueBytes; ++i)
        document += R"({"host":"db)" + std::to_string(i * 7919 % 100000) + R"(","kind":"primary","priority":0},)";
    document.resize(largestValueBytes);
    source.keep({ 10, 11, Duration(0), { { "config", document, 11, false } } });
    for (uint64_t revision = 12; revision <= 30; ++revision)
        source.keep(change(revision, 300));
    tick(10);
    const std::optional<StoreEvents> read = deliver();
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read->to == 30U);
    BOOST_REQUIRE(read->items.size() == 20U);
    BOOST_TEST((read->items.front().value == document));
}

// Load pattern: many hosts request a large configuration from one, whose link takes a second for all answers. Parts
// that are still on their way must not be sent again.
BOOST_FIXTURE_TEST_CASE(an_arriving_answer_is_not_requested_again, Fixture)
{
    source.keep(change(11, 100000));
    std::optional<StoreEvents> read;
    for (unsigned i = 0; i < 100 && !read; ++i) {
        tick(10);
        read = deliver(5);
        now += milliseconds(50);
    }
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST((now - Instant(seconds(1000)) > milliseconds(600))); // Longer than all tries at one host.
    const auto isRequest = [](const FakePeerNetwork::Datagram& it) { return it.to == "teller"; };
    BOOST_TEST(std::count_if(network.sent.begin(), network.sent.end(), isRequest) == 1);
}

// A host that is receiving the changes itself is waited for; one that only waits, too, is not.
BOOST_FIXTURE_TEST_CASE(a_host_that_is_receiving_the_changes_is_waited_for, Fixture)
{
    source.keep(change(10, 100));
    sources.emplace_back("other", "other");
    const StoreEvents next = change(11, 20000);
    ChangeExchange first(
        "first", sourcePort, [this] { return now; }, [] { return StoreEvents(); });
    first.keep(change(10, 100));
    first.keep(next);
    const auto ask = [&] {
        tick(10);
        deliver();
        now += milliseconds(50);
    };
    source.tick(10, [] { return std::vector<std::pair<std::string, std::string>> { { "first", "first" } }; });
    std::optional<StoreEvents> none;
    first.datagram(
        network.queue.front().text, [](const std::string&) { return std::string("teller"); }, none);
    network.queue.pop_front();
    std::deque<FakePeerNetwork::Datagram> parts;
    parts.swap(network.queue);
    while (parts.size() > 1) { // One part each 50 ms, for longer than all tries at one host take.
        BOOST_TEST(source.datagram(parts.front().text, Fixture::addressOf, none));
        parts.pop_front();
        ask();
        BOOST_TEST((now - Instant(seconds(1000)) < milliseconds(300) || requester.isReceiving()));
    }
    BOOST_TEST((now - Instant(seconds(1000)) > milliseconds(700)));
    BOOST_TEST(!hasRequested("other"));
    for (unsigned i = 0; i < 30; ++i) {
        source.tick(10, [] { return std::vector<std::pair<std::string, std::string>>(); });
        ask();
    }
    BOOST_TEST(hasRequested("other"));
}

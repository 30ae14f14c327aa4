#include "store_relay.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace plantainwall;

namespace {

StoreItem item(uint64_t revision, size_t bytes)
{
    return { "key" + std::to_string(revision), std::string(bytes, '\xff'), revision, false };
}

} // namespace

// Values of arbitrary bytes and removals are preserved, and the datagrams cover the revisions without a gap.
BOOST_AUTO_TEST_CASE(events_pass_in_small_datagrams)
{
    StoreEvents events { 10, 50, std::chrono::milliseconds(7), {}, 3 };
    for (uint64_t i = 11; i <= 40; ++i)
        events.items.push_back(item(i, 150));
    events.items.push_back({ "gone", "", 41, true });
    const std::vector<std::string> datagrams = encodeStoreEvents(events);
    BOOST_TEST(datagrams.size() > 3U);
    uint64_t nextFrom = 10;
    std::vector<StoreItem> items;
    for (const std::string& datagram : datagrams) {
        BOOST_TEST(datagram.size() <= 1400U);
        BOOST_TEST(isStoreEvents(datagram));
        const StoreEvents decoded = decodeStoreEvents(datagram);
        BOOST_TEST(decoded.from == nextFrom);
        BOOST_TEST((decoded.age == events.age));
        BOOST_TEST(decoded.era == 3U);
        nextFrom = decoded.to;
        items.insert(items.end(), decoded.items.begin(), decoded.items.end());
    }
    BOOST_TEST(nextFrom == 50U);
    BOOST_REQUIRE(items.size() == events.items.size());
    BOOST_TEST(items[3].value == events.items[3].value);
    BOOST_TEST(items.back().removed);
}

// A change too large for a datagram is reported by its revision only, and no datagram claims to contain it.
BOOST_AUTO_TEST_CASE(large_items_are_left_out)
{
    const StoreEvents events { 10, 13, Duration(0), { item(11, 10), item(12, 5000), item(13, 10) } };
    for (const std::string& datagram : encodeStoreEvents(events)) {
        const StoreEvents decoded = decodeStoreEvents(datagram);
        BOOST_TEST((decoded.to <= 11U || decoded.from == decoded.to));
    }
    BOOST_TEST(decodeStoreEvents(encodeStoreEvents(events).back()).to == 13U);
}

BOOST_AUTO_TEST_CASE(malformed_datagrams_are_errors)
{
    for (const char* text : { "store! ", "store! {", "store! {}", "store! {\"f\":1,\"t\":2}",
             "store! {\"f\":1,\"t\":2,\"a\":0,\"i\":[{}]}" })
        BOOST_CHECK_THROW(decodeStoreEvents(text), std::exception);
    BOOST_TEST(!isStoreEvents("quota? 1"));
}

BOOST_AUTO_TEST_CASE(regions_have_relays_of_their_own)
{
    std::vector<RelayCandidate> all;
    all.reserve(40);
    for (int i = 0; i < 40; ++i)
        all.push_back({ "h" + std::to_string(i), i % 4 == 0 ? "small" : "large" });
    for (const char* region : { "small", "large" }) {
        const std::vector<std::string> relays = relaysOf(region, all, 3);
        BOOST_TEST(relays.size() == 3U);
        for (const std::string& host : relays)
            BOOST_TEST((std::stoul(host.substr(1)) % 4 == 0) == (std::string(region) == "small"));
        std::reverse(all.begin(), all.end());
        BOOST_TEST((relaysOf(region, all, 3) == relays));
    }
    BOOST_TEST(relaysOf("none", all, 3).empty());
}

// Strong hosts watch the store for weak ones, however many of those there are.
BOOST_AUTO_TEST_CASE(strong_hosts_are_relays)
{
    std::vector<RelayCandidate> all;
    all.reserve(150);
    for (int i = 0; i < 150; ++i)
        all.push_back({ "h" + std::to_string(i), "r", i < 2 ? 0.5 : 0.12 });
    const std::vector<std::string> relays = relaysOf("r", all, 3);
    BOOST_REQUIRE(relays.size() == 3U);
    BOOST_TEST(std::count(relays.begin(), relays.end(), "h0") == 1);
    BOOST_TEST(std::count(relays.begin(), relays.end(), "h1") == 1);
}

// More revisions than a store gives out in an era; see the fencing tokens.
BOOST_AUTO_TEST_CASE(revisions_out_of_range_are_errors)
{
    for (const std::string max : { "18446744073709551615", "9223372036854775807", "1000000000000000" }) {
        BOOST_CHECK_THROW(decodeStoreEvents(R"(store! {"f":1,"t":)" + max + R"(,"a":0})"), std::exception);
        BOOST_CHECK_THROW(decodeStoreEvents(R"(store! {"f":)" + max + R"(,"t":1,"a":0})"), std::exception);
        BOOST_CHECK_THROW(decodeStoreEvents(R"(store! {"f":1,"t":2,"a":0,"e":)" + max + "}"), std::exception);
        BOOST_CHECK_THROW(
            decodeStoreEvents(R"(store! {"f":1,"t":2,"a":0,"i":[{"k":"a","r":)" + max + "}]}"), std::exception);
    }
    BOOST_TEST(decodeStoreEvents(R"(store! {"f":1,"t":60000000000,"a":0,"e":100000000})").to == 60000000000U);
}

#include "change_exchange.h"
#include "position_exchange.h"
#include "primary_lease.h"
#include "probe_exchange.h"
#include "quota_exchange.h"
#include "replica_record.h"
#include "revocation_exchange.h"
#include "support_gateway.h"
#include "support_odd_texts.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct FakeChannel final : PeerChannel {
    void send(const std::string& address, const std::string& datagram) override
    {
        sent.emplace_back(address, datagram);
    }

    std::vector<std::pair<std::string, std::string>> sent;
};

std::string addressOf(const std::string& host) { return host; }

/// Returns different names, as JSON documents may hold them, none of which is a part of another by accident only.
std::vector<std::string> oddNames(uint64_t seed)
{
    std::set<std::string> names { "-", "a", "a b", " a", "a ", "!", "?", "! 1", "? 1 a a", "1 a b", "\n", "a\nb",
        "a\r\n", "quota? 1 a a", "{\"h\":1}", "\\", "\"", "\t", std::string(1, '\0'), std::string(20000, 'x'),
        "\xf0\x9f\x98\x80" };
    test::OddTexts texts(seed);
    while (names.size() < 200) {
        std::string text = texts.lastField();
        text.erase(
            std::remove_if(text.begin(), text.end(), [](char c) { return c == '\xff' || c == '\xfe'; }), text.end());
        if (!text.empty())
            names.insert(text);
    }
    return { names.begin(), names.end() };
}

/// A host "b" that counts for the weak host "a".
struct Quota {
    Quota()
    {
        asking.setFleet({ { "b", "b" } }, 2, { "a" });
        counting.setFleet({ { "a", "a" } }, 2, { "a" });
    }

    void addCustomer(const std::string& customer)
    {
        for (QuotaExchange* const it : { &asking, &counting })
            it->setLimit({ customer, 0.001, 4 });
    }

    /// Returns the tokens that host "a" gets of three requests.
    size_t tokensOf(const std::string& customer)
    {
        size_t admitted = 0;
        for (int i = 0; i < 3; ++i)
            asking.requestToken(customer, [&](QuotaBuckets::Verdict it) { admitted += it.admitted ? 1 : 0; });
        deliver();
        return admitted;
    }

    void deliver()
    {
        for (const auto& [address, text] : fromAsking.sent) {
            if (text.size() <= PeerChannel::maxDatagramBytes)
                BOOST_TEST(counting.datagram(text));
        }
        fromAsking.sent.clear();
        for (const auto& [address, text] : fromCounting.sent)
            BOOST_TEST(asking.datagram(text));
        fromCounting.sent.clear();
    }

    Instant now { seconds(1000) };
    FakeChannel fromAsking;
    FakeChannel fromCounting;
    QuotaExchange asking { "a", fromAsking, [this] { return now; } };
    QuotaExchange counting { "b", fromCounting, [this] { return now; } };
};

/// Knows the position of each service by its name.
struct FakeHolder final : PositionHolder {
    std::vector<std::string> servicesToRefresh() const override { return services; }
    std::optional<PrimaryPositions::Observation> positionOf(const std::string& service) override
    {
        const auto it = positions.find(service);
        return it == positions.end() ? std::nullopt : std::make_optional(it->second);
    }
    void positionReceived(const std::string& service, const PrimaryPositions::Observation& position) override
    {
        positions[service] = position;
    }

    std::vector<std::string> services;
    std::map<std::string, PrimaryPositions::Observation> positions;
};

} // namespace

// Each customer gets the two tokens of its bucket, whatever its name; a name that is read as another one would take
// that one's.
BOOST_FIXTURE_TEST_CASE(tokens_are_those_of_the_named_customer, Quota)
{
    const std::vector<std::string> names = oddNames(1);
    for (const std::string& name : names)
        addCustomer(name);
    for (const std::string& name : names)
        BOOST_TEST(tokensOf(name) == 2U, test::printable(name).substr(0, 100));
}

// The host that counts answers for all other customers, so it must not count as unresponsive.
BOOST_FIXTURE_TEST_CASE(a_name_that_no_datagram_carries_costs_no_other_customer, Quota)
{
    const std::string huge(70000, 'x');
    addCustomer(huge);
    addCustomer("hatter");
    size_t verdicts = 0;
    size_t admitted = 0;
    const auto handler = [&](QuotaBuckets::Verdict it) {
        ++verdicts;
        admitted += it.admitted ? 1 : 0;
    };
    asking.requestToken(huge, handler);
    for (int i = 0; i < 50; ++i) {
        now += milliseconds(20);
        deliver();
        asking.tick();
    }
    BOOST_TEST(verdicts == 1U);
    for (QuotaExchange* const it : { &asking, &counting })
        it->setLimit({ huge, 10, 4 });
    for (int i = 0; i < 500; ++i) {
        now += milliseconds(20);
        asking.requestToken(huge, handler);
        counting.requestToken(huge, handler);
    }
    BOOST_TEST(verdicts == 1001U);
    BOOST_TEST(admitted >= 98U); // Ten a second, on both hosts together.
    BOOST_TEST(admitted <= 105U);
    BOOST_TEST(asking.unresponsiveHosts() == 0U);
    BOOST_TEST(asking.quotaHost("hatter") == "b");
    BOOST_TEST(tokensOf("hatter") == 2U);
}

BOOST_AUTO_TEST_CASE(positions_are_those_of_the_named_service)
{
    Instant now { seconds(1000) };
    FakeHolder source;
    FakeHolder requester;
    FakeChannel fromSource;
    FakeChannel fromRequester;
    const auto clock = [&] { return now; };
    PositionExchange a("a", fromRequester, clock, requester, 1);
    PositionExchange b("b", fromSource, clock, source, 1);
    requester.services = oddNames(2);
    for (size_t i = 0; i < requester.services.size(); ++i)
        source.positions[requester.services[i]] = { { 1, i + 1 }, now };
    a.tick([] { return std::vector<std::pair<std::string, std::string>> { { "b", "b" } }; });
    BOOST_REQUIRE(fromRequester.sent.size() == 1U);
    BOOST_TEST(b.datagram(fromRequester.sent.front().second, addressOf));
    BOOST_REQUIRE(fromSource.sent.size() == 1U);
    BOOST_TEST(a.datagram(fromSource.sent.front().second, addressOf));
    BOOST_TEST(requester.positions.size() == requester.services.size());
    for (const auto& [service, known] : source.positions)
        BOOST_TEST(requester.positions[service].position.position == known.position.position);
}

BOOST_AUTO_TEST_CASE(revocations_are_those_of_the_named_service)
{
    GatewayFixture coordinator;
    GatewayFixture other;
    FakeChannel fromCoordinator;
    FakeChannel fromOther;
    RevocationExchange a(
        "a", 1, fromCoordinator, [&] { return coordinator.now; }, coordinator.gateway);
    RevocationExchange b(
        "b", 1, fromOther, [&] { return other.now; }, other.gateway);
    const std::vector<std::string> names = oddNames(3);
    for (size_t i = 0; i < names.size(); ++i) {
        if (i % 2 == 0)
            a.setRevocation(names[i], PrimaryRevocation { i + 2, RevocationScope::AllCommits, names[i], false }, 7);
    }
    a.tick([] { return std::vector<RevocationTarget> { { "b", "b", 1, true } }; });
    BOOST_REQUIRE(fromCoordinator.sent.size() == 1U);
    BOOST_TEST(b.datagram(fromCoordinator.sent.front().second, addressOf));
    for (size_t i = 0; i < names.size(); ++i) {
        PrimaryRevocations& held = other.gateway.revocations();
        BOOST_TEST(held.withholdsCommits(names[i], names[i], i + 1, other.now) == (i % 2 == 0));
        BOOST_TEST(!held.withholdsCommits(names[i], names[i], i + 2, other.now));
    }
    BOOST_REQUIRE(fromOther.sent.size() == 1U);
    BOOST_TEST(a.datagram(fromOther.sent.front().second, addressOf));
}

BOOST_AUTO_TEST_CASE(probes_are_those_of_the_named_server)
{
    GatewayFixture asking;
    GatewayFixture probing;
    FakeChannel fromAsking;
    FakeChannel fromProbing;
    ServerProber ownProber(
        asking.gateway, asking.connector, [&] { return asking.now; }, "a");
    ServerProber prober(
        probing.gateway, probing.connector, [&] { return probing.now; }, "b");
    ProbeExchange a(
        "a", fromAsking, [&] { return asking.now; }, ownProber);
    ProbeExchange b(
        "b", fromProbing, [&] { return probing.now; }, prober);
    std::vector<ProbingHost> hosts { { "b", "b", "north" } };
    std::vector<ServerEntry> servers;
    for (const std::string& name : oddNames(4)) {
        ServerEntry entry;
        entry.id = name;
        entry.service = "orders";
        entry.startedUnixMs = servers.size() + 1;
        servers.push_back(entry);
        if (servers.size() == 20)
            break;
    }
    for (const ServerEntry& it : servers)
        probing.gateway.directory().registerServer(it);
    for (int i = 0; i < 200; ++i) {
        asking.now += milliseconds(20);
        probing.now += milliseconds(20);
        for (const ServerEntry& it : servers)
            a.probe(it);
        a.tick([&] { return hosts; });
        b.tick([&] { return hosts; });
        for (const auto& [address, text] : fromAsking.sent)
            b.datagram(text, addressOf);
        fromAsking.sent.clear();
        for (const auto& [address, text] : fromProbing.sent)
            a.datagram(text, addressOf);
        fromProbing.sent.clear();
    }
    for (const ServerEntry& it : servers)
        BOOST_TEST((a.probe(it).notReachedBy == std::vector<std::string> { "b" }), test::printable(it.id));
}

// Values may hold any bytes; keys are texts of JSON documents.
BOOST_AUTO_TEST_CASE(changes_read_back)
{
    test::OddTexts texts(5);
    StoreEvents events;
    events.from = 1;
    events.era = 3;
    for (const std::string& name : oddNames(5)) {
        StoreItem item { name, texts.lastField(), events.from + events.items.size() + 1, texts.chance(100) };
        if (item.removed)
            item.value.clear();
        events.items.push_back(item);
    }
    events.to = events.items.back().revision;
    const auto test = [&](const std::vector<StoreItem>& read) {
        BOOST_REQUIRE(read.size() == events.items.size());
        for (size_t i = 0; i < read.size(); ++i) {
            BOOST_TEST((read[i].key == events.items[i].key && read[i].value == events.items[i].value));
            BOOST_TEST((read[i].revision == events.items[i].revision && read[i].removed == events.items[i].removed));
        }
    };
    test(decodeStoreEvents(encodeAllStoreEvents(events)).items);

    Instant now { seconds(1000) };
    FakeChannel fromRequester;
    FakeChannel fromSource;
    const auto clock = [&] { return now; };
    ChangeExchange requester("h:1/x!?", fromRequester, clock, [] { return StoreEvents(); });
    ChangeExchange source("b", fromSource, clock, [] { return StoreEvents(); });
    requester.setEra(3);
    source.setEra(3);
    source.keep(events);
    requester.tick(1, [] { return std::vector<std::pair<std::string, std::string>> { { "b", "b" } }; });
    std::optional<StoreEvents> read;
    BOOST_REQUIRE(fromRequester.sent.size() == 1U);
    BOOST_TEST(source.datagram(fromRequester.sent.front().second, addressOf, read));
    for (const auto& [address, text] : fromSource.sent) {
        BOOST_TEST(address == "h:1/x!?");
        BOOST_TEST(requester.datagram(text, addressOf, read));
    }
    BOOST_REQUIRE(read.has_value());
    test(read->items);

    // Small items are relayed one after the other.
    events.items.erase(std::remove_if(events.items.begin(), events.items.end(),
                           [](const StoreItem& it) { return it.key.size() > 1000; }),
        events.items.end());
    std::vector<StoreItem> relayed;
    for (const std::string& datagram : encodeStoreEvents(events)) {
        const StoreEvents part = decodeStoreEvents(datagram);
        relayed.insert(relayed.end(), part.items.begin(), part.items.end());
    }
    test(relayed);
}

BOOST_AUTO_TEST_CASE(records_read_back)
{
    std::vector<Replica> replicas;
    LeasedPrimaries primaries;
    const std::vector<std::string> names = oddNames(6);
    for (const std::string& name : names) {
        Replica replica;
        replica.entry.id = name;
        replica.entry.service = "orders";
        replica.entry.address = "127.0.0.1:1";
        replica.entry.dataCentre = name;
        replicas.push_back(replica);
        primaries[name] = { name, replicas.size() };
    }
    const std::vector<Replica> read = decodeReplicaRecord("orders", encodeReplicaRecord(replicas));
    BOOST_REQUIRE(read.size() == names.size());
    for (size_t i = 0; i < names.size(); ++i)
        BOOST_TEST((read[i].entry.id == names[i] && read[i].entry.dataCentre == names[i]));
    uint64_t era = 0;
    BOOST_TEST((decodePrimaryRecord(encodePrimaryRecord(primaries, 9), era) == primaries));
    BOOST_TEST(era == 9U);
}

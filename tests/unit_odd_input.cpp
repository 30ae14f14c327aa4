#include "change_exchange.h"
#include "line_codec.h"
#include "line_socket.h"
#include "link_message.h"
#include "replica_record.h"
#include "store_client.h"
#include "support_fleet.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Changes a valid input: bytes replaced, removed, repeated or nested, numbers replaced by odd ones.
std::string mutate(std::string text, std::mt19937& random)
{
    static const char* const oddTexts[] = { "-1", "0", "1e30", "-1e400", "18446744073709551616", "9223372036854775808",
        "null", "{}", "[]", "\"\"", "true", " ", "\"", "[[[[[[[[[[[[", "{\"a\":", "\\u0000", "\xff", ":99999" };
    const unsigned changes = 1 + random() % 4;
    for (unsigned i = 0; i < changes && !text.empty(); ++i) {
        const size_t at = random() % text.size();
        switch (random() % 6) {
        case 0:
            text[at] = static_cast<char>(random() % 256);
            break;
        case 1:
            text.erase(at, 1 + random() % 8);
            break;
        case 2:
            text.insert(at, text.substr(random() % text.size(), 1 + random() % 16));
            break;
        case 3:
            text.insert(at, std::string(1 + random() % 300, random() % 2 == 0 ? '[' : '{'));
            break;
        default: {
            // Replaces a number, if there is one behind the chosen byte.
            const size_t digit = text.find_first_of("0123456789", at);
            const size_t from = digit == std::string::npos ? at : digit;
            const size_t to = std::min(text.find_first_not_of("0123456789", from), text.size());
            text.replace(from, to - from, oddTexts[random() % std::size(oddTexts)]);
            break;
        }
        }
    }
    return text;
}

size_t inputsOfSeed()
{
    const char* const count = std::getenv("FUZZ_INPUTS");
    return count != nullptr ? std::strtoull(count, nullptr, 10) : 20000;
}

/// Calls a decoder with changed inputs; it may throw std::exception only.
template <typename Decode> void fuzz(const std::vector<std::string>& valid, const Decode& decode)
{
    const char* const seed = std::getenv("FUZZ_SEED");
    std::mt19937 random(seed != nullptr ? static_cast<unsigned>(std::strtoul(seed, nullptr, 10)) : 1);
    for (size_t i = 0; i < inputsOfSeed(); ++i) {
        const std::string text = mutate(valid[random() % valid.size()], random);
        try {
            decode(text);
        } catch (const std::exception&) {
            continue;
        }
    }
    BOOST_TEST(true);
}

const std::string serverEntry
    = R"({"service":"orders","address":"127.0.0.1:8000","zone":"z","version":"v1","slots":5,"state":"ready",)"
      R"("warmup_left_ms":0,"db_role":"replica","born":1700000000123,"seq_no":41})";

const std::string configurationDocument
    = R"({"version":7,"limits":{"tx_idle_ms":3000},"routes":[{"host":"a","name":"a","service":"orders","kind":"primary",)"
      R"("timeout_ms":1000,"target_latency_ms":500,"max_staleness_ms":0,"priority":1}],"services":[{"name":"orders",)"
      R"("max_conns":32,"sync_replicas":1}],"tenants":[{"name":"t","rate_per_s":10,"burst":5.5,"api_keys":["k"]}]})";

/// Decodes servers and configurations as they are on the platform.
struct PlatformDecoder final : StoreDecoder {
    bool isConfiguration(std::string_view key) const override { return key == "config"; }
    bool isServer(std::string_view key) const override { return key.substr(0, 8) == "servers/"; }
    std::optional<std::string> evacuatedDataCentre(std::string_view key) const override
    {
        return documents.evacuatedDataCentre(key);
    }
    std::shared_ptr<const GatewayConfiguration> configuration(const StoreItem& item) const override
    {
        return documents.configuration(item);
    }
    std::string serverId(std::string_view key) const override { return documents.serverId(key); }
    ServerEntry server(const StoreItem& item) const override { return documents.server(item); }

    platform::DocumentDecoder documents;
};

} // namespace

// Whatever another writer leaves in the store, an entry that is accepted describes a server that can be used.
BOOST_AUTO_TEST_CASE(accepted_server_entries_are_within_bounds)
{
    const platform::DocumentDecoder decoder;
    fuzz({ serverEntry }, [&](const std::string& text) {
        const ServerEntry entry = decoder.server({ "servers/i-1", text, 5, false });
        BOOST_TEST((entry.slots >= 1 && entry.slots <= 100000U));
        BOOST_TEST(!entry.service.empty());
        BOOST_TEST(entry.address.find(':') != std::string::npos);
        BOOST_TEST(entry.startedUnixMs <= 4102444800000U);
    });
}

BOOST_AUTO_TEST_CASE(configurations_are_decoded_or_rejected)
{
    const platform::DocumentDecoder decoder;
    BOOST_TEST(decoder.configuration({ "op/config", configurationDocument, 5, false })->version == 7U);
    fuzz({ configurationDocument }, [&](const std::string& text) {
        const auto configuration = decoder.configuration({ "op/config", text, 5, false });
        for (const auto& [name, route] : configuration->routes)
            BOOST_TEST((route.statementTimeout >= Duration(0) && route.maxStaleness >= Duration(0)));
    });
}

BOOST_AUTO_TEST_CASE(messages_between_hosts_are_decoded_or_rejected)
{
    StoreEvents events;
    events.era = 3;
    events.from = 10;
    events.to = 12;
    events.age = milliseconds(5);
    events.items = { { "s/r1", "replica", 11, false }, { "s/r2", "", 12, true } };
    fuzz(encodeStoreEvents(events),
        [](const std::string& text) { BOOST_TEST((decodeStoreEvents(text).age >= Duration(0))); });
    LinkMessage open;
    open.kind = LinkMessageKind::Open;
    open.server = "p";
    open.customer = "hatter";
    LinkMessage command;
    command.kind = LinkMessageKind::Command;
    command.command.text = "READ a";
    command.command.after = LogPosition { 2, 7 };
    LinkMessage reply;
    reply.kind = LinkMessageKind::Reply;
    reply.reply.rows = { "x" };
    fuzz(
        { encodeLinkMessage(open, LinkFormat::Strings).value(), encodeLinkMessage(command, LinkFormat::Strings).value(),
            encodeLinkMessage(reply, LinkFormat::Strings).value() },
        [](const std::string& text) { decodeLinkMessage(text); });
    GatewayFixture fixture;
    FakePeerNetwork network;
    FakePeerNetwork::Port port(network, "1");
    RevocationExchange revocations(
        "1", 1, port, [&fixture] { return fixture.now; }, fixture.gateway);
    fuzz({ R"(revoke? {"h":"0","n":1,"s":[["orders",2,1,7,"r1",2],["other",0,0,7,"",0]]})",
             R"(revoke! {"h":"0","i":17,"n":1})" },
        [&](const std::string& text) { revocations.datagram(text, [](const std::string& host) { return host; }); });
    fuzz({ encodePrimaryRecord({ { "orders", { "p", 1 } } }, 1) }, [](const std::string& text) {
        uint64_t era = 0;
        decodePrimaryRecord(text, era);
    });
    Replica replica;
    replica.entry.id = "p";
    replica.entry.address = "127.0.0.1:1";
    fuzz({ encodeReplicaRecord(gsl::span<const Replica>(&replica, 1)) },
        [](const std::string& text) { decodeReplicaRecord("orders", text); });
}

BOOST_AUTO_TEST_CASE(lines_of_callers_and_servers_are_decoded_or_rejected)
{
    fuzz({ "STARTUP lepu270 u3f1", "QUERY 5c0e AFTERLSN 3.12 READ 1a4", "QUERY 5c0e EXECUTE s1 1a4 x", "TERMINATE",
             "QUERY 5c0e PREPARE s1 WRITE q2c" },
        [](const std::string& text) { platform::decodeMessage(text); });
    fuzz({ "DATAROW replica 3 3.1209 0 12 2 17", "COMPLETE 7.1f3", "READY I 3.1209", "ERROR BUSY x" },
        [](const std::string& text) {
            platform::ReplyDecoder decoder;
            for (const std::string& line : { text, std::string("COMPLETE -"), std::string("READY I 3.1") }) {
                if (decoder.feed(line) == platform::ReplyDecoder::Result::Complete)
                    platform::decodeStatus(decoder.take());
            }
        });
}

// Guards against a host that ends or stops following the store because of one datagram.
BOOST_AUTO_TEST_CASE(odd_datagrams_leave_a_fleet_working)
{
    FakeFleet fleet(4, 1, true, false);
    fleet.pass(seconds(6));
    std::vector<std::string> valid;
    for (const FakePeerNetwork::Datagram& datagram : fleet.channel.sent)
        valid.push_back(datagram.text);
    std::mt19937 random(7);
    for (size_t i = 0; i < inputsOfSeed() / 10; ++i) {
        fleet.hosts[i % 4]->member.peerDatagram(mutate(valid[random() % valid.size()], random));
        if (i % 200 == 0)
            fleet.pass(milliseconds(20));
    }
    fleet.pass(seconds(12));
    fleet.store.put("config", "9");
    fleet.pass(seconds(5));
    for (size_t i = 0; i < 4; ++i)
        BOOST_TEST(fleet.versionAt(i) == 9U);
}

// The same for the items that hosts write: an unreadable one costs what it tells, and hosts go on following the store.
BOOST_AUTO_TEST_CASE(odd_items_of_hosts_leave_a_fleet_working)
{
    FakeFleet fleet(4, 1, true, false);
    fleet.pass(seconds(6));
    Replica replica;
    replica.entry.id = "p";
    replica.entry.address = "127.0.0.1:1";
    const std::pair<std::string, std::string> valid[] = {
        { "plantainwall/hosts/9/1/1-5",
            R"({"host":"9","address":"9","region":"0","data_centre":"0","incarnation":1,"capacity":0.25})" },
        { "plantainwall/replicas/orders", encodeReplicaRecord(gsl::span<const Replica>(&replica, 1)) },
        { "plantainwall/replicas/odd", encodeReplicaRecord(gsl::span<const Replica>(&replica, 1)) },
        { "plantainwall/primaries", encodePrimaryRecord({ { "orders", { "p", 1 } } }, 1) },
        { "plantainwall/promotions", "2 1 1" },
        { "plantainwall/odd", "odd" },
    };
    std::mt19937 random(11);
    for (size_t i = 0; i < inputsOfSeed() / 100; ++i) {
        const auto& [key, text] = valid[random() % std::size(valid)];
        fleet.store.put(key, mutate(text, random));
        if (i % 4 == 0)
            fleet.pass(milliseconds(20));
    }
    for (const auto& [key, text] : valid)
        fleet.store.erase(key);
    fleet.pass(seconds(15));
    fleet.store.put("config", "9");
    fleet.pass(seconds(5));
    for (size_t i = 0; i < 4; ++i)
        BOOST_TEST(fleet.versionAt(i) == 9U);
    BOOST_TEST(fleet.activeCoordinators() == 1U);
}

// Terms never fall: a host that took such a term from a report would refuse every true primary until it ends.
BOOST_AUTO_TEST_CASE(terms_out_of_range_are_not_taken_from_other_hosts)
{
    const std::string max = std::to_string(UINT64_MAX);
    FakeFleet fleet(2, 1, false, false);
    fleet.pass(seconds(6));
    FakeFleet::Host& host = *fleet.hosts[0];
    ServerDirectory& directory = host.fixture.gateway.directory();
    BOOST_REQUIRE(directory.find("p") != nullptr);
    const uint64_t before = directory.term("orders");
    host.member.peerDatagram(
        R"({"h":")" + fleet.hosts[1]->settings.host + R"(","i":1,"s":true,"p":{"orders":["p",)" + max + "]}}");
    host.member.peerDatagram(
        R"(revoke? {"h":")" + fleet.hosts[1]->settings.host + R"(","n":1,"s":[["orders",0,0,1,"p",)" + max + "]]}");
    BOOST_TEST(directory.term("orders") == before);
    uint64_t era = 0;
    BOOST_CHECK_THROW(
        decodePrimaryRecord(R"({"era":1,"primaries":{"orders":["p",)" + max + "]}}", era), std::exception);
}

// One odd entry among those of the servers: every host goes on with the others, and with the true entry that follows
// under the same key.
BOOST_AUTO_TEST_CASE(an_odd_entry_leaves_the_other_servers_in_use)
{
    const PlatformDecoder decoder;
    struct Observer final : StoreObserver {
        void configurationRead(std::shared_ptr<const GatewayConfiguration>) override { }
        void serversListed(const std::vector<ServerEntry>& servers) override { directory.replaceAll(servers, now); }
        void serverWritten(const ServerEntry& entry) override { directory.registerServer(entry); }
        void serverErased(const std::string& id) override { directory.remove(id, now); }
        void evacuationsListed(const std::vector<std::string>&) override { }
        void evacuationWritten(const std::string&) override { }
        void evacuationErased(const std::string&) override { }
        void ownItemsChanged() override { }
        void storeReachable(bool) override { }
        void eraRead(uint64_t, bool) override { }
        void eventsRead(const StoreEvents&) override { }
        void changesApplied(const StoreEvents&) override { }

        ServerDirectory directory;
        Instant now { seconds(1000) };
    } observer;
    FakeTimers timers;
    FakeFleetStore store(timers, observer.now);
    store.put("servers/i-1", serverEntry);
    store.put("servers/i-2", serverEntry);
    store.put("servers/i-3", std::string(100000, '['));
    StoreFollower follower(
        store, decoder, observer,
        [&](Duration delay, std::function<void()> task) { timers.add(observer.now + delay, std::move(task)); },
        [&] { return observer.now; });
    follower.start();
    const auto pass = [&](Duration duration) {
        for (Duration passed {}; passed < duration; passed += milliseconds(20)) {
            observer.now += milliseconds(20);
            timers.run(observer.now);
            observer.directory.expire(observer.now);
        }
    };
    pass(seconds(5));
    BOOST_TEST(observer.directory.size() == 2U);
    store.put("servers/i-2", R"({"slots":1e30})");
    store.put("servers/i-4", R"({"service":"orders","address":"127.0.0.1:99999"})");
    store.put("servers/i-5", serverEntry);
    pass(seconds(5));
    BOOST_TEST(observer.directory.find("i-1") != nullptr);
    BOOST_TEST(observer.directory.find("i-2") == nullptr); // Its entry names no server any more.
    BOOST_TEST(observer.directory.find("i-4") == nullptr);
    BOOST_TEST(observer.directory.find("i-5") != nullptr);
    // Another writer's entry that lacks only one field.
    for (const std::string field : { R"("version":"v1",)", R"("warmup_left_ms":0,)", R"(,"seq_no":41)" }) {
        std::string text = serverEntry;
        text.erase(text.find(field), field.size());
        store.put("servers/i-6", text);
        pass(seconds(1));
        BOOST_TEST(observer.directory.find("i-6") == nullptr, "without " << field);
        store.erase("servers/i-6");
        pass(seconds(4));
    }
    store.put("servers/i-2", serverEntry);
    pass(seconds(1));
    BOOST_TEST(observer.directory.find("i-2") != nullptr);
}

// An unexpected error while a line is handled ends the connection that brought it; the event loop and other connections
// go on.
BOOST_AUTO_TEST_CASE(an_error_in_a_line_ends_its_own_connection)
{
    using boost::asio::ip::tcp;
    boost::asio::io_context loop;
    tcp::acceptor acceptor(loop, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    std::vector<std::shared_ptr<LineSocket>> accepted;
    std::vector<std::string> lines;
    unsigned closed = 0;
    std::vector<tcp::socket> callers;
    for (int i = 0; i < 2; ++i) {
        callers.emplace_back(loop);
        callers.back().connect(acceptor.local_endpoint());
        accepted.push_back(std::make_shared<LineSocket>(acceptor.accept(), LineEnd::CrLf, 1024));
        LineSocket::Handlers handlers;
        handlers.line = [&lines](std::string_view line) {
            if (line == "odd")
                throw std::runtime_error("unexpected");
            lines.emplace_back(line);
            return true;
        };
        handlers.closed = [&closed](bool) { ++closed; };
        accepted.back()->start(handlers);
    }
    const auto send
        = [](tcp::socket& socket, const std::string& text) { boost::asio::write(socket, boost::asio::buffer(text)); };
    send(callers[0], "first\r\nodd\r\nnever read\r\n");
    send(callers[1], "second\r\n");
    BOOST_CHECK_NO_THROW(loop.run_for(milliseconds(200)));
    send(callers[1], "third\r\n");
    BOOST_CHECK_NO_THROW(loop.run_for(milliseconds(200)));
    BOOST_TEST(closed == 1U);
    BOOST_TEST(
        (std::set<std::string>(lines.begin(), lines.end()) == std::set<std::string> { "first", "second", "third" }));
    accepted[1]->close();
}

#include "replica_record.h"
#include "support_fleet.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using Ids = std::vector<std::string>;

const std::string ordersKey = "plantainwall/replicas/orders";

ServerEntry entryOf(const std::string& id, const std::string& service = "orders")
{
    ServerEntry entry;
    entry.id = id;
    entry.service = service;
    entry.address = "127.0.0.1:7";
    entry.dataCentre = "north-1";
    entry.slots = 6;
    entry.startedUnixMs = 1760000000123;
    return entry;
}

std::string recordOf(const std::vector<ServerEntry>& servers)
{
    std::vector<Replica> replicas;
    replicas.reserve(servers.size());
    for (const ServerEntry& entry : servers)
        replicas.push_back({ entry, false });
    return encodeReplicaRecord(replicas);
}

Ids lapsedIds(const ServerDirectory& directory, const std::string& service = "orders")
{
    Ids ids;
    for (const LapsedServer* const server : directory.lapsed(service))
        ids.push_back(server->entry.id);
    return ids;
}

Ids settledIds(const ServerDirectory& directory)
{
    Ids ids;
    for (const LapsedServer* const server : directory.lapsed("orders")) {
        if (server->settledAt)
            ids.push_back(server->entry.id);
    }
    return ids;
}

Ids recordedIds(const std::string& value)
{
    Ids ids;
    for (const Replica& replica : decodeReplicaRecord("orders", value))
        ids.push_back(replica.entry.id);
    return ids;
}

/// One host's records, directory and view of the store.
struct RecordsFixture {
    RecordsFixture() { configuration.services["orders"] = { "orders", 32, 1 }; }

    /// Sets the item of the service as another host or the store would.
    void setItem(const std::string& value) { items[ordersKey] = { ordersKey, value, ++revision, false }; }

    size_t read(bool coordinator) { return records.itemsRead(items, era, configuration, coordinator, directory, now); }

    std::vector<StoreWrite> due() { return records.due(items, configuration, directory, now); }

    /// Passes the pauses after a write.
    void pause() { now += seconds(3); }

    Instant now { seconds(100) };
    GatewayConfiguration configuration;
    ServerDirectory directory;
    std::map<std::string, StoreItem> items;
    uint64_t revision = 10;
    uint64_t era = 1;
    ReplicaRecords records;
};

} // namespace

BOOST_TEST_DONT_PRINT_LOG_VALUE(Ids)

BOOST_AUTO_TEST_CASE(record_contains_what_a_coordinator_needs)
{
    ServerEntry second = entryOf("i-2");
    second.draining = true;
    second.startedUnixMs = 0;
    const std::vector<Replica> decoded = decodeReplicaRecord("orders", recordOf({ second, entryOf("i-1") }));
    BOOST_REQUIRE(decoded.size() == 2U);
    BOOST_TEST(decoded[0].entry.id == "i-1");
    BOOST_TEST(decoded[0].entry.service == "orders");
    BOOST_TEST(decoded[0].entry.address == "127.0.0.1:7");
    BOOST_TEST(decoded[0].entry.dataCentre == "north-1");
    BOOST_TEST(decoded[0].entry.slots == 6U);
    BOOST_TEST(decoded[0].entry.startedUnixMs == 1760000000123U);
    BOOST_TEST(!decoded[0].entry.draining);
    BOOST_TEST(decoded[1].entry.draining);
    BOOST_TEST(decoded[1].entry.startedUnixMs == 0U);
    BOOST_TEST(!decoded[0].ended);
    const std::vector<Replica> ended
        = decodeReplicaRecord("orders", encodeReplicaRecord(std::vector<Replica> { { second, true } }));
    BOOST_REQUIRE(ended.size() == 1U);
    BOOST_TEST(ended[0].ended);
    BOOST_TEST(decodeReplicaRecord("orders", recordOf({})).empty());
}

BOOST_AUTO_TEST_CASE(malformed_records_are_rejected)
{
    const std::string good = R"({"id":"a","address":"b","data_centre":"c","started":1,"slots":2})";
    BOOST_TEST(decodeReplicaRecord("orders", "{\"servers\":[" + good + "]}").size() == 1U);
    const std::string entries[]
        = { "7", "{}", good + "," + good, R"({"id":"","address":"b","data_centre":"c","started":1,"slots":2})",
              R"({"id":"a","address":"","data_centre":"c","started":1,"slots":2})",
              R"({"id":1,"address":"b","data_centre":"c","started":1,"slots":2})",
              R"({"id":"a","address":"b","data_centre":"c","started":-1,"slots":2})",
              R"({"id":"a","address":"b","data_centre":"c","started":1.5,"slots":2})",
              R"({"id":"a","address":"b","data_centre":"c","started":"1","slots":2})",
              R"({"id":"a","address":"b","data_centre":"c","started":1,"slots":4294967296})",
              R"({"id":"a","address":"b","data_centre":"c","started":1,"slots":2,"draining":1})",
              R"({"id":"a","address":"b","data_centre":"c","started":1,"slots":2,"ended":1})" };
    for (const std::string& entry : entries)
        BOOST_CHECK_THROW(decodeReplicaRecord("orders", "{\"servers\":[" + entry + "]}"), std::exception);
    for (const char* const value : { "", "{", "[]", "{}", R"({"servers":{}})", R"({"servers":null})", "\xff\xfe" })
        BOOST_CHECK_THROW(decodeReplicaRecord("orders", value), std::exception);
}

BOOST_AUTO_TEST_CASE(record_is_written_while_it_differs)
{
    RecordsFixture it;
    BOOST_TEST(it.due().empty()); // No server and no item.
    it.pause();
    it.directory.registerServer(entryOf("b"));
    it.directory.addLapsed(entryOf("a"), it.now);
    const std::vector<StoreWrite> first = it.due();
    BOOST_REQUIRE(first.size() == 1U);
    BOOST_TEST(first[0].key == ordersKey);
    BOOST_TEST(first[0].expectedRevision == 0U);
    BOOST_TEST(first[0].lease == 0U);
    BOOST_TEST(recordedIds(first[0].value) == (Ids { "a", "b" }));
    it.pause();
    BOOST_TEST(it.due().empty()); // Under way.
    it.records.written(ordersKey, StoreOutcome::Ok, it.now);
    it.now += seconds(1);
    BOOST_TEST(it.due().empty()); // Not read back yet.
    it.setItem(first[0].value);
    BOOST_TEST(it.read(true) == 1U);
    it.pause();
    BOOST_TEST(it.due().empty());
    it.directory.forgetLapsed("a", entryOf("a").startedUnixMs);
    it.pause();
    const std::vector<StoreWrite> second = it.due();
    BOOST_REQUIRE(second.size() == 1U);
    BOOST_TEST(second[0].expectedRevision == it.revision);
    BOOST_TEST(recordedIds(second[0].value) == Ids { "b" });
}

// Every field of the record counts as a difference. The role is recorded because it tells whether an ended process was
// the primary.
BOOST_AUTO_TEST_CASE(each_recorded_field_causes_a_write)
{
    const std::function<void(ServerEntry&)> changes[] = { [](ServerEntry& entry) { entry.address = "127.0.0.1:8"; },
        [](ServerEntry& entry) { entry.dataCentre = "south-1"; }, [](ServerEntry& entry) { entry.slots = 7; },
        [](ServerEntry& entry) { entry.draining = true; }, [](ServerEntry& entry) { entry.primary = true; },
        [](ServerEntry& entry) { ++entry.startedUnixMs; } };
    RecordsFixture it;
    it.directory.registerServer(entryOf("a"));
    it.setItem(recordOf({ entryOf("a") }));
    it.read(true);
    for (const std::function<void(ServerEntry&)>& change : changes) {
        it.pause();
        ServerEntry entry = entryOf("a");
        change(entry);
        it.directory.registerServer(entry);
        BOOST_TEST(it.due().size() == 1U);
        it.records.written(ordersKey, StoreOutcome::Conflict, it.now);
    }
}

BOOST_AUTO_TEST_CASE(writes_pause_after_conflicts_and_failures)
{
    RecordsFixture it;
    it.directory.registerServer(entryOf("a"));
    BOOST_REQUIRE(it.due().size() == 1U);
    it.records.written(ordersKey, StoreOutcome::Conflict, it.now);
    it.setItem(recordOf({ entryOf("c") }));
    it.read(true);
    it.now += milliseconds(400);
    BOOST_TEST(it.due().empty());
    it.now += milliseconds(200);
    const std::vector<StoreWrite> retry = it.due();
    BOOST_REQUIRE(retry.size() == 1U);
    BOOST_TEST(retry[0].expectedRevision == it.revision);
    BOOST_TEST(recordedIds(retry[0].value) == (Ids { "a", "c" })); // The other writer's server may hold commits.
    it.records.written(ordersKey, StoreOutcome::Unreachable, it.now);
    it.now += milliseconds(900);
    BOOST_TEST(it.due().empty());
    it.now += milliseconds(300);
    BOOST_TEST(it.due().size() == 1U);
    // A write that was accepted but is not read back is repeated.
    it.records.written(ordersKey, StoreOutcome::Ok, it.now);
    it.now += milliseconds(1900);
    BOOST_TEST(it.due().empty());
    it.now += milliseconds(400);
    BOOST_TEST(it.due().size() == 1U);
}

// The value of an own write is read back only after the server was found to have ended.
BOOST_AUTO_TEST_CASE(own_write_does_not_bring_back_a_forgotten_server)
{
    RecordsFixture it;
    it.directory.registerServer(entryOf("a"));
    it.directory.addLapsed(entryOf("b"), it.now);
    const std::vector<StoreWrite> first = it.due();
    BOOST_REQUIRE(first.size() == 1U);
    it.records.written(ordersKey, StoreOutcome::Ok, it.now);
    it.directory.forgetLapsed("b", entryOf("b").startedUnixMs);
    it.setItem(first[0].value);
    it.read(true);
    BOOST_TEST(it.directory.lapsed().empty());
    it.pause();
    const std::vector<StoreWrite> second = it.due();
    BOOST_REQUIRE(second.size() == 1U);
    BOOST_TEST(recordedIds(second[0].value) == Ids { "a" });
}

BOOST_AUTO_TEST_CASE(few_records_are_written_at_the_same_time)
{
    RecordsFixture it;
    it.configuration.services.clear();
    for (int i = 0; i < 400; ++i) {
        const std::string service = "service" + std::to_string(i);
        it.configuration.services[service] = { service, 32, 1 };
        it.directory.registerServer(entryOf("server" + std::to_string(i), service));
    }
    std::set<std::string> written;
    for (int i = 0; i < 100; ++i) {
        const std::vector<StoreWrite> writes = it.due();
        BOOST_TEST(writes.size() == 4U);
        it.now += milliseconds(200);
        BOOST_TEST(it.due().empty()); // All of them are under way.
        for (const StoreWrite& write : writes) {
            it.records.written(write.key, StoreOutcome::Ok, it.now);
            it.items[write.key] = { write.key, write.value, ++it.revision, false };
            written.insert(write.key);
        }
        it.read(true);
        it.now += milliseconds(200);
    }
    BOOST_TEST(written.size() == 400U);
    BOOST_TEST(it.due().empty());
}

BOOST_AUTO_TEST_CASE(servers_of_items_become_lapsed_and_are_settled_with_them)
{
    RecordsFixture it;
    it.directory.registerServer(entryOf("a"));
    it.setItem(recordOf({ entryOf("a"), entryOf("b"), entryOf("c") }));
    it.read(false);
    BOOST_TEST(lapsedIds(it.directory) == (Ids { "b", "c" }));
    BOOST_TEST(it.directory.lapsed().front()->entry.address == "127.0.0.1:7");
    it.setItem(recordOf({ entryOf("a"), entryOf("c") }));
    it.read(false);
    BOOST_TEST(settledIds(it.directory) == Ids { "b" });
    // The coordinator decides by the servers' answers.
    it.setItem(recordOf({ entryOf("a") }));
    it.read(true);
    BOOST_TEST(settledIds(it.directory) == Ids { "b" });
    // A settled server is kept for a minute, in case it runs again.
    BOOST_TEST(lapsedIds(it.directory) == (Ids { "b", "c" }));
    it.now += seconds(59);
    it.records.forgetUnlisted(it.configuration, false, it.directory, it.now);
    BOOST_TEST(lapsedIds(it.directory) == (Ids { "b", "c" }));
    it.now += seconds(2);
    it.records.forgetUnlisted(it.configuration, false, it.directory, it.now);
    BOOST_TEST(lapsedIds(it.directory).empty());
}

// A host that starts learns that a settled server may run again, and that a server is needed once it has.
BOOST_AUTO_TEST_CASE(settled_servers_stay_recorded_as_such)
{
    RecordsFixture it;
    it.directory.registerServer(entryOf("a"));
    it.directory.addLapsed(entryOf("b"), it.now);
    it.directory.noteSettled("b", entryOf("b").startedUnixMs, it.now);
    std::vector<StoreWrite> writes = it.due();
    BOOST_REQUIRE(writes.size() == 1U);
    BOOST_TEST(recordedIds(writes[0].value) == (Ids { "a", "b" }));
    RecordsFixture other;
    other.setItem(writes[0].value);
    other.read(false);
    BOOST_TEST(settledIds(other.directory) == Ids { "b" });
    other.setItem(recordOf({ entryOf("a"), entryOf("b") }));
    other.read(false);
    BOOST_TEST(settledIds(other.directory).empty());
    // A copy of the store from before then settles nothing.
    ++other.era;
    other.setItem(writes[0].value);
    other.read(false);
    BOOST_TEST(settledIds(other.directory).empty());
}

// A process that ended when its id was registered again stays recorded: its log may be needed.
BOOST_AUTO_TEST_CASE(ended_process_of_a_registered_server_is_recorded)
{
    RecordsFixture it;
    it.directory.registerServer(entryOf("a"));
    ServerEntry restarted = entryOf("a");
    restarted.startedUnixMs += 5000;
    it.directory.registerServer(restarted);
    const std::vector<StoreWrite> writes = it.due();
    BOOST_REQUIRE(writes.size() == 1U);
    BOOST_TEST(recordedIds(writes[0].value) == (Ids { "a", "a" }));
    RecordsFixture other;
    other.directory.registerServer(restarted);
    other.setItem(writes[0].value);
    other.read(false);
    BOOST_REQUIRE(lapsedIds(other.directory) == Ids { "a" });
    BOOST_TEST(other.directory.lapsed().front()->ended);
    BOOST_TEST(other.directory.lapsed().front()->entry.startedUnixMs == entryOf("a").startedUnixMs);
    // The coordinator has proved that its log is not needed, and the process cannot run again.
    other.setItem(recordOf({ restarted }));
    other.read(false);
    BOOST_TEST(lapsedIds(other.directory).empty());
}

// A new host took both recorded processes of an unregistered id as running, and the log of the ended one was not noted.
// Start times do not tell which process has ended, because clocks may go back.
BOOST_AUTO_TEST_CASE(ended_process_of_an_unregistered_server_is_recorded)
{
    for (const bool clockWentBack : { false, true }) {
        ServerEntry restarted = entryOf("a");
        restarted.startedUnixMs += clockWentBack ? -5000 : 5000;
        RecordsFixture it;
        it.directory.registerServer(entryOf("a"));
        it.directory.registerServer(restarted);
        it.directory.remove("a", it.now);
        it.directory.expire(it.now + seconds(3));
        const std::vector<StoreWrite> writes = it.due();
        BOOST_REQUIRE(writes.size() == 1U);
        // The other host knows the first process as running, or neither.
        for (const bool known : { false, true }) {
            RecordsFixture other;
            if (known)
                other.directory.addLapsed(entryOf("a"), other.now);
            other.setItem(writes[0].value);
            other.read(false);
            BOOST_REQUIRE(lapsedIds(other.directory) == (Ids { "a", "a" }));
            for (const LapsedServer* const server : other.directory.lapsed())
                BOOST_TEST(server->ended == (server->entry.startedUnixMs == entryOf("a").startedUnixMs));
        }
    }
}

// The copy from which a store was restored is older than the record that was read last.
BOOST_AUTO_TEST_CASE(item_of_a_restored_copy_drops_no_server)
{
    RecordsFixture it;
    it.setItem(recordOf({ entryOf("a"), entryOf("b") }));
    it.read(false);
    it.revision -= 5;
    it.setItem(recordOf({ entryOf("a") }));
    BOOST_TEST(it.read(false) == 1U);
    BOOST_TEST(lapsedIds(it.directory) == (Ids { "a", "b" }));
    // This host has become the coordinator and restores the record.
    const std::vector<StoreWrite> writes = it.due();
    BOOST_REQUIRE(writes.size() == 1U);
    BOOST_TEST(writes[0].expectedRevision == it.revision);
    BOOST_TEST(recordedIds(writes[0].value) == (Ids { "a", "b" }));
}

// Revisions of two eras say nothing about which record is newer: one that lacks a server may be an older one that was
// written again.
BOOST_AUTO_TEST_CASE(first_item_after_a_restore_settles_no_server)
{
    RecordsFixture it;
    it.setItem(recordOf({ entryOf("a"), entryOf("b"), entryOf("c") }));
    it.read(false);
    ++it.era;
    it.setItem(recordOf({ entryOf("a"), entryOf("b") }));
    BOOST_TEST(it.read(false) == 1U);
    BOOST_TEST(lapsedIds(it.directory) == (Ids { "a", "b", "c" }));
    BOOST_TEST(settledIds(it.directory).empty());
    it.setItem(recordOf({ entryOf("a") }));
    it.read(false);
    BOOST_TEST(settledIds(it.directory) == Ids { "b" });
    // An unchanged item is the first of its era too.
    ++it.era;
    it.setItem(recordOf({ entryOf("a") }));
    it.read(false);
    it.setItem(recordOf({}));
    it.read(false);
    BOOST_TEST(settledIds(it.directory) == (Ids { "a", "b" }));
}

BOOST_AUTO_TEST_CASE(malformed_item_drops_nothing_and_is_overwritten)
{
    RecordsFixture it;
    it.directory.registerServer(entryOf("a"));
    it.setItem(recordOf({ entryOf("a"), entryOf("b") }));
    it.read(false);
    for (const char* const value : { "{", "" }) {
        it.setItem(value);
        BOOST_TEST(it.read(false) == 1U);
        BOOST_TEST(lapsedIds(it.directory) == Ids { "b" });
    }
    const std::vector<StoreWrite> writes = it.due();
    BOOST_REQUIRE(writes.size() == 1U);
    BOOST_TEST(writes[0].expectedRevision == it.revision);
    BOOST_TEST(recordedIds(writes[0].value) == (Ids { "a", "b" }));
}

BOOST_AUTO_TEST_CASE(items_of_services_without_configuration_are_ignored)
{
    RecordsFixture it;
    const std::string key = ReplicaRecords::prefix + "invoices";
    it.items[key] = { key, recordOf({ entryOf("z", "invoices") }), 5, false };
    it.directory.registerServer(entryOf("y", "invoices"));
    BOOST_TEST(it.read(false) == 0U);
    BOOST_TEST(it.due().empty());
    BOOST_TEST(it.directory.lapsed().empty());
    it.configuration.services["invoices"] = { "invoices", 32, 1 };
    BOOST_TEST(it.read(false) == 1U);
    BOOST_TEST(lapsedIds(it.directory, "invoices") == Ids { "z" });
    it.configuration.services.erase("invoices");
    it.read(true);
    it.now += seconds(61);
    it.records.forgetUnlisted(it.configuration, true, it.directory, it.now);
    BOOST_TEST(it.directory.lapsed().empty());
    it.configuration.services["invoices"] = { "invoices", 32, 1 };
    it.read(true);
    BOOST_TEST(lapsedIds(it.directory, "invoices") == Ids { "z" });
}

BOOST_AUTO_TEST_CASE(unlisted_lapsed_servers_are_dropped_after_a_minute)
{
    RecordsFixture it;
    it.setItem(recordOf({ entryOf("listed") }));
    it.read(false);
    it.directory.addLapsed(entryOf("unlisted"), it.now);
    const auto passed = [&](Duration time, bool coordinator) {
        it.now += time;
        it.records.forgetUnlisted(it.configuration, coordinator, it.directory, it.now);
        return lapsedIds(it.directory);
    };
    BOOST_TEST(passed(seconds(59), false) == (Ids { "listed", "unlisted" }));
    BOOST_TEST(passed(seconds(2), true) == (Ids { "listed", "unlisted" }));
    BOOST_TEST(passed(seconds(2), false) == Ids { "listed" });
    // An item that is gone, for example because the store was restored from a copy, drops its servers only later.
    it.items.clear();
    it.read(false);
    BOOST_TEST(passed(seconds(59), false) == Ids { "listed" });
    BOOST_TEST(passed(seconds(2), false).empty());
}

// Load pattern: 400 services and thousands of changes of other own items or of one record.
BOOST_AUTO_TEST_CASE(only_changed_items_are_decoded)
{
    RecordsFixture it;
    for (int i = 0; i < 400; ++i) {
        const std::string service = "service" + std::to_string(i);
        const std::string key = ReplicaRecords::prefix + service;
        it.configuration.services[service] = { service, 32, 1 };
        it.items[key] = { key, recordOf({ entryOf("server" + std::to_string(i), service) }), ++it.revision, false };
    }
    BOOST_TEST(it.read(false) == 400U);
    size_t decoded = 0;
    for (int i = 0; i < 2000; ++i) {
        it.items["plantainwall/hosts/" + std::to_string(i)] = { "", "{}", ++it.revision, false };
        decoded += it.read(false);
    }
    BOOST_TEST(decoded == 0U);
    it.setItem(recordOf({ entryOf("a") }));
    BOOST_TEST(it.read(false) == 1U);
}

namespace {

/// Passes time while missing registrations lapse on every host.
void pass(FakeFleet& fleet, Duration duration)
{
    constexpr Duration step = milliseconds(100);
    for (Duration passed {}; passed < duration; passed += step) {
        fleet.pass(step);
        for (const std::unique_ptr<FakeFleet::Host>& host : fleet.hosts)
            host->fixture.gateway.directory().expire(fleet.now);
    }
}

void startHost(FakeFleet& fleet)
{
    fleet.hosts.push_back(std::make_unique<FakeFleet::Host>(fleet, fleet.hosts.size(), 1, true));
    fleet.hosts.back()->member.start();
}

Ids recordedIds(const FakeFleet& fleet)
{
    const std::optional<std::string> value = fleet.store.valueOf(ordersKey);
    return value ? recordedIds(*value) : Ids {};
}

bool isRecord(const StoreWrite& write) { return write.key.rfind(ReplicaRecords::prefix, 0) == 0; }

} // namespace

BOOST_AUTO_TEST_CASE(coordinator_records_the_servers_of_a_service)
{
    FakeFleet fleet(1);
    pass(fleet, seconds(4));
    BOOST_TEST(recordedIds(fleet) == (Ids { "p", "r1", "r2" }));
    fleet.store.put("s/r3", "replica");
    pass(fleet, seconds(2));
    BOOST_TEST(recordedIds(fleet) == (Ids { "p", "r1", "r2", "r3" }));
    fleet.store.erase("s/r3");
    pass(fleet, seconds(6));
    ServerDirectory& directory = fleet.hosts[0]->fixture.gateway.directory();
    BOOST_TEST(directory.find("r3") == nullptr);
    BOOST_TEST(recordedIds(fleet) == (Ids { "p", "r1", "r2", "r3" }));
    directory.forgetLapsed("r3", 0);
    pass(fleet, seconds(2));
    BOOST_TEST(recordedIds(fleet) == (Ids { "p", "r1", "r2" }));
    BOOST_TEST(directory.lapsed("orders").empty());
}

// A host whose process started after a registration had ended knows the server from the record alone.
BOOST_AUTO_TEST_CASE(restarted_fleet_knows_lapsed_servers)
{
    FakeFleet fleet(2);
    fleet.store.put("s/r3", "replica");
    pass(fleet, seconds(5));
    fleet.store.erase("s/r3");
    pass(fleet, seconds(5));
    startHost(fleet);
    pass(fleet, seconds(2));
    BOOST_TEST(lapsedIds(fleet.hosts[2]->fixture.gateway.directory()) == Ids { "r3" });
    fleet.dead = { 0, 1, 2 };
    pass(fleet, seconds(15));
    startHost(fleet);
    pass(fleet, seconds(5));
    BOOST_TEST(fleet.hosts[3]->coordinator.isActive());
    BOOST_TEST(lapsedIds(fleet.hosts[3]->fixture.gateway.directory()) == Ids { "r3" });
    BOOST_TEST(recordedIds(fleet) == (Ids { "p", "r1", "r2", "r3" }));
    fleet.store.put("s/r3", "replica");
    pass(fleet, seconds(2));
    BOOST_TEST(fleet.hosts[3]->fixture.gateway.directory().lapsed("orders").empty());
}

// Another host writes the record between this host's reading of it and its write.
BOOST_AUTO_TEST_CASE(conflicting_write_is_repeated_with_both_sets)
{
    FakeFleet fleet(1);
    pass(fleet, seconds(4));
    unsigned writes = 0;
    fleet.hosts[0]->store.beforeWrite = [&](const StoreWrite& write) {
        if (isRecord(write) && ++writes == 1)
            fleet.store.put(ordersKey, recordOf({ entryOf("other") }));
    };
    fleet.store.put("s/r3", "replica");
    pass(fleet, seconds(3));
    BOOST_TEST(recordedIds(fleet) == (Ids { "other", "p", "r1", "r2", "r3" }));
    BOOST_TEST(writes == 2U);
}

BOOST_AUTO_TEST_CASE(malformed_record_is_overwritten)
{
    FakeFleet fleet(1);
    pass(fleet, seconds(4));
    fleet.store.put(ordersKey, "not a record");
    pass(fleet, seconds(2));
    BOOST_TEST(recordedIds(fleet) == (Ids { "p", "r1", "r2" }));
}

// The coordinator keeps its lease, but cannot read: its view of the registrations may be outdated.
BOOST_AUTO_TEST_CASE(nothing_is_written_while_the_store_cannot_be_read)
{
    FakeFleet fleet(1);
    pass(fleet, seconds(4));
    fleet.hosts[0]->store.refusesReads = true;
    pass(fleet, seconds(5)); // The pending watch ends.
    BOOST_TEST(fleet.hosts[0]->coordinator.isActive());
    fleet.hosts[0]->fixture.gateway.directory().registerServer(entryOf("r4"));
    pass(fleet, seconds(5));
    BOOST_TEST(fleet.hosts[0]->coordinator.isActive());
    BOOST_TEST(recordedIds(fleet) == (Ids { "p", "r1", "r2" }));
    fleet.hosts[0]->store.refusesReads = false;
    pass(fleet, seconds(3));
    BOOST_TEST(recordedIds(fleet) == (Ids { "p", "r1", "r2", "r4" }));
}

// Another host may have become the coordinator.
BOOST_AUTO_TEST_CASE(nothing_is_written_after_the_coordinator_lease)
{
    FakeFleet fleet(1);
    pass(fleet, seconds(4));
    fleet.hosts[0]->store.refusesRenewals = true;
    pass(fleet, seconds(3));
    BOOST_TEST(fleet.hosts[0]->coordinator.isActive());
    fleet.store.put("s/r3", "replica");
    pass(fleet, seconds(3));
    BOOST_TEST(fleet.hosts[0]->fixture.gateway.directory().find("r3") != nullptr);
    BOOST_TEST(recordedIds(fleet) == (Ids { "p", "r1", "r2" }));
    fleet.hosts[0]->store.refusesRenewals = false;
    pass(fleet, seconds(5));
    BOOST_TEST(recordedIds(fleet) == (Ids { "p", "r1", "r2", "r3" }));
}

BOOST_AUTO_TEST_CASE(record_is_written_after_an_outage_of_the_store)
{
    FakeFleet fleet(1);
    pass(fleet, seconds(4));
    fleet.store.unavailable = true;
    pass(fleet, seconds(5)); // The pending watch ends.
    fleet.store.put("s/r3", "replica");
    fleet.hosts[0]->fixture.gateway.directory().registerServer(entryOf("r4"));
    unsigned writes = 0;
    fleet.hosts[0]->store.beforeWrite = [&](const StoreWrite& write) { writes += isRecord(write) ? 1 : 0; };
    pass(fleet, seconds(10));
    BOOST_TEST(writes == 0U);
    fleet.store.unavailable = false;
    pass(fleet, seconds(6));
    BOOST_TEST(recordedIds(fleet) == (Ids { "p", "r1", "r2", "r3", "r4" }));
}

// Load pattern: 40 hosts, whose coordinator changes every few seconds because it cannot reach the servers.
BOOST_AUTO_TEST_CASE(only_the_coordinator_writes_and_an_idle_fleet_does_not)
{
    FakeFleet fleet(40);
    unsigned writes = 0;
    for (const std::unique_ptr<FakeFleet::Host>& host : fleet.hosts) {
        host->store.beforeWrite = [&writes, &host](const StoreWrite& write) {
            if (!isRecord(write))
                return;
            ++writes;
            BOOST_TEST(host->coordinator.isActive());
        };
    }
    pass(fleet, seconds(10));
    BOOST_TEST(writes == 1U);
    for (const char* const key : { "s/r3", "s/r4", "s/r5" }) {
        fleet.store.put(key, "replica");
        pass(fleet, seconds(3));
    }
    BOOST_TEST(recordedIds(fleet) == (Ids { "p", "r1", "r2", "r3", "r4", "r5" }));
    BOOST_TEST(writes == 4U);
    fleet.store.erase("s/r3");
    pass(fleet, seconds(60));
    BOOST_TEST(writes == 4U);
    for (const std::unique_ptr<FakeFleet::Host>& host : fleet.hosts)
        BOOST_TEST(lapsedIds(host->fixture.gateway.directory()) == Ids { "r3" });
    fleet.hosts[7]->fixture.gateway.directory().forgetLapsed("r3", 0); // Not the decision of this host.
    pass(fleet, seconds(5));
    BOOST_TEST(recordedIds(fleet) == (Ids { "p", "r1", "r2", "r3", "r4", "r5" }));
}

// A copy of the store counts its revisions anew, so a greater revision than before does not make its record newer.
BOOST_FIXTURE_TEST_CASE(record_written_after_a_restore_settles_no_server, RecordsFixture)
{
    directory.registerServer(entryOf("a"));
    setItem(recordOf({ entryOf("a"), entryOf("x") })); // Revision 11, era 1.
    read(false);
    BOOST_REQUIRE(lapsedIds(directory) == Ids { "x" });
    // The copy lacks x. A coordinator that started after the restore does not know x and adds b.
    directory.storeRestored(now);
    ++era;
    setItem(recordOf({ entryOf("a"), entryOf("b") })); // Revision 12, era 2.
    read(false);
    const Ids settled = settledIds(directory);
    BOOST_TEST(settled.empty());
    setItem(recordOf({ entryOf("a") })); // A decision of that coordinator.
    read(false);
    BOOST_TEST(settledIds(directory) == Ids { "b" });
}

// A coordinator that has read the record in a copy knows all of its servers, so what it drops afterwards is settled.
BOOST_FIXTURE_TEST_CASE(record_in_a_restored_copy_is_compared_with_the_next_one, RecordsFixture)
{
    setItem(recordOf({ entryOf("a"), entryOf("x") }));
    read(false);
    revision -= 5;
    ++era;
    setItem(recordOf({ entryOf("a"), entryOf("x") }));
    read(false);
    setItem(recordOf({ entryOf("a") }));
    read(false);
    BOOST_TEST(settledIds(directory) == Ids { "x" });
}

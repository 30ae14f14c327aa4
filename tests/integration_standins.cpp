#include "support_cluster.h"
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <thread>

using namespace plantainwall::test;
using web::json::value;

namespace {

uint64_t integer(const value& object, const char* name) { return object.at(name).as_number().to_uint64(); }

std::string text(const value& object, const char* name) { return object.at(name).as_string(); }

const value readOnly = json("{'read_only':true}");

value step(const char* name) { return json(std::string("{'step':'") + name + "'}"); }

uint64_t executions(const DatabaseGroup& group, size_t i, const char* requestId)
{
    const value writes = group.stats(i).at("executed_writes");
    return writes.has_field(requestId) ? integer(writes, requestId) : 0;
}

std::string dumped(const DatabaseGroup& group, size_t i, const char* key)
{
    const value values = group.dump(i);
    return values.has_field(key) ? text(values, key) : "";
}

} // namespace

// Guards against replicas that miss writes or answer reads with other values than the primary.
BOOST_AUTO_TEST_CASE(writes_reach_every_replica)
{
    DatabaseGroup group;
    const std::string connection = group.connect(0);
    const Execution write
        = group.execute(0, connection, "r1", 1, { "PUT a one two", "ADD n 5", "ADD n -2", "APPEND a !", "DELETE x" });
    BOOST_REQUIRE(write.ok());
    BOOST_TEST(write.result(2).value() == "3");
    BOOST_TEST(write.position() == 2); // position 1 is the barrier
    BOOST_REQUIRE(group.waitForReplication(0, { 1, 2 }));
    const Execution read = group.execute(2, group.connect(2), "", 0, { "GET a", "GET none" }, readOnly);
    BOOST_REQUIRE(read.ok());
    BOOST_TEST(read.result(0).value() == "one two!");
    BOOST_TEST(!read.result(1).has_value());
    BOOST_TEST(read.position() == 2);
    BOOST_TEST(group.execute(1, group.connect(1), "r2", 1, { "PUT a b" }).error() == "not_primary");
    BOOST_TEST(group.execute(0, connection, "r3", 2, { "PUT a b" }).error() == "stale_term");
    BOOST_TEST(group.execute(0, connection, "r4", 1, { "PUT a b" }, readOnly).error() == "read_only");
    BOOST_TEST(group.execute(0, connection, "r5", 1, { "ADD a 1" }).error() == "statement_failed");
}

// Guards against a lag that delays "received", or that does not delay "applied"; and against a lost long-poll answer.
BOOST_AUTO_TEST_CASE(lag_delays_applied_but_not_received)
{
    GroupOptions options;
    options.lagMs = 300;
    DatabaseGroup group(options);
    group.execute(0, group.connect(0), "r1", 1, { "PUT a 1" });
    const std::string arguments = "&applied_term=1&applied=1&wait_ms=2000";
    const HttpResult received
        = getJson(group.directAddress(1), "/v1/position?last_term=1&received=1" + arguments, {}, Milliseconds(2500));
    BOOST_REQUIRE(received.status == 200);
    BOOST_TEST(integer(received.body, "received") == 2);
    BOOST_TEST(integer(received.body, "applied") == 1);
    BOOST_TEST(dumped(group, 1, "a") == "");
    const HttpResult applied
        = getJson(group.directAddress(1), "/v1/position?last_term=1&received=2" + arguments, {}, Milliseconds(2500));
    BOOST_REQUIRE(applied.status == 200);
    BOOST_TEST(integer(applied.body, "applied") == 2);
    BOOST_TEST(dumped(group, 1, "a") == "1");
}

// Guards against a long poll that occupies a worker thread: more polls wait than the member has threads.
BOOST_AUTO_TEST_CASE(long_polls_do_not_block_other_calls)
{
    DatabaseGroup group;
    std::vector<std::thread> polls;
    polls.reserve(40);
    std::atomic<int> answered { 0 };
    for (int i = 0; i < 40; ++i) {
        polls.emplace_back([&] {
            const HttpResult reply = getJson(group.directAddress(0),
                "/v1/position?last_term=1&received=1&applied_term=1&applied=1&wait_ms=2000", {}, Milliseconds(2500));
            answered += reply.status == 200 && integer(reply.body, "received") == 2 ? 1 : 0;
        });
    }
    std::this_thread::sleep_for(Milliseconds(100));
    BOOST_TEST(group.execute(0, group.connect(0), "r1", 1, { "PUT a 1" }).ok());
    for (std::thread& poll : polls)
        poll.join();
    BOOST_TEST(answered == 40);
}

// Guards against two candidates holding one term, and against an old primary that still executes after a fence.
BOOST_AUTO_TEST_CASE(fence_is_exclusive_and_stops_the_old_primary)
{
    DatabaseGroup group;
    const std::string connection = group.connect(0);
    const auto fence = [&](size_t i, const char* body) {
        return postJson(group.directAddress(i), "/v1/fence", json(body)).body.at("granted").as_bool();
    };
    BOOST_TEST(!fence(0, "{'term':1,'candidate':'a'}"));
    BOOST_TEST(fence(0, "{'term':2,'candidate':'a'}"));
    BOOST_TEST(fence(0, "{'term':2,'candidate':'a'}"));
    BOOST_TEST(!fence(0, "{'term':2,'candidate':'b'}"));
    BOOST_TEST(group.execute(0, connection, "r1", 1, { "PUT a 1" }).error() == "stale_term");
    BOOST_TEST(group.execute(0, connection, "r2", 2, { "PUT a 1" }).error() == "fenced");
    BOOST_TEST(text(group.status(0), "role") == "fenced");
    BOOST_TEST(!postJson(group.directAddress(1), "/v1/promote", json("{'term':2,'candidate':'a'}"))
                    .body.at("promoted")
                    .as_bool());
    BOOST_REQUIRE(group.promote(1, 3, { 0, 1 }));
    BOOST_REQUIRE(group.waitForReplication(1, { 0, 2 }));
    BOOST_TEST(text(group.status(0), "role") == "replica");
    BOOST_TEST(integer(group.status(2), "last_term") == 3);
    BOOST_TEST(group.execute(1, group.connect(1), "r3", 3, { "PUT a 2" }).ok());
}

// Guards against an entry of a cut-off primary that survives in its log, its state or its outcome table.
BOOST_AUTO_TEST_CASE(diverging_tail_is_removed)
{
    GroupOptions options;
    options.behindProxy = true;
    DatabaseGroup group(options);
    const std::string connection = group.connect(0);
    BOOST_REQUIRE(group.execute(0, connection, "kept", 1, { "PUT a 1" }).ok());
    BOOST_REQUIRE(group.waitForReplication(0, { 1, 2 }));
    group.isolate(0, "cut", false);
    BOOST_REQUIRE(group.execute(0, connection, "lost", 1, { "PUT a 2" }).ok());
    BOOST_REQUIRE(group.execute(0, connection, "lost2", 1, { "PUT b 2" }).ok());
    BOOST_REQUIRE(group.promote(1, 2, { 1, 2 }));
    BOOST_REQUIRE(group.execute(1, group.connect(1), "new", 2, { "APPEND a x" }).ok());
    BOOST_TEST(dumped(group, 0, "a") == "2");
    group.isolate(0, "pass", false);
    BOOST_REQUIRE(group.waitForReplication(1, { 0, 2 }));
    BOOST_TEST(dumped(group, 0, "a") == "1x");
    BOOST_TEST(dumped(group, 0, "b") == "");
    BOOST_TEST(integer(group.stats(0), "entries_truncated") == 2);
    BOOST_TEST(!getJson(group.directAddress(0), "/v1/requests/lost").body.at("found").as_bool());
    BOOST_TEST(getJson(group.directAddress(0), "/v1/requests/kept").body.at("found").as_bool());
}

// Guards against a killed member that forgets entries, outcomes or the term it granted when it starts again.
BOOST_AUTO_TEST_CASE(restarted_member_keeps_log_and_grants)
{
    DatabaseGroup group;
    const std::string connection = group.connect(0);
    BOOST_REQUIRE(group.execute(0, connection, "r1", 1, { "ADD n 1" }).ok());
    BOOST_REQUIRE(group.waitForReplication(0, { 1, 2 }));
    group.process(2).kill();
    BOOST_REQUIRE(group.promote(1, 4, { 0, 1 }));
    BOOST_REQUIRE(group.execute(1, group.connect(1), "r2", 4, { "ADD n 1" }).ok());
    BOOST_REQUIRE(group.waitForReplication(1, { 0 }));
    group.process(1).kill();
    group.restart(1);
    const value status = group.status(1);
    BOOST_TEST(text(status, "role") == "replica");
    BOOST_TEST(integer(status, "term") == 4);
    BOOST_TEST(integer(status, "received") == 4);
    BOOST_TEST(dumped(group, 1, "n") == "2");
    BOOST_TEST(getJson(group.directAddress(1), "/v1/requests/r2").body.at("found").as_bool());
    const value other = json("{'term':4,'candidate':'other'}");
    BOOST_TEST(!postJson(group.directAddress(1), "/v1/fence", other).body.at("granted").as_bool());
    BOOST_REQUIRE(group.promote(1, 5, { 0, 1 }));
    group.restart(2);
    BOOST_TEST(group.waitForReplication(1, { 0, 2 }));
    BOOST_TEST(dumped(group, 2, "n") == "2");
}

// Guards against a second execution of a request id, on the same primary, beside the first one, and after a promotion.
BOOST_AUTO_TEST_CASE(request_id_runs_once)
{
    DatabaseGroup group;
    const std::string first = group.connect(0);
    const std::string second = group.connect(0);
    Execution slow;
    std::thread other([&] { slow = group.execute(0, first, "r1", 1, { "SLEEP 200", "ADD n 1" }); });
    std::this_thread::sleep_for(Milliseconds(50));
    const Execution fast = group.execute(0, second, "r1", 1, { "SLEEP 1", "ADD n 1" });
    other.join();
    BOOST_TEST(fast.result(1).value() == "1");
    BOOST_REQUIRE(slow.ok());
    BOOST_TEST(slow.result(1).value() == "1");
    BOOST_TEST(slow.body.at("repeated").as_bool());
    BOOST_TEST(executions(group, 0, "r1") == 1);
    BOOST_REQUIRE(group.waitForReplication(0, { 1, 2 }));
    BOOST_REQUIRE(group.promote(1, 2, { 1, 2 }));
    const Execution after = group.execute(1, group.connect(1), "r1", 2, { "SLEEP 1", "ADD n 1" });
    BOOST_TEST(after.result(1).value() == "1");
    BOOST_TEST(after.position() == fast.position());
    BOOST_TEST(dumped(group, 1, "n") == "1");
}

// Guards against more connections than the limit, refusals that are not counted, and slots that are not limited.
BOOST_AUTO_TEST_CASE(connections_and_slots_are_limited)
{
    GroupOptions options;
    options.members = 1;
    options.connections = 2;
    options.slots = 1;
    options.connectMs = 30;
    DatabaseGroup group(options);
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    const std::string first = group.connect(0);
    BOOST_TEST((std::chrono::steady_clock::now() - start >= Milliseconds(30)));
    const std::string second = group.connect(0);
    BOOST_TEST(group.connect(0).empty());
    Execution sleeping;
    std::thread other([&] { sleeping = group.execute(0, first, "r1", 1, { "SLEEP 300" }); });
    std::this_thread::sleep_for(Milliseconds(100));
    BOOST_TEST(group.execute(0, first, "r2", 1, { "GET a" }).error() == "connection_busy");
    BOOST_TEST(group.execute(0, second, "r3", 1, { "PUT a 1" }, json("{'time_left_ms':50}")).error() == "slots_busy");
    BOOST_TEST(group.execute(0, second, "r4", 1, { "PUT a 2" }).ok());
    other.join();
    BOOST_TEST(sleeping.ok());
    BOOST_TEST(callHttp("DELETE", group.address(0), "/v1/connections/" + first).status == 200);
    BOOST_TEST(group.execute(0, first, "r5", 1, { "GET a" }).error() == "unknown_connection");
    BOOST_TEST(!group.connect(0).empty());
    const value stats = group.stats(0);
    BOOST_TEST(integer(stats, "connections_refused") == 1);
    BOOST_TEST(integer(stats, "connections_peak") == 2);
    BOOST_TEST(integer(stats, "slots_peak") == 1);
    BOOST_TEST(executions(group, 0, "r3") == 0);
}

// Guards against buffered writes that others see, that survive a rollback or idle limit, or that lose an update.
BOOST_AUTO_TEST_CASE(transactions_commit_or_roll_back_as_a_whole)
{
    GroupOptions options;
    options.members = 1;
    options.transactionIdleMs = 200;
    DatabaseGroup group(options);
    const std::string first = group.connect(0);
    const std::string second = group.connect(0);
    BOOST_TEST(group.execute(0, first, "t1", 1, { "ADD n 1" }, step("begin")).result().value() == "1");
    BOOST_TEST(group.execute(0, first, "t2", 1, { "PUT a 1" }, step("continue")).ok());
    BOOST_TEST(group.execute(0, first, "t2", 1, { "GET a" }, step("none")).error() == "connection_busy");
    BOOST_TEST(group.execute(0, second, "s1", 1, { "ADD n 1", "GET a" }).result(0).value() == "1");
    BOOST_TEST(group.execute(0, first, "t3", 1, {}, step("commit")).ok());
    BOOST_TEST(dumped(group, 0, "n") == "2");
    BOOST_TEST(dumped(group, 0, "a") == "1");
    BOOST_TEST(executions(group, 0, "t3") == 1);
    BOOST_TEST(group.execute(0, first, "t4", 1, { "PUT a 2" }, step("begin")).ok());
    BOOST_TEST(group.execute(0, first, "t5", 1, {}, step("rollback")).ok());
    BOOST_TEST(group.execute(0, first, "t6", 1, {}, step("commit")).error() == "transaction_unknown");
    BOOST_TEST(group.execute(0, first, "t7", 1, { "PUT a 3" }, step("begin")).ok());
    BOOST_REQUIRE(waitUntil([&] { return integer(group.status(0), "connections_open") == 1; }, Milliseconds(1500)));
    BOOST_TEST(group.execute(0, first, "t8", 1, {}, step("commit")).error() == "unknown_connection");
    BOOST_TEST(dumped(group, 0, "a") == "1");
}

// Guards against a caller's key that reaches the member without the tests of key-hidden seeing it.
BOOST_AUTO_TEST_CASE(keys_in_requests_are_recorded)
{
    GroupOptions options;
    options.members = 1;
    DatabaseGroup group(options);
    getJson(group.address(0), "/v1/status", { { "X-Other", "value" } });
    BOOST_TEST(integer(group.stats(0), "keys_seen") == 0);
    getJson(group.address(0), "/v1/status", { { "Authorization", "Bearer pw_k1_secret" } });
    const value stats = group.stats(0);
    BOOST_TEST(integer(stats, "keys_seen") == 1);
    BOOST_TEST(stats.at("headers_seen").serialize().find("Bearer pw_k1") != std::string::npos);
    BOOST_TEST(stats.at("headers_seen").serialize().find("X-Other") != std::string::npos);
}

// Guards against lost updates in the store and against watches that miss, repeat or delay a change.
BOOST_AUTO_TEST_CASE(store_swaps_and_watches)
{
    Platform platform;
    const HttpResult created = platform.put("a/b", value::string("1"), 0);
    BOOST_REQUIRE(created.status == 200);
    const uint64_t revision = integer(created.body, "revision");
    BOOST_TEST(platform.put("a/b", value::string("2"), 0).status == 409);
    BOOST_TEST(integer(platform.put("a/b", value::string("2"), revision + 7).body, "revision") == revision);
    HttpResult watched;
    std::thread watcher([&] {
        watched = getJson(platform.address(), "/v1/watch?prefix=a/&after=" + std::to_string(revision) + "&wait_ms=2000",
            {}, Milliseconds(2500));
    });
    BOOST_TEST(waitUntil([&] { return integer(platform.stats(), "watches_waiting") == 1; }, Milliseconds(1000)));
    BOOST_TEST(platform.put("other", value::string("x"), 0).status == 200);
    BOOST_TEST(platform.put("a/b", value::null(), revision).status == 200);
    watcher.join();
    BOOST_REQUIRE(watched.status == 200);
    BOOST_REQUIRE(watched.body.at("entries").size() == 1);
    BOOST_TEST(watched.body.at("entries").at(0).at("value").is_null());
    BOOST_TEST(integer(watched.body, "revision") == revision + 2);
    BOOST_TEST(platform.get("a/b").status == 404);
    BOOST_TEST(getJson(platform.address(), "/v1/list?prefix=a").body.at("entries").size() == 0);
    BOOST_TEST(text(platform.get("other").body, "value") == "x");
}

// Guards against keys that outlive their lease and leases that end although they are renewed.
BOOST_AUTO_TEST_CASE(lease_end_deletes_its_keys)
{
    Platform platform;
    const std::string lease = text(postJson(platform.address(), "/v1/leases", json("{'ttl_ms':400}")).body, "lease");
    BOOST_TEST(platform.put("seat", value::string("h"), 0, lease).status == 200);
    for (int i = 0; i < 6; ++i) {
        std::this_thread::sleep_for(Milliseconds(100));
        BOOST_TEST(postJson(platform.address(), "/v1/leases/" + lease + "/renew", value::object()).status == 200);
    }
    BOOST_TEST(platform.get("seat").status == 200);
    BOOST_TEST(waitUntil([&] { return platform.get("seat").status == 404; }, Milliseconds(1500)));
    BOOST_TEST(postJson(platform.address(), "/v1/leases/" + lease + "/renew", value::object()).status == 404);
    BOOST_TEST(platform.put("seat", value::string("h"), 0, lease).status == 404);
}

// Guards against faults of the store that answer, refuse or execute in another way than the mode says.
BOOST_AUTO_TEST_CASE(store_faults)
{
    PlatformOptions options;
    options.writesPerSecond = 2;
    options.listLagMs = 150;
    Platform platform(options);
    platform.setFault("lose_answers");
    BOOST_TEST(platform.put("a", value::string("1"), 0, "", Milliseconds(200)).status == 0);
    platform.setFault("down");
    BOOST_TEST(getJson(platform.address(), "/v1/kv/a", {}, Milliseconds(200)).status == 0);
    platform.setFault("down", 0, true);
    BOOST_TEST(platform.get("a").status == 503);
    platform.setFault("slow", 100);
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    BOOST_TEST(text(platform.get("a").body, "value") == "1");
    BOOST_TEST((std::chrono::steady_clock::now() - start >= Milliseconds(100)));
    platform.setFault("up");
    platform.setHost("h1", "live");
    BOOST_TEST(getJson(platform.address(), "/v1/hosts").body.at("hosts").size() == 0);
    const auto hostShown = [&] { return getJson(platform.address(), "/v1/hosts").body.at("hosts").size() == 1; };
    BOOST_TEST(waitUntil(hostShown, Milliseconds(1000)));
    int limited = 0;
    for (int i = 0; i < 10; ++i)
        limited += platform.put("b", value::string("x"), 99).status == 429 ? 1 : 0;
    BOOST_TEST(limited >= 5);
}

// Guards against a proxy that passes data through a cut, freezes what it should pass, or lets answers through.
BOOST_AUTO_TEST_CASE(proxy_cuts_freezes_delays_and_drops)
{
    GroupOptions options;
    options.members = 1;
    options.behindProxy = true;
    DatabaseGroup group(options);
    const auto call = [&] { return getJson(group.address(0), "/v1/status", {}, Milliseconds(250)).status; };
    BOOST_TEST(call() == 200);
    group.faultCallers(0, "cut");
    BOOST_TEST(getJson(group.address(0), "/v1/status").error.find("refused") != std::string::npos);
    group.faultCallers(0, "pass");
    BOOST_TEST(call() == 200);
    group.faultCallers(0, "freeze");
    BOOST_TEST(call() == 0);
    group.faultCallers(0, "delay", 60);
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    BOOST_TEST(getJson(group.address(0), "/v1/status").status == 200);
    BOOST_TEST((std::chrono::steady_clock::now() - start >= Milliseconds(120)));
    group.faultCallers(0, "drop_answers");
    const HttpResult lost
        = postJson(group.address(0), "/v1/fence", json("{'term':7,'candidate':'a'}"), {}, Milliseconds(250));
    BOOST_TEST(lost.status == 0);
    BOOST_TEST(integer(group.status(0), "term") == 7);
}

// Guards against a freeze of open connections that also stops new ones, and against replication that hangs on one.
BOOST_AUTO_TEST_CASE(replication_survives_silent_connections)
{
    GroupOptions options;
    options.behindProxy = true;
    DatabaseGroup group(options);
    group.faultReplication(0, 1, "freeze", 0, true);
    BOOST_REQUIRE(group.execute(0, group.connect(0), "r1", 1, { "PUT a 1" }).ok());
    BOOST_TEST(group.waitForReplication(0, { 2 }, Milliseconds(300)));
    BOOST_TEST(group.waitForReplication(0, { 1 }, Milliseconds(2000)));
    BOOST_TEST(integer(group.proxy().stats(0), "accepted") >= 2);
}

// Guards against a program that does not end on SIGTERM within a second, with a long poll waiting.
BOOST_AUTO_TEST_CASE(programs_end_on_sigterm)
{
    GroupOptions options;
    options.members = 1;
    DatabaseGroup group(options);
    std::thread poll([&] {
        getJson(group.directAddress(0), "/v1/position?last_term=1&received=1&applied_term=1&applied=1&wait_ms=2000");
    });
    std::this_thread::sleep_for(Milliseconds(50));
    group.process(0).terminate();
    BOOST_TEST(group.process(0).wait(Milliseconds(1000)));
    BOOST_TEST(group.process(0).exitStatus() == 0);
    poll.join();
    Platform platform;
    platform.process().terminate();
    BOOST_TEST(platform.process().wait(Milliseconds(1000)));
    BOOST_TEST(platform.process().exitStatus() == 0);
}

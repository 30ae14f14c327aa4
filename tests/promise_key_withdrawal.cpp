#include "../tools/standin_http_client.h"
#include "support_customers.h"
#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

using namespace plantainwall;
using namespace plantainwall::test;

namespace {

using Steady = std::chrono::steady_clock;

/// Returns the number of open transactions that the entry hosts report.
uint64_t openTransactions(Fleet& fleet)
{
    uint64_t count = 0;
    for (size_t i = 0; i < fleet.size(); ++i) {
        const web::json::value status = fleet.host(i).status();
        for (const web::json::value& group : status.at("groups").as_array())
            count += group.at("transactions").as_number().to_uint64();
    }
    return count;
}

uint64_t queuedRequests(Fleet& fleet)
{
    uint64_t count = 0;
    for (size_t i = 0; i < fleet.size(); ++i) {
        const web::json::value status = fleet.host(i).status();
        for (const web::json::value& group : status.at("groups").as_array()) {
            for (const web::json::value& member : group.at("members").as_array())
                count += member.at("queued").as_number().to_uint64();
        }
    }
    return count;
}

std::future<CallerReply> queryLater(
    const std::string& key, const std::string& address, const std::string& statement, int deadlineMs)
{
    return std::async(std::launch::async, [=] {
        Caller caller(key);
        caller.deadlineMs = deadlineMs;
        return caller.query(address, "g", { statement });
    });
}

/// Writes the withdrawal of a key to the store past the entry hosts.
void withdrawInStore(Fleet& fleet, const std::string& team, const std::string& keyId)
{
    const std::string path = "config/teams/" + team + "/keys/" + keyId;
    const web::json::value entry = fleet.platform().get(path).body;
    std::string envelope = entry.at("value").as_string();
    const std::string active = "withdrawn = false";
    const size_t place = envelope.find(active);
    BOOST_REQUIRE(place != std::string::npos);
    envelope.replace(place, active.size(), "withdrawn = true");
    BOOST_REQUIRE(fleet.platform()
                      .put(path, web::json::value::string(envelope), entry.at("revision").as_number().to_uint64())
                      .status
        == 200);
}

/// Requires that the reply says that a request was refused for its key and was not run.
void checkWithdrawn(const CallerReply& reply)
{
    BOOST_TEST(reply.name == "key_withdrawn", reply.http.text << reply.http.error);
    BOOST_TEST(reply.run == "not_run");
}

} // namespace

// Guards against an entry host that goes on accepting a withdrawn key, or that refuses another key of the customer.
BOOST_AUTO_TEST_CASE(new_requests_at_every_host)
{
    Fleet fleet;
    settleRateSlices(fleet);
    const std::string other = fleet.operators().addKey("hats", "hats-2");
    requireInForce(fleet);
    fleet.operators().withdrawKey("hats", "hats-1");
    BOOST_TEST(everyHostAnswers(fleet, fleet.key(), "PUT a 1", "key_withdrawn") == "");
    for (size_t i = 0; i < fleet.size(); ++i) {
        checkWithdrawn(fleet.caller().read(fleet.at(i), "g", "GET a"));
        checkWithdrawn(fleet.caller().get(fleet.at(i), "/v1/groups/g/requests/any"));
        checkWithdrawn(fleet.caller().post(fleet.at(i), "/v1/groups/g/transactions", json("{}")));
        BOOST_TEST(Caller(other).query(fleet.at(i), "g", { "PUT a 2" }).ok());
    }
}

// Guards against a withdrawal that only reaches new connections: connections that were open before, idle or in use,
// must not serve the key any more.
BOOST_AUTO_TEST_CASE(open_connections)
{
    Fleet fleet;
    settleRateSlices(fleet);
    const Headers headers { { "Authorization", "Bearer " + fleet.key() } };
    const std::string body = R"({"statements":["GET ready"],"read_only":true})";
    std::vector<std::unique_ptr<ClientConnection>> idle;
    std::vector<std::unique_ptr<ClientConnection>> busy;
    const auto call = [&](ClientConnection& connection) {
        return connection.call("POST", "/v1/groups/g/query", body, Milliseconds(2000), headers);
    };
    for (size_t i = 0; i < fleet.size(); ++i) {
        for (std::vector<std::unique_ptr<ClientConnection>>* list : { &idle, &busy }) {
            list->push_back(std::make_unique<ClientConnection>(fleet.at(i)));
            // The bucket of a host whose rate slices have just settled may be empty for some milliseconds.
            ClientReply first;
            BOOST_REQUIRE_MESSAGE(waitUntil(
                                      [&] {
                                          first = call(*list->back());
                                          return first.status != 429;
                                      },
                                      Milliseconds(2000)),
                first.body);
            BOOST_REQUIRE_MESSAGE(first.status == 200, first.body);
        }
    }
    fleet.operators().withdrawKey("hats", "hats-1");
    const Steady::time_point end = Steady::now() + inForceLimit;
    for (const std::unique_ptr<ClientConnection>& connection : busy) {
        while (call(*connection).status == 200 && Steady::now() < end) { }
        const ClientReply reply = call(*connection);
        BOOST_TEST(reply.status == 401, reply.body);
        BOOST_TEST(reply.body.find("key_withdrawn") != std::string::npos, reply.body);
    }
    for (const std::unique_ptr<ClientConnection>& connection : idle) {
        const ClientReply reply = call(*connection);
        BOOST_TEST(reply.body.find("key_withdrawn") != std::string::npos, reply.body);
    }
}

// Guards against a request that was queued at the owner of a member when its key was withdrawn and runs later.
BOOST_AUTO_TEST_CASE(queued_requests)
{
    Fleet::Options options;
    options.group.slots = 1;
    Fleet fleet(options);
    settleRateSlices(fleet);
    const std::string gnomes = addSecondTeam(fleet);
    std::future<CallerReply> running = queryLater(gnomes, fleet.at(0), "SLEEP 5000", 12000);
    std::this_thread::sleep_for(Milliseconds(300));
    std::vector<std::future<CallerReply>> queued;
    for (size_t i = 0; i < fleet.size(); ++i)
        queued.push_back(queryLater(fleet.key(), fleet.at(i), "PUT late" + std::to_string(i) + " yes", 12000));
    BOOST_REQUIRE(waitUntil([&] { return queuedRequests(fleet) == fleet.size(); }, Milliseconds(2000)));
    fleet.operators().withdrawKey("hats", "hats-1");
    const Steady::time_point end = Steady::now() + inForceLimit;
    for (std::future<CallerReply>& reply : queued) {
        BOOST_REQUIRE(reply.wait_until(end) == std::future_status::ready);
        checkWithdrawn(reply.get());
    }
    BOOST_TEST(running.get().ok());
    for (size_t i = 0; i < fleet.size(); ++i)
        BOOST_TEST(valueInDatabase(fleet, "late" + std::to_string(i)).empty());
}

// Guards against a request that an entry host sends again, while it waits for a primary, after its key was withdrawn.
BOOST_AUTO_TEST_CASE(requests_waiting_for_a_primary)
{
    Fleet::Options options;
    options.group.behindProxy = true;
    Fleet fleet(options);
    settleRateSlices(fleet);
    for (size_t i = 0; i < fleet.group().size(); ++i)
        fleet.group().faultCallers(i, "cut");
    // Until the owners have noticed, a request waits at an owner instead.
    Caller probe = fleet.caller();
    probe.deadlineMs = 100;
    const std::string& host = fleet.at(0);
    BOOST_REQUIRE(
        waitUntil([&] { return probe.query(host, "g", { "PUT a 1" }).name == "no_primary"; }, Milliseconds(5000)));
    std::vector<std::future<CallerReply>> waiting;
    for (size_t i = 0; i < fleet.size(); ++i)
        waiting.push_back(queryLater(fleet.key(), fleet.at(i), "PUT late yes", 10000));
    std::this_thread::sleep_for(Milliseconds(300));
    fleet.operators().withdrawKey("hats", "hats-1");
    BOOST_TEST_REQUIRE(everyHostAnswers(fleet, fleet.key(), "GET a", "key_withdrawn") == "");
    for (size_t i = 0; i < fleet.group().size(); ++i)
        fleet.group().faultCallers(i, "pass");
    for (std::future<CallerReply>& reply : waiting) {
        const CallerReply result = reply.get();
        BOOST_TEST(!result.ok());
        BOOST_TEST_MESSAGE(result.http.text << result.http.error);
    }
    BOOST_TEST(valueInDatabase(fleet, "late").empty());
}

// Guards against an open transaction that a withdrawn key can still use or commit, or that stays open.
BOOST_AUTO_TEST_CASE(open_transaction)
{
    Fleet fleet;
    settleRateSlices(fleet);
    Caller caller = fleet.caller();
    std::vector<std::string> paths;
    for (size_t i = 0; i < fleet.size(); ++i) {
        const std::string write = "{'statements': ['PUT t" + std::to_string(i) + " yes']}";
        const CallerReply begun = caller.post(fleet.at(i), "/v1/groups/g/transactions", json(write));
        BOOST_REQUIRE_MESSAGE(begun.ok(), begun.http.text);
        paths.push_back("/v1/transactions/" + begun.http.body.at("transaction").as_string());
    }
    BOOST_TEST(openTransactions(fleet) == fleet.size());
    fleet.operators().withdrawKey("hats", "hats-1");
    BOOST_TEST_REQUIRE(everyHostAnswers(fleet, fleet.key(), "GET a", "key_withdrawn") == "");
    for (size_t i = 0; i < fleet.size(); ++i) {
        checkWithdrawn(caller.post(fleet.at(i), paths[i] + "/query", json("{'statements': ['PUT x 1']}")));
        checkWithdrawn(caller.post(fleet.at(i), paths[i] + "/commit", json("{}")));
    }
    // A sweep ends the transactions within 1 s of the withdrawal being in force.
    BOOST_TEST(waitUntil([&] { return openTransactions(fleet) == 0; }, Milliseconds(1000)));
    for (size_t i = 0; i < fleet.size(); ++i)
        BOOST_TEST(valueInDatabase(fleet, "t" + std::to_string(i)).empty());
}

// Guards against the rotation of a key that hits requests and transactions under the customer's new key.
BOOST_AUTO_TEST_CASE(other_keys_go_on)
{
    Fleet::Options options;
    options.group.slots = 1;
    Fleet fleet(options);
    settleRateSlices(fleet);
    const std::string gnomes = addSecondTeam(fleet);
    const std::string next = fleet.operators().addKey("hats", "hats-2");
    requireInForce(fleet);
    Caller caller(next);
    const CallerReply begun
        = caller.post(fleet.at(0), "/v1/groups/g/transactions", json("{'statements': ['PUT kept yes']}"));
    BOOST_REQUIRE(begun.ok());
    std::future<CallerReply> running = queryLater(gnomes, fleet.at(0), "SLEEP 3500", 12000);
    std::this_thread::sleep_for(Milliseconds(300));
    std::future<CallerReply> queued = queryLater(next, fleet.at(1), "PUT queued yes", 12000);
    BOOST_REQUIRE(waitUntil([&] { return queuedRequests(fleet) == 1; }, Milliseconds(2000)));
    fleet.operators().withdrawKey("hats", "hats-1");
    BOOST_TEST(running.get().ok());
    const CallerReply late = queued.get();
    BOOST_TEST(late.ok(), late.http.text);
    const std::string path = "/v1/transactions/" + begun.http.body.at("transaction").as_string() + "/commit";
    const CallerReply committed = caller.post(fleet.at(0), path, json("{}"));
    BOOST_TEST(committed.ok(), committed.http.text);
    BOOST_TEST(valueInDatabase(fleet, "kept") == "yes");
}

// Guards against an accepted withdrawal that waits for the store: the hosts must pass it on among themselves.
BOOST_AUTO_TEST_CASE(store_down_after_acceptance)
{
    Fleet::Options options;
    options.ownStoreRoutes = true;
    Fleet fleet(options);
    settleRateSlices(fleet);
    for (size_t i = 1; i < fleet.size(); ++i)
        fleet.faultStore(i, "cut"); // Otherwise their watches could have the change before the outage.
    fleet.operators().withdrawKey("hats", "hats-1");
    fleet.platform().setFault("down");
    // Checked apart from the answers: the owner of a member refuses the key for hosts that do not know yet.
    BOOST_TEST(inForceEverywhere(fleet, revisionInForce(fleet.host(0))));
    BOOST_TEST(everyHostAnswers(fleet, fleet.key(), "PUT a 1", "key_withdrawn") == "");
}

// Guards against a host without contact to store and peers that serves a withdrawn key for longer than the customer's
// cutoff allows, or that refuses a customer whose cutoff says "serve". The withdrawal is written to the store directly,
// as an operator elsewhere would bring it about through a host that the one here cannot reach.
BOOST_AUTO_TEST_CASE(cut_off_host_with_cutoff)
{
    Fleet::Options options;
    options.dataCentres = { "mill/huon", "sheds/huon" };
    options.ownStoreRoutes = true;
    Fleet fleet(options);
    settleRateSlices(fleet);
    const std::string gnomes = addSecondTeam(fleet);
    fleet.operators().set("teams/hats/cutoff", "mode = \"refuse\"\nmax_age_s = 10");
    requireInForce(fleet);
    fleet.host(0).process().kill();
    fleet.faultStore(1, "cut");
    const Steady::time_point cut = Steady::now();
    const auto read = [&](const std::string& key) { return Caller(key).read(fleet.at(1), "g", "GET ready"); };
    withdrawInStore(fleet, "hats", "hats-1");
    // With one host gone the first reads may be refused for other reasons.
    BOOST_TEST(waitUntil([&] { return read(fleet.key()).ok(); }, Milliseconds(8000)));
    std::this_thread::sleep_until(cut + std::chrono::seconds(10));
    const CallerReply refused = read(fleet.key());
    BOOST_TEST(refused.name == "configuration_too_old", refused.http.text);
    BOOST_TEST(refused.run == "not_run");
    const CallerReply served = read(gnomes);
    BOOST_TEST(served.ok(), served.http.text);
    fleet.faultStore(1, "pass");
    BOOST_TEST(waitUntil([&] { return read(fleet.key()).name == "key_withdrawn"; }, Milliseconds(5000)));
}

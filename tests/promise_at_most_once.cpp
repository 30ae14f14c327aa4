#include "support_writers.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall::test;

namespace {

constexpr Milliseconds recovery(10000);

Fleet::Options faulty()
{
    Fleet::Options options;
    options.group.behindProxy = true;
    return options;
}

Writers::Options resending(unsigned resends, int deadlineMs = 1500)
{
    Writers::Options options;
    options.resends = resends;
    options.deadlineMs = deadlineMs;
    return options;
}

/// Checks that a member has executed no write twice, by its own count.
void checkExecutionCounts(const DatabaseGroup& group, size_t member)
{
    const web::json::value executed = group.stats(member).at("executed_writes");
    size_t repeated = 0;
    for (const std::pair<std::string, web::json::value>& write : executed.as_object())
        repeated += write.second.as_number().to_uint64() > 1 ? 1 : 0;
    BOOST_TEST(executed.size() > 0U);
    BOOST_TEST(repeated == 0U, group.memberName(member) << " executed " << repeated << " writes twice");
}

void sleepFor(int ms) { std::this_thread::sleep_for(Milliseconds(ms)); }

} // namespace

// Guards against sending a write again without its request id after the database's answer was lost.
BOOST_AUTO_TEST_CASE(answers_of_the_database_dropped)
{
    Fleet fleet(faulty());
    Writers writers(addressesOf(fleet), fleet.key(), "g", resending(3));
    BOOST_REQUIRE(writers.waitForProgress(recovery));
    for (int round = 0; round < 4; ++round) {
        fleet.group().faultCallers(0, "drop_answers");
        sleepFor(300);
        fleet.group().faultCallers(0, "pass");
        // Drops the open connections, whose streams have lost a part.
        fleet.group().faultCallers(0, "cut");
        fleet.group().faultCallers(0, "pass");
        BOOST_REQUIRE(writers.waitForProgress(recovery));
    }
    checkWrites(fleet.group(), writers);
    checkExecutionCounts(fleet.group(), *primaryOf(fleet.group()));
}

// Guards against running a write twice when a connection closes between the request and its answer, which cpprestsdk's
// client answers with a second request if it can.
BOOST_AUTO_TEST_CASE(connections_cut_between_request_and_answer)
{
    Fleet fleet(faulty());
    fleet.group().admin(0, json("{'statement_ms': 30}"));
    Writers writers(addressesOf(fleet), fleet.key(), "g", resending(3));
    BOOST_REQUIRE(writers.waitForProgress(recovery));
    for (int round = 0; round < 20; ++round) {
        fleet.group().faultCallers(0, "cut");
        fleet.group().faultCallers(0, "pass");
        sleepFor(100);
    }
    BOOST_TEST(writers.waitForProgress(recovery));
    checkWrites(fleet.group(), writers);
    checkExecutionCounts(fleet.group(), *primaryOf(fleet.group()));
}

// Guards against a second execution when the answers of the owner come after the entry host has given up.
BOOST_AUTO_TEST_CASE(owner_stops_for_a_while)
{
    Fleet fleet;
    // Host 0 owns the primary; the callers use the other two.
    Writers writers({ fleet.at(1), fleet.at(2) }, fleet.key(), "g", resending(3, 600));
    BOOST_REQUIRE(writers.waitForProgress(recovery));
    for (int round = 0; round < 3; ++round) {
        fleet.host(0).process().pause();
        sleepFor(1000); // Shorter than the 3 s after which another host becomes owner.
        fleet.host(0).process().resume();
        BOOST_REQUIRE(writers.waitForProgress(recovery));
    }
    checkWrites(fleet.group(), writers);
    checkExecutionCounts(fleet.group(), *primaryOf(fleet.group()));
}

// Guards against a second execution by the next owner of what the killed owner had sent to the database.
BOOST_AUTO_TEST_CASE(owner_killed)
{
    Fleet fleet;
    Writers::Options options = resending(60, 2000);
    options.resendPause = Milliseconds(100); // Long enough for another host to become owner.
    Writers writers({ fleet.at(1), fleet.at(2) }, fleet.key(), "g", options);
    BOOST_REQUIRE(writers.waitForProgress(recovery));
    fleet.group().admin(0, json("{'statement_ms': 100}")); // Writes are running when the owner is killed.
    sleepFor(300);
    fleet.host(0).process().kill();
    fleet.group().admin(0, json("{'statement_ms': 0}"));
    BOOST_REQUIRE(writers.waitForProgress(recovery));
    checkWrites(fleet.group(), writers);
    checkExecutionCounts(fleet.group(), *primaryOf(fleet.group()));
}

// Guards against a second execution by the next primary of a write that the killed one had passed on.
BOOST_AUTO_TEST_CASE(primary_killed_while_callers_repeat)
{
    Fleet fleet(faulty());
    Writers writers(addressesOf(fleet), fleet.key(), "g", resending(5, 1000));
    BOOST_REQUIRE(writers.waitForProgress(recovery));
    fleet.group().faultCallers(0, "drop_answers"); // Run and replicated, but not answered.
    sleepFor(200);
    fleet.group().process(0).kill();
    BOOST_REQUIRE(writers.waitForProgress(recovery));
    fleet.group().faultCallers(0, "pass");
    fleet.group().restart(0);
    checkWrites(fleet.group(), writers);
    checkExecutionCounts(fleet.group(), *primaryOf(fleet.group()));
}

// Guards against a commit that runs twice or is reported as not run when its answer is lost and the primary fails.
BOOST_AUTO_TEST_CASE(primary_killed_at_commit)
{
    Fleet fleet(faulty());
    constexpr size_t transactions = 8;
    std::vector<Caller> callers(transactions, fleet.caller());
    std::vector<std::string> ids;
    for (size_t i = 0; i < transactions; ++i) {
        const CallerReply begun = callers[i].post(fleet.at(i % 3), "/v1/groups/g/transactions", json("{}"));
        BOOST_REQUIRE_MESSAGE(begun.ok(), begun.http.text + begun.http.error);
        ids.push_back("/v1/transactions/" + begun.http.body.at("transaction").as_string());
        const CallerReply added = callers[i].post(fleet.at(i % 3), ids[i] + "/query",
            json("{'statements': ['ADD t" + std::to_string(i) + " 1', 'ADD total 1']}"));
        BOOST_REQUIRE_MESSAGE(added.ok(), added.http.text + added.http.error);
    }
    fleet.group().faultCallers(0, "drop_answers");
    std::vector<CallerReply> replies(transactions);
    std::vector<std::thread> threads;
    for (size_t i = 0; i < transactions; ++i)
        threads.emplace_back([&, i] { replies[i] = callers[i].post(fleet.at(i % 3), ids[i] + "/commit", json("{}")); });
    sleepFor(200);
    fleet.group().process(0).kill();
    for (std::thread& thread : threads)
        thread.join();
    BOOST_REQUIRE(waitUntil([&] { return primaryOf(fleet.group()).has_value(); }, recovery));
    const web::json::value dump = fleet.group().dump(*primaryOf(fleet.group()));
    size_t committed = 0;
    for (size_t i = 0; i < transactions; ++i) {
        const std::string key = "t" + std::to_string(i);
        const std::string executions = dump.has_field(key) ? dump.at(key).as_string() : "0";
        BOOST_TEST_MESSAGE("commit " << i << ": " << replies[i].name << ", executions " << executions);
        BOOST_TEST((executions == "0" || executions == "1"));
        if (replies[i].ok())
            BOOST_TEST(executions == "1");
        if (replies[i].run == "not_run")
            BOOST_TEST(executions == "0");
        committed += executions == "1" ? 1 : 0;
    }
    BOOST_TEST((dump.has_field("total") ? dump.at("total").as_string() : "0") == std::to_string(committed));
}

// Guards against running a request id again that a caller repeats at once and over all entry hosts.
BOOST_AUTO_TEST_CASE(request_id_repeated_concurrently)
{
    Fleet fleet(faulty());
    for (int round = 0; round < 10; ++round) {
        const std::string id = "r" + std::to_string(round);
        web::json::value extra = web::json::value::object();
        extra["request_id"] = web::json::value::string(id);
        std::vector<std::thread> threads;
        std::vector<CallerReply> replies(9);
        for (size_t i = 0; i < replies.size(); ++i)
            threads.emplace_back([&, i] {
                Caller caller = fleet.caller();
                replies[i] = caller.query(fleet.at(i % 3), "g", { "ADD " + id + " 1" }, extra);
            });
        for (std::thread& thread : threads)
            thread.join();
        for (const CallerReply& reply : replies) {
            BOOST_TEST(reply.ok(), reply.http.text << reply.http.error);
            BOOST_TEST(reply.result().value_or("none") == "1");
        }
        BOOST_TEST(fleet.group().dump(0).at(id).as_string() == "1");
    }
    checkExecutionCounts(fleet.group(), 0);
}

#include "support_writers.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall::test;

namespace {

constexpr Milliseconds recovery(10000);
// An owner rolls a transaction back after 4 s without a statement, the database after 5 s; with time for the sweeps.
constexpr Milliseconds rollBackBound(7000);

/// One transaction of a caller.
struct Transaction {
    Transaction(Caller& user, const std::string& entryHost, const web::json::value& body = json("{}"))
        : caller(user)
        , begun(caller.post(entryHost, "/v1/groups/g/transactions", body))
    {
        if (begun.ok())
            path = "/v1/transactions/" + begun.http.body.at("transaction").as_string();
    }

    CallerReply run(const std::string& entryHost, const std::vector<std::string>& statements)
    {
        std::vector<web::json::value> list;
        list.reserve(statements.size());
        for (const std::string& statement : statements)
            list.push_back(web::json::value::string(statement));
        web::json::value body = web::json::value::object();
        body["statements"] = web::json::value::array(list);
        return caller.post(entryHost, path + "/query", body);
    }

    CallerReply end(const std::string& entryHost, const std::string& step)
    {
        return caller.post(entryHost, path + "/" + step, json("{}"));
    }

    Caller& caller;
    CallerReply begun;
    std::string path; ///< Empty: not begun.
};

/// What one caller saw; checked by the main thread, because Boost.Test's checks are not safe on others.
struct Seen {
    size_t committed = 0;
    size_t notCommitted = 0;
    std::vector<std::string> faults;
};

/// Writes two shared keys in each transaction, its statements over different entry hosts, and rolls every third back.
void runTransactions(Fleet& fleet, size_t number, SteadyTime end, Seen& seen)
{
    Caller caller = fleet.caller();
    for (size_t n = 0; std::chrono::steady_clock::now() < end; ++n) {
        const std::string id = std::to_string(number) + "-" + std::to_string(n);
        Transaction transaction(caller, fleet.at(number % 3));
        if (transaction.path.empty())
            continue;
        const CallerReply first = transaction.run(fleet.at((number + 1) % 3), { "PUT left " + id });
        const CallerReply second = transaction.run(fleet.at((number + 2) % 3), { "GET left", "PUT right " + id });
        if (!first.ok() || !second.ok())
            continue;
        if (second.result().value_or("none") != id)
            seen.faults.push_back("transaction " + id + " read " + second.result().value_or("none"));
        const bool rollsBack = n % 3 == 2;
        if (rollsBack && !transaction.run(fleet.at(0), { "PUT rolled-back " + id }).ok())
            continue;
        const CallerReply done = transaction.end(fleet.at(number % 3), rollsBack ? "rollback" : "commit");
        (done.ok() && !rollsBack ? seen.committed : seen.notCommitted) += 1;
    }
}

} // namespace

// Guards against statements of one transaction that run in another, or a commit of a part.
BOOST_AUTO_TEST_CASE(concurrent_over_all_entry_hosts)
{
    Fleet fleet;
    const SteadyTime end = std::chrono::steady_clock::now() + Milliseconds(4000);
    std::vector<Seen> seen(10);
    std::vector<std::thread> threads;
    for (size_t i = 0; i < seen.size(); ++i)
        threads.emplace_back([&, i] { runTransactions(fleet, i, end, seen[i]); });
    Caller reader = fleet.caller();
    size_t torn = 0;
    size_t reads = 0;
    while (std::chrono::steady_clock::now() < end) {
        const CallerReply pair
            = reader.query(fleet.at(reads % 3), "g", { "GET left", "GET right" }, json("{'read_only': true}"));
        reads += pair.ok() ? 1 : 0;
        torn += pair.ok() && pair.result(0) != pair.result(1) ? 1 : 0;
    }
    for (std::thread& thread : threads)
        thread.join();
    size_t committed = 0;
    for (const Seen& caller : seen) {
        committed += caller.committed;
        BOOST_TEST(caller.faults.empty(), caller.faults.size() << " faults, first: " << caller.faults.front());
    }
    BOOST_TEST_MESSAGE("committed " << committed << ", reads " << reads);
    BOOST_TEST(committed > 20U);
    BOOST_TEST(reads > 20U);
    BOOST_TEST(torn == 0U);
    BOOST_TEST(!fleet.group().dump(0).has_field("rolled-back"));
}

// Guards against connections and writes that stay behind when callers leave in the middle of a transaction.
BOOST_AUTO_TEST_CASE(callers_gone)
{
    Fleet::Options options;
    options.group.connections = 10; // The owner uses 5 of them.
    Fleet fleet(options);
    Caller caller = fleet.caller();
    for (int i = 0; i < 4; ++i) {
        Transaction abandoned(caller, fleet.at(0));
        BOOST_REQUIRE_MESSAGE(!abandoned.path.empty(), abandoned.begun.http.text);
        BOOST_TEST(abandoned.run(fleet.at(1), { "PUT abandoned yes" }).ok());
    }
    // The caller leaves while the first statement is running, and never learns the transaction's id.
    const Headers headers { { "Authorization", "Bearer " + fleet.key() } };
    postJson(fleet.at(0), "/v1/groups/g/transactions", json("{'statements': ['SLEEP 300', 'PUT abandoned yes']}"),
        headers, Milliseconds(100));
    const SteadyTime from = std::chrono::steady_clock::now();
    caller.deadlineMs = 12000;
    for (int i = 0; i < 5; ++i) { // All connections are usable again.
        Transaction next(caller, fleet.at(0));
        BOOST_TEST(!next.path.empty(), next.begun.http.text);
        BOOST_TEST(next.run(fleet.at(0), { "PUT next yes" }).ok());
    }
    const Milliseconds waited = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - from);
    BOOST_TEST_MESSAGE("connections free again after " << waited.count() << " ms");
    BOOST_TEST(waited.count() <= rollBackBound.count());
    BOOST_TEST(!fleet.group().dump(0).has_field("abandoned"));
}

// Guards against a half transaction that is committed, or connections that are never freed, when the entry host that
// holds it is killed.
BOOST_AUTO_TEST_CASE(owner_killed)
{
    Fleet::Options options;
    options.group.connections = 10;
    Fleet fleet(options);
    Caller caller = fleet.caller();
    std::vector<std::string> paths;
    for (int i = 0; i < 4; ++i) {
        Transaction open(caller, fleet.at(1));
        BOOST_REQUIRE_MESSAGE(!open.path.empty(), open.begun.http.text);
        BOOST_TEST(open.run(fleet.at(2), { "PUT open yes" }).ok());
        paths.push_back(open.path);
    }
    BOOST_REQUIRE(paths[0].find(".host-a.") != std::string::npos); // Owner of the primary, in its data centre.
    fleet.host(0).process().kill();
    const SteadyTime from = std::chrono::steady_clock::now();
    for (const std::string& path : paths) {
        const CallerReply commit = caller.post(fleet.at(1), path + "/commit", json("{}"));
        BOOST_TEST(!commit.ok());
    }
    BOOST_TEST(waitUntil([&] { return caller.query(fleet.at(1), "g", { "PUT after yes" }).ok(); }, recovery));
    const auto connectionsOpen = [&] { return fleet.group().status(0).at("connections_open").as_number().to_uint64(); };
    BOOST_TEST(waitUntil([&] { return connectionsOpen() <= 1; }, rollBackBound + Milliseconds(4000)));
    BOOST_TEST_MESSAGE(
        "freed after " << std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - from).count()
                       << " ms");
    BOOST_TEST(!fleet.group().dump(0).has_field("open"));
}

// Guards against a transaction that continues at the next primary without its first statements.
BOOST_AUTO_TEST_CASE(primary_killed_in_the_middle)
{
    Fleet fleet;
    Caller caller = fleet.caller();
    Transaction open(caller, fleet.at(0));
    BOOST_REQUIRE(open.run(fleet.at(0), { "PUT first yes" }).ok());
    fleet.group().process(0).kill();
    Caller other = fleet.caller();
    BOOST_REQUIRE(waitUntil([&] { return other.query(fleet.at(1), "g", { "PUT after yes" }).ok(); }, recovery));
    const CallerReply second = open.run(fleet.at(1), { "PUT second yes" });
    BOOST_TEST(!second.ok());
    BOOST_TEST(second.run == "not_run");
    BOOST_TEST(!open.end(fleet.at(2), "commit").ok());
    const web::json::value dump = fleet.group().dump(*primaryOf(fleet.group()));
    BOOST_TEST(!dump.has_field("first"));
    BOOST_TEST(!dump.has_field("second"));
}

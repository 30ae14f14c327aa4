#include "../tools/standin_http_client.h"
#include "support_customers.h"
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <mutex>
#include <thread>

using namespace plantainwall;
using namespace plantainwall::test;

namespace {

using Steady = std::chrono::steady_clock;

/// Callers with keep-alive connections to all hosts of a fleet. Each asks /healthz of its host before a request when
/// its last look is older than 100 ms, and moves to the next host if the answer is not 200.
class PoliteCallers {
public:
    PoliteCallers(Fleet& fleet, size_t perHost)
        : m_fleet(fleet)
    {
        for (size_t i = 0; i < perHost * fleet.size(); ++i)
            m_threads.emplace_back([this, i] { call(i); });
    }

    ~PoliteCallers() { stop(); }

    PoliteCallers(const PoliteCallers&) = delete;
    PoliteCallers& operator=(const PoliteCallers&) = delete;

    /// Ends the load. Returns a description of every request without a whole, successful answer.
    std::string stop()
    {
        m_stop = true;
        for (std::thread& thread : m_threads)
            thread.join();
        m_threads.clear();
        return m_failures;
    }

    size_t answered() const { return m_answered; }
    size_t moves() const { return m_moves; }

private:
    void call(size_t number)
    {
        size_t host = number % m_fleet.size();
        const std::string name = "caller" + std::to_string(number);
        const Headers headers { { "Authorization", "Bearer " + m_fleet.key() },
            { "Plantainwall-Deadline-Ms", "5000" } };
        std::unique_ptr<ClientConnection> connection = std::make_unique<ClientConnection>(m_fleet.at(host));
        Steady::time_point looked {};
        for (uint64_t n = 0; !m_stop; ++n) {
            if (Steady::now() - looked > Milliseconds(100)) {
                while (getJson(m_fleet.at(host), "/healthz").status != 200) {
                    ++m_moves;
                    host = (host + 1) % m_fleet.size();
                    connection = std::make_unique<ClientConnection>(m_fleet.at(host));
                }
                looked = Steady::now();
            }
            const std::string id = name + "-" + std::to_string(n);
            const bool write = n % 2 == 0;
            web::json::value body = web::json::value::object();
            body["statements"][0] = web::json::value::string((write ? "ADD " : "GET ") + name + (write ? " 1" : ""));
            body["read_only"] = web::json::value::boolean(!write);
            body["request_id"] = web::json::value::string(id);
            try {
                check(
                    id, connection->call("POST", "/v1/groups/g/query", body.serialize(), Milliseconds(7000), headers));
            } catch (const std::exception& error) {
                fail(id + " at " + m_fleet.host(host).name() + " was cut: " + error.what());
            }
            std::this_thread::sleep_for(Milliseconds(5));
        }
    }

    void check(const std::string& id, const ClientReply& reply)
    {
        std::error_code ec;
        const web::json::value json = web::json::value::parse(reply.body, ec);
        if (!json.has_string_field("name") || json.at("name").as_string() != "ok")
            fail(id + " was answered " + std::to_string(reply.status) + " " + reply.body);
        else
            ++m_answered;
    }

    void fail(const std::string& text)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_failures += text + "\n";
    }

    Fleet& m_fleet;
    std::atomic<bool> m_stop { false };
    std::atomic<size_t> m_answered { 0 };
    std::atomic<size_t> m_moves { 0 };
    std::mutex m_mutex;
    std::string m_failures;
    std::vector<std::thread> m_threads;
};

} // namespace

// Guards against requests that a graceful shutdown cuts or refuses while callers follow /healthz, on each host in turn:
// the owner of the primary, of a replica, and the relay of a data centre.
BOOST_AUTO_TEST_CASE(under_load)
{
    Fleet::Options options;
    options.group.statementMs = 5;
    Fleet fleet(options);
    settleRateSlices(fleet);
    PoliteCallers callers(fleet, 4);
    std::this_thread::sleep_for(Milliseconds(1000));
    for (size_t i = 0; i < 2; ++i) {
        const size_t before = callers.answered();
        fleet.host(i).process().terminate();
        BOOST_TEST(waitUntil([&] { return getJson(fleet.at(i), "/healthz").status == 503; }, Milliseconds(1000)));
        BOOST_REQUIRE(fleet.host(i).process().wait(Milliseconds(15000)));
        BOOST_TEST(fleet.host(i).process().exitStatus() == 0);
        std::this_thread::sleep_for(Milliseconds(500));
        BOOST_TEST(callers.answered() > before);
        fleet.platform().setHost(fleet.host(i).name(), "gone");
    }
    BOOST_TEST(callers.stop() == "");
    BOOST_TEST(callers.moves() > 0U);
    BOOST_TEST_MESSAGE(callers.answered() << " answers, " << callers.moves() << " moves");
}

// Guards against transactions that end because a host through which they run, or that owns the primary, shuts down.
BOOST_AUTO_TEST_CASE(open_transactions)
{
    Fleet fleet;
    settleRateSlices(fleet);
    Caller caller = fleet.caller();
    // The owner of the primary, which holds the transactions' connections.
    const web::json::value status = fleet.host(0).status();
    const std::string owner
        = status.at("groups").as_array().at(0).at("members").as_array().at(0).at("owner").as_string();
    BOOST_REQUIRE(owner == fleet.host(0).name());
    std::vector<std::string> paths;
    for (size_t i = 0; i < fleet.size(); ++i) {
        const std::string write = "{'statements': ['PUT t" + std::to_string(i) + " yes']}";
        const CallerReply begun = caller.post(fleet.at(i), "/v1/groups/g/transactions", json(write));
        BOOST_REQUIRE_MESSAGE(begun.ok(), begun.http.text);
        paths.push_back("/v1/transactions/" + begun.http.body.at("transaction").as_string());
    }
    fleet.host(0).process().terminate();
    BOOST_REQUIRE(waitUntil([&] { return getJson(fleet.at(0), "/healthz").status == 503; }, Milliseconds(1000)));
    // The last one ends when peers have taken over the members.
    for (size_t i = 0; i < paths.size(); ++i) {
        std::this_thread::sleep_for(Milliseconds(800));
        const std::string& address = fleet.at(1 + i % 2);
        const CallerReply step = caller.post(address, paths[i] + "/query", json("{'statements': ['PUT more 1']}"));
        BOOST_TEST(step.ok(), step.http.text << step.http.error);
        const CallerReply commit = caller.post(address, paths[i] + "/commit", json("{}"));
        BOOST_TEST(commit.ok(), commit.http.text << commit.http.error);
    }
    BOOST_REQUIRE(fleet.host(0).process().wait(Milliseconds(15000)));
    BOOST_TEST(fleet.host(0).process().exitStatus() == 0);
    for (size_t i = 0; i < paths.size(); ++i)
        BOOST_TEST(valueInDatabase(fleet, "t" + std::to_string(i)) == "yes");
}

// Guards against answers of long statements that are cut at the end of the drain.
BOOST_AUTO_TEST_CASE(long_running_requests)
{
    Fleet fleet;
    settleRateSlices(fleet);
    std::vector<std::thread> threads;
    std::vector<CallerReply> replies(2);
    for (size_t i = 0; i < replies.size(); ++i) {
        threads.emplace_back([&fleet, &replies, i] {
            Caller caller = fleet.caller();
            caller.deadlineMs = 12000;
            replies[i] = caller.query(fleet.at(i), "g", { "SLEEP 4000", "PUT slow" + std::to_string(i) + " yes" });
        });
    }
    std::this_thread::sleep_for(Milliseconds(500));
    fleet.host(0).process().terminate();
    for (std::thread& thread : threads)
        thread.join();
    for (const CallerReply& reply : replies)
        BOOST_TEST(reply.ok(), reply.http.text << reply.http.error);
    BOOST_REQUIRE(fleet.host(0).process().wait(Milliseconds(15000)));
    BOOST_TEST(fleet.host(0).process().exitStatus() == 0);
    for (size_t i = 0; i < replies.size(); ++i)
        BOOST_TEST(valueInDatabase(fleet, "slow" + std::to_string(i)) == "yes");
}

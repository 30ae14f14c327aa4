#include "support_writers.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall::test;

namespace {

constexpr Milliseconds recovery(10000);

Fleet::Options lagging(double lagMs)
{
    Fleet::Options options;
    options.group.lagMs = lagMs;
    return options;
}

/// Reads key k through every entry host and checks the value.
void checkEverywhere(Fleet& fleet, Caller& caller, const std::string& expected)
{
    for (size_t host = 0; host < fleet.size(); ++host) {
        const CallerReply read = caller.read(fleet.at(host), "g", "GET k");
        BOOST_REQUIRE_MESSAGE(read.ok(), read.http.text + read.http.error);
        BOOST_TEST(read.result().value_or("none") == expected);
    }
}

} // namespace

// Guards against a session that reads data older than its own write after it moved to another entry host.
BOOST_AUTO_TEST_CASE(after_moving_with_lagging_replicas)
{
    Fleet::Options options;
    options.group.lagMs = 100;
    Fleet fleet(options);
    Caller caller = fleet.caller();
    for (int i = 0; i < 30; ++i) {
        const std::string text = std::to_string(i);
        const CallerReply written = caller.query(fleet.at(i % 3), "g", { "PUT k " + text });
        BOOST_REQUIRE_MESSAGE(written.ok(), written.http.text + written.http.error);
        for (size_t host = 0; host < 3; ++host) {
            const CallerReply read = caller.read(fleet.at(host), "g", "GET k");
            BOOST_REQUIRE_MESSAGE(read.ok(), read.http.text + read.http.error);
            BOOST_TEST(read.result().value_or("none") == text);
        }
    }
}

// Guards against a session whose second move forgets what it wrote before the first.
BOOST_AUTO_TEST_CASE(moved_twice)
{
    Fleet fleet(lagging(250));
    Caller caller = fleet.caller();
    BOOST_REQUIRE(caller.query(fleet.at(0), "g", { "PUT k first" }).ok());
    const CallerReply other = caller.read(fleet.at(1), "g", "GET k");
    BOOST_TEST(other.result().value_or("none") == "first");
    BOOST_REQUIRE(caller.query(fleet.at(1), "g", { "APPEND k -second" }).ok());
    const CallerReply last = caller.read(fleet.at(2), "g", "GET k");
    BOOST_TEST(last.result().value_or("none") == "first-second");
}

// Guards against refusing or misreading a token whose term has ended.
BOOST_AUTO_TEST_CASE(token_older_than_promotion)
{
    Fleet fleet(lagging(100));
    Caller caller = fleet.caller();
    BOOST_REQUIRE(caller.query(fleet.at(0), "g", { "PUT k before" }).ok());
    fleet.group().process(0).kill();
    Caller other = fleet.caller();
    BOOST_REQUIRE(waitUntil([&] { return other.query(fleet.at(1), "g", { "PUT x yes" }).ok(); }, recovery));
    checkEverywhere(fleet, caller, "before");
}

// Guards against a read from a promoted or lagging member that has not applied the write yet.
BOOST_AUTO_TEST_CASE(promotion_between_write_and_read)
{
    Fleet fleet(lagging(1500));
    Caller caller = fleet.caller();
    caller.deadlineMs = 8000;
    BOOST_REQUIRE(caller.query(fleet.at(0), "g", { "PUT k new" }).ok());
    fleet.group().process(0).kill();
    checkEverywhere(fleet, caller, "new");
}

// Guards against an outcome lookup that gives no token, or one that does not cover the write.
BOOST_AUTO_TEST_CASE(lost_answer_then_outcome_lookup)
{
    Fleet fleet(lagging(250));
    fleet.group().admin(0, json("{'statement_ms': 150}"));
    const Headers headers { { "Authorization", "Bearer " + fleet.key() } };
    const HttpResult lost = postJson(fleet.at(0), "/v1/groups/g/query",
        json("{'request_id': 'lost', 'statements': ['PUT k kept']}"), headers, Milliseconds(50));
    BOOST_TEST(lost.status == 0);
    Caller caller = fleet.caller();
    CallerReply found;
    BOOST_REQUIRE(waitUntil(
        [&] {
            found = caller.get(fleet.at(2), "/v1/groups/g/requests/lost");
            return found.ok();
        },
        recovery));
    BOOST_TEST(!found.session.empty());
    checkEverywhere(fleet, caller, "kept");
}

// Guards against an answer older than the age that the caller accepts, from replicas that lag more than that.
BOOST_AUTO_TEST_CASE(stated_age_is_kept)
{
    constexpr Milliseconds age(150);
    Fleet fleet(lagging(400));
    std::atomic<bool> stopped { false };
    std::mutex mutex;
    std::vector<SteadyTime> acknowledged; // Time of the acknowledgement of value i.
    std::thread writer([&] {
        Caller caller = fleet.caller();
        for (size_t n = 0; !stopped;) {
            if (!caller.query(fleet.at(0), "g", { "PUT k " + std::to_string(n) }).ok())
                continue;
            const std::lock_guard<std::mutex> lock(mutex);
            acknowledged.push_back(std::chrono::steady_clock::now());
            ++n;
        }
    });
    const auto newestBefore = [&](SteadyTime limit) {
        const std::lock_guard<std::mutex> lock(mutex);
        int newest = -1;
        for (size_t i = 0; i < acknowledged.size() && acknowledged[i] <= limit; ++i)
            newest = static_cast<int>(i);
        return newest;
    };
    std::atomic<size_t> answered { 0 };
    std::atomic<size_t> tooOld { 0 };
    std::vector<std::thread> readers;
    for (size_t i = 0; i < 9; ++i)
        readers.emplace_back([&, i] {
            const SteadyTime end = std::chrono::steady_clock::now() + Milliseconds(4000);
            while (std::chrono::steady_clock::now() < end) {
                const SteadyTime sent = std::chrono::steady_clock::now();
                const CallerReply read = fleet.caller().query(
                    fleet.at(i % 3), "g", { "GET k" }, json("{'read_only': true, 'max_age_ms': 150}"));
                if (!read.ok())
                    continue;
                ++answered;
                tooOld += std::stoi(read.result().value_or("-1")) < newestBefore(sent - age) ? 1 : 0;
            }
        });
    for (std::thread& reader : readers)
        reader.join();
    stopped = true;
    writer.join();
    BOOST_TEST_MESSAGE("answered " << answered << ", too old " << tooOld);
    BOOST_TEST(answered > 20U);
    BOOST_TEST(tooOld == 0U);
}

#include "support_writers.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall::test;

namespace {

constexpr Milliseconds recovery(10000);
constexpr size_t valueBytes = 60000;

/// Value of a key, recognisable at every place.
std::string valueOf(const std::string& key)
{
    std::string text;
    while (text.size() < valueBytes)
        text += key + "." + std::to_string(text.size()) + ",";
    return text;
}

/// Callers that each read large values of their own and compare every answer.
class LargeReaders {
public:
    LargeReaders(Fleet& fleet, size_t callers)
    {
        for (size_t i = 0; i < callers; ++i) {
            for (const std::string& key : keysOf(i))
                BOOST_REQUIRE(fleet.caller().query(fleet.at(0), "g", { "PUT " + key + " " + valueOf(key) }).ok());
        }
        for (size_t i = 0; i < callers; ++i)
            m_threads.emplace_back([this, &fleet, i] { read(fleet, i); });
    }
    ~LargeReaders() { stop(); }
    void stop()
    {
        m_stopped = true;
        for (std::thread& thread : m_threads)
            thread.join();
        m_threads.clear();
    }

    bool waitForProgress()
    {
        const size_t before = m_whole;
        return waitUntil([&] { return m_whole > before + 30; }, recovery);
    }

    void check()
    {
        stop();
        BOOST_TEST_MESSAGE("whole " << m_whole << ", errors " << m_errors << ", no answer " << m_unanswered);
        BOOST_TEST(m_whole > 30U);
        BOOST_TEST(m_wrong == 0U, m_wrong << " wrong answers, for example " << m_example);
    }

private:
    static std::vector<std::string> keysOf(size_t caller)
    {
        return { "large" + std::to_string(caller), "other" + std::to_string(caller) };
    }

    void read(Fleet& fleet, size_t number)
    {
        const std::vector<std::string> keys = keysOf(number);
        const std::vector<std::string> values { valueOf(keys[0]), valueOf(keys[1]) };
        Caller caller = fleet.caller();
        caller.deadlineMs = 1000;
        for (size_t n = 0; !m_stopped; ++n) {
            const std::string id = std::to_string(number) + "-" + std::to_string(n);
            web::json::value extra = json("{'read_only': true}");
            extra["request_id"] = web::json::value::string(id);
            const CallerReply reply = caller.query(
                fleet.at((number + n) % fleet.size()), "g", { "GET " + keys[0], "GET " + keys[1] }, extra);
            note(reply, id, values);
        }
    }

    void note(const CallerReply& reply, const std::string& id, const std::vector<std::string>& values)
    {
        if (reply.http.status == 0) {
            ++m_unanswered; // The call failed as a whole: an incomplete answer is an error of the client.
            return;
        }
        const bool own
            = reply.http.body.has_string_field("request_id") && reply.http.body.at("request_id").as_string() == id;
        const bool complete = !reply.ok() || (reply.result(0) == values[0] && reply.result(1) == values[1]);
        if (own && complete && !reply.name.empty()) {
            ++(reply.ok() ? m_whole : m_errors);
            return;
        }
        const std::lock_guard<std::mutex> lock(m_mutex);
        ++m_wrong;
        m_example = reply.http.text.substr(0, 200);
    }

    std::atomic<bool> m_stopped { false };
    std::atomic<size_t> m_whole { 0 };
    std::atomic<size_t> m_errors { 0 };
    std::atomic<size_t> m_unanswered { 0 };
    std::mutex m_mutex;
    size_t m_wrong = 0;
    std::string m_example;
    std::vector<std::thread> m_threads;
};

Fleet::Options behindProxy()
{
    Fleet::Options options;
    options.group.behindProxy = true;
    return options;
}

void faultAll(Fleet& fleet, const std::string& mode, int delayMs = 0, bool existingOnly = false)
{
    for (size_t i = 0; i < 3; ++i)
        fleet.group().faultCallers(i, mode, delayMs, existingOnly);
}

} // namespace

// Guards against answers that are swapped between callers when they come late and in another order.
BOOST_AUTO_TEST_CASE(answers_delayed)
{
    Fleet fleet(behindProxy());
    LargeReaders readers(fleet, 12);
    for (const int delayMs : { 20, 150, 0, 400, 5 }) {
        faultAll(fleet, "delay", delayMs);
        std::this_thread::sleep_for(Milliseconds(800));
    }
    faultAll(fleet, "pass");
    BOOST_TEST(readers.waitForProgress());
    readers.check();
}

// Guards against a part of an answer delivered as the whole when connections end in the middle of it.
BOOST_AUTO_TEST_CASE(connections_cut)
{
    Fleet fleet(behindProxy());
    LargeReaders readers(fleet, 12);
    for (int round = 0; round < 40; ++round) {
        fleet.group().faultCallers(static_cast<size_t>(round % 3), "cut");
        fleet.group().faultCallers(static_cast<size_t>(round % 3), "pass");
        std::this_thread::sleep_for(Milliseconds(70));
    }
    BOOST_TEST(readers.waitForProgress());
    readers.check();
}

// Guards against an answer that a connection delivers after its request was given up, taken for that of the next one.
BOOST_AUTO_TEST_CASE(connections_frozen)
{
    Fleet fleet(behindProxy());
    LargeReaders readers(fleet, 12);
    for (int round = 0; round < 3; ++round) {
        faultAll(fleet, "freeze", 0, true);
        std::this_thread::sleep_for(Milliseconds(1300)); // Longer than the callers' deadlines.
        faultAll(fleet, "pass");
        std::this_thread::sleep_for(Milliseconds(200));
    }
    BOOST_TEST(readers.waitForProgress());
    readers.check();
}

// Guards against the same between entry hosts.
BOOST_AUTO_TEST_CASE(entry_hosts_stopped)
{
    Fleet fleet(behindProxy());
    LargeReaders readers(fleet, 12);
    for (size_t round = 0; round < 3; ++round) {
        fleet.host(round).process().pause();
        std::this_thread::sleep_for(Milliseconds(1200));
        fleet.host(round).process().resume();
        std::this_thread::sleep_for(Milliseconds(200));
    }
    BOOST_TEST(readers.waitForProgress());
    readers.check();
}

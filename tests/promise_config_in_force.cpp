#include "support_customers.h"
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <future>
#include <thread>

using namespace plantainwall;
using namespace plantainwall::test;

namespace {

const Headers operatorHeaders { { "Authorization", std::string("Bearer ") + bootstrapCredential } };
const char* const limitsPath = "/operator/v1/config/teams/hats/limits";

std::string limits(int burst) { return "rate_per_s = 100000\nburst = " + std::to_string(burst); }

/// Polls the revision in force at every host in a thread for each, and records every step back.
class RevisionWatch {
public:
    explicit RevisionWatch(Fleet& fleet)
    {
        for (size_t i = 0; i < fleet.size(); ++i)
            m_threads.emplace_back([this, &fleet, i] { watch(fleet.host(i)); });
    }

    ~RevisionWatch() { stop(); }

    RevisionWatch(const RevisionWatch&) = delete;
    RevisionWatch& operator=(const RevisionWatch&) = delete;

    /// Stops polling. Returns what went back, empty if nothing did.
    std::string stop()
    {
        m_stop = true;
        for (std::thread& thread : m_threads)
            thread.join();
        m_threads.clear();
        return m_stepsBack;
    }

    /// Returns the number of answers that were compared.
    size_t answers() const { return m_answers; }

private:
    void watch(const EntryHost& host)
    {
        uint64_t highest = 0;
        while (!m_stop) {
            const uint64_t revision = revisionInForce(host);
            if (revision == 0) // No answer, or no copy yet after a restart: the host serves nothing then.
                continue;
            ++m_answers;
            if (revision < highest) {
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_stepsBack += host.name() + " went from revision " + std::to_string(highest) + " to "
                    + std::to_string(revision) + "\n";
            }
            highest = std::max(highest, revision);
            std::this_thread::sleep_for(Milliseconds(5));
        }
    }

    std::atomic<bool> m_stop { false };
    std::atomic<size_t> m_answers { 0 };
    std::mutex m_mutex;
    std::string m_stepsBack;
    std::vector<std::thread> m_threads;
};

uint64_t revisionOf(const HttpResult& result)
{
    return result.body.has_field("revision") ? result.body.at("revision").as_number().to_uint64() : 0;
}

/// Sends one change of the limits with its own change id.
HttpResult put(const std::string& address, int burst, uint64_t expected, const std::string& changeId,
    Milliseconds timeout = Milliseconds(10000))
{
    web::json::value body = web::json::value::object();
    body["value"] = web::json::value::string(limits(burst));
    body["expected_revision"] = web::json::value::number(expected);
    body["change_id"] = web::json::value::string(changeId);
    return callHttp("PUT", address, limitsPath, body.serialize(), operatorHeaders, timeout);
}

HttpResult present(const std::string& address, const std::string& query = {})
{
    return getJson(address, limitsPath + query, operatorHeaders, Milliseconds(5000));
}

/// Returns the value of the limits in an entry host's own copy.
std::string valueInCopy(const EntryHost& host)
{
    const HttpResult listing
        = getJson(host.address(), "/operator/v1/list?prefix=teams/hats/limits", operatorHeaders, Milliseconds(2000));
    if (!listing.body.has_array_field("entries") || listing.body.at("entries").size() == 0)
        return {};
    return listing.body.at("entries").as_array().at(0).at("value").as_string();
}

} // namespace

// Guards against a host that keeps the old configuration because its own way to the store is cut or silent.
BOOST_AUTO_TEST_CASE(host_behind_a_broken_store_connection)
{
    Fleet::Options options;
    options.ownStoreRoutes = true;
    Fleet fleet(options);
    RevisionWatch watch(fleet);
    int burst = 1000;
    for (const char* fault : { "cut", "freeze", "drop_answers" }) {
        for (size_t host = 1; host < fleet.size(); ++host) {
            fleet.faultStore(host, fault);
            const uint64_t accepted = fleet.operators().set("teams/hats/limits", limits(++burst));
            BOOST_TEST(inForceEverywhere(fleet, accepted), fault << " at " << fleet.host(host).name());
            BOOST_TEST(valueInCopy(fleet.host(host)) == limits(burst));
            fleet.faultStore(host, "pass");
        }
    }
    BOOST_TEST(watch.stop() == "");
    BOOST_TEST(watch.answers() > 0);
}

// Guards against a change that is applied twice, reported as refused or not spread, because the store's answer was lost
// after the change took effect.
BOOST_AUTO_TEST_CASE(store_answer_lost)
{
    Fleet fleet;
    RevisionWatch watch(fleet);
    const uint64_t before = revisionOf(present(fleet.at(1)));
    BOOST_REQUIRE(before > 0);
    fleet.platform().setFault("lose_answers");
    std::future<HttpResult> sent
        = std::async(std::launch::async, [&] { return put(fleet.at(1), 2000, before, "change-with-a-lost-answer"); });
    std::this_thread::sleep_for(Milliseconds(1500));
    fleet.platform().setFault("up");
    const HttpResult first = sent.get();
    // The change may be reported as not known, never as refused.
    BOOST_TEST((first.status == 200 || first.status == 503), first.text << first.error);
    if (first.status == 503)
        BOOST_TEST((!first.body.has_field("applied") || first.body.at("applied").is_null()), first.text);
    const HttpResult repeated = put(fleet.at(2), 2000, before, "change-with-a-lost-answer");
    BOOST_REQUIRE_MESSAGE(repeated.status == 200, repeated.text << repeated.error);
    const HttpResult found = present(fleet.at(0), "?change_id=change-with-a-lost-answer");
    BOOST_TEST(found.body.at("applied").as_bool(), found.text);
    // Applied once: the entry in force is still the first one, based on the revision before.
    BOOST_TEST(revisionOf(found) == revisionOf(repeated));
    BOOST_TEST(found.body.at("base_revision").as_number().to_uint64() == before);
    if (first.status == 200)
        BOOST_TEST(revisionOf(first) == revisionOf(repeated));
    BOOST_TEST(inForceEverywhere(fleet, revisionOf(repeated)));
    for (size_t i = 0; i < fleet.size(); ++i)
        BOOST_TEST(valueInCopy(fleet.host(i)) == limits(2000));
    BOOST_TEST(watch.stop() == "");
}

// Guards against two operators who both believe that their change is in force.
BOOST_AUTO_TEST_CASE(racing_operators)
{
    Fleet fleet;
    RevisionWatch watch(fleet);
    for (int round = 0; round < 20; ++round) {
        const uint64_t before = revisionOf(present(fleet.at(0)));
        std::vector<std::future<HttpResult>> answers;
        for (size_t i = 0; i < 2; ++i) {
            const int burst = 1000 + 2 * round + static_cast<int>(i);
            const std::string id = "race-" + std::to_string(burst);
            answers.push_back(std::async(
                std::launch::async, [&fleet, i, burst, before, id] { return put(fleet.at(i), burst, before, id); }));
        }
        const HttpResult results[] = { answers[0].get(), answers[1].get() };
        const size_t winner = results[0].status == 200 ? 0 : 1;
        const HttpResult& won = results[winner];
        const HttpResult& lost = results[1 - winner];
        BOOST_REQUIRE_MESSAGE(won.status == 200, won.text << won.error);
        BOOST_REQUIRE_MESSAGE(lost.status == 409, lost.text << lost.error);
        BOOST_TEST(lost.body.at("winning_revision").as_number().to_uint64() == revisionOf(won));
        BOOST_REQUIRE(inForceEverywhere(fleet, revisionOf(won)));
        for (size_t i = 0; i < fleet.size(); ++i)
            BOOST_TEST(valueInCopy(fleet.host(i)) == limits(1000 + 2 * round + static_cast<int>(winner)));
    }
    BOOST_TEST(watch.stop() == "");
}

// Guards against a host that starts without configuration, or with an older one, because the store is down.
BOOST_AUTO_TEST_CASE(host_restarted_during_a_store_outage)
{
    Fleet fleet;
    const std::string second = fleet.operators().addKey("hats", "hats-2");
    fleet.operators().withdrawKey("hats", "hats-1");
    requireInForce(fleet);
    const uint64_t revision = revisionInForce(fleet.host(0));
    RevisionWatch watch(fleet);
    fleet.platform().setFault("down");
    for (size_t i = 1; i < fleet.size(); ++i) {
        fleet.host(i).process().kill();
        BOOST_REQUIRE(fleet.host(i).process().wait(Milliseconds(2000)));
        fleet.host(i).restart();
        fleet.host(i).waitUntilHealthy(Milliseconds(5000));
        // Serving starts with a copy, which is at least as new as what the fleet had in force.
        BOOST_TEST(revisionInForce(fleet.host(i)) >= revision);
        BOOST_TEST(fleet.caller().read(fleet.at(i), "g", "GET ready").name == "key_withdrawn");
        BOOST_TEST(
            waitUntil([&] { return Caller(second).read(fleet.at(i), "g", "GET ready").ok(); }, Milliseconds(8000)));
    }
    BOOST_TEST(watch.stop() == "");
}

// Guards against a late or repeated answer of a slow store, an old peer or a frozen watch that brings an old
// configuration back.
BOOST_AUTO_TEST_CASE(never_reverts_under_changing_faults)
{
    Fleet::Options options;
    options.ownStoreRoutes = true;
    Fleet fleet(options);
    RevisionWatch watch(fleet);
    int burst = 3000;
    const char* const faults[] = { "freeze", "delay", "cut", "pass" };
    for (size_t round = 0; round < 12; ++round) {
        const size_t host = 1 + round % 2;
        fleet.faultStore(host, faults[round % 4], 300, round % 3 == 0);
        if (round == 5) {
            fleet.host(2).process().kill();
            BOOST_REQUIRE(fleet.host(2).process().wait(Milliseconds(2000)));
            fleet.host(2).restart();
        }
        const uint64_t accepted = fleet.operators().set("teams/hats/limits", limits(++burst));
        if (round == 5)
            fleet.host(2).waitUntilHealthy(Milliseconds(5000));
        BOOST_TEST(inForceEverywhere(fleet, accepted), "round " << round);
    }
    for (size_t i = 1; i < fleet.size(); ++i)
        fleet.faultStore(i, "pass");
    std::this_thread::sleep_for(Milliseconds(1000)); // Time for what was held back to arrive.
    for (size_t i = 0; i < fleet.size(); ++i)
        BOOST_TEST(valueInCopy(fleet.host(i)) == limits(burst));
    BOOST_TEST(watch.stop() == "");
}

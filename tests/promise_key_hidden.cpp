#include "key_digest.h"
#include "support_customers.h"
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace plantainwall::test;

namespace {

/// Returns the number of requests with a key that the members have seen.
uint64_t keysSeen(Fleet& fleet)
{
    uint64_t count = 0;
    for (size_t i = 0; i < fleet.group().size(); ++i)
        count += fleet.group().stats(i).at("keys_seen").as_number().to_uint64();
    return count;
}

/// Returns the headers that the members have seen, as text.
std::string headersSeen(Fleet& fleet)
{
    std::string text;
    for (size_t i = 0; i < fleet.group().size(); ++i)
        text += fleet.group().stats(i).at("headers_seen").serialize();
    return text;
}

/// Sends each kind of request with the key, through every host, so that local and forwarded requests occur.
void sendAll(Fleet& fleet, const std::string& key, const Headers& extra, const std::string& query)
{
    for (size_t i = 0; i < fleet.size(); ++i) {
        Headers headers = extra;
        headers["Authorization"] = "Bearer " + key;
        const auto post = [&](const std::string& path, const std::string& body) {
            HttpResult result = callHttp("POST", fleet.at(i), path + query, body, headers, Milliseconds(7000));
            BOOST_TEST(result.status == 200, path << ": " << result.text << result.error);
            return result;
        };
        post("/v1/groups/g/query", R"({"statements":["PUT a 1"],"request_id":"r)" + std::to_string(i) + "\"}");
        post("/v1/groups/g/query", R"({"statements":["GET a"],"read_only":true})");
        const HttpResult begun = post("/v1/groups/g/transactions", R"({"statements":["PUT b 1"]})");
        const std::string path = "/v1/transactions/" + begun.body.at("transaction").as_string();
        post(path + "/query", R"({"statements":["GET b"]})");
        post(path + "/commit", "{}");
        const std::string lookup = "/v1/groups/g/requests/r" + std::to_string(i);
        BOOST_TEST(getJson(fleet.at(i), lookup + query, headers).status == 200);
    }
}

std::string contentOf(const std::string& file)
{
    std::ostringstream text;
    text << std::ifstream(file).rdbuf();
    return text.str();
}

} // namespace

// Guards against a key that reaches a backend server with any kind of request, in its own header or in another place
// that entry hosts could pass on.
BOOST_AUTO_TEST_CASE(from_backend_servers)
{
    Fleet fleet;
    settleRateSlices(fleet);
    const std::string& key = fleet.key();
    sendAll(fleet, key, {}, {});
    sendAll(
        fleet, key, { { "X-Api-Key", key }, { "Cookie", "key=" + key }, { "Referer", "http://x/?key=" + key } }, {});
    sendAll(fleet, key, { { "Proxy-Authorization", "Bearer " + key }, { "baggage", "key=" + key } }, "?key=" + key);
    sendAll(fleet, key, { { "traceparent", key }, { "tracestate", "pw=" + key } }, {});
    BOOST_TEST(keysSeen(fleet) == 0U);
    const std::string headers = headersSeen(fleet);
    BOOST_TEST(headers.find("pw_") == std::string::npos, headers);
    // The members do count requests, so that the zero above means something.
    BOOST_TEST(headers.find("Bearer backend-c") != std::string::npos, headers);
}

// Guards against a key in the body that a backend server would get with the request: entry hosts refuse it.
BOOST_AUTO_TEST_CASE(in_the_body)
{
    Fleet fleet;
    settleRateSlices(fleet);
    const std::string& key = fleet.key();
    const Headers headers { { "Authorization", "Bearer " + key } };
    const std::string bodies[] = {
        R"({"statements":["PUT a 1"],"key":")" + key + "\"}",
        R"({"statements":["PUT a 1"],"request_id":")" + key + "\"}",
        R"({"statements":["PUT a )" + key + "\"]}",
        R"({"statements":["GET )" + key + R"("],"read_only":true})",
    };
    for (size_t i = 0; i < fleet.size(); ++i) {
        for (const std::string& body : bodies) {
            const HttpResult result = callHttp("POST", fleet.at(i), "/v1/groups/g/query", body, headers);
            BOOST_TEST(result.status == 400, result.text << result.error);
        }
        BOOST_TEST(getJson(fleet.at(i), "/v1/groups/g/requests/" + key, headers).status == 400);
    }
    BOOST_TEST(keysSeen(fleet) == 0U);
}

// Guards against keys in what an entry host writes: logs, traces, metrics and status, with accepted, wrong, malformed
// and withdrawn keys.
BOOST_AUTO_TEST_CASE(from_logs_traces_and_metrics)
{
    const std::string traces = "/tmp/plantainwall-test-" + std::to_string(getpid()) + "-traces";
    Fleet::Options options;
    options.dataCentres = { "mill/huon" };
    options.settings = "[log]\nlevel = \"debug\"\n[trace]\nfile = \"" + traces + "\"\n";
    std::string written;
    std::string secret;
    {
        Fleet fleet(options);
        settleRateSlices(fleet);
        const std::string key = fleet.key();
        const std::optional<plantainwall::KeyParts> parts = plantainwall::splitKey("pw_", key);
        BOOST_REQUIRE(parts.has_value());
        secret = parts->secret;
        sendAll(fleet, key, { { "X-Api-Key", key }, { "traceparent", key } }, "?key=" + key);
        const std::string malformed[] = { key + "x", "pw_hats-9_" + secret, secret, "pw_" + secret };
        for (const std::string& wrong : malformed)
            BOOST_TEST(Caller(wrong).read(fleet.at(0), "g", "GET a").name == "key_invalid");
        for (const std::string& path : { "/v1/groups/" + key + "/query", "/v1/transactions/g." + key + "/query" })
            callHttp(
                "POST", fleet.at(0), path, R"({"statements":["GET a"]})", { { "Authorization", "Bearer " + key } });
        callHttp("GET", fleet.at(0), "/v1/" + key, {}, { { "Authorization", "Basic " + key } });
        fleet.operators().withdrawKey("hats", "hats-1");
        BOOST_TEST(everyHostAnswers(fleet, key, "GET a", "key_withdrawn") == "");
        written += getJson(fleet.at(0), "/metrics").text;
        written += fleet.host(0).status().serialize();
        fleet.host(0).process().terminate();
        BOOST_TEST(fleet.host(0).process().wait(Milliseconds(15000)));
        const std::string spans = contentOf(traces);
        BOOST_TEST(spans.find("traceId") != std::string::npos);
        BOOST_TEST(fleet.host(0).process().output().find("key_withdrawn") != std::string::npos);
        written += spans + fleet.host(0).process().output();
    }
    std::remove(traces.c_str());
    const size_t place = written.find(secret);
    BOOST_TEST(place == std::string::npos,
        "near: " << written.substr(place == std::string::npos ? 0 : place - std::min<size_t>(place, 200), 300));
}

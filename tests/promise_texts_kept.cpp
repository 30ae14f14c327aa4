#include "support_entry_host.h"
#include "support_odd_texts.h"
#include "text_escape.h"
#include <boost/test/unit_test.hpp>
#include <cpprest/base_uri.h>

using namespace plantainwall;
using namespace plantainwall::test;

namespace {

constexpr size_t maxIdBytes = 128;

/// Returns a text that JSON can hold.
std::string oddText(OddTexts& texts)
{
    std::string text;
    do {
        text = texts.lastField();
    } while (!isUtf8(text) || text.size() + 3 > maxIdBytes);
    return text;
}

} // namespace

// Guards against a body that no caller may send ending the host that reads it.
BOOST_AUTO_TEST_CASE(bodies_that_are_no_unicode)
{
    Fleet fleet;
    for (size_t i = 0; i < fleet.size(); ++i) {
        for (const char* text : { R"(\ud800\u0041)", R"(\udc00)", "\xfe" }) {
            const HttpResult reply = callHttp("POST", fleet.at(i), "/v1/groups/g/query",
                "{\"statements\":[\"PUT a " + std::string(text) + "\"]}",
                { { "Authorization", "Bearer " + fleet.key() }, { "Content-Type", "application/json" } });
            BOOST_TEST(reply.status == 400, reply.text << reply.error);
            BOOST_TEST(fleet.host(i).process().running());
        }
    }
}

// Guards against a request id, key or value that is changed on its way, or taken for another one.
BOOST_AUTO_TEST_CASE(odd_ids_and_values)
{
    Fleet fleet;
    Caller caller = fleet.caller();
    OddTexts texts(1);
    std::vector<std::pair<std::string, std::string>> written; // Request ids and their values.
    for (int n = 0; n < 60; ++n) {
        // Ids that differ only by what a path could lose.
        const std::string plain = std::to_string(n);
        for (const std::string& id :
            { plain, "/" + plain, plain + "/", plain + "?a", plain + "%2f", plain + oddText(texts) }) {
            const std::string text = oddText(texts);
            web::json::value extra = web::json::value::object();
            extra["request_id"] = web::json::value::string(id);
            const CallerReply reply
                = caller.query(fleet.at(written.size() % fleet.size()), "g", { "PUT k " + text, "GET k" }, extra);
            BOOST_REQUIRE(reply.ok());
            BOOST_TEST(reply.http.body.at("request_id").as_string() == id);
            BOOST_TEST((reply.result(1) == text), printable(text));
            written.emplace_back(id, text);
        }
    }
    size_t wrong = 0;
    for (size_t i = 0; i < written.size(); ++i) {
        const CallerReply found = caller.get(
            fleet.at(i % fleet.size()), "/v1/groups/g/requests/" + web::uri::encode_data_string(written[i].first));
        if (found.ok() && found.result(1) == written[i].second)
            continue;
        if (++wrong < 8)
            BOOST_TEST_MESSAGE(printable(written[i].first) << " " << found.name << " " << printable(found.http.text));
    }
    BOOST_TEST(wrong == 0U, wrong << " of " << written.size() << " outcomes not found as they were written");
}

// Guards against a change of another path than the operator named.
BOOST_AUTO_TEST_CASE(operators_paths)
{
    Fleet fleet;
    const std::string path = "teams/hats/limits";
    const auto call = [&](const std::string& method, const std::string& target, const std::string& body) {
        return callHttp(method, fleet.at(0), "/operator/v1/config/" + target, body,
            { { "Authorization", std::string("Bearer ") + bootstrapCredential },
                { "Content-Type", "application/json" } });
    };
    const HttpResult before = call("GET", path, "");
    BOOST_REQUIRE(before.status == 200);
    web::json::value body = json("{'change_id': 'c1'}");
    body["expected_revision"] = before.body.at("revision");
    for (const char* suffix : { "%3F", "%3Fx=1", "%23", "%2F", "%00" }) {
        BOOST_TEST(call("GET", path + suffix, "").status != 200, suffix);
        const HttpResult removed = call("DELETE", path + suffix, body.serialize());
        BOOST_TEST(removed.status == 422, suffix << " " << removed.text);
    }
    for (const char* suffix : { "%zz", "%FF" }) {
        BOOST_TEST(call("GET", path + suffix, "").status == 400, suffix);
        BOOST_TEST(call("DELETE", path + suffix, body.serialize()).status == 400, suffix);
    }
    BOOST_TEST(call("GET", path, "").body.at("revision") == before.body.at("revision"));
}

#include "key_digest.h"
#include "member_codec.h"
#include "owner_client.h"
#include "peer_auth.h"
#include "support_customers.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;
using namespace plantainwall::test;

namespace {

std::string fleetPeerSecret() { return "0123456789abcdef0123456789abcdef"; } // As in support_entry_host.cpp.

/// Checks the code of an answer and that it says that nothing was run.
void checkRefused(const CallerReply& reply, const std::string& code)
{
    BOOST_TEST(reply.name == code, reply.http.text << reply.http.error);
    BOOST_TEST(reply.run == "not_run");
}

/// Returns a write for the owner of the group's primary, in the form that entry hosts send to each other.
std::string memberWrite(Fleet& fleet, const std::string& databaseKey)
{
    MemberRequest request;
    request.group = fleet.group().name();
    request.member = fleet.group().memberName(0);
    request.customer = "hats";
    request.requestId = "hats:" + databaseKey;
    request.statements = { "PUT " + databaseKey + " x" };
    request.timeLeft = std::chrono::seconds(2);
    return encodeMemberRequest(request);
}

Headers signedHeaders(const std::string& secret, const std::string& path, const std::string& body)
{
    Headers headers;
    signPeerRequest(headers, secret, PeerIdentity { "host-a", 1 }, "POST", path, body);
    return headers;
}

} // namespace

// Guards against a request that runs without a key of the configuration, at any entry host.
BOOST_AUTO_TEST_CASE(wrong_or_missing_key)
{
    Fleet fleet;
    settleRateSlices(fleet);
    addSecondTeam(fleet);
    std::string forged = fleet.key();
    forged.back() = forged.back() == 'A' ? 'B' : 'A';
    const std::optional<plantainwall::KeyParts> parts = plantainwall::splitKey("pw_", fleet.key());
    BOOST_REQUIRE(parts.has_value());
    const std::string secret = "_" + std::string(parts->secret);
    for (size_t i = 0; i < fleet.size(); ++i) {
        for (const std::string& key : { forged, "pw_gnomes-1" + secret, "pw_other-1" + secret, std::string("pw__") })
            checkRefused(Caller(key).query(fleet.at(i), "g", { "PUT stolen yes" }), "key_invalid");
        checkRefused(Caller("").query(fleet.at(i), "g", { "PUT stolen yes" }), "key_missing");
        checkRefused(Caller("").read(fleet.at(i), "g", "GET ready"), "key_missing");
        checkRefused(Caller(forged).read(fleet.at(i), "g", "GET ready"), "key_invalid");
    }
    BOOST_TEST(valueInDatabase(fleet, "stolen").empty());
}

// Guards against a customer that reaches a service without its owner's approval, or that its team does not list.
BOOST_AUTO_TEST_CASE(approval_missing_on_either_side)
{
    Fleet fleet;
    settleRateSlices(fleet);
    const std::string key = addSecondTeam(fleet);
    const std::string listed = "services = [\"ledger\"]";
    Operator& operators = fleet.operators();
    BOOST_TEST(everyHostAnswers(fleet, key, "PUT before yes", "ok") == "");

    operators.set("services/ledger/approvals/gnomes", "approved = false");
    BOOST_TEST(everyHostAnswers(fleet, key, "PUT before yes", "not_approved") == "");
    operators.set("teams/gnomes/services", "services = [\"other\"]");
    operators.set("services/ledger/approvals/gnomes", "approved = true");
    requireInForce(fleet);
    for (size_t i = 0; i < fleet.size(); ++i) {
        checkRefused(Caller(key).query(fleet.at(i), "g", { "PUT unlisted yes" }), "not_approved");
        checkRefused(Caller(key).read(fleet.at(i), "g", "GET ready"), "not_approved");
        checkRefused(Caller(key).get(fleet.at(i), "/v1/groups/g/requests/any"), "not_approved");
        checkRefused(Caller(key).post(fleet.at(i), "/v1/groups/g/transactions", json("{}")), "not_approved");
    }
    BOOST_TEST(valueInDatabase(fleet, "unlisted").empty());
    operators.set("teams/gnomes/services", listed);
    BOOST_TEST(everyHostAnswers(fleet, key, "PUT before yes", "ok") == "");
}

// Guards against a statement of one customer inside, or an end of, the transaction of another.
BOOST_AUTO_TEST_CASE(another_customers_transaction)
{
    Fleet fleet;
    settleRateSlices(fleet);
    Caller other(addSecondTeam(fleet));
    Caller open("");
    Caller owner = fleet.caller();
    fleet.operators().set("services/ledger/routes", "open = [\"read\"]");
    requireInForce(fleet);
    const CallerReply begun
        = owner.post(fleet.at(1), "/v1/groups/g/transactions", json("{'statements': ['PUT mine 1']}"));
    BOOST_REQUIRE_MESSAGE(begun.ok(), begun.http.text);
    const std::string path = "/v1/transactions/" + begun.http.body.at("transaction").as_string() + "/";
    const web::json::value read = json("{'statements': ['GET mine']}");
    const web::json::value write = json("{'statements': ['PUT mine stolen']}");
    for (size_t i = 0; i < fleet.size(); ++i) {
        checkRefused(other.post(fleet.at(i), path + "query", read), "transaction_unknown");
        checkRefused(other.post(fleet.at(i), path + "commit", write), "transaction_unknown");
        checkRefused(other.post(fleet.at(i), path + "rollback", json("{}")), "transaction_unknown");
        checkRefused(open.post(fleet.at(i), path + "query", json("{'statements': ['GET mine'], 'read_only': true}")),
            "key_missing");
        BOOST_TEST(owner.post(fleet.at(i), path + "query", read).result().value_or("") == "1");
    }
    BOOST_TEST(owner.post(fleet.at(0), path + "commit", json("{}")).ok());
    BOOST_TEST(valueInDatabase(fleet, "mine") == "1");
}

// Guards against a session token that names positions of another customer's session.
BOOST_AUTO_TEST_CASE(another_customers_session)
{
    Fleet fleet;
    settleRateSlices(fleet);
    Caller other(addSecondTeam(fleet));
    Caller open("");
    Caller owner = fleet.caller();
    fleet.operators().set("services/ledger/routes", "open = [\"read\"]");
    requireInForce(fleet);
    BOOST_REQUIRE(owner.query(fleet.at(0), "g", { "PUT mine 1" }).ok());
    BOOST_REQUIRE(!owner.session.empty());
    for (size_t i = 0; i < fleet.size(); ++i) {
        other.session = owner.session;
        open.session = owner.session;
        checkRefused(other.read(fleet.at(i), "g", "GET mine"), "session_invalid");
        checkRefused(other.query(fleet.at(i), "g", { "PUT mine 2" }), "session_invalid");
        checkRefused(open.read(fleet.at(i), "g", "GET mine"), "session_invalid");
        BOOST_TEST(owner.read(fleet.at(i), "g", "GET mine").result().value_or("") == "1");
    }
}

// Guards against an outcome that is shown to another customer, or that replaces another customer's request, because
// both chose the same request id.
BOOST_AUTO_TEST_CASE(another_customers_request_id)
{
    Fleet fleet;
    settleRateSlices(fleet);
    Caller other(addSecondTeam(fleet));
    Caller owner = fleet.caller();
    const web::json::value id = json("{'request_id': 'order-1'}");
    const std::string lookup = "/v1/groups/g/requests/order-1";
    BOOST_TEST(owner.query(fleet.at(0), "g", { "ADD braids 5" }, id).result().value_or("") == "5");
    for (size_t i = 0; i < fleet.size(); ++i) {
        const CallerReply stolen = other.get(fleet.at(i), lookup);
        BOOST_TEST(stolen.name == "outcome_not_found", stolen.http.text);
        BOOST_TEST(!stolen.result().has_value());
        const CallerReply spelled = other.get(fleet.at(i), "/v1/groups/g/requests/hats%3Aorder-1");
        BOOST_TEST(spelled.name == "outcome_not_found", spelled.http.text);
    }
    BOOST_TEST(other.query(fleet.at(1), "g", { "ADD gnomes 7" }, id).result().value_or("") == "7");
    for (size_t i = 0; i < fleet.size(); ++i) {
        BOOST_TEST(owner.get(fleet.at(i), lookup).result().value_or("") == "5");
        BOOST_TEST(other.get(fleet.at(i), lookup).result().value_or("") == "7");
    }
    BOOST_TEST(valueInDatabase(fleet, "braids") == "5");
    BOOST_TEST(valueInDatabase(fleet, "gnomes") == "7");
}

// Guards against a route open to all that serves more than single reads without a key.
BOOST_AUTO_TEST_CASE(open_routes_serve_only_reads)
{
    Fleet fleet;
    settleRateSlices(fleet);
    BOOST_REQUIRE(fleet.caller().query(fleet.at(0), "g", { "PUT price 3" }, json("{'request_id': 'w'}")).ok());
    fleet.operators().set("services/ledger/routes", "open = [\"read\"]");
    requireInForce(fleet);
    Caller open("");
    for (size_t i = 0; i < fleet.size(); ++i) {
        const std::string& host = fleet.at(i);
        open.session.clear();
        BOOST_TEST(waitUntil([&] { return open.read(host, "g", "GET price").result() == "3"; }, Milliseconds(3000)));
        checkRefused(open.query(host, "g", { "PUT price 0" }), "key_missing");
        checkRefused(open.query(host, "g", { "GET price" }), "key_missing");
        checkRefused(open.read(host, "g", "PUT price 0"), "statement_failed");
        checkRefused(open.post(host, "/v1/groups/g/transactions", json("{}")), "key_missing");
        checkRefused(open.post(host, "/v1/groups/g/transactions", json("{'read_only': true}")), "key_missing");
        checkRefused(open.get(host, "/v1/groups/g/requests/w"), "key_missing");
        checkRefused(Caller("pw_hats-1_" + std::string(43, 'A')).read(host, "g", "GET price"), "key_invalid");
    }
    BOOST_TEST(valueInDatabase(fleet, "price") == "3");
}

// Guards against a caller that reaches a member past key, approval and rate through the port for other entry hosts.
BOOST_AUTO_TEST_CASE(peer_port_without_signature)
{
    Fleet fleet;
    settleRateSlices(fleet);
    const std::string path(peerExecutePath);
    const std::string body = memberWrite(fleet, "direct");
    const std::string rpc = R"({"jsonrpc":"2.0","id":1,"method":"config.fetch","params":{}})";
    Headers otherBody = signedHeaders(fleetPeerSecret(), path, body + " ");
    Headers otherPath = signedHeaders(fleetPeerSecret(), "/peer/v1/outcome", body);
    Headers otherSender = signedHeaders(fleetPeerSecret(), path, body);
    otherSender[std::string(peerHeader)] = "host-b 1";
    const Headers wrongSecret = signedHeaders(std::string(32, 'x'), path, body);
    const Headers callersKey { { "Authorization", "Bearer " + fleet.key() } };
    for (size_t i = 0; i < fleet.size(); ++i) {
        const std::string& peer = fleet.host(i).peerAddress();
        for (const Headers& headers : { Headers(), otherBody, otherPath, otherSender, wrongSecret, callersKey }) {
            const int status = callHttp("POST", peer, path, body, headers).status;
            BOOST_TEST((status == 401 || status == 403), "execute: status " << status);
            const int rpcStatus = callHttp("POST", peer, "/peer/rpc", rpc, headers).status;
            BOOST_TEST((rpcStatus == 401 || rpcStatus == 403), "rpc: status " << rpcStatus);
        }
        const Headers valid = signedHeaders(fleetPeerSecret(), path, body);
        BOOST_TEST(callHttp("POST", fleet.at(i), path, body, valid).status == 404);
        BOOST_TEST(callHttp("POST", peer, "/v1/groups/g/query", R"({"statements":["PUT direct x"]})", callersKey).status
            != 200);
    }
    BOOST_TEST(valueInDatabase(fleet, "direct").empty());
    // With the fleet's secret the same call runs, so that the refusals above are due to the signature.
    bool ran = false;
    for (size_t i = 0; i < fleet.size(); ++i) {
        const HttpResult result
            = callHttp("POST", fleet.host(i).peerAddress(), path, body, signedHeaders(fleetPeerSecret(), path, body));
        ran = ran || decodeMemberAnswer(result.text).code == ResultCode::Ok;
    }
    BOOST_TEST(ran);
    BOOST_TEST(valueInDatabase(fleet, "direct") == "x");
}

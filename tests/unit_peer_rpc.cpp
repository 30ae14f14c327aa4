#include "peer_rpc.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;

// Guards against a message between entry hosts that is accepted although a part of it was changed.
BOOST_AUTO_TEST_CASE(only_unchanged_messages_of_the_fleet_are_authentic)
{
    const std::string secret(32, 's');
    const std::map<std::string, std::string> headers
        = signPeerMessage(secret, { "host-a", 7 }, { "POST", "/peer/rpc", "body" });
    const std::string& peer = headers.at("Plantainwall-Peer");
    const std::string& auth = headers.at("Plantainwall-Peer-Auth");
    const std::optional<PeerIdentity> identity = verifyPeerMessage(secret, peer, auth, { "POST", "/peer/rpc", "body" });
    BOOST_REQUIRE(identity);
    BOOST_TEST(identity->host == "host-a");
    BOOST_TEST(identity->incarnation == 7u);
    BOOST_TEST(!verifyPeerMessage(secret, peer, auth, { "POST", "/peer/rpc", "bodY" }));
    BOOST_TEST(!verifyPeerMessage(secret, peer, auth, { "POST", "/peer/v1/execute", "body" }));
    BOOST_TEST(!verifyPeerMessage(secret, "host-b/7", auth, { "POST", "/peer/rpc", "body" }));
    BOOST_TEST(!verifyPeerMessage(std::string(32, 't'), peer, auth, { "POST", "/peer/rpc", "body" }));
    BOOST_TEST(!verifyPeerMessage(secret, peer, "", { "POST", "/peer/rpc", "body" }));
    BOOST_TEST(!verifyPeerMessage(secret, peer, auth, { "POST/peer", "/rpc", "body" }));
}

BOOST_AUTO_TEST_CASE(json_rpc_calls_and_errors_round_trip)
{
    PeerRpc rpc({ "host-a", 1 }, std::string(32, 's'));
    rpc.registerMethod("echo", [](const std::string& text) { return text + "!"; });
    rpc.registerMethod("fail", [](const std::string&) -> std::string { throw std::runtime_error("no snapshot yet"); });
    const std::string payload = "{\"a\":\"\\u00e9 \\\"quoted\\\"\"}";
    BOOST_TEST(parseJsonRpcResponse(rpc.handle(buildJsonRpcRequest("echo", payload))) == payload + "!");
    BOOST_CHECK_THROW(parseJsonRpcResponse(rpc.handle(buildJsonRpcRequest("fail", "x"))), std::runtime_error);
    BOOST_CHECK_THROW(parseJsonRpcResponse(rpc.handle(buildJsonRpcRequest("absent", "x"))), std::runtime_error);
    BOOST_CHECK_THROW(parseJsonRpcResponse(rpc.handle("not json")), std::runtime_error);
    BOOST_CHECK_THROW(parseJsonRpcResponse("{}"), std::runtime_error);
}

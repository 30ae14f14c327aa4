#include "peer_rpc.h"
#include <boost/test/unit_test.hpp>
#include <chrono>

using namespace plantainwall;

namespace {

const std::string secret = "0123456789abcdef0123456789abcdef";

/// Passes calls directly to another host's PeerRpc.
class DirectCaller final : public HttpCaller {
public:
    explicit DirectCaller(PeerRpc& target)
        : m_target(target)
    {
    }

    pplx::task<HttpReply> call(HttpCall call) override
    {
        return pplx::task_from_result(m_target.handle(call.headers, call.body));
    }

private:
    PeerRpc& m_target;
};

struct Pair {
    explicit Pair(const std::string& callerSecret = secret)
        : server(secret, { "b", 7 }, nullptr)
        , client(callerSecret, { "a", 5 }, [this](std::string_view) { return std::make_shared<DirectCaller>(server); })
    {
        client.setAddressOf([](std::string_view host) { return host == "b" ? "http://b" : ""; });
        server.registerMethod("echo", [](const std::string& params, const PeerIdentity& sender) {
            return "[" + params + ",\"" + sender.host + "\"," + std::to_string(sender.incarnation) + "]";
        });
        server.registerMethod("fail", [](const std::string&, const PeerIdentity&) -> std::string {
            throw std::runtime_error("share is not known");
        });
    }

    PeerRpc server;
    PeerRpc client;
};

} // namespace

// Guards against parameters, results or sender names that change in transit.
BOOST_AUTO_TEST_CASE(call_returns_the_result)
{
    Pair pair;
    const std::string result
        = pair.client.call("b", "echo", R"({"text":"\"ü\n","n":[1,2.5,null]})", std::chrono::seconds(1)).get();
    BOOST_TEST(result.find(R"("a",5])") != std::string::npos);
    BOOST_TEST(result.find(R"([1,2.5,null])") != std::string::npos);
    BOOST_TEST(pair.client.call("b", "echo", "3", std::chrono::seconds(1)).get() == R"([3,"a",5])");
}

// Guards against failures that look like results.
BOOST_AUTO_TEST_CASE(failures_are_errors)
{
    Pair pair;
    BOOST_CHECK_THROW(pair.client.call("b", "fail", "{}", std::chrono::seconds(1)).get(), std::runtime_error);
    BOOST_CHECK_THROW(pair.client.call("b", "unknown", "{}", std::chrono::seconds(1)).get(), std::runtime_error);
    BOOST_CHECK_THROW(pair.client.call("c", "echo", "{}", std::chrono::seconds(1)).get(), std::runtime_error);
    BOOST_CHECK_THROW(pair.client.call("b", "echo", "{", std::chrono::seconds(1)).get(), std::runtime_error);
    Pair stranger("another secret of 32 characters!");
    BOOST_CHECK_THROW(stranger.client.call("b", "echo", "{}", std::chrono::seconds(1)).get(), std::runtime_error);
    BOOST_TEST(!parseJsonRpcResponse(R"({"jsonrpc":"2.0","id":1,"result":4})", 1).empty());
    for (const char* text : { "", "{", "[]", "{}", R"({"jsonrpc":"2.0","id":1,"method":5})" })
        BOOST_TEST(pair.server.handle({}, text).status == 401);
}

// Guards against a signature that does not cover the whole request.
BOOST_AUTO_TEST_CASE(signature_covers_every_part)
{
    std::map<std::string, std::string> headers;
    signPeerRequest(headers, secret, { "a", 5 }, "POST", "/peer/rpc", "body");
    BOOST_TEST(verifyPeerRequest(headers, secret, "POST", "/peer/rpc", "body")->host == "a");
    BOOST_TEST(!verifyPeerRequest(headers, secret, "PUT", "/peer/rpc", "body"));
    BOOST_TEST(!verifyPeerRequest(headers, secret, "POST", "/peer/rp", "cbody"));
    BOOST_TEST(!verifyPeerRequest(headers, secret, "POST", "/peer/rpc", "body2"));
    BOOST_TEST(!verifyPeerRequest(headers, secret + "x", "POST", "/peer/rpc", "body"));
    for (const char* peer : { "b 5", "a 6", "a", "" }) {
        std::map<std::string, std::string> changed = headers;
        changed[std::string(peerHeader)] = peer;
        BOOST_TEST(!verifyPeerRequest(changed, secret, "POST", "/peer/rpc", "body"));
    }
    headers[std::string(peerAuthHeader)].pop_back();
    BOOST_TEST(!verifyPeerRequest(headers, secret, "POST", "/peer/rpc", "body"));
}

// Guards against malformed requests from an authenticated peer that crash the process, and reports the cost of a call.
BOOST_AUTO_TEST_CASE(malformed_requests_get_an_error)
{
    Pair pair;
    for (const char* body : { "", "{", "[]", "{}", "null", R"({"jsonrpc":"2.0","id":1,"method":5})",
             R"({"jsonrpc":"2.0","id":1,"method":"echo","params":[1]})" }) {
        std::map<std::string, std::string> headers;
        signPeerRequest(headers, secret, { "a", 5 }, "POST", PeerRpc::path, body);
        BOOST_TEST(pair.server.handle(headers, body).body.find("error") != std::string::npos, body);
    }
    const std::string params = "\"" + std::string(1000, 'x') + "\"";
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    for (unsigned i = 0; i < 2000; ++i)
        pair.client.call("b", "echo", params, std::chrono::seconds(1)).get();
    const std::chrono::duration<double, std::micro> elapsed = std::chrono::steady_clock::now() - start;
    BOOST_TEST_MESSAGE("one call with 1 KB, both ends, without transport: " << elapsed.count() / 2000 << " us");
}

// Guards against deep nesting that overflows the stack or crashes the process.
BOOST_AUTO_TEST_CASE(deep_nesting_is_refused)
{
    Pair pair;
    const std::string body = R"({"jsonrpc":"2.0","id":1,"method":"echo","params":{"data":)" + std::string(5000, '[')
        + std::string(5000, ']') + "}}";
    std::map<std::string, std::string> headers;
    signPeerRequest(headers, secret, { "a", 5 }, "POST", PeerRpc::path, body);
    const HttpReply reply = pair.server.handle(headers, body);
    BOOST_TEST((reply.status == 400 || reply.body.find("error") != std::string::npos));
}

namespace {

/// Answers each call with the answer to the one before, as a connection does on which an answer was sent twice.
class LaggingCaller final : public HttpCaller {
public:
    explicit LaggingCaller(PeerRpc& target)
        : m_target(target)
    {
    }

    pplx::task<HttpReply> call(HttpCall call) override
    {
        HttpReply reply = m_target.handle(call.headers, call.body);
        std::swap(reply, m_last);
        if (call.fits)
            judged.push_back(call.fits(reply));
        return pplx::task_from_result(reply);
    }

    std::vector<bool> judged; ///< What the calls said of their answers.

private:
    PeerRpc& m_target;
    HttpReply m_last;
};

} // namespace

// Guards against a response to an earlier call that is taken for that to the present one.
BOOST_AUTO_TEST_CASE(a_response_to_another_call_is_an_error)
{
    Pair pair;
    const std::shared_ptr<LaggingCaller> caller = std::make_shared<LaggingCaller>(pair.server);
    PeerRpc client(secret, { "a", 5 }, [&](std::string_view) { return std::shared_ptr<HttpCaller>(caller); });
    BOOST_CHECK_THROW(client.callAddress("b", "echo", "1", std::chrono::seconds(1)).get(), std::runtime_error);
    BOOST_CHECK_THROW(client.callAddress("b", "echo", "2", std::chrono::seconds(1)).get(), std::runtime_error);
    BOOST_TEST((caller->judged == std::vector<bool> { true, false })); // No answer, then a foreign one.
    for (const char* text : { "", "{}", R"({"jsonrpc":"2.0","result":4})", R"({"jsonrpc":"2.0","id":null,"result":4})",
             R"({"jsonrpc":"2.0","id":"7","result":4})", R"({"jsonrpc":"2.0","id":8,"result":4})" })
        BOOST_CHECK_THROW(parseJsonRpcResponse(text, 7), std::runtime_error);
    BOOST_TEST(parseJsonRpcResponse(R"({"jsonrpc":"2.0","id":7,"result":4})", 7) == "4");
}

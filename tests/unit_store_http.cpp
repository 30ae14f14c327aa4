#include "store_http.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;

namespace {

class FakeCaller final : public HttpCaller {
public:
    pplx::task<HttpReply> call(HttpCall call) override
    {
        last = std::move(call);
        return pplx::task_from_result(reply);
    }

    void answer(int status, const std::string& body)
    {
        reply = {};
        reply.sendState = SendState::Answered;
        reply.status = status;
        reply.body = body;
    }

    HttpCall last;
    HttpReply reply;
};

struct Fixture {
    std::shared_ptr<FakeCaller> caller = std::make_shared<FakeCaller>();
    std::shared_ptr<Store> store = makeHttpStore(caller);

    SendState swapFailure()
    {
        try {
            store->compareAndSwap("config/a", 1, "v", "").get();
        } catch (const CallFailed& error) {
            return error.sendState();
        }
        return SendState::Count;
    }
};

} // namespace

// Guards against requests that do not follow the protocol of the store and against misread replies.
BOOST_FIXTURE_TEST_CASE(calls_follow_the_protocol, Fixture)
{
    caller->answer(200, R"({"applied":true,"revision":12})");
    BOOST_TEST(store->compareAndSwap("config/teams/a/limits", 11, "v", "l1").get().revision == 12);
    BOOST_TEST(caller->last.method == "PUT");
    BOOST_TEST(caller->last.path == "/v1/kv/config/teams/a/limits");
    BOOST_TEST(caller->last.body.find("\"expected_revision\":11") != std::string::npos);
    caller->answer(409, R"({"applied":false,"revision":15})");
    BOOST_TEST(!store->compareAndSwap("config/a", 11, std::nullopt, "").get().applied);
    BOOST_TEST(caller->last.body.find("\"value\":null") != std::string::npos);
    caller->answer(404, "");
    BOOST_TEST(!store->get("config/a").get());
    BOOST_TEST(!store->renewLease("l1").get());
    caller->answer(200, R"({"revision":9,"entries":[{"key":"config/a","value":null,"revision":8}]})");
    const StoreListing listing = store->watch("config/", 7, std::chrono::seconds(3)).get();
    BOOST_TEST(listing.entries.size() == 1);
    BOOST_TEST(!listing.entries[0].value);
    BOOST_TEST(caller->last.path == "/v1/watch?prefix=config%2F&after=7&wait_ms=3000");
    BOOST_TEST(caller->last.timeout.count() == 5000000);
    caller->answer(200, R"({"hosts":[{"name":"h1","state":"leaving"}]})");
    BOOST_TEST((store->hosts().get().at(0).state == PlatformHostState::Leaving));
}

// Guards against a change that may have been applied being reported as not applied.
// The parser throws another exception for half a surrogate pair than for other text that is not JSON.
BOOST_FIXTURE_TEST_CASE(text_that_is_no_unicode_is_a_malformed_answer, Fixture)
{
    caller->answer(200, R"({"applied":true,"revision":12,"x":"\ud800\u0041"})");
    BOOST_TEST((swapFailure() == SendState::MaybeSent));
    BOOST_CHECK_THROW(store->get("config/a").get(), CallFailed);
    BOOST_TEST(caller->last.fits(caller->reply));
}

BOOST_FIXTURE_TEST_CASE(failures_keep_their_send_state, Fixture)
{
    caller->reply.sendState = SendState::NotSent;
    BOOST_TEST((swapFailure() == SendState::NotSent));
    caller->reply.sendState = SendState::MaybeSent;
    BOOST_TEST((swapFailure() == SendState::MaybeSent));
    caller->answer(400, "{}");
    BOOST_TEST((swapFailure() == SendState::Answered));
    caller->answer(503, "");
    BOOST_TEST((swapFailure() == SendState::MaybeSent));
    caller->answer(200, "{");
    BOOST_TEST((swapFailure() == SendState::MaybeSent));
}

// A copy of an earlier answer may precede the call's own.
BOOST_FIXTURE_TEST_CASE(a_copy_does_not_fit_another_call, Fixture)
{
    const auto fits = [&](int status, const std::string& body) {
        caller->answer(status, body);
        BOOST_REQUIRE(caller->last.fits);
        return caller->last.fits(caller->reply);
    };
    const auto swap = [&](uint64_t expectedRevision) {
        caller->answer(500, "");
        BOOST_CHECK_THROW(store->compareAndSwap("config/a", expectedRevision, "v", "").get(), CallFailed);
    };
    swap(11);
    BOOST_TEST(!fits(200, R"({"applied":true,"revision":11})"));
    BOOST_TEST(fits(200, R"({"applied":true,"revision":12})"));
    swap(3);
    BOOST_TEST(!fits(200, R"({"applied":true,"revision":12})")); // The answer before.
    BOOST_TEST(!fits(200, R"({"key":"config/b","value":"v","revision":14})"));
    BOOST_TEST(!fits(409, R"({"applied":false,"revision":3})"));
    BOOST_TEST(fits(409, R"({"applied":false,"revision":4})"));
    BOOST_TEST(fits(200, R"({"applied":true,"revision":13})"));
    // A store whose revisions go back is not locked out.
    swap(3);
    BOOST_TEST(!fits(200, R"({"applied":true,"revision":13})"));
    swap(3);
    BOOST_TEST(fits(200, R"({"applied":true,"revision":13})"));
    caller->answer(404, "");
    store->get("config/a").get();
    BOOST_TEST(!fits(200, R"({"key":"config/b","value":"v","revision":14})"));
    BOOST_TEST(fits(200, R"({"key":"config/a","value":"v","revision":14})"));
    BOOST_TEST(fits(404, ""));
}

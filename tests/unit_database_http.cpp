#include "database_http.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;
using std::chrono::milliseconds;

namespace {

class FakeCaller final : public HttpCaller {
public:
    HttpReply reply;
    HttpCall lastCall;

    pplx::task<HttpReply> call(HttpCall call) override
    {
        lastCall = std::move(call);
        return pplx::task_from_result(reply);
    }

    void answer(int status, const std::string& body)
    {
        reply = HttpReply { SendState::Answered, status, {}, body, {} };
    }
};

struct Fixture {
    std::shared_ptr<FakeCaller> caller = std::make_shared<FakeCaller>();
    std::shared_ptr<Database> database = makeHttpDatabase(caller, "backend-secret");

    std::string_view executed() { return resultCodeInfo(database->execute(ExecuteRequest()).get().code).name; }
};

} // namespace

// Guards against a failure that is reported as not run without proof.
BOOST_FIXTURE_TEST_CASE(only_a_stated_not_run_is_a_refusal, Fixture)
{
    caller->answer(409, R"({"error":"stale_term","run":"not_run","message":"term 4"})");
    BOOST_TEST(executed() == "not_primary");
    caller->answer(409, R"({"error":"stale_term"})");
    BOOST_TEST(executed() == "outcome_unknown");
    caller->answer(500, R"({"error":"disk","run":"not_run"})");
    BOOST_TEST(executed() == "outcome_unknown");
    for (const char* body : { "", "{", "[]", R"({"results":7})", R"({"results":[1],"term":1,"position":1})",
             R"({"results":["\ud800\u0041"],"term":1,"position":1})", R"({"results":["\udc00"],"term":1,"position":1})",
             "{\"results\":[\"\xfe\"],\"term\":1,\"position\":1}" }) {
        caller->answer(200, body);
        BOOST_TEST(executed() == "outcome_unknown");
    }
    caller->reply = HttpReply();
    BOOST_TEST(executed() == "peer_unavailable");
    caller->reply.sendState = SendState::MaybeSent;
    BOOST_TEST(executed() == "outcome_unknown");
}

// Guards against lost fields, lost precision and ids that change the path.
BOOST_FIXTURE_TEST_CASE(calls_and_answers_follow_the_protocol, Fixture)
{
    caller->answer(200, R"({"results":["v",null],"term":3,"position":9007199254740993})");
    ExecuteRequest request;
    request.connection = "a/b";
    request.statements = { "GET a" };
    request.timeLeft = milliseconds(700);
    const ExecuteOutcome outcome = database->execute(request).get();
    BOOST_TEST((outcome.position == LogPosition { 3, 9007199254740993ULL }));
    BOOST_TEST((outcome.results == std::vector<std::optional<std::string>> { "v", std::nullopt }));
    BOOST_TEST(caller->lastCall.path == "/v1/connections/a%2Fb/execute");
    BOOST_TEST(caller->lastCall.headers["Authorization"] == "Bearer backend-secret");
    BOOST_TEST((caller->lastCall.timeout == milliseconds(700)));
    caller->answer(200, R"({"term":5,"role":"fenced","last_term":4,"received":9,"applied":8,"applied_term":3,
        "leaving":true,"slots":5,"connections_open":2,"connection_limit":30,"primary_silence_ms":1500})");
    const MemberStatus status = database->waitForChange({ 4, 9 }, { 3, 8 }, milliseconds(250)).get();
    BOOST_TEST(caller->lastCall.path == "/v1/position?last_term=4&received=9&applied_term=3&applied=8&wait_ms=250");
    BOOST_TEST((status.received == LogPosition { 4, 9 } && status.applied == LogPosition { 3, 8 }));
    BOOST_TEST((status.role == MemberRole::Fenced && status.leaving && status.primarySilence == milliseconds(1500)));
    caller->answer(200, R"({"granted":false,"term":6})");
    BOOST_TEST(!database->fence(5, "host0.1", milliseconds(500)).get().granted);
    BOOST_TEST(caller->lastCall.body == R"({"candidate":"host0.1","term":5})");
    caller->answer(503, R"({"error":"connection_limit"})");
    BOOST_CHECK_THROW(database->openConnection(milliseconds(500)).get(), CallFailed);
    caller->answer(404, "{}");
    BOOST_CHECK_NO_THROW(database->closeConnection("c1").get());
}

// On a connection on which an answer was sent twice, the copy precedes the next request's own.
BOOST_FIXTURE_TEST_CASE(an_answer_to_another_request_does_not_fit, Fixture)
{
    ExecuteRequest request;
    request.requestId = "r2";
    for (const int status : { 200, 409 }) {
        for (const char* id : { R"("r1")", R"("r2")", "7" }) {
            caller->answer(status,
                R"({"results":["v"],"term":3,"position":9,"error":"stale_term","run":"not_run","request_id":)"
                    + std::string(id) + "}");
            const ExecuteOutcome outcome = database->execute(request).get();
            const bool own = std::string(id) == R"("r2")";
            BOOST_TEST((outcome.code == ResultCode::OutcomeUnknown) == !own);
            BOOST_REQUIRE(caller->lastCall.fits);
            BOOST_TEST(caller->lastCall.fits(caller->reply) == own);
        }
    }
    // Databases may leave it out.
    caller->answer(200, R"({"results":["v"],"term":3,"position":9})");
    BOOST_TEST((database->execute(request).get().code == ResultCode::Ok));
    BOOST_TEST(caller->lastCall.fits(caller->reply));
}

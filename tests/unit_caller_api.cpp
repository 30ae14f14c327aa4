// Must precede cpprestsdk, which defines a macro U that Boost uses as a name.
#include <boost/test/unit_test.hpp>

#include "http_glue.h"
#include "json_text.h"
#include "member_codec.h"
#include "support_odd_texts.h"
#include "text_escape.h"

using namespace plantainwall;
using test::printable;

namespace {

CallerHttpRequest post(const std::string& path, const std::string& body)
{
    return { "POST", path, "", { { "authorization", "Bearer pw_a_b" } }, body };
}

ResultCode refusalOf(const CallerHttpRequest& request)
{
    try {
        parseCallerRequest(request);
    } catch (const RequestRefused& refused) {
        BOOST_TEST((resultCodeInfo(refused.code()).runState == RunState::NotRun));
        return refused.code();
    }
    return ResultCode::Ok;
}

/// Returns a request as the listener reads it.
CallerHttpRequest received(const std::string& method, const std::string& target)
{
    web::http::http_request request(method);
    request.set_request_uri(web::uri(target));
    request.set_body("");
    request._get_impl()->_complete(0);
    return readHttpRequest(request).get();
}

} // namespace

// Guards against malformed input that is accepted, ignored or answered with the wrong code.
BOOST_AUTO_TEST_CASE(malformed_requests_are_refused_with_their_code)
{
    const std::string path = "/v1/groups/g1/query";
    BOOST_TEST((refusalOf(post(path, "{\"statements\":[\"GET a\"]}")) == ResultCode::Ok));
    for (const char* body : { "", "{", "[]", "{\"statements\":[]}", "{\"statements\":[1]}",
             "{\"statements\":\"GET a\"}", "{\"statements\":[\"GET a\"],\"surprise\":1}",
             "{\"statements\":[\"GET a\"],\"read_only\":1}", "{\"statements\":[\"GET a\"],\"max_age_ms\":5}",
             "{\"statements\":[\"GET a\"],\"read_only\":true,\"max_age_ms\":-1}",
             "{\"statements\":[\"GET a\"],\"request_id\":\"\"}" })
        BOOST_TEST((refusalOf(post(path, body)) == ResultCode::BadRequest), body);
    BOOST_TEST((refusalOf({ "GET", path, "", {}, "" }) == ResultCode::MethodNotAllowed));
    BOOST_TEST((refusalOf(post("/v1/groups/g1/elsewhere", "{}")) == ResultCode::UnknownRoute));
    BOOST_TEST((refusalOf(post("/v2/groups/g1/query", "{}")) == ResultCode::UnknownRoute));
    CallerHttpRequest request = post(path, "{\"statements\":[\"GET a\"]}");
    request.headers["plantainwall-deadline-ms"] = "5s";
    BOOST_TEST((refusalOf(request) == ResultCode::BadRequest));
}

// Guards against a header that is copied to an answer although it is no token: the answer's JSON would be none.
BOOST_AUTO_TEST_CASE(session_texts_that_are_no_token_are_refused)
{
    CallerHttpRequest request = post("/v1/groups/g1/query", "{\"statements\":[\"GET a\"]}");
    for (const std::string text : { "\xff", "a b", "a=", "a+b", "\"", "a\tb" }) {
        request.headers["plantainwall-session"] = text;
        BOOST_TEST((refusalOf(request) == ResultCode::SessionInvalid), printable(text));
    }
    request.headers["plantainwall-session"] = "aZ09-_";
    BOOST_TEST((refusalOf(request) == ResultCode::Ok));
    BOOST_TEST(parseCallerRequest(request)->sessionToken == "aZ09-_");
}

BOOST_AUTO_TEST_CASE(transaction_path_names_group_and_owner)
{
    const RequestContextPtr context = parseCallerRequest(post("/v1/transactions/g1.host-a.db-2.77/commit", ""));
    BOOST_TEST(context->group == "g1");
    BOOST_TEST(context->transaction == "host-a.db-2.77");
    BOOST_TEST((context->step == TransactionStep::Commit));
    BOOST_TEST((refusalOf(post("/v1/transactions/none/commit", "")) == ResultCode::TransactionUnknown));
}

// Guards against a name or id in a path that is taken for another one, or for a part of the path.
BOOST_AUTO_TEST_CASE(names_and_ids_in_paths_read_back)
{
    test::OddTexts texts(1);
    std::vector<std::string> ids { "/a", "a/", "a//b", "..", ".", "%2f", "a?b", "a#b", "a+b", "a%",
        std::string(1, '\0') };
    for (int n = 0; n < 500; ++n)
        ids.push_back(texts.lastField());
    for (const std::string& id : ids) {
        const std::string encoded = web::uri::encode_data_string(id);
        const CallerHttpRequest request = received("GET", "/v1/groups/g1/requests/" + encoded);
        if (!isUtf8(id)) {
            BOOST_TEST((refusalOf(request) == ResultCode::BadRequest), printable(id));
            continue;
        }
        BOOST_REQUIRE_MESSAGE(refusalOf(request) == ResultCode::Ok, printable(id));
        BOOST_TEST((parseCallerRequest(request)->requestId == id), printable(id));
        const CallerHttpRequest other = received("GET", "/v1/groups/" + encoded + "/requests/r");
        BOOST_REQUIRE_MESSAGE(refusalOf(other) == ResultCode::Ok, printable(id));
        BOOST_TEST((parseCallerRequest(other)->group == id), printable(id));
    }
    for (const char* path : { "/v1/groups/g1/requests//a", "/v1/groups/g1/requests/a/", "/v1/groups/g1/requests/" })
        BOOST_TEST((refusalOf(received("GET", path)) == ResultCode::UnknownRoute), path);
    BOOST_TEST((refusalOf({ "GET", "/v1/groups/g1/requests/%zz", "", {}, "" }) == ResultCode::BadRequest));
}

// Guards against a body whose texts are no Unicode: an exception that nobody catches ends the host, and what is passed
// on makes the message to the database or the answer to the caller unreadable.
BOOST_AUTO_TEST_CASE(bodies_with_texts_that_are_no_unicode_are_refused)
{
    const std::string path = "/v1/groups/g1/query";
    for (const std::string text : { "\\ud800\\u0041", "\\ud800", "\\udc00", "\xff", "\xfe", "\x80", "\xc3", "\xc0\xaf",
             "\xed\xa0\x80", "\xf5\x80\x80\x80" }) {
        for (const std::string& body : { "{\"statements\":[\"PUT a " + text + "\"]}",
                 "{\"statements\":[\"GET a\"],\"request_id\":\"" + text + "\"}", "{\"" + text + "\":1}" })
            BOOST_TEST((refusalOf(post(path, body)) == ResultCode::BadRequest), printable(body));
    }
    const RequestContextPtr context
        = parseCallerRequest(post(path, "{\"statements\":[\"PUT a \\ud83d\\ude00\\u0000\\n\xc3\xbc\x7f\"]}"));
    BOOST_TEST((context->statements[0] == std::string("PUT a \xf0\x9f\x98\x80\0\n\xc3\xbc\x7f", 15)));
}

// Guards against a field that one side of the peer protocol writes and the other ignores.
BOOST_AUTO_TEST_CASE(peer_messages_survive_a_round_trip)
{
    MemberRequest request;
    request.group = "g1";
    request.member = "db-1";
    request.customer = "c";
    request.weight = 2.5;
    request.requestId = "r-1";
    request.statements = { "PUT a \"x\"", "GET \xc3\xa9" };
    request.readOnly = true;
    request.idempotent = true;
    request.step = TransactionStep::Continue;
    request.transaction = "h.db-1.5";
    request.minPosition = { 3, 1ull << 52 };
    request.maxAge = std::chrono::milliseconds(7);
    request.waitLimit = Duration(12);
    request.timeLeft = std::chrono::seconds(3);
    request.traceParent = "00-ab-cd-01";
    const MemberRequest copy = decodeMemberRequest(encodeMemberRequest(request));
    BOOST_TEST(encodeMemberRequest(copy) == encodeMemberRequest(request));
    BOOST_TEST((copy.minPosition == request.minPosition));
    BOOST_TEST((copy.statements == request.statements));
    BOOST_TEST(
        (copy.maxAge == request.maxAge && copy.waitLimit == request.waitLimit && copy.timeLeft == request.timeLeft));
    BOOST_TEST((copy.step == request.step && copy.readOnly && copy.idempotent));

    MemberAnswer answer;
    answer.code = ResultCode::ReplicaBehind;
    answer.runState = RunState::NotRun;
    answer.results = { std::nullopt, std::string("v") };
    answer.position = { 2, 9 };
    answer.primaryHint = "db-2";
    answer.replicaHint = "db-3";
    answer.term = 2;
    answer.retryAfter = Duration(1500);
    answer.servedByReplica = true;
    const MemberAnswer answerCopy = decodeMemberAnswer(encodeMemberAnswer(answer));
    BOOST_TEST(encodeMemberAnswer(answerCopy) == encodeMemberAnswer(answer));
    BOOST_TEST((answerCopy.results == answer.results && answerCopy.code == answer.code
        && answerCopy.position == answer.position));
    BOOST_CHECK_THROW(decodeMemberRequest("[]"), std::invalid_argument);
    BOOST_CHECK_THROW(decodeMemberRequest("{\"group\":1}"), std::invalid_argument);
    BOOST_CHECK_THROW(decodeMemberAnswer("{"), std::invalid_argument);
    BOOST_CHECK_THROW(decodeMemberRequest("{\"group\":\"\\ud800\\u0041\"}"), std::invalid_argument);
    BOOST_CHECK_THROW(decodeMemberAnswer("{\"code\":\"\\ud800\\u0041\"}"), std::invalid_argument);
}

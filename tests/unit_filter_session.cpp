#include "filters.h"
#include "session_token.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;

namespace {

/// Answers every request as run at one position.
class FakeDispatch final : public Filter {
public:
    std::string_view name() const override { return "fake dispatch"; }

    void handle(const RequestContextPtr& context, FilterChain&) override
    {
        ++ran;
        MemberAnswer answer;
        answer.code = ResultCode::Ok;
        answer.position = position;
        context->finish(answer);
    }

    LogPosition position { 1, 1 };
    int ran = 0;
};

struct Fixture {
    Fixture()
    {
        const std::shared_ptr<ConfigSnapshot> snapshot = std::make_shared<ConfigSnapshot>();
        snapshot->tokenKeys = { { 7, std::string(64, 'a') } };
        config = snapshot;
    }

    ResultCode send(const std::string& group)
    {
        const RequestContextPtr context = std::make_shared<RequestContext>();
        context->config = config;
        context->customer = "hats";
        context->group = group;
        context->sessionToken = token;
        ResultCode code = ResultCode::Count;
        context->finish = [&](const MemberAnswer& answer) { code = answer.code; };
        chain.next(context);
        token = context->sessionToken;
        return code;
    }

    std::shared_ptr<const ConfigSnapshot> config;
    std::shared_ptr<FakeDispatch> dispatch = std::make_shared<FakeDispatch>();
    FilterChain chain { { makeSessionFilter(), dispatch } };
    std::string token;
};

} // namespace

// Guards against a request that runs although its position fits in no token: the caller could not be answered.
BOOST_FIXTURE_TEST_CASE(a_full_session_is_refused_before_anything_runs, Fixture)
{
    SessionPositions written;
    int refused = 0;
    for (int n = 0; n < 60; ++n) {
        const std::string name = std::to_string(n);
        const std::string group = name + std::string(Caps().maxNameBytes - name.size(), 'g');
        const int ran = dispatch->ran;
        const ResultCode code = send(group);
        if (code == ResultCode::BadRequest) {
            ++refused;
            BOOST_TEST(dispatch->ran == ran, name);
        } else {
            BOOST_TEST((code == ResultCode::Ok), name);
            written[group] = dispatch->position;
        }
    }
    BOOST_TEST_MESSAGE("ran " << dispatch->ran << ", refused " << refused);
    BOOST_TEST(refused > 0);
    BOOST_TEST(dispatch->ran + refused == 60);
    BOOST_TEST((SessionToken::decode("hats", token, config->tokenKeys) == written));
    // A group of the session is still served, whatever its next position is.
    dispatch->position = { 1, 2 };
    BOOST_TEST((send(written.begin()->first) == ResultCode::Ok));
}

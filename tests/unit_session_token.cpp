#include "session_token.h"
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace plantainwall;

namespace {

const std::vector<TokenKey> keys { { 7, std::string(64, 'a') }, { 3, std::string(64, 'b') } };
const SessionPositions positions { { "orders", { 3, 17 } }, { "plait", { 1, 18446744073709551615ULL } } };

} // namespace

// Guards against lost precision, tokens of another customer and keys dropped during rotation.
BOOST_AUTO_TEST_CASE(round_trip_is_bound_to_customer_and_key)
{
    const std::string token = SessionToken::encode("hatter", positions, keys);
    BOOST_TEST((SessionToken::decode("hatter", token, keys) == positions));
    BOOST_TEST(!SessionToken::decode("hatte", token, keys));
    const std::vector<TokenKey> rotated { { 9, std::string(64, 'c') }, keys[0] };
    BOOST_TEST(SessionToken::decode("hatter", token, rotated).has_value());
    BOOST_TEST(!SessionToken::decode("hatter", token, gsl::span<const TokenKey>(keys).subspan(1)));
    const std::vector<TokenKey> otherSecret { { 7, std::string(64, 'd') } };
    BOOST_TEST(!SessionToken::decode("hatter", token, otherSecret));
    BOOST_TEST(!SessionToken::decode("hatter", std::string(5000, 'A'), keys));
    BOOST_CHECK_THROW(SessionToken::encode("hatter", positions, {}), std::invalid_argument);
}

// Guards against a forged token that is accepted, and against exceptions on arbitrary input.
BOOST_AUTO_TEST_CASE(changed_tokens_are_refused)
{
    const bool held = rc::check("a token changed in any place is refused", [] {
        std::string token = SessionToken::encode("hatter", positions, keys);
        const size_t place = *rc::gen::inRange<size_t>(0, token.size());
        const char before = token[place];
        token[place] = *rc::gen::arbitrary<char>();
        RC_PRE(token[place] != before);
        RC_ASSERT(!SessionToken::decode("hatter", token, keys));
        RC_ASSERT(!SessionToken::decode("hatter", *rc::gen::arbitrary<std::string>(), keys));
    });
    BOOST_TEST(held);
}

// Guards against a token that the decoder would refuse for its size.
BOOST_AUTO_TEST_CASE(too_many_groups_are_refused_when_encoding)
{
    SessionPositions many;
    for (int i = 0; i < 400; ++i)
        SessionToken::advance(many, "group-" + std::to_string(i), { 1, 1 });
    BOOST_CHECK_THROW(SessionToken::encode("hatter", many, keys), std::length_error);
    SessionToken::advance(many, "group-0", { 1, 0 });
    BOOST_TEST((many["group-0"] == LogPosition { 1, 1 }));
}

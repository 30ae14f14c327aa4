#include "session_token.h"
#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace plantainwall;

namespace {

const std::vector<TokenKey> keys { { 7, std::string(64, 'a') }, { 3, std::string(64, 'b') } };
const SessionPositions positions { { "orders", { 3, 17 } }, { "plait", { 1, 18446744073709551615ULL } } };

} // namespace

// Guards against numbers that lose precision, tokens accepted for another customer and tokens invalidated by key
// rotation.
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
    const bool passed = rc::check("a token with any character changed is refused", [] {
        std::string token = SessionToken::encode("hatter", positions, keys);
        const size_t index = *rc::gen::inRange<size_t>(0, token.size());
        const char before = token[index];
        token[index] = *rc::gen::arbitrary<char>();
        RC_PRE(token[index] != before);
        RC_ASSERT(!SessionToken::decode("hatter", token, keys));
        RC_ASSERT(!SessionToken::decode("hatter", *rc::gen::arbitrary<std::string>(), keys));
    });
    BOOST_TEST(passed);
}

// Guards against encoding a token that decode() refuses because of its size.
BOOST_AUTO_TEST_CASE(too_many_groups_are_refused_when_encoding)
{
    SessionPositions many;
    for (int i = 0; i < 400; ++i)
        SessionToken::advance(many, "group-" + std::to_string(i), { 1, 1 });
    BOOST_CHECK_THROW(SessionToken::encode("hatter", many, keys), std::length_error);
    SessionToken::advance(many, "group-0", { 1, 0 });
    BOOST_TEST((many["group-0"] == LogPosition { 1, 1 }));
}

#include "line_codec.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;
using namespace plantainwall::platform;

namespace {

/// Returns what the decoder says of the last of the lines.
ReplyDecoder::Result feed(ReplyDecoder& decoder, const std::vector<std::string>& lines)
{
    ReplyDecoder::Result result = ReplyDecoder::Result::Incomplete;
    for (const std::string& line : lines) {
        result = decoder.feed(line);
        if (result != ReplyDecoder::Result::Incomplete)
            return result;
    }
    return result;
}

} // namespace

// Terms and positions never fall: a host would wait for such a position until it ends, and refuse every true term.
BOOST_AUTO_TEST_CASE(positions_out_of_range_are_invalid)
{
    for (const std::string position : { "18446744073709551615.1", "1.18446744073709551615", "9223372036854775807.1",
             "18446744073709551615.x", "18446744073709551616.1", "7", "7.", ".7", "7.x", "7.8x", "-1.5", "" }) {
        ReplyDecoder decoder;
        BOOST_TEST((feed(decoder, { "COMPLETE -", "READY I " + position }) == ReplyDecoder::Result::Invalid),
            "position '" << position << "'");
    }
    for (const std::string position : { "-", "3.1209" }) {
        ReplyDecoder decoder;
        BOOST_TEST((feed(decoder, { "COMPLETE -", "READY I " + position }) == ReplyDecoder::Result::Complete));
    }
}

// Taken for no transaction, an unknown state would let a connection inside one serve another caller.
BOOST_AUTO_TEST_CASE(unknown_states_are_invalid)
{
    for (const std::string state : { "Q", "", "IT", "i" }) {
        ReplyDecoder decoder;
        BOOST_TEST((feed(decoder, { "COMPLETE -", "READY " + state + " 1.1" }) == ReplyDecoder::Result::Invalid),
            "state '" << state << "'");
    }
}

// The second result would replace the signature or the error of the first.
BOOST_AUTO_TEST_CASE(two_results_are_invalid)
{
    for (const std::string first : { "COMPLETE a", "ERROR FAILED x" }) {
        for (const std::string second : { "COMPLETE b", "ERROR BUSY y" }) {
            ReplyDecoder decoder;
            BOOST_TEST((feed(decoder, { first, second }) == ReplyDecoder::Result::Invalid), first << ", " << second);
        }
    }
}

// Guards against a host that runs out of memory because one server sends rows without end.
BOOST_AUTO_TEST_CASE(rows_without_end_are_invalid)
{
    constexpr size_t totalBytes = 64 * 1024 * 1024;
    for (const size_t bytes : { size_t(0), size_t(100), maxMessageBytes - 100 }) {
        ReplyDecoder decoder;
        const std::string row = "DATAROW " + std::string(bytes, 'r');
        ReplyDecoder::Result result = ReplyDecoder::Result::Incomplete;
        // A row that is kept takes memory even if it is empty.
        for (size_t n = 0; n < totalBytes && result == ReplyDecoder::Result::Incomplete;
             n += bytes + sizeof(std::string))
            result = decoder.feed(row);
        BOOST_TEST((result == ReplyDecoder::Result::Invalid), "rows of " << bytes << " bytes");
    }
}

BOOST_AUTO_TEST_CASE(statuses_out_of_range_are_none)
{
    const auto status = [](const std::string& row) {
        BackendReply reply;
        reply.rows = { row };
        return decodeStatus(reply);
    };
    BOOST_TEST(status("replica 3 3.1209 0 12 2 17").has_value());
    for (const std::string row : { "replica 18446744073709551615 3.1209 0 12 2 17",
             "replica 3 18446744073709551615.1 0 12 2 17", "replica 3 3.18446744073709551615 0 12 2 17",
             "replica 3 3.1209 18446744073709551615 12 2 17", "replica 3 3.1209 0 9223372036854775807 2 17",
             "replica 3 3.1209 0 -9223372036854775807 2 17", "leader 3 3.1209 0 12 2 17", "" })
        BOOST_TEST(!status(row).has_value(), row);
}

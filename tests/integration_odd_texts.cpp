#include "support_gateway_fleet.h"
#include <boost/test/unit_test.hpp>

// Callers and servers send texts with line feeds, carriage returns, blanks and words of the protocol, in segments cut
// anywhere. Entry hosts run as separate processes.

namespace plantainwall::test {

namespace {

    using std::chrono::milliseconds;

    constexpr milliseconds playTime(6000);
    constexpr unsigned oddPerThousand = 300;
    constexpr unsigned repeatedPerThousand = 100;
    constexpr uint64_t maxRepeatDelayMs = 300;

    void play(unsigned largeFleet, bool repeats)
    {
        GatewayFleet::Settings settings { "odd-texts-" + std::to_string(largeFleet) + (repeats ? "-repeats" : "") };
        settings.largeFleet = largeFleet;
        settings.oddPerThousand = oddPerThousand;
        GatewayFleet fleet(settings);
        if (repeats)
            fleet.group->setRepeats([&](std::string_view) -> std::optional<milliseconds> {
                if (fleet.random() % 1000 >= repeatedPerThousand)
                    return std::nullopt;
                return milliseconds(fleet.random() % maxRepeatDelayMs);
            });
        const auto from = LineClient::Clock::now();
        fleet.pass(playTime);
        for (const std::string& violation : fleet.ledger.violations)
            BOOST_ERROR(violation);
        if (!fleet.ledger.violations.empty())
            fleet.saveLogs();
        BOOST_TEST_MESSAGE(fleet.ledger.signatures.size() << " statements ran");
        if (!repeats)
            BOOST_TEST(fleet.servedSince(from) > 0.99);
        BOOST_TEST(fleet.allRunning());
    }

} // namespace

} // namespace plantainwall::test

using namespace plantainwall::test;

BOOST_AUTO_TEST_CASE(text_with_line_break_is_never_read_as_message) { play(25, false); }

BOOST_AUTO_TEST_CASE(text_with_line_break_is_never_read_as_message_on_a_lent_connection) { play(2, false); }

BOOST_AUTO_TEST_CASE(text_with_line_break_is_never_read_as_message_beside_repeated_answers) { play(25, true); }

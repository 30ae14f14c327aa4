#include "support_gateway_fleet.h"
#include <boost/test/unit_test.hpp>

// Servers send answers a second time, late: of one command after the other, so that the copy comes at every moment of a
// connection. Entry hosts run as separate processes.

namespace plantainwall::test {

namespace {

    using std::chrono::milliseconds;

    constexpr size_t hostCount = 3;
    constexpr unsigned clientCount = 18;
    constexpr milliseconds phaseTime(1500);
    constexpr milliseconds maxDelay(300);

    /// Commands whose answers are repeated, each in a phase of its own; "" repeats those of all.
    constexpr const char* phases[] = { "STARTUP", "RESET", "SET", "PREPARE", "BEGIN", "ROLLBACK", "COMMIT", "READ",
        "WRITE", "EXECUTE", "STATUS", "" };

    class RepeatingFleet : public GatewayFleet {
    public:
        explicit RepeatingFleet(unsigned largeFleet)
            : GatewayFleet({ "repeated", hostCount, clientCount, largeFleet })
        {
        }

        /// Repeats one of so many answers to a command for a while.
        void repeat(const std::string& command, unsigned oneOf)
        {
            group->setRepeats([this, command, oneOf](std::string_view answered) -> std::optional<milliseconds> {
                if ((!command.empty() && answered != command) || random() % oneOf != 0)
                    return std::nullopt;
                return milliseconds(random() % static_cast<uint64_t>(maxDelay.count()));
            });
            group->setBusy([this](std::string_view) { return random() % 50 == 0; });
            pass(phaseTime);
        }

        /// Ends the repeats and returns the share of operations that are served afterwards.
        double servedAfterwards()
        {
            group->setRepeats({});
            group->setBusy({});
            pass(maxDelay);
            const auto from = LineClient::Clock::now();
            pass(phaseTime);
            return servedSince(from);
        }

        std::vector<std::string> takeViolations() { return std::exchange(ledger.violations, {}); }
        uint64_t repeated() const { return group->repeated(); }

        /// Checks that no commit was kept whose caller was promised that nothing is kept.
        void checkPromises()
        {
            for (const std::unique_ptr<LineClient>& client : clients) {
                for (const std::string& id : client->promised) {
                    if (ledger.committed.count(id) != 0)
                        ledger.violation("REFUSED", id + " was committed");
                }
            }
        }
    };

    void playPhases(unsigned largeFleet)
    {
        RepeatingFleet fleet(largeFleet);
        for (const std::string phase : phases) {
            const uint64_t before = fleet.repeated();
            fleet.repeat(phase, 4);
            fleet.checkPromises();
            for (const std::string& violation : fleet.takeViolations())
                BOOST_ERROR("answers to " << (phase.empty() ? "all" : phase) << ": " << violation);
            BOOST_TEST_MESSAGE(phase << ": " << fleet.repeated() - before << " answers repeated");
        }
        BOOST_TEST(fleet.servedAfterwards() > 0.99);
        BOOST_TEST(fleet.allRunning());
    }

} // namespace

} // namespace plantainwall::test

using namespace plantainwall::test;

BOOST_AUTO_TEST_CASE(repeated_answer_is_never_taken_for_another) { playPhases(25); }

BOOST_AUTO_TEST_CASE(repeated_answer_on_a_lent_connection_is_never_taken_for_another) { playPhases(2); }

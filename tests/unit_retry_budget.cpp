#include "retry_budget.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;

// Guards against retries that turn a failure into an overload, and against a budget without retries at low load.
BOOST_AUTO_TEST_CASE(a_tenth_of_attempts_and_three_per_second)
{
    Instant now(std::chrono::seconds(100));
    RetryBudget budget(RequestSettings(), now);
    const auto retries = [&budget, &now] {
        unsigned n = 0;
        while (budget.tryRetry(now))
            ++n;
        return n;
    };
    BOOST_TEST(retries() == 3U);
    for (int i = 0; i < 200; ++i)
        budget.noteAttempt();
    BOOST_TEST(retries() == 20U);
    now += std::chrono::seconds(60);
    BOOST_TEST(retries() == 3U);
    for (int i = 0; i < 100000; ++i)
        budget.noteAttempt();
    BOOST_TEST(retries() == 100U);
}

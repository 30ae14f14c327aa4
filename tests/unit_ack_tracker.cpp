#include "ack_tracker.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;

namespace {

const Instant deadline { std::chrono::seconds(5) };

} // namespace

// Guards against acknowledging a write that only the primary holds, or based on entries of another term.
BOOST_AUTO_TEST_CASE(majority_of_the_same_term_acknowledges)
{
    AckTracker tracker({ "a", "b", "c" });
    BOOST_TEST(tracker.executed(1, "a", { 2, 10 }, deadline).acknowledge.empty());
    BOOST_TEST(tracker.received("b", { 1, 50 }).acknowledge.empty());
    BOOST_TEST(tracker.received("b", { 2, 9 }).acknowledge.empty());
    BOOST_TEST((tracker.confirmed() == LogPosition { 2, 9 }));
    const AckTracker::Actions actions = tracker.received("c", { 2, 12 });
    BOOST_REQUIRE(actions.acknowledge.size() == 1U);
    BOOST_TEST((actions.acknowledge[0].position == LogPosition { 2, 10 }));
    BOOST_TEST(tracker.executed(2, "a", { 2, 11 }, deadline).acknowledge.size() == 1U);
    tracker.received("c", { 2, 3 }); // A delayed answer must not lower the confirmed position.
    BOOST_TEST((tracker.confirmed() == LogPosition { 2, 11 }));
}

// Guards against acknowledging an entry of a replaced primary although the log of the new primary may lack it.
BOOST_AUTO_TEST_CASE(higher_term_makes_unconfirmed_writes_unknown)
{
    AckTracker tracker({ "a", "b", "c", "d", "e" });
    tracker.executed(1, "a", { 2, 10 }, deadline);
    tracker.received("b", { 2, 10 });
    tracker.received("d", { 3, 11 });
    BOOST_TEST(tracker.pending() == 1U);
    const AckTracker::Actions actions = tracker.higherTerm(3);
    BOOST_REQUIRE(actions.unconfirmed.size() == 1U);
    BOOST_TEST((actions.unconfirmed[0].reason == AckTracker::Reason::HigherTerm));
    BOOST_TEST(tracker.received("c", { 2, 10 }).acknowledge.empty());
    // The outcome lookup showed the entry in the log of the primary of term 3.
    tracker.executed(2, "d", { 3, 10 }, deadline);
    tracker.received("a", { 3, 11 });
    BOOST_TEST(tracker.received("b", { 3, 11 }).acknowledge.size() == 1U);
}

// Guards against a write that stays pending after its deadline.
BOOST_AUTO_TEST_CASE(deadline_makes_a_write_unknown)
{
    AckTracker tracker({ "a", "b", "c" });
    tracker.executed(1, "a", { 2, 10 }, deadline);
    BOOST_TEST(tracker.tick(deadline - Duration(1)).unconfirmed.empty());
    const AckTracker::Actions actions = tracker.tick(deadline);
    BOOST_REQUIRE(actions.unconfirmed.size() == 1U);
    BOOST_TEST((actions.unconfirmed[0].reason == AckTracker::Reason::Deadline));
    BOOST_TEST(tracker.pending() == 0U);
}

#include "dispatch_plan.h"
#include "request_context.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;

namespace {

GroupConfig threeMembers()
{
    GroupConfig group;
    group.name = "g1";
    group.members
        = { { "db-1", "", "mill", "huon" }, { "db-2", "", "sheds", "huon" }, { "db-3", "", "store", "tamar" } };
    return group;
}

DispatchRequest request(bool readOnly, const char* dataCentre, const char* region)
{
    DispatchRequest result;
    result.readOnly = readOnly;
    result.dataCentre = dataCentre;
    result.region = region;
    result.deadline = Instant(std::chrono::seconds(5));
    return result;
}

MemberAnswer answer(ResultCode code, RunState runState)
{
    MemberAnswer result = refusal(code);
    result.runState = runState;
    return result;
}

} // namespace

// Guards against unnecessary reads from the primary or over the billed link between regions.
BOOST_AUTO_TEST_CASE(reads_prefer_replicas_of_the_own_region)
{
    BOOST_TEST(DispatchPlan(threeMembers(), request(true, "mill", "huon"), "db-1").first().member == "db-2");
    BOOST_TEST(DispatchPlan(threeMembers(), request(true, "mill", "huon"), "db-2").first().member == "db-1");
    BOOST_TEST(DispatchPlan(threeMembers(), request(true, "store", "tamar"), "db-1").first().member == "db-3");
    BOOST_TEST(DispatchPlan(threeMembers(), request(true, "store", "tamar"), "db-3").first().member == "db-3");
    BOOST_TEST(DispatchPlan(threeMembers(), request(false, "store", "tamar"), "db-1").first().member == "db-1");
}

BOOST_AUTO_TEST_CASE(redirects_follow_hints_and_end)
{
    DispatchPlan plan(threeMembers(), request(false, "mill", "huon"), "");
    MemberAnswer notPrimary = answer(ResultCode::NotPrimary, RunState::NotRun);
    notPrimary.primaryHint = "db-3";
    unsigned attempts = 0;
    DispatchPlan::Step step = plan.next(notPrimary, Instant());
    while (const DispatchPlan::Attempt* attempt = std::get_if<DispatchPlan::Attempt>(&step)) {
        BOOST_TEST(attempt->member == "db-3");
        BOOST_REQUIRE(++attempts < 100);
        step = plan.next(notPrimary, Instant());
    }
    BOOST_TEST(std::holds_alternative<DispatchPlan::Wait>(step)); // Hints that name each other must not loop.
}

// Guards against a second execution: a step of an open transaction whose answer was lost is never sent again.
BOOST_AUTO_TEST_CASE(unknown_outcomes_are_repeated_only_where_the_database_runs_an_id_once)
{
    DispatchRequest inTransaction = request(false, "mill", "huon");
    inTransaction.step = TransactionStep::Continue;
    inTransaction.pinnedMember = "db-1";
    DispatchPlan pinned(threeMembers(), inTransaction, "db-1");
    BOOST_TEST(pinned.first().member == "db-1");
    BOOST_TEST(std::holds_alternative<MemberAnswer>(
        pinned.next(answer(ResultCode::OutcomeUnknown, RunState::Unknown), Instant())));
    inTransaction.step = TransactionStep::Commit;
    DispatchPlan commit(threeMembers(), inTransaction, "db-1");
    BOOST_TEST(std::holds_alternative<MemberAnswer>(
        commit.next(answer(ResultCode::PeerUnavailable, RunState::Unknown), Instant())));

    DispatchPlan single(threeMembers(), request(false, "mill", "huon"), "db-1");
    const DispatchPlan::Step step = single.next(answer(ResultCode::OutcomeUnknown, RunState::Unknown), Instant());
    const DispatchPlan::Wait* wait = std::get_if<DispatchPlan::Wait>(&step);
    BOOST_REQUIRE(wait);
    BOOST_TEST(wait->needsBudget);
}

BOOST_AUTO_TEST_CASE(waiting_ends_before_the_deadline)
{
    DispatchPlan plan(threeMembers(), request(false, "mill", "huon"), "db-1");
    Instant time {};
    for (int i = 0; i < 1000; ++i) {
        const DispatchPlan::Step step = plan.next(answer(ResultCode::NoPrimary, RunState::NotRun), time);
        if (std::holds_alternative<MemberAnswer>(step))
            return;
        time += std::get<DispatchPlan::Wait>(step).delay;
        BOOST_REQUIRE((time < Instant(std::chrono::seconds(5))));
    }
    BOOST_FAIL("the plan never stopped retrying");
}

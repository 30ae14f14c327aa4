#include "acknowledged_commits.h"
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace plantainwall;
using std::chrono::seconds;

namespace {

const Instant departure { seconds(100) };

AcknowledgedCommits report(LogPosition latest, LogPosition observed, Instant observedAt)
{
    return { {}, latest, PrimaryPositions::Observation { observed, observedAt } };
}

} // namespace

// The position of a commit lies after the end of the log that was known before it and not after the one reported with
// it.
BOOST_AUTO_TEST_CASE(position_of_a_commit_lies_between_two_reported_ones)
{
    AcknowledgedCommits it;
    it.note({}, { 1, 20 });
    BOOST_TEST((it.earliest == LogPosition {}));
    BOOST_TEST((it.latest == LogPosition { 1, 20 }));
    it.note({ 1, 20 }, { 1, 24 });
    it.note({ 1, 18 }, { 1, 22 });
    BOOST_TEST((it.earliest == LogPosition { 1, 21 }));
    BOOST_TEST((it.latest == LogPosition { 1, 24 }));
    it.note({ 1, 24 }, { 2, 23 });
    BOOST_TEST((it.earliest == LogPosition { 1, 21 }));
    BOOST_TEST((it.latest == LogPosition { 2, 23 }));
}

// A primary under load crashes: the newest commit that any host passed on decides, not the newest that one host saw.
BOOST_AUTO_TEST_CASE(newest_commit_of_all_hosts_counts)
{
    std::vector<AcknowledgedCommits> reports { report({ 1, 40 }, { 1, 44 }, departure + seconds(2)),
        report({ 1, 42 }, { 1, 41 }, departure + seconds(1)), report({}, { 1, 43 }, departure + seconds(2)) };
    reports[0].earliest = { 1, 39 };
    reports[1].earliest = { 1, 38 };
    const NewestAcknowledged all = newestAcknowledged(reports, true, departure);
    BOOST_TEST((all.earliest == LogPosition { 1, 39 }));
    BOOST_TEST((all.latest == LogPosition { 1, 42 }));
    const NewestAcknowledged some = newestAcknowledged(reports, false, departure);
    BOOST_TEST((some.earliest == LogPosition { 1, 39 }));
    BOOST_TEST(!some.latest);
}

// What a host acknowledged before it ended is covered only by a position that was observed afterwards.
BOOST_AUTO_TEST_CASE(commits_of_ended_hosts_are_covered_by_a_later_observation)
{
    std::vector<AcknowledgedCommits> reports { report({ 1, 40 }, { 1, 40 }, departure) };
    BOOST_TEST(!newestAcknowledged(reports, true, departure).latest);
    reports.push_back({ {}, { 1, 38 }, std::nullopt });
    BOOST_TEST(!newestAcknowledged(reports, true, departure).latest);
    reports.push_back(report({ 1, 39 }, { 1, 47 }, departure + seconds(1)));
    BOOST_TEST((newestAcknowledged(reports, true, departure).latest == LogPosition { 1, 47 }));
    BOOST_TEST(!newestAcknowledged({}, true, departure).latest);
}

// A replica that knows a later term may still lack the end of the log from which that term began.
BOOST_AUTO_TEST_CASE(later_term_alone_does_not_reach_a_position)
{
    BOOST_TEST(reaches({ 1, 42 }, { 1, 42 }));
    BOOST_TEST(reaches({ 2, 42 }, { 1, 42 }));
    BOOST_TEST(!reaches({ 1, 41 }, { 1, 42 }));
    BOOST_TEST(!reaches({ 2, 41 }, { 1, 42 }));
    BOOST_TEST(!reaches({ 1, 43 }, { 2, 42 }));
}

#include "support_writers.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall::test;

namespace {

// Section 1.1 says a few seconds, section 12 aims at 2 s.
constexpr double maxLateMs = 4000;
constexpr Milliseconds recovery(10000);

/// Callers that read through all entry hosts, so that every member gets work.
class Readers {
public:
    explicit Readers(Fleet& fleet)
    {
        for (size_t i = 0; i < fleet.size(); ++i)
            m_threads.emplace_back([this, &fleet, i] {
                Caller caller = fleet.caller();
                while (!m_stopped) {
                    const bool ok = caller.read(fleet.at(i), "g", "GET k").ok();
                    (ok ? m_answered : m_refused) += 1;
                    std::this_thread::sleep_for(Milliseconds(5));
                }
            });
    }
    ~Readers() { stop(); }
    void stop()
    {
        m_stopped = true;
        for (std::thread& thread : m_threads)
            thread.join();
        m_threads.clear();
    }
    size_t answered() const { return m_answered; }
    size_t refused() const { return m_refused; }

private:
    std::atomic<bool> m_stopped { false };
    std::atomic<size_t> m_answered { 0 };
    std::atomic<size_t> m_refused { 0 };
    std::vector<std::thread> m_threads;
};

uint64_t count(const DatabaseGroup& group, size_t member, const char* name)
{
    return group.stats(member).at(name).as_number().to_uint64();
}

/// Checks that a member that is leaving by its own status gets no statement after 4 s.
void checkNoNewWork(const DatabaseGroup& group, size_t member)
{
    std::this_thread::sleep_for(Milliseconds(6000));
    const web::json::value stats = group.stats(member);
    const double last = stats.at("last_statement_after_leaving_ms").as_double();
    BOOST_TEST_MESSAGE("statements after leaving " << stats.at("statements_after_leaving").serialize() << ", the last "
                                                   << last << " ms after");
    BOOST_TEST(last <= maxLateMs);
}

} // namespace

// Guards against reads sent to a replica that says it is leaving.
BOOST_AUTO_TEST_CASE(replica_reports_leaving)
{
    Fleet fleet;
    Readers readers(fleet);
    BOOST_REQUIRE(waitUntil([&] { return count(fleet.group(), 1, "statements_run") > 10; }, recovery));
    fleet.group().admin(1, json("{'leaving': true}"));
    checkNoNewWork(fleet.group(), 1);
    const size_t before = readers.answered();
    BOOST_TEST(waitUntil([&] { return readers.answered() > before + 20; }, recovery)); // The others serve.
    readers.stop();
    BOOST_TEST(readers.refused() == 0U);
}

// Guards against writes and transactions sent to a primary that says it is leaving, and against a group that takes no
// writes until it has left.
BOOST_AUTO_TEST_CASE(primary_reports_leaving)
{
    Fleet fleet;
    Writers writers(addressesOf(fleet), fleet.key(), "g", Writers::Options());
    BOOST_REQUIRE(writers.waitForProgress(recovery));
    const SteadyTime from = std::chrono::steady_clock::now();
    fleet.group().admin(0, json("{'leaving': true}"));
    checkNoNewWork(fleet.group(), 0);
    BOOST_TEST(primaryOf(fleet.group()).value_or(0) != 0U);
    BOOST_TEST(writers.waitForProgress(recovery));
    const Milliseconds gap = writers.longestGap(from);
    BOOST_TEST_MESSAGE("write gap " << gap.count() << " ms");
    BOOST_TEST(gap.count() <= 3000);
    checkWrites(fleet.group(), writers);
}

// Guards against work for a backend server that the platform's list says is leaving while its own status does not.
BOOST_AUTO_TEST_CASE(platform_lists_replica_as_leaving)
{
    Fleet fleet;
    Readers readers(fleet);
    for (size_t i = 0; i < 3; ++i)
        fleet.platform().setHost(fleet.group().memberName(i), "live");
    BOOST_REQUIRE(waitUntil([&] { return count(fleet.group(), 1, "statements_run") > 10; }, recovery));
    fleet.platform().setHost(fleet.group().memberName(1), "leaving");
    std::this_thread::sleep_for(Milliseconds(4000));
    const uint64_t after = count(fleet.group(), 1, "statements_run");
    std::this_thread::sleep_for(Milliseconds(2000));
    BOOST_TEST(count(fleet.group(), 1, "statements_run") == after);
    BOOST_TEST(readers.answered() > 20U);
}

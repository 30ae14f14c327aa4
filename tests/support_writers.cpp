#include "support_writers.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace plantainwall::test {

namespace {

    // Time for calls that were still on their way to reach a member after the last answer.
    constexpr Milliseconds lateCalls(500);

    uint64_t termOf(const HttpResult& status) { return status.body.at("term").as_number().to_uint64(); }

    std::string firstOf(const std::vector<std::string>& ids)
    {
        return std::to_string(ids.size()) + (ids.empty() ? "" : ", first " + ids.front());
    }

} // namespace

Writers::Writers(std::vector<std::string> addresses, std::string key, std::string group, Options options)
    : m_addresses(std::move(addresses))
    , m_key(std::move(key))
    , m_group(std::move(group))
    , m_options(options)
{
    for (size_t i = 0; i < m_options.callers; ++i)
        m_threads.emplace_back([this, i] { write(i); });
}

void Writers::stop()
{
    m_stopped = true;
    for (std::thread& thread : m_threads)
        thread.join();
    m_threads.clear();
}

Writers::Write Writers::writeOnce(Caller& caller, const std::string& id, size_t first)
{
    Write write;
    write.id = id;
    write.sent = std::chrono::steady_clock::now();
    bool inDoubt = false;
    for (unsigned attempt = 0; attempt <= m_options.resends; ++attempt) {
        web::json::value extra = web::json::value::object();
        extra["request_id"] = web::json::value::string(id);
        const CallerReply reply
            = caller.query(m_addresses[(first + attempt) % m_addresses.size()], m_group, { "ADD " + id + " 1" }, extra);
        write.ok = reply.ok();
        write.run = reply.run;
        // An attempt that may have run is not undone by the refusal of a later one.
        inDoubt = inDoubt || (!write.ok && write.run != "not_run");
        if (write.ok || m_stopped)
            break;
        std::this_thread::sleep_for(m_options.resendPause);
    }
    if (!write.ok && inDoubt)
        write.run = "unknown";
    write.answered = std::chrono::steady_clock::now();
    return write;
}

void Writers::write(size_t callerNumber)
{
    Caller caller(m_key);
    caller.deadlineMs = m_options.deadlineMs;
    for (size_t n = 0; !m_stopped; ++n) {
        const Write write
            = writeOnce(caller, "w" + std::to_string(callerNumber) + "-" + std::to_string(n), callerNumber + n);
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_writes.push_back(write);
        }
        std::this_thread::sleep_for(m_options.pause);
    }
}

size_t Writers::acknowledged() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return static_cast<size_t>(
        std::count_if(m_writes.begin(), m_writes.end(), [](const Write& write) { return write.ok; }));
}

bool Writers::waitForProgress(Milliseconds timeout) const
{
    const SteadyTime from = std::chrono::steady_clock::now();
    return waitUntil(
        [&] {
            const std::lock_guard<std::mutex> lock(m_mutex);
            return std::count_if(m_writes.begin(), m_writes.end(), [from](const Write& write) {
                return write.ok && write.sent > from;
            }) >= 50;
        },
        timeout);
}

Milliseconds Writers::longestGap(SteadyTime from) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<SteadyTime> times { from };
    for (const Write& write : m_writes) {
        if (write.ok && write.answered > from)
            times.push_back(write.answered);
    }
    std::sort(times.begin(), times.end());
    std::chrono::steady_clock::duration longest {};
    for (size_t i = 1; i < times.size(); ++i)
        longest = std::max(longest, times[i] - times[i - 1]);
    return std::chrono::duration_cast<Milliseconds>(longest);
}

WriteFindings Writers::compare(const web::json::value& dump) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    WriteFindings findings;
    for (const Write& write : m_writes) {
        const std::string executions = dump.has_field(write.id) ? dump.at(write.id).as_string() : "0";
        if (executions != "0" && executions != "1")
            findings.repeated.push_back(write.id);
        if (write.ok) {
            ++findings.acknowledged;
            if (executions == "0")
                findings.lost.push_back(write.id);
        } else if (write.run == "not_run") {
            ++findings.refused;
            if (executions != "0")
                findings.ranThoughRefused.push_back(write.id);
        } else {
            ++findings.unknown;
        }
    }
    return findings;
}

std::vector<std::string> addressesOf(Fleet& fleet)
{
    std::vector<std::string> addresses;
    for (size_t i = 0; i < fleet.size(); ++i)
        addresses.push_back(fleet.at(i));
    return addresses;
}

std::optional<size_t> primaryOf(const DatabaseGroup& group)
{
    std::optional<size_t> primary;
    uint64_t term = 0;
    for (size_t i = 0; i < group.size(); ++i) {
        const HttpResult status = getJson(group.directAddress(i), "/v1/status", {}, Milliseconds(300));
        if (status.status != 200 || status.body.at("role").as_string() != "primary" || termOf(status) <= term)
            continue;
        term = termOf(status);
        primary = i;
    }
    return primary;
}

WriteFindings checkWrites(DatabaseGroup& group, Writers& writers)
{
    writers.stop();
    std::this_thread::sleep_for(lateCalls);
    const std::optional<size_t> primary = primaryOf(group);
    BOOST_REQUIRE_MESSAGE(primary, "the group has no primary");
    std::vector<size_t> others;
    for (size_t i = 0; i < group.size(); ++i) {
        if (i != *primary)
            others.push_back(i);
    }
    BOOST_TEST(group.waitForReplication(*primary, others, Milliseconds(10000)));
    const web::json::value dump = group.dump(*primary);
    for (const size_t other : others)
        BOOST_TEST((group.dump(other) == dump), group.memberName(other) << " differs from the primary");
    WriteFindings findings = writers.compare(dump);
    BOOST_TEST_MESSAGE("acknowledged " << findings.acknowledged << ", refused " << findings.refused << ", unknown "
                                       << findings.unknown);
    BOOST_TEST(findings.acknowledged > 0U);
    BOOST_TEST(findings.lost.empty(), "acknowledged and lost: " << firstOf(findings.lost));
    BOOST_TEST(findings.repeated.empty(), "ran more than once: " << firstOf(findings.repeated));
    BOOST_TEST(findings.ranThoughRefused.empty(), "not_run, but ran: " << firstOf(findings.ranThoughRefused));
    return findings;
}

} // namespace plantainwall::test

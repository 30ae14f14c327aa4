// An order to promote that got no answer is carried out late, while the next coordinator replaces the primary.
#include "../standin-2/deployment.h"
#include "../standin-2/writer.h"
#include <algorithm>
#include <csignal>

namespace plantainwall::review {

namespace {

    constexpr size_t primary = 0;
    constexpr Milliseconds zonePassage(1); // One way between zones 0.9 ms, between regions 30 ms.
    constexpr Milliseconds regionPassage(30);
    constexpr Milliseconds warmUp(5000);
    constexpr size_t tenantCount = 8;
    constexpr size_t writersPerHost = 8;
    constexpr Milliseconds downTime(1600);
    /// When the late order is carried out, after the next coordinator has begun. Replicas that another host has left
    /// paused start a change of the primary 1.5 s after it.
    constexpr Milliseconds carriedOutAfter(1000);
    constexpr Milliseconds leastLateness(2000); ///< An order without an answer is carried out 2 to 12 s later.
    constexpr Milliseconds limit(15000);
    constexpr Milliseconds calmTime(8000);

    Verdict run(const std::string& recordFile)
    {
        Deployment::Settings settings;
        settings.tenants.clear();
        for (size_t i = 0; i < tenantCount; ++i)
            settings.tenants.push_back({ "tenant-" + std::to_string(i), 121, 121 });
        Deployment deployment(recordFile, settings);
        Databases& databases = *deployment.databases;
        // The primary stands in the other region.
        databases.server(primary).receiveDelay = regionPassage;
        databases.server(1).receiveDelay = zonePassage;
        databases.server(2).receiveDelay = zonePassage;
        if (!deployment.start())
            return Verdict::CouldNotRun;
        std::set<std::string> acknowledged;
        std::list<Writer> writers;
        for (size_t i = 0; i < deployment.hosts.size() * writersPerHost; ++i)
            writers.emplace_back(deployment, *deployment.hosts[i % deployment.hosts.size()],
                settings.tenants[i % settings.tenants.size()].name, acknowledged);
        deployment.pass(warmUp);
        if (acknowledged.empty())
            return Verdict::CouldNotRun;
        std::optional<test::KvStore::Order> late;
        Clock::time_point orderedAt;
        bool asked = false; ///< The next coordinator has begun.
        Clock::time_point terminatedAt = Clock::time_point::max();
        deployment.promoted = [&](const test::KvStore::Order& order) -> std::optional<unsigned> {
            if (late)
                return databases.promote(order);
            late = order;
            orderedAt = Clock::now();
            deployment.record.note("POST /promote of " + order.id + " by " + order.holder + " with token "
                + std::to_string(order.fencingToken) + ": no answer; it will be carried out late");
            return std::nullopt;
        };
        databases.statusAsked = [&](size_t index, Clock::time_point opened) {
            if (asked || index == primary || opened < terminatedAt)
                return;
            asked = true;
            const Clock::time_point due = std::max(Clock::now() + carriedOutAfter, orderedAt + leastLateness);
            deployment.record.note("the next coordinator asks " + databases.server(index).id + " for its status");
            deployment.after(std::chrono::duration_cast<Milliseconds>(due - Clock::now()), [&] {
                deployment.record.note("the late order is carried out, after "
                    + std::to_string(std::chrono::duration_cast<Milliseconds>(Clock::now() - orderedAt).count())
                    + " ms");
                databases.promote(*late);
            });
        };
        if (withTrouble()) {
            databases.crash(primary);
            deployment.after(downTime, [&] {
                databases.restart(primary);
                terminatedAt = Clock::now();
                for (const std::unique_ptr<Host>& host : deployment.hosts) {
                    if (late && host->name() == late->holder)
                        host->signal(SIGTERM);
                }
            });
        }
        deployment.passUntil(withTrouble() ? limit : calmTime, [&] { return databases.term() > 2; });
        if (withTrouble() && !asked)
            return Verdict::CouldNotRun;
        const std::vector<std::string>& lost = databases.lost();
        const auto lostToCallers = std::count_if(
            lost.begin(), lost.end(), [&](const std::string& id) { return acknowledged.count(id) != 0; });
        deployment.record.note("writes acknowledged to callers " + std::to_string(acknowledged.size())
            + ", lost of these " + std::to_string(lostToCallers) + ", term " + std::to_string(databases.term()));
        return lostToCallers == 0 ? Verdict::Held : Verdict::Broken;
    }

} // namespace

} // namespace plantainwall::review

int main(int argc, char** argv)
{
    const std::string recordFile = argc > 1 ? argv[1] : "record.txt";
    return plantainwall::review::runCase([&] { return plantainwall::review::run(recordFile); });
}

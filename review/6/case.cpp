// A replica that had been down runs again without reaching the store, confirms commits, and is then lost together with
// the primary.
#include "../standin-2/deployment.h"
#include "../standin-2/writer.h"
#include <algorithm>

namespace plantainwall::review {

namespace {

    constexpr size_t primary = 0;
    constexpr size_t near = 1;
    constexpr size_t far = 2;
    constexpr Milliseconds zonePassage(1); // One way between zones 0.9 ms, between regions 30 ms.
    constexpr Milliseconds regionPassage(30);
    constexpr Milliseconds warmUp(4000);
    constexpr Milliseconds downTime(7000);
    constexpr Milliseconds storeCutTime(4500);
    constexpr Milliseconds promotionLimit(30000);
    constexpr Milliseconds calmTime(5000);
    constexpr size_t writersPerHost = 2;

    Verdict run(const std::string& recordFile)
    {
        Deployment::Settings settings;
        settings.tenants = { { "milliners", 121, 121 }, { "dyers", 121, 121 }, { "packers", 121, 121 } };
        Deployment deployment(recordFile, settings);
        Databases& databases = *deployment.databases;
        databases.server(near).receiveDelay = zonePassage;
        databases.server(far).receiveDelay = regionPassage;
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
        if (withTrouble())
            databases.crash(near);
        deployment.pass(downTime);
        if (withTrouble()) {
            databases.server(near).reachesStore = false;
            databases.restart(near);
        }
        deployment.pass(storeCutTime);
        if (withTrouble()) {
            databases.crash(primary);
            databases.crash(near);
        }
        deployment.passUntil(withTrouble() ? promotionLimit : calmTime, [&] { return databases.term() > 1; });
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

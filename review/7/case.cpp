// The primary and one entry host are partitioned from the other hosts, and a replica that was down is back.
#include "../standin-2/deployment.h"
#include "../standin-2/writer.h"
#include <algorithm>

namespace plantainwall::review {

namespace {

    constexpr size_t primary = 0;
    constexpr size_t replica = 1; ///< The one that crashes.
    constexpr Milliseconds zonePassage(1);
    constexpr Milliseconds warmUp(5000);
    constexpr Milliseconds downBefore(1500); ///< From the crash of the replica to the partition.
    constexpr Milliseconds backAfter(150); ///< The replica, from the order to promote the other one.
    constexpr Milliseconds limit(6500); ///< Of the partition.
    constexpr size_t writerCount = 6;
    /// Tenant of the writers, all of which are at the host that is cut off. The others' connections to databases are
    /// those of the hosts themselves.
    const std::string writersTenant = "milliners";

    /// Returns the coordinator of the promotions, by its own log.
    Host* coordinatorOf(Deployment& deployment)
    {
        const auto it = std::find_if(deployment.hosts.begin(), deployment.hosts.end(),
            [](const auto& host) { return host->output().find("\"duty_gained\"") != std::string::npos; });
        return it == deployment.hosts.end() ? nullptr : it->get();
    }

    Verdict run(const std::string& recordFile)
    {
        Deployment::Settings settings;
        settings.tenants = { { "dyers", 121, 121 }, { writersTenant, 121, 121 } };
        settings.peerRoutes = true;
        settings.hostZones = { "huon-mill", "huon-mill", "huon-sheds", "huon-sheds", "tamar-store", "tamar-store" };
        Deployment deployment(recordFile, settings);
        Databases& databases = *deployment.databases;
        for (size_t i = 0; i < databases.servers().size(); ++i)
            databases.server(i).receiveDelay = zonePassage;
        if (!deployment.start())
            return Verdict::CouldNotRun;
        deployment.pass(warmUp);
        Host* const coordinator = coordinatorOf(deployment);
        if (coordinator == nullptr)
            return Verdict::CouldNotRun;
        const auto other = std::find_if(
            deployment.hosts.begin(), deployment.hosts.end(), [&](const auto& it) { return it.get() != coordinator; });
        const Host& host = **other;
        std::set<std::string> acknowledged;
        std::list<Writer> writers;
        for (size_t i = 0; i < writerCount; ++i)
            writers.emplace_back(deployment, host, writersTenant, acknowledged);
        deployment.pass(Milliseconds(2000));
        if (acknowledged.empty())
            return Verdict::CouldNotRun;
        bool back = false;
        deployment.promoted = [&](const test::KvStore::Order& order) -> std::optional<unsigned> {
            if (!std::exchange(back, true))
                deployment.after(backAfter, [&databases] { databases.restart(replica); });
            return databases.promote(order);
        };
        if (withTrouble())
            databases.crash(replica);
        deployment.pass(downBefore);
        if (withTrouble()) {
            deployment.record.note("partition: i-0 and " + host.name()
                + " from the other entry hosts; both reach the databases and the store");
            deployment.cutOffHost = &host;
            databases.cutOff
                = [](size_t index, const std::string& tenant) { return index == primary && tenant != writersTenant; };
        }
        deployment.passUntil(limit, [&] { return databases.term() > 1; });
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

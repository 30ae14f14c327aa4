#include "ack_tracker.h"
#include "bench_cluster.h"
#include "bench_gossip.h"
#include "bench_rates.h"
#include "bench_seats.h"
#include "promotion.h"
#include "rate_share.h"
#include "read_router.h"
#include <algorithm>
#include <cmath>
#include <malloc.h>

namespace plantainwall::bench {

namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr size_t designHosts = 750;
    constexpr size_t designGroups = 400;
    constexpr Duration changeInterval = seconds(48); // 1,800 changes a day.
    constexpr Duration warmUp = seconds(5);
    constexpr double statusCallBytes = 600; // Assumed: /v1/position with its answer and both heads.
    constexpr Duration idlePoll = milliseconds(270); // Long poll of 250 ms and a pause of 20 ms.

    struct Scale {
        size_t hosts = 0;
        size_t groups = 0;
        size_t customers = 0;
    };

    /// Load of one part of the control work on a daemon.
    struct Part {
        double bytes = 0; ///< Per second, average daemon.
        double mostBytes = 0; ///< Busiest daemon.
        double cpu = 0; ///< Percent of a core.
        double mostCpu = 0;
        double storeCalls = 0; ///< Per second, whole fleet.
    };

    size_t groupsFor(size_t hosts) { return std::max<size_t>(3, hosts * designGroups / designHosts); }

    /// Groups that a daemon follows: one for each database it owns.
    double groupsPerDaemon(const Scale& scale)
    {
        return std::max(1.0, 3.0 * static_cast<double>(scale.groups) / static_cast<double>(scale.hosts));
    }

    Part configPart(const Deployment& deployment, const Scale& scale, uint64_t seed)
    {
        ClusterOptions options;
        options.hosts = scale.hosts;
        options.content = makeContent(deployment, 8, 3, 0);
        options.storeDelay = milliseconds(2);
        options.measureCpu = true;
        ConfigCluster cluster(deployment, options, seed);
        cluster.queue().run(Instant(warmUp));
        cluster.startCounting();
        cluster.queue().after(changeInterval / 2, [&cluster] {
            cluster.change(0, { "teams/team-1/limits", "rate_per_s = 800\nburst = 450" }, [] {});
        });
        cluster.queue().run(Instant(warmUp + changeInterval));
        const double length = bench::milliseconds(changeInterval) / 1000;
        Part part;
        for (size_t i = 0; i < cluster.size(); ++i) {
            const double bytes = static_cast<double>(cluster.traffic(i).bytes) / length;
            const double cpu = bench::milliseconds(cluster.traffic(i).cpu) / 10 / length;
            part.bytes += bytes / static_cast<double>(cluster.size());
            part.cpu += cpu / static_cast<double>(cluster.size());
            part.mostBytes = std::max(part.mostBytes, bytes);
            part.mostCpu = std::max(part.mostCpu, cpu);
        }
        part.storeCalls = static_cast<double>(cluster.storeCalls()) / length;
        return part;
    }

    /// One customer's load on the whole fleet.
    RateFigures shareFigures(const Deployment& deployment, size_t hosts, uint64_t seed)
    {
        RateScenario scenario = evenLoad(hosts, 0.8);
        scenario.rate = 100 * static_cast<double>(hosts);
        scenario.burst = scenario.rate / 2;
        scenario.load.assign(hosts, scenario.rate * 0.8 / static_cast<double>(hosts));
        scenario.length = seconds(12);
        return runRates(deployment, scenario, seed, true);
    }

    /// One customer's traffic, multiplied by the number of customers; a pool host's own duty comes on top.
    Part sharePart(const RateFigures& figures, const Scale& scale)
    {
        const double customers = static_cast<double>(scale.customers);
        const double perHost = static_cast<double>(figures.bytes) / figures.seconds / static_cast<double>(scale.hosts);
        const double duties = std::ceil(customers / static_cast<double>(scale.hosts));
        Part part;
        part.bytes = customers * perHost;
        part.mostBytes = part.bytes + duties * (static_cast<double>(figures.mostBytes) / figures.seconds - perHost);
        part.cpu
            = customers * bench::milliseconds(figures.cpu) / 10 / figures.seconds / static_cast<double>(scale.hosts);
        part.mostCpu = part.cpu;
        return part;
    }

    MemberStatus idleStatus(bool primary)
    {
        MemberStatus status;
        status.term = 1;
        status.role = primary ? MemberRole::Primary : MemberRole::Replica;
        status.received = { 1, 100 };
        status.applied = { 1, 100 };
        return status;
    }

    /// Failure detection of the groups that a daemon follows, without writes.
    Part watchPart(const Scale& scale, uint64_t seed)
    {
        const std::vector<std::string> names { "m0", "m1", "m2" };
        EventQueue queue(seed);
        Promotion promotion(GroupSettings(), "host", names, queue.random(), queue.now());
        ReadRouter router({ { "m0", "", "a", "r" }, { "m1", "", "b", "r" }, { "m2", "", "c", "s" } }, ReadCosts());
        AckTracker tracker(names);
        double calls = 0;
        Duration cpu {};
        for (size_t i = 0; i < names.size(); ++i) {
            queue.every(milliseconds(i + 1), idlePoll, [&, i] {
                const MemberStatus status = idleStatus(i == 0);
                const Duration before = threadCpuTime();
                router.onStatus(names[i], status, queue.now(), queue.now());
                promotion.onStatus(names[i], status, queue.now(), queue.now());
                tracker.received(names[i], status.received);
                cpu += threadCpuTime() - before;
                ++calls;
            });
        }
        queue.every(milliseconds(50), milliseconds(50), [&] {
            const Duration before = threadCpuTime();
            promotion.tick(queue.now());
            tracker.tick(queue.now());
            cpu += threadCpuTime() - before;
        });
        const Duration length = seconds(100);
        queue.run(Instant(length));
        Part part;
        part.bytes = calls / 100 * statusCallBytes * groupsPerDaemon(scale);
        part.mostBytes = calls / 100 * statusCallBytes * std::ceil(groupsPerDaemon(scale));
        part.cpu = bench::milliseconds(cpu) / 10 / 100 * groupsPerDaemon(scale);
        part.mostCpu = part.cpu;
        return part;
    }

    size_t heapBytes() { return mallinfo2().uordblks; }

    /// Bytes that the allocator has handed out to the objects of one daemon: its copy of the configuration, a share for
    /// each customer, and the groups it follows.
    double objectBytes(const Deployment& deployment, const Scale& scale)
    {
        std::mt19937_64 random(1);
        StoreListing listing;
        for (const ConfigText& text : makeContent(deployment, scale.customers, scale.groups, scale.hosts))
            listing.entries.push_back(storedEntry(text, ++listing.revision));
        const size_t before = heapBytes();
        Configuration configuration(1, Instant());
        configuration.tick(Instant());
        configuration.listAnswered({ 1, Instant() }, listing);
        std::vector<std::unique_ptr<CustomerShare>> shares;
        for (size_t i = 0; i < scale.customers; ++i) {
            shares.push_back(std::make_unique<CustomerShare>(LimitSettings(), "team-" + std::to_string(i), "host", 1));
            shares.back()->share().setLimit(900, 450, Instant());
            shares.back()->share().setOwn({ wholeShare / 24, wholeShare / 24, Instant(seconds(30)) }, Instant());
        }
        std::vector<std::unique_ptr<Promotion>> groups;
        const std::vector<std::string> names { "m0", "m1", "m2" };
        for (size_t i = 0; i < static_cast<size_t>(std::ceil(groupsPerDaemon(scale))); ++i) {
            groups.push_back(std::make_unique<Promotion>(GroupSettings(), "host", names, random, Instant()));
            for (const std::string& name : names)
                groups.back()->onStatus(name, idleStatus(name == "m0"), Instant(seconds(1)), Instant(seconds(1)));
        }
        return static_cast<double>(heapBytes() - before);
    }

    /// Processor time to take in one change when the copy has its full size, in milliseconds.
    double changeCost(const Deployment& deployment, const Scale& scale)
    {
        StoreListing listing;
        for (const ConfigText& text : makeContent(deployment, scale.customers, scale.groups, scale.hosts))
            listing.entries.push_back(storedEntry(text, ++listing.revision));
        Configuration configuration(1, Instant());
        configuration.tick(Instant());
        configuration.listAnswered({ 1, Instant() }, listing);
        constexpr unsigned repeats = 10;
        Duration cpu {};
        for (unsigned i = 0; i < repeats; ++i) {
            const StoreEntry entry
                = storedEntry({ "teams/team-1/limits", "rate_per_s = 800\nburst = 450" }, ++listing.revision);
            const Duration before = threadCpuTime();
            configuration.pushReceived({ 0, 0, false, {}, { entry } });
            cpu += threadCpuTime() - before;
        }
        return bench::milliseconds(cpu) / repeats;
    }

    Deployment sizedFor(const Deployment& deployment, const Scale& scale)
    {
        return scale.hosts > 9 ? atDesignSize(deployment) : deployment;
    }

    /// What does not depend on the number of customers, or only by a factor.
    struct FleetRun {
        Part config;
        RateFigures shares; ///< Of one customer.
        RateSliceFigures rateSlices;
        GossipFigures gossip;
    };

    FleetRun runFleet(const Deployment& sized, const Scale& scale, uint64_t seed)
    {
        const size_t groups = static_cast<size_t>(std::ceil(groupsPerDaemon(scale)));
        return { configPart(sized, scale, seed), shareFigures(sized, scale.hosts, seed), runRateSlices(scale.hosts),
            runGossip(sized, scale.hosts, groups, seed) };
    }

    void addScale(Report& report, const Deployment& deployment, const Scale& scale, const FleetRun& run)
    {
        const Deployment sized = sizedFor(deployment, scale);
        const Part& config = run.config;
        const Part shares = sharePart(run.shares, scale);
        const RateSliceFigures& rateSlices = run.rateSlices;
        const GossipFigures& gossip = run.gossip;
        const Part watch = watchPart(scale, report.options().seed);
        const double change = changeCost(sized, scale);
        const double changeCpu = change / 10 / (bench::milliseconds(changeInterval) / 1000);
        const std::string name = std::to_string(scale.hosts) + "_hosts_" + std::to_string(scale.groups) + "_groups_"
            + std::to_string(scale.customers) + "_customers";

        Result bytes { "control_bytes_per_s", deployment.name, name,
            config.bytes + shares.bytes + watch.bytes + gossip.bytesPerSecond, "bytes/s", std::nullopt, {} };
        bytes.details = { { "config", config.bytes }, { "gossip", gossip.bytesPerSecond }, { "shares", shares.bytes },
            { "group_watch", watch.bytes }, { "most_config", config.mostBytes }, { "most_shares", shares.mostBytes },
            { "most_group_watch", watch.mostBytes } };
        bytes.judged = scale.hosts == designHosts; // The target is one of the design size; smaller ones show the slope.
        report.add(bytes);
        Result busiest = bytes;
        busiest.caseName += "_busiest";
        busiest.value = std::max(config.mostBytes + shares.bytes, config.bytes + shares.mostBytes) + watch.mostBytes
            + gossip.mostBytesPerSecond;
        report.add(busiest);
        // MembershipController polls the platform's list every 5 s on every host.
        const double listCalls = static_cast<double>(scale.hosts) / 5;
        Result storeCalls { "store_calls_per_s", deployment.name, name,
            config.storeCalls + rateSlices.storeCallsPerSecond + listCalls, "calls/s", std::nullopt, {} };
        storeCalls.details = { { "config", config.storeCalls }, { "seats", rateSlices.storeCallsPerSecond },
            { "platform_list", listCalls }, { "seats_held_part", rateSlices.heldPart } };
        report.add(storeCalls);

        // LimitsController calls Seats::next() four times a second.
        const double rateSliceCpu = 4 * bench::milliseconds(rateSlices.cpuPerCall) / 10;
        Result cpu { "control_cpu_percent", deployment.name, name,
            config.mostCpu + shares.mostCpu + watch.mostCpu + changeCpu + rateSliceCpu + gossip.cpuPercent,
            "percent of a core", std::nullopt, {} };
        cpu.judged = !report.options().quick; // Depends on the machine.
        cpu.details = { { "config", config.cpu }, { "most_config", config.mostCpu }, { "shares", shares.cpu },
            { "group_watch", watch.cpu }, { "change_ms", change }, { "seats", rateSliceCpu },
            { "gossip", gossip.cpuPercent } };
        report.add(cpu);
        report.add({ "control_rss_mb", deployment.name, name, (objectBytes(sized, scale) + gossip.heapBytes) / 1e6,
            "MB", std::nullopt, {} });
    }

} // namespace

void benchControl(Report& report)
{
    const std::vector<size_t> sizes
        = report.options().quick ? std::vector<size_t> { 9, 90 } : std::vector<size_t> { 9, 45, 90, 180, 375, 750 };
    for (const Deployment& deployment : deployments()) {
        for (const size_t hosts : sizes) {
            Scale scale { hosts, groupsFor(hosts), 8 };
            const FleetRun run = runFleet(sizedFor(deployment, scale), scale, report.options().seed);
            addScale(report, deployment, scale, run);
            if (hosts != designHosts || deployment.name != deployments().front().name)
                continue;
            for (const size_t customers : { size_t(100), size_t(1000), size_t(5000) }) {
                scale.customers = customers;
                addScale(report, deployment, scale, run);
            }
        }
    }
}

} // namespace plantainwall::bench

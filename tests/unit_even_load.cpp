#include "server_choice.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <functional>
#include <map>
#include <numeric>
#include <queue>
#include <random>

using namespace plantainwall;

// Replays the load pattern of many hosts that choose among a few servers, each from its own statements and from reports
// of the others that are some hundred milliseconds old, for several ways to choose.

namespace {

constexpr double playMs = 12000;
constexpr double warmUpMs = 2000;
constexpr double windowMs = 200;
constexpr double reportDelayMs = 15;
constexpr size_t dataCentres = 6;
constexpr size_t dataCentresPerRegion = 3;
constexpr uint64_t seeds[] = { 1, 2, 3 };

struct Scene {
    std::string name;
    size_t hosts = 24;
    std::vector<unsigned> slots = { 5, 5, 5 };
    double reportMs = 500; ///< Interval of a host's reports.
    double statementMs = 50; ///< Mean time in a slot.
    double utilization = 0.6; ///< Of all slots, apart from bursts.
    double burst = 1; ///< Factor of the demand in a quarter of the time.
    double fixed = 0.15; ///< Part of the statements that only the first server can run.
    bool distances = true;
    size_t silent = 0; ///< Hosts that do not report.
    double falseRunning = -1; ///< What the first host reports of the second server; negative: the truth.
};

struct Outcome {
    double busiest = 0; ///< Load for each slot of the busiest server, as a multiple of the mean; a mean over windows.
    double waitMs = 0; ///< 99th percentile of the time that statements wait for a slot.
    double leastShare = 1; ///< Least part of the free choices that a server got, as a multiple of an equal part.
};

using Choice = size_t (*)(const std::vector<ServerCandidate>&, std::mt19937_64&);

double fraction(std::mt19937_64& random) { return std::uniform_real_distribution<double>(0, 1)(random); }

double loadOf(const ServerCandidate& it)
{
    return (it.load ? it.load->running : static_cast<double>(it.runningStatements)) / it.slots;
}

double costOf(const ServerCandidate& it) { return static_cast<double>(it.expected.count()) * (1 + loadOf(it)); }

size_t ownKnowledge(const std::vector<ServerCandidate>& candidates, std::mt19937_64& random)
{
    return *chooseServer(candidates, fraction(random));
}

size_t twoRandom(const std::vector<ServerCandidate>& candidates, std::mt19937_64& random)
{
    const size_t a = random() % candidates.size();
    const size_t b = (a + 1 + random() % (candidates.size() - 1)) % candidates.size();
    return costOf(candidates[a]) < costOf(candidates[b]) ? a : b;
}

/// The best one by the reports and this host's choices since.
size_t leastLoaded(const std::vector<ServerCandidate>& candidates, std::mt19937_64&)
{
    return static_cast<size_t>(std::min_element(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
        return costOf(a) < costOf(b);
    }) - candidates.begin());
}

/// In proportion to the slots that reports show to be free.
size_t shares(const std::vector<ServerCandidate>& candidates, std::mt19937_64& random)
{
    std::vector<double> weights;
    weights.reserve(candidates.size());
    for (const ServerCandidate& it : candidates)
        weights.push_back(it.slots * std::max(0.02, 1 - loadOf(it)));
    return std::discrete_distribution<size_t>(weights.begin(), weights.end())(random);
}

size_t evenly(const std::vector<ServerCandidate>& candidates, std::mt19937_64& random)
{
    return *chooseEvenly(candidates, fraction(random));
}

struct Way {
    std::string_view name;
    Choice choose;
};

constexpr Way ways[] = { { "own knowledge", ownKnowledge }, { "two random", twoRandom },
    { "least loaded", leastLoaded }, { "shares", shares }, { "even", evenly } };
constexpr size_t ownWay = 0;
constexpr size_t evenWay = 4;

class Replay {
public:
    Replay(const Scene& scene, Choice choose, uint64_t seed)
        : m_scene(scene)
        , m_choose(choose)
        , m_random(seed)
        , m_servers(scene.slots.size())
        , m_hosts(scene.hosts)
        , m_windowStart(scene.slots.size())
        , m_chosen(scene.slots.size())
    {
        std::vector<double> demands;
        for (size_t h = 0; h < m_hosts.size(); ++h) {
            Host& host = m_hosts[h];
            host.running.resize(m_servers.size());
            host.meters.resize(m_servers.size());
            for (size_t s = 0; s < m_servers.size(); ++s) {
                const Distance distance = distanceOf(h, s);
                host.speeds.emplace_back(distance);
                host.roundTripMs.push_back(roundTripsMs[static_cast<size_t>(distance)]);
            }
            demands.push_back(1 / std::pow(1 + static_cast<double>(h % 8), 0.7)); // Uneven, as balancers leave it.
        }
        m_demands = std::discrete_distribution<size_t>(demands.begin(), demands.end());
    }

    Outcome run()
    {
        const double slots = std::accumulate(m_scene.slots.begin(), m_scene.slots.end(), 0.0);
        m_statementsPerMs = m_scene.utilization * slots / m_scene.statementMs;
        at(0, [this] { arrive(); });
        at(windowMs, [this] { endWindow(); });
        for (size_t h = 0; h + m_scene.silent < m_hosts.size(); ++h) {
            const double offset = m_scene.reportMs * static_cast<double>(h) / static_cast<double>(m_hosts.size());
            at(offset, [this, h] { report(h); });
        }
        while (m_events.top().ms < playMs) {
            const Event event = m_events.top();
            m_events.pop();
            m_ms = event.ms;
            event.run();
        }
        Outcome result;
        result.busiest = m_busiestSum / static_cast<double>(m_windows);
        std::sort(m_waits.begin(), m_waits.end());
        result.waitMs = m_waits[m_waits.size() * 99 / 100];
        const double chosen = std::accumulate(m_chosen.begin(), m_chosen.end(), 0.0);
        result.leastShare
            = *std::min_element(m_chosen.begin(), m_chosen.end()) * static_cast<double>(m_chosen.size()) / chosen;
        return result;
    }

private:
    static constexpr double roundTripsMs[] = { 1, 3, 60 };

    struct Event {
        double ms;
        std::function<void()> run;
        bool operator<(const Event& other) const { return ms > other.ms; }
    };
    struct Server {
        unsigned running = 0;
        std::queue<std::function<void()>> waiting;
        double load = 0; ///< Statements running or waiting, integrated over time.
        double loadMs = 0;
    };
    struct Host {
        std::vector<ServerSpeed> speeds;
        std::vector<unsigned> running;
        std::vector<ServerLoadMeter> meters;
        std::vector<double> roundTripMs;
        ServerLoads loads;
    };

    Distance distanceOf(size_t host, size_t server) const
    {
        if (!m_scene.distances)
            return Distance::SameDataCentre;
        const size_t a = host % dataCentres;
        const size_t b = server * 2 % dataCentres;
        if (a == b)
            return Distance::SameDataCentre;
        return a / dataCentresPerRegion == b / dataCentresPerRegion ? Distance::SameRegion : Distance::OtherRegion;
    }

    void at(double ms, std::function<void()> run) { m_events.push({ ms, std::move(run) }); }
    Instant now() const { return Instant(std::chrono::hours(1)) + durationOf(m_ms); }
    static Duration durationOf(double ms) { return Duration(static_cast<int64_t>(ms * 1000)); }
    double exponential(double mean) { return -mean * std::log(1 - fraction(m_random)); }

    void integrate(Server& server)
    {
        server.load += (server.running + static_cast<double>(server.waiting.size())) * (m_ms - server.loadMs);
        server.loadMs = m_ms;
    }

    void arrive()
    {
        const size_t host = m_demands(m_random);
        if (fraction(m_random) < m_scene.fixed)
            send(host, 0);
        else {
            const size_t server = choose(host);
            m_chosen[server] += 1;
            send(host, server);
        }
        const bool burst = std::fmod(m_ms, 4000) < 1000;
        at(m_ms + exponential(1 / (m_statementsPerMs * (burst ? m_scene.burst : 1))), [this] { arrive(); });
    }

    size_t choose(size_t h)
    {
        Host& host = m_hosts[h];
        std::vector<ServerCandidate> candidates(m_servers.size());
        for (size_t s = 0; s < candidates.size(); ++s) {
            candidates[s].expected = host.speeds[s].expected(now());
            candidates[s].runningStatements = host.running[s];
            candidates[s].slots = m_scene.slots[s];
            candidates[s].connected = true;
            candidates[s].usable = true;
            candidates[s].load = host.loads.estimate(std::to_string(s), now());
        }
        return m_choose(candidates, m_random);
    }

    void send(size_t h, size_t s)
    {
        Host& host = m_hosts[h];
        host.meters[s].setRunning(++host.running[s], now());
        const Instant sent = now();
        host.loads.noteOwnChoice(std::to_string(s), sent);
        at(m_ms + host.roundTripMs[s] / 2, [this, h, s, sent] { reach(h, s, sent); });
    }

    void reach(size_t h, size_t s, Instant sent)
    {
        const double reached = m_ms;
        const auto start = [this, h, s, sent, reached] {
            m_waits.push_back(m_ms - reached);
            at(m_ms + exponential(m_scene.statementMs), [this, h, s, sent] { end(h, s, sent); });
        };
        Server& server = m_servers[s];
        integrate(server);
        if (server.running < m_scene.slots[s]) {
            ++server.running;
            start();
        } else
            server.waiting.push(start);
    }

    void end(size_t h, size_t s, Instant sent)
    {
        Server& server = m_servers[s];
        integrate(server);
        if (server.waiting.empty())
            --server.running;
        else {
            const std::function<void()> next = std::move(server.waiting.front());
            server.waiting.pop();
            next();
        }
        at(m_ms + m_hosts[h].roundTripMs[s] / 2, [this, h, s, sent] {
            Host& host = m_hosts[h];
            host.meters[s].setRunning(--host.running[s], now());
            const Duration took = std::chrono::duration_cast<Duration>(now() - sent);
            host.meters[s].noteResponse(took, now());
            host.speeds[s].noteResponse(took, now());
            host.loads.noteOwnEnd(std::to_string(s), sent);
        });
    }

    void report(size_t h)
    {
        std::vector<std::string> ids;
        ServerLoadList list;
        for (size_t s = 0; s < m_servers.size(); ++s) {
            ids.push_back(std::to_string(s));
            list.emplace_back(ids.back(), m_hosts[h].meters[s].sample(0, now()));
        }
        if (h == 0 && m_scene.falseRunning >= 0)
            list[1].second.running = m_scene.falseRunning;
        const ServerLoadList received = decodeServerLoads(encodeServerLoads(list), ids);
        at(m_ms + reportDelayMs, [this, h, received] {
            for (size_t other = 0; other < m_hosts.size(); ++other) {
                if (other != h)
                    m_hosts[other].loads.noteComplete(std::to_string(h), received, now(), now());
            }
        });
        at(m_ms + m_scene.reportMs, [this, h] { report(h); });
    }

    void endWindow()
    {
        std::vector<double> loads;
        for (size_t s = 0; s < m_servers.size(); ++s) {
            integrate(m_servers[s]);
            loads.push_back((m_servers[s].load - m_windowStart[s]) / m_scene.slots[s]);
            m_windowStart[s] = m_servers[s].load;
        }
        const double sum = std::accumulate(loads.begin(), loads.end(), 0.0);
        if (m_ms > warmUpMs && sum > 0) {
            m_busiestSum += *std::max_element(loads.begin(), loads.end()) * static_cast<double>(loads.size()) / sum;
            ++m_windows;
        }
        at(m_ms + windowMs, [this] { endWindow(); });
    }

    Scene m_scene;
    Choice m_choose;
    std::mt19937_64 m_random;
    std::vector<Server> m_servers;
    std::vector<Host> m_hosts;
    std::discrete_distribution<size_t> m_demands;
    std::priority_queue<Event> m_events;
    double m_ms = 0;
    double m_statementsPerMs = 0;
    std::vector<double> m_waits;
    std::vector<double> m_windowStart;
    std::vector<double> m_chosen;
    double m_busiestSum = 0;
    size_t m_windows = 0;
};

/// Returns the mean outcome over the seeds.
Outcome play(const Scene& scene, const Way& way)
{
    Outcome mean;
    mean.leastShare = 0;
    for (const uint64_t seed : seeds) {
        const Outcome outcome = Replay(scene, way.choose, seed).run();
        mean.busiest += outcome.busiest / std::size(seeds);
        mean.waitMs += outcome.waitMs / std::size(seeds);
        mean.leastShare += outcome.leastShare / std::size(seeds);
    }
    BOOST_TEST_MESSAGE(scene.name << ", " << way.name << ": busiest/mean " << mean.busiest << ", 99 % wait "
                                  << mean.waitMs << " ms, least share " << mean.leastShare);
    return mean;
}

Scene sceneOf(const std::string& name)
{
    Scene scene;
    scene.name = name;
    return scene;
}

Scene unevenSlots()
{
    Scene scene = sceneOf("uneven slots");
    scene.slots = { 5, 5, 2 };
    return scene;
}

Scene eightServers()
{
    Scene scene = sceneOf("eight servers");
    scene.slots.assign(8, 5);
    scene.statementMs = 20;
    return scene;
}

Scene burst()
{
    Scene scene = sceneOf("burst, 89 hosts");
    scene.hosts = 89;
    scene.utilization = 0.5;
    scene.burst = 1.6;
    return scene;
}

Scene equalServers()
{
    Scene scene = sceneOf("equal servers at one place");
    scene.distances = false;
    return scene;
}

Scene oldReports()
{
    Scene scene = sceneOf("reports every 1.9 s");
    scene.reportMs = 1900;
    return scene;
}

Scene silentHosts()
{
    Scene scene = sceneOf("8 of 24 hosts silent");
    scene.silent = 8;
    return scene;
}

/// Returns the outcomes of a scene, one for each way; each scene is played once.
const std::vector<Outcome>& outcomesOf(const Scene& scene)
{
    static std::map<std::string, std::vector<Outcome>> known;
    std::vector<Outcome>& outcomes = known[scene.name];
    if (outcomes.empty()) {
        for (const Way& way : ways)
            outcomes.push_back(play(scene, way));
    }
    return outcomes;
}

/// Checks the outcome of the even choice as a multiple of that from the host's own knowledge.
void checkAgainstOwnKnowledge(const Scene& scene, double mostBusiest, double mostWait)
{
    const std::vector<Outcome>& outcomes = outcomesOf(scene);
    BOOST_TEST(outcomes[evenWay].busiest < mostBusiest * outcomes[ownWay].busiest);
    BOOST_TEST(outcomes[evenWay].waitMs < mostWait * outcomes[ownWay].waitMs);
}

} // namespace

BOOST_AUTO_TEST_SUITE(even_load)

BOOST_AUTO_TEST_CASE(servers_with_fewer_slots_are_not_overrun) { checkAgainstOwnKnowledge(unevenSlots(), 0.93, 0.8); }

BOOST_AUTO_TEST_CASE(work_spreads_over_many_servers) { checkAgainstOwnKnowledge(eightServers(), 0.93, 0.8); }

BOOST_AUTO_TEST_CASE(old_reports_help) { checkAgainstOwnKnowledge(oldReports(), 0.97, 0.85); }

BOOST_AUTO_TEST_CASE(hosts_without_reports_do_no_harm) { checkAgainstOwnKnowledge(silentHosts(), 1, 1); }

// Nothing to gain here: without reports the hosts' own response times spread the work evenly, too.
BOOST_AUTO_TEST_CASE(where_servers_are_equal_the_choice_stays_even)
{
    checkAgainstOwnKnowledge(equalServers(), 1, 1.1);
    checkAgainstOwnKnowledge(burst(), 1, 1.2);
}

BOOST_AUTO_TEST_CASE(the_choice_is_the_most_even_of_the_ways_that_were_weighed)
{
    const Scene scenes[] = { unevenSlots(), eightServers(), burst(), equalServers(), oldReports(), silentHosts() };
    std::vector<double> busiest(std::size(ways));
    std::vector<double> waitMs(std::size(ways));
    for (const Scene& scene : scenes) {
        const std::vector<Outcome>& outcomes = outcomesOf(scene);
        for (size_t i = 0; i < std::size(ways); ++i) {
            busiest[i] += outcomes[i].busiest / std::size(scenes);
            waitMs[i] += outcomes[i].waitMs / std::size(scenes);
        }
    }
    for (size_t i = 0; i < std::size(ways); ++i) {
        BOOST_TEST_MESSAGE(
            "all scenes, " << ways[i].name << ": busiest/mean " << busiest[i] << ", 99 % wait " << waitMs[i] << " ms");
        if (i == evenWay)
            continue;
        BOOST_TEST(busiest[evenWay] < 0.98 * busiest[i]);
        BOOST_TEST(waitMs[evenWay] < 0.95 * waitMs[i]);
    }
}

BOOST_AUTO_TEST_CASE(a_false_report_neither_attracts_nor_repels_all_work)
{
    const Outcome& own = outcomesOf(sceneOf("all hosts report"))[ownWay];
    Scene scene = sceneOf("a host reports 0");
    scene.falseRunning = 0;
    const Outcome low = play(scene, ways[evenWay]);
    BOOST_TEST(low.waitMs < own.waitMs);
    scene.name = "a host reports 9000";
    scene.falseRunning = 9000;
    const Outcome high = play(scene, ways[evenWay]);
    BOOST_TEST(high.leastShare > 0.4);
    BOOST_TEST(high.waitMs < 1.6 * own.waitMs);
}

BOOST_AUTO_TEST_SUITE_END()

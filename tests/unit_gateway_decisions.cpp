#include "gateway_settings.h"
#include "primary_positions.h"
#include "quota_exchange.h"
#include "server_choice.h"
#include "server_directory.h"
#include "work_queue.h"
#include <boost/test/unit_test.hpp>
#include <queue>
#include <random>
#include <set>

using namespace plantainwall;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

ServerEntry entryOf(const std::string& id, bool primary)
{
    ServerEntry entry;
    entry.id = id;
    entry.service = "orders";
    entry.address = "127.0.0.1:1";
    entry.primary = primary;
    return entry;
}

/// Hosts that exchange messages without delay. Messages from and to a disconnected host are lost.
struct QuotaFleet final {
    struct Channel final : PeerChannel {
        Channel(QuotaFleet& fleet, size_t self)
            : fleet(fleet)
            , self(self)
        {
        }
        void send(const std::string& address, const std::string& datagram) override
        {
            const size_t target = std::stoul(address);
            if (!fleet.disconnected[self] && !fleet.disconnected[target])
                fleet.messages.push({ target, datagram });
        }
        QuotaFleet& fleet;
        size_t self;
    };

    explicit QuotaFleet(size_t n)
        : disconnected(n)
    {
        for (size_t i = 0; i < n; ++i) {
            channels.push_back(std::make_unique<Channel>(*this, i));
            hosts.push_back(
                std::make_unique<QuotaExchange>("h" + std::to_string(i), *channels[i], [this] { return now; }));
            hosts[i]->setLimit({ "hatter", 100, 100 });
        }
        connect();
    }

    /// Sets the reachable hosts of every host.
    void connect()
    {
        for (size_t i = 0; i < hosts.size(); ++i) {
            std::map<std::string, std::string> reachableHosts;
            for (size_t j = 0; j < hosts.size(); ++j) {
                if (i != j && !disconnected[i] && !disconnected[j])
                    reachableHosts["h" + std::to_string(j)] = std::to_string(j);
            }
            hosts[i]->setFleet(reachableHosts, hosts.size());
        }
    }

    void deliver()
    {
        while (!messages.empty()) {
            const auto [target, text] = messages.front();
            messages.pop();
            hosts[target]->datagram(text);
        }
    }

    /// Requests tokens at random hosts of the given ones at the given rate and returns how many were admitted.
    unsigned requestTokens(double perSecond, Duration time, const std::vector<size_t>& targets)
    {
        unsigned admitted = 0;
        double due = 0;
        for (Duration passed {}; passed < time; passed += milliseconds(10)) {
            now += milliseconds(10);
            for (due += perSecond / 100; due >= 1; due -= 1) {
                const size_t host = targets[random() % targets.size()];
                hosts[host]->requestToken(
                    "hatter", [&admitted](QuotaBuckets::Verdict verdict) { admitted += verdict.admitted ? 1 : 0; });
                deliver();
            }
            for (const std::unique_ptr<QuotaExchange>& host : hosts)
                host->tick();
            deliver();
        }
        return admitted;
    }

    Instant now { seconds(1000) };
    std::mt19937 random { 1 };
    std::vector<bool> disconnected;
    std::queue<std::pair<size_t, std::string>> messages;
    std::vector<std::unique_ptr<Channel>> channels;
    std::vector<std::unique_ptr<QuotaExchange>> hosts;
};

std::vector<size_t> range(size_t from, size_t to)
{
    std::vector<size_t> result;
    for (size_t i = from; i < to; ++i)
        result.push_back(i);
    return result;
}

} // namespace

// Load pattern: a customer below its rate sends less than one operation per second to each of 79 hosts.
BOOST_AUTO_TEST_CASE(low_demand_on_many_hosts_is_served)
{
    QuotaFleet fleet(79);
    const unsigned admitted = fleet.requestTokens(60, seconds(20), range(0, 79));
    BOOST_TEST(admitted >= 1190U);
}

// Load pattern: a customer sends eight times its rate. No 5 s window may admit more than rate and burst.
BOOST_AUTO_TEST_CASE(hot_customer_gets_its_rate_and_no_more)
{
    QuotaFleet fleet(9);
    fleet.requestTokens(0, seconds(10), range(0, 9));
    const unsigned first = fleet.requestTokens(800, seconds(5), range(0, 9));
    BOOST_TEST(first <= 5 * 100 + 100U);
    const unsigned later = fleet.requestTokens(800, seconds(5), range(0, 9));
    BOOST_TEST(later <= 510U);
    BOOST_TEST(later >= 480U);
}

// During a network partition, the hosts on both sides together admit at most 1.1 times rate and burst, plus 20.
BOOST_AUTO_TEST_CASE(partitioned_hosts_stay_within_the_rate)
{
    QuotaFleet fleet(6);
    fleet.requestTokens(800, seconds(10), range(0, 6));
    fleet.disconnected[0] = true;
    fleet.disconnected[1] = true;
    fleet.connect();
    const unsigned admitted = fleet.requestTokens(800, seconds(5), range(0, 6));
    BOOST_TEST(admitted <= (5 * 100 + 100) * 1.1 + 20);
    BOOST_TEST(admitted >= 400U);
}

// If a quota host fails without notice, another host takes its place and operations are still admitted.
BOOST_AUTO_TEST_CASE(failed_quota_host_is_replaced)
{
    QuotaFleet fleet(6);
    fleet.requestTokens(50, seconds(10), range(0, 6));
    const size_t quotaHost = std::stoul(fleet.hosts[0]->quotaHost("hatter").substr(1));
    fleet.disconnected[quotaHost] = true; // The other hosts have not detected it yet.
    std::vector<size_t> rest = range(0, 6);
    rest.erase(rest.begin() + static_cast<ptrdiff_t>(quotaHost));
    const unsigned admitted = fleet.requestTokens(50, seconds(4), rest);
    BOOST_TEST(admitted >= 150U);
    BOOST_TEST(fleet.hosts[rest[0]]->quotaHost("hatter") != "h" + std::to_string(quotaHost));
}

BOOST_AUTO_TEST_CASE(position_covers_only_commits_acknowledged_before_the_request)
{
    PrimaryPositions positions;
    const Instant t(seconds(100));
    positions.note({ 1, 10 }, t);
    positions.note({ 1, 20 }, t + seconds(1));
    BOOST_TEST((positions.covering(t - milliseconds(1)) == LogPosition { 1, 10 }));
    BOOST_TEST((positions.covering(t + milliseconds(1)) == LogPosition { 1, 20 }));
    BOOST_TEST(!positions.covering(t + seconds(1) + milliseconds(1)).has_value());
    positions.note({ 1, 5 }, t + seconds(2)); // A late reply of an earlier primary.
    BOOST_TEST(!positions.covering(t + milliseconds(1500)).has_value());
    BOOST_TEST((laterPosition({ 2, 1 }, { 1, 99 }) == LogPosition { 2, 1 }));
}

// Load pattern: the store fails and recovers during one pending watch, so the outage is not detected. All
// registrations expire, and servers register again one by one.
BOOST_AUTO_TEST_CASE(servers_are_kept_for_the_grace_time)
{
    ServerDirectory directory;
    Instant now(seconds(100));
    for (const char* id : { "a", "b", "c" })
        directory.registerServer(entryOf(id, *id == 'a'));
    for (const char* id : { "a", "b", "c" })
        BOOST_TEST(!directory.remove(id, now));
    now += milliseconds(500);
    directory.registerServer(entryOf("b", false));
    BOOST_TEST(directory.expire(now).empty());
    BOOST_TEST(directory.members("orders").size() == 3U);
    BOOST_TEST(directory.primary("orders", now) == "a");
    now += milliseconds(2100);
    BOOST_TEST(directory.expire(now).size() == 2U);
    BOOST_TEST(directory.find("b") != nullptr);
}

BOOST_AUTO_TEST_CASE(draining_server_is_removed_at_once)
{
    ServerDirectory directory;
    const Instant now(seconds(100));
    ServerEntry entry = entryOf("a", false);
    entry.draining = true;
    directory.registerServer(entry);
    BOOST_TEST(directory.remove("a", now));
}

BOOST_AUTO_TEST_CASE(newer_term_wins_and_a_guess_is_not_a_known_primary)
{
    ServerDirectory directory;
    const Instant now(seconds(100));
    directory.registerServer(entryOf("a", true));
    directory.registerServer(entryOf("b", false));
    directory.notePrimary("orders", "b", 3);
    BOOST_TEST(directory.primary("orders", now) == "b");
    BOOST_TEST(!directory.notePrimary("orders", "a", 2));
    directory.noteNotPrimary("orders", "b", now);
    directory.noteNotPrimary("orders", "a", now);
    BOOST_TEST(directory.primary("orders", now).empty());
    ServerDirectory other;
    other.registerServer(entryOf("a", false));
    BOOST_TEST(other.primary("orders", now) == "a");
    BOOST_TEST(other.knownPrimary("orders").empty());
}

// Load pattern: one customer's backlog of 100 statements is queued before the first statement of another.
BOOST_AUTO_TEST_CASE(customers_take_turns)
{
    WorkQueue queue;
    const Instant now(seconds(100));
    for (uint64_t i = 1; i <= 100; ++i)
        BOOST_TEST(queue.push({ i, 2, "hot", false, now, now + seconds(10) }, 1000, now));
    BOOST_TEST(queue.push({ 200, 2, "small", false, now, now + seconds(10) }, 1000, now));
    BOOST_TEST(queue.push({ 300, 1, "urgent", false, now, now + seconds(10) }, 1000, now));
    const std::vector<uint64_t> order = queue.order();
    BOOST_TEST(order[0] == 300U);
    BOOST_TEST((order[1] == 1U && order[2] == 200U));
}

// Load pattern: overload. Statements that would wait beyond their limit are refused on arrival, the others are queued.
BOOST_AUTO_TEST_CASE(hopeless_work_is_refused_on_arrival)
{
    WorkQueue queue;
    const Instant now(seconds(100));
    for (uint64_t i = 1; i <= 20; ++i)
        BOOST_TEST(queue.push({ i, 2, "a", false, now, now + milliseconds(500) }, 50, now));
    BOOST_TEST(queue.push({ 30, 2, "a", false, now, now + milliseconds(500) }, 50, now));
    for (uint64_t i = 40; i < 50; ++i)
        queue.push({ i, 2, "a", false, now, now + milliseconds(500) }, 50, now);
    BOOST_TEST(!queue.push({ 60, 2, "a", false, now, now + milliseconds(500) }, 50, now));
    BOOST_TEST(queue.push({ 61, 2, "b", false, now, now + milliseconds(500) }, 50, now));
    const size_t waiting = queue.size();
    BOOST_TEST(queue.expire(now + milliseconds(500)).size() == waiting);
    BOOST_TEST(queue.empty());
}

// Load pattern: hosts send twice what the slots can run, and statements time out after 1 s. Admission control by the
// expected response time must serve more statements in time than sending everything.
BOOST_AUTO_TEST_CASE(holding_back_beats_sending_everything_under_overload)
{
    struct Outcome {
        unsigned inTime = 0;
        unsigned late = 0;
    };
    const auto simulate = [](bool holdBack) {
        constexpr double workMs = 20;
        constexpr unsigned slots = 3;
        std::mt19937 random(7);
        std::uniform_real_distribution<double> randomFraction(0, 1);
        std::exponential_distribution<double> gap(2.0 * slots / workMs);
        std::vector<double> freeAt(slots);
        ServerSpeed speed;
        Outcome outcome;
        std::priority_queue<std::pair<double, double>, std::vector<std::pair<double, double>>, std::greater<>> answers;
        for (double t = gap(random); t < 30000; t += gap(random)) {
            while (!answers.empty() && answers.top().first <= t) {
                const auto [at, response] = answers.top();
                answers.pop();
                speed.noteResponse(Duration(static_cast<int64_t>(std::min(response, 1000.0) * 1000)),
                    Instant(Duration(static_cast<int64_t>(at * 1000))));
            }
            const Instant now(Duration(static_cast<int64_t>(t * 1000)));
            if (holdBack
                && randomFraction(random)
                    >= admissionProbability(speed.expected(now), seconds(1), GatewaySettings().overloadFraction))
                continue;
            auto slot = std::min_element(freeAt.begin(), freeAt.end());
            *slot = std::max(*slot, t) + workMs;
            const double response = *slot - t;
            ++(response <= 1000 ? outcome.inTime : outcome.late);
            answers.push({ t + std::min(response, 1000.0), response });
        }
        return outcome;
    };
    const Outcome sendingEverything = simulate(false);
    const Outcome holdingBack = simulate(true);
    BOOST_TEST(holdingBack.inTime >= 2 * sendingEverything.inTime);
    BOOST_TEST(holdingBack.late * 10 <= holdingBack.inTime);
}

// Weak hosts count operations only if no strong one is reachable.
BOOST_AUTO_TEST_CASE(strong_hosts_count_operations)
{
    QuotaFleet fleet(8);
    std::map<std::string, std::string> others;
    for (int i = 1; i < 8; ++i)
        others["h" + std::to_string(i)] = std::to_string(i);
    const std::set<std::string> weak { "h0", "h1", "h2", "h4", "h5", "h6", "h7" };
    fleet.hosts[0]->setFleet(others, 8, weak);
    for (int i = 0; i < 40; ++i) {
        fleet.hosts[0]->setLimit({ "c" + std::to_string(i), 10, 10 });
        BOOST_TEST(fleet.hosts[0]->quotaHost("c" + std::to_string(i)) == "h3");
    }
    others.erase("h3");
    fleet.hosts[0]->setFleet(others, 8, weak);
    std::set<std::string> chosen;
    for (int i = 0; i < 40; ++i)
        chosen.insert(fleet.hosts[0]->quotaHost("c" + std::to_string(i)));
    BOOST_TEST(chosen.size() > 3U);
}

// Load pattern: a host with little processor capacity is busy for a while. Answers that it has not read yet do not make
// others unresponsive; those that do not come later do.
BOOST_AUTO_TEST_CASE(time_without_running_is_not_the_silence_of_others)
{
    QuotaFleet fleet(2);
    const size_t asking = fleet.hosts[0]->quotaHost("hatter") == "h0" ? 1 : 0;
    bool answered = false;
    fleet.hosts[asking]->tick();
    fleet.hosts[asking]->requestToken("hatter", [&](QuotaBuckets::Verdict) { answered = true; });
    fleet.now += milliseconds(800);
    fleet.hosts[asking]->tick();
    BOOST_TEST(fleet.hosts[asking]->unresponsiveHosts() == 0U);
    fleet.deliver();
    BOOST_TEST(answered);
    fleet.hosts[asking]->requestToken("hatter", [](QuotaBuckets::Verdict) {});
    fleet.messages = {};
    for (int i = 0; i < 12; ++i) { // Each tick is late.
        fleet.now += milliseconds(200);
        fleet.hosts[asking]->tick();
        fleet.messages = {};
    }
    BOOST_TEST(fleet.hosts[asking]->unresponsiveHosts() == 1U);
}

#include "fair_queue.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <queue>
#include <random>

using namespace plantainwall;
using std::chrono::milliseconds;

namespace {

constexpr unsigned customerCount = 8;

struct Outcome {
    double goodput[customerCount] = {}; // Requests per second finished in time.
    double p99Ms[customerCount] = {};
    double slotShare[customerCount] = {};
};

struct Trial {
    unsigned slots = 5;
    double utilisation = 0.6; // Without the extra load of the greedy customer.
    double greedyFactor = 1; // Multiple of its load that the greedy customer sends.
    bool firstCome = false; // Baseline: all requests in one queue in order of arrival.
    std::vector<double> weights = std::vector<double>(customerCount, 1);
    unsigned greedy = 0; // Index of the greedy customer.
    std::vector<double> loads = std::vector<double>(customerCount, 1); // Relative to the mean.
};

struct Arrival {
    Instant at {};
    unsigned customer = 0;
    Duration cost {};
};

std::vector<Arrival> makeArrivals(const Trial& trial, Duration length, unsigned seed)
{
    std::vector<Arrival> arrivals;
    for (unsigned i = 0; i < customerCount; ++i) {
        std::mt19937_64 random(seed * 100 + i);
        const double perMicrosecond = trial.utilisation * trial.slots / 5000.0 / customerCount * trial.loads[i]
            * (i == trial.greedy ? trial.greedyFactor : 1);
        std::exponential_distribution<double> gap(perMicrosecond);
        std::exponential_distribution<double> cost(1 / 4000.0);
        for (double t = gap(random); t < static_cast<double>(length.count()); t += gap(random)) {
            const Duration duration(1000 + static_cast<int64_t>(cost(random)));
            arrivals.push_back({ Instant(Duration(static_cast<int64_t>(t))), i, duration });
        }
    }
    std::sort(arrivals.begin(), arrivals.end(), [](const Arrival& a, const Arrival& b) { return a.at < b.at; });
    return arrivals;
}

// Runs the queue in virtual time against a database with the trial's slots; every request has a deadline of 1 s.
Outcome run(const Trial& trial, unsigned seed)
{
    const Duration length = std::chrono::seconds(60);
    const std::vector<Arrival> arrivals = makeArrivals(trial, length, seed);
    QueueSettings settings;
    if (trial.firstCome)
        settings.maxQueuedPerCustomer *= customerCount;
    FairQueue queue(settings, trial.slots);
    std::map<FairQueue::Ticket, Arrival> admitted;
    std::multimap<Instant, FairQueue::Ticket> completions;
    std::vector<double> latencies[customerCount];
    double busy[customerCount] = {};
    const std::function<void(Instant)> startAll = [&](Instant now) {
        for (const FairQueue::Decision& decision : queue.startable(now)) {
            if (!decision.refusal)
                completions.emplace(now + admitted.at(decision.ticket).cost, decision.ticket);
        }
    };
    size_t next = 0;
    while (next < arrivals.size() || !completions.empty()) {
        if (!completions.empty() && (next == arrivals.size() || completions.begin()->first <= arrivals[next].at)) {
            const auto [now, ticket] = *completions.begin();
            completions.erase(completions.begin());
            const Arrival& request = admitted.at(ticket);
            queue.finished(ticket, request.cost, now);
            busy[request.customer] += static_cast<double>(request.cost.count());
            if (now - request.at <= std::chrono::seconds(1))
                latencies[request.customer].push_back(static_cast<double>((now - request.at).count()) / 1000);
            startAll(now);
            continue;
        }
        const Arrival& arrival = arrivals[next++];
        const std::string name = trial.firstCome ? "all" : "c" + std::to_string(arrival.customer);
        const double weight = trial.firstCome ? 1 : trial.weights[arrival.customer];
        const FairQueue::Decision decision
            = queue.enqueue(name, weight, arrival.at + std::chrono::seconds(1), arrival.at);
        if (!decision.refusal)
            admitted.emplace(decision.ticket, arrival);
        startAll(arrival.at);
    }
    Outcome outcome;
    for (unsigned i = 0; i < customerCount; ++i) {
        std::sort(latencies[i].begin(), latencies[i].end());
        outcome.goodput[i] = static_cast<double>(latencies[i].size()) / 60;
        if (!latencies[i].empty())
            outcome.p99Ms[i] = latencies[i][latencies[i].size() * 99 / 100];
        outcome.slotShare[i] = busy[i] / static_cast<double>(length.count()) / trial.slots;
    }
    return outcome;
}

struct Worst {
    double goodputShare = 1;
    double p99Ratio = 0;
    double greedySlotShare = 0;
};

Worst worstOther(Trial trial, unsigned seed)
{
    trial.greedyFactor = 1;
    const bool firstCome = trial.firstCome;
    trial.firstCome = false;
    const Outcome withoutOverload = run(trial, seed);
    trial.greedyFactor = 8;
    trial.firstCome = firstCome;
    const Outcome withOverload = run(trial, seed);
    Worst worst;
    worst.greedySlotShare = withOverload.slotShare[trial.greedy];
    for (unsigned i = 0; i < customerCount; ++i) {
        if (i == trial.greedy)
            continue;
        worst.goodputShare = std::min(worst.goodputShare, withOverload.goodput[i] / withoutOverload.goodput[i]);
        worst.p99Ratio = std::max(worst.p99Ratio, withOverload.p99Ms[i] / withoutOverload.p99Ms[i]);
    }
    BOOST_TEST_MESSAGE((firstCome ? "first-come" : "fair")
        << " slots " << trial.slots << " seed " << seed << ": worst other goodput " << worst.goodputShare
        << ", worst p99 ratio " << worst.p99Ratio << ", greedy slot share " << worst.greedySlotShare);
    return worst;
}

} // namespace

// Guards against one customer at eight times its rate delaying the others, and against it getting less than its share.
// A first-come queue must miss the bounds on the same arrivals; otherwise the load would be too low for the test.
BOOST_AUTO_TEST_CASE(greedy_customer_does_not_delay_others)
{
    for (unsigned slots : { 5U, 3U }) {
        for (unsigned seed : { 1U, 2U, 3U }) {
            Trial trial;
            trial.slots = slots;
            const Worst fair = worstOther(trial, seed);
            BOOST_TEST(fair.goodputShare >= 0.99);
            BOOST_TEST(fair.p99Ratio <= 2.0);
            BOOST_TEST(fair.greedySlotShare >= 1.0 / customerCount);
            trial.firstCome = true;
            const Worst baseline = worstOther(trial, seed);
            BOOST_TEST((baseline.goodputShare < 0.99 || baseline.p99Ratio > 2.0));
        }
    }
}

// Load pattern: a few customers send most of the requests in bursts, each below its share, while a small one sends
// eight times its rate. Guards against bursts that wait behind the backlog of the customer above its share.
BOOST_AUTO_TEST_CASE(bursts_below_the_share_pass_a_backlog)
{
    for (unsigned slots : { 5U, 3U }) {
        for (unsigned seed : { 1U, 2U, 3U }) {
            Trial trial;
            trial.slots = slots;
            trial.utilisation = 0.7;
            trial.loads = { 2.29, 2.06, 1.83, 0.57, 0.46, 0.34, 0.23, 0.22 };
            trial.greedy = 3;
            const Worst worst = worstOther(trial, seed);
            BOOST_TEST(worst.goodputShare >= 0.99);
            BOOST_TEST(worst.p99Ratio <= 2.0);
            BOOST_TEST(worst.greedySlotShare >= 1.0 / customerCount);
        }
    }
}

// Guards against weights without effect and against slots that stay free while requests are queued.
BOOST_AUTO_TEST_CASE(backlogged_customers_get_slots_by_weight)
{
    Trial trial;
    trial.utilisation = 8;
    trial.weights = { 4, 2, 1, 1, 1, 1, 1, 1 };
    const Outcome outcome = run(trial, 4);
    const double total = outcome.slotShare[0] + outcome.slotShare[1] + outcome.slotShare[2] * 6;
    BOOST_TEST(total > 0.97);
    BOOST_TEST(outcome.slotShare[0] / outcome.slotShare[2] == 4.0, boost::test_tools::tolerance(0.05));
    BOOST_TEST(outcome.slotShare[1] / outcome.slotShare[2] == 2.0, boost::test_tools::tolerance(0.05));
}

// Guards against a customer that accumulates credit while idle and then blocks the others.
BOOST_AUTO_TEST_CASE(idle_time_earns_no_credit)
{
    FairQueue queue(QueueSettings(), 1);
    Instant now {};
    const Instant deadline = now + std::chrono::hours(1);
    for (unsigned i = 0; i < 100; ++i, now += milliseconds(5)) {
        const FairQueue::Ticket ticket = queue.enqueue("busy", 1, deadline, now).ticket;
        BOOST_REQUIRE_EQUAL(queue.startable(now).size(), 1U);
        queue.finished(ticket, milliseconds(5), now);
    }
    std::map<FairQueue::Ticket, std::string> owner;
    for (unsigned i = 0; i < 20; ++i) {
        for (const char* name : { "idle", "busy" })
            owner[queue.enqueue(name, 1, deadline, now).ticket] = name;
    }
    unsigned started = 0;
    for (unsigned i = 0; i < 10; ++i, now += milliseconds(5)) {
        const FairQueue::Ticket ticket = queue.startable(now).at(0).ticket;
        started += owner.at(ticket) == "idle";
        queue.finished(ticket, milliseconds(5), now);
    }
    BOOST_TEST(started >= 4U);
    BOOST_TEST(started <= 6U);
}

// Guards against requests that run after their deadline and against unbounded queues.
BOOST_AUTO_TEST_CASE(late_and_excess_requests_are_refused)
{
    FairQueue queue(QueueSettings(), 1);
    Instant now {};
    const Instant far = now + std::chrono::hours(1);
    const FairQueue::Ticket running = queue.enqueue("a", 1, far, now).ticket;
    BOOST_TEST(queue.startable(now).size() == 1U);
    // Two requests of 5 ms are ahead of a third one on a single slot.
    const FairQueue::Ticket second = queue.enqueue("a", 1, now + milliseconds(12), now).ticket;
    BOOST_TEST((queue.enqueue("a", 1, now + milliseconds(8), now).refusal == ResultCode::DeadlineTooShort));
    BOOST_TEST((queue.enqueue("b", 1, now, now).refusal == ResultCode::DeadlineTooShort));
    now += milliseconds(20);
    const std::vector<FairQueue::Decision> expired = queue.startable(now);
    BOOST_REQUIRE_EQUAL(expired.size(), 1U);
    BOOST_TEST(expired[0].ticket == second);
    BOOST_TEST((expired[0].refusal == ResultCode::DeadlineExceeded));
    std::vector<FairQueue::Ticket> tickets;
    for (unsigned i = 0; i < 64; ++i)
        tickets.push_back(queue.enqueue("a", 1, far, now).ticket);
    BOOST_TEST((queue.enqueue("a", 1, far, now).refusal == ResultCode::QueueFull));
    BOOST_TEST(!queue.enqueue("b", 1, far, now).refusal);
    for (FairQueue::Ticket ticket : tickets)
        BOOST_TEST(queue.cancel(ticket));
    BOOST_TEST(!queue.cancel(running));
    queue.finished(running, milliseconds(20), now);
    BOOST_TEST(queue.queued() == 1U);
    BOOST_TEST(queue.startable(now).size() == 1U);
}

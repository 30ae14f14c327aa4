#include "support_customers.h"
#include "support_load.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace plantainwall::test;

namespace {

using Steady = std::chrono::steady_clock;

constexpr double rate = 100; // Requests per second.
constexpr double burst = 60;
// Each host alone gets three times the customer's rate.
constexpr double overload = 3 * rate;

/// A fleet whose team "hats" has the rate and burst above, in force everywhere.
class LimitedFleet {
public:
    explicit LimitedFleet(const std::string& settings = {}, double fleetRate = rate, double fleetBurst = burst)
        : m_fleet(options(settings))
    {
        const uint64_t revision = m_fleet.operators().set("teams/hats/limits",
            "rate_per_s = " + std::to_string(fleetRate) + "\nburst = " + std::to_string(fleetBurst));
        BOOST_REQUIRE(inForceEverywhere(m_fleet, revision));
        // Limits are read every 250 ms after the configuration is in force; the design allows 3 s in total.
        std::this_thread::sleep_for(inForceLimit);
    }

    Fleet& fleet() { return m_fleet; }

    void start(double perSecond)
    {
        for (size_t i = 0; i < m_fleet.size(); ++i)
            m_loads.push_back(std::make_unique<OpenLoad>(m_fleet.at(i), m_fleet.key(), perSecond));
    }

    /// Ends the load and checks all windows. Returns the number of admitted requests.
    size_t finish()
    {
        std::vector<LoadRecord> all;
        for (const std::unique_ptr<OpenLoad>& load : m_loads) {
            const std::vector<LoadRecord> records = load->stop();
            all.insert(all.end(), records.begin(), records.end());
        }
        const size_t admitted = static_cast<size_t>(
            std::count_if(all.begin(), all.end(), [](const LoadRecord& record) { return record.name == "ok"; }));
        const double excess = largestExcess(all, rate, burst);
        BOOST_TEST_MESSAGE(all.size() << " requests, " << admitted << " admitted, largest excess " << excess);
        BOOST_TEST(excess <= 0);
        return admitted;
    }

private:
    static Fleet::Options options(const std::string& settings)
    {
        Fleet::Options options;
        options.settings = settings;
        return options;
    }

    Fleet m_fleet;
    std::vector<std::unique_ptr<OpenLoad>> m_loads;
};

void sleepSeconds(double seconds) { std::this_thread::sleep_for(std::chrono::duration<double>(seconds)); }

} // namespace

// Guards against hosts that each admit a customer's whole rate, or loans that count twice.
BOOST_AUTO_TEST_CASE(overload_at_every_host)
{
    LimitedFleet limited;
    limited.start(overload);
    sleepSeconds(8);
    // The customer gets its share, not nothing: at least half of its rate, which the unconditional seats alone give.
    BOOST_TEST(limited.finish() >= rate / 2 * 8);
}

// Guards against a host that starts with full buckets, and seats that the old and the new process both use.
BOOST_AUTO_TEST_CASE(host_killed_and_restarted)
{
    LimitedFleet limited;
    limited.start(overload);
    sleepSeconds(2);
    for (size_t i = 1; i < 3; ++i) {
        EntryHost& host = limited.fleet().host(i);
        host.process().kill();
        BOOST_REQUIRE(host.process().wait(Milliseconds(2000)));
        sleepSeconds(0.5);
        host.restart();
        host.waitUntilHealthy();
        sleepSeconds(4);
    }
    BOOST_TEST(limited.finish() > 0U);
}

// Guards against a host that goes on after a pause with shares that other hosts have taken over meanwhile.
BOOST_AUTO_TEST_CASE(host_paused_longer_than_its_lease)
{
    LimitedFleet limited("[limit]\nseat_lease = \"3s\"\nseat_renewal = \"1s\"\n");
    limited.start(overload);
    sleepSeconds(2);
    limited.fleet().host(1).process().pause();
    sleepSeconds(7); // Longer than the lease of a seat (3 s) and of a loan (2 s), and until others count it as silent.
    limited.fleet().host(1).process().resume();
    sleepSeconds(3);
    BOOST_TEST(limited.finish() > 0U);
}

// Guards against hosts that share out a customer's rate anew while the store does not answer.
BOOST_AUTO_TEST_CASE(store_down)
{
    LimitedFleet limited("[limit]\nseat_lease = \"3s\"\nseat_renewal = \"1s\"\n");
    limited.start(overload);
    sleepSeconds(2);
    limited.fleet().platform().setFault("down");
    sleepSeconds(6);
    limited.fleet().platform().setFault("up");
    sleepSeconds(4);
    // Half of the rate stays during the outage.
    BOOST_TEST(limited.finish() >= rate / 2 * 8);
}

// Guards against refusals of a customer that stays within its rate but uses one host only.
BOOST_AUTO_TEST_CASE(skewed_load_within_the_rate)
{
    constexpr double fleetRate = 200;
    LimitedFleet limited({}, fleetRate, fleetRate);
    OpenLoad load(limited.fleet().at(1), limited.fleet().key(), 0.8 * fleetRate);
    const Steady::time_point counted = Steady::now() + std::chrono::seconds(5);
    sleepSeconds(15);
    size_t total = 0;
    size_t refused = 0;
    for (const LoadRecord& record : load.stop()) {
        if (record.sent < counted)
            continue;
        ++total;
        refused += record.name == "ok" ? 0 : 1;
    }
    BOOST_TEST_MESSAGE(refused << " of " << total << " refused");
    BOOST_TEST(total > 0U);
    BOOST_TEST(static_cast<double>(refused) <= 0.001 * static_cast<double>(total));
}

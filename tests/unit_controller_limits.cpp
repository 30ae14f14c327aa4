#include "filter_rate.h"
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Store in memory; leases do not end during the test.
class MemoryStore final : public Store {
public:
    pplx::task<std::optional<StoreEntry>> get(std::string_view) override { throw std::logic_error("not used"); }

    pplx::task<StoreListing> list(std::string_view) override
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        StoreListing listing;
        for (const auto& [key, entry] : m_entries)
            listing.entries.push_back(entry);
        return pplx::task_from_result(listing);
    }

    pplx::task<SwapResult> compareAndSwap(
        std::string_view key, uint64_t expected, std::optional<std::string> value, std::string_view) override
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        StoreEntry& entry = m_entries[std::string(key)];
        if (entry.revision != expected)
            return pplx::task_from_result(SwapResult { false, entry.revision });
        entry = StoreEntry { std::string(key), std::move(value), ++m_revision };
        return pplx::task_from_result(SwapResult { true, m_revision });
    }

    pplx::task<StoreListing> watch(std::string_view, uint64_t, Duration) override
    {
        throw std::logic_error("not used");
    }

    pplx::task<std::string> grantLease(Duration) override
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        return pplx::task_from_result("lease" + std::to_string(++m_revision));
    }

    pplx::task<bool> renewLease(std::string_view) override { return pplx::task_from_result(true); }
    pplx::task<void> revokeLease(std::string_view) override { return pplx::task_from_result(); }

    pplx::task<std::vector<PlatformHost>> hosts() override
    {
        std::vector<PlatformHost> list;
        for (const char* name : { "h0", "h1", "h2" })
            list.push_back({ name, PlatformHostState::Live });
        return pplx::task_from_result(list);
    }

private:
    std::mutex m_mutex;
    std::map<std::string, StoreEntry> m_entries;
    uint64_t m_revision = 0;
};

class FixedConfig final : public ConfigView {
public:
    FixedConfig()
    {
        std::shared_ptr<ConfigSnapshot> snapshot = std::make_shared<ConfigSnapshot>();
        snapshot->revision = 1;
        snapshot->customers["c"].ratePerSecond = 200;
        snapshot->customers["c"].burst = 100;
        m_snapshot = snapshot;
    }

    std::shared_ptr<const ConfigSnapshot> current() const override { return m_snapshot; }
    Duration age(Instant) const override { return Duration(0); }

private:
    std::shared_ptr<const ConfigSnapshot> m_snapshot;
};

/// Three hosts whose control calls run on the thread pool.
struct Fleet {
    explicit Fleet(unsigned rateSlices = LimitSettings().rateSlices)
    {
        for (unsigned i = 0; i < 3; ++i) {
            Settings settings;
            settings.host = "h" + std::to_string(i);
            settings.limit.rateSlices = rateSlices;
            settings.peerPort = static_cast<uint16_t>(i + 1);
            settings.seedPeers = { "127.0.0.1:1" };
            const PeerCall call = [this](std::string_view address, const std::string& method, const std::string& params,
                                      Duration) { return this->call(address, method, params); };
            membership[i] = std::make_shared<MembershipController>(settings, 1, call, store, config, scheduler);
            limits[i] = std::make_shared<LimitsController>(settings, 1, call, store, config, membership[i], scheduler);
        }
        for (unsigned i = 0; i < 3; ++i) {
            membership[i]->start();
            limits[i]->start();
        }
    }

    ~Fleet()
    {
        scheduler.reset();
        while (pending)
            std::this_thread::sleep_for(milliseconds(5));
    }

    pplx::task<std::string> call(std::string_view address, const std::string& method, const std::string& params)
    {
        const size_t to = static_cast<size_t>(address.back() - '1');
        ++pending;
        return pplx::create_task([this, to, method, params] {
            if (method == LimitsController::shareMethod)
                std::this_thread::sleep_for(milliseconds(shareDelayMs));
            std::string result = method == MembershipController::gossipMethod ? membership[to]->handleGossip(params)
                                                                              : limits[to]->handleShares(params);
            --pending;
            return result;
        });
    }

    std::atomic<unsigned> pending { 0 };
    std::atomic<unsigned> shareDelayMs { 0 };
    std::shared_ptr<Store> store = std::make_shared<MemoryStore>();
    std::shared_ptr<const ConfigView> config = std::make_shared<FixedConfig>();
    std::shared_ptr<Scheduler> scheduler = makeScheduler();
    std::shared_ptr<MembershipController> membership[3];
    std::shared_ptr<LimitsController> limits[3];
};

struct Counts {
    unsigned admitted = 0;
    unsigned refused = 0;
};

/// Sends requests through the rate filter of one host at a steady rate.
Counts load(Fleet& fleet, unsigned host, unsigned perSecond, Duration length)
{
    std::atomic<unsigned> admitted { 0 };
    std::atomic<unsigned> refused { 0 };
    std::atomic<unsigned> open { 0 };

    class Last final : public Filter {
    public:
        std::string_view name() const override { return "last"; }
        void handle(const RequestContextPtr& context, FilterChain&) override
        {
            MemberAnswer answer;
            answer.code = ResultCode::Ok;
            context->finish(answer);
        }
    };

    FilterChain chain({ std::make_shared<RateFilter>(fleet.limits[host]), std::make_shared<Last>() });
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    const unsigned total = static_cast<unsigned>(length.count() * perSecond / 1000000);
    for (unsigned i = 0; i < total; ++i) {
        std::this_thread::sleep_until(start + Duration(1000000) * i / perSecond);
        const RequestContextPtr context = std::make_shared<RequestContext>();
        context->customer = "c";
        context->finish = [&](const MemberAnswer& answer) {
            ++(answer.code == ResultCode::Ok ? admitted : refused);
            --open;
        };
        ++open;
        chain.next(context);
    }
    while (open)
        std::this_thread::sleep_for(milliseconds(5));
    return { admitted, refused };
}

/// Waits until the seats are held. Returns a host without any.
unsigned settledBorrower(Fleet& fleet)
{
    std::this_thread::sleep_for(seconds(5));
    unsigned borrower = 0;
    while (borrower < 2 && fleet.limits[borrower]->usable("c") > 0)
        ++borrower;
    return borrower;
}

} // namespace

// Guards against controllers that do not find each other, claim no seats or move no shares, and against admissions
// beyond the limit in a running fleet.
BOOST_AUTO_TEST_CASE(one_host_gets_the_whole_rate)
{
    Fleet fleet;
    std::this_thread::sleep_for(seconds(5));
    ShareUnits sum = 0;
    for (const std::shared_ptr<LimitsController>& limits : fleet.limits)
        sum += limits->usable("c");
    BOOST_TEST(sum <= wholeShare);
    BOOST_TEST(sum > wholeShare - 100);
    BOOST_TEST(fleet.membership[0]->hosts().size() == 3U);
    const Counts within = load(fleet, 1, 160, seconds(3));
    BOOST_TEST_MESSAGE(
        "160/s of 200/s on one of 3 hosts: admitted " << within.admitted << ", refused " << within.refused);
    BOOST_TEST(within.refused == 0U);
    const Counts beyond = load(fleet, 2, 1000, seconds(3));
    BOOST_TEST_MESSAGE(
        "1000/s of 200/s on one of 3 hosts: admitted " << beyond.admitted << ", refused " << beyond.refused);
    // Three seconds at the rate, the waiting time of the last requests, and the burst.
    BOOST_TEST(beyond.admitted <= 100 + 200 * 3.2);
    BOOST_TEST(beyond.admitted >= 500U);
    BOOST_TEST(beyond.refused > 1000U);
}

// Guards against refusing requests within the customer's rate because a loan is answered late, as between busy hosts:
// promise.graceful-shutdown.under-load saw 429 with an unused rate.
BOOST_AUTO_TEST_CASE(slow_loans_refuse_nothing_within_the_rate)
{
    Fleet fleet(1);
    const unsigned borrower = settledBorrower(fleet);
    BOOST_REQUIRE(fleet.limits[borrower]->usable("c") == 0);
    fleet.shareDelayMs = 100;
    const Counts within = load(fleet, borrower, 50, seconds(3));
    BOOST_TEST(within.refused == 0U);
    fleet.shareDelayMs = 0;
}

// Guards against holding requests beyond the rate while loans are refused.
BOOST_AUTO_TEST_CASE(requests_beyond_the_rate_are_refused_soon)
{
    Fleet fleet(1);
    const unsigned borrower = settledBorrower(fleet);
    load(fleet, borrower, 1000, seconds(1));
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    const Counts beyond = load(fleet, borrower, 1000, seconds(1));
    BOOST_TEST(beyond.refused > 500U);
    // The last request waits for a loan of maxLoanWait and its answer; a busy machine gets as much again.
    BOOST_TEST(((std::chrono::steady_clock::now() - start) < seconds(1) + 2 * loanAnswerTimeout));
}

#include "request_memory.h"
#include <boost/test/unit_test.hpp>
#include <memory>

using namespace plantainwall;

namespace {

constexpr size_t kibibyte = 1024;
constexpr size_t total = 8 * 1024 * kibibyte;
constexpr size_t large = 1024 * kibibyte;
constexpr size_t withoutReserve = total / 8 * 7 / large; ///< Large requests that fit.

struct MemoryFixture {
    RequestAccount& add()
    {
        const size_t i = accounts.size();
        accounts.push_back(std::make_unique<RequestAccount>(memory, [this, i] { ended.push_back(i); }));
        return *accounts.back();
    }

    /// Adds large requests until nothing but the reserve is left.
    void fill()
    {
        for (size_t i = 0; i < withoutReserve; ++i)
            BOOST_TEST(add().reserve(large, now));
    }

    RequestMemory memory { total };
    Instant now { std::chrono::seconds(100) };
    std::vector<size_t> ended; ///< Indices of the accounts, in the order in which they were ended.
    std::vector<std::unique_ptr<RequestAccount>> accounts;
};

} // namespace

// Guards against requests whose memory is given twice, or not given back.
BOOST_FIXTURE_TEST_CASE(requests_get_memory_up_to_the_limit, MemoryFixture)
{
    fill();
    BOOST_TEST(memory.held() == withoutReserve * large);
    BOOST_TEST(!add().reserve(large, now));
    BOOST_TEST(memory.held() == withoutReserve * large);
    accounts.erase(accounts.begin());
    BOOST_TEST(accounts.back()->reserve(large, now));
    BOOST_TEST(accounts.back()->reserve(large / 2, now)); // Holds it already.
    BOOST_TEST(memory.held() == withoutReserve * large);
    accounts.clear();
    BOOST_TEST(memory.held() == 0U);
}

// Guards against crowds of large requests that keep small ones from being served.
BOOST_FIXTURE_TEST_CASE(small_requests_use_the_reserve, MemoryFixture)
{
    fill();
    BOOST_TEST(!add().reserve(RequestMemory::smallBytes + 1, now));
    for (size_t i = 0; i < total / 8 / RequestMemory::smallBytes; ++i)
        BOOST_TEST(add().reserve(RequestMemory::smallBytes, now));
    BOOST_TEST(memory.held() == total);
    BOOST_TEST(!add().reserve(1, now));
    BOOST_TEST(ended.empty());
}

// Guards against requests that stop half-way and hold memory that others need, and against ends without need.
BOOST_FIXTURE_TEST_CASE(slow_requests_make_room_the_largest_first, MemoryFixture)
{
    for (const size_t bytes : { large, 3 * large, 2 * large })
        BOOST_TEST(add().reserve(bytes, now));
    RequestAccount& recent = add();
    now += RequestMemory::slowLimit - Duration(1);
    BOOST_TEST(recent.reserve(large, now));
    BOOST_TEST(!add().reserve(large, now));
    BOOST_TEST(ended.empty());
    now += Duration(1);
    BOOST_TEST(!accounts.back()->reserve(4 * large, now));
    BOOST_TEST(ended == (std::vector<size_t> { 1, 2 }), boost::test_tools::per_element());
    BOOST_TEST(!accounts.back()->reserve(4 * large, now)); // Those are about to end.
    BOOST_TEST(ended.size() == 2U);
    BOOST_TEST(memory.ended() == 2U);
    accounts[1].reset();
    accounts[2].reset();
    BOOST_TEST(accounts.back()->reserve(4 * large, now));
}

// Guards against running requests that are ended, whose outcome the caller would not know.
BOOST_FIXTURE_TEST_CASE(running_requests_are_not_ended, MemoryFixture)
{
    fill();
    for (const std::unique_ptr<RequestAccount>& account : accounts)
        account->setRunning();
    now += 10 * RequestMemory::slowLimit;
    BOOST_TEST(!add().reserve(large, now));
    BOOST_TEST(ended.empty());
    accounts[3]->setAnswering(1, now); // An answer that is read too slowly.
    now += RequestMemory::slowLimit;
    BOOST_TEST(!accounts.back()->reserve(large, now));
    BOOST_TEST(ended == std::vector<size_t> { 3 }, boost::test_tools::per_element());
}

// Guards against a request that ends itself because it grows.
BOOST_FIXTURE_TEST_CASE(growing_request_does_not_end_itself, MemoryFixture)
{
    BOOST_TEST(add().reserve(large, now));
    now += RequestMemory::slowLimit;
    BOOST_TEST(!accounts.back()->reserve(total, now));
    BOOST_TEST(ended.empty());
}

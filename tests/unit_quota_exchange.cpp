#include "quota_exchange.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct FakeChannel final : PeerChannel {
    void send(const std::string&, const std::string& datagram) override { sent.push_back(datagram); }

    std::string last() const { return sent.empty() ? std::string() : sent.back(); }

    std::vector<std::string> sent;
};

/// A host "b" that counts the operations of a customer with two tokens, half of its burst, and a host "a" that requests
/// tokens from it.
struct Pair {
    Pair()
    {
        // The host that counts is the only strong one.
        asking.setFleet({ { "b", "2" } }, 2, { "a" });
        counting.setFleet({ { "a", "1" } }, 2, { "a" });
        for (QuotaExchange* const it : { &asking, &counting })
            it->setLimit({ "hatter", 0.001, 4 });
    }

    /// Requests a token and returns the datagram.
    std::string request()
    {
        asking.requestToken("hatter", [this](QuotaBuckets::Verdict verdict) { verdicts.push_back(verdict.admitted); });
        return fromAsking.last();
    }

    /// Passes a datagram to the counting host and returns its answer.
    std::string answerTo(const std::string& datagram)
    {
        BOOST_TEST(counting.datagram(datagram));
        return fromCounting.last();
    }

    Instant now { seconds(1000) };
    FakeChannel fromAsking;
    FakeChannel fromCounting;
    QuotaExchange asking { "a", fromAsking, [this] { return now; }, 1 };
    QuotaExchange counting { "b", fromCounting, [this] { return now; }, 1 };
    std::vector<bool> verdicts;
};

} // namespace

// A request is sent again if its answer is late, and the network may repeat a datagram. A token for each copy would
// refuse the customer's later operations.
BOOST_FIXTURE_TEST_CASE(a_repeated_request_takes_one_token, Pair)
{
    const std::string first = request();
    const std::string answer = answerTo(first);
    now += milliseconds(150);
    asking.tick();
    BOOST_TEST(fromAsking.sent.size() == 2U);
    BOOST_TEST(fromAsking.last() == first);
    BOOST_TEST(answerTo(fromAsking.last()) == answer);
    BOOST_TEST(asking.datagram(answer));
    BOOST_TEST(asking.datagram(answer));
    BOOST_TEST(asking.datagram(answerTo(request())));
    BOOST_TEST((verdicts == std::vector<bool> { true, true }));
    BOOST_TEST(asking.datagram(answerTo(request())));
    BOOST_TEST((verdicts == std::vector<bool> { true, true, false }));
}

// A number that is used again, by a process of a version that begins with 1, must not get the old answer for ever.
BOOST_FIXTURE_TEST_CASE(answers_are_kept_for_repeated_requests_only, Pair)
{
    counting.setLimit({ "baker", 0.001, 2 });
    const std::string first = request();
    answerTo(first);
    const std::string other = first.substr(0, first.rfind(' ')) + " baker";
    BOOST_TEST(answerTo(other).find(" 1 ") != std::string::npos);
    BOOST_TEST(answerTo(other).find(" 1 ") != std::string::npos);
    now += seconds(5);
    counting.tick();
    BOOST_TEST(answerTo(other).find(" 0 ") != std::string::npos);
}

// An answer to a request of this host's earlier process must not admit an operation of another customer.
BOOST_FIXTURE_TEST_CASE(an_answer_to_an_earlier_process_is_ignored, Pair)
{
    const std::string answer = answerTo(request());
    QuotaExchange restarted(
        "a", fromAsking, [this] { return now; }, firstPeerRequest(2));
    restarted.setFleet({ { "b", "2" } }, 2, { "a" });
    restarted.setLimit({ "baker", 1, 1 });
    size_t verdictCount = 0;
    restarted.requestToken("baker", [&](QuotaBuckets::Verdict) { ++verdictCount; });
    BOOST_TEST(restarted.datagram(answer));
    BOOST_TEST(verdictCount == 0U);
}

#include "link_message.h"
#include "server_choice.h"
#include "server_load.h"
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <limits>

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Instant start(std::chrono::hours(1));

ServerLoadSample sampleOf(double running, double waiting = 0, Duration response = milliseconds(20))
{
    ServerLoadSample sample;
    sample.running = running;
    sample.waiting = waiting;
    sample.responseTime = response;
    return sample;
}

ServerCandidate candidateWith(std::optional<double> running)
{
    ServerCandidate candidate;
    candidate.expected = milliseconds(25);
    candidate.slots = 5;
    candidate.connected = true;
    candidate.usable = true;
    if (running) {
        candidate.load.emplace();
        candidate.load->running = *running;
    }
    return candidate;
}

/// Returns the parts of the choices that candidates get.
std::vector<double> partsOf(const std::vector<ServerCandidate>& candidates)
{
    constexpr unsigned draws = 10000;
    std::vector<double> parts(candidates.size());
    for (unsigned i = 0; i < draws; ++i)
        parts[*chooseEvenly(candidates, (i + 0.5) / draws)] += 1.0 / draws;
    return parts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(server_load)

BOOST_AUTO_TEST_CASE(reports_of_all_hosts_add_up)
{
    ServerLoads loads;
    BOOST_TEST(loads.note("a", "h1", sampleOf(2, 1), start, start));
    BOOST_TEST(loads.note("a", "h2", sampleOf(3, 0, milliseconds(50)), start - milliseconds(400), start));
    const std::optional<ServerLoads::Estimate> estimate = loads.estimate("a", start + milliseconds(100));
    BOOST_REQUIRE(estimate.has_value());
    BOOST_TEST(estimate->running == 5);
    BOOST_TEST(estimate->waiting == 1);
    BOOST_TEST((estimate->responseTime == milliseconds(50)));
    BOOST_TEST((estimate->age == milliseconds(500)));
    BOOST_TEST(estimate->sources == 2U);
}

// A host hears of one lender of a server and of two of another one; the second server is not busier for that.
BOOST_AUTO_TEST_CASE(reports_that_cover_all_hosts_do_not_add_up)
{
    ServerLoads loads;
    ServerLoadSample first = sampleOf(4, 2);
    first.coversReceiver = true;
    ServerLoadSample second = sampleOf(8);
    second.coversReceiver = true;
    BOOST_TEST(loads.noteComplete("h1", { { "a", sampleOf(3) } }, start, start));
    BOOST_TEST(loads.note("a", "lender1", first, start, start));
    BOOST_TEST(loads.note("a", "lender2", second, start, start));
    BOOST_TEST(loads.note("b", "lender1", first, start, start));
    BOOST_TEST(loads.estimate("a", start)->running == 6);
    BOOST_TEST(loads.estimate("a", start)->waiting == 1);
    BOOST_TEST(loads.estimate("a", start)->sources == 2U);
    BOOST_TEST(loads.estimate("b", start)->running == 4);
}

BOOST_AUTO_TEST_CASE(absence_is_no_load_of_zero)
{
    ServerLoads loads;
    loads.noteOwnChoice("a", start);
    BOOST_TEST(!loads.estimate("a", start).has_value());
    BOOST_TEST(loads.note("a", "h1", sampleOf(2), start, start));
    BOOST_TEST(loads.estimate("a", start + seconds(2)).has_value());
    BOOST_TEST(!loads.estimate("a", start + seconds(2) + milliseconds(1)).has_value());
    BOOST_TEST(!loads.estimate("b", start).has_value());
}

BOOST_AUTO_TEST_CASE(a_complete_report_tells_of_servers_without_load)
{
    ServerLoads loads;
    BOOST_TEST(loads.noteComplete("h1", { { "a", sampleOf(4) } }, start, start));
    BOOST_TEST(loads.estimate("a", start)->running == 4);
    BOOST_TEST(loads.estimate("b", start)->running == 0);
    BOOST_TEST(loads.noteComplete("h1", { { "b", sampleOf(3) } }, start + milliseconds(1), start + seconds(1)));
    BOOST_TEST(loads.estimate("a", start + seconds(1))->running == 0);
    BOOST_TEST(loads.estimate("a", start + seconds(1))->sources == 1U);
    BOOST_TEST(loads.estimate("b", start + seconds(1))->running == 3);
    loads.forgetSource("h1");
    BOOST_TEST(!loads.estimate("b", start + seconds(1)).has_value());
}

BOOST_AUTO_TEST_CASE(own_choices_count_until_a_report_covers_them)
{
    ServerLoads loads;
    loads.noteOwnChoice("a", start);
    loads.noteOwnChoice("a", start + milliseconds(20));
    ServerLoadSample lent = sampleOf(1);
    lent.coversReceiver = true;
    BOOST_TEST(loads.note("a", "lender", lent, start + milliseconds(10), start + milliseconds(30)));
    BOOST_TEST(loads.estimate("a", start + milliseconds(30))->running == 2);
    loads.noteOwnEnd("a", start + milliseconds(20));
    BOOST_TEST(loads.estimate("a", start + milliseconds(30))->running == 1);

    ServerLoads peers;
    peers.noteOwnChoice("a", start);
    BOOST_TEST(peers.note("a", "peer", sampleOf(1), start + milliseconds(10), start + milliseconds(30)));
    BOOST_TEST(peers.estimate("a", start + milliseconds(30))->running == 2);
}

BOOST_AUTO_TEST_CASE(values_that_cannot_be_are_rejected_and_counted)
{
    ServerLoads loads;
    const double odd[] = { -1, 1e9, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity() };
    for (const double n : odd) {
        BOOST_TEST(!loads.note("a", "h1", sampleOf(n), start, start));
        BOOST_TEST(!loads.note("a", "h1", sampleOf(1, n), start, start));
        BOOST_TEST(!loads.noteComplete("h1", { { "a", sampleOf(1) }, { "b", sampleOf(n) } }, start, start));
    }
    BOOST_TEST(!loads.note("a", "h1", sampleOf(1, 0, milliseconds(-1)), start, start));
    BOOST_TEST(!loads.note("a", "h1", sampleOf(1, 0, std::chrono::hours(1)), start, start));
    BOOST_TEST(!loads.note("a", "h1", sampleOf(1), start + milliseconds(1), start));
    BOOST_TEST(!loads.noteComplete("h1", {}, start + milliseconds(1), start));
    BOOST_TEST(loads.rejected() == 16U);
    BOOST_TEST(!loads.estimate("a", start).has_value());
    BOOST_TEST(loads.note("a", "h1", sampleOf(1), start, start));
    BOOST_TEST(!loads.note("a", "h1", sampleOf(5), start - milliseconds(1), start));
    BOOST_TEST(loads.estimate("a", start)->running == 1);
}

BOOST_AUTO_TEST_CASE(memory_is_bounded)
{
    ServerLoads::Settings settings;
    settings.maxServers = 3;
    settings.maxSources = 2;
    settings.maxOwnChoices = 4;
    ServerLoads loads(settings);
    for (int i = 0; i < 10; ++i)
        loads.note("s" + std::to_string(i), "h1", sampleOf(1), start, start);
    BOOST_TEST(loads.rejected() == 7U);
    BOOST_TEST(loads.note("s0", "h2", sampleOf(1), start, start));
    BOOST_TEST(!loads.note("s0", "h3", sampleOf(1), start, start));
    for (int i = 0; i < 10; ++i)
        loads.noteOwnChoice("s0", start + milliseconds(i));
    BOOST_TEST(loads.estimate("s0", start)->running == 6);
}

BOOST_AUTO_TEST_CASE(a_meter_keeps_a_mean_over_time)
{
    ServerLoadMeter meter;
    meter.setRunning(4, start);
    BOOST_TEST(meter.sample(0, start).running < 0.1);
    BOOST_TEST(std::abs(meter.sample(0, start + seconds(10)).running - 4) < 0.1);
    meter.setRunning(0, start + seconds(10));
    const double later = meter.sample(3, start + seconds(11)).running;
    BOOST_TEST(later > 1);
    BOOST_TEST(later < 2);
    meter.noteResponse(milliseconds(30), start + seconds(11));
    BOOST_TEST((meter.sample(0, start + seconds(12)).responseTime == milliseconds(30)));
    BOOST_TEST((meter.sample(0, start + seconds(20)).responseTime == Duration(0)));
}

BOOST_AUTO_TEST_CASE(a_sample_survives_its_encoding_nearly)
{
    for (const double n : { 0.0, 0.25, 1.0, 5.0, 17.0, 50.0 }) {
        const std::string text = encodeServerLoad(sampleOf(n, n / 2, milliseconds(40)));
        BOOST_TEST(text.size() == 3U);
        const ServerLoadSample sample = decodeServerLoad(text);
        BOOST_TEST(std::abs(sample.running - n) <= n / 12 + 0.01);
        BOOST_TEST(std::abs(sample.waiting - n / 2) <= n / 12 + 0.01);
        BOOST_TEST(std::abs(static_cast<double>(sample.responseTime.count()) - 40000) < 8000);
    }
    BOOST_CHECK_THROW(decodeServerLoad("AA"), std::exception);
    BOOST_CHECK_THROW(decodeServerLoad("A\"A"), std::exception);
}

BOOST_AUTO_TEST_CASE(a_list_names_only_servers_with_load_and_is_bounded)
{
    const std::vector<std::string> known { "i-1", "i-2", "i-3" };
    const std::string text
        = encodeServerLoads({ { "i-1", sampleOf(2) }, { "i-2", sampleOf(0.01) }, { "i-9", sampleOf(1) } });
    BOOST_TEST(text.size() == 12U);
    const ServerLoadList list = decodeServerLoads(text, known);
    BOOST_REQUIRE(list.size() == 1U);
    BOOST_TEST(list[0].first == "i-1");
    BOOST_TEST(encodeServerLoads({}).empty());
    ServerLoadList many;
    for (int i = 0; i < 200; ++i)
        many.emplace_back("i-" + std::to_string(i), sampleOf(i));
    BOOST_TEST(encodeServerLoads(many).size() == 6U * 64U);
    BOOST_CHECK_THROW(decodeServerLoads("AAAA", known), std::exception);
    BOOST_CHECK_THROW(decodeServerLoads(std::string(6 * 65, 'A'), known), std::exception);
}

BOOST_AUTO_TEST_CASE(a_lender_tells_the_load_when_a_connection_opens)
{
    LinkMessage message;
    message.kind = LinkMessageKind::Opened;
    message.link = 7;
    BOOST_TEST(encodeLinkMessage(message, LinkFormat::Strings).value() == "[\"O\",7]");
    BOOST_TEST(!decodeLinkMessage("[\"O\",7]").load.has_value());
    message.load = sampleOf(5);
    const LinkMessage decoded = decodeLinkMessage(encodeLinkMessage(message, LinkFormat::Strings).value());
    BOOST_REQUIRE(decoded.load.has_value());
    BOOST_TEST(std::abs(decoded.load->running - 5) < 0.5);
    // The link opens whatever the field holds; ServerLoads rejects the sample.
    for (const char* const odd : { "[\"O\",7,\"!\"]", "[\"O\",7,5]", "[\"O\",7,null]" }) {
        const LinkMessage opened = decodeLinkMessage(odd);
        ServerLoads loads;
        BOOST_REQUIRE(opened.load.has_value());
        BOOST_TEST(!loads.note("a", "h1", *opened.load, start, start));
    }
}

BOOST_AUTO_TEST_CASE(the_loaded_server_gets_less_and_never_nothing)
{
    const std::vector<double> parts = partsOf({ candidateWith(2), candidateWith(2), candidateWith(12) });
    BOOST_TEST(parts[2] < 0.1);
    BOOST_TEST(parts[2] > 0.001);
    BOOST_TEST(std::abs(parts[0] - parts[1]) < 0.01);
    const std::vector<double> absurd = partsOf({ candidateWith(2), candidateWith(2), candidateWith(9000) });
    BOOST_TEST(absurd[2] > 0.001);
    const std::vector<double> zero = partsOf({ candidateWith(2), candidateWith(2), candidateWith(0) });
    BOOST_TEST(zero[2] < 0.9);
}

BOOST_AUTO_TEST_CASE(without_two_known_loads_the_choice_is_that_of_the_own_knowledge)
{
    const std::vector<ServerCandidate> candidates { candidateWith(std::nullopt), candidateWith(40),
        candidateWith(std::nullopt) };
    for (double fraction = 0; fraction < 1; fraction += 0.05)
        BOOST_TEST(*chooseEvenly(candidates, fraction) == *chooseServer(candidates, fraction));
    std::vector<ServerCandidate> unusable { candidateWith(1), candidateWith(1) };
    unusable[0].usable = false;
    BOOST_TEST(*chooseEvenly(unusable, 0.1) == 1U);
    unusable[1].usable = false;
    BOOST_TEST(!chooseEvenly(unusable, 0.1).has_value());
    BOOST_TEST(!chooseEvenly({}, 0.1).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

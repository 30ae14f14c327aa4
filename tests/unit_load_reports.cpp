#include "support_fleet.h"
#include <boost/test/unit_test.hpp>
#include <cpprest/json.h>

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

GatewaySettings evenLoad()
{
    GatewaySettings settings;
    settings.evenLoad = true;
    return settings;
}

ServerLoadSample sampleOf(double running)
{
    ServerLoadSample sample;
    sample.running = running;
    return sample;
}

struct Fixture : GatewayFixture {
    Fixture()
        : GatewayFixture(evenLoad())
    {
    }
};

/// Three hosts with one caller each; the last one has the setting off, as an older host would.
struct Fleet : FakeFleet {
    Fleet()
        : FakeFleet(0)
    {
        for (size_t i = 0; i < 3; ++i) {
            GatewaySettings settings = Host::hostSettings(i, 1, true, true);
            settings.evenLoad = i < 2;
            hosts.push_back(std::make_unique<Host>(*this, i, settings));
            hosts.back()->member.start();
        }
    }

    void passWithGateways(Duration duration)
    {
        for (Duration passed {}; passed < duration; passed += milliseconds(20)) {
            pass(milliseconds(20));
            for (size_t i = 0; i < hosts.size(); ++i) {
                if (dead.count(i) == 0)
                    hosts[i]->fixture.gateway.tick();
            }
        }
    }

    std::optional<ServerLoads::Estimate> estimate(size_t host, const std::string& server) const
    {
        return hosts[host]->fixture.gateway.loads().estimate(server, now);
    }

    size_t reportsWithLoad() const
    {
        size_t n = 0;
        for (const FakePeerNetwork::Datagram& datagram : channel.sent) {
            if (datagram.text.front() == '{' && web::json::value::parse(datagram.text).has_field("l"))
                ++n;
        }
        return n;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(load_reports)

BOOST_FIXTURE_TEST_CASE(the_report_tells_of_statements_under_way, Fixture)
{
    provePrimary({ 1, 10 });
    pass(seconds(3));
    BOOST_TEST(gateway.loadReport().empty());
    FakeCaller caller;
    execute(open(caller, "primary"), StatementKind::Write, "WRITE a b");
    pass(milliseconds(600));
    const ServerLoadList list = decodeServerLoads(gateway.loadReport(), { "p", "r1", "r2" });
    BOOST_REQUIRE(list.size() == 1U);
    BOOST_TEST(list[0].first == "p");
    BOOST_TEST(list[0].second.running > 0.3);
    BOOST_TEST(list[0].second.running < 1);
}

BOOST_FIXTURE_TEST_CASE(odd_reports_are_counted_and_change_nothing, Fixture)
{
    gateway.loadReported("h1", "AAAA");
    gateway.loadReported("h1", "\"\"\"\"\"\"");
    gateway.loadReported("h1", encodeServerLoads({ { "r1", sampleOf(40) } })); // The limit is 32 connections.
    gateway.lenderReported("r1", "h1", sampleOf(40));
    gateway.lenderReported("r1", "h1", sampleOf(-1));
    gateway.lenderReported("unknown", "h1", sampleOf(1));
    pass(milliseconds(40));
    BOOST_TEST(!gateway.loads().estimate("r1", now).has_value());
    BOOST_TEST(metrics.metricsText().find("plantainwall_load_reports_rejected_total 5") != std::string::npos);
    gateway.loadReported("h1", encodeServerLoads({ { "r1", sampleOf(32) } }));
    BOOST_REQUIRE(gateway.loads().estimate("r1", now).has_value());
    BOOST_TEST(gateway.loads().estimate("r1", now)->running > 28);
}

BOOST_AUTO_TEST_CASE(nothing_is_taken_with_the_setting_off)
{
    GatewayFixture fixture;
    fixture.gateway.loadReported("h1", encodeServerLoads({ { "r1", sampleOf(3) } }));
    fixture.gateway.lenderReported("r1", "h1", sampleOf(3));
    BOOST_TEST(!fixture.gateway.loads().estimate("r1", fixture.now).has_value());
    BOOST_TEST(fixture.gateway.loads().rejected() == 0U);
}

BOOST_AUTO_TEST_CASE(hosts_learn_each_others_load_and_forget_a_silent_host)
{
    Fleet fleet;
    // No server answers polls, so after three seconds the coordinator begins to replace the primary.
    fleet.passWithGateways(seconds(2));
    FakeFleet::Host& first = *fleet.hosts[0];
    first.fixture.provePrimary({ 1, 10 });
    FakeCaller caller;
    first.fixture.execute(first.fixture.open(caller, "primary"), StatementKind::Write, "WRITE a b");
    fleet.passWithGateways(milliseconds(800));
    BOOST_REQUIRE(fleet.estimate(1, "p").has_value());
    BOOST_TEST(fleet.estimate(1, "p")->running > 0.2);
    BOOST_TEST(fleet.estimate(1, "p")->sources == 1U); // The third host reports nothing, which is not zero.
    BOOST_TEST(fleet.estimate(1, "r1")->running == 0);
    BOOST_TEST(!fleet.estimate(2, "p").has_value());
    fleet.dead.insert(0);
    fleet.passWithGateways(seconds(3));
    BOOST_TEST(!fleet.estimate(1, "p").has_value());
}

BOOST_AUTO_TEST_CASE(a_host_that_leaves_is_forgotten_at_once)
{
    Fleet fleet;
    fleet.passWithGateways(seconds(4));
    BOOST_REQUIRE(fleet.estimate(1, "p").has_value());
    fleet.hosts[0]->member.leave();
    fleet.pass(milliseconds(100));
    BOOST_TEST(!fleet.estimate(1, "p").has_value());
}

BOOST_AUTO_TEST_CASE(hosts_with_the_setting_off_send_no_load)
{
    FakeFleet off(3);
    off.pass(seconds(4));
    for (const FakePeerNetwork::Datagram& datagram : off.channel.sent)
        BOOST_TEST(datagram.text.find("\"l\":") == std::string::npos);
    Fleet fleet;
    fleet.pass(seconds(4));
    BOOST_TEST(fleet.reportsWithLoad() > 10U);
}

BOOST_AUTO_TEST_SUITE_END()

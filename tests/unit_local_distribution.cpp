#include "support_fleet.h"
#include <boost/algorithm/string/predicate.hpp>
#include <boost/test/unit_test.hpp>

using namespace plantainwall;
using boost::algorithm::starts_with;
using std::chrono::milliseconds;
using std::chrono::seconds;

// GatewaySettings::localDistribution: what crosses data centres in fleets of six data centres in two regions.

namespace {

constexpr size_t dataCentres = 6;

size_t dataCentreOf(const std::string& host) { return std::stoul(host) % dataCentres; }

std::vector<GatewaySettings> hostsOf(size_t n, bool localDistribution = true)
{
    std::vector<GatewaySettings> result;
    for (size_t i = 0; i < n; ++i) {
        GatewaySettings settings = FakeFleet::Host::hostSettings(i, 2, false, true);
        settings.dataCentre = "dc" + std::to_string(i % dataCentres);
        settings.localDistribution = localDistribution;
        result.push_back(settings);
    }
    return result;
}

bool crosses(const FakePeerNetwork::Datagram& datagram)
{
    return dataCentreOf(datagram.from) != dataCentreOf(datagram.to);
}

bool isPassedOn(const FakePeerNetwork::Datagram& datagram) { return starts_with(datagram.text, "pass "); }

bool carriesChanges(const FakePeerNetwork::Datagram& datagram)
{
    return isPassedOn(datagram) || isStoreEvents(datagram.text);
}

bool isReport(const FakePeerNetwork::Datagram& datagram) { return datagram.text.front() == '{'; }

bool isCompleteReport(const FakePeerNetwork::Datagram& datagram)
{
    return isReport(datagram) && datagram.text.find("\"p\"") != std::string::npos;
}

size_t countOf(const FakeFleet& fleet, const std::function<bool(const FakePeerNetwork::Datagram&)>& matches)
{
    return static_cast<size_t>(std::count_if(fleet.channel.sent.begin(), fleet.channel.sent.end(), matches));
}

/// Returns the hosts to which relays have sent changes to pass on.
std::set<size_t> distributors(const FakeFleet& fleet)
{
    std::set<size_t> hosts;
    for (const FakePeerNetwork::Datagram& datagram : fleet.channel.sent) {
        if (isPassedOn(datagram))
            hosts.insert(std::stoul(datagram.to));
    }
    return hosts;
}

void checkVersion(const FakeFleet& fleet, uint64_t version)
{
    for (size_t i = 0; i < fleet.hosts.size(); ++i)
        BOOST_TEST((fleet.dead.count(i) != 0 || fleet.versionAt(i) == version));
}

} // namespace

// Load pattern: changes of the store several times a second. Two copies from each relay enter a data centre, however
// many hosts it has, and every host has the change at once.
BOOST_AUTO_TEST_CASE(changes_cross_to_few_hosts_of_a_data_centre)
{
    const auto isCrossing = [](const auto& datagram) { return carriesChanges(datagram) && crosses(datagram); };
    size_t crossing[2] = {};
    for (const bool local : { false, true }) {
        FakeFleet fleet(hostsOf(90, local));
        fleet.pass(seconds(10));
        fleet.channel.sent.clear();
        fleet.store.put("s/r3", "replica");
        fleet.pass(milliseconds(200));
        for (const std::unique_ptr<FakeFleet::Host>& host : fleet.hosts)
            BOOST_TEST(host->fixture.gateway.directory().find("r3") != nullptr);
        fleet.channel.sent.clear();
        fleet.pass(seconds(10));
        crossing[local ? 1 : 0] = countOf(fleet, isCrossing);
        BOOST_TEST((countOf(fleet, isPassedOn) > 0) == local);
    }
    BOOST_TEST(crossing[1] * 5 < crossing[0]);
}

// The hosts that pass changes on are killed in all data centres at the same time. A change reaches all others within
// 4 s, the strictest time within which configurations must be in force.
BOOST_AUTO_TEST_CASE(loss_of_the_distributors_delays_changes_by_seconds_only)
{
    FakeFleet fleet(hostsOf(90));
    fleet.pass(seconds(10));
    fleet.channel.sent.clear();
    fleet.pass(seconds(2));
    fleet.dead = distributors(fleet);
    BOOST_REQUIRE(!fleet.dead.empty());
    fleet.store.put("config", "2");
    fleet.pass(seconds(4));
    checkVersion(fleet, 2);
    fleet.pass(seconds(30)); // Others have taken over.
    fleet.channel.sent.clear();
    fleet.store.put("config", "3");
    fleet.pass(seconds(1));
    checkVersion(fleet, 3);
    for (const size_t host : distributors(fleet))
        BOOST_TEST(fleet.dead.count(host) == 0U);
}

// One of the hosts that pass changes on is cut off from the rest of its data centre, which misses no change.
BOOST_AUTO_TEST_CASE(one_silent_distributor_delays_nothing)
{
    FakeFleet fleet(hostsOf(90));
    fleet.pass(seconds(10));
    fleet.channel.sent.clear();
    fleet.pass(seconds(2));
    const std::string silent = std::to_string(*distributors(fleet).begin());
    fleet.lost = [&silent](const FakePeerNetwork::Datagram& datagram) { return datagram.from == silent; };
    fleet.store.put("config", "2");
    fleet.pass(seconds(1));
    checkVersion(fleet, 2);
}

// A data centre hears nothing from the others, but reaches the store.
BOOST_AUTO_TEST_CASE(a_data_centre_that_is_cut_off_from_the_others_gets_changes)
{
    FakeFleet fleet(hostsOf(90));
    fleet.pass(seconds(10));
    fleet.lost = [](const FakePeerNetwork::Datagram& datagram) {
        return crosses(datagram) && (dataCentreOf(datagram.from) == 0 || dataCentreOf(datagram.to) == 0);
    };
    fleet.store.put("config", "2");
    fleet.pass(seconds(4));
    checkVersion(fleet, 2);
    fleet.store.put("config", "3");
    fleet.pass(seconds(4));
    checkVersion(fleet, 3);
}

// During a rolling restart some hosts do not know the request to pass changes on. They are never sent one.
BOOST_AUTO_TEST_CASE(hosts_of_an_earlier_version_get_changes)
{
    std::vector<GatewaySettings> hosts = hostsOf(90);
    for (size_t i = 0; i < hosts.size(); ++i)
        hosts[i].localDistribution = i % dataCentres != 0 && i % 4 != 0; // One data centre has none of the new ones.
    FakeFleet fleet(hosts);
    fleet.pass(seconds(10));
    fleet.channel.sent.clear();
    fleet.store.put("config", "2");
    fleet.pass(seconds(1));
    checkVersion(fleet, 2);
    for (const size_t host : distributors(fleet))
        BOOST_TEST(hosts[host].localDistribution);
}

// A host that was suspended must not pass old state on as recent: others would trust it instead of the store.
BOOST_AUTO_TEST_CASE(state_that_waited_in_a_suspended_host_is_passed_on_with_its_age)
{
    FakeFleet fleet(hostsOf(90));
    fleet.pass(seconds(10));
    fleet.channel.sent.clear();
    fleet.pass(seconds(2));
    const auto passed = std::find_if(fleet.channel.sent.begin(), fleet.channel.sent.end(), isPassedOn);
    BOOST_REQUIRE(passed != fleet.channel.sent.end());
    const size_t host = std::stoul(passed->to);
    fleet.dead.insert(host);
    fleet.store.put("s/r3", "replica");
    fleet.channel.sent.clear();
    fleet.pass(seconds(3));
    fleet.dead.erase(host);
    const auto waiting = std::find_if(fleet.channel.sent.begin(), fleet.channel.sent.end(),
        [&](const auto& it) { return isPassedOn(it) && it.to == std::to_string(host); });
    BOOST_REQUIRE(waiting != fleet.channel.sent.end());
    const std::string text = waiting->text;
    fleet.channel.sent.clear();
    fleet.hosts[host]->fixture.now = fleet.now;
    fleet.hosts[host]->member.peerDatagram(text);
    BOOST_TEST(!fleet.channel.sent.empty());
    for (const FakePeerNetwork::Datagram& datagram : fleet.channel.sent)
        BOOST_TEST((decodeStoreEvents(datagram.text).age >= seconds(2)));
}

// Load pattern: every host needs the primaries' positions several times a second. Few of each data centre request them
// from another one.
BOOST_AUTO_TEST_CASE(positions_are_requested_within_the_data_centre)
{
    FakeFleet fleet(hostsOf(90));
    fleet.pass(seconds(10));
    const auto passWithReads = [&fleet](int rounds) {
        for (int i = 0; i < rounds; ++i) {
            for (const std::unique_ptr<FakeFleet::Host>& host : fleet.hosts) {
                host->fixture.gateway.positionReceived("orders", { { 3, 10 }, fleet.now });
                host->fixture.gateway.positionOf("orders");
            }
            fleet.pass(milliseconds(500));
        }
    };
    passWithReads(4);
    fleet.channel.sent.clear();
    passWithReads(8);
    const auto isRequest = [](const auto& datagram) { return starts_with(datagram.text, "evidence? "); };
    std::set<std::string> crossing;
    for (const FakePeerNetwork::Datagram& datagram : fleet.channel.sent) {
        if (isRequest(datagram) && crosses(datagram))
            crossing.insert(datagram.from);
    }
    BOOST_TEST(countOf(fleet, isRequest) > 400U);
    BOOST_TEST(crossing.size() <= 2 * dataCentres);
}

// Load pattern: reports of 24 hosts to each other, most of them across data centres. All hosts stay known.
BOOST_AUTO_TEST_CASE(other_data_centres_receive_fewer_reports)
{
    FakeFleet fleet(hostsOf(24));
    fleet.pass(seconds(20));
    fleet.channel.sent.clear();
    fleet.pass(seconds(20));
    const size_t crossing = countOf(fleet, [](const auto& it) { return isReport(it) && crosses(it); });
    const size_t local = countOf(fleet, [](const auto& it) { return isReport(it) && !crosses(it); });
    BOOST_TEST(crossing * 2 < local * 20 / 3); // Twenty of the other hosts are in other data centres, three are not.
    for (const std::unique_ptr<FakeFleet::Host>& host : fleet.hosts)
        BOOST_TEST(host->member.reachableHostCount() == 24U);
}

// A host that dies is known to be unreachable within a few seconds in all data centres.
BOOST_AUTO_TEST_CASE(a_dead_host_is_detected_in_other_data_centres)
{
    FakeFleet fleet(hostsOf(24));
    fleet.pass(seconds(20));
    fleet.dead.insert(5);
    fleet.pass(seconds(7));
    for (size_t i = 0; i < 24; ++i)
        BOOST_TEST((i == 5 || fleet.hosts[i]->member.reachableHostCount() == 23U));
}

// A host that loses the store says so to all at once, and goes on sending every report: the coordinator relies on the
// word of all hosts that they do not reach the store.
BOOST_AUTO_TEST_CASE(hosts_without_the_store_send_every_report)
{
    FakeFleet fleet(hostsOf(24));
    fleet.pass(seconds(20));
    fleet.store.unavailable = true;
    fleet.pass(seconds(6));
    fleet.channel.sent.clear();
    fleet.pass(seconds(10));
    std::map<std::pair<std::string, std::string>, size_t> reports;
    for (const FakePeerNetwork::Datagram& datagram : fleet.channel.sent) {
        if (isReport(datagram))
            ++reports[{ datagram.from, datagram.to }];
    }
    BOOST_TEST(reports.size() == 24U * 23U);
    for (const auto& [hosts, count] : reports)
        BOOST_TEST(count >= 18U); // Every 500 ms.
}

// Few hosts repeat the known primaries to other data centres; a change is still reported to all by the host that learns
// of it, also if the hosts that repeat them are dead.
BOOST_AUTO_TEST_CASE(few_hosts_repeat_the_primaries_to_other_data_centres)
{
    FakeFleet fleet(hostsOf(90));
    fleet.hosts[0]->fixture.provePrimary({ 3, 10 });
    fleet.pass(seconds(20));
    for (const std::unique_ptr<FakeFleet::Host>& host : fleet.hosts)
        BOOST_TEST(host->fixture.gateway.directory().term("orders") == 3U);
    fleet.channel.sent.clear();
    fleet.pass(seconds(60));
    std::set<size_t> repeating;
    for (const FakePeerNetwork::Datagram& datagram : fleet.channel.sent) {
        if (isCompleteReport(datagram) && crosses(datagram))
            repeating.insert(std::stoul(datagram.from));
    }
    BOOST_TEST(!repeating.empty());
    BOOST_TEST(repeating.size() <= dataCentres);
    fleet.dead = repeating;
    size_t learning = 1; // Host 0 has proved the primary before.
    while (fleet.dead.count(learning) != 0)
        ++learning;
    fleet.hosts[learning]->fixture.provePrimary({ 4, 11 });
    fleet.pass(seconds(3));
    for (size_t i = 0; i < fleet.hosts.size(); ++i)
        BOOST_TEST((fleet.dead.count(i) != 0 || fleet.hosts[i]->fixture.gateway.directory().term("orders") == 4U));
}

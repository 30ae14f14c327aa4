#include "placement.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;

namespace {

std::vector<HostInfo> makeHosts(unsigned count)
{
    std::vector<HostInfo> hosts;
    for (unsigned i = 0; i < count; ++i) {
        HostInfo host;
        host.config.name = "host-" + std::to_string(i);
        host.config.dataCentre = "dc" + std::to_string(i % 3);
        host.config.region = i % 3 == 2 ? "south" : "north";
        hosts.push_back(host);
    }
    return hosts;
}

} // namespace

// Guards against a hash that reassigns roles of remaining hosts when one leaves, and against uneven assignment.
BOOST_AUTO_TEST_CASE(only_roles_of_a_leaving_host_move)
{
    const std::vector<HostInfo> before = makeHosts(9);
    std::vector<HostInfo> after = before;
    after[4].state = HostState::Suspect;
    std::map<std::string, unsigned> roles;
    for (unsigned i = 0; i < 9000; ++i) {
        const std::string role = "pool/" + std::to_string(i);
        const std::string owner = Placement::hostFor(before, role)->config.name;
        ++roles[owner];
        if (owner != "host-4")
            BOOST_REQUIRE_EQUAL(Placement::hostFor(after, role)->config.name, owner);
        else
            BOOST_REQUIRE_NE(Placement::hostFor(after, role)->config.name, owner);
    }
    for (const auto& [host, count] : roles)
        BOOST_TEST((count > 800 && count < 1200), host << " has " << count << " of 9000 roles");
}

// Guards against an owner in another data centre while the member's own has a live host, and against a missing owner.
BOOST_AUTO_TEST_CASE(owner_is_the_nearest_live_host)
{
    std::vector<HostInfo> hosts = makeHosts(9);
    const MemberConfig member { "db1", "", "dc0", "north" };
    BOOST_TEST(Placement::ownerOf(hosts, "g", member)->config.dataCentre == "dc0");
    for (unsigned i = 0; i < 9; i += 3)
        hosts[i].state = HostState::Draining;
    BOOST_TEST(Placement::ownerOf(hosts, "g", member)->config.dataCentre == "dc1");
    for (unsigned i = 1; i < 9; i += 3)
        hosts[i].state = HostState::Dead;
    BOOST_TEST(Placement::ownerOf(hosts, "g", member)->config.dataCentre == "dc2");
    for (HostInfo& host : hosts)
        host.state = HostState::Dead;
    BOOST_TEST(!Placement::ownerOf(hosts, "g", member));
}

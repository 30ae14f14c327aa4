#include "support_fleet.h"
#include "support_log_capture.h"
#include "support_store_follower.h"
#include <boost/test/unit_test.hpp>
#include <cpprest/json.h>

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Time without the store before it comes back as a copy.
constexpr Duration outage = milliseconds(2400);

/// A new configuration must be in force on every host within this time.
constexpr Duration configurationTime = seconds(4);

/// Servers register again within about 2 s after the store is back.
constexpr Duration registrationTime = seconds(2);

const std::string coordinatorKey = "plantainwall/promotions";

/// Lease of the coordinator role.
constexpr Duration coordinatorLease = seconds(2);

/// A role that nobody exercises is taken over within this time: its lease, and the claims of several hosts in turn.
constexpr Duration takeoverTime = coordinatorLease + seconds(1);

constexpr size_t smallFleet = 5;
constexpr size_t largeFleet = 60;

struct RestoredFleet : FakeFleet {
    explicit RestoredFleet(size_t n)
        : FakeFleet(n)
    {
        pass(seconds(10));
    }

    /// Makes the revision of the store much higher than the hosts' own writes after a restore can.
    void writeMuch()
    {
        for (int i = 0; i < 300; ++i)
            store.put("s/r2", "replica");
    }

    /// Adds hosts that start now.
    void addHosts(size_t n)
    {
        for (size_t i = hosts.size(); n > 0; ++i, --n) {
            hosts.push_back(std::make_unique<Host>(*this, i, 1, true));
            hosts.back()->member.start();
        }
    }

    /// Waits for a claim of the coordinator role and returns the claimant with what it sent.
    std::pair<size_t, StoreWrite> nextClaim()
    {
        std::optional<std::pair<size_t, StoreWrite>> claim;
        for (size_t i = 0; i < hosts.size(); ++i) {
            hosts[i]->store.beforeWrite = [&claim, i](const StoreWrite& write) {
                if (write.key == coordinatorKey)
                    claim.emplace(i, write);
            };
        }
        for (int i = 0; i < 1000 && !claim; ++i)
            pass(milliseconds(20));
        for (const std::unique_ptr<Host>& host : hosts)
            host->store.beforeWrite = nullptr;
        return claim.value();
    }

    /// Waits for a registration in the present era and returns its lease.
    uint64_t nextRegistrationLease()
    {
        for (int i = 0; i < 100 && store.leasesOf("plantainwall/hosts/").empty(); ++i)
            pass(milliseconds(20));
        return store.leasesOf("plantainwall/hosts/").at(0);
    }

    /// Carries out a late claim whose condition holds again. Its lease belongs to a registration by now.
    void carryOut(StoreWrite claim, uint64_t expectedRevision)
    {
        claim.expectedRevision = expectedRevision;
        claim.lease = nextRegistrationLease();
        bool done = false;
        store.write(claim, [&done](const StoreResult& result) { done = result.outcome == StoreOutcome::Ok; });
        pass(milliseconds(20));
        BOOST_TEST(done);
    }

    /// Returns the hosts that are active as coordinator, except some that have stopped or lack the store.
    std::vector<size_t> coordinatorsExcept(const std::set<size_t>& excepted) const
    {
        std::vector<size_t> result;
        for (size_t i = 0; i < hosts.size(); ++i) {
            if (excepted.count(i) == 0 && hosts[i]->coordinator.isActive())
                result.push_back(i);
        }
        return result;
    }

    /// Returns the time until a host becomes active as coordinator, or nothing if none does within the limit.
    std::optional<Duration> timeToCoordinator(Duration limit, const std::set<size_t>& excepted)
    {
        for (Duration passed {}; passed <= limit; passed += milliseconds(20)) {
            const std::vector<size_t> coordinators = coordinatorsExcept(excepted);
            BOOST_TEST(coordinators.size() <= 1U);
            if (!coordinators.empty())
                return passed;
            pass(milliseconds(20));
        }
        return std::nullopt;
    }

    void restoreStore()
    {
        store.unavailable = true;
        pass(outage);
        store.restore();
        store.unavailable = false;
    }

    /// Returns the number of living hosts on which a version is in force.
    size_t hostsWith(uint64_t version) const
    {
        size_t n = 0;
        for (size_t i = 0; i < hosts.size(); ++i)
            n += versionAt(i) == version ? 1 : 0;
        return n;
    }

    /// Returns the number of hosts with a registration under a lease that they hold.
    size_t registeredHosts() const
    {
        size_t n = 0;
        for (size_t i = 0; i < hosts.size(); ++i) {
            const std::vector<uint64_t> leases = store.leasesOf("plantainwall/hosts/" + std::to_string(i) + "/");
            n += std::any_of(leases.begin(), leases.end(), [&](uint64_t lease) { return hosts[i]->store.holds(lease); })
                ? 1
                : 0;
        }
        return n;
    }

    size_t callsWithForeignLease() const
    {
        size_t n = 0;
        for (const std::unique_ptr<Host>& host : hosts)
            n += host->store.callsWithForeignLease;
        return n;
    }
};

/// Returns the tokens of the coordinators in the order in which they became active.
std::vector<uint64_t> coordinatorTokens(const std::string& log)
{
    std::vector<uint64_t> tokens;
    std::istringstream lines(log);
    for (std::string line; std::getline(lines, line);) {
        const web::json::value event = web::json::value::parse(line);
        if (event.at("name").as_string() == "duty_gained")
            tokens.push_back(static_cast<uint64_t>(event.at("token").as_number().to_int64()));
    }
    return tokens;
}

/// A configuration that a datagram cannot hold.
std::string largeConfiguration(uint64_t version)
{
    std::string value = std::to_string(version) + " ";
    std::mt19937 random(static_cast<unsigned>(version));
    while (value.size() < 40000)
        value += static_cast<char>('a' + random() % 26);
    return value;
}

void checkConfigurationAfterRestore(size_t fleetSize)
{
    RestoredFleet fleet(fleetSize);
    fleet.store.snapshot();
    fleet.writeMuch();
    fleet.store.put("config", "2");
    fleet.pass(seconds(1));
    BOOST_TEST(fleet.hostsWith(2) == fleetSize);
    fleet.restoreStore();
    fleet.pass(seconds(1));
    BOOST_TEST(fleet.hostsWith(2) == fleetSize); // The copy has version 1.
    fleet.store.put("config", largeConfiguration(3));
    fleet.pass(configurationTime);
    BOOST_TEST(fleet.hostsWith(3) == fleetSize);
}

using Refusal = bool FakeHostStore::*;

/// The ways in which the store refuses hosts: a reset connection, an answer with the era, no answer.
constexpr Refusal refusals[] = { &FakeHostStore::refuses, &FakeHostStore::rejects, &FakeHostStore::ignores };

/// A fleet of which the store refuses two of five hosts.
struct RefusedFleet : RestoredFleet {
    RefusedFleet(size_t n, Refusal how)
        : RestoredFleet(n)
        , refusal(how)
    {
        store.snapshot();
        store.put("config", "2");
        pass(seconds(1));
        setRefused(true);
        pass(seconds(5));
        store.put("config", largeConfiguration(3));
        pass(configurationTime);
        BOOST_TEST(hostsWith(3) == n);
    }

    static bool isRefused(size_t host) { return host % 5 == 1 || host % 5 == 3; }

    void setRefused(bool value)
    {
        for (size_t i = 0; i < hosts.size(); ++i)
            hosts[i]->store.*refusal = value && isRefused(i);
    }

    /// Returns the number of hosts that know a server, or know it as draining.
    size_t hostsThatKnow(const std::string& id, bool draining = false) const
    {
        return static_cast<size_t>(std::count_if(hosts.begin(), hosts.end(), [&](const auto& host) {
            const ServerEntry* const entry = host->fixture.gateway.directory().find(id);
            return entry != nullptr && (!draining || entry->draining);
        }));
    }

    /// Checks that versions and servers reach all hosts in time and that no host that is refused coordinates.
    void checkChanges(uint64_t version)
    {
        const std::string server = "s/new" + std::to_string(version);
        store.put(server, "replica");
        store.put("config", std::to_string(version));
        pass(configurationTime);
        BOOST_TEST(hostsWith(version) == hosts.size());
        BOOST_TEST(hostsThatKnow(server.substr(2)) == hosts.size());
        store.put(server, "replica draining");
        store.put("config", largeConfiguration(version + 1));
        pass(configurationTime);
        BOOST_TEST(hostsWith(version + 1) == hosts.size());
        BOOST_TEST(hostsThatKnow(server.substr(2), true) == hosts.size());
        store.erase(server);
        pass(configurationTime);
        BOOST_TEST(hostsThatKnow(server.substr(2)) == 0U);
        for (size_t i = 0; i < hosts.size(); ++i)
            BOOST_TEST(!(hosts[i]->store.*refusal && hosts[i]->coordinator.isActive()));
    }

    Refusal refusal;
};

} // namespace

// Guards against a configuration that never comes into force because its revision is below that of an older version.
BOOST_AUTO_TEST_CASE(a_configuration_after_a_restore_comes_into_force)
{
    const CerrCapture capture;
    checkConfigurationAfterRestore(smallFleet);
}

BOOST_AUTO_TEST_CASE(a_configuration_after_a_restore_comes_into_force_in_a_large_fleet)
{
    const CerrCapture capture;
    checkConfigurationAfterRestore(largeFleet);
}

// Guards against hosts that wait for the end of a watch that was lost with the store's earlier history.
BOOST_AUTO_TEST_CASE(lost_watches_do_not_delay_a_configuration)
{
    const CerrCapture capture;
    for (const size_t fleetSize : { smallFleet, largeFleet }) {
        RestoredFleet fleet(fleetSize);
        fleet.store.losesWatches = true;
        fleet.store.snapshot();
        fleet.writeMuch();
        fleet.store.put("config", "2");
        fleet.pass(seconds(1));
        fleet.store.restore();
        fleet.store.put("config", "3");
        fleet.pass(configurationTime);
        BOOST_TEST(fleet.hostsWith(3) == fleetSize);
    }
}

BOOST_AUTO_TEST_CASE(two_restores_in_a_row)
{
    const CerrCapture capture;
    for (const size_t fleetSize : { smallFleet, largeFleet }) {
        RestoredFleet fleet(fleetSize);
        fleet.store.snapshot();
        fleet.writeMuch();
        fleet.store.put("config", "2");
        fleet.pass(seconds(1));
        fleet.restoreStore();
        fleet.pass(milliseconds(300));
        fleet.restoreStore();
        fleet.store.put("config", "3");
        fleet.pass(configurationTime);
        BOOST_TEST(fleet.hostsWith(3) == fleetSize);
        fleet.restoreStore(); // The copy has version 1 again.
        fleet.pass(configurationTime);
        BOOST_TEST(fleet.hostsWith(3) == fleetSize);
        BOOST_TEST(fleet.registeredHosts() == fleetSize);
        BOOST_TEST(fleet.callsWithForeignLease() == 0U);
    }
}

// Guards against hosts that keep an old configuration because only the store, which refuses them, lists its new era.
BOOST_AUTO_TEST_CASE(refused_hosts_follow_a_restored_store)
{
    const CerrCapture capture;
    for (const size_t fleetSize : { smallFleet, largeFleet }) {
        for (const Refusal refusal : refusals) {
            RefusedFleet fleet(fleetSize, refusal);
            fleet.restoreStore(); // The copy has version 1.
            fleet.checkChanges(4);
            BOOST_TEST(fleet.hostsWith(5) == fleetSize);
            fleet.setRefused(false);
            fleet.pass(seconds(8));
            BOOST_TEST(fleet.registeredHosts() == fleetSize);
            BOOST_TEST(fleet.callsWithForeignLease() == 0U);
            fleet.checkChanges(6);
        }
    }
}

BOOST_AUTO_TEST_CASE(refused_hosts_follow_a_store_restored_twice)
{
    const CerrCapture capture;
    for (const size_t fleetSize : { smallFleet, largeFleet }) {
        for (const Refusal refusal : refusals) {
            RefusedFleet fleet(fleetSize, refusal);
            fleet.restoreStore();
            fleet.pass(milliseconds(300));
            fleet.restoreStore();
            fleet.checkChanges(4);
            fleet.restoreStore();
            BOOST_TEST(fleet.hostsWith(5) == fleetSize);
            fleet.checkChanges(6);
        }
    }
}

// The requests for a listing and its parts are lost now and then.
BOOST_AUTO_TEST_CASE(refused_hosts_follow_a_restored_store_despite_lost_datagrams)
{
    const CerrCapture capture;
    for (const Refusal refusal : refusals) {
        RefusedFleet fleet(largeFleet, refusal);
        std::mt19937 random(3);
        fleet.lost = [&random](const FakePeerNetwork::Datagram&) { return random() % 10 == 0; };
        fleet.restoreStore();
        fleet.store.put("config", largeConfiguration(4));
        fleet.pass(configurationTime);
        BOOST_TEST(fleet.hostsWith(4) == largeFleet);
    }
}

// The copy is older than all registrations, so that a listing of it names no host of which to request more.
BOOST_AUTO_TEST_CASE(refused_hosts_follow_a_copy_without_registrations)
{
    const CerrCapture capture;
    for (const size_t fleetSize : { smallFleet, largeFleet }) {
        for (const Refusal refusal : refusals) {
            RefusedFleet fleet(fleetSize, refusal);
            FakeFleetStore& store = fleet.store;
            for (const std::string& key : store.keysOf("plantainwall/"))
                store.erase(key);
            store.snapshot();
            // Changes come only on request.
            fleet.lost = [](const FakePeerNetwork::Datagram& datagram) {
                if (!isStoreEvents(datagram.text))
                    return false;
                const StoreEvents events = decodeStoreEvents(datagram.text);
                return events.from != events.to;
            };
            fleet.restoreStore();
            fleet.checkChanges(4);
        }
    }
}

// Hosts' own items follow too: a refused host knows hosts that start after the restore. The copy may be older than all
// registrations.
BOOST_AUTO_TEST_CASE(refused_hosts_know_hosts_that_start_after_a_restore)
{
    const CerrCapture capture;
    for (const bool beforeRegistrations : { false, true }) {
        RestoredFleet fleet(0);
        fleet.store.snapshot();
        const auto addHost = [&fleet] {
            fleet.hosts.push_back(std::make_unique<FakeFleet::Host>(fleet, fleet.hosts.size(), 1, true));
            fleet.hosts.back()->member.start();
        };
        for (size_t i = 0; i < smallFleet; ++i)
            addHost();
        fleet.pass(seconds(5));
        if (!beforeRegistrations)
            fleet.store.snapshot();
        for (const size_t refused : { 1U, 3U })
            fleet.hosts[refused]->store.rejects = true;
        fleet.pass(seconds(5));
        fleet.restoreStore();
        fleet.pass(seconds(2));
        addHost();
        fleet.store.put("config", "4");
        fleet.pass(configurationTime);
        BOOST_TEST(fleet.hostsWith(4) == smallFleet + 1);
        if (!beforeRegistrations) {
            for (const size_t refused : { 1U, 3U })
                BOOST_TEST(fleet.hosts[refused]->member.reachableHostCount() == smallFleet + 1);
        }
    }
}

// Guards against a host that lacks changes because the store has given out its revision again: such a watch is not told
// that the history is lost.
BOOST_AUTO_TEST_CASE(revisions_given_out_again_hide_no_change)
{
    const CerrCapture capture;
    for (const size_t fleetSize : { smallFleet, largeFleet }) {
        RestoredFleet fleet(fleetSize);
        fleet.store.snapshot();
        fleet.store.put("config", "2");
        fleet.store.put("s/lost", "replica");
        fleet.pass(milliseconds(200));
        fleet.store.unavailable = true;
        fleet.pass(outage);
        fleet.store.restore();
        fleet.store.put("s/r3", "replica");
        fleet.store.put("config", "3");
        fleet.writeMuch();
        fleet.store.unavailable = false;
        fleet.pass(configurationTime);
        BOOST_TEST(fleet.hostsWith(3) == fleetSize);
        for (const std::unique_ptr<FakeFleet::Host>& host : fleet.hosts) {
            BOOST_TEST(host->fixture.gateway.directory().find("r3") != nullptr);
            host->fixture.gateway.tick(); // Removes servers whose grace time has expired.
            BOOST_TEST(host->fixture.gateway.directory().find("lost") == nullptr);
        }
    }
}

// Guards against hosts that keep a lease of the earlier history, which may be another host's by now. The copy may be
// older than all registrations.
BOOST_AUTO_TEST_CASE(hosts_register_again_with_leases_of_their_own)
{
    const CerrCapture capture;
    for (const size_t fleetSize : { smallFleet, largeFleet }) {
        for (const bool beforeRegistrations : { true, false }) {
            RestoredFleet fleet(0);
            fleet.store.snapshot();
            fleet.addHosts(fleetSize);
            fleet.pass(seconds(5));
            if (!beforeRegistrations)
                fleet.store.snapshot();
            BOOST_TEST(fleet.registeredHosts() == fleetSize);
            fleet.pass(seconds(1));
            fleet.restoreStore();
            fleet.pass(registrationTime);
            BOOST_TEST(fleet.registeredHosts() == fleetSize);
            fleet.pass(seconds(15)); // Leases that only the copy has end.
            BOOST_TEST(fleet.registeredHosts() == fleetSize);
            BOOST_TEST(fleet.store.leasesOf("plantainwall/hosts/").size() == fleetSize);
            BOOST_TEST(fleet.callsWithForeignLease() == 0U);
            for (const std::unique_ptr<FakeFleet::Host>& host : fleet.hosts)
                host->member.leave();
            BOOST_TEST(fleet.callsWithForeignLease() == 0U);
            BOOST_TEST(fleet.store.leasesOf("plantainwall/hosts/").empty());
        }
    }
}

// Guards against a gone host that counts as a member, with its fraction of the rates, as long as another host renews
// the lease: its registration was carried out late. The fleet is a large one only with the gone host.
BOOST_AUTO_TEST_CASE(a_late_registration_of_a_gone_host_ends)
{
    const CerrCapture capture;
    const size_t remaining = GatewaySettings().largeFleet - 1;
    RestoredFleet fleet(0);
    fleet.decoder.connectionsPerServer = 1000; // Hosts share connections by their number only.
    fleet.store.put("config", "2");
    fleet.store.snapshot();
    fleet.addHosts(remaining);
    fleet.pass(seconds(5));
    fleet.addHosts(1);
    StoreWrite registration;
    fleet.hosts.back()->store.beforeWrite = [&](const StoreWrite& write) {
        if (write.key != coordinatorKey)
            registration = write;
    };
    fleet.pass(seconds(2));
    const auto largeFleets = [&] {
        return static_cast<size_t>(std::count_if(fleet.hosts.begin(), fleet.hosts.end() - 1,
            [](const std::unique_ptr<FakeFleet::Host>& host) { return host->member.largeFleet(); }));
    };
    BOOST_TEST(largeFleets() == remaining);
    fleet.dead.insert(remaining);
    fleet.restoreStore();
    fleet.carryOut(registration, 0);
    fleet.pass(seconds(35)); // Its lease, and the time for which its fraction of the rates is reserved.
    BOOST_TEST(fleet.store.valueOf(registration.key).has_value());
    BOOST_TEST(largeFleets() == 0U);
    BOOST_TEST(fleet.registeredHosts() == remaining);
}

// Guards against a leaving host that ends another host's lease: it was cut off and does not know of the restore.
BOOST_AUTO_TEST_CASE(a_leaving_host_removes_only_its_own_items)
{
    const CerrCapture capture;
    for (size_t leaving = 0; leaving < smallFleet; ++leaving) {
        RestoredFleet fleet(0);
        fleet.store.snapshot();
        fleet.addHosts(smallFleet);
        fleet.nextClaim();
        fleet.pass(seconds(1));
        FakeFleet::Host& host = *fleet.hosts[leaving];
        host.store.refuses = true;
        fleet.lost
            = [leaving](const FakePeerNetwork::Datagram& datagram) { return datagram.to == std::to_string(leaving); };
        fleet.restoreStore();
        fleet.pass(registrationTime);
        BOOST_REQUIRE(fleet.timeToCoordinator(takeoverTime, { leaving }).has_value());
        BOOST_REQUIRE(fleet.registeredHosts() == smallFleet - 1);
        const std::optional<std::string> claim = fleet.store.valueOf(coordinatorKey);
        host.store.refuses = false;
        host.member.leave();
        fleet.dead.insert(leaving);
        fleet.pass(milliseconds(100));
        BOOST_TEST(fleet.registeredHosts() == smallFleet - 1);
        BOOST_TEST((fleet.store.valueOf(coordinatorKey) == claim));
    }
}

// The copy is older than the first configuration and all registrations. Hosts also start and leave meanwhile.
BOOST_AUTO_TEST_CASE(a_copy_without_any_item)
{
    const CerrCapture capture;
    for (const size_t fleetSize : { smallFleet, largeFleet }) {
        RestoredFleet fleet(fleetSize);
        const auto hostsThatKnow = [&](const std::string& id) {
            return static_cast<size_t>(std::count_if(fleet.hosts.begin(), fleet.hosts.end(), [&](const auto& host) {
                host->fixture.gateway.tick();
                return host->fixture.gateway.directory().find(id) != nullptr;
            }));
        };
        fleet.store.unavailable = true;
        fleet.pass(outage);
        fleet.addHosts(1);
        fleet.hosts[0]->member.leave();
        fleet.store.restore();
        fleet.store.unavailable = false;
        for (int i = 0; i < 19; ++i) {
            fleet.pass(milliseconds(100));
            BOOST_TEST(fleet.hostsWith(1) == fleetSize + 1); // A host of this fake starts with version 1.
            BOOST_TEST(hostsThatKnow("p") >= fleetSize);
        }
        for (const char* id : { "p", "r1" })
            fleet.store.put(std::string("s/") + id, id[0] == 'p' ? "primary" : "replica");
        fleet.store.put("config", "2");
        fleet.pass(configurationTime);
        BOOST_TEST(fleet.hostsWith(2) == fleetSize + 1);
        BOOST_TEST(hostsThatKnow("p") == fleetSize + 1);
        BOOST_TEST(hostsThatKnow("r1") == fleetSize + 1);
        BOOST_TEST(hostsThatKnow("r2") == 0U);
        BOOST_TEST(fleet.registeredHosts() == fleetSize); // One has left.
        BOOST_TEST(fleet.callsWithForeignLease() == 0U);
        fleet.dead.insert(0);
        fleet.pass(seconds(1));
        BOOST_TEST(fleet.timeToCoordinator(takeoverTime, fleet.dead).has_value());
    }
}

// Guards against two coordinators and against fencing tokens that go back with the revisions.
BOOST_AUTO_TEST_CASE(one_coordinator_with_a_rising_token)
{
    CerrCapture capture;
    for (const size_t fleetSize : { smallFleet, largeFleet }) {
        capture.clear();
        RestoredFleet fleet(fleetSize);
        fleet.store.snapshot();
        fleet.writeMuch();
        fleet.pass(seconds(4));
        for (int restores = 0; restores < 3; ++restores) {
            fleet.restoreStore();
            bool coordinated = false;
            for (int i = 0; i < 300; ++i) {
                fleet.pass(milliseconds(20));
                BOOST_TEST(fleet.activeCoordinators() <= 1U);
                coordinated = coordinated || (i < 150 && fleet.activeCoordinators() == 1);
            }
            BOOST_TEST(coordinated);
        }
        BOOST_TEST(fleet.callsWithForeignLease() == 0U);
        const std::vector<uint64_t> tokens = coordinatorTokens(capture.text.str());
        BOOST_TEST(tokens.size() >= 4U);
        BOOST_TEST(std::is_sorted(tokens.begin(), tokens.end(), std::less_equal<uint64_t>()));
    }
}

// Guards against a coordinator that learns of the restore only when its lease has run out: the store rejects its calls.
BOOST_AUTO_TEST_CASE(a_rejected_coordinator_gives_up_at_once)
{
    const CerrCapture capture;
    for (const size_t fleetSize : { smallFleet, largeFleet }) {
        RestoredFleet fleet(fleetSize);
        fleet.store.snapshot();
        const auto isActive = [](const std::unique_ptr<FakeFleet::Host>& host) { return host->coordinator.isActive(); };
        for (int i = 0; i < 500 && fleet.activeCoordinators() == 0; ++i)
            fleet.pass(milliseconds(20));
        const auto coordinator = std::find_if(fleet.hosts.begin(), fleet.hosts.end(), isActive);
        BOOST_REQUIRE((coordinator != fleet.hosts.end()));
        fleet.store.restore();
        (*coordinator)->store.rejects = true;
        fleet.pass(milliseconds(700)); // One renewal.
        BOOST_TEST(!isActive(*coordinator));
        (*coordinator)->store.rejects = false;
        fleet.store.put("config", "3");
        fleet.pass(configurationTime);
        BOOST_TEST(fleet.hostsWith(3) == fleetSize);
        BOOST_TEST(fleet.registeredHosts() == fleetSize);
        BOOST_TEST(fleet.callsWithForeignLease() == 0U);
    }
}

// Guards against a role that nobody exercises as long as another host renews the lease: a claim that is carried out
// after the restore, by a host that has ended or no longer reaches the store.
BOOST_AUTO_TEST_CASE(a_late_claim_of_the_earlier_history_does_not_keep_the_role)
{
    CerrCapture capture;
    for (const size_t fleetSize : { smallFleet, largeFleet }) {
        for (const bool claimantRuns : { false, true }) {
            capture.clear();
            RestoredFleet fleet(0);
            fleet.store.snapshot();
            fleet.addHosts(fleetSize);
            const auto [claimant, claim] = fleet.nextClaim();
            fleet.pass(seconds(1));
            if (claimantRuns)
                fleet.hosts[claimant]->store.refuses = true;
            else
                fleet.dead.insert(claimant);
            fleet.restoreStore();
            fleet.carryOut(claim, 0);
            BOOST_TEST((fleet.store.valueOf(coordinatorKey) == claim.value));
            BOOST_TEST(fleet.timeToCoordinator(takeoverTime, { claimant }).has_value());
            fleet.hosts[claimant]->store.refuses = false;
            fleet.pass(milliseconds(700)); // One renewal.
            for (int i = 0; i < 300; ++i) {
                fleet.pass(milliseconds(20));
                BOOST_TEST(fleet.coordinatorsExcept(fleet.dead).size() <= 1U);
            }
            BOOST_TEST(fleet.callsWithForeignLease() == 0U);
            const std::vector<uint64_t> tokens = coordinatorTokens(capture.text.str());
            BOOST_TEST(std::is_sorted(tokens.begin(), tokens.end(), std::less_equal<uint64_t>()));
        }
    }
}

// The copy contains the item, and its lease is given out again to another host's registration.
BOOST_AUTO_TEST_CASE(a_claim_in_the_copy_does_not_keep_the_role)
{
    const CerrCapture capture;
    for (const size_t fleetSize : { smallFleet, largeFleet }) {
        for (const bool partitioned : { false, true }) {
            RestoredFleet fleet(0);
            fleet.store.snapshot();
            fleet.addHosts(fleetSize);
            const auto [claimant, claim] = fleet.nextClaim();
            fleet.pass(seconds(1));
            fleet.dead.insert(claimant);
            if (partitioned)
                fleet.lost = [](const FakePeerNetwork::Datagram& datagram) {
                    return std::stoul(datagram.from) % 2 != std::stoul(datagram.to) % 2;
                };
            fleet.store.unavailable = true;
            fleet.pass(outage);
            fleet.store.restore();
            fleet.store.put(coordinatorKey, claim.value, fleet.store.leases + 1);
            fleet.store.unavailable = false;
            BOOST_TEST(fleet.nextRegistrationLease() == fleet.store.leasesOf(coordinatorKey).at(0));
            BOOST_TEST(fleet.timeToCoordinator(takeoverTime, { claimant }).has_value());
            for (int i = 0; i < 300; ++i) {
                fleet.pass(milliseconds(20));
                BOOST_TEST(fleet.coordinatorsExcept({ claimant }).size() <= 1U);
            }
        }
    }
}

// A late claim replaces the one of an active coordinator, which may have ordered a promotion just before. The next one
// must not begin within its lease.
BOOST_AUTO_TEST_CASE(a_late_claim_over_an_active_coordinator_frees_the_role_after_its_lease)
{
    CerrCapture capture;
    for (const size_t fleetSize : { smallFleet, largeFleet }) {
        capture.clear();
        RestoredFleet fleet(0);
        fleet.store.snapshot();
        fleet.addHosts(fleetSize);
        const auto [claimant, claim] = fleet.nextClaim();
        fleet.pass(seconds(1));
        fleet.dead.insert(claimant);
        fleet.restoreStore();
        BOOST_TEST(fleet.timeToCoordinator(seconds(3), fleet.dead).has_value());
        const size_t coordinator = fleet.coordinatorsExcept(fleet.dead).at(0);
        fleet.carryOut(claim, fleet.store.revisionOf(coordinatorKey));
        fleet.pass(milliseconds(200)); // The coordinator reads the change.
        BOOST_TEST(!fleet.hosts[coordinator]->coordinator.isActive());
        const std::optional<Duration> time = fleet.timeToCoordinator(takeoverTime, fleet.dead);
        BOOST_REQUIRE(time.has_value());
        BOOST_TEST(time->count() >= Duration(coordinatorLease - milliseconds(200)).count());
        const std::vector<uint64_t> tokens = coordinatorTokens(capture.text.str());
        BOOST_TEST(std::is_sorted(tokens.begin(), tokens.end(), std::less_equal<uint64_t>()));
    }
}

// Guards against a coordinator that gives up because it reads the claim that it has just replaced.
BOOST_AUTO_TEST_CASE(a_coordinator_is_not_ended_by_the_claim_that_it_replaced)
{
    const CerrCapture capture;
    RestoredFleet fleet(0);
    fleet.store.snapshot();
    fleet.addHosts(smallFleet);
    const auto [claimant, claim] = fleet.nextClaim();
    fleet.pass(seconds(1));
    fleet.dead.insert(claimant);
    fleet.restoreStore();
    fleet.carryOut(claim, 0);
    // Frequent changes are read in batches, so no host reads the new claim at once.
    for (int i = 0; i < 200 && fleet.coordinatorsExcept(fleet.dead).empty(); ++i) {
        fleet.store.put("s/r1", "replica");
        fleet.pass(milliseconds(20));
    }
    BOOST_REQUIRE(fleet.coordinatorsExcept(fleet.dead).size() == 1U);
    FakeFleet::Host& coordinator = *fleet.hosts[fleet.coordinatorsExcept(fleet.dead).at(0)];
    const uint64_t before = fleet.store.revisionOf(coordinatorKey) - 1;
    const StoreEvents events { 0, before, Duration(0), { { "plantainwall/replicas/none", "", before, false } },
        fleet.store.era() };
    for (const std::string& datagram : encodeStoreEvents(events))
        coordinator.member.peerDatagram(datagram);
    BOOST_TEST(coordinator.coordinator.isActive());
    fleet.pass(seconds(1));
    BOOST_TEST(coordinator.coordinator.isActive());
}

// Guards against statements to a draining server whose entry in the copy is older than its notice.
BOOST_AUTO_TEST_CASE(a_draining_server_stays_draining)
{
    const CerrCapture capture;
    for (const size_t fleetSize : { smallFleet, largeFleet }) {
        RestoredFleet fleet(fleetSize);
        const auto hostsWhereDraining = [&] {
            return static_cast<size_t>(std::count_if(fleet.hosts.begin(), fleet.hosts.end(), [](const auto& host) {
                const ServerEntry* const entry = host->fixture.gateway.directory().find("r1");
                return entry != nullptr && entry->draining;
            }));
        };
        fleet.store.put("s/r1", "replica 40 7");
        fleet.pass(seconds(1));
        fleet.store.snapshot();
        fleet.store.put("s/r1", "replica draining 41 7");
        fleet.pass(seconds(1));
        BOOST_TEST(hostsWhereDraining() == fleetSize);
        fleet.restoreStore();
        for (int i = 0; i < 40; ++i) {
            fleet.pass(milliseconds(100));
            BOOST_TEST(hostsWhereDraining() == fleetSize);
        }
        fleet.store.put("s/r1", "replica 1 8"); // Started again: its numbers start anew.
        fleet.pass(seconds(1));
        BOOST_TEST(hostsWhereDraining() == 0U);
    }
}

// Guards against a copy with the entry of the process before the running one, which took the running one for ended.
BOOST_AUTO_TEST_CASE(a_restarted_server_stays_the_running_one)
{
    const CerrCapture capture;
    for (const size_t fleetSize : { smallFleet, largeFleet }) {
        RestoredFleet fleet(fleetSize);
        const auto hostsWhereStarted = [&](uint64_t start) {
            return static_cast<size_t>(std::count_if(fleet.hosts.begin(), fleet.hosts.end(), [&](const auto& host) {
                const ServerEntry* const entry = host->fixture.gateway.directory().find("r1");
                return entry != nullptr && entry->startedUnixMs == start;
            }));
        };
        fleet.store.put("s/r1", "replica 40 7");
        fleet.pass(seconds(1));
        fleet.store.snapshot();
        fleet.store.put("s/r1", "replica 1 8");
        fleet.pass(seconds(1));
        BOOST_TEST(hostsWhereStarted(8) == fleetSize);
        fleet.restoreStore();
        for (int i = 0; i < 40; ++i) {
            fleet.pass(milliseconds(100));
            BOOST_TEST(hostsWhereStarted(8) == fleetSize);
        }
        // A server that keeps its entry alive runs, whatever its start is.
        fleet.pass(seconds(4));
        for (const auto& host : fleet.hosts)
            host->fixture.gateway.tick();
        BOOST_TEST(hostsWhereStarted(7) == fleetSize);
    }
}

// Guards against changes that another host relayed before it knew of the restore, and that arrive after it.
BOOST_AUTO_TEST_CASE(relayed_changes_of_the_earlier_history_are_ignored)
{
    const CerrCapture capture;
    RestoredFleet fleet(largeFleet);
    fleet.store.snapshot();
    fleet.channel.sent.clear();
    for (int i = 0; i < 300; ++i) {
        fleet.store.put("s/ghost", "replica");
        if (i % 10 == 0)
            fleet.pass(milliseconds(20));
    }
    fleet.pass(seconds(1));
    std::vector<std::string> relayed;
    for (const FakePeerNetwork::Datagram& datagram : fleet.channel.sent) {
        if (datagram.to == "7" && isStoreEvents(datagram.text))
            relayed.push_back(datagram.text);
    }
    BOOST_TEST(relayed.size() > 3U);
    fleet.restoreStore();
    for (int i = 0; i < 50; ++i) {
        fleet.pass(milliseconds(100));
        for (const std::unique_ptr<FakeFleet::Host>& host : fleet.hosts) {
            for (const std::string& datagram : relayed)
                host->member.peerDatagram(datagram);
        }
    }
    for (const std::unique_ptr<FakeFleet::Host>& host : fleet.hosts) {
        host->fixture.gateway.tick();
        BOOST_TEST(host->fixture.gateway.directory().find("ghost") == nullptr);
    }
    fleet.store.put("config", "3");
    fleet.pass(configurationTime);
    BOOST_TEST(fleet.hostsWith(3) == largeFleet);
}

BOOST_FIXTURE_TEST_CASE(pages_of_two_eras_start_again, FollowerFixture)
{
    store.answer(StoreOutcome::Ok, { { "config", "7", 30, false } }, 40, true, 1);
    store.answer(StoreOutcome::Ok, { { "s/a", "x", 4, false } }, 12, true, 2);
    BOOST_TEST(store.lists.back().empty());
    BOOST_TEST(versions.empty());
    BOOST_TEST(listed == 0U);
    store.answer(StoreOutcome::Ok, { { "config", "6", 3, false } }, 12, true, 2);
    store.answer(StoreOutcome::Ok, { { "s/a", "x", 4, false } }, 13, false, 2);
    BOOST_TEST((versions == std::vector<uint64_t> { 6 }));
    BOOST_TEST(listed == 1U);
    BOOST_TEST(store.watches.back() == 12U);
}

// The revision of the watch exists in the new era too; the events after it are not all that has changed.
BOOST_FIXTURE_TEST_CASE(events_of_a_newer_era_are_not_applied, FollowerFixture)
{
    store.answer(StoreOutcome::Ok, {}, 10, false, 1);
    store.answer(StoreOutcome::Ok, { { "s/b", "x", 12, false } }, 12, false, 2);
    BOOST_TEST(written.empty());
    BOOST_TEST(relayed.empty());
    BOOST_REQUIRE(store.lists.size() == 2U);
    store.answer(StoreOutcome::Ok, { { "s/a", "x", 9, false }, { "s/b", "x", 12, false } }, 12, false, 2);
    BOOST_TEST(listed == 2U);
    BOOST_TEST(store.watches.back() == 12U);
}

// A rejected call carries the era too. The first listing after it may have lower revisions.
BOOST_FIXTURE_TEST_CASE(a_failed_call_reveals_the_era, FollowerFixture)
{
    store.answer(StoreOutcome::Ok, { { "config", "7", 20, false } }, 20, false, 1);
    store.answer(StoreOutcome::Refused, {}, 0, false, 2);
    BOOST_TEST(follower.era() == 2U);
    follower.applyRelayed({ 20, 25, Duration(0), { { "s/a", "x", 25, false } }, 1 });
    BOOST_TEST(written.empty());
    runDelayedTask();
    store.answer(StoreOutcome::Ok, { { "config", "8", 5, false } }, 6, false, 2);
    BOOST_TEST((versions == std::vector<uint64_t> { 7, 8 }));
    BOOST_TEST(store.watches.back() == 6U);
}

BOOST_FIXTURE_TEST_CASE(an_answer_of_an_older_era_changes_nothing, FollowerFixture)
{
    store.answer(StoreOutcome::Ok, { { "config", "7", 3, false } }, 5, false, 2);
    store.answer(StoreOutcome::Ok, { { "config", "8", 20, false }, { "s/a", "x", 21, false } }, 21, false, 1);
    BOOST_TEST(follower.era() == 2U);
    BOOST_TEST((versions == std::vector<uint64_t> { 7 }));
    BOOST_TEST(written.empty());
    runDelayedTask();
    store.answer(StoreOutcome::Ok, { { "config", "9", 8, false } }, 9, false, 2);
    BOOST_TEST((versions == std::vector<uint64_t> { 7, 9 }));
}

// Versions order configurations, whatever their revisions are, and an unreadable one hides no later one.
BOOST_FIXTURE_TEST_CASE(configurations_are_ordered_by_version, FollowerFixture)
{
    store.answer(StoreOutcome::Ok, { { "config", "7", 20, false } }, 20, false, 1);
    store.answer(StoreOutcome::Unreachable);
    runDelayedTask();
    store.answer(StoreOutcome::Ok, { { "config", "6", 5, false } }, 6, false, 2);
    store.answer(StoreOutcome::Ok,
        { { "config", "7", 7, false }, { "config", "broken", 8, false }, { "config", "9", 9, false },
            { "config", "broken", 10, false } },
        10, false, 2);
    runDelayedTask();
    store.answer(StoreOutcome::Ok, { { "config", "8", 30, false } }, 30, false, 2);
    BOOST_TEST((versions == std::vector<uint64_t> { 7, 9 }));
    runDelayedTask();
    store.answer(StoreOutcome::Ok, { { "config", "10", 31, false } }, 31, false, 2);
    BOOST_TEST(versions.back() == 10U);
}

// Another host may call the restored store first.
BOOST_FIXTURE_TEST_CASE(a_relay_of_a_newer_era_leads_to_a_listing, FollowerFixture)
{
    store.answer(StoreOutcome::Ok, {}, 10, false, 1);
    follower.setSource(StoreSource::Relay);
    store.answer(StoreOutcome::Ok, {}, 10, false, 1);
    follower.applyRelayed({ 10, 12, Duration(0), { { "s/a", "x", 12, false } }, 2 });
    BOOST_TEST(written.empty());
    BOOST_TEST(!follower.missingAfter().has_value());
    runDelayedTask();
    BOOST_REQUIRE(store.lists.size() == 2U);
    store.answer(StoreOutcome::Ok, { { "s/b", "x", 3, false } }, 4, false, 2);
    BOOST_TEST(listed == 1U);
    follower.applyRelayed({ 4, 5, Duration(0), { { "s/c", "x", 5, false } }, 2 });
    BOOST_TEST((written == std::vector<std::string> { "c" }));
    follower.applyRelayed({ 5, 40, Duration(0), { { "s/d", "x", 40, false } }, 1 });
    now += seconds(1);
    BOOST_TEST(!follower.missingAfter().has_value());
    BOOST_TEST((written == std::vector<std::string> { "c" }));
}

#include "revocation_exchange.h"
#include "support_gateway.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr uint64_t token = 7;
const PrimaryRevocation revoked { 2, RevocationScope::AllCommits, "r1", true };

/// A coordinator "0" and other hosts, whose datagrams arrive 20 ms after they were sent.
struct Hosts {
    struct Host final : PeerChannel {
        Host(Hosts& hosts, size_t index, uint64_t incarnation)
            : hosts(hosts)
            , index(index)
            , exchange(
                  std::to_string(index), incarnation, *this, [&hosts] { return hosts.now; }, fixture.gateway)
        {
        }

        void send(const std::string& address, const std::string& text) override
        {
            ++hosts.sent;
            hosts.inFlight.emplace(hosts.now + milliseconds(20), std::make_pair(std::stoul(address), text));
        }

        bool revoked(uint64_t term) const
        {
            return const_cast<Gateway&>(fixture.gateway)
                .revocations()
                .withholdsCommits("orders", "r1", term, hosts.now);
        }

        Hosts& hosts;
        size_t index;
        GatewayFixture fixture;
        RevocationExchange exchange;
    };

    explicit Hosts(size_t n)
    {
        for (size_t i = 0; i < n; ++i) {
            targets.push_back({ std::to_string(i), std::to_string(i), 1, true });
            all.push_back(std::make_unique<Host>(*this, i, 1));
        }
    }

    void pass(Duration duration)
    {
        const auto addressOf = [](const std::string& host) { return host; };
        for (Duration passed {}; passed < duration; passed += milliseconds(10)) {
            now += milliseconds(10);
            while (!inFlight.empty() && inFlight.begin()->first <= now) {
                const auto [to, text] = inFlight.begin()->second;
                inFlight.erase(inFlight.begin());
                if (lost.count(to) == 0)
                    all[to]->exchange.datagram(text, addressOf);
            }
            all[0]->exchange.tick([this] { return std::vector<RevocationTarget>(targets.begin() + 1, targets.end()); });
        }
    }

    /// Returns the last datagram that is on its way to a host.
    std::string lastTo(size_t host) const
    {
        std::string text;
        for (const auto& [at, datagram] : inFlight)
            text = datagram.first == host ? datagram.second : text;
        BOOST_REQUIRE(!text.empty());
        return text;
    }

    bool inForce() const { return all[0]->exchange.inForceSince("orders").has_value(); }

    Instant now { seconds(1000) };
    std::multimap<Instant, std::pair<size_t, std::string>> inFlight;
    std::vector<RevocationTarget> targets;
    std::vector<std::unique_ptr<Host>> all;
    std::set<size_t> lost; ///< Hosts to which datagrams are lost.
    size_t sent = 0;
};

} // namespace

// A revocation is in force once every host has acknowledged it, one round trip later, and all hosts hold it by then.
BOOST_AUTO_TEST_CASE(revocation_is_in_force_after_a_round_trip)
{
    Hosts it(3);
    it.all[0]->exchange.setRevocation("orders", revoked, token);
    BOOST_TEST(it.all[0]->revoked(1));
    it.pass(milliseconds(30));
    BOOST_TEST(!it.inForce());
    it.pass(milliseconds(30));
    BOOST_TEST(it.inForce());
    for (const std::unique_ptr<Hosts::Host>& host : it.all) {
        BOOST_TEST(host->revoked(1));
        BOOST_TEST(!host->revoked(2));
    }
    it.pass(seconds(20));
    for (const std::unique_ptr<Hosts::Host>& host : it.all)
        BOOST_TEST(host->revoked(1));
}

// Lost datagrams delay a revocation; a host that cannot be reached is waited for until it has lost contact, whether or
// not its reports arrive.
BOOST_AUTO_TEST_CASE(hosts_that_do_not_acknowledge_delay_a_revocation)
{
    Hosts it(3);
    it.lost = { 2 };
    it.all[0]->exchange.setRevocation("orders", revoked, token);
    it.pass(milliseconds(300));
    BOOST_TEST(!it.inForce());
    it.lost.clear();
    it.pass(milliseconds(200));
    BOOST_TEST(it.inForce());

    for (const bool reachable : { true, false }) {
        Hosts cut(3);
        cut.lost = { 2 };
        cut.targets[2].reachable = reachable;
        cut.all[0]->exchange.setRevocation("orders", revoked, token);
        cut.pass(FleetContactSettings().timeout);
        BOOST_TEST(!cut.inForce());
        cut.pass(milliseconds(200));
        BOOST_TEST(cut.inForce());
    }

    Hosts ended(3);
    ended.lost = { 2 };
    ended.targets[2].reachable = false;
    ended.targets[2].mayRun = false;
    ended.all[0]->exchange.setRevocation("orders", revoked, token);
    ended.pass(milliseconds(100));
    BOOST_TEST(ended.inForce());

    // Commits of a primary that is demoted first are not withheld, so nothing depends on hosts that do not answer.
    Hosts leaving(3);
    leaving.lost = { 2 };
    leaving.targets[2].reachable = false;
    leaving.all[0]->exchange.setRevocation(
        "orders", PrimaryRevocation { 2, RevocationScope::NewCommits, "", false }, token);
    leaving.pass(milliseconds(100));
    BOOST_TEST(leaving.inForce());
}

// A host that reaches the store alone learns of a revocation there, so its time begins when the store has it.
BOOST_AUTO_TEST_CASE(revocation_is_recorded_before_hosts_out_of_reach_are_given_up)
{
    for (const bool storeAnswers : { true, false }) {
        Hosts it(2);
        it.lost = { 1 };
        RevocationExchange& exchange = it.all[0]->exchange;
        exchange.setStoreReachable(true);
        exchange.setRevocation("orders", revoked, token);
        it.pass(milliseconds(500));
        const std::vector<StoreWrite> writes = exchange.records().due({}, it.now);
        BOOST_REQUIRE(writes.size() == 1U);
        if (storeAnswers) {
            exchange.records().written(writes[0].key, { StoreOutcome::Ok, 11, 1 }, it.now);
            Gateway& other = it.all[1]->fixture.gateway;
            BOOST_TEST(!it.all[1]->revoked(1));
            it.all[1]->exchange.itemsRead({ { writes[0].key, { writes[0].key, writes[0].value, 11 } } }, true);
            BOOST_TEST(it.all[1]->revoked(1));
            BOOST_TEST(other.revocations().isRevoked("orders", "p", 1, it.now));
        }
        it.pass(FleetContactSettings().timeout - milliseconds(500));
        BOOST_TEST(!it.inForce());
        // A primary is replaced without an answer of the store, too.
        it.pass(milliseconds(400));
        BOOST_TEST(it.inForce() == !storeAnswers);
        it.pass(milliseconds(500));
        BOOST_TEST(it.inForce());
    }
}

// A host that restarts has forgotten the revocation and receives it again at once.
BOOST_AUTO_TEST_CASE(restarted_host_receives_a_revocation_again)
{
    Hosts it(3);
    it.all[0]->exchange.setRevocation("orders", revoked, token);
    it.pass(milliseconds(200));
    it.all[2] = std::make_unique<Hosts::Host>(it, 2, 5);
    BOOST_TEST(!it.all[2]->revoked(1));
    it.targets[2].incarnation = 5;
    it.pass(milliseconds(200));
    BOOST_TEST(it.all[2]->revoked(1));
}

// Hosts learn of the next primary with the withdrawal, and nothing is sent afterwards.
BOOST_AUTO_TEST_CASE(withdrawal_names_the_next_primary)
{
    Hosts it(3);
    it.all[0]->exchange.setRevocation("orders", revoked, token);
    it.pass(milliseconds(200));
    it.all[0]->fixture.gateway.directory().notePrimary("orders", "r1", 2);
    it.all[0]->exchange.setRevocation("orders", std::nullopt, token);
    it.pass(milliseconds(200));
    for (const std::unique_ptr<Hosts::Host>& host : it.all) {
        BOOST_TEST(!host->revoked(1));
        BOOST_TEST(host->fixture.gateway.directory().provenPrimary("orders").first == "r1");
    }
    it.pass(seconds(3));
    const size_t sent = it.sent;
    it.pass(seconds(3));
    BOOST_TEST(it.sent == sent);
}

// A revocation of a coordinator that ended is dropped by its hosts, and one of an earlier coordinator is ignored.
BOOST_AUTO_TEST_CASE(revocation_of_an_ended_coordinator_ends)
{
    Hosts it(3);
    it.all[0]->exchange.setRevocation("orders", revoked, token);
    it.pass(milliseconds(200));
    it.all[0]->exchange.reset();
    it.all[0]->exchange.setRevocation(
        "orders", PrimaryRevocation { 3, RevocationScope::AllCommits, "r1", false }, token - 1);
    it.pass(milliseconds(200));
    for (const std::unique_ptr<Hosts::Host>& host : it.all) {
        BOOST_TEST(host->revoked(1));
        BOOST_TEST(!host->revoked(2));
    }
    it.all[0]->exchange.reset();
    it.pass(seconds(10));
    for (const std::unique_ptr<Hosts::Host>& host : it.all)
        BOOST_TEST(!host->revoked(1));
}

// A malformed message changes nothing and is reported as an error.
BOOST_AUTO_TEST_CASE(malformed_revocations_are_rejected)
{
    Hosts it(2);
    const auto addressOf = [](const std::string& host) { return host; };
    BOOST_TEST(!it.all[1]->exchange.datagram("other", addressOf));
    for (const char* text : { "revoke? ", "revoke? {}", R"(revoke? {"h":"0","n":1,"s":[["orders",-2,1,7,"",0]]})",
             R"(revoke? {"h":"0","n":1,"s":[["orders"]]})", R"(revoke? {"h":"0","n":1,"s":[["orders",2,2,7,"",0]]})",
             R"(revoke? {"h":"0","n":1,"s":[["orders",2,1,7,"",0,5,true]]})", R"(revoke! {"h":5})" })
        BOOST_CHECK_THROW(it.all[1]->exchange.datagram(text, addressOf), std::exception);
    BOOST_TEST(!it.all[1]->revoked(1));
    const auto unknown = [](const std::string&) { return std::string(); };
    BOOST_TEST(it.all[1]->exchange.datagram(R"(revoke? {"h":"9","n":1,"s":[["orders",2,1,7,"",0]]})", unknown));
    BOOST_TEST(!it.all[1]->revoked(1));
}

// A notice may arrive again, late. After its withdrawal no other one would follow.
BOOST_AUTO_TEST_CASE(a_late_notice_does_not_revoke_again)
{
    Hosts it(2);
    it.all[0]->exchange.setRevocation("orders", revoked, token);
    it.pass(milliseconds(10));
    const std::string notice = it.lastTo(1);
    it.pass(seconds(1));
    it.all[0]->exchange.setRevocation("orders", std::nullopt, token);
    it.pass(seconds(3));
    BOOST_TEST(!it.all[1]->revoked(1));
    it.all[1]->exchange.datagram(notice, [](const std::string& host) { return host; });
    BOOST_TEST(!it.all[1]->revoked(1));
}

// The coordinator counts a revocation as in force once the host has acknowledged it.
BOOST_AUTO_TEST_CASE(a_late_withdrawal_does_not_end_a_revocation)
{
    Hosts it(2);
    it.all[0]->exchange.setRevocation("orders", revoked, token);
    it.pass(milliseconds(100));
    it.all[0]->exchange.setRevocation("orders", std::nullopt, token);
    it.pass(milliseconds(10));
    const std::string withdrawal = it.lastTo(1);
    it.pass(milliseconds(100));
    BOOST_TEST(!it.all[1]->revoked(1));
    it.all[0]->exchange.setRevocation("orders", revoked, token);
    it.pass(milliseconds(100));
    BOOST_TEST(it.inForce());
    it.all[1]->exchange.datagram(withdrawal, [](const std::string& host) { return host; });
    BOOST_TEST(it.all[1]->revoked(1));
}

// A later coordinator may be another process of the same host, whose numbers may be lower.
BOOST_AUTO_TEST_CASE(a_notice_of_a_later_coordinator_counts)
{
    Hosts it(2);
    it.all[0]->exchange.setRevocation("orders", revoked, token);
    it.pass(milliseconds(100));
    for (const char* text : { R"(revoke? {"h":"0","n":1,"s":[["orders",0,0,8,"",0]]})",
             R"(revoke? {"h":"0","n":1,"s":[["orders",2,1,9,"",0]]})" }) {
        const bool before = it.all[1]->revoked(1);
        it.all[1]->exchange.datagram(text, [](const std::string& host) { return host; });
        BOOST_TEST(it.all[1]->revoked(1) == !before);
    }
}

// An acknowledgement of a notice of the coordinator's earlier process must not count for the present one.
BOOST_AUTO_TEST_CASE(an_acknowledgement_to_an_earlier_process_does_not_count)
{
    Hosts it(2);
    for (int i = 0; i < 3; ++i) {
        it.all[0]->exchange.setRevocation("orders", std::nullopt, token);
        it.all[0]->exchange.setRevocation("orders", revoked, token);
    }
    it.pass(milliseconds(30));
    const std::string acknowledgement = it.lastTo(0);
    it.all[0] = std::make_unique<Hosts::Host>(it, 0, 2);
    it.lost = { 1 };
    it.all[0]->exchange.setRevocation("orders", revoked, token + 1);
    it.pass(milliseconds(10));
    it.all[0]->exchange.datagram(acknowledgement, [](const std::string& host) { return host; });
    it.pass(milliseconds(100));
    BOOST_TEST(!it.inForce());
}

// The coordinator learns up to where callers were told of commits once every host that may run has said so.
BOOST_AUTO_TEST_CASE(acknowledged_positions_are_collected_from_all_hosts)
{
    Hosts it(4);
    it.pass(milliseconds(10));
    for (size_t i = 0; i < 4; ++i) {
        Gateway& gateway = it.all[i]->fixture.gateway;
        gateway.commitAcknowledged("orders", { 1, 18 + i }, { 1, 20 + i });
        gateway.positionReceived("orders", { { 1, 18 }, it.now });
    }
    const auto newest = [&] { return it.all[0]->exchange.newestAcknowledged("orders"); };
    it.lost = { 3 };
    it.all[0]->exchange.setRevocation("orders", revoked, token);
    it.pass(milliseconds(300));
    BOOST_TEST((newest().earliest == LogPosition { 1, 21 }));
    BOOST_TEST(!newest().latest);
    it.lost.clear();
    it.pass(milliseconds(200));
    BOOST_TEST((newest().earliest == LogPosition { 1, 22 }));
    BOOST_TEST((newest().latest == LogPosition { 1, 23 }));
    // What a host that ended meanwhile had acknowledged is in no report.
    it.all[0]->exchange.noteDeparture();
    it.pass(milliseconds(10));
    BOOST_TEST((newest().earliest == LogPosition { 1, 22 }));
    BOOST_TEST(!newest().latest);
    // While commits are acknowledged there is no last one.
    it.all[0]->exchange.setRevocation("orders", PrimaryRevocation { 2, RevocationScope::NewCommits, "", false }, token);
    it.pass(milliseconds(200));
    BOOST_TEST(!newest().latest);
}

// Hosts of an earlier version acknowledge without positions.
BOOST_AUTO_TEST_CASE(acknowledgement_without_positions_leaves_them_unknown)
{
    Hosts it(2);
    it.pass(milliseconds(10));
    it.all[0]->fixture.gateway.positionReceived("orders", { { 1, 18 }, it.now });
    it.all[0]->exchange.setRevocation("orders", revoked, token);
    it.pass(milliseconds(30));
    std::string text = it.lastTo(0);
    it.lost = { 0 };
    it.pass(milliseconds(30));
    text.replace(text.find(R"("c":)"), 4, R"("x":)");
    it.all[0]->exchange.datagram(text, [](const std::string& host) { return host; });
    it.pass(milliseconds(10));
    BOOST_TEST(it.inForce());
    BOOST_TEST(!it.all[0]->exchange.newestAcknowledged("orders").latest);
}

// An order without an answer may let another server lead before the newest one takes effect.
BOOST_AUTO_TEST_CASE(only_the_ordered_server_may_lead)
{
    Hosts it(2);
    it.all[0]->exchange.setRevocation("orders", PrimaryRevocation { 2, RevocationScope::AllCommits, "", false }, token);
    it.pass(milliseconds(200));
    PrimaryRevocations& held = it.all[1]->fixture.gateway.revocations();
    for (const char* server : { "r1", "r2" })
        BOOST_TEST(held.withholdsCommits("orders", server, 2, it.now));
    it.all[0]->exchange.setRevocation(
        "orders", PrimaryRevocation { 2, RevocationScope::AllCommits, "r1", false }, token);
    it.pass(milliseconds(200));
    BOOST_TEST(!held.withholdsCommits("orders", "r1", 2, it.now));
    BOOST_TEST(held.withholdsCommits("orders", "r1", 1, it.now));
    BOOST_TEST(held.withholdsCommits("orders", "r2", 2, it.now));
    BOOST_TEST(held.isRevoked("orders", "r2", maxLogNumber, it.now));
}

// Guards against a coordinator that takes a change for ended whose orders may still be carried out.
BOOST_AUTO_TEST_CASE(next_coordinator_learns_of_an_unfinished_change)
{
    for (const bool fromStore : { false, true }) {
        Hosts it(2);
        RevocationExchange& first = it.all[0]->exchange;
        first.setStoreReachable(true);
        first.setRevocation("orders", revoked, token);
        BOOST_TEST(!first.requireRecord("orders"));
        const std::vector<StoreWrite> writes = first.records().due({}, it.now);
        BOOST_REQUIRE(writes.size() == 1U);
        first.records().written(writes[0].key, { StoreOutcome::Ok, 11, 1 }, it.now);
        BOOST_TEST(first.requireRecord("orders"));
        const std::map<std::string, StoreItem> items { { writes[0].key, { writes[0].key, writes[0].value, 11 } } };
        if (fromStore) {
            it.all[1] = std::make_unique<Hosts::Host>(it, 1, 2);
            it.all[1]->exchange.itemsRead(items, true);
        } else
            it.pass(milliseconds(100));
        RevocationExchange& next = it.all[1]->exchange;
        BOOST_TEST(!next.unfinished("orders", token).has_value());
        BOOST_REQUIRE(next.unfinished("orders", token + 1).has_value());
        BOOST_TEST(next.unfinished("orders", token + 1)->term == 2U);
        it.now += seconds(14);
        BOOST_TEST(!next.unfinished("orders", token + 1).has_value());
        it.now -= seconds(14);
        next.dismiss("orders", token + 1);
        BOOST_TEST(!next.unfinished("orders", token + 2).has_value());
        const std::vector<StoreWrite> removals = next.records().due(items, it.now);
        BOOST_REQUIRE(removals.size() == 1U);
        BOOST_TEST(removals[0].removes);
        BOOST_TEST(removals[0].expectedRevision == 11U);
    }
}

// Guards against a coordinator that replaces a healthy primary after the one before has given a change up.
BOOST_AUTO_TEST_CASE(change_without_an_order_leaves_nothing_unfinished)
{
    Hosts it(3);
    it.lost.insert(2);
    RevocationExchange& first = it.all[0]->exchange;
    first.setStoreReachable(true);
    first.setRevocation("orders", PrimaryRevocation { 2, RevocationScope::AllCommits, "", false }, token);
    it.pass(milliseconds(200));
    const std::vector<StoreWrite> writes = first.records().due({}, it.now);
    BOOST_REQUIRE(writes.size() == 1U);
    it.all[2]->exchange.itemsRead({ { writes[0].key, { writes[0].key, writes[0].value, 11 } } }, true);
    for (size_t i : { 1, 2 }) {
        BOOST_TEST(it.all[i]->revoked(1));
        BOOST_TEST(!it.all[i]->exchange.unfinished("orders", token + 1).has_value());
    }
    // The role passes on before a repetition would tell the hosts.
    it.lost.clear();
    first.setRevocation("orders", std::nullopt, token);
    first.reset();
    it.pass(milliseconds(50));
    BOOST_TEST(!it.all[1]->revoked(1));
}

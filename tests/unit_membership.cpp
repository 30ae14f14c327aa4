#include "controller_membership_codec.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>

using namespace plantainwall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Fleet in virtual time. Every call and every answer may be lost; an unanswered call fails after one second.
class Fleet {
public:
    Fleet(unsigned count, double loss, uint64_t seed)
        : m_loss(loss)
        , m_random(seed)
        , m_hosts(count)
    {
        for (unsigned i = 0; i < count; ++i) {
            start(i, 1);
            at(m_now + Duration(m_random() % 1000000), [this, i] { tick(i); });
        }
    }

    void start(unsigned i, uint64_t incarnation)
    {
        HostConfig config;
        config.name = name(i);
        config.peerAddress = "http://10.0.0.0:" + std::to_string(10000 + i);
        config.callerAddress = "http://10.0.0.0:" + std::to_string(20000 + i);
        config.dataCentre = "data-centre-" + std::to_string(i % (m_hosts.size() < 20 ? 3 : 6));
        config.region = "region";
        m_hosts[i].membership = std::make_unique<Membership>(
            MembershipSettings(), config, incarnation, std::vector<std::string> { "http://10.0.0.0:10000" });
        m_hosts[i].membership->setPayload("config", "123456/250");
    }

    static std::string name(unsigned i) { return "entry-host-" + std::to_string(1000 + i); }

    void runUntil(Instant end)
    {
        while (!m_events.empty() && m_events.begin()->first <= end) {
            m_now = m_events.begin()->first;
            const std::function<void()> event = std::move(m_events.begin()->second);
            m_events.erase(m_events.begin());
            event();
        }
        m_now = end;
    }

    Instant now() const { return m_now; }
    Membership& membership(unsigned i) { return *m_hosts[i].membership; }
    void kill(unsigned i) { m_hosts[i].membership.reset(); }
    void setSide(unsigned i, unsigned side) { m_hosts[i].side = side; }
    uint64_t bytes() const { return m_bytes; }
    size_t largest() const { return m_largest; }

    void send(unsigned from, const std::vector<SendGossip>& calls)
    {
        for (const SendGossip& call : calls)
            deliver(from, call);
    }

    void drain(unsigned i) { send(i, m_hosts[i].membership->drain(m_now, m_random)); }

    HostState stateAt(unsigned observer, unsigned i) { return m_hosts[observer].membership->stateOf(name(i), m_now); }

    /// Returns how many running hosts see host i in the given state.
    unsigned countSeeing(unsigned i, HostState state)
    {
        unsigned count = 0;
        for (unsigned k = 0; k < m_hosts.size(); ++k)
            count += k != i && m_hosts[k].membership && stateAt(k, i) == state;
        return count;
    }

    /// Returns how many pairs of running hosts see each other in the given state.
    unsigned countPairs(HostState state)
    {
        unsigned count = 0;
        for (unsigned i = 0; i < m_hosts.size(); ++i)
            count += m_hosts[i].membership ? countSeeing(i, state) : 0;
        return count;
    }

private:
    struct Host {
        std::unique_ptr<Membership> membership;
        unsigned side = 0;
    };

    void at(Instant when, std::function<void()> event) { m_events.emplace(when, std::move(event)); }

    void tick(unsigned i)
    {
        at(m_now + seconds(1), [this, i] { tick(i); });
        if (m_hosts[i].membership)
            send(i, m_hosts[i].membership->tick(m_now, m_random));
    }

    bool lost() { return std::uniform_real_distribution<double>(0, 1)(m_random) < m_loss; }

    GossipMessage pass(const GossipMessage& message)
    {
        // In a large fleet only one message in 50 is encoded, and its size is counted 50 times.
        const unsigned sampling = m_hosts.size() < 20 ? 1 : 50;
        if (++m_passed % sampling)
            return message;
        const std::string text = encodeGossip(message);
        // 350 bytes: HTTP head, authentication and JSON-RPC envelope.
        m_bytes += (text.size() + 350) * sampling;
        m_largest = std::max(m_largest, text.size());
        return decodeGossip(text);
    }

    void deliver(unsigned from, const SendGossip& call)
    {
        const unsigned to = static_cast<unsigned>(std::stoul(call.address.substr(call.address.size() - 5)) - 10000);
        const Instant sent = m_now;
        const std::shared_ptr<const GossipMessage> message = std::make_shared<GossipMessage>(pass(call.message));
        const std::shared_ptr<const SendGossip> sentCall = std::make_shared<SendGossip>(call);
        const bool reached = m_hosts[to].side == m_hosts[from].side && !lost();
        const bool answerReached = !lost();
        Membership* sender = m_hosts[from].membership.get();
        at(m_now + milliseconds(30), [=] {
            const bool arrived = reached && m_hosts[to].membership;
            std::shared_ptr<const GossipMessage> answer;
            if (arrived)
                answer = std::make_shared<GossipMessage>(pass(m_hosts[to].membership->receive(*message, m_now)));
            const Instant done = arrived && answerReached ? m_now + milliseconds(30) : sent + seconds(1);
            at(done, [=] {
                if (m_hosts[from].membership.get() != sender || !sender)
                    return;
                send(from,
                    arrived && answerReached ? sender->answered(*sentCall, *answer, m_now)
                                             : sender->failed(*sentCall, sent, m_now));
            });
        });
    }

    double m_loss;
    std::mt19937_64 m_random;
    Instant m_now { seconds(1000) };
    std::vector<Host> m_hosts;
    std::multimap<Instant, std::function<void()>> m_events;
    uint64_t m_bytes = 0;
    uint64_t m_passed = 0;
    size_t m_largest = 0;
};

void checkFleet(unsigned count, uint64_t seed)
{
    Fleet fleet(count, 0.01, seed);
    const Instant warm = fleet.now() + seconds(count < 20 ? 30 : 60);
    fleet.runUntil(warm);
    BOOST_TEST(fleet.countPairs(HostState::Live) == count * (count - 1));
    const uint64_t bytesBefore = fleet.bytes();
    unsigned dead = 0;
    unsigned suspect = 0;
    const unsigned step = count < 20 ? 1 : 5; // Seconds between two counts of all pairs.
    for (unsigned second = step; second <= 20; second += step) {
        fleet.runUntil(warm + seconds(second));
        dead += fleet.countPairs(HostState::Dead);
        suspect += fleet.countPairs(HostState::Suspect);
    }
    const double bytesPerSecond = static_cast<double>(fleet.bytes() - bytesBefore) / 20 / count;
    const Instant killed = fleet.now();
    fleet.kill(count / 2);
    Duration firstSuspect {};
    Duration allSuspect {};
    Duration allDead {};
    for (unsigned n = 1; n <= 75 && allDead == Duration(0); ++n) {
        fleet.runUntil(killed + milliseconds(200) * n);
        const unsigned seenDead = fleet.countSeeing(count / 2, HostState::Dead);
        const unsigned seen = seenDead + fleet.countSeeing(count / 2, HostState::Suspect);
        if (seen && firstSuspect == Duration(0))
            firstSuspect = milliseconds(200) * n;
        if (seen == count - 1 && allSuspect == Duration(0))
            allSuspect = milliseconds(200) * n;
        if (seenDead == count - 1)
            allDead = milliseconds(200) * n;
    }
    BOOST_TEST_MESSAGE(count << " hosts, 1% loss, seed " << seed << ": " << bytesPerSecond
                             << " bytes/s sent per host, largest message " << fleet.largest()
                             << " bytes, wrongly suspect " << suspect << " and dead " << dead << " of "
                             << 20 / step * count * (count - 1)
                             << " observations; killed host suspect at the first after " << firstSuspect.count() / 1000
                             << " ms, at all after " << allSuspect.count() / 1000 << " ms, dead at all after "
                             << allDead.count() / 1000 << " ms");
    BOOST_TEST(dead == 0U);
    BOOST_TEST(bytesPerSecond < 12000);
    BOOST_TEST(fleet.largest() < 20000U);
    BOOST_TEST((firstSuspect >= milliseconds(2900) && firstSuspect <= milliseconds(6000)));
    BOOST_TEST((allSuspect > Duration(0) && allSuspect <= seconds(8)));
    BOOST_TEST((allDead > Duration(0) && allDead <= seconds(14)));
}

} // namespace

// Guards against late detection, hosts wrongly taken for dead at 1% loss, messages that grow with the fleet, and too
// much traffic.
BOOST_AUTO_TEST_CASE(dead_hosts_are_detected_in_a_small_fleet)
{
    for (uint64_t seed : { 1U, 2U, 3U, 4U, 5U })
        checkFleet(9, seed);
}

// The same for a fleet in which any two hosts exchange messages directly only every minute or two. 250 hosts, because
// 750 take longer than the time limit.
BOOST_AUTO_TEST_CASE(dead_hosts_are_detected_in_a_large_fleet) { checkFleet(250, 1); }

// Guards against a restarted host that is taken for its dead predecessor, and against a late message of that
// predecessor.
BOOST_AUTO_TEST_CASE(restarted_host_replaces_its_old_incarnation)
{
    Fleet fleet(9, 0, 7);
    fleet.runUntil(fleet.now() + seconds(10));
    fleet.kill(3);
    fleet.runUntil(fleet.now() + seconds(14));
    BOOST_TEST(fleet.countSeeing(3, HostState::Dead) == 8U);
    fleet.start(3, 2);
    fleet.runUntil(fleet.now() + seconds(5));
    BOOST_TEST(fleet.countSeeing(3, HostState::Live) == 8U);
    GossipMessage late;
    late.sender.config.name = Fleet::name(3);
    late.sender.incarnation = 1;
    late.sender.heartbeat = 1000000;
    late.sender.draining = true;
    fleet.membership(0).receive(late, fleet.now());
    BOOST_TEST((fleet.stateAt(0, 3) == HostState::Live));
}

// Guards against draining that becomes known only in later rounds, and views that stay different after a partition.
BOOST_AUTO_TEST_CASE(draining_spreads_at_once_and_partitions_heal)
{
    Fleet fleet(9, 0, 8);
    fleet.runUntil(fleet.now() + seconds(10));
    fleet.drain(2);
    fleet.runUntil(fleet.now() + milliseconds(50));
    BOOST_TEST(fleet.countSeeing(2, HostState::Draining) == 8U);
    for (unsigned i = 0; i < 4; ++i)
        fleet.setSide(i, 1);
    fleet.runUntil(fleet.now() + seconds(30));
    BOOST_TEST(fleet.countSeeing(8, HostState::Dead) == 4U);
    for (unsigned i = 0; i < 4; ++i)
        fleet.setSide(i, 0);
    fleet.runUntil(fleet.now() + seconds(15));
    BOOST_TEST(fleet.countSeeing(8, HostState::Live) == 8U);
    BOOST_TEST(fleet.membership(0).payloadOf(Fleet::name(8), "config") == "123456/250");
}

// Guards against roles for hosts that the platform removes, and against eligible hosts that are known only from the
// list.
BOOST_AUTO_TEST_CASE(platform_list_adds_and_removes)
{
    Fleet fleet(4, 0, 9);
    fleet.runUntil(fleet.now() + seconds(10));
    std::vector<PlatformHost> list;
    for (unsigned i = 0; i < 3; ++i)
        list.push_back({ Fleet::name(i), i == 2 ? PlatformHostState::Leaving : PlatformHostState::Live });
    list.push_back({ "entry-host-new", PlatformHostState::Live });
    fleet.membership(0).setPlatformHosts(list, fleet.now());
    BOOST_TEST((fleet.stateAt(0, 2) == HostState::Draining));
    BOOST_TEST((fleet.stateAt(0, 3) == HostState::Live));
    for (const HostInfo& host : fleet.membership(0).hosts(fleet.now()))
        BOOST_TEST((host.config.name != "entry-host-new" || host.state == HostState::Suspect));
    fleet.kill(3);
    fleet.runUntil(fleet.now() + seconds(7));
    BOOST_TEST((fleet.stateAt(0, 3) == HostState::Dead));
    BOOST_TEST((fleet.membership(0).absentFor(Fleet::name(3), fleet.now()) == seconds(7)));
}

#include "line_socket.h"
#include "support_kv_store.h"
#include "support_line_fleet.h"
#include "support_line_group.h"
#include "support_process.h"
#include <boost/test/unit_test.hpp>
#include <fstream>

// Failures of a gateway process before stand-ins are explained from its log by `plantainwall explain`.

namespace plantainwall::test {

namespace {

    using Clock = std::chrono::steady_clock;
    using std::chrono::milliseconds;
    using std::chrono::seconds;

    constexpr size_t maxLine = 65536;

    /// One entry host, one service with a primary and two replicas.
    class Place {
    public:
        Place()
        {
            for (int i = 0; i < 3; ++i)
                m_serverPorts.push_back(reserveport());
            m_store = std::make_unique<KvStore>(m_loop, m_place.store, [this](const KvStore::Order& order) {
                return m_group->promote(order.id, order.holder, order.fencingToken);
            });
            m_group = std::make_unique<LineGroup>(
                m_loop, m_serverPorts, m_ledger, [this](const LineGroup::Registration& registration) {
                    const std::string key = "servers/" + registration.id;
                    if (registration.removed)
                        m_store->erase(key);
                    else
                        m_store->put(key, serverDocument(m_serverPorts[registration.index], registration));
                });
            configure(true);
            writeGatewaySettings(m_settings, m_place);
            m_gateway = std::make_unique<Process>(
                "plantainwall", std::vector<std::string> { "gateway", "--config", m_settings });
            BOOST_REQUIRE(runUntil([this] { return m_gateway->output().find("configuration_in_force") != npos; }));
        }

        ~Place() { std::remove(m_settings.c_str()); }

        void configure(bool keyValid)
        {
            m_store->put("op/config",
                configurationDocument(++m_version, { { "orders", "primary" } },
                    { { "hatter", 1000, keyValid }, { "milliner", 2, true } }));
        }

        /// Runs the stand-ins until the predicate holds. Returns whether it did in time.
        bool runUntil(const std::function<bool()>& predicate, milliseconds limit = seconds(10))
        {
            for (const Clock::time_point end = Clock::now() + limit; Clock::now() < end;) {
                if (predicate())
                    return true;
                m_loop.run_for(milliseconds(10));
            }
            return predicate();
        }

        /// Opens a caller's session. Its lines go to answers.
        void connect(const std::string& customer)
        {
            m_caller = std::make_shared<LineSocket>(boost::asio::ip::tcp::socket(m_loop), LineEnd::CrLf, maxLine);
            LineSocket::Handlers handlers;
            handlers.line = [this](std::string_view line) {
                answers.emplace_back(line);
                return true;
            };
            handlers.closed = [](bool) {};
            handlers.connected = [this, customer] { m_caller->send("STARTUP orders key-" + customer + "\r\n"); };
            m_customer = customer;
            answers.clear();
            m_caller->connect({ boost::asio::ip::address_v4::loopback(), m_place.callers }, std::move(handlers));
            BOOST_REQUIRE(runUntil([this] { return !answers.empty(); }));
        }

        void send(const std::string& id, const std::string& text)
        {
            answers.clear();
            m_ledger.ask(id, { m_customer, text, 0, {} });
            m_caller->send("QUERY " + id + " " + text + "\r\n");
        }

        /// Sends a statement. Returns its answer up to READY, or what came of it in time.
        std::string ask(const std::string& id, const std::string& text)
        {
            send(id, text);
            return answer();
        }

        std::string answer()
        {
            runUntil([this] { return !answers.empty() && answers.back().rfind("READY", 0) == 0; });
            std::string all;
            for (const std::string& line : answers)
                all += line + '\n';
            return all;
        }

        /// Sends a statement until its answer has a part, with a pause after each. Returns the id of the last one.
        std::string askUntil(const std::string& part, const std::string& prefix, const std::string& text,
            milliseconds pause, unsigned tries = 50)
        {
            std::string id;
            std::string last;
            for (unsigned i = 1; i <= tries && last.find(part) == npos; ++i) {
                id = prefix + "-" + std::to_string(i);
                last = ask(id, text);
                pass(pause);
            }
            BOOST_REQUIRE_MESSAGE(last.find(part) != npos, last);
            return id;
        }

        void crashPrimary() { m_group->crash(m_group->primary()); }

        /// While replicas are away, no write is confirmed.
        void setReplicasRunning(bool running)
        {
            for (size_t i = 0; i < m_group->size(); ++i) {
                if (i != m_group->primary())
                    running ? m_group->restart(i) : m_group->crash(i);
            }
        }

        void pass(milliseconds time)
        {
            runUntil([] { return false; }, time);
        }

        std::string log() const { return m_gateway->output(); }

        /// Returns what `plantainwall explain` prints on a request.
        std::string explain(const std::string& id)
        {
            const std::string log = m_settings + ".log";
            std::ofstream(log) << m_gateway->output();
            Process command("plantainwall", { "explain", id, log });
            BOOST_TEST(command.wait(seconds(10)));
            std::remove(log.c_str());
            BOOST_TEST(command.exitStatus() == (command.output().find("no line on request") == npos ? 0 : 1));
            BOOST_TEST_MESSAGE(command.output());
            return command.output();
        }

        static constexpr size_t npos = std::string::npos;
        std::vector<std::string> answers;

    private:
        boost::asio::io_context m_loop;
        Ledger m_ledger;
        GatewayFileOptions m_place { "host0", reserveport(), reserveport(), reserveport(), reserveport() };
        std::string m_settings = "/tmp/plantainwall-explain-" + std::to_string(getpid()) + ".toml";
        std::vector<uint16_t> m_serverPorts;
        std::unique_ptr<KvStore> m_store;
        std::unique_ptr<LineGroup> m_group;
        std::unique_ptr<Process> m_gateway;
        std::shared_ptr<LineSocket> m_caller;
        std::string m_customer;
        uint64_t m_version = 0;
    };

    bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

    /// Waits until the place serves writes.
    void requireServing(Place& place) { place.askUntil("COMPLETE", "warm", "WRITE item1 data", milliseconds(50)); }

} // namespace

} // namespace plantainwall::test

using namespace plantainwall::test;

// A write whose primary ends before it answers.
BOOST_AUTO_TEST_CASE(write_in_doubt_is_explained)
{
    Place place;
    place.connect("hatter");
    requireServing(place);
    place.setReplicasRunning(false);
    place.send("doubt-1", "WRITE item1 data");
    place.pass(std::chrono::milliseconds(300));
    place.crashPrimary();
    place.setReplicasRunning(true);
    const std::string answer = place.answer();
    BOOST_REQUIRE_MESSAGE(contains(answer, "ERROR INDOUBT"), answer);
    BOOST_REQUIRE(place.runUntil([&place] { return contains(place.log(), "failover_step"); }));
    const std::string text = place.explain("doubt-1");
    BOOST_TEST(contains(text, "write_outcome_unknown"));
    BOOST_TEST(contains(text, "reason: connection lost"));
    BOOST_TEST(contains(text, "server_connection_lost"));
    BOOST_TEST(contains(text, "failover_step"));
    BOOST_TEST(!contains(text, "no line on"));
}

// A statement beyond its customer's rate.
BOOST_AUTO_TEST_CASE(refusal_over_the_rate_is_explained)
{
    Place place;
    place.connect("milliner");
    const std::string text
        = place.explain(place.askUntil("ERROR", "rate", "READ item1", std::chrono::milliseconds(0), 40));
    BOOST_TEST(contains(text, "statement_refused"));
    BOOST_TEST(contains(text, "rate_exceeded"));
    BOOST_TEST(contains(text, "customer=\"milliner\""));
    BOOST_TEST(contains(text, "retry_after_ms="));
}

// A session whose key a newer configuration does not have any more.
BOOST_AUTO_TEST_CASE(refusal_after_a_configuration_change_is_explained)
{
    Place place;
    place.connect("hatter");
    requireServing(place);
    place.configure(false);
    const std::string text = place.explain(place.askUntil("ERROR", "key", "READ item1", std::chrono::milliseconds(50)));
    BOOST_TEST(contains(text, "statement_refused"));
    BOOST_TEST(contains(text, "key_invalid"));
    BOOST_TEST(contains(text, "configuration=2"));
    BOOST_TEST(contains(text, "configuration_in_force"));
    BOOST_TEST(contains(text, "previous=1"));
}

// A request that no log names.
BOOST_AUTO_TEST_CASE(unknown_request_is_said_to_be_missing)
{
    Place place;
    BOOST_TEST(contains(place.explain("nobody-1"), "no line on request nobody-1"));
}

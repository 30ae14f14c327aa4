#include "support_kv_store.h"
#include "support_line_client.h"
#include "support_line_fleet.h"
#include "support_process.h"
#include <boost/test/unit_test.hpp>

// Servers send answers a second time, late: of one command after the other, so that the copy comes at every moment of a
// connection. Entry hosts run as separate processes.

namespace plantainwall::test {

namespace {

    using std::chrono::milliseconds;

    constexpr size_t hostCount = 3;
    constexpr size_t serverCount = 3;
    constexpr unsigned clientCount = 18;
    constexpr milliseconds startTime(1500);
    constexpr milliseconds phaseTime(1500);
    constexpr milliseconds maxDelay(300);

    /// Commands whose answers are repeated, each in a phase of its own; "" repeats those of all.
    constexpr const char* phases[] = { "STARTUP", "RESET", "SET", "PREPARE", "BEGIN", "ROLLBACK", "COMMIT", "READ",
        "WRITE", "EXECUTE", "STATUS", "" };

    class RepeatingFleet {
    public:
        explicit RepeatingFleet(unsigned largeFleet)
        {
            std::vector<uint16_t> serverPorts;
            for (size_t i = 0; i < serverCount; ++i)
                serverPorts.push_back(reserveport());
            m_store = std::make_unique<KvStore>(m_loop, m_storePort, [this](const KvStore::Order& order) {
                return m_group->promote(order.id, order.holder, order.fencingToken);
            });
            m_group = std::make_unique<LineGroup>(
                m_loop, serverPorts, m_ledger, [this, serverPorts](const LineGroup::Registration& registration) {
                    if (registration.removed)
                        m_store->erase("servers/" + registration.id);
                    else
                        m_store->put("servers/" + registration.id,
                            serverDocument(serverPorts[registration.index], registration));
                });
            m_store->put("op/config",
                configurationDocument(1,
                    { { lineRouteName(LineRoute::Primary), "primary" },
                        { lineRouteName(LineRoute::Bounded), "bounded_staleness", LineClient::boundedStaleness },
                        { lineRouteName(LineRoute::OwnWrites), "read_your_writes", LineClient::ownStaleness } },
                    { { "customer0" }, { "customer1" }, { "customer2" } }));
            std::vector<uint16_t> ports;
            for (size_t i = 0; i < hostCount; ++i) {
                GatewayFileOptions options { "host" + std::to_string(i), reserveport(), reserveport(), reserveport(),
                    m_storePort };
                options.largeFleet = largeFleet;
                m_settings.push_back(
                    "/tmp/plantainwall-repeated-" + std::to_string(getpid()) + "-" + std::to_string(i) + ".toml");
                writeGatewaySettings(m_settings.back(), options);
                m_hosts.push_back(std::make_unique<Process>(
                    "plantainwall", std::vector<std::string> { "gateway", "--config", m_settings.back() }));
                ports.push_back(options.callers);
            }
            m_fleet.reset(new LineClient::Fleet { m_ledger, m_acknowledgements, ports, m_random });
            for (unsigned i = 0; i < clientCount; ++i)
                m_clients.push_back(std::make_unique<LineClient>(
                    m_loop, *m_fleet, i, static_cast<LineRoute>(i % static_cast<unsigned>(LineRoute::Count))));
        }

        ~RepeatingFleet()
        {
            for (const std::unique_ptr<LineClient>& client : m_clients)
                client->stop();
            for (const std::string& path : m_settings)
                std::remove(path.c_str());
        }

        void start()
        {
            registerServers();
            pass(startTime);
            for (const std::unique_ptr<LineClient>& client : m_clients)
                client->start();
            pass(startTime);
        }

        /// Repeats one of so many answers to a command for a while.
        void repeat(const std::string& command, unsigned oneOf)
        {
            m_group->setRepeats([this, command, oneOf](std::string_view answered) -> std::optional<milliseconds> {
                if ((!command.empty() && answered != command) || m_random() % oneOf != 0)
                    return std::nullopt;
                return milliseconds(m_random() % static_cast<uint64_t>(maxDelay.count()));
            });
            m_group->setBusy([this](std::string_view) { return m_random() % 50 == 0; });
            pass(phaseTime);
        }

        /// Ends the repeats and returns the share of operations that are served afterwards.
        double servedAfterwards()
        {
            m_group->setRepeats({});
            m_group->setBusy({});
            pass(maxDelay);
            const auto from = LineClient::Clock::now();
            pass(phaseTime);
            double all = 0;
            double served = 0;
            for (const std::unique_ptr<LineClient>& client : m_clients) {
                for (const LineClient::Outcome& outcome : client->outcomes()) {
                    all += outcome.started >= from ? 1 : 0;
                    served += outcome.started >= from && outcome.served ? 1 : 0;
                }
            }
            return all == 0 ? 0 : served / all;
        }

        bool allRunning() const
        {
            return std::all_of(m_hosts.begin(), m_hosts.end(), [](const auto& host) { return host->running(); });
        }

        std::vector<std::string> takeViolations() { return std::exchange(m_ledger.violations, {}); }
        uint64_t repeated() const { return m_group->repeated(); }

        /// Checks that no commit was kept whose caller was promised that nothing is kept.
        void checkPromises()
        {
            for (const std::unique_ptr<LineClient>& client : m_clients) {
                for (const std::string& id : client->promised) {
                    if (m_ledger.committed.count(id) != 0)
                        m_ledger.violation("REFUSED", id + " was committed");
                }
            }
        }

    private:
        void pass(milliseconds time)
        {
            m_loop.restart();
            m_loop.run_for(time);
        }

        void registerServers()
        {
            m_group->registerAll();
            m_registerTimer.expires_after(milliseconds(500));
            m_registerTimer.async_wait([this](const boost::system::error_code& ec) {
                if (!ec)
                    registerServers();
            });
        }

        boost::asio::io_context m_loop;
        boost::asio::steady_timer m_registerTimer { m_loop };
        std::mt19937_64 m_random { 1 };
        Ledger m_ledger;
        Acknowledgements m_acknowledgements;
        uint16_t m_storePort = reserveport();
        std::unique_ptr<KvStore> m_store;
        std::unique_ptr<LineGroup> m_group;
        std::vector<std::string> m_settings;
        std::vector<std::unique_ptr<Process>> m_hosts;
        std::unique_ptr<LineClient::Fleet> m_fleet;
        std::vector<std::unique_ptr<LineClient>> m_clients;
    };

    void playPhases(unsigned largeFleet)
    {
        RepeatingFleet fleet(largeFleet);
        fleet.start();
        for (const std::string phase : phases) {
            const uint64_t before = fleet.repeated();
            fleet.repeat(phase, 4);
            fleet.checkPromises();
            for (const std::string& violation : fleet.takeViolations())
                BOOST_ERROR("answers to " << (phase.empty() ? "all" : phase) << ": " << violation);
            BOOST_TEST_MESSAGE(phase << ": " << fleet.repeated() - before << " answers repeated");
        }
        BOOST_TEST(fleet.servedAfterwards() > 0.99);
        BOOST_TEST(fleet.allRunning());
    }

} // namespace

} // namespace plantainwall::test

using namespace plantainwall::test;

BOOST_AUTO_TEST_CASE(repeated_answer_is_never_taken_for_another) { playPhases(25); }

BOOST_AUTO_TEST_CASE(repeated_answer_on_a_lent_connection_is_never_taken_for_another) { playPhases(2); }

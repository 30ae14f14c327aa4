#include "support_gateway_fleet.h"
#include <algorithm>
#include <fstream>

namespace plantainwall::test {

namespace {

    using std::chrono::milliseconds;

    constexpr size_t serverCount = 3;
    constexpr milliseconds startTime(1500);
    constexpr milliseconds registrationInterval(500);

} // namespace

GatewayFleet::GatewayFleet(const Settings& settings)
    : m_name(settings.name)
{
    std::vector<uint16_t> serverPorts;
    for (size_t i = 0; i < serverCount; ++i)
        serverPorts.push_back(reserveport());
    store = std::make_unique<KvStore>(loop, m_storePort,
        [this](const KvStore::Order& order) { return group->promote(order.id, order.holder, order.fencingToken); });
    group = std::make_unique<LineGroup>(
        loop, serverPorts, ledger, [this, serverPorts](const LineGroup::Registration& registration) {
            const std::string key = "servers/" + registration.id;
            if (registration.removed)
                store->erase(key);
            else
                store->put(key, serverDocument(serverPorts[registration.index], registration));
        });
    store->put("op/config",
        configurationDocument(1,
            { { lineRouteName(LineRoute::Primary), "primary" },
                { lineRouteName(LineRoute::Bounded), "bounded_staleness", LineClient::boundedStaleness },
                { lineRouteName(LineRoute::OwnWrites), "read_your_writes", LineClient::ownStaleness } },
            { { "customer0" }, { "customer1" }, { "customer2" } }));
    std::vector<uint16_t> ports;
    for (size_t i = 0; i < settings.hosts; ++i) {
        options.push_back({ "host" + std::to_string(i), reserveport(), reserveport(), reserveport(), m_storePort });
        options.back().largeFleet = settings.largeFleet;
        options.back().memory = settings.memory;
        options.back().maxDescriptors = settings.maxDescriptors;
        m_settingsFiles.push_back(
            "/tmp/plantainwall-" + settings.name + "-" + std::to_string(getpid()) + "-" + std::to_string(i) + ".toml");
        writeGatewaySettings(m_settingsFiles.back(), options.back());
        hosts.push_back(std::make_unique<Process>(
            "plantainwall", std::vector<std::string> { "gateway", "--config", m_settingsFiles.back() }));
        ports.push_back(options.back().callers);
    }
    m_fleet.reset(new LineClient::Fleet { ledger, m_acknowledgements, ports, random, settings.oddPerThousand });
    group->setOddTexts(settings.oddPerThousand, 1);
    for (unsigned i = 0; i < settings.clients; ++i)
        clients.push_back(std::make_unique<LineClient>(
            loop, *m_fleet, i, static_cast<LineRoute>(i % static_cast<unsigned>(LineRoute::Count))));
    registerServers();
    pass(startTime);
    for (const std::unique_ptr<LineClient>& client : clients)
        client->start();
    pass(startTime);
}

GatewayFleet::~GatewayFleet()
{
    for (const std::unique_ptr<LineClient>& client : clients)
        client->stop();
    for (const std::string& path : m_settingsFiles)
        std::remove(path.c_str());
}

void GatewayFleet::pass(milliseconds time)
{
    loop.restart();
    loop.run_for(time);
}

double GatewayFleet::servedSince(LineClient::Clock::time_point from) const
{
    double all = 0;
    double served = 0;
    for (const std::unique_ptr<LineClient>& client : clients) {
        for (const LineClient::Outcome& outcome : client->outcomes()) {
            all += outcome.started >= from ? 1 : 0;
            served += outcome.started >= from && outcome.served ? 1 : 0;
        }
    }
    return all == 0 ? 0 : served / all;
}

bool GatewayFleet::allRunning() const
{
    return std::all_of(hosts.begin(), hosts.end(), [](const auto& host) { return host->running(); });
}

void GatewayFleet::saveLogs() const
{
    const std::string prefix = "/tmp/plantainwall-" + m_name + "-" + std::to_string(getpid()) + "-";
    std::ofstream(prefix + "events.log") << ledger.events;
    for (size_t i = 0; i < hosts.size(); ++i)
        std::ofstream(prefix + "host" + std::to_string(i) + ".log") << hosts[i]->output();
}

void GatewayFleet::registerServers()
{
    group->registerAll();
    m_registerTimer.expires_after(registrationInterval);
    m_registerTimer.async_wait([this](const boost::system::error_code& ec) {
        if (!ec)
            registerServers();
    });
}

} // namespace plantainwall::test

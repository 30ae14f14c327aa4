#pragma once

#include "support_kv_store.h"
#include "support_line_client.h"
#include "support_line_fleet.h"
#include "support_process.h"
#include <boost/asio/steady_timer.hpp>

namespace plantainwall::test {

/// Entry hosts as separate processes before stand-ins of the store and of one service's servers, and callers that send
/// operations without a pause.
class GatewayFleet {
public:
    struct Settings {
        std::string name; ///< Part of the names of the settings files.
        size_t hosts = 3;
        unsigned clients = 18;
        unsigned largeFleet = 25; ///< Hosts from which on connections are lent.
        std::string memory {}; ///< Of each host: size with unit; empty: the setting's default.
        unsigned maxDescriptors = 0; ///< Of each host; 0: the setting's default.
        unsigned oddPerThousand = 0; ///< Of the texts of callers and servers, see OddTexts.
    };

    explicit GatewayFleet(const Settings&);
    ~GatewayFleet();
    GatewayFleet(const GatewayFleet&) = delete;
    GatewayFleet& operator=(const GatewayFleet&) = delete;

    void pass(std::chrono::milliseconds);

    /// Returns the share of the operations begun since then that were served.
    double servedSince(LineClient::Clock::time_point) const;

    bool allRunning() const;

    /// Writes what the hosts logged and the events of the ledger to files below /tmp.
    void saveLogs() const;

    boost::asio::io_context loop;
    Ledger ledger;
    std::unique_ptr<KvStore> store;
    std::unique_ptr<LineGroup> group;
    std::vector<GatewayFileOptions> options; ///< Of each host.
    std::vector<std::unique_ptr<Process>> hosts;
    std::vector<std::unique_ptr<LineClient>> clients;
    std::mt19937_64 random { 1 };

private:
    void registerServers();

    std::string m_name;
    boost::asio::steady_timer m_registerTimer { loop };
    Acknowledgements m_acknowledgements;
    uint16_t m_storePort = reserveport();
    std::vector<std::string> m_settingsFiles;
    std::unique_ptr<LineClient::Fleet> m_fleet;
};

} // namespace plantainwall::test

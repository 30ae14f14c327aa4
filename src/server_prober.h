#pragma once

#include "gateway.h"

namespace plantainwall {

/// What this host's probes of a server have shown. Without any value the first attempt is still under way.
struct ProbeResult {
    std::optional<Instant> reachedAt; ///< When the server last answered.
    std::optional<Instant> silentSince; ///< Start of the first attempt since then that was not answered.
};

/// Polls the status of servers that other hosts do not reach, on their request.
class ServerProber {
public:
    struct Settings {
        /// Each status request briefly takes one of the server's slots.
        Duration pollInterval = std::chrono::milliseconds(500);
        Duration answerTimeout = std::chrono::milliseconds(700); ///< An attempt without an answer has then failed.
        Duration replaceAfter = std::chrono::milliseconds(1500); ///< A connection that does not answer is replaced.
        Duration reconnectInterval = std::chrono::milliseconds(1000);
        /// A server is polled for this long after the last request, so that the next coordinator learns how long it has
        /// been silent.
        Duration keepTime = std::chrono::seconds(10);
        size_t maxServers = 64; ///< Further servers are not probed.
    };

    ServerProber(Gateway&, BackendConnector&, Gateway::Clock, std::string host);
    ~ServerProber();

    /// Starts to poll a process, or goes on with it.
    /// @param startedUnixMs Start of the process, as in its registration.
    /// @return What is known, or nothing if the process is not polled, for example because this host does not know it.
    std::optional<ProbeResult> probe(const std::string& id, uint64_t startedUnixMs);

    /// Returns whether any of the polled servers answers.
    bool reachesAny() const;

    size_t size() const { return m_probes.size(); } ///< Polled servers.

    /// Must be called every few milliseconds.
    void tick();

private:
    struct Probe;

    std::optional<ServerEntry> findProcess(const std::string& id, uint64_t startedUnixMs) const;
    void poll(Probe&, Instant now);

    Gateway& m_gateway;
    BackendConnector& m_connector;
    Gateway::Clock m_clock;
    std::string m_host;
    Settings m_settings;
    std::map<std::pair<std::string, uint64_t>, std::unique_ptr<Probe>> m_probes; ///< By id and start of the process.
    std::vector<std::unique_ptr<BackendLink>> m_closed; ///< Destroyed by the next tick.
};

} // namespace plantainwall

#pragma once

#include "indirect_probes.h"
#include "server_prober.h"
#include <gsl/span>

namespace plantainwall {

/// An entry host that may probe servers.
struct ProbingHost {
    std::string name;
    std::string address; ///< For datagrams; empty: this host.
    std::string dataCentre;
};

/// Chooses the hosts that probe a server: one of each data centre and then others, those of the server's own first.
/// Every host of a fleet chooses the same ones, so that the next coordinator asks the hosts that know most.
/// @return Indexes in hosts, at most count.
std::vector<size_t> chooseProbingHosts(const ServerEntry&, gsl::span<const ProbingHost> hosts, size_t count);

/// Requests other entry hosts to probe servers, and probes servers for them.
///
/// Answers hold ages, which are counted back from the time of receipt. So a server never seems silent for longer than
/// it is, however long datagrams take.
class ProbeExchange final : public IndirectProbes {
public:
    struct Settings {
        Duration requestInterval = std::chrono::milliseconds(500);
        /// Later answers are dropped; hosts that have not answered are then no longer waited for. Long enough for a
        /// failed attempt of the other host and the next request.
        Duration answerTimeout = std::chrono::milliseconds(1500);
        Duration forgetAfter = std::chrono::seconds(2); ///< For servers that are not asked for any more.
        size_t hostsPerServer = 8;
        size_t serversPerDatagram = 32;
    };
    using Hosts = std::function<std::vector<ProbingHost>()>;

    ProbeExchange(std::string host, PeerChannel&, Gateway::Clock, ServerProber&);

    ProbeSummary probe(const ServerEntry&) override;

    /// Returns whether this host reaches a server that it was asked to probe, and may so replace a coordinator that
    /// does not.
    bool reachesProbed() const { return m_prober.reachesAny(); }

    /// Sends requests when they are due. Must be called every few milliseconds. hosts returns the reachable hosts,
    /// including this one; it is called only when requests are due.
    void tick(const Hosts& hosts);

    /// Handles a request or an answer of another host. Returns false if the datagram is neither. Throws std::exception
    /// if it is malformed. addressOf returns the address of a host, empty if it is unknown.
    bool datagram(const std::string&, const std::function<std::string(const std::string& host)>& addressOf);

private:
    using Process = std::pair<std::string, uint64_t>; ///< Id and start, Unix milliseconds.

    /// Last answer of one host about one server.
    struct Report {
        Instant firstAskedAt;
        std::optional<Instant> answeredAt;
        bool reached = false;
    };

    struct Target {
        ServerEntry server;
        Instant addedAt;
        Instant wantedAt;
        bool pending = true; ///< The hosts that were asked first have not all answered.
        std::optional<Instant> reachedAt;
        std::optional<Instant> silentSince;
        std::map<std::string, Report> reports; ///< By host.
    };

    void sendRequests(gsl::span<const ProbingHost>);
    void note(Target&, const std::string& host, const ProbeResult&);
    void updatePending(Target&) const;

    std::string m_host;
    PeerChannel& m_channel;
    Gateway::Clock m_clock;
    ServerProber& m_prober;
    Settings m_settings;
    std::map<Process, Target> m_targets;
    Instant m_requestAt;
};

} // namespace plantainwall

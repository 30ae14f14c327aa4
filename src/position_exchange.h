#pragma once

#include "avoided_hosts.h"
#include "gateway_ports.h"
#include "peer_request_number.h"
#include "primary_positions.h"
#include <map>

namespace plantainwall {

/// Holds the primary positions of a host's services that are exchanged with other hosts.
class PositionHolder {
public:
    virtual ~PositionHolder() = default;
    /// Returns the services whose reads need a newer primary position now.
    virtual std::vector<std::string> servicesToRefresh() const = 0;
    /// Returns the newest primary position, if any, and keeps it refreshed for a while.
    virtual std::optional<PrimaryPositions::Observation> positionOf(const std::string& service) = 0;
    virtual void positionReceived(const std::string& service, const PrimaryPositions::Observation&) = 0;
};

/// Requests primary positions from another entry host, which saves a connection and a request to every primary.
///
/// The answer holds the time since the other host polled the primary. Subtracted from the time at which this host sent
/// its request, that gives a time no later than the actual poll, however long datagrams take.
class PositionExchange {
public:
    struct Settings {
        /// As often as a host asks primaries itself; reads accept data that is 1.5 s old or more.
        Duration pollInterval = std::chrono::milliseconds(400);
        Duration answerTimeout = std::chrono::milliseconds(300); ///< Ten round trips between data centres.
        Duration avoidanceTime = std::chrono::seconds(3); ///< A host that did not answer gets no request for this long.
        /// A host whose positions are all older is cut off from its own source; it counts as one that did not answer
        /// unless it is the last one that may be asked. Two intervals of requests and two answers between regions.
        Duration maxAnswerAge = std::chrono::milliseconds(1100);
    };
    using Clock = std::function<Instant()>;
    /// Returns the hosts that may be asked (name and address), in order of preference.
    using Sources = std::function<std::vector<std::pair<std::string, std::string>>()>;

    /// @param firstRequest Number of the first request; see firstPeerRequest().
    PositionExchange(std::string host, PeerChannel&, Clock, PositionHolder&, uint64_t firstRequest);

    void setPollInterval(Duration interval) { m_settings.pollInterval = interval; }

    /// Sends a request when one is due. Must be called every few milliseconds. sources is called only when a request is
    /// due: ranking a large fleet in every call would cost more than the requests.
    void tick(const Sources& sources);

    /// Handles a request or an answer of another host. Returns false if the datagram is neither. Throws std::exception
    /// if it is malformed. addressOf returns the address of a host, empty if it is unknown.
    bool datagram(const std::string&, const std::function<std::string(const std::string& host)>& addressOf);

private:
    std::string m_host;
    PeerChannel& m_channel;
    Clock m_clock;
    PositionHolder& m_holder;
    Settings m_settings;
    uint64_t m_number; ///< Of the last request.
    bool m_requestPending = false; ///< The last request is unanswered.
    std::string m_requestHost; ///< Host to which it was sent.
    bool m_requestHasAlternative = false; ///< Another host could have been asked.
    Instant m_requestedAt;
    AvoidedHosts m_avoided;
};

} // namespace plantainwall

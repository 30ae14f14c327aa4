#pragma once

#include "avoided_hosts.h"
#include "gateway_ports.h"
#include "primary_positions.h"
#include <map>

namespace plantainwall {

/// A host's evidence of its services' primaries, as it is asked for and told.
class PositionHolder {
public:
    virtual ~PositionHolder() = default;
    /// Returns the services whose reads need evidence now.
    virtual std::vector<std::string> servicesToRefresh() const = 0;
    /// Returns the youngest evidence, if any, and keeps it young for a while.
    virtual std::optional<PrimaryPositions::Observation> positionOf(const std::string& service) = 0;
    virtual void positionReceived(const std::string& service, const PrimaryPositions::Observation&) = 0;
};

/// Gets evidence of primaries from another entry host in place of a connection and a question of its own to every
/// primary.
///
/// The answer says how long before it the primary was asked. Counted back from the sending of the question to the other
/// host, that is never later than the primary was really asked, however long datagrams take.
class PositionExchange {
public:
    struct Settings {
        /// As often as a host asks primaries itself; reads accept data that is 1.5 s old or more.
        Duration pollInterval = std::chrono::milliseconds(400);
        Duration answerTimeout = std::chrono::milliseconds(300); ///< Ten round trips between data centres.
        Duration avoidanceTime = std::chrono::seconds(3); ///< A host that did not answer is not asked for this long.
    };
    using Clock = std::function<Instant()>;
    /// Returns the hosts that may be asked (name and address), in order of preference.
    using Sources = std::function<std::vector<std::pair<std::string, std::string>>()>;

    PositionExchange(std::string host, PeerChannel&, Clock, PositionHolder&);

    /// Asks if it is time; to be called every few milliseconds. sources is called only when a question is due: ranking
    /// a large fleet at every call would cost more than the questions.
    void tick(const Sources& sources);

    /// Takes a question or an answer of another host. Returns false if the datagram is neither. Throws std::exception
    /// if it is malformed. addressOf returns the address of a host, empty if it is unknown.
    bool datagram(const std::string&, const std::function<std::string(const std::string& host)>& addressOf);

private:
    std::string m_host;
    PeerChannel& m_channel;
    Clock m_clock;
    PositionHolder& m_holder;
    Settings m_settings;
    uint64_t m_number = 0;
    bool m_open = false; ///< The last question is unanswered.
    std::string m_requestHost; ///< Host that it went to.
    Instant m_requestedAt;
    AvoidedHosts m_avoided;
};

} // namespace plantainwall

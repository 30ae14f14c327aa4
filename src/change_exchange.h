#pragma once

#include "avoided_hosts.h"
#include "store_relay.h"
#include <deque>

namespace plantainwall {

/// Requests missing changes of the store from a host that watches it: changes too large for a relay datagram
/// (configurations), and changes whose datagrams were lost.
///
/// Load pattern: one configuration of some ten kilobytes is written and 80 hosts need it within seconds, some of which
/// the store refuses. Reading it from the store costs one call per host; relaying it unrequested makes every watching
/// host send it to all. The answer is compressed and split into datagrams. The requesting host assembles them, requests
/// lost parts again, and then tries another host. StoreFollower reads changes from the store that no host can supply.
class ChangeExchange {
public:
    struct Settings {
        Duration answerTimeout = std::chrono::milliseconds(150); ///< More than a round trip between regions.
        unsigned tries = 4; ///< Requests to one host; all but the first list the missing parts.
        Duration avoidanceTime = std::chrono::seconds(2); ///< A host that did not answer gets no request for this long.
        size_t maxKeptBytes = 512 * 1024; ///< Keys and values of past changes: several configurations.
        size_t partBytes = 1100; ///< Payload of one datagram, which is then not fragmented.
        size_t maxParts = 1024; ///< Parts of one answer: enough for the store's limit of a megabyte per value.
    };

    using Clock = std::function<Instant()>;
    /// Returns the hosts that can be sent a request (name and address), in order of preference.
    using Sources = std::function<std::vector<std::pair<std::string, std::string>>()>;
    using AddressOf = std::function<std::string(const std::string& host)>;

    ChangeExchange(std::string host, PeerChannel&, Clock);

    /// Sets the newest era of the store; see MetadataStore. Kept changes and the pending request of another are
    /// dropped.
    void setEra(uint64_t era);

    /// Keeps changes that this host has read, for requests of other hosts. Changes of another era are not kept.
    void keep(const StoreEvents&);

    /// Requests the changes after revision missingAfter, if it is set. Must be called every few milliseconds.
    void tick(std::optional<uint64_t> missingAfter, const Sources&);

    /// Handles a request or a part of an answer. Returns false if the datagram is neither. Sets read when an answer is
    /// complete. Throws std::exception if it is malformed. addressOf returns an empty address for an unknown host.
    bool datagram(const std::string&, const AddressOf& addressOf, std::optional<StoreEvents>& read);

private:
    void sendRequest();
    void startRequest(const std::string& host, const std::string& address, uint64_t after);
    void answerRequest(const std::string& request, const AddressOf&);
    std::optional<StoreEvents> receivePart(const std::string& part);
    const std::string& changesAfter(uint64_t revision);

    std::string m_host;
    PeerChannel& m_channel;
    Clock m_clock;
    Settings m_settings;
    uint64_t m_era = 0;
    std::deque<StoreEvents> m_kept; ///< Contiguous.
    size_t m_keptBytes = 0;
    std::string m_packed; ///< The last answer, reused for the next host that misses the same changes.
    uint64_t m_packedFrom = 0;
    uint64_t m_packedTo = 0;
    uint64_t m_requestNumber = 0;
    std::string m_requestHost; ///< Host of the pending request; empty if none is pending.
    std::string m_requestAddress;
    uint64_t m_requestAfter = 0;
    Instant m_requestedAt;
    unsigned m_tries = 0;
    uint64_t m_partsTo = 0; ///< Last revision that the parts contain.
    std::vector<std::string> m_parts; ///< A part is empty until it is received.
    AvoidedHosts m_avoided;
};

} // namespace plantainwall

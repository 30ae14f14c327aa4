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
///
/// A request for the changes after revision 0 is answered with a complete listing: hosts that the store refuses need
/// one after it has been replaced by a copy.
class ChangeExchange {
public:
    struct Settings {
        Duration answerTimeout = std::chrono::milliseconds(150); ///< More than a round trip between regions.
        unsigned tries = 4; ///< Requests to one host; all but the first list the missing parts.
        Duration avoidanceTime = std::chrono::seconds(2); ///< A host that did not answer gets no request for this long.
        size_t maxKeptBytes = 512 * 1024; ///< Keys and values of past changes: several configurations.
        size_t partBytes = 1100; ///< Payload of one datagram, which is then not fragmented.
        size_t maxParts = 1024; ///< Parts of one answer: enough for the store's limit of a megabyte per value.
        /// A listing is packed once for all hosts that request it within this time, and for requests of lost parts.
        Duration listingReuse = std::chrono::seconds(2);
    };

    using Clock = std::function<Instant()>;
    /// Returns the hosts that can be sent a request (name and address), in order of preference.
    using Sources = std::function<std::vector<std::pair<std::string, std::string>>()>;
    using AddressOf = std::function<std::string(const std::string& host)>;
    /// Returns a complete listing of the store; without a revision if this host has none of the newest era.
    using Listing = std::function<StoreEvents()>;

    ChangeExchange(std::string host, PeerChannel&, Clock, Listing);

    /// Sets the newest era of the store; see MetadataStore. Kept changes and the pending request of another are
    /// dropped.
    void setEra(uint64_t era);

    /// Keeps changes that this host knows, for requests of other hosts. Changes of another era are not kept.
    void keep(const StoreEvents&);

    /// Requests the changes after revision missingAfter, if it is set; 0: a complete listing. Must be called every few
    /// milliseconds.
    void tick(std::optional<uint64_t> missingAfter, const Sources&);

    /// Handles a request or a part of an answer. Returns false if the datagram is neither. Sets read when an answer is
    /// complete. Throws std::exception if it is malformed. addressOf returns an empty address for an unknown host.
    bool datagram(const std::string&, const AddressOf& addressOf, std::optional<StoreEvents>& read);

private:
    /// An answer, reused for the next host that misses the same changes.
    struct Packed {
        std::string text; ///< Empty if there is none.
        uint64_t from = 0;
        uint64_t to = 0;
        Instant packedAt;
    };

    void sendRequest();
    void startRequest(const std::string& host, const std::string& address, uint64_t after);
    void answerRequest(const std::string& request, const AddressOf&);
    std::optional<StoreEvents> receivePart(const std::string& part);
    const Packed& changesAfter(uint64_t revision);
    const Packed& listing();

    std::string m_host;
    PeerChannel& m_channel;
    Clock m_clock;
    Listing m_listing;
    Settings m_settings;
    uint64_t m_era = 0;
    std::deque<StoreEvents> m_kept; ///< Contiguous.
    size_t m_keptBytes = 0;
    Packed m_packedChanges;
    Packed m_packedListing;
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

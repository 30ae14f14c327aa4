#pragma once

#include "avoided_hosts.h"
#include "store_relay.h"
#include <deque>
#include <map>
#include <set>

namespace plantainwall {

/// Requests missing changes of the store from a host that watches it: changes too large for a relay datagram
/// (configurations), and changes whose datagrams were lost.
///
/// Load pattern: one configuration of some ten kilobytes is written and 80 hosts need it within seconds, some of which
/// the store refuses. Reading it from the store costs one call per host; relaying it unrequested makes every watching
/// host send it to all. The answer is compressed and split into datagrams. The requesting host assembles them, requests
/// lost parts again, and then tries another host. StoreFollower reads changes from the store that no host can supply.
///
/// Only the last change of each key is kept and sent: in a series of configurations the requesting host needs none but
/// the newest. A request for changes that this host is about to receive is answered when it has them, so that hosts can
/// pass changes on in several steps without waiting for repeated requests. Meanwhile it answers with an empty part, so
/// that the requesting host neither asks another one nor reads the store.
///
/// A request for the changes after revision 0 is answered with a complete listing: hosts that the store refuses need
/// one after it has been replaced by a copy.
class ChangeExchange {
public:
    struct Settings {
        /// Time without a further part of the answer after which the request is repeated: more than a round trip
        /// between regions.
        Duration answerTimeout = std::chrono::milliseconds(150);
        unsigned tries = 4; ///< Requests to one host without any part in between; all but the first list missing parts.
        Duration avoidanceTime = std::chrono::seconds(2); ///< A host that did not answer gets no request for this long.
        /// Keys and values of past changes, the last of each key. Several values of the largest size that a store
        /// takes, a megabyte: a host that drops the newest configuration makes all others read it from the store.
        size_t maxKeptBytes = 4 * 1024 * 1024;
        /// Packed answers that are reused. While changes come in quick succession, each host misses others, and asks
        /// again for lost parts of an answer that is no longer the newest.
        size_t maxPacked = 8;
        size_t maxWaiting = 64; ///< Hosts that wait for changes that this host does not know yet.
        Duration waitingTime = std::chrono::seconds(1); ///< A host that waits longer has asked another one.
        size_t partBytes = 1100; ///< Payload of one datagram, which is then not fragmented.
        size_t maxParts = 4096; ///< Parts of one answer: enough for maxKeptBytes that do not compress.
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

    /// Returns whether another host is sending missing changes, or is receiving them itself in order to send them.
    bool isReceiving() const;

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
        size_t bytes = 0; ///< Keys and values before they were packed.
    };

    void sendRequest();
    void startRequest(const std::string& host, const std::string& address, uint64_t after);
    void answerRequest(const std::string& request, const AddressOf&);
    std::optional<StoreEvents> receivePart(const std::string& part);
    /// Returns the changes after a revision: the answer up to revision `to` if it is still kept, else one that lacks
    /// little of the newest, else the newest.
    const Packed& changesAfter(uint64_t revision, uint64_t to);
    /// Returns the packed answer to send to a host that knows a revision, or null if none fits.
    const Packed* packedAnswer(uint64_t revision, uint64_t to) const;
    /// Returns the size of the kept changes after a revision, in bytes.
    size_t keptBytesAfter(uint64_t revision) const;
    const Packed& listing();
    void sendParts(const std::string& address, uint64_t number, const Packed&, const std::set<size_t>& missing);
    void answerWaiting();

    /// A request for changes that this host does not know yet.
    struct WaitingRequest {
        std::string address;
        uint64_t number = 0;
        uint64_t after = 0;
        Instant at;
    };

    std::string m_host;
    PeerChannel& m_channel;
    Clock m_clock;
    Listing m_listing;
    Settings m_settings;
    uint64_t m_era = 0;
    std::map<std::string, StoreItem> m_kept; ///< Last change of each key.
    uint64_t m_keptFrom = 0; ///< All changes after this revision and up to m_keptTo are known.
    uint64_t m_keptTo = 0;
    size_t m_keptBytes = 0;
    std::deque<Packed> m_packedChanges; ///< The newest last.
    std::map<std::string, WaitingRequest> m_waiting; ///< By host.
    Packed m_packedListing;
    uint64_t m_requestNumber = 0;
    std::string m_requestHost; ///< Host of the pending request; empty if none is pending.
    std::string m_requestAddress;
    uint64_t m_requestAfter = 0;
    Instant m_requestedAt;
    Instant m_partAt; ///< When the last part that was missing was received.
    Instant m_waitUntil; ///< Until then the other host is expected to receive the changes itself.
    unsigned m_tries = 0;
    uint64_t m_partsTo = 0; ///< Last revision that the parts contain.
    std::vector<std::string> m_parts; ///< A part is empty until it is received.
    AvoidedHosts m_avoided;
};

} // namespace plantainwall

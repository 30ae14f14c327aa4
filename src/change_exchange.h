#pragma once

#include "avoided_hosts.h"
#include "store_relay.h"
#include <deque>

namespace plantainwall {

/// Lets a host that lacks changes of the store get them from a host that watches it: changes too large for the
/// datagram that tells them (configurations), and what was lost on the way.
///
/// Load pattern: one configuration of some ten kilobytes is written and 80 hosts need it within seconds, some of which
/// the store refuses. Read from the store that is one call for each host; told to all unasked, it is sent by every
/// watching host. The answer is compressed and cut into datagrams; the asker puts them together, asks for lost
/// parts again, and then turns to another host. What no host can tell is read from the store by StoreFollower.
class ChangeExchange {
public:
    struct Settings {
        Duration answerTimeout = std::chrono::milliseconds(150); ///< More than a round trip between regions.
        unsigned tries = 4; ///< Questions to one host; all but the first name the parts that are missing.
        Duration avoidanceTime
            = std::chrono::seconds(2); ///< A host that did not answer is not asked again for this long.
        size_t keepBytes = 512 * 1024; ///< Of keys and values of past changes: several configurations.
        size_t partBytes = 1100; ///< Of one datagram: it passes without fragments.
        size_t maxParts = 1024; ///< Of one answer: a store value's limit of a megabyte.
    };

    using Clock = std::function<Instant()>;
    /// Returns the hosts to ask, in order, with their addresses.
    using Sources = std::function<std::vector<std::pair<std::string, std::string>>()>;
    using AddressOf = std::function<std::string(const std::string& host)>;

    ChangeExchange(std::string host, PeerChannel&, Clock);

    /// Keeps changes that this host has read, to tell others that ask.
    void keep(const StoreEvents&);

    /// Asks for the changes after a revision while there is one; nothing: none are lacking. To be called every few
    /// milliseconds.
    void tick(std::optional<uint64_t> missingAfter, const Sources&);

    /// Takes a question, or a part of an answer. Returns false if the datagram is neither; sets read once an answer is
    /// complete. Throws std::exception if it is malformed. addressOf returns an empty address for an unknown host.
    bool datagram(const std::string&, const AddressOf& addressOf, std::optional<StoreEvents>& read);

private:
    void sendRequest();
    void open(const std::string& host, const std::string& address, uint64_t after);
    void answer(const std::string& question, const AddressOf&);
    std::optional<StoreEvents> takePart(const std::string& part);
    const std::string& changesAfter(uint64_t revision);

    std::string m_host;
    PeerChannel& m_channel;
    Clock m_clock;
    Settings m_settings;
    std::deque<StoreEvents> m_kept; ///< Contiguous.
    size_t m_keptBytes = 0;
    std::string m_packed; ///< The last answer, for the next host that lacks the same.
    uint64_t m_packedFrom = 0;
    uint64_t m_packedTo = 0;
    uint64_t m_number = 0; ///< Of the last question.
    std::string m_requestHost; ///< Host that the open question went to; empty: none is open.
    std::string m_requestAddress;
    uint64_t m_requestAfter = 0;
    Instant m_requestedAt;
    unsigned m_tries = 0;
    uint64_t m_partsTo = 0; ///< Revision up to which the parts tell.
    std::vector<std::string> m_parts; ///< Empty: has not arrived.
    AvoidedHosts m_avoided;
};

} // namespace plantainwall

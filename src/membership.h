#pragma once

#include "cluster_view.h"
#include "store.h"
#include <random>

namespace plantainwall {

/// What one host knows about another, as sent between entry hosts. Times are ages, so clocks need not agree.
struct GossipEntry {
    HostConfig config;
    uint64_t incarnation = 0;
    uint64_t heartbeat = 0; ///< Counts the host's own gossip rounds; evidence of life only if greater than known.
    bool draining = false;
    Duration heartbeatAge {}; ///< Age of the evidence of life.
    std::optional<Duration> silentFor; ///< Time since an unanswered call, if none was answered later.
};

/// One gossip call or its answer.
struct GossipMessage {
    GossipEntry sender;
    std::vector<GossipEntry> entries;
    std::map<std::string, std::string> payload; ///< Fields of other parts about the sender; opaque here.
    uint64_t digest = 0; ///< Of the names and incarnations of the hosts known to be alive.
    bool wantsPage = false; ///< Asks for a page of the whole list, in order of names.
    std::string pageAfter; ///< The page starts after this name.
};

/// Action: call a host with a gossip message.
struct SendGossip {
    std::string host; ///< Empty for a seed address whose name is not known yet.
    std::string address;
    GossipMessage message;
};

/// The entry hosts known to this one: failure detection and spreading of changes by gossip. A decision object.
///
/// An unanswered call raises a doubt, which spreads; evidence of life that is later than the doubt ends it. A host in
/// doubt for suspectAfter is suspect, for deadAfter dead.
class Membership {
public:
    static constexpr size_t maxChanges = 32; ///< Changed entries in one message.
    static constexpr size_t pageSize = 64; ///< Entries in one page of the whole list.
    static constexpr size_t backgroundEntries = 3; ///< Unchanged entries in each message, in turn.

    Membership(const MembershipSettings&, HostConfig self, uint64_t incarnation, std::vector<std::string> seeds);

    /// Returns the gossip calls of one round. Call it once per gossipInterval.
    std::vector<SendGossip> tick(Instant now, std::mt19937_64&);

    /// Handles a call from another host and returns the answer.
    GossipMessage receive(const GossipMessage&, Instant now);

    /// Handles the answer to a call. Returns a further call if pages of the list are missing.
    std::vector<SendGossip> answered(const SendGossip&, const GossipMessage& answer, Instant now);

    /// Handles an unanswered call that was sent at the given time. Returns two further attempts after the first
    /// failure: lost messages must not raise a doubt that spreads over the fleet.
    std::vector<SendGossip> failed(const SendGossip&, Instant sent, Instant now);

    /// Sets the state of this host to draining. Returns gossip calls that spread it at once.
    std::vector<SendGossip> drain(Instant now, std::mt19937_64&);

    /// Adds hosts from the configuration, and takes their addresses over.
    void setConfiguredHosts(const std::map<std::string, HostConfig, std::less<>>&, Instant now);

    /// Takes over the platform's list. A host that is leaving counts as draining; one that is absent and in doubt for
    /// suspectAfter is dead.
    void setPlatformHosts(const std::vector<PlatformHost>&, Instant now);

    /// Sets a field that every message of this host carries.
    void setPayload(std::string_view field, std::string value);

    /// Returns a host's field as last received; empty if there is none.
    std::string payloadOf(std::string_view host, std::string_view field) const;

    /// Returns every known host, this one included.
    std::vector<HostInfo> hosts(Instant now) const;

    /// Returns the state of one host; Dead if it is not known.
    HostState stateOf(std::string_view host, Instant now) const;

    /// Returns how long a host has been absent from the platform's list; zero if it is listed or no list has come.
    Duration absentFor(std::string_view host, Instant now) const;

private:
    struct Member {
        GossipEntry entry;
        Instant lastSeen {};
        std::optional<Instant> suspectedSince;
        std::optional<Instant> absentSince;
        bool platformLeaving = false;
        unsigned failures = 0; // Unanswered calls in a row.
        unsigned spreadLeft = 0;
        Instant changed {};
        std::map<std::string, std::string, std::less<>> payload;
    };
    using MemberMap = std::map<std::string, Member, std::less<>>;

    HostState stateOf(const Member&, Instant now) const;
    unsigned spreadCount() const;
    uint64_t digest(Instant now) const;
    void spread(Member&, Instant now);
    void merge(const GossipEntry&, Instant now);
    void mergeHeartbeat(Member&, const GossipEntry&, Instant lastSeen, Instant now);
    void markSuspected(Member&, Instant since, Instant now);
    void handle(const GossipMessage&, Instant now);
    GossipEntry entryOf(const Member&, Instant now) const;
    GossipMessage makeMessage(Instant now);
    void addPage(GossipMessage&, const std::string& after, Instant now) const;
    std::vector<const Member*> chooseTargets(size_t count, Instant now, std::mt19937_64&) const;
    SendGossip makeCall(const Member&, Instant now);
    void forgetDead(Instant now);

    MembershipSettings m_settings;
    std::string m_self;
    std::vector<std::string> m_seeds;
    MemberMap m_members;
    std::map<std::string, std::string> m_payload;
    std::string m_backgroundAfter;
    bool m_hasWholeList = false;
    Instant m_nextComparison {};
    bool m_platformListKnown = false;
};

} // namespace plantainwall

#pragma once

#include "cluster_view.h"
#include "store.h"
#include <random>

namespace plantainwall {

/// State of one entry host as known to another, as sent in gossip. Times are ages, so clocks need not agree.
struct GossipEntry {
    HostConfig config;
    uint64_t incarnation = 0;
    /// Counts the host's own gossip rounds and answers. Shows that it is alive only if greater than the known value.
    uint64_t heartbeat = 0;
    bool draining = false;
    Duration heartbeatAge {}; ///< Time since the heartbeat was received.
    std::optional<Duration> silentFor; ///< Time since the first unanswered call, if no heartbeat followed.
};

/// A gossip call or its answer.
struct GossipMessage {
    GossipEntry sender;
    std::vector<GossipEntry> entries;
    std::map<std::string, std::string> payload; ///< Fields that other components attach to the sender; opaque here.
    uint64_t digest = 0; ///< Digest of the names and incarnations of the hosts known to be alive.
    bool wantsPage = false; ///< Requests a page of the whole list, ordered by name.
    std::string pageAfter; ///< The page starts after this name.
};

/// Action: send a gossip call to a host.
struct SendGossip {
    std::string host; ///< Empty for a seed address whose name is not known yet.
    std::string address;
    GossipMessage message;
};

/// Entry hosts known to this one: detects failures and spreads changes by gossip. A decision object.
///
/// Unanswered calls make a host suspected, which spreads through the fleet until a later heartbeat clears it. A host
/// that has been suspected for suspectAfter has the state Suspect, after deadAfter the state Dead.
class Membership {
public:
    static constexpr size_t maxChanges = 32; ///< Changed entries per message.
    static constexpr size_t pageSize = 64; ///< Entries per page of the whole list.
    static constexpr size_t backgroundEntries = 3; ///< Entries per message that are sent in rotation, changed or not.

    Membership(const MembershipSettings&, HostConfig self, uint64_t incarnation, std::vector<std::string> seeds);

    /// Returns the gossip calls of one round. Must be called once per gossipInterval.
    std::vector<SendGossip> tick(Instant now, std::mt19937_64&);

    /// Handles a call from another host and returns the answer.
    GossipMessage receive(const GossipMessage&, Instant now);

    /// Handles the answer to a call. Returns a further call if pages of the whole list are missing.
    std::vector<SendGossip> answered(const SendGossip&, const GossipMessage& answer, Instant now);

    /// Handles an unanswered call that was sent at the given time. Returns two further attempts after the first
    /// failure, because a lost message must not make a host suspected in the whole fleet.
    std::vector<SendGossip> failed(const SendGossip&, Instant sent, Instant now);

    /// Sets this host to draining. Returns gossip calls that spread the change at once.
    std::vector<SendGossip> drain(Instant now, std::mt19937_64&);

    /// Adds the configured hosts and their addresses.
    void setConfiguredHosts(const std::map<std::string, HostConfig, std::less<>>&, Instant now);

    /// Applies the platform's list. A host that is leaving counts as draining; a host that is absent from the list and
    /// has been suspected for suspectAfter is dead.
    void setPlatformHosts(const std::vector<PlatformHost>&, Instant now);

    /// Sets a payload field that every message of this host carries.
    void setPayload(std::string_view field, std::string value);

    /// Returns a host's payload field as last received; empty if there is none.
    std::string payloadOf(std::string_view host, std::string_view field) const;

    /// Returns every known host, including this one.
    std::vector<HostInfo> hosts(Instant now) const;

    /// Returns the state of one host; Dead if it is unknown.
    HostState stateOf(std::string_view host, Instant now) const;

    /// Returns how long a host has been absent from the platform's list; zero if it is listed or no list was received.
    Duration absentFor(std::string_view host, Instant now) const;

private:
    struct Member {
        GossipEntry entry;
        Instant lastSeen {};
        std::optional<Instant> suspectedSince;
        std::optional<Instant> absentSince;
        bool platformLeaving = false;
        unsigned failures = 0; // Unanswered calls in a row.
        unsigned sendsLeft = 0; // Messages that still have to carry the last change.
        Instant changedAt {};
        std::map<std::string, std::string, std::less<>> payload;
    };
    using MemberMap = std::map<std::string, Member, std::less<>>;

    HostState stateOf(const Member&, Instant now) const;
    unsigned sendsPerChange() const;
    uint64_t digest(Instant now) const;
    void startSpreading(Member&, Instant now);
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
    std::string m_lastBackgroundHost;
    bool m_hasWholeList = false;
    Instant m_nextComparison {};
    bool m_platformListKnown = false;
};

} // namespace plantainwall

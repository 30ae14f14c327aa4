#pragma once

#include "support_fleet.h"
#include <cstdlib>
#include <random>

namespace plantainwall {

/// Delays of a simulated service.
struct ReplicatedServiceTiming {
    Duration connectDelay = std::chrono::milliseconds(4);
    Duration messageDelay = std::chrono::milliseconds(2); ///< One way, between a host and a server.
    Duration peerDelay = std::chrono::milliseconds(2); ///< One way, between two hosts.
    Duration commitInterval = std::chrono::milliseconds(10); ///< Between two commits of a running primary.
    Duration receiveDelay = std::chrono::milliseconds(5); ///< From a commit until a replica has received it.
    Duration confirmDelay = std::chrono::milliseconds(2); ///< From a receipt until the primary knows of it.
    Duration followDelay = std::chrono::milliseconds(40); ///< Until a replica has connected to the primary.
    Duration registrationDelay = std::chrono::milliseconds(20); ///< Until a host sees a changed registration.
    /// A server that does not reach the store loses its registration after this time: three heartbeats.
    Duration registrationTimeout = std::chrono::milliseconds(1500);
    Duration promotionDelay = std::chrono::milliseconds(20); ///< One way, between a host and the promotion service.
    Duration promotionEffect = std::chrono::milliseconds(300); ///< From the accepted order until the server leads.
    bool promotesStopped = false; ///< A promotion takes effect although the server's process has ended meanwhile.
    Duration promotionTimeout = std::chrono::seconds(1); ///< An order without an answer for this long is unanswered.
    bool restartChangesStart = false; ///< A server that starts again with its log has a new start time.
    bool promotionResumes = true; ///< A promotion lets all stopped replicas that it reaches receive again.
};

/// A service of one primary "p" and two replicas "r1" and "r2" in virtual time, with the hosts that coordinate its
/// promotions, and one more that only serves callers and reaches every server that is not dark. The primary commits
/// continuously and confirms a commit once one replica has received it. Hosts stop to send writes to a revoked primary,
/// and its commits are acknowledged to callers unless every host that reaches it withholds them.
class ReplicatedService {
public:
    explicit ReplicatedService(size_t hosts = 1, const ReplicatedServiceTiming& = {});
    ~ReplicatedService();
    ReplicatedService(const ReplicatedService&) = delete;
    ReplicatedService& operator=(const ReplicatedService&) = delete;

    void pass(Duration);

    /// Passes time until a condition holds. Returns whether it did within the limit.
    bool passUntil(Duration limit, const std::function<bool()>& condition);

    // Coordinators.

    /// Makes a host the coordinator, with a new PromotionCoordinator and a greater token.
    void activate(size_t host);
    size_t coordinator() const { return m_active; }
    size_t hosts() const; ///< Those that coordinate.
    /// Ends a host's process without any notice, and starts it again without what it knew.
    /// @param down time until it runs again.
    void killHost(size_t host, Duration down);
    bool hostRuns(size_t host) const;
    /// Returns whether a host tells callers of commits of the present primary.
    bool acknowledgesAt(size_t host) const;
    /// Returns whether the coordinator's host failed to reach the servers involved in a change.
    bool coordinatorUnreachable() const;

    // Faults.

    /// Ends a server's process. Its connections are lost, and new ones are refused.
    void crash(const std::string& id);
    /// Starts a crashed server with its log.
    void restart(const std::string& id);
    /// Starts a server under its id with an empty log and a new start time; ends its process first if it runs.
    void restartEmpty(const std::string& id);
    /// Disconnects a server from everything, without any refusal, or connects it again.
    void setDark(const std::string& id, bool dark);
    void setStoreCut(const std::string& id, bool cut);
    void setHostCut(const std::string& id, size_t host, bool cut);
    /// Makes the network between a host and a server reset connections and refuse new ones, or connects them again.
    void setHostRefused(const std::string& id, size_t host, bool refused);
    /// Disconnects a host from the other hosts.
    void setPeersCut(size_t host, bool cut);
    /// Disconnects a host from the store.
    void setHostStoreCut(size_t host, bool cut);
    /// Disconnects a replica from the primary only.
    void setReplicationCut(const std::string& id, bool cut);
    void setReceiveDelay(const std::string& id, Duration delay);
    void drain(const std::string& id);
    /// Evacuates the data centre of a server, in which there is no other one.
    void evacuate(const std::string& id);
    /// Removes the registration of a draining server.
    void deregister(const std::string& id);
    /// Ends the process of a deregistered server, with its log.
    void exit(const std::string& id);
    /// Drains a server, removes its registration after the time and then ends its process.
    /// @param endsAfter time from the removal of the registration to the end of the process.
    void leave(const std::string& id, Duration drainTime, Duration endsAfter);
    /// Starts a replica at the address of a server that has left, with that server's log or empty.
    void replace(const std::string& left, const std::string& id, bool withLog);
    /// Starts a replica with the log that the primary has by now.
    void addReplica(const std::string& id);
    /// The answers to orders of promotions are lost.
    void setPromotionAnswersLost(bool lost) { m_promotionAnswersLost = lost; }
    /// Orders of promotions arrive later by this time.
    void setPromotionLateness(Duration late) { m_promotionLateness = late; }

    // State.

    std::string leader() const { return m_leader; }
    uint64_t term() const { return m_term; }
    bool isRunning(const std::string& id) const;
    bool isDark(const std::string& id) const;
    bool isHostCut(const std::string& id, size_t host) const;
    bool hasLeft(const std::string& id) const;
    bool isDraining(const std::string& id) const;
    bool isRegistered(const std::string& id) const;
    /// Returns the ids of the servers that have not left.
    std::vector<std::string> servers() const;
    size_t logSize(const std::string& id) const;
    /// Returns whether an acknowledged commit would have no copy left without the server's log.
    bool holdsOnlyCopy(const std::string& id) const;
    size_t acknowledged() const { return m_acknowledged; }
    Instant lastAcknowledgement() const { return m_lastAcknowledgement; }
    unsigned orders() const { return m_orders; } ///< Accepted orders of promotions.
    unsigned promotions() const { return m_promotions; } ///< Promotions that took effect.
    size_t destroyed() const { return m_destroyed; } ///< Acknowledged commits of which no copy remained.
    /// Acknowledged commits that a promoted server lacked although a copy existed.
    const std::vector<std::string>& losses() const { return m_losses; }
    /// Returns the recorded events as lines of text.
    std::string trace() const;
    void note(const std::string& event);

    Instant now { std::chrono::seconds(1000) };
    FakeTimers timers;

private:
    struct Server;
    struct Connection;
    struct Link;
    struct Host;

    Server* find(const std::string& id);
    const Server* find(const std::string& id) const;
    void addServer(const std::string& id, const std::string& address);
    void stepServers();
    void stepReplication();
    void stepRegistration(Server&);
    void publish(Server&);
    void withdraw(Server&);
    /// Lets a host read and write its items in the store.
    void stepRecords(Host&);
    void readItems(Host&);
    /// Lets a host note whether it hears others, or ask the store.
    void stepContact(Host&);
    /// Writes an item of the store. Returns whether it had the expected revision.
    bool writeItem(const StoreWrite&);
    void end(Server&, bool leaves);
    void start(Server&);
    void confirm(const std::string& replica, uint64_t term, size_t size);
    bool receivesWrites(const Server& leader) const;
    bool acknowledges(Host&) const;
    /// Returns the hosts that run and reach the primary.
    std::vector<Host*> hostsAt(const Server& leader) const;
    /// Tells hosts that reach the primary its position, as their reads do.
    void reportPositions();
    void orderPromotion(const std::string& id, uint64_t token, size_t host, std::function<void(PromotionOutcome)>);
    void takeEffect(const std::string& id);
    void checkLosses(const Server& target);
    size_t commonWithLineage(const Server&) const;
    std::string receiversOf(size_t number) const;

    bool pathOpen(const Connection&) const;
    void deliverConnect(const std::shared_ptr<Connection>&);
    void deliverCommands(const std::shared_ptr<Connection>&);
    void deliverReplies(const std::shared_ptr<Connection>&);
    void deliverClose(const std::shared_ptr<Connection>&, BackendCloseReason);
    BackendReply execute(Server&, const BackendCommand&);

    ReplicatedServiceTiming m_timing;
    std::mt19937_64 m_repeatRandom { std::getenv("COORDINATOR_REPEAT_SEED") != nullptr
            ? std::strtoull(std::getenv("COORDINATOR_REPEAT_SEED"), nullptr, 10)
            : 1 }; ///< Of the replies that are sent twice.
    std::map<std::string, std::unique_ptr<Server>> m_servers; ///< By id, including the ones that have left.
    std::vector<std::string> m_serverIds; ///< In the order in which they were added.
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::vector<std::unique_ptr<Host>> m_killedHosts; ///< Their processes have ended.
    Instant m_reportPositionsAt;
    std::vector<std::weak_ptr<Connection>> m_connections;
    std::map<std::string, StoreItem> m_items; ///< Of the store.
    uint64_t m_revision = 0;
    size_t m_active = 0;
    uint64_t m_token = 100; ///< Of the newest coordinator.
    uint64_t m_seenToken = 0; ///< Greatest token that the promotion service has seen.
    bool m_promotionAnswersLost = false;
    Duration m_promotionLateness { 0 };
    std::string m_leader; ///< Empty after a demotion.
    uint64_t m_term = 1;
    Instant m_nextCommit;
    // Log of the current or last leader.
    std::vector<uint64_t> m_lineage; ///< Terms of its commits.
    std::vector<Instant> m_committedAt;
    std::vector<uint64_t> m_receivers; ///< Bit mask of the servers, by their order, that received the commit.
    size_t m_acknowledged = 0; ///< The first commits of the lineage that are acknowledged.
    Instant m_lastAcknowledgement;
    unsigned m_orders = 0;
    unsigned m_promotions = 0;
    size_t m_destroyed = 0;
    std::vector<std::string> m_losses;
    std::vector<std::string> m_trace;
    Duration m_sinceHostTick { 0 };
};

} // namespace plantainwall

#pragma once

#include "gateway_config.h"
#include <optional>
#include <set>

namespace plantainwall {

struct DirectorySettings {
    /// While the store is unreachable, registrations expire, and hosts may not detect the outage. Servers register
    /// again within about 2 s after it. A server whose registration ended is kept for this long, counted from the time
    /// at which the store is reachable again.
    Duration returnGrace = std::chrono::milliseconds(2500);
    /// For this long after a restore of the store, a listed entry that is not newer than what is known may be one of
    /// the copy, of a process that has ended. The store removes such an entry after three heartbeats.
    Duration copyGrace = std::chrono::seconds(5);
    /// A server that denied being primary is not used as primary for this long: one store round trip and the delay of
    /// a registration.
    Duration denialTime = std::chrono::milliseconds(300);
    /// Lapsed servers that are kept per service. Above it the oldest settled one is dropped, and only without any the
    /// oldest of the others, with a log line. A service has a few servers, and restarts of them are minutes apart.
    size_t maxLapsedPerService = 16;
    /// A lapsed server that is down may start again without reaching the store; it is kept for this long in case it
    /// answers again.
    Duration forgetAfter = std::chrono::seconds(60);
};

/// A server whose registration ended. It may still run, receive and confirm commits.
struct LapsedServer {
    ServerEntry entry;
    Instant since; ///< When the registration ended, or when this host learned of the server.
    bool ended = false; ///< Another process has the id now.
    std::optional<Instant> settledAt; ///< Since when it has been known to be down and not needed.
};

/// A server that may hold acknowledged commits, or may run again.
struct Replica {
    ServerEntry entry;
    bool ended = false; ///< As in LapsedServer.
    bool settled = false; ///< Down and not needed, as the coordinator found; it may run again.
};

/// Lists the servers of each service and determines its primary, from the servers' registrations and their replies. A
/// server stays known as lapsed after its registration: it gets no statements, and find(), members(), primary() and
/// size() leave it out. A decision object.
class ServerDirectory {
public:
    explicit ServerDirectory(const DirectorySettings& = {});

    /// Applies a complete listing. Servers that it lacks are handled as by remove(). After a restore of the store an
    /// entry of a process before the known one, or one that is not newer than the last of a lapsed process, changes
    /// nothing until registerDeferred(). Returns the ids that were removed at once.
    std::vector<std::string> replaceAll(const std::vector<ServerEntry>&, Instant now);

    /// Adds or updates a registered server, which ends its lapsed state. Another start time means that the process with
    /// the id before has ended; it is kept as lapsed. An entry of the same start with a lower sequence number than the
    /// known one comes from a copy of the store: it keeps the server registered and changes nothing else. An entry
    /// without a start is taken as one of the process that is known to run.
    void registerServer(const ServerEntry&);

    /// Records that a registration was removed. A draining server lapses at once, any other after the grace time.
    /// Returns whether it lapsed at once.
    bool remove(const std::string& id, Instant now);

    void storeBecameUnreachable();
    void storeReachableAgain(Instant now);

    /// Records that an older copy has replaced the store. The grace time of missing servers starts anew.
    void storeRestored(Instant now);

    /// Registers the servers whose entries replaceAll() has deferred and that the store still has after copyGrace.
    /// Returns whether there were any.
    bool registerDeferred(Instant now);

    /// Makes servers lapsed whose grace time has expired and returns their ids.
    std::vector<std::string> expire(Instant now);

    /// Returns the lapsed servers of a service. The pointers are valid until the next change of this directory.
    std::vector<const LapsedServer*> lapsed(const std::string& service) const;

    /// Returns all lapsed servers. The pointers are valid until the next change of this directory.
    std::vector<const LapsedServer*> lapsed() const;

    /// Returns the servers of each service that may hold acknowledged commits, or may run again and then confirm some,
    /// in order of id and start: those that are registered or in their grace time, and lapsed ones.
    std::map<std::string, std::vector<Replica>> replicas() const;

    /// Adds a lapsed server that is known from another source than its registration. Ignored if its process, or
    /// one with the id and an unknown start, is registered or in its grace time. Only one process of an id runs: the
    /// registered one, else the one that was added last without having ended, or the one before after a restore of the
    /// store. Start times do not tell, because clocks may go back. A settled server that the source does not take for
    /// settled is needed again: the source has seen it run.
    /// @param ended Whether the source knows that another process has the id now; also applied to a known process.
    /// @param settled Whether the source takes it for settled; also applied to a known process.
    void addLapsed(const ServerEntry&, Instant now, bool ended = false, bool settled = false);

    /// Records which lapsed servers of a service (id and start, Unix milliseconds) are down and not needed. Servers
    /// that have been settled for forgetAfter, and processes that have ended, are dropped. Returns what was dropped.
    std::vector<std::pair<std::string, uint64_t>> settleLapsed(
        const std::string& service, const std::vector<std::pair<std::string, uint64_t>>& settled, Instant now);

    /// Records that a lapsed server is down and not needed, as another host has found; a process that has ended is
    /// dropped. Ignored if it is not lapsed.
    void noteSettled(const std::string& id, uint64_t startedUnixMs, Instant now);

    /// Drops a lapsed server, for example because its process has ended. Ignored if it is not lapsed.
    /// @param startedUnixMs Start of the process, as in its entry.
    void forgetLapsed(const std::string& id, uint64_t startedUnixMs);

    const ServerEntry* find(const std::string& id) const;
    std::vector<const ServerEntry*> members(const std::string& service) const;

    /// Returns the id of the server to use as primary: the confirmed one, else one that registered as primary, else any
    /// that has not denied it within the denial time. Empty if there is none.
    std::string primary(const std::string& service, Instant now) const;

    /// Returns the id of the confirmed primary, else of a server that registered as primary; empty if there is none.
    /// Unlike primary(), this never returns a guess.
    std::string knownPrimary(const std::string& service) const;

    /// Returns a server, other than the given one, that registered as primary and has not denied it within the denial
    /// time; empty if there is none.
    std::string registeredPrimary(const std::string& service, std::string_view other, Instant now) const;

    /// Returns the highest term reported for the service.
    uint64_t term(const std::string& service) const;

    /// Records that a server was confirmed as primary of the term. Returns whether the confirmed primary or its term
    /// changed.
    bool notePrimary(const std::string& service, const std::string& id, uint64_t term);

    /// Records a primary that another entry host reported, registered or lapsed. Ignored unless its term is newer than
    /// the known one, or the same while no primary is known. Returns whether the confirmed primary or its term changed.
    bool noteReportedPrimary(const std::string& service, const std::string& id, uint64_t term);

    /// Returns the id and term of the confirmed primary, or an empty id.
    std::pair<std::string, uint64_t> provenPrimary(const std::string& service) const;

    /// Returns the newest term that a server is known to have led, also if it denied being primary since; 0 if none.
    uint64_t ledTerm(const std::string& service, const std::string& id) const;

    /// Returns whether a server denied being primary within the denial time.
    bool deniedRecently(const std::string& service, const std::string& id, Instant now) const;

    /// Records that a server denied being primary.
    void noteNotPrimary(const std::string& service, const std::string& id, Instant now);

    /// Records a term that was reported for the service.
    void noteTerm(const std::string& service, uint64_t term);

    size_t size() const { return m_servers.size(); }

private:
    struct KnownServer {
        ServerEntry entry;
        std::optional<Instant> missingSince; ///< When the registration ended; the grace time is running.
    };
    struct Leadership {
        std::string id;
        uint64_t term = 0;
        uint64_t provenTerm = 0; ///< Term for which id is confirmed as primary; 0: not confirmed.
        std::string lastProvenId; ///< Kept when the server denies being primary.
        uint64_t lastProvenTerm = 0;
        std::map<std::string, Instant> deniedAt;
    };

    void lapse(const ServerEntry&, Instant since, bool ended);
    /// Returns whether the store may still contain entries of a copy that nobody has written since.
    bool mayBeCopy(Instant now) const;
    /// Returns whether the entry may be no sign of life: its process is known to have ended, or started before the one
    /// that is known to run, or has lapsed and may not have written since.
    bool mayBeOutdated(const ServerEntry&) const;
    /// Returns the start of the registered or lapsed process of an id that has not ended; 0 if unknown.
    uint64_t runningStart(const std::string& id) const;
    /// Records that all lapsed processes of an id have ended.
    void markEnded(const std::string& id);

    DirectorySettings m_settings;
    std::map<std::string, KnownServer> m_servers;
    /// By id and start of the process. The processes in m_servers are not among them.
    std::map<std::pair<std::string, uint64_t>, LapsedServer> m_lapsed;
    std::map<std::string, Leadership> m_leadership;
    Instant m_expiredAt; ///< Time of the last call of expire().
    std::optional<Instant> m_restoredAt;
    std::map<std::string, ServerEntry> m_deferred; ///< Entries of the last listing that may be outdated, by id.
    bool m_storeUnreachable = false;
    std::optional<Instant> m_storeReachableSince;
};

} // namespace plantainwall

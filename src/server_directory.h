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
    /// A server that denied being primary is not used as primary for this long: one store round trip and the delay of
    /// a registration.
    Duration denialTime = std::chrono::milliseconds(300);
};

/// Lists the servers of each service and determines its primary, from the servers' registrations and their replies. A
/// decision object.
class ServerDirectory {
public:
    explicit ServerDirectory(const DirectorySettings& = {});

    /// Applies a complete listing. Servers that it lacks are handled as by remove(). Returns the ids that were removed
    /// at once.
    std::vector<std::string> replaceAll(const std::vector<ServerEntry>&, Instant now);

    /// Adds or updates a registered server. An entry of the same start with a lower sequence number than the known one
    /// comes from a copy of the store: it keeps the server registered and changes nothing else.
    void registerServer(const ServerEntry&);

    /// Records that a registration was removed. A draining server is removed at once, any other after the grace time.
    /// Returns whether it was removed at once.
    bool remove(const std::string& id, Instant now);

    void storeBecameUnreachable();
    void storeReachableAgain(Instant now);

    /// Records that an older copy has replaced the store. The grace time of missing servers starts anew.
    void storeRestored(Instant now);

    /// Removes servers whose grace time has expired and returns their ids.
    std::vector<std::string> expire(Instant now);

    const ServerEntry* find(const std::string& id) const;
    std::vector<const ServerEntry*> members(const std::string& service) const;

    /// Returns the id of the server to use as primary: the confirmed one, else one that registered as primary, else any
    /// that has not denied it within the denial time. Empty if there is none.
    std::string primary(const std::string& service, Instant now) const;

    /// Returns the id of the confirmed primary, else of a server that registered as primary; empty if there is none.
    /// Unlike primary(), this never returns a guess.
    std::string knownPrimary(const std::string& service) const;

    /// Returns the highest term reported for the service.
    uint64_t term(const std::string& service) const;

    /// Records that a server was confirmed as primary of the term. Returns whether the confirmed primary or its term
    /// changed.
    bool notePrimary(const std::string& service, const std::string& id, uint64_t term);

    /// Records a primary that another entry host reported. Ignored unless its term is newer than the known one, or the
    /// same while no primary is known. Returns whether the confirmed primary or its term changed.
    bool noteReportedPrimary(const std::string& service, const std::string& id, uint64_t term, Instant now);

    /// Returns the id and term of the confirmed primary, or an empty id.
    std::pair<std::string, uint64_t> provenPrimary(const std::string& service) const;

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
        std::map<std::string, Instant> deniedAt;
    };

    DirectorySettings m_settings;
    std::map<std::string, KnownServer> m_servers;
    std::map<std::string, Leadership> m_leadership;
    bool m_storeUnreachable = false;
    std::optional<Instant> m_storeReachableSince;
};

} // namespace plantainwall

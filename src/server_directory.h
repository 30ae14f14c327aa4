#pragma once

#include "gateway_config.h"
#include <optional>
#include <set>

namespace plantainwall {

struct DirectorySettings {
    /// Registrations lapse while the store is away, which nobody may notice, and servers register again within about 2
    /// s of its return. A server whose registration ended is kept for this long, counted from the store's return.
    Duration returnGrace = std::chrono::milliseconds(2500);
    /// A server that denied being primary is not asked again as primary for this long: one store round trip and the
    /// delay of a registration.
    Duration denialTime = std::chrono::milliseconds(300);
};

/// Who serves each service, and which server is its primary. Built from the servers' registrations and corrected by
/// what the servers answer. A decision object.
class ServerDirectory {
public:
    explicit ServerDirectory(const DirectorySettings& = {});

    /// Takes over a complete listing. Servers that are not in it count as removed. Returns the ids that went at once.
    std::vector<std::string> replaceAll(const std::vector<ServerEntry>&, Instant now);

    void put(const ServerEntry&);

    /// Takes note of a removed registration. A server that was leaving goes at once, any other after the grace time.
    /// Returns whether it went at once.
    bool remove(const std::string& id, Instant now);

    void storeBecameUnreachable();
    void storeReachableAgain(Instant now);

    /// Removes servers whose grace time has passed and returns their ids.
    std::vector<std::string> expire(Instant now);

    const ServerEntry* find(const std::string& id) const;
    std::vector<const ServerEntry*> members(const std::string& service) const;

    /// Returns the id of the server to treat as primary: the one that proved it, else one that registered as primary,
    /// else any that has not denied it lately. Empty if all have.
    std::string primary(const std::string& service, Instant now) const;

    /// Returns the id of the server that proved to be primary, else of one that registered as primary; empty if none.
    /// Unlike primary(), this is never a guess.
    std::string knownPrimary(const std::string& service) const;

    /// Returns the highest term that any server of the service was seen in.
    uint64_t term(const std::string& service) const;

    /// A server proved to be primary in the term. Returns whether that changed the belief.
    bool notePrimary(const std::string& service, const std::string& id, uint64_t term);

    /// What another entry host learned of a primary; taken over if it is newer than what is known here, or nothing is.
    bool noteReportedPrimary(const std::string& service, const std::string& id, uint64_t term, Instant now);

    /// Returns the id and term of the server that proved to be primary, or an empty id.
    std::pair<std::string, uint64_t> provenPrimary(const std::string& service) const;

    /// A server denied being primary.
    void noteNotPrimary(const std::string& service, const std::string& id, Instant now);

    void noteTerm(const std::string& service, uint64_t term);

    size_t size() const { return m_servers.size(); }

private:
    struct Known {
        ServerEntry entry;
        std::optional<Instant> missingSince; ///< The registration lapsed while the store was away.
    };
    struct Leadership {
        std::string id;
        uint64_t term = 0;
        uint64_t provenTerm = 0; ///< Term in which id itself proved to be primary.
        std::map<std::string, Instant> deniedAt;
    };

    DirectorySettings m_settings;
    std::map<std::string, Known> m_servers;
    std::map<std::string, Leadership> m_leadership;
    bool m_storeUnreachable = false;
    std::optional<Instant> m_storeReachableSince;
};

} // namespace plantainwall

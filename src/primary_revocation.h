#pragma once

#include "plantainwall/plantainwall.h"
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace plantainwall {

/// What hosts no longer do with a primary that is being replaced.
enum class RevocationScope : uint8_t {
    NewCommits, ///< Send writes and commits. Those that were sent are acknowledged.
    AllCommits, ///< Nor acknowledge commits.
    Count
};

/// Returns a stable lower-case name for logs.
std::string_view revocationScopeName(RevocationScope);

/// A primary that is being replaced: of a service, and of any term below the given one.
struct PrimaryRevocation {
    uint64_t term = 0;
    RevocationScope scope = RevocationScope::AllCommits;
    /// With AllCommits, the only server that may lead the term or a later one; empty: none may yet. An order of an
    /// earlier coordinator, or an earlier one of this, may let another server lead first.
    std::string successor;
    bool ordered = false; ///< An order to promote a server may be on its way.

    bool operator==(const PrimaryRevocation& other) const
    {
        return term == other.term && scope == other.scope && successor == other.successor && ordered == other.ordered;
    }
};

/// Knows which primaries are being replaced. A decision object of every entry host.
///
/// Load pattern of RevocationScope::NewCommits: a primary leaves under load. While it still commits, no replica reaches
/// the end of its log, and the demoted primary has commits that no other server is known to have.
///
/// Load pattern of RevocationScope::AllCommits: the coordinator does not reach a primary, stops the replicas and orders
/// a promotion, while other hosts still reach the primary. A replica that restarts before the promotion takes effect
/// receives again, and the primary then confirms commits that the promoted server lacks. So no host acknowledges
/// commits of that primary any more. An order without an answer may be carried out late, and its server then leads
/// until the newer order takes effect; it would lack what that one acknowledges meanwhile. So no host acknowledges
/// commits of any server but the ordered one.
class PrimaryRevocations {
public:
    /// Records a revocation.
    /// @param token Fencing token of the coordinator; ignored while a revocation of a greater one lasts.
    /// @param lifetime Time after which the revocation ends unless it is renewed.
    /// @param number Rises with each change that the coordinator makes.
    /// @return Whether it was not in force before.
    bool revoke(const std::string& service, const PrimaryRevocation&, uint64_t token, Instant now, Duration lifetime,
        uint64_t number = 0);

    /// Records or prolongs a revocation that was read from the store, where it may be older than what the coordinator
    /// has sent since.
    /// @return Whether it was not in force before.
    bool revokeAsRecorded(const std::string& service, const PrimaryRevocation&, uint64_t token, uint64_t number,
        Instant now, Duration lifetime);

    /// Ends the revocation of a service, unless it is one of a greater token.
    /// @return Whether one was recorded.
    bool withdraw(const std::string& service, uint64_t token, uint64_t number = 0);

    /// Ends the revocation of a service, as the store no longer holds it. Ignored if the coordinator has changed it
    /// since.
    void withdrawAsRecorded(const std::string& service, uint64_t token, uint64_t number);

    /// Returns whether writes and commits must not be sent to a server that leads a term, or may lead a new one.
    /// @param term maxLogNumber if it is not known to have led any.
    bool isRevoked(const std::string& service, std::string_view server, uint64_t term, Instant now) const;

    /// Returns whether commits that a server confirms as primary of a term must not be acknowledged.
    bool withholdsCommits(const std::string& service, std::string_view server, uint64_t term, Instant now) const;

    /// Returns the revocation of an earlier coordinator whose orders may still be carried out: it was neither withdrawn
    /// nor replaced. Nothing if there is none, no order was sent, or it was last heard of too long ago.
    /// @param token Fencing token of the present coordinator.
    std::optional<PrimaryRevocation> unfinished(const std::string& service, uint64_t token, Instant now) const;

private:
    struct Entry {
        PrimaryRevocation revocation; ///< Term 0: withdrawn.
        uint64_t token = 0;
        uint64_t number = 0; ///< Of the coordinator's last change that this host knows of.
        Instant until;
        Instant heardAt; ///< When the coordinator or the store last held it.
    };

    /// The platform carries out an order without an answer up to 12 s later, and it takes effect a second after that.
    static constexpr Duration lateOrderTime = std::chrono::seconds(13);

    std::map<std::string, Entry> m_revocations; ///< By service.
};

} // namespace plantainwall

#pragma once

#include "database.h"
#include <map>
#include <random>
#include <set>
#include <variant>

namespace plantainwall {

/// Action: request the status of a member now.
struct ProbeMember {
    std::string member;
};

struct FenceMember {
    std::string member;
    uint64_t term = 0;
    std::string candidate;
};

struct PromoteMember {
    std::string member;
    uint64_t term = 0;
    std::string candidate;
};

/// The assumed primary has changed. An empty member means that none is known.
struct PrimaryKnown {
    std::string member;
    uint64_t term = 0;
};

using PromotionAction = std::variant<ProbeMember, FenceMember, PromoteMember, PrimaryKnown>;

/// Determines the primary of one group and decides when to promote another member. A decision object: times are passed
/// in, and the caller carries out the returned actions.
///
/// Safe without agreement between candidates: a member grants a term to one candidate only, a candidate promotes at
/// most one member per term, and it promotes the member with the longest log of a fenced majority.
class Promotion {
public:
    enum class Phase : uint8_t { Watching, Waiting, Fencing, Promoting, Count };

    /// A random number is appended to host to form a candidate name that is unique per process: a restarted host must
    /// not be granted the terms of its predecessor, because it does not know which member the predecessor promoted in
    /// them.
    Promotion(const GroupSettings&, std::string_view host, std::vector<std::string> members, std::mt19937_64& random,
        Instant now);

    /// Sets the rank of this host among the candidates, from 0, and the other hosts that own members of the group.
    void setCandidates(unsigned rank, std::vector<std::string> otherOwners);

    /// Handles a status. sent is the time of the request; a status requested earlier than the last one is ignored.
    std::vector<PromotionAction> onStatus(std::string_view member, const MemberStatus&, Instant sent, Instant now);
    std::vector<PromotionAction> onFenceReply(std::string_view member, uint64_t term, const FenceReply&, Instant now);
    std::vector<PromotionAction> onPromoteReply(std::string_view member, uint64_t term, bool promoted, Instant now);

    /// Records that another owner of members last reached the primary age ago.
    void onPeerContact(std::string_view host, Duration age, Instant now);

    /// Repeats unanswered calls and starts a round when it is due. Must be called about every 50 ms.
    std::vector<PromotionAction> tick(Instant now);

    const std::string& primary() const { return m_primary; } ///< Empty if none is known.
    uint64_t primaryTerm() const { return m_primaryTerm; }
    Instant lastPrimaryContact() const { return m_lastPrimaryContact; }
    Phase phase() const { return m_phase; }
    uint64_t promotions() const { return m_promotions; }
    uint64_t rounds() const { return m_rounds; }

private:
    struct Member {
        std::optional<MemberStatus> status;
        Instant sent {};
        Instant lastSeen {};
        std::optional<Instant> strandedSince; ///< Since when it has been fenced above the primary's term.
    };
    struct PeerContact {
        Instant primaryReachedAt {};
        Instant lastSeen {};
    };
    struct Round {
        uint64_t term = 0;
        Instant started {};
        std::map<std::string, LogPosition> granted;
        std::map<std::string, uint64_t> denied;
        std::map<std::string, Instant> sent;
        /// Members that are not leaving and have lost contact with the primary, or all that are not leaving if the
        /// primary is leaving.
        std::set<std::string> preferred;
        std::string chosen;
        unsigned promoteCalls = 0;
        Instant promoteSent {};
    };

    size_t majority() const { return m_members.size() / 2 + 1; }
    bool isFresh(const Member&, Instant now) const;
    bool isSilent(const Member&, Instant now, Duration silence) const;
    size_t silentMembers(Instant now, Duration silence) const;
    bool unreachableByEveryOwner(Instant now) const;
    bool memberStranded(Instant now) const;
    bool primaryLeaving(Instant now) const;
    bool shouldReplace(Instant now) const;
    bool knowsNewerPrimary(uint64_t term, Instant now) const;
    void noteStranded(Instant now);
    void updatePrimary(Instant now, std::vector<PromotionAction>& actions);
    void setPrimary(const std::string& member, uint64_t term, Instant now, std::vector<PromotionAction>& actions);
    void startRound(Instant now, std::vector<PromotionAction>& actions);
    void continueRound(Instant now, std::vector<PromotionAction>& actions);
    void sendFences(Instant now, std::vector<PromotionAction>& actions);
    void choosePromotedMember(Instant now, std::vector<PromotionAction>& actions);
    void sendPromote(Instant now, std::vector<PromotionAction>& actions);
    void abandonRound(Instant now, Duration pause);
    void noteTerm(uint64_t term, Instant now);
    Duration jitter(Duration limit);

    GroupSettings m_settings;
    std::string m_candidate;
    std::map<std::string, Member, std::less<>> m_members;
    std::mt19937_64& m_random;
    unsigned m_rank = 0;
    std::vector<std::string> m_otherOwners;
    std::map<std::string, PeerContact, std::less<>> m_peers;
    Phase m_phase = Phase::Watching;
    std::string m_primary;
    uint64_t m_primaryTerm = 0;
    uint64_t m_highestTerm = 0;
    Instant m_lastPrimaryContact;
    Instant m_roundDueAt {};
    Instant m_noRoundBefore {};
    std::optional<Round> m_round;
    uint64_t m_promotions = 0;
    uint64_t m_rounds = 0;
};

/// Returns "watching", "waiting", "fencing" or "promoting".
std::string_view promotionPhaseName(Promotion::Phase);

} // namespace plantainwall

#pragma once

#include "database.h"
#include <map>
#include <random>
#include <set>
#include <variant>

namespace plantainwall {

/// Ask a member for its status now.
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

/// The believed primary has changed. An empty member means that none is known.
struct PrimaryKnown {
    std::string member;
    uint64_t term = 0;
};

using PromotionAction = std::variant<ProbeMember, FenceMember, PromoteMember, PrimaryKnown>;

/// Decides for one group who is primary and when another member has to be promoted. A decision object: times are passed
/// in, and the caller carries out the returned actions.
///
/// Safety needs no agreement between candidates: a member grants a term to one candidate only, this object promotes at
/// most one member per term, and it promotes the longest log among a fenced majority.
class Promotion {
public:
    enum class Phase : uint8_t { Watching, Waiting, Fencing, Promoting, Count };

    /// host is made unique per process by a random part: a restarted host must not be granted the terms of its
    /// predecessor, because it does not know which member the predecessor promoted in them.
    Promotion(const GroupSettings&, std::string_view host, std::vector<std::string> members, std::mt19937_64& random,
        Instant now);

    /// Position of this host among the candidates, from 0, and the other hosts that own members of the group.
    void setCandidates(unsigned rank, std::vector<std::string> otherOwners);

    /// sent is the time at which the status was asked for; answers that were overtaken by a later one are ignored.
    std::vector<PromotionAction> onStatus(std::string_view member, const MemberStatus&, Instant sent, Instant now);
    std::vector<PromotionAction> onFenceReply(std::string_view member, uint64_t term, const FenceReply&, Instant now);
    std::vector<PromotionAction> onPromoteReply(std::string_view member, uint64_t term, bool promoted, Instant now);

    /// Another owner last reached the primary age ago.
    void onPeerContact(std::string_view host, Duration age, Instant now);

    /// Resends lost calls and starts a round when it is due. Call it every 50 ms or so.
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
        std::optional<Instant> strandedSince; ///< Fenced above the primary's term since.
    };
    struct PeerContact {
        Instant reached {};
        Instant lastSeen {};
    };
    struct Round {
        uint64_t term = 0;
        Instant started {};
        std::map<std::string, LogPosition> granted;
        std::map<std::string, uint64_t> denied;
        std::map<std::string, Instant> sent;
        std::set<std::string> preferred; ///< Staying members that did not hear the primary, or all if it is leaving.
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
    void choose(Instant now, std::vector<PromotionAction>& actions);
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
    Instant m_startAt {};
    Instant m_notBefore {};
    std::optional<Round> m_round;
    uint64_t m_promotions = 0;
    uint64_t m_rounds = 0;
};

/// Returns "watching", "waiting", "fencing" or "promoting".
std::string_view promotionPhaseName(Promotion::Phase);

} // namespace plantainwall

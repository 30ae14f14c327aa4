#pragma once

#include "config_snapshot.h"
#include "member_service.h"
#include <variant>

namespace plantainwall {

/// Where a request comes from and what it needs, as far as the choice of members depends on it.
struct DispatchRequest {
    bool readOnly = false;
    bool idempotent = false;
    TransactionStep step = TransactionStep::None;
    std::string pinnedMember; ///< Member of the open transaction; no other will do.
    std::string dataCentre; ///< Of this entry host.
    std::string region;
    Instant deadline {};
};

/// Decides which member gets the next attempt of one request, and when to give up. A decision object: no I/O, time is
/// passed in.
class DispatchPlan {
public:
    static constexpr unsigned maxRedirects = 6;
    static constexpr Duration firstBackoff = std::chrono::milliseconds(10);
    static constexpr Duration maxBackoff = std::chrono::milliseconds(160);

    struct Attempt {
        std::string member;
        std::optional<Duration> waitLimit; ///< Absent: the owner decides how long to wait for the replica.
    };

    /// Try again after the delay. needsBudget: the attempt counts as a retry and needs the retry budget's consent.
    struct Wait {
        Duration delay {};
        Attempt attempt;
        bool needsBudget = false;
        bool primaryUnknown = false;
    };

    using Step = std::variant<Attempt, Wait, MemberAnswer>;

    /// @param primary Member believed to be primary, or empty.
    DispatchPlan(const GroupConfig&, DispatchRequest, std::string_view primary);

    Attempt first();

    /// Returns what to do after an answer: another attempt, a later attempt, or the answer for the caller.
    Step next(const MemberAnswer&, Instant now);

private:
    Step redirect(const MemberAnswer&, Instant now);
    Step later(const MemberAnswer&, Instant now, bool needsBudget);
    void orderReadCandidates(const GroupConfig&);
    bool mayRepeat(const MemberAnswer&) const;
    std::string nextCandidate();

    DispatchRequest m_request;
    std::string m_primary;
    std::vector<std::string> m_candidates; ///< In order of preference.
    size_t m_candidate = 0;
    unsigned m_redirects = 0;
    Duration m_backoff = firstBackoff;
};

} // namespace plantainwall

#pragma once

#include "config_snapshot.h"
#include "member_service.h"
#include <variant>

namespace plantainwall {

/// Properties of a request on which the choice of members depends.
struct DispatchRequest {
    bool readOnly = false;
    bool idempotent = false;
    TransactionStep step = TransactionStep::None;
    std::string pinnedMember; ///< Member of the open transaction; no other one can run the request.
    std::string dataCentre; ///< Data centre of this entry host.
    std::string region;
    Instant deadline {};
};

/// Decides to which member a request is sent next and when to stop retrying. A decision object: it does no I/O, and
/// time is passed in.
class DispatchPlan {
public:
    static constexpr unsigned maxRedirects = 6;
    static constexpr Duration firstBackoff = std::chrono::milliseconds(10);
    static constexpr Duration maxBackoff = std::chrono::milliseconds(160);

    struct Attempt {
        std::string member;
        std::optional<Duration> waitLimit; ///< Longest wait for a lagging replica; absent: the owner decides.
    };

    /// The next attempt starts after a delay.
    struct Wait {
        Duration delay {};
        Attempt attempt;
        bool needsBudget = false; ///< The attempt counts as a retry, which the retry budget must allow.
        bool primaryUnknown = false;
    };

    using Step = std::variant<Attempt, Wait, MemberAnswer>;

    /// @param primary Assumed primary, or empty.
    DispatchPlan(const GroupConfig&, DispatchRequest, std::string_view primary);

    Attempt first();

    /// Returns the step that follows an answer: another attempt, an attempt after a delay, or the answer for the
    /// caller.
    Step next(const MemberAnswer&, Instant now);

private:
    Step redirect(const MemberAnswer&, Instant now);
    Step retryLater(const MemberAnswer&, Instant now, bool needsBudget);
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

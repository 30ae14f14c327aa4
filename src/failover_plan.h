#pragma once

#include "gateway_ports.h"
#include "primary_positions.h"
#include <map>

namespace plantainwall {

struct FailoverSettings {
    /// A change starts when the primary has not answered for this long; a lost packet's retransmission takes less.
    Duration unreachableTimeout = std::chrono::milliseconds(1200);
    /// The same for a primary whose host refuses connections.
    Duration refusedTimeout = std::chrono::milliseconds(500);
    /// A change starts when no replica has received the primary's commits for this long.
    Duration unconfirmedTimeout = std::chrono::milliseconds(2000);
    /// A change starts when no server has reported that it is primary for this long.
    Duration noPrimaryTimeout = std::chrono::milliseconds(1000);
    /// A change starts when another host has left a replica stopped for this long.
    Duration leftStoppedTimeout = std::chrono::milliseconds(1500);
    Duration stopRepeatInterval = std::chrono::milliseconds(300);
    /// A primary that answers is demoted if a replica has not stopped within this time: one round trip between regions
    /// and the opening of a connection.
    Duration demoteAfter = std::chrono::milliseconds(300);
    Duration collectTimeout = std::chrono::milliseconds(1500);
    Duration pauseAfterAbort = std::chrono::milliseconds(1000);
    Duration pauseAfterChange = std::chrono::milliseconds(3000);
    Duration effectTimeout = std::chrono::milliseconds(4000); ///< An accepted promotion takes effect within this time.
    Duration orderRepeatDelay = std::chrono::milliseconds(200);
};

/// State of one server as the promotion coordinator knows it.
struct FailoverMember {
    std::string id;
    bool draining = false;
    std::optional<ServerStatus> status; ///< Last status received.
    Instant requestedAt; ///< When the last status was requested.
    Instant answeredAt; ///< When the last status was received.
    /// The last connection was refused because the process does not run; a server at its connection limit does not
    /// count.
    bool refused = false;
    std::optional<Instant> silentSince; ///< Time of the first unanswered request since the last answer.
};

enum class FailoverAction : uint8_t { None, StopReceiving, ResumeReceiving, Demote, Promote, Count };

enum class FailoverReason : uint8_t { None, Leaving, Gone, Unreachable, NoPrimary, Unconfirmed, LeftStopped, Count };

/// Returns a stable lower-case name for logs.
std::string_view failoverReasonName(FailoverReason);

/// Plans the change of the primary of one service. A decision object.
///
/// A commit is acknowledged once one replica has received it. Before a replica is promoted, every replica stops
/// receiving at a term above the newest. From then on no commit is acknowledged, and the longest log among all replicas
/// holds every acknowledged commit. A replica that does not answer may hold the only copy of a commit, so no server is
/// promoted without it, unless
/// - its process does not run, and the remaining logs reach a position that the primary reported after that, or
/// - the old primary answers: once demoted it acknowledges nothing more, and its log holds all that it acknowledged.
///
/// An order without an answer may still be carried out, so it is repeated for the same server until it is answered.
class FailoverPlan {
public:
    struct Step {
        FailoverAction action = FailoverAction::None;
        std::vector<std::string> servers;
        uint64_t term = 0;
        FailoverReason reason = FailoverReason::None;
    };

    explicit FailoverPlan(const FailoverSettings& = {});

    /// Returns the next step.
    /// @param primary Server assumed to be primary; empty if none.
    /// @param members All registered servers of the service.
    /// @param term Newest term seen.
    Step step(Instant now, const std::string& primary, const std::vector<FailoverMember>& members, uint64_t term);

    /// Handles the answer to a Promote step.
    void promoteAnswered(PromotionOutcome, Instant now);

    /// Resets all state when this host is no longer the coordinator.
    void reset();

    /// Returns the number of consecutive attempts that failed because servers did not answer; another host may reach
    /// them.
    unsigned failedAttempts() const { return m_failedAttempts; }

private:
    enum class Phase : uint8_t { Watching, Collecting, Promoting, Resuming, Count };

    struct Replica {
        std::optional<Instant> silentSince;
    };

    /// Updates the set of replicas that may hold an acknowledged commit that no other replica has.
    void updateReplicas(Instant, const std::string& primary, const std::vector<FailoverMember>&, uint64_t term);
    FailoverReason findReason(Instant, const std::string& primary, const std::vector<FailoverMember>&, uint64_t term);
    Step collect(Instant, const std::string& primary, const std::vector<FailoverMember>&, uint64_t term);
    Step resumeStopped(const std::vector<FailoverMember>&);

    FailoverSettings m_settings;
    Phase m_phase = Phase::Watching;
    FailoverReason m_reason = FailoverReason::None;
    uint64_t m_term = 0; ///< Term at which replicas stop receiving.
    std::string m_target;
    std::string m_demoted; ///< Primary of the newest term that was ordered to demote itself.
    bool m_ordered = false; ///< A promotion or demotion was ordered in this attempt.
    bool m_waitingForAnswer = false;
    unsigned m_failedAttempts = 0;
    std::map<std::string, Replica> m_replicas; ///< Servers that may hold an acknowledged commit, registered or not.
    Instant m_startedAt;
    Instant m_repeatAt; ///< When the stop or the order is repeated; once accepted, when its answer was received.
    Instant m_noChangeBefore;
    std::map<FailoverReason, Instant> m_since; ///< Since when each condition has held without interruption.
    LogPosition m_unconfirmedPosition;
    Instant m_unconfirmedAt;
    /// Position that the primary reported after a replica stopped answering, by replica.
    std::map<std::string, LogPosition> m_primaryAtLoss;
};

} // namespace plantainwall

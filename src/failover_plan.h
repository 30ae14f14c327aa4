#pragma once

#include "gateway_ports.h"
#include "primary_positions.h"
#include <map>

namespace plantainwall {

struct FailoverSettings {
    /// A silent primary is suspected after this long: more than a lost packet's retransmissions take.
    Duration unreachable = std::chrono::milliseconds(1200);
    Duration refusing = std::chrono::milliseconds(500); ///< The same for one whose host refuses connections.
    Duration unconfirmed = std::chrono::milliseconds(2000); ///< Replicas that receive nothing for this long.
    Duration noPrimary = std::chrono::milliseconds(1000); ///< Nobody reports to be primary.
    Duration stopped = std::chrono::milliseconds(1500); ///< A replica that another host left stopped.
    Duration repeatStop = std::chrono::milliseconds(300);
    /// A primary that answers is demoted if a replica has not stopped by then: one round trip between regions and the
    /// opening of a connection.
    Duration demoteAfter = std::chrono::milliseconds(300);
    Duration collectTimeout = std::chrono::milliseconds(1500);
    Duration pauseAfterAbort = std::chrono::milliseconds(1000);
    Duration pauseAfterChange = std::chrono::milliseconds(3000);
    Duration effectTimeout = std::chrono::milliseconds(4000); ///< An accepted order takes effect within this time.
    Duration repeatOrder = std::chrono::milliseconds(200);
};

/// What the host that orders promotions knows of one server.
struct FailoverMember {
    std::string id;
    bool draining = false;
    std::optional<ServerStatus> status; ///< Last status.
    Instant requestedAt; ///< When the last status was asked for.
    Instant answeredAt; ///< When the last status came.
    bool refused = false; ///< The last connection was refused: the process does not run. Not: it has enough of them.
    std::optional<Instant> silentSince; ///< First question since the last answer that went unanswered.
};

enum class FailoverAction : uint8_t { None, StopReceiving, ResumeReceiving, Demote, Promote, Count };

enum class FailoverReason : uint8_t { None, Leaving, Gone, Unreachable, NoPrimary, Unconfirmed, LeftStopped, Count };

/// Returns a stable lower-case name for logs.
std::string_view failoverReasonName(FailoverReason);

/// Change of the primary of one service. A decision object.
///
/// A commit is acknowledged once one replica has received it. Before a replica is promoted, every replica stops
/// receiving at a term above the newest; from then on nothing is acknowledged, and the longest log among all replicas
/// holds all that ever was. A replica that cannot be asked might hold the only copy, so without it nothing is promoted,
/// unless its process does not run or the old primary itself answers: once demoted it acknowledges nothing more, and
/// its log holds all that it ever acknowledged. An order that got no answer may still be carried out: it is repeated
/// for the same server until it is answered.
class FailoverPlan {
public:
    struct Step {
        FailoverAction action = FailoverAction::None;
        std::vector<std::string> servers;
        uint64_t term = 0;
        FailoverReason reason = FailoverReason::None;
    };

    explicit FailoverPlan(const FailoverSettings& = {});

    /// Decides what to do now. primary is the server believed to be primary, empty if none; members are all registered
    /// servers of the service; term is the newest term seen.
    Step step(Instant now, const std::string& primary, const std::vector<FailoverMember>& members, uint64_t term);

    /// Takes the answer to a Promote step.
    void promoteAnswered(PromotionOutcome, Instant now);

    /// Forgets everything, for a host that no longer orders promotions.
    void reset();

    /// Returns how many attempts in a row ended because servers could not be asked; another host may reach them.
    unsigned failedAttempts() const { return m_failedAttempts; }

private:
    enum class Phase : uint8_t { Watching, Collecting, Promoting, Resuming, Count };

    struct Replica {
        std::optional<Instant> silentSince;
    };

    /// Updates which replicas may hold an acknowledged commit that no other one has.
    void observe(Instant, const std::string& primary, const std::vector<FailoverMember>&, uint64_t term);
    FailoverReason findReason(Instant, const std::string& primary, const std::vector<FailoverMember>&, uint64_t term);
    Step collect(Instant, const std::string& primary, const std::vector<FailoverMember>&, uint64_t term);
    Step resumeStopped(const std::vector<FailoverMember>&);

    FailoverSettings m_settings;
    Phase m_phase = Phase::Watching;
    FailoverReason m_reason = FailoverReason::None;
    uint64_t m_term = 0; ///< At which replicas stop.
    std::string m_target;
    std::string m_demoted; ///< Primary of the newest term that was ordered to lay down its lead.
    bool m_ordered = false; ///< A promotion or demotion was ordered in this attempt.
    bool m_waitingForAnswer = false;
    unsigned m_failedAttempts = 0;
    std::map<std::string, Replica> m_known; ///< Servers that may hold an acknowledged commit, registered or not.
    Instant m_startedAt;
    Instant m_repeatAt; ///< Of the stop or the order; of the order's answer once it is accepted.
    Instant m_notBefore;
    std::map<FailoverReason, Instant> m_since; ///< When each condition was first seen without interruption.
    LogPosition m_unconfirmedPosition;
    Instant m_unconfirmedAt;
    std::map<std::string, LogPosition> m_primaryAtLoss; ///< Primary's position, seen after a replica fell silent.
};

} // namespace plantainwall

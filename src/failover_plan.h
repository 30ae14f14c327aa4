#pragma once

#include "acknowledged_commits.h"
#include "primary_revocation.h"
#include "replica_logs.h"
#include <functional>

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
    /// Replicas that stay have this long to receive what leaving ones confirmed, and servers that do not answer to be
    /// asked again: two status requests and their answers.
    Duration catchUpTimeout = std::chrono::milliseconds(1200);
    /// Statements that were sent to a leaving primary before hosts stopped to send it writes end within this time: a
    /// passage between regions and the run time of a statement.
    Duration writesEndAfter = std::chrono::milliseconds(100);
    /// A server that does not answer may have a log that no other has. So destroyed logs are waited for until every
    /// known server has answered without interruption for this long, and none became known meanwhile.
    Duration allAnsweringTime = std::chrono::milliseconds(5000);
    Duration reportMissingInterval = std::chrono::milliseconds(2000);
    /// For this long after a primary was last seen, a log is waited for that holds all commits which callers were told
    /// of. Then the server that had it counts as lost for good.
    Duration acknowledgedWait = std::chrono::seconds(60);
    ReplicaLogsSettings logs;
};

enum class FailoverAction : uint8_t { None, StopReceiving, ResumeReceiving, Demote, Promote, Count };

enum class FailoverReason : uint8_t {
    None,
    Leaving,
    Gone,
    Unreachable,
    NoPrimary,
    Unconfirmed,
    LeftStopped,
    Unfinished, ///< An earlier coordinator's orders may still be carried out.
    Count
};

/// Returns a stable lower-case name for logs.
std::string_view failoverReasonName(FailoverReason);

/// Returns whether the promotion of a server to primary of a term may be ordered now. demoted: the old primary has
/// reported that it leads no more. Otherwise it may go on leading by its own account.
using PermitPromotion = std::function<bool(const std::string& server, uint64_t term, bool demoted)>;

/// What the coordinator knows of a service besides its servers' answers.
struct FailoverKnowledge {
    /// Asked before each promotion that this attempt has not ordered yet; empty: all may be ordered.
    PermitPromotion permit;
    /// Since when all hosts have known FailoverPlan::revocation(); nothing: some may not. Zero: there are no hosts.
    std::optional<Instant> revokedSince = Instant();
    /// The newest commit that callers were told of. Its latest position is set only while FailoverPlan::revocation()
    /// withholds commits.
    NewestAcknowledged acknowledged;
    /// An earlier coordinator's change has not ended. Only an order of this coordinator keeps the platform from
    /// carrying out orders of that one, and until it takes effect another server may lead.
    bool unfinished = false;
    std::string successor; ///< Of an unfinished change: the server that was ordered last; empty: not known.
    /// Returns whether the next coordinator would learn that an order may be on its way; empty: it would.
    std::function<bool()> isRecorded;
    /// When this host last learned a position from a primary, or when its process started.
    Instant primarySeenAt;
};

/// Plans the change of the primary of one service. A decision object.
///
/// A commit is acknowledged once one replica has received it. Before a replica is promoted, every replica stops
/// receiving at a term above the newest. From then on no commit is acknowledged, and the longest log among all replicas
/// holds every acknowledged commit. A replica that does not answer may hold the only copy of a commit, so no server is
/// promoted without it, unless
/// - it is proven that its log is not needed (see ReplicaLogs), or
/// - the old primary answers: once demoted it acknowledges nothing more, and its log holds all that it acknowledged, or
/// - the missing logs were destroyed by restarts, and all other known servers have stopped and have answered for a
///   while. The longest log then holds every commit that any known server still has, and waiting can add none.
///
/// A primary that does not answer may still serve other hosts. A replica that restarts receives again, so the primary
/// could confirm commits until the promotion takes effect. No server is promoted before all hosts have stopped to
/// acknowledge commits of that primary, and only logs that were reported after that count.
///
/// Once no host acknowledges commits, the hosts together know how far the acknowledged ones reach. A log that reaches
/// as far needs no other one beside it, whether those were destroyed or are of servers that do not answer.
///
/// A primary that answers is always demoted first. A replica that this host does not know could otherwise confirm a
/// commit until the promotion takes effect. It may have confirmed others before, which only it and the primary have, so
/// the server that replaces a leaving primary must have its whole log. Hosts therefore stop to send a leaving primary
/// writes, and the replicas receive the rest of its log, before they are stopped.
///
/// Replicas that leave or are not registered are stopped first. The others then confirm every later commit, and one of
/// them can be promoted although only a leaving replica had received the newest ones.
///
/// An order without an answer may still be carried out, so it is repeated for the same server until it is answered. The
/// platform refuses it only once it has seen a newer one. Until then, and until the newest order has taken effect,
/// another server may lead: hosts acknowledge commits of the ordered server alone. The next coordinator learns of a
/// change that has not ended, and orders a promotion under the same conditions, whoever leads by then.
class FailoverPlan {
public:
    struct Step {
        FailoverAction action = FailoverAction::None;
        std::vector<std::string> servers;
        uint64_t term = 0;
        FailoverReason reason = FailoverReason::None;
        /// Logs that have prevented a promotion; set from time to time and when an attempt ends without one.
        std::vector<ReplicaLogs::Missing> missing;
    };

    explicit FailoverPlan(const FailoverSettings& = {});

    /// Returns the next step.
    /// @param primary Server assumed to be primary; empty if none.
    /// @param members All registered servers of the service, and those whose registrations have ended.
    /// @param term Newest term seen.
    Step step(Instant now, const std::string& primary, const std::vector<FailoverMember>& members, uint64_t term,
        const FailoverKnowledge& = {});

    /// Returns which primary is being replaced, and what hosts must no longer do with it; nothing if none is.
    const std::optional<PrimaryRevocation>& revocation() const { return m_revocation; }

    /// Returns whether no change is in progress.
    bool watching() const { return m_phase == Phase::Watching; }

    /// Handles the answer to a Promote step.
    void promoteAnswered(PromotionOutcome, Instant now);

    /// Resets all state when this host is no longer the coordinator.
    void reset();

    /// Returns the number of consecutive attempts that failed because servers did not answer; another host may reach
    /// them.
    unsigned failedAttempts() const { return m_failedAttempts; }

    /// See ReplicaLogs::settled().
    std::vector<std::pair<std::string, uint64_t>> settled() const { return m_logs.settled(); }

private:
    enum class Phase : uint8_t { Watching, Collecting, Promoting, Resuming, Count };

    /// Replicas that have stopped receiving in this attempt.
    struct Stopped {
        std::vector<std::string> ids;
        const FailoverMember* best = nullptr; ///< Longest log.
        const FailoverMember* bestStaying = nullptr; ///< Longest log of a replica that is registered and not leaving.
        LogPosition longest;
        LogPosition longestButDemoted; ///< Longest log without that of the demoted primary.
        bool demoted = false; ///< The demoted primary is among them.
    };

    /// Chooses the server to promote, given the logs that are needed besides those of the stopped servers.
    /// @param needsEnd It must have the end of the demoted primary's log.
    const FailoverMember* chooseTarget(Instant, const Stopped&, const std::vector<FailoverMember>&, uint64_t term,
        gsl::span<const ReplicaLogs::Missing>, bool needsEnd) const;
    Stopped stoppedReplicas(const std::string& primary, const std::vector<FailoverMember>&, uint64_t term) const;
    /// Records when the primary became a replica, by an order of this coordinator or of an earlier one.
    void noteDemoted(const FailoverMember* leader, const std::vector<FailoverMember>&, uint64_t term);
    /// Returns whether the logs of all known servers have been compared, so that no later answer can add a commit.
    bool allCompared(Instant, const Stopped&, const std::vector<FailoverMember>&) const;
    /// Records since when every known server has answered.
    void noteAnswers(Instant, const std::vector<FailoverMember>&);
    /// Returns whether a later term than that of the demoted primary has begun.
    bool isSuperseded(const std::vector<FailoverMember>&) const;
    /// Returns whether no host acknowledges commits of the present primary.
    bool commitsWithheld() const;
    /// Determines what hosts must no longer do with the present primary.
    void updateRevocation(const FailoverMember* leader, const std::vector<FailoverMember>&, uint64_t term,
        std::optional<Instant> revokedSince, Instant now);
    /// Decides whether the staying replicas are stopped too; before, only those that leave are.
    void chooseStage(Instant, const FailoverMember* leader, const std::string& primary,
        const std::vector<FailoverMember>&, uint64_t term);
    void restartAttempt(Instant);
    /// Returns whether a server leads by the last order that may be on its way.
    bool endsChange(const FailoverMember&) const;
    FailoverReason findReason(Instant, const std::string& primary, const std::vector<FailoverMember>&, uint64_t term);
    Step collect(Instant, const std::string& primary, const std::vector<FailoverMember>&, uint64_t term,
        const FailoverKnowledge&);
    /// Drops missing logs that are not needed, because the longest stopped one holds all that callers were told of, and
    /// adds one if it lacks something of that.
    /// @return Whether only the log of the demoted primary holds all of it, so that its successor needs the whole log.
    bool checkAcknowledged(Instant, const Stopped&, const std::vector<FailoverMember>&, const FailoverKnowledge&,
        std::vector<ReplicaLogs::Missing>&) const;
    /// Orders the promotion of a server, which then is the only one whose commits hosts acknowledge.
    Step order(const std::string& target);
    /// Ends an attempt without an order. The primary leads on.
    Step giveUp(Instant, const std::vector<FailoverMember>&);
    Step resumeStopped(const std::vector<FailoverMember>&);

    FailoverSettings m_settings;
    Phase m_phase = Phase::Watching;
    FailoverReason m_reason = FailoverReason::None;
    uint64_t m_term = 0; ///< Term at which replicas stop receiving.
    std::string m_target;
    std::string m_demoted; ///< Primary of the newest term that was ordered to demote itself.
    uint64_t m_demotedTerm = 0; ///< Term that it led.
    std::optional<Instant> m_demotedAt; ///< When it reported that it is a replica.
    std::optional<PrimaryRevocation> m_revocation;
    std::optional<Instant> m_revokedSince; ///< Since when all hosts have known m_revocation.
    bool m_promotionOrdered = false; ///< In this attempt; the order may still take effect.
    bool m_unfinished = false; ///< The same for orders of an earlier coordinator.
    std::string m_earlierSuccessor; ///< Server that the earlier coordinator ordered last; empty: not known.
    bool m_waitingForAnswer = false;
    unsigned m_failedAttempts = 0;
    ReplicaLogs m_logs;
    Instant m_startedAt;
    std::optional<Instant> m_allStoppingSince; ///< When the staying replicas were stopped too.
    Instant m_reportMissingAt; ///< When the logs that prevent a promotion are returned next.
    Instant m_repeatAt; ///< When the stop or the order is repeated; once accepted, when its answer was received.
    Instant m_noChangeBefore;
    std::vector<std::string> m_answering; ///< Ids of all known servers while all of them answer; otherwise empty.
    Instant m_answeringSince; ///< Since when m_answering has not changed.
    std::map<FailoverReason, Instant> m_since; ///< Since when each condition has held without interruption.
    LogPosition m_unconfirmedPosition;
    Instant m_unconfirmedAt;
};

} // namespace plantainwall

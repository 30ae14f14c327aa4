#pragma once

#include "failover_member.h"
#include "primary_positions.h"
#include <gsl/span>
#include <map>

namespace plantainwall {

struct ReplicaLogsSettings {
    /// A server without a registration that answers neither this host nor those that probe it counts as down after
    /// this long. A longer time protects commits of a server that only the primary reaches; a shorter one lets the
    /// service survive the loss of a second server sooner.
    Duration goneTimeout = std::chrono::milliseconds(5000);
    /// A server that an earlier coordinator found not needed may have run since without being noticed. Unless its log
    /// is proven to be covered, it is waited for until nobody has seen a primary for this long: the time within which
    /// the process of a crashed server is started again.
    Duration settledReturnTime = std::chrono::milliseconds(8000);
};

/// Tracks which logs of one service may hold an acknowledged commit that no other log has. A decision object.
///
/// A commit is acknowledged once any replica has received it, so every log counts until it is proven that it is not
/// needed: its server can receive no more, and after that the primary reported a position that another replica's log
/// has reached. Whether a server is registered proves nothing about its process, and an answer under its id proves
/// nothing about its log, because a restarted server may have lost it.
class ReplicaLogs {
public:
    /// A log without which no server may be promoted.
    struct Missing {
        std::string id;
        std::string_view reason; ///< For logs.
        bool lost = false; ///< Lost by a restart; no answer of the server can replace it.
    };

    explicit ReplicaLogs(const ReplicaLogsSettings& = {});

    /// Updates the state of all logs. Parameters as in FailoverPlan::step.
    /// @param primarySeenAt When this host last learned anything from a primary.
    void update(Instant now, const std::string& primary, const std::vector<FailoverMember>&, uint64_t term,
        Instant primarySeenAt = Instant());

    /// Records that a new primary leads; it holds every acknowledged commit, but other logs may not yet.
    void primaryChanged(Instant now);

    /// Returns whether the last status is that of the server's present process.
    bool isCurrent(const FailoverMember&) const;

    /// Returns whether the server restarted without its log since this was last proven to be harmless.
    bool hasLostLog(const std::string& id) const;

    /// Returns whether the server's present process has reported that it leads a term that is not older than the given
    /// one. Its log then holds every commit that was acknowledged before the end of that term.
    bool hasLed(const std::string& id, uint64_t term) const;

    /// Returns the logs that are needed, given the servers that have stopped receiving.
    /// @param longest Longest log among the stopped servers but the demoted primary.
    /// @param unansweredSince A server that is down is not needed only if it left a request unanswered that was made
    ///     after this time. Without a value every server is needed: a primary that answers could at any moment
    ///     acknowledge a commit that a restarted server has confirmed.
    std::vector<Missing> missing(
        gsl::span<const std::string> stopped, const LogPosition& longest, std::optional<Instant> unansweredSince) const;

    /// Returns id and start time (Unix milliseconds) of the unregistered servers that are down and whose logs are not
    /// needed, as this or an earlier coordinator has found. They may still answer again.
    std::vector<std::pair<std::string, uint64_t>> settled() const;

private:
    /// Proof that a log which grows no more is not needed.
    struct Coverage {
        Instant since; ///< The log has not grown since.
        /// First position that the primary reported after `since`, also when demoted.
        std::optional<LogPosition> primaryPosition;
        std::string primary; ///< The primary that reported it.
        std::optional<Instant> coveredAt; ///< When a log other than that primary's had reached the position.
    };

    struct Copy {
        std::string address;
        uint64_t startedUnixMs = 0;
        uint64_t term = 0; ///< Last term that it reported.
        LogPosition received; ///< Last position that it reported.
        Instant validFrom; ///< Answers to earlier requests are from an earlier process.
        uint64_t ledTerm = 0; ///< Newest term of which the process reported that it is primary; 0 if none.
        uint64_t lostInTerm = 0; ///< Newest term in which a process under the id had more than a later one.
        bool restarted = false; ///< The process has not answered yet; its first status shows whether it kept the log.
        bool settledBefore = false; ///< Down and not needed by the word of an earlier coordinator only.
        bool leading = false; ///< Log of the primary: the replicas hold all that it acknowledged.
        bool registered = true;
        Instant failedAt; ///< See FailoverMember.
        bool replaced = false; ///< See FailoverMember.
        std::optional<Instant> unlistedSince; ///< Since when update() was called without it.
        std::optional<Coverage> down; ///< Set while the server can receive nothing.
    };

    struct LostCopy {
        std::string id;
        uint64_t startedUnixMs = 0; ///< 0: the restart was recognized by its log.
        bool wasPrimary = false; ///< Not needed before the primary changes.
        uint64_t term = 0; ///< Last term and position that it reported; 0 if unknown.
        LogPosition received;
        Coverage coverage;
    };

    void updateCopy(Instant, const FailoverMember&, const std::string& primary, uint64_t term);
    void noteLost(Instant, const std::string& id, uint64_t startedUnixMs, bool wasPrimary, const Copy&);
    void checkLogKept(Instant, const std::string& id, const ServerStatus&);
    /// Marks logs as covered that a later process at the server's address has kept.
    void checkSuccessors(Instant, const std::vector<FailoverMember>&);
    /// @param wasDown Result of the last call.
    bool isDown(Instant, const FailoverMember&, bool wasDown) const;

    ReplicaLogsSettings m_settings;
    std::map<std::string, Copy> m_copies; ///< By server id.
    std::vector<LostCopy> m_lostCopies;
    /// When a primary last answered. While one runs, a server that lost its log receives parts of it again, so its
    /// position then proves nothing.
    Instant m_leaderSeenAt;
    uint64_t m_leaderTerm = 0; ///< Newest term of which a primary has answered.
};

} // namespace plantainwall

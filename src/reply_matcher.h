#pragma once

#include "gateway_ports.h"
#include <deque>
#include <map>

namespace plantainwall {

/// Assigns the replies on one connection to the commands that were sent on it. A decision object.
///
/// Replies carry no request id and arrive in the order of the commands, but a server may repeat a reply later, so that
/// a copy can arrive in place of any later reply. A copy equals the original in every byte, which gives this evidence:
///
/// - The reply to a caller's statement carries a signature that belongs to one run only. A signature seen before marks
///   a copy; a new one belongs to the statement, and all earlier commands have been answered.
/// - Replies to the host's own commands and errors carry the server's log position, which never falls. A reply at a
///   greater position than any before it, or unlike every reply at the greatest one, is not a copy; one at a lower
///   position is, or the log went back, which only a new connection can tell.
/// - Commands differ in the replies that they allow: rows, signature, transaction state, errors.
///
/// A reply that remains in doubt is passed on, as the server executes the commands in their order all the same. Where
/// the outcome decides what is done next, the reply says how many others it may be in place of
/// (BackendReply::lookalikes). As each reply is repeated once at most, one more reply of the same look proves that one
/// of them is no copy.
///
/// Load pattern: servers repeat some percent of their replies by up to seconds, while connections are in use without a
/// pause. Memory is bounded: the replies at one position, and the last signatures.
class ReplyMatcher {
public:
    enum class Verdict : uint8_t {
        Answer, ///< Answers the oldest unanswered command, or may do so.
        Copy, ///< Repeats an earlier reply; to be ignored.
        Unsolicited, ///< Fits neither; the connection is unusable.
        Count
    };

    /// Notes a command that has been sent.
    void sent(const BackendCommand&);

    /// Classifies a reply, and sets its lookalikes. Verdict::Answer completes the oldest unanswered command.
    Verdict received(BackendReply&);

    /// Returns the oldest unanswered command, or nothing if there is none.
    std::optional<BackendCommandKind> expected() const;

private:
    /// What a doubtful reply may leave to be answered later than it seems.
    enum class Doubt : uint8_t {
        None,
        Setup, ///< Commands that cannot fail in ways that a caller's statement can.
        Outcome, ///< Also commands that can.
        Statement, ///< Also a caller's statement.
        Count
    };

    unsigned noteAndCountAlike(const BackendReply&);
    void notePosition(const LogPosition&);
    bool isOld(const BackendReply&) const;
    bool signatureSeenBefore(const std::string& signature);
    bool fits(BackendCommandKind, const BackendReply&, bool seen) const;
    Verdict receivedSigned(const BackendReply&);
    Verdict receivedOld(const BackendReply&) const;
    void accept(BackendCommandKind, BackendReply&, unsigned alike);

    std::deque<BackendCommandKind> m_unanswered;
    TransactionState m_state = TransactionState::Idle; ///< Expected after the answered commands.
    Doubt m_doubt = Doubt::None;
    unsigned m_doubtful = 0; ///< Commands with an outcome, except statements, whose own replies may still come.
    LogPosition m_greatest; ///< Greatest position in a reply.
    std::map<size_t, unsigned> m_atGreatest; ///< Number of replies without signature at that position, by hash.
    std::map<size_t, unsigned> m_withoutPosition; ///< Likewise for replies without a position.
    std::deque<std::pair<LogPosition, size_t>> m_oldReplies; ///< Some of those at lower positions.
    std::deque<size_t> m_signatures; ///< Hashes of the last signatures.
};

} // namespace plantainwall

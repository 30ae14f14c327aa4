#pragma once

#include "plantainwall/plantainwall.h"
#include <optional>
#include <pplx/pplxtasks.h>

namespace plantainwall {

enum class MemberRole : uint8_t { Primary, Replica, Fenced, Count };

/// Returns "primary", "replica" or "fenced".
std::string_view memberRoleName(MemberRole);

/// Status of a group member, as reported by the member.
struct MemberStatus {
    uint64_t term = 0; ///< Highest term the member has seen.
    MemberRole role = MemberRole::Replica;
    LogPosition received; ///< Last log entry durable on this member.
    LogPosition applied; ///< Last log entry visible to reads on this member.
    bool leaving = false;
    unsigned slots = 0; ///< Statements that the member runs concurrently.
    unsigned connectionsOpen = 0;
    unsigned connectionLimit = 0;
    Duration primarySilence {}; ///< Time since the last message from its primary.
};

/// How far a call got: shows whether the member may have received it.
enum class SendState : uint8_t {
    NotSent, ///< The body was never passed to the connection: proof that nothing ran.
    MaybeSent, ///< Sent partly or completely, without an answer.
    Answered,
    Count
};

/// Outcome of one call to a group member.
struct ExecuteOutcome {
    SendState sendState = SendState::NotSent;
    ResultCode code = ResultCode::InternalError;
    std::vector<std::optional<std::string>> results; ///< One per statement; empty optional: no value.
    LogPosition position; ///< Log entry written, or applied position of a read.
    std::string message;
    bool repeated = false; ///< Recorded outcome of an earlier execution; this call changed nothing.
};

enum class TransactionStep : uint8_t {
    None, ///< The statements form a transaction of their own.
    Begin,
    Continue,
    Commit,
    Rollback,
    Count
};

/// Statements for one member over one of its logical connections.
struct ExecuteRequest {
    std::string connection;
    std::string requestId;
    uint64_t term = 0; ///< Term assumed by the sender; a primary refuses other terms as not run. 0 for replica reads.
    std::vector<std::string> statements;
    bool readOnly = false;
    TransactionStep step = TransactionStep::None;
    Duration timeLeft {};
};

/// Answer to a fence call. received is only set if granted.
struct FenceReply {
    bool granted = false;
    uint64_t term = 0; ///< Highest term the member has seen after the call.
    LogPosition received;
};

/// Thrown if a call to a group member or to the store got no usable answer.
class CallFailed : public std::runtime_error {
public:
    CallFailed(SendState sendState, const std::string& message)
        : std::runtime_error(message)
        , m_sendState(sendState)
    {
    }
    SendState sendState() const { return m_sendState; }

private:
    SendState m_sendState;
};

/// One member of a database group. Tasks fail with CallFailed.
class Database {
public:
    virtual ~Database() = default;

    virtual pplx::task<MemberStatus> status(Duration timeout) = 0;

    /// Completes when received or applied differs from the given positions, at the latest after wait.
    virtual pplx::task<MemberStatus> waitForChange(LogPosition received, LogPosition applied, Duration wait) = 0;

    virtual pplx::task<FenceReply> fence(uint64_t term, std::string_view candidate, Duration timeout) = 0;
    virtual pplx::task<bool> promote(uint64_t term, std::string_view candidate, Duration timeout) = 0;

    /// Returns the id of a new logical connection. Also fails with CallFailed if the member's limit is reached.
    virtual pplx::task<std::string> openConnection(Duration timeout) = 0;
    virtual pplx::task<void> closeConnection(std::string_view connection) = 0;

    /// Never fails: every failure is described by the outcome.
    virtual pplx::task<ExecuteOutcome> execute(const ExecuteRequest&) = 0;

    /// Returns the recorded outcome of a write; code OutcomeNotFound if the member has none.
    virtual pplx::task<ExecuteOutcome> outcome(std::string_view requestId, Duration timeout) = 0;
};

} // namespace plantainwall

#pragma once

#include "plantainwall/plantainwall.h"
#include <optional>
#include <pplx/pplxtasks.h>

namespace plantainwall {

enum class MemberRole : uint8_t { Primary, Replica, Fenced, Count };

/// Returns "primary", "replica" or "fenced".
std::string_view memberRoleName(MemberRole);

/// Status of a group member as it reports it.
struct MemberStatus {
    uint64_t term = 0; ///< Highest term it has seen.
    MemberRole role = MemberRole::Replica;
    LogPosition received; ///< Last log entry durable on this member.
    LogPosition applied; ///< Last log entry visible to reads on this member.
    bool leaving = false;
    unsigned slots = 0; ///< Statements it runs at the same time.
    unsigned connectionsOpen = 0;
    unsigned connectionLimit = 0;
    Duration primarySilence {}; ///< Time since it last heard from its primary.
};

/// What is known about a call that got no usable answer.
enum class SendState : uint8_t {
    NotSent, ///< The body was never handed to the connection: proved not run.
    MaybeSent, ///< Sent in part or whole, no answer.
    Answered,
    Count
};

/// Outcome of one call to a group member.
struct ExecuteOutcome {
    SendState sendState = SendState::NotSent;
    ResultCode code = ResultCode::InternalError;
    std::vector<std::optional<std::string>> results; ///< One for each statement; empty optional: no value.
    LogPosition position; ///< Log entry written, or applied position of a read.
    std::string message;
    bool repeated = false; ///< Recorded outcome of an earlier execution; the call itself changed nothing.
};

enum class TransactionStep : uint8_t {
    None, ///< Statements are one transaction of their own.
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
    uint64_t term = 0; ///< Term the sender believes in; a primary refuses any other as not run. 0 for replica reads.
    std::vector<std::string> statements;
    bool readOnly = false;
    TransactionStep step = TransactionStep::None;
    Duration timeLeft {};
};

/// Answer to a fence call. position is only set if granted.
struct FenceReply {
    bool granted = false;
    uint64_t term = 0; ///< Highest term the member has seen after the call.
    LogPosition received;
};

/// A call to a group member or to the store failed without an answer that could be used.
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

    /// Answers when received or applied differs from the positions given, or after wait.
    virtual pplx::task<MemberStatus> waitForChange(LogPosition received, LogPosition applied, Duration wait) = 0;

    virtual pplx::task<FenceReply> fence(uint64_t term, std::string_view candidate, Duration timeout) = 0;
    virtual pplx::task<bool> promote(uint64_t term, std::string_view candidate, Duration timeout) = 0;

    /// Returns the id of a new logical connection. Fails with CallFailed, also when the member's limit is reached.
    virtual pplx::task<std::string> openConnection(Duration timeout) = 0;
    virtual pplx::task<void> closeConnection(std::string_view connection) = 0;

    /// Never fails: every failure is described by the outcome.
    virtual pplx::task<ExecuteOutcome> execute(const ExecuteRequest&) = 0;

    /// Returns the recorded outcome of a write; code OutcomeNotFound if the member has none.
    virtual pplx::task<ExecuteOutcome> outcome(std::string_view requestId, Duration timeout) = 0;
};

} // namespace plantainwall

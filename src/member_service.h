#pragma once

#include "database.h"

namespace plantainwall {

/// A request that an entry host sends to the owner of a member (POST /peer/v1/execute). Contains no API key.
struct MemberRequest {
    std::string group;
    std::string member; ///< Chosen member; for writes the assumed primary.
    std::string customer; ///< Empty on an open route, which needs no key.
    std::string keyId; ///< Id of the caller's API key; not secret.
    double weight = 1; ///< Weight of the customer in the fair queue.
    std::string requestId;
    std::vector<std::string> statements;
    bool readOnly = false;
    bool idempotent = false;
    TransactionStep step = TransactionStep::None;
    std::string transaction; ///< Id assigned by the owner at Begin.
    LogPosition minPosition; ///< From the session token.
    /// Accepted age of a read's data; applies to other sessions' writes instead of minPosition.
    std::optional<Duration> maxAge;
    std::optional<Duration> waitLimit; ///< Longest wait for a replica to catch up; absent: owner's estimate.
    Duration timeLeft {}; ///< Time until the deadline, as a duration.
    std::string traceParent; ///< W3C traceparent of the sending span.
};

/// Answer of the owner of a member.
struct MemberAnswer {
    ResultCode code = ResultCode::InternalError;
    RunState runState = RunState::NotRun; ///< May be more precise than the run state of the code.
    std::string message;
    std::vector<std::optional<std::string>> results;
    LogPosition position; ///< Confirmed position for the session token.
    std::string transaction;
    std::string primaryHint; ///< Assumed primary; empty if unknown.
    std::string replicaHint; ///< With ReplicaBehind: member that could serve the read.
    uint64_t term = 0; ///< Term of the hint.
    std::optional<Duration> retryAfter;
    bool servedByReplica = false;
};

/// Queues, executes and acknowledges requests on the members that this entry host owns.
class MemberService {
public:
    virtual ~MemberService() = default;

    /// Never fails: every failure is an answer with its code and run state.
    virtual pplx::task<MemberAnswer> execute(MemberRequest) = 0;

    /// Looks up the outcome of a write by its request id on the group's primary.
    virtual pplx::task<MemberAnswer> outcome(std::string_view group, std::string_view requestId, Duration timeLeft) = 0;
};

} // namespace plantainwall

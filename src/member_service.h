#pragma once

#include "database.h"

namespace plantainwall {

/// A request as one entry host hands it to the owner of a member (POST /peer/v1/execute). Carries no key.
struct MemberRequest {
    std::string group;
    std::string member; ///< Chosen member; for writes the believed primary.
    std::string customer; ///< Empty on a route open to all.
    std::string keyId; ///< Of the key that the request came with; not secret.
    double weight = 1; ///< Weight of the customer in the fair queue.
    std::string requestId;
    std::vector<std::string> statements;
    bool readOnly = false;
    bool idempotent = false;
    TransactionStep step = TransactionStep::None;
    std::string transaction; ///< Id given by the owner at Begin.
    LogPosition minPosition; ///< From the session token.
    std::optional<Duration> maxAge; ///< Accepted age of a read's data; replaces minPosition for other sessions' writes.
    std::optional<Duration> waitLimit; ///< Longest time to wait for a replica to catch up; absent: owner's estimate.
    Duration timeLeft {}; ///< Remaining time, as a difference.
    std::string traceParent; ///< W3C traceparent of the sending span.
};

/// The owner's answer.
struct MemberAnswer {
    ResultCode code = ResultCode::InternalError;
    RunState runState = RunState::NotRun; ///< May be more precise than the code's own.
    std::string message;
    std::vector<std::optional<std::string>> results;
    LogPosition position; ///< Confirmed position for the session token.
    std::string transaction;
    std::string primaryHint; ///< Member believed to be primary; empty if unknown.
    std::string replicaHint; ///< Member that could serve the read, with ReplicaBehind.
    uint64_t term = 0; ///< Term of the hint.
    std::optional<Duration> retryAfter;
    bool servedByReplica = false;
};

/// Executes requests on the members that this entry host owns: queue, execute, acknowledge.
class MemberService {
public:
    virtual ~MemberService() = default;

    /// Never fails: every failure is an answer with its code and run state.
    virtual pplx::task<MemberAnswer> execute(MemberRequest) = 0;

    /// Looks up the outcome of a write by its request id on the group's primary.
    virtual pplx::task<MemberAnswer> outcome(std::string_view group, std::string_view requestId, Duration timeLeft) = 0;
};

} // namespace plantainwall

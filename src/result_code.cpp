#include "plantainwall/plantainwall.h"

namespace plantainwall {

namespace {

    constexpr ResultCodeInfo resultCodes[] = {
        { "ok", RunState::Run, 200, "The request was run." },
        { "bad_request", RunState::NotRun, 400, "The request is malformed." },
        { "request_too_large", RunState::NotRun, 413, "Head or body is larger than the limit." },
        { "request_too_slow", RunState::NotRun, 408, "Head or body did not arrive within the limit." },
        { "unknown_route", RunState::NotRun, 404, "No such path." },
        { "method_not_allowed", RunState::NotRun, 405, "The path does not support this method." },
        { "key_missing", RunState::NotRun, 401, "The route requires a key and none came with the request." },
        { "key_invalid", RunState::NotRun, 401, "The key is not known." },
        { "key_withdrawn", RunState::NotRun, 401, "The key has been withdrawn." },
        { "not_approved", RunState::NotRun, 403, "The customer is not approved for the service." },
        { "rate_exceeded", RunState::NotRun, 429, "The customer's rate and burst are used up; see retry_after_ms." },
        { "queue_full", RunState::NotRun, 503, "The customer has too many requests queued at this database." },
        { "deadline_too_short", RunState::NotRun, 504, "The time left does not allow the request to finish." },
        { "deadline_exceeded", RunState::NotRun, 504, "The deadline passed before the request was started." },
        { "session_invalid", RunState::NotRun, 400,
            "The session token is not authentic or belongs to another customer." },
        { "group_unknown", RunState::NotRun, 404, "No such group." },
        { "no_primary", RunState::NotRun, 503, "The group has no primary at present." },
        { "not_primary", RunState::NotRun, 503, "The member is not primary of the term." },
        { "not_owner", RunState::NotRun, 503, "The entry host does not own the member." },
        { "replica_behind", RunState::NotRun, 503, "The replica has not reached the position of the session." },
        { "member_leaving", RunState::NotRun, 503, "The backend server is leaving and takes no new work." },
        { "connections_exhausted", RunState::NotRun, 503, "No connection to the backend server became free in time." },
        { "transaction_unknown", RunState::NotRun, 404, "No such transaction; it may have been rolled back." },
        { "transaction_aborted", RunState::NotRun, 409,
            "The transaction was rolled back; none of its writes took effect." },
        { "statement_failed", RunState::NotRun, 422, "The database refused a statement; nothing took effect." },
        { "outcome_unknown", RunState::Unknown, 502, "The request may have been run; look it up by its request id." },
        { "outcome_not_found", RunState::Unknown, 404, "The database has no record of the request id." },
        { "configuration_missing", RunState::NotRun, 503, "The entry host has no configuration yet." },
        { "configuration_too_old", RunState::NotRun, 503, "The configuration is older than the customer allows." },
        { "configuration_invalid", RunState::NotRun, 422, "The value does not match the schema of its path." },
        { "configuration_conflict", RunState::NotRun, 409, "Another change of the path came first." },
        { "store_unavailable", RunState::Unknown, 503, "The store did not answer; the change may have been applied." },
        { "peer_unavailable", RunState::NotRun, 503, "The owner of the database could not be reached." },
        { "permission_denied", RunState::NotRun, 403, "The operator's role does not allow this." },
        { "draining", RunState::NotRun, 503, "The entry host is shutting down." },
        { "too_many_connections", RunState::NotRun, 503, "The entry host has reached its limit of connections." },
        { "internal_error", RunState::Unknown, 500, "Unexpected failure; the request may have been run." },
        { "statement_unknown", RunState::NotRun, 404, "The session has no prepared statement of that name." },
        { "statement_timeout", RunState::Unknown, 504, "The backend server did not answer within the time limit." },
        { "backend_failure", RunState::Unknown, 502, "The backend server ran the statement and reported a failure." },
    };
    static_assert(sizeof(resultCodes) / sizeof(resultCodes[0]) == static_cast<size_t>(ResultCode::Count),
        "one entry for each ResultCode");

    constexpr std::string_view runStateNames[] = { "run", "not_run", "unknown" };
    static_assert(sizeof(runStateNames) / sizeof(runStateNames[0]) == static_cast<size_t>(RunState::Count),
        "one entry for each RunState");

} // namespace

const ResultCodeInfo& resultCodeInfo(ResultCode code) { return resultCodes[static_cast<size_t>(code)]; }

ResultCode resultCodeFromName(std::string_view name)
{
    for (size_t i = 0; i < static_cast<size_t>(ResultCode::Count); ++i) {
        if (resultCodes[i].name == name)
            return static_cast<ResultCode>(i);
    }
    return ResultCode::InternalError;
}

std::string_view runStateName(RunState state) { return runStateNames[static_cast<size_t>(state)]; }

} // namespace plantainwall

#pragma once

#include "plantainwall/plantainwall.h"

namespace plantainwall {

/// Kind of a statement that a caller sends on an open connection.
enum class StatementKind : uint8_t {
    Begin,
    BeginReadOnly,
    Commit,
    Rollback,
    Read,
    Write,
    SetValue,
    Prepare,
    Execute,
    Deallocate,
    Malformed,
    Count
};

/// One statement of a caller.
struct Statement {
    StatementKind kind = StatementKind::Malformed;
    std::string id; ///< Request id, forwarded unchanged to backend servers.
    std::string text; ///< Complete text, forwarded unchanged for reads, writes and commits.
    std::string name; ///< Name of a session value or a prepared statement.
    std::string argument; ///< Value, shape or the arguments of an execution.
    bool writes = false; ///< For Prepare: whether the prepared statement writes.
};

/// Transaction state of a session, as reported to callers and by backend servers.
enum class TransactionState : uint8_t { Idle, Open, Failed, Count };

/// Final answer to one statement.
struct StatementAnswer {
    ResultCode code = ResultCode::Ok;
    std::vector<std::string> rows;
    std::string signature; ///< Proof of execution by a backend server; empty if the entry host answered itself.
    std::string detail; ///< Error text.
    Duration retryAfter { 0 }; ///< Earliest useful time of a retry; 0 if unknown.
    TransactionState state = TransactionState::Idle;
    LogPosition position; ///< Zero if unknown.
};

/// Shape and kind of a prepared statement of a session.
struct PreparedShape {
    std::string shape;
    bool writes = false;
};

} // namespace plantainwall

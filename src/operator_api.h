#pragma once

#include "config_schema.h"
#include "config_schema_envelope.h"
#include "controller_config_copy.h"
#include "scheduler.h"
#include <functional>

namespace plantainwall {

/// Audit record of an accepted change. Never contains a value, which may be a secret.
struct AuditRecord {
    std::string author;
    std::string action; ///< "set" or "delete".
    std::string path;
    std::string time; ///< UTC, ISO 8601.
    uint64_t baseRevision = 0;
    uint64_t revision = 0;
    std::string changeId;
};

/// Writes an audit record to the log.
void logAudit(const AuditRecord&);

/// Returns the wall clock time in UTC, ISO 8601.
std::string wallClockTime();

struct OperatorApiOptions {
    std::string bootstrapDigest; ///< Digest of the credential that grants the platform role while no operator exists.
    std::function<void(const AuditRecord&)> audit = logAudit;
    std::function<std::string()> time = wallClockTime;
    std::function<Instant()> clock; ///< Local monotonic clock; required.
    Duration retryDelay
        = std::chrono::milliseconds(100); ///< Delay after a failed store call; doubles with each attempt.
    unsigned maxAttempts = 4;
    Duration maxWatchWait = std::chrono::seconds(30);
    std::function<std::string()>
        status; ///< Returns the status of this entry host as JSON; if absent, there is no status route.
};

struct OperatorReply {
    int status = 200;
    std::string body; ///< JSON.
};

/// Handles the operators' HTTP requests below /operator/v1/; the HTTP server is separate. Every change is a
/// compare-and-swap in the store under the caller's change id. If the store's answer is lost, a look-up of the change
/// id shows whether the change was applied.
class OperatorApi final : public std::enable_shared_from_this<OperatorApi> {
public:
    using Headers = std::map<std::string, std::string>; ///< Names in lower case.

    OperatorApi(OperatorApiOptions, std::shared_ptr<Store>, std::shared_ptr<ConfigCopy>, std::shared_ptr<Scheduler>);

    /// Answers a request; target is the path with its query. Failures become error answers; the task never throws.
    pplx::task<OperatorReply> handle(
        std::string_view method, std::string_view target, const Headers& headers, const std::string& body);

private:
    struct Identity {
        std::string name;
        std::vector<RoleGrant> roles;
    };
    using Query = std::map<std::string, std::string>;

    /// A change that the store has not yet confirmed.
    struct Change {
        std::string path;
        std::optional<std::string> value; ///< Absent for a deletion.
        uint64_t expectedRevision = 0;
        std::string changeId;
        std::string author;
        std::string time;
        unsigned attempts = 0;
        bool maybeSent = false; ///< An unanswered compare-and-swap may have been applied.
    };
    using ChangePtr = std::shared_ptr<Change>;

    struct Watch {
        std::string prefix;
        uint64_t after = 0;
        Instant deadline {};
        Identity identity;
    };

    std::optional<ResultCode> authenticate(const Headers&, Identity&) const;
    static bool mayRead(const Identity&, std::string_view path);
    static bool mayWrite(const Identity&, std::string_view path);

    pplx::task<OperatorReply> route(
        std::string_view method, std::string_view target, const Identity&, const std::string& body);
    pplx::task<OperatorReply> read(const std::string& path, const Query&);
    OperatorReply list(const Identity&, const std::string& prefix, uint64_t after) const;
    pplx::task<OperatorReply> watch(const Watch&);
    pplx::task<OperatorReply> startChange(
        bool remove, const std::string& path, const Identity&, const std::string& body, const Query&);

    std::vector<ConfigFault> faultsOf(const Change&) const;
    pplx::task<OperatorReply> attempt(const ChangePtr&);
    pplx::task<OperatorReply> swap(const ChangePtr&, const std::optional<StoreEntry>& present);
    /// Schedules the next attempt; after the last one, returns an error answer that states the known outcome.
    pplx::task<OperatorReply> retry(const ChangePtr&);
    /// Audits an applied change (unless an earlier request did), updates the local copy and returns the answer.
    /// foundById is true if the store already held the change id.
    OperatorReply confirmChange(const Change&, const StoreEntry&, bool foundById);
    pplx::task<void> wait(Duration);

    OperatorApiOptions m_options;
    std::shared_ptr<Store> m_store;
    std::shared_ptr<ConfigCopy> m_copy;
    std::shared_ptr<Scheduler> m_scheduler;
};

/// Returns an error answer with code, name, run state and message. An empty message is replaced by the meaning of the
/// code.
OperatorReply operatorError(ResultCode, const std::string& message);

} // namespace plantainwall

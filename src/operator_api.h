#pragma once

#include "config_schema.h"
#include "config_schema_envelope.h"
#include "controller_config_copy.h"
#include "scheduler.h"
#include <functional>

namespace plantainwall {

/// An accepted change. Never contains a value.
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

/// Returns the time of the wall clock in UTC, ISO 8601.
std::string wallClockTime();

struct OperatorApiOptions {
    std::string bootstrapDigest; ///< Credential digest that acts as platform operator while no operator exists.
    std::function<void(const AuditRecord&)> audit = logAudit;
    std::function<std::string()> time = wallClockTime;
    std::function<Instant()> clock; ///< Local monotonic clock; required.
    Duration retryDelay = std::chrono::milliseconds(100); ///< After a failed store call; doubles each time.
    unsigned maxAttempts = 4;
    Duration maxWatchWait = std::chrono::seconds(30);
    std::function<std::string()> status; ///< JSON of what this entry host believes; absent: no status route.
};

struct OperatorReply {
    int status = 200;
    std::string body; ///< JSON.
};

/// The operators' HTTP interface below /operator/v1/, without the HTTP server. Every change is a compare-and-swap in
/// the store under the caller's change id; after a lost store answer the change id tells whether it was applied.
class OperatorApi final : public std::enable_shared_from_this<OperatorApi> {
public:
    using Headers = std::map<std::string, std::string>; ///< Names in lower case.

    OperatorApi(OperatorApiOptions, std::shared_ptr<Store>, std::shared_ptr<ConfigCopy>, std::shared_ptr<Scheduler>);

    /// Answers a request. target is the path with its query. Never fails.
    pplx::task<OperatorReply> handle(
        std::string_view method, std::string_view target, const Headers& headers, const std::string& body);

private:
    struct Identity {
        std::string name;
        std::vector<RoleGrant> roles;
    };
    using Query = std::map<std::string, std::string>;

    /// A change on its way to the store.
    struct Change {
        std::string path;
        std::optional<std::string> value; ///< Absent: delete.
        uint64_t expectedRevision = 0;
        std::string changeId;
        std::string author;
        std::string time;
        unsigned attempts = 0;
        bool maybeSent = false; ///< A compare-and-swap may have taken effect without an answer.
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
    pplx::task<OperatorReply> retry(const ChangePtr&);
    OperatorReply accepted(const Change&, const StoreEntry&, bool found);
    pplx::task<void> wait(Duration);

    OperatorApiOptions m_options;
    std::shared_ptr<Store> m_store;
    std::shared_ptr<ConfigCopy> m_copy;
    std::shared_ptr<Scheduler> m_scheduler;
};

/// Returns an error answer with code, name, run state and message.
OperatorReply operatorError(ResultCode, const std::string& message);

} // namespace plantainwall

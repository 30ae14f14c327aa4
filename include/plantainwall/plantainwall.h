#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Public types of plantainwall: result codes, log positions, settings with their defaults, statistics and limits.
namespace plantainwall {

using Duration = std::chrono::microseconds;

/// Clock of the time points that are passed to all code that decides by time. Has no now(): only adapters read a real
/// clock.
struct MonotonicClock {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): name required by std::chrono
};

/// A point in time on the local monotonic clock.
using Instant = MonotonicClock::time_point;

/// Whether a request was run, as far as known when its answer is sent.
enum class RunState : uint8_t { Run, NotRun, Unknown, Count };

/// Numbered result of a request. The numbers are stable; docs/result-codes.md lists them.
enum class ResultCode : uint8_t {
    Ok,
    BadRequest,
    RequestTooLarge,
    RequestTooSlow,
    UnknownRoute,
    MethodNotAllowed,
    KeyMissing,
    KeyInvalid,
    KeyWithdrawn,
    NotApproved,
    RateExceeded,
    QueueFull,
    DeadlineTooShort,
    DeadlineExceeded,
    SessionInvalid,
    GroupUnknown,
    NoPrimary,
    NotPrimary,
    NotOwner,
    ReplicaBehind,
    MemberLeaving,
    ConnectionsExhausted,
    TransactionUnknown,
    TransactionAborted,
    StatementFailed,
    OutcomeUnknown,
    OutcomeNotFound,
    ConfigurationMissing,
    ConfigurationTooOld,
    ConfigurationInvalid,
    ConfigurationConflict,
    StoreUnavailable,
    PeerUnavailable,
    PermissionDenied,
    Draining,
    TooManyConnections,
    InternalError,
    StatementUnknown,
    StatementTimeout,
    BackendFailure,
    Count
};

/// Static description of a result code.
struct ResultCodeInfo {
    std::string_view name; ///< Stable lower-case name, for example "rate_exceeded".
    RunState runState; ///< Whether a request with this result was run.
    uint16_t httpStatus; ///< Status of an HTTP answer with this code.
    std::string_view meaning; ///< One sentence for operators and callers.
};

/// Returns the description of a result code.
const ResultCodeInfo& resultCodeInfo(ResultCode);

/// Returns the code with the given stable name, or InternalError if there is none.
ResultCode resultCodeFromName(std::string_view name);

/// Returns "run", "not_run" or "unknown".
std::string_view runStateName(RunState);

/// Position in a group's log: the term in which the entry was written and its index. Ordered by term, then by index.
struct LogPosition {
    uint64_t term = 0;
    uint64_t position = 0;

    friend bool operator==(const LogPosition& a, const LogPosition& b)
    {
        return a.term == b.term && a.position == b.position;
    }
    friend bool operator!=(const LogPosition& a, const LogPosition& b) { return !(a == b); }
    friend bool operator<(const LogPosition& a, const LogPosition& b)
    {
        return a.term != b.term ? a.term < b.term : a.position < b.position;
    }

    /// Returns whether a log that ends at *this contains the confirmed entry at other.
    bool covers(const LogPosition& other) const { return term >= other.term && position >= other.position; }
};

/// Greatest term or index that a message may name. No log gets that far, and because terms and positions never fall, a
/// greater one would be waited for until the process ends.
constexpr uint64_t maxLogNumber = uint64_t(1) << 48;

/// Limits of the caller-facing HTTP server. Sizes in bytes.
struct HttpSettings {
    size_t maxHeadBytes = 16 * 1024;
    size_t maxBodyBytes = 1024 * 1024;
    Duration headTimeout = std::chrono::seconds(5);
    Duration bodyTimeout = std::chrono::seconds(10);
    Duration idleTimeout = std::chrono::seconds(60);
    size_t maxConnections = 10000;
    size_t maxConnectionsPerAddress = 10000;
    size_t memoryBytes = 0; ///< Memory of the machine; 0: as the system reports it.
};

/// Deadlines and retries of requests.
struct RequestSettings {
    Duration defaultDeadline = std::chrono::seconds(5);
    Duration maxDeadline = std::chrono::seconds(60);
    Duration minRemaining = std::chrono::milliseconds(2); ///< Hops refuse requests with less time left.
    double retryBudgetRatio = 0.1; ///< Retries earned per first attempt.
    double retryBudgetMinPerSecond = 3; ///< Retries allowed regardless of the ratio.
};

/// Failure detection and promotion of database groups.
struct GroupSettings {
    Duration probeInterval = std::chrono::milliseconds(250);
    Duration probeTimeout = std::chrono::milliseconds(500);
    /// A host starts a promotion once it has not reached the primary for this long and a majority of the members
    /// reports primarySilence.
    Duration primaryUnreachable = std::chrono::milliseconds(1500);
    /// Time for which a member has received nothing from the primary.
    Duration primarySilence = std::chrono::milliseconds(1000);
    /// A host also starts a promotion once no owner has reached the primary, or a majority of the members has received
    /// nothing from it, for this long.
    Duration unreachableByAllOwners = std::chrono::seconds(6);
    Duration candidateStagger = std::chrono::milliseconds(300); ///< Delay per rank, so that candidates do not compete.
    Duration fenceTimeout = std::chrono::milliseconds(500); ///< For one fence or promote call to a member.
};

/// Gossip between entry hosts.
struct MembershipSettings {
    Duration gossipInterval = std::chrono::seconds(1);
    unsigned gossipFanout = 3;
    Duration suspectAfter = std::chrono::seconds(3);
    Duration deadAfter = std::chrono::seconds(10);
};

/// Distribution of the customers' rates over the entry hosts. The settings keys call a rate slice a seat.
struct LimitSettings {
    unsigned rateSlices = 12;
    Duration rateSliceLease = std::chrono::seconds(30);
    Duration rateSliceRenewal = std::chrono::seconds(10);
    /// Fraction of a rate slice that stays with its last holder until that host is confirmed gone.
    double unconditionalFraction = 0.5;
    Duration loanLease = std::chrono::seconds(2);
    Duration maxLoanWait = std::chrono::milliseconds(50);
};

/// Queues of requests at the owner of a database.
struct QueueSettings {
    unsigned maxQueuedPerCustomer = 64;
    Duration initialCost = std::chrono::milliseconds(5); ///< Assumed cost of a request of a new customer.
};

/// Settings of one entry host, read from its TOML file. docs/settings.md lists every key.
struct Settings {
    std::string host; ///< Name of this entry host.
    std::string dataCentre;
    std::string region;
    std::string listenAddress = "127.0.0.1";
    uint16_t listenPort = 0; ///< For callers and operators.
    uint16_t peerPort = 0; ///< For other entry hosts.
    std::string storeAddress; ///< http://ip:port of the platform's store.
    std::vector<std::string> seedPeers; ///< ip:port of peers to contact until the list of hosts is available.
    std::string peerSecret; ///< Shared by all entry hosts; at least 32 characters.
    std::string backendCredential; ///< Sent to backend servers in place of a caller's key.
    /// BLAKE2b-256 digest of a credential that acts as platform operator as long as no operator is configured.
    std::string bootstrapOperatorDigest;
    unsigned threads = 4;
    std::string logLevel = "info";
    std::string logFormat = "json";
    std::string traceFile; ///< If empty, no spans are written.
    HttpSettings http;
    RequestSettings request;
    GroupSettings group;
    MembershipSettings membership;
    LimitSettings limit;
    QueueSettings queue;
};

/// Counters of one entry host since its start.
struct Stats {
    uint64_t requests = 0;
    uint64_t answersByCode[static_cast<size_t>(ResultCode::Count)] = {};
    uint64_t readsByReplica = 0;
    uint64_t readsByPrimary = 0;
    uint64_t forwarded = 0;
    uint64_t retries = 0;
};

/// Fixed limits of this version.
struct Caps {
    size_t maxStatementsPerRequest = 256;
    size_t maxRequestIdBytes = 128;
    size_t maxNameBytes = 64; ///< Teams, services, groups, members, hosts.
    size_t maxSessionTokenBytes = 4096;
};

} // namespace plantainwall

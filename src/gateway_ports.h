#pragma once

#include "gateway_config.h"
#include "statement.h"
#include <functional>
#include <memory>
#include <optional>

namespace plantainwall {

enum class BackendCommandKind : uint8_t {
    Begin,
    BeginReadOnly,
    Rollback,
    Reset,
    SetValue,
    Prepare,
    Forward, ///< A caller's statement with its text unchanged.
    Execute, ///< A caller's prepared statement, under its name on the connection.
    Status,
    StopReceiving,
    ResumeReceiving,
    Demote, ///< Makes a primary of a lower term a replica.
    Count
};

/// One command to a backend server.
struct BackendCommand {
    BackendCommandKind kind = BackendCommandKind::Forward;
    std::string id; ///< Request id of the caller; empty for commands of the entry host.
    std::string text;
    std::string name;
    std::string argument;
    bool writes = false;
    std::optional<LogPosition> after; ///< Log position that the server must have reached; otherwise it replies Behind.
    uint64_t term = 0; ///< Term for StopReceiving and Demote.
};

enum class BackendError : uint8_t {
    None,
    Busy,
    Failed,
    TimedOut,
    Behind,
    ReadOnly,
    Misrouted,
    ConnectionLimit,
    StatementUnknown,
    Other,
    Count
};

/// Returns a stable lower-case name for logs.
std::string_view backendErrorName(BackendError);

/// Status that a backend server reports.
struct ServerStatus {
    bool primary = false;
    uint64_t term = 0;
    LogPosition received;
    uint64_t stoppedAtTerm = 0; ///< Term of a StopReceiving in force; 0: the server receives the log.
    Duration lag { 0 };
    unsigned busy = 0;
    unsigned connections = 0;
};

struct BackendReply {
    BackendError error = BackendError::None;
    std::vector<std::string> rows;
    std::string signature;
    std::string detail;
    TransactionState state = TransactionState::Idle;
    LogPosition position;
    /// Number of other replies that this one may be in place of: copies of earlier ones that look the same, or replies
    /// to earlier commands (see ReplyMatcher). Zero: it is the command's own. Set for errors and for replies that
    /// report an open transaction or a status.
    unsigned lookalikes = 0;
};

enum class BackendCloseReason : uint8_t {
    Refused, ///< No process listens at the address.
    Misrouted,
    ConnectionLimit,
    Lost,
    ProtocolError,
    LenderLost, ///< The entry host that lent the connection is unreachable or shuts down; the server may be healthy.
    NotOpened, ///< Not opened for any other reason; the server may run.
    Count
};

/// Returns a stable lower-case name for logs.
std::string_view backendCloseReasonName(BackendCloseReason);

/// Receives the events of one connection to a backend server. Not called from within open() or send().
class BackendObserver {
public:
    virtual ~BackendObserver() = default;
    virtual void backendOpened() = 0;
    virtual void backendReplied(BackendReply) = 0;
    /// Called when the connection has ended; the observer may destroy the link.
    virtual void backendClosed(BackendCloseReason) = 0;
};

/// One connection to a backend server. Destroying it closes the connection, which rolls back an open transaction.
class BackendLink {
public:
    virtual ~BackendLink() = default;
    /// Queues a command; replies arrive in the order of the commands.
    virtual void send(const BackendCommand&) = 0;
    /// Returns the entry host that lends the connection; empty if it is this host's own.
    virtual std::string_view lender() const { return {}; }
};

class BackendConnector {
public:
    virtual ~BackendConnector() = default;
    /// Connects as the given customer and sends the id of the server that it expects to reach.
    virtual std::unique_ptr<BackendLink> open(const ServerEntry&, const std::string& customer, BackendObserver&) = 0;
    /// Likewise, for an operation of a priority (see GatewayRoute) that goes before less urgent ones where openings
    /// have to wait.
    virtual std::unique_ptr<BackendLink> openWithPriority(
        const ServerEntry& entry, const std::string& customer, unsigned /*priority*/, BackendObserver& observer)
    {
        return open(entry, customer, observer);
    }
    /// Returns whether a command reaches a server as it is: it is not too long, and its texts read back as themselves.
    virtual bool carries(const BackendCommand&) const { return true; }
    /// Returns the status in a reply to Status, StopReceiving, ResumeReceiving or Demote, or nothing if it has none.
    virtual std::optional<ServerStatus> statusOf(const BackendReply&) = 0;
};

/// Returns the registered server with an id; null if there is none.
using FindServer = std::function<const ServerEntry*(const std::string& id)>;

/// Receives the answers of one session.
class CallerSink {
public:
    virtual ~CallerSink() = default;
    virtual void answer(const Statement&, const StatementAnswer&) = 0;
    /// Closes the connection once all answers have been sent.
    virtual void close() = 0;
    /// Counts what the session's values and prepared names hold. Returns the reason if they may not hold this many
    /// bytes; the former number then stays.
    virtual ResultCode keepState(size_t /*bytes*/) { return ResultCode::Ok; }
};

/// An item of the metadata store.
struct StoreItem {
    std::string key;
    std::string value;
    uint64_t revision = 0;
    bool removed = false;
};

enum class StoreOutcome : uint8_t { Ok, NotFound, Conflict, HistoryLost, Refused, Unreachable, Count };

/// Returns a stable lower-case name for logs.
std::string_view storeOutcomeName(StoreOutcome);

struct StoreItems {
    StoreOutcome outcome = StoreOutcome::Unreachable;
    std::vector<StoreItem> items;
    bool more = false;
    uint64_t asOf = 0;
    uint64_t era = 0; ///< See MetadataStore.
    uint64_t incompleteBytes = 0; ///< Bytes of an answer that was given up before it was complete.
};

struct StoreWrite {
    std::string key;
    std::string value;
    uint64_t expectedRevision = 0; ///< 0: the key must not exist.
    uint64_t lease = 0;
    bool removes = false; ///< Removes the item; value and lease are not used.
};

struct StoreResult {
    StoreOutcome outcome = StoreOutcome::Unreachable;
    uint64_t number = 0; ///< Revision of a write, id of a lease.
    uint64_t era = 0; ///< See MetadataStore.
};

/// The metadata store. Each callback is called once, never from within the function that it is passed to.
///
/// The store may be replaced by an older copy of itself. Its era then rises; revisions and lease ids go back and are
/// given out again, so that they are comparable within one era only. Leases end by expiry alone: by its id a host could
/// end a lease that has become another host's. Results of failed calls carry the era too; it is 0 if there was no
/// answer or the store does not report it.
class MetadataStore {
public:
    virtual ~MetadataStore() = default;
    virtual void list(const std::string& prefix, const std::string& afterKey, std::function<void(StoreItems)>) = 0;
    virtual void watch(const std::string& prefix, uint64_t after, Duration wait, std::function<void(StoreItems)>) = 0;
    virtual void write(const StoreWrite&, std::function<void(StoreResult)>) = 0;
    virtual void createLease(Duration lifetime, std::function<void(StoreResult)>) = 0;
    virtual void keepLease(uint64_t lease, std::function<void(StoreResult)>) = 0;
    /// Ends all lists and watches in progress; their callbacks get StoreOutcome::Unreachable.
    virtual void cancelReads() = 0;
};

/// Decodes the store's items that other programs write.
class StoreDecoder {
public:
    virtual ~StoreDecoder() = default;
    virtual bool isConfiguration(std::string_view key) const = 0;
    virtual bool isServer(std::string_view key) const = 0;
    /// Returns the data centre whose evacuation an item requests; nothing if the key is of another item.
    virtual std::optional<std::string> evacuatedDataCentre(std::string_view key) const = 0;
    /// Returns the configuration; throws std::exception if the value is not valid.
    virtual std::shared_ptr<const GatewayConfiguration> configuration(const StoreItem&) const = 0;
    /// Returns the server's id.
    virtual std::string serverId(std::string_view key) const = 0;
    /// Returns the entry; throws std::exception if the value describes no usable server.
    virtual ServerEntry server(const StoreItem&) const = 0;
};

enum class PromotionOutcome : uint8_t { Done, Rejected, Unanswered, Count };

/// Requests the promotion of a server to primary of its service.
class PromotionService {
public:
    virtual ~PromotionService() = default;
    /// An unanswered request may still be carried out later, with its fencing token.
    virtual void promote(const std::string& service, const std::string& serverId, const std::string& holder,
        uint64_t fencingToken, std::function<void(PromotionOutcome)>)
        = 0;
};

/// A stream of lines to another entry host. Lines that are sent before it is connected are queued.
class PeerStream {
public:
    virtual ~PeerStream() = default;
    /// Sends a line; the end of line is appended.
    virtual void send(const std::string& line) = 0;
};

/// Opens streams to other entry hosts.
class PeerStreams {
public:
    struct Handlers {
        std::function<void(std::string_view line)> line;
        std::function<void()> closed; ///< Not called from within connect() or send().
    };

    virtual ~PeerStreams() = default;
    virtual std::unique_ptr<PeerStream> connect(const std::string& address, Handlers) = 0;
};

/// Datagrams between entry hosts. They may be lost, duplicated or reordered.
class PeerChannel {
public:
    static constexpr size_t maxDatagramBytes = 65507; ///< What UDP over IPv4 carries; longer ones are lost.

    virtual ~PeerChannel() = default;
    virtual void send(const std::string& address, const std::string& datagram) = 0;
};

} // namespace plantainwall

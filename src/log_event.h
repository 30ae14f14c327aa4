#pragma once

#include "plantainwall/plantainwall.h"
#include <initializer_list>
#include <optional>
#include <variant>

namespace plantainwall {

enum class LogLevel : uint8_t { Debug, Info, Warn, Error, Count };

/// Numbered log event. The numbers are stable; new events go to the end. docs/log-events.md lists them.
enum class LogEvent : uint8_t {
    Started,
    Stopped,
    Listening,
    SettingsInvalid,
    ConfigurationInForce,
    ConfigurationRejected,
    ConfigurationChanged,
    StoreUnreachable,
    StoreReachable,
    PrimaryUnreachable,
    FenceStarted,
    FenceGranted,
    FenceRefused,
    PrimaryPromoted,
    PrimaryChanged,
    WriteOutcomeUnknown,
    OwnerGained,
    OwnerLost,
    HostSuspect,
    HostDead,
    HostJoined,
    SeatClaimed,
    SeatLost,
    KeyWithdrawn,
    RequestRefused,
    ConnectionLimitReached,
    ConnectionReplaced,
    BackendLeaving,
    DrainStarted,
    DrainFinished,
    PeerAuthenticationFailed,
    BadRequest,
    InternalFailure,
    SessionRefused,
    StatementRefused,
    StatementServed,
    StatementMoved,
    StatementFailed,
    TransactionFailed,
    ServerRegistered,
    ServerRemoved,
    ServerConnectionLost,
    StoreItemRejected,
    DutyGained,
    DutyLost,
    FailoverStep,
    PromotionAnswered,
    SettingsReloaded,
    PeerHeard,
    PeerSilent,
    LinesDropped,
    StoreSourceChanged,
    FailoverServer,
    FailoverBlocked,
    StoreRestored,
    RelayEraDiffers,
    ConfigurationNotApplied,
    ServerProbed,
    ListingRelayed,
    DutyClaimOutdated,
    PrimaryRecordChanged,
    CommitNotConfirmed,
    ChangesDropped,
    PrimaryRevoked,
    RevocationInForce,
    ReplyUnexpected,
    AnswerUnexpected,
    ConnectionSharingChanged,
    ServerLoad,
    EvacuationStarted,
    EvacuationEnded,
    AdmissionLevelChanged,
    CallerClosedForMemory,
    ConnectionEndedForRoom,
    MessageUnreadable,
    CallerMessageUnreadable,
    FleetContactLost,
    FleetContactRegained,
    Count
};

/// Static description of an event.
struct LogEventInfo {
    unsigned number; ///< Index in LogEvent, from 0.
    std::string_view name; ///< Stable lower-case name, for example "primary_promoted".
    LogLevel level;
    std::string_view meaning; ///< One sentence for operators.
    bool onFailedRequest = false; ///< The event reports why a request was not served.
};

const LogEventInfo& logEventInfo(LogEvent);

/// Returns the event with the given name, or nothing if there is none.
std::optional<LogEvent> logEventFromName(std::string_view name);

/// Returns "debug", "info", "warn" or "error".
std::string_view logLevelName(LogLevel);

/// Value of a field: string, integer, floating-point number or boolean.
class LogValue {
public:
    using Variant = std::variant<std::string, int64_t, uint64_t, double, bool>;

    LogValue(std::string_view text)
        : m_value(std::string(text))
    {
    }
    LogValue(const std::string& text)
        : m_value(text)
    {
    }
    LogValue(const char* text)
        : m_value(std::string(text))
    {
    }
    LogValue(bool value)
        : m_value(value)
    {
    }
    LogValue(double value)
        : m_value(value)
    {
    }
    template <typename T, std::enable_if_t<std::is_integral_v<T> && !std::is_same_v<T, bool>, int> = 0>
    LogValue(T value)
        : m_value(static_cast<std::conditional_t<std::is_signed_v<T>, int64_t, uint64_t>>(value))
    {
    }

    const Variant& variant() const { return m_value; }

private:
    Variant m_value;
};

struct LogField {
    std::string_view name;
    LogValue value;
};

/// Sets the level, format and host name of the log. It is written to standard error.
void initializeLogging(const Settings&);

/// Switches the log to standard output: one JSON object per line, through a bounded buffer that never blocks. Lines
/// that do not fit into the buffer are dropped and counted by the event lines_dropped. Lines beyond the rate limit of
/// their event are dropped and counted in the field suppressed_before of its next line.
void logToStandardOutput(const std::string& host, const std::string& level);

/// Sets the lowest level that is written: debug, info, warn or error. Ignores other names.
void setLogLevel(const std::string& level);

/// Writes buffered lines as far as possible without blocking.
void flushLog();

/// Writes one line with time, host, number, name and fields, at the level of the event's table entry. Before
/// initializeLogging it writes JSON at level info and above. Callers must not pass keys, secrets or statement values.
void logEvent(LogEvent, std::initializer_list<LogField>);

/// Returns whether an event would be written. Allows callers to skip building costly fields.
bool logEnabled(LogEvent);

/// Returns the line that logEvent writes. Texts that differ have values that differ, see escapedUtf8.
/// @param time UTC in ISO 8601.
/// @param format "json" or "text".
std::string logEventLine(
    LogEvent, std::initializer_list<LogField>, std::string_view time, std::string_view host, std::string_view format);

} // namespace plantainwall

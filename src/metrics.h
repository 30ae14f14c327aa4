#pragma once

#include "plantainwall/plantainwall.h"
#include <functional>
#include <memory>

namespace plantainwall {

/// Counters except those of answers by result code. docs/metrics.md lists all metrics.
enum class MetricCounter : uint8_t {
    ReadsByReplica,
    ReadsByPrimary,
    Forwarded,
    Retries,
    Promotions,
    ConnectionsRefused,
    SpansDropped,
    BackendConnects,
    UnexpectedReplies,
    LoadReportsRejected,
    TurnedAwayMostUrgent, ///< Refused for load at their start; routes of the service's most urgent priority.
    TurnedAwayOthers,
    ClosedBudgetFull,
    ClosedLargeTooLong,
    EndedForRoom,
    StatementsOverBudget,
    StateOverBudget,
    UnreadableFromCallers,
    UnreadableFromServers,
    Count
};

enum class MetricGauge : uint8_t {
    QueuedRequests,
    RunningRequests,
    CallerConnections,
    BackendConnections,
    PooledConnections, ///< Connections in the pool, lent or not.
    LentConnections, ///< Pooled connections that are lent to other hosts.
    MembersOwned,
    SeatsHeld, ///< Rate slices that this host holds.
    ConfigurationRevision,
    ConfigurationAge, ///< In seconds.
    StoreEra,
    LoadReportAge, ///< In seconds; of the oldest report in use.
    AdmissionLevel, ///< Greatest level of a backend server (see UrgencyAdmission).
    CallerMemory, ///< In bytes.
    Count
};

/// Latency of statements, by the read consistency of their route.
enum class MetricHistogram : uint8_t { PrimaryStatements, BoundedStalenessStatements, ReadYourWritesStatements, Count };

enum class MetricType : uint8_t { Counter, Gauge, Histogram, Count };

/// Static description of a metric family.
struct MetricInfo {
    std::string_view name;
    MetricType type;
    std::string_view label; ///< Empty if the family has no label.
    std::string_view meaning;
};

/// Returns the descriptions of all families.
std::vector<MetricInfo> metricInfos();

/// Metrics of one entry host. Every function may be called from any thread.
class Metrics {
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics&) = delete;
    Metrics& operator=(const Metrics&) = delete;

    /// Counts an answer to a caller. latency is the time since the request arrived.
    void countAnswer(ResultCode, Duration latency);

    void count(MetricCounter, uint64_t n = 1);

    /// Raises a counter to a total that is kept elsewhere, such as SpanWriter::dropped(). Ignores lower totals. Must
    /// not be combined with count() on the same counter.
    void raiseTo(MetricCounter, uint64_t total);

    void set(MetricGauge, double value);

    void observe(MetricHistogram, Duration);

    /// Sets the share of a customer's rate that this host may use, from 0 to 1.
    void setRateShare(const std::string& customer, double share);

    /// Removes a customer that no longer exists.
    void removeRateShare(const std::string& customer);

    /// Sets a function that metricsText() calls first, for gauges whose values are only needed then. Must be called
    /// before metricsText() is in use.
    void setCollector(std::function<void(Metrics&)>);

    /// Returns all metrics in the Prometheus text format.
    std::string metricsText();

    /// Returns the request counters since the start.
    Stats stats() const;

private:
    struct Data;
    const std::unique_ptr<Data> m_data;
};

} // namespace plantainwall

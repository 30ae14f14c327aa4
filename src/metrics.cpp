#include "metrics.h"
#include "text_escape.h"
#include <array>
#include <map>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace plantainwall {

namespace {

    enum class Family : uint8_t {
        Answers,
        Latency,
        Reads,
        Forwarded,
        Retries,
        Promotions,
        ConnectionsRefused,
        SpansDropped,
        QueuedRequests,
        RunningRequests,
        Connections,
        MembersOwned,
        SeatsHeld,
        ConfigurationRevision,
        ConfigurationAge,
        RateShare,
        BackendConnects,
        StatementLatency,
        StoreEra,
        UnexpectedReplies,
        LoadReportsRejected,
        LoadReportAge,
        TurnedAway,
        AdmissionLevel,
        MemoryRejections,
        CallerMemory,
        UnreadableMessages,
        Count
    };

    constexpr MetricInfo families[] = {
        { "plantainwall_answers_total", MetricType::Counter, "code",
            "Answers to callers, by name of the result code." },
        { "plantainwall_request_seconds", MetricType::Histogram, "",
            "Time from the arrival of a request to its answer." },
        { "plantainwall_reads_total", MetricType::Counter, "served_by",
            "Reads served by a replica or by the primary." },
        { "plantainwall_forwarded_total", MetricType::Counter, "", "Requests forwarded to another entry host." },
        { "plantainwall_retries_total", MetricType::Counter, "", "Attempts after the first." },
        { "plantainwall_promotions_total", MetricType::Counter, "", "Members that this host promoted to primary." },
        { "plantainwall_connections_refused_total", MetricType::Counter, "",
            "Connections refused because of a limit." },
        { "plantainwall_spans_dropped_total", MetricType::Counter, "", "Trace spans that were not written." },
        { "plantainwall_queued_requests", MetricType::Gauge, "", "Requests queued for the databases owned here." },
        { "plantainwall_running_requests", MetricType::Gauge, "", "Requests running at the databases owned here." },
        { "plantainwall_connections", MetricType::Gauge, "side",
            "Open connections: callers, databases, pooled, lent." },
        { "plantainwall_members_owned", MetricType::Gauge, "", "Databases owned by this host." },
        { "plantainwall_seats_held", MetricType::Gauge, "", "Seats of the customers' rates held by this host." },
        { "plantainwall_configuration_revision", MetricType::Gauge, "", "Revision of the configuration in force." },
        { "plantainwall_configuration_age_seconds", MetricType::Gauge, "",
            "Time since the configuration was last confirmed." },
        { "plantainwall_rate_share", MetricType::Gauge, "team", "Share of a customer's rate that this host may use." },
        { "plantainwall_backend_connects_total", MetricType::Counter, "", "Connections opened to backend servers." },
        { "plantainwall_statement_seconds", MetricType::Histogram, "route",
            "Time from a statement to its answer, by what its route asks of reads." },
        { "plantainwall_store_era", MetricType::Gauge, "",
            "Newest era of the metadata store that this host has seen; it rises when the store is restored from a "
            "copy." },
        { "plantainwall_unexpected_replies_total", MetricType::Counter, "",
            "Replies of backend servers that fit no unanswered command." },
        { "plantainwall_load_reports_rejected_total", MetricType::Counter, "",
            "Reports of other hosts about the load of backend servers that were malformed or had values that cannot "
            "be." },
        { "plantainwall_load_report_age_seconds", MetricType::Gauge, "",
            "Age of the oldest report about the load of a backend server that is in use; 0 without any." },
        { "plantainwall_turned_away_total", MetricType::Counter, "urgency",
            "Operations refused at their start because a server is overloaded, by urgency of their route." },
        { "plantainwall_admission_level", MetricType::Gauge, "",
            "Priorities turned away from a backend server, from the least urgent; the greatest of all servers." },
        { "plantainwall_memory_rejections_total", MetricType::Counter, "cause",
            "Connections closed and statements refused because of the memory or connections that they would hold." },
        { "plantainwall_caller_memory_bytes", MetricType::Gauge, "", "Memory held for callers and other hosts." },
        { "plantainwall_unreadable_messages_total", MetricType::Counter, "side",
            "Messages that could not be read; one from a server ends its connection." },
    };
    static_assert(sizeof(families) / sizeof(families[0]) == static_cast<size_t>(Family::Count), "one for each Family");

    /// One metric of a family, with the value of the family's label.
    struct Instance {
        Family family;
        std::string_view labelValue;
    };

    constexpr Instance counters[] = {
        { Family::Reads, "replica" },
        { Family::Reads, "primary" },
        { Family::Forwarded, "" },
        { Family::Retries, "" },
        { Family::Promotions, "" },
        { Family::ConnectionsRefused, "" },
        { Family::SpansDropped, "" },
        { Family::BackendConnects, "" },
        { Family::UnexpectedReplies, "" },
        { Family::LoadReportsRejected, "" },
        { Family::TurnedAway, "highest" },
        { Family::TurnedAway, "lower" },
        { Family::MemoryRejections, "full" },
        { Family::MemoryRejections, "large_too_long" },
        { Family::MemoryRejections, "room" },
        { Family::MemoryRejections, "statement" },
        { Family::MemoryRejections, "state" },
        { Family::UnreadableMessages, "callers" },
        { Family::UnreadableMessages, "databases" },
    };
    static_assert(sizeof(counters) / sizeof(counters[0]) == static_cast<size_t>(MetricCounter::Count),
        "one for each MetricCounter");

    constexpr Instance gauges[] = {
        { Family::QueuedRequests, "" },
        { Family::RunningRequests, "" },
        { Family::Connections, "callers" },
        { Family::Connections, "databases" },
        { Family::Connections, "pooled" },
        { Family::Connections, "lent" },
        { Family::MembersOwned, "" },
        { Family::SeatsHeld, "" },
        { Family::ConfigurationRevision, "" },
        { Family::ConfigurationAge, "" },
        { Family::StoreEra, "" },
        { Family::LoadReportAge, "" },
        { Family::AdmissionLevel, "" },
        { Family::CallerMemory, "" },
    };
    static_assert(
        sizeof(gauges) / sizeof(gauges[0]) == static_cast<size_t>(MetricGauge::Count), "one for each MetricGauge");

    constexpr Instance histograms[] = {
        { Family::StatementLatency, "primary" },
        { Family::StatementLatency, "bounded_staleness" },
        { Family::StatementLatency, "read_your_writes" },
    };
    static_assert(sizeof(histograms) / sizeof(histograms[0]) == static_cast<size_t>(MetricHistogram::Count),
        "one for each MetricHistogram");

    const MetricInfo& infoOf(Family family) { return families[static_cast<size_t>(family)]; }

    prometheus::Labels labelsOf(Family family, std::string_view value)
    {
        if (infoOf(family).label.empty())
            return {};
        return { { std::string(infoOf(family).label), std::string(value) } };
    }

    template <typename Type> prometheus::Family<Type>& registerFamily(prometheus::Registry& registry, Family family)
    {
        const MetricInfo& info = infoOf(family);
        return prometheus::detail::Builder<Type>()
            .Name(std::string(info.name))
            .Help(std::string(info.meaning))
            .Register(registry);
    }

    /// In seconds; from a hop on loopback to the maximum deadline.
    const prometheus::Histogram::BucketBoundaries latencyBounds { 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
        0.25, 0.5, 1, 2.5, 5, 10, 30, 60 };

} // namespace

struct Metrics::Data {
    prometheus::Registry registry;
    std::array<prometheus::Counter*, static_cast<size_t>(ResultCode::Count)> answers {};
    prometheus::Histogram* latency = nullptr;
    std::array<prometheus::Counter*, static_cast<size_t>(MetricCounter::Count)> counters {};
    std::array<prometheus::Gauge*, static_cast<size_t>(MetricGauge::Count)> gauges {};
    std::array<prometheus::Histogram*, static_cast<size_t>(MetricHistogram::Count)> histograms {};
    prometheus::Family<prometheus::Gauge>* shareFamily = nullptr;
    std::mutex mutex; // Guards shares and raiseTo.
    std::map<std::string, prometheus::Gauge*> shares;
    std::function<void(Metrics&)> collector;
};

std::vector<MetricInfo> metricInfos() { return { std::begin(families), std::end(families) }; }

Metrics::Metrics()
    : m_data(std::make_unique<Data>())
{
    prometheus::Registry& registry = m_data->registry;
    prometheus::Family<prometheus::Counter>& answers = registerFamily<prometheus::Counter>(registry, Family::Answers);
    for (size_t i = 0; i < m_data->answers.size(); ++i) {
        const std::string_view name = resultCodeInfo(static_cast<ResultCode>(i)).name;
        m_data->answers[i] = &answers.Add(labelsOf(Family::Answers, name));
    }
    m_data->latency = &registerFamily<prometheus::Histogram>(registry, Family::Latency).Add({}, latencyBounds);
    for (size_t i = 0; i < m_data->counters.size(); ++i) {
        const Instance& it = counters[i];
        m_data->counters[i]
            = &registerFamily<prometheus::Counter>(registry, it.family).Add(labelsOf(it.family, it.labelValue));
    }
    for (size_t i = 0; i < m_data->gauges.size(); ++i) {
        const Instance& it = gauges[i];
        m_data->gauges[i]
            = &registerFamily<prometheus::Gauge>(registry, it.family).Add(labelsOf(it.family, it.labelValue));
    }
    for (size_t i = 0; i < m_data->histograms.size(); ++i) {
        const Instance& it = histograms[i];
        m_data->histograms[i] = &registerFamily<prometheus::Histogram>(registry, it.family)
                                     .Add(labelsOf(it.family, it.labelValue), latencyBounds);
    }
    m_data->shareFamily = &registerFamily<prometheus::Gauge>(registry, Family::RateShare);
}

Metrics::~Metrics() = default;

void Metrics::countAnswer(ResultCode code, Duration latency)
{
    m_data->answers[static_cast<size_t>(code)]->Increment();
    m_data->latency->Observe(std::chrono::duration<double>(latency).count());
}

void Metrics::count(MetricCounter counter, uint64_t n)
{
    m_data->counters[static_cast<size_t>(counter)]->Increment(static_cast<double>(n));
}

void Metrics::raiseTo(MetricCounter counter, uint64_t total)
{
    const std::lock_guard<std::mutex> lock(m_data->mutex);
    prometheus::Counter& target = *m_data->counters[static_cast<size_t>(counter)];
    const double increase = static_cast<double>(total) - target.Value();
    if (increase > 0)
        target.Increment(increase);
}

void Metrics::set(MetricGauge gauge, double value) { m_data->gauges[static_cast<size_t>(gauge)]->Set(value); }

void Metrics::observe(MetricHistogram histogram, Duration duration)
{
    m_data->histograms[static_cast<size_t>(histogram)]->Observe(std::chrono::duration<double>(duration).count());
}

void Metrics::setRateShare(const std::string& customer, double share)
{
    const std::lock_guard<std::mutex> lock(m_data->mutex);
    prometheus::Gauge*& gauge = m_data->shares[customer];
    if (gauge == nullptr)
        gauge = &m_data->shareFamily->Add(labelsOf(Family::RateShare, escapedUtf8(customer)));
    gauge->Set(share);
}

void Metrics::removeRateShare(const std::string& customer)
{
    const std::lock_guard<std::mutex> lock(m_data->mutex);
    const std::map<std::string, prometheus::Gauge*>::iterator it = m_data->shares.find(customer);
    if (it == m_data->shares.end())
        return;
    m_data->shareFamily->Remove(it->second);
    m_data->shares.erase(it);
}

void Metrics::setCollector(std::function<void(Metrics&)> collector) { m_data->collector = std::move(collector); }

std::string Metrics::metricsText()
{
    if (m_data->collector)
        m_data->collector(*this);
    return prometheus::TextSerializer().prometheus::Serializer::Serialize(m_data->registry.Collect());
}

Stats Metrics::stats() const
{
    const auto value = [this](MetricCounter counter) {
        return static_cast<uint64_t>(m_data->counters[static_cast<size_t>(counter)]->Value());
    };
    Stats stats;
    for (size_t i = 0; i < m_data->answers.size(); ++i) {
        stats.answersByCode[i] = static_cast<uint64_t>(m_data->answers[i]->Value());
        stats.requests += stats.answersByCode[i];
    }
    stats.readsByReplica = value(MetricCounter::ReadsByReplica);
    stats.readsByPrimary = value(MetricCounter::ReadsByPrimary);
    stats.forwarded = value(MetricCounter::Forwarded);
    stats.retries = value(MetricCounter::Retries);
    return stats;
}

} // namespace plantainwall

#pragma once

#include "plantainwall/plantainwall.h"
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <thread>

namespace plantainwall {

/// Identity of a span within a trace, as carried by the W3C traceparent header.
struct TraceContext {
    std::string traceId; ///< 32 lower-case hexadecimal digits.
    std::string spanId; ///< 16 lower-case hexadecimal digits.
    bool sampled = true;
};

/// Parses a traceparent header. Returns nothing if it is malformed; callers then start a new trace.
std::optional<TraceContext> parseTraceParent(std::string_view);

/// Returns the traceparent header, in version 00.
std::string formatTraceParent(const TraceContext&);

/// Generates trace and span ids from a seed. Thread-safe.
class TraceIds {
public:
    explicit TraceIds(uint64_t seed)
        : m_random(seed)
    {
    }

    TraceContext newTrace();
    TraceContext childOf(const TraceContext& parent);

private:
    /// Returns random hexadecimal digits, 16 for each word; no word is zero.
    std::string hexadecimal(size_t words);

    std::mutex m_mutex; // Guards m_random.
    std::mt19937_64 m_random;
};

enum class SpanKind : uint8_t { Client, Server, Count };

/// All tags that a span may have. There are none for keys, request bodies and statements, which must not be traced.
enum class SpanTag : uint8_t { Team, Group, Member, ResultCode, RunState, ServedBy, Attempt, QueueTime, Count };

/// One hop of a request.
struct Span {
    TraceContext context;
    std::string parentId; ///< Empty for the first span of a trace.
    std::string name;
    SpanKind kind = SpanKind::Server;
    Duration start {}; ///< Since the Unix epoch.
    Duration duration {};
    std::map<SpanTag, std::string> tags;
};

/// Returns the span as Zipkin v2 JSON on one line, without a line end.
std::string spanJson(const Span&, const std::string& endpointName);

/// Appends spans to a file, one per line, from a background thread. Thread-safe.
class SpanWriter {
public:
    /// Maximum number of spans that wait to be written; about 2 MB at 500 bytes each.
    static constexpr size_t defaultMaxQueued = 4096;

    /// Opens the file. An empty path discards all spans. Throws std::system_error if the file cannot be opened.
    SpanWriter(const std::string& path, std::string endpointName, size_t maxQueued = defaultMaxQueued);

    /// Writes the queued spans and stops the thread.
    ~SpanWriter();
    SpanWriter(const SpanWriter&) = delete;
    SpanWriter& operator=(const SpanWriter&) = delete;

    /// Queues a span if its trace is sampled. Never blocks on the file; drops the span if the queue is full.
    void write(Span);

    /// Number of spans dropped because the queue was full or the file could not be written.
    uint64_t dropped() const;
    uint64_t written() const;

private:
    void run();
    bool writeAll(std::string_view text);

    const std::string m_endpointName;
    const size_t m_maxQueued;
    int m_file = -1;
    bool m_lineCut = false; ///< The file ends within a line. Used by the thread only, once it has started.
    mutable std::mutex m_mutex; // Guards the members below up to m_thread.
    std::condition_variable m_changed;
    std::vector<Span> m_queue;
    uint64_t m_dropped = 0;
    uint64_t m_written = 0;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace plantainwall

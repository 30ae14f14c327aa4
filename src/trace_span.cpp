#include "trace_span.h"
#include "text_escape.h"
#include <algorithm>
#include <cerrno>
#include <cpprest/json.h>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <system_error>
#include <unistd.h>

namespace plantainwall {

namespace {

    // Layout of a header: version "-" trace id "-" span id "-" flags.
    constexpr size_t traceIdOffset = 3;
    constexpr size_t traceIdDigits = 32;
    constexpr size_t spanIdOffset = 36;
    constexpr size_t spanIdDigits = 16;
    constexpr size_t flagsOffset = 53;
    constexpr size_t headerSize = 55;

    constexpr std::string_view kindNames[] = { "CLIENT", "SERVER" };
    static_assert(
        sizeof(kindNames) / sizeof(kindNames[0]) == static_cast<size_t>(SpanKind::Count), "one name for each SpanKind");

    constexpr std::string_view tagNames[]
        = { "team", "group", "member", "result_code", "run_state", "served_by", "attempt", "queue_time_us" };
    static_assert(
        sizeof(tagNames) / sizeof(tagNames[0]) == static_cast<size_t>(SpanTag::Count), "one name for each SpanTag");

    bool isHexadecimal(std::string_view text)
    {
        return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
    }

    bool isId(std::string_view text)
    {
        return isHexadecimal(text) && text.find_first_not_of('0') != std::string_view::npos;
    }

    /// Returns whether a file has bytes behind its last line end. Pipes have none.
    bool endsWithinLine(const std::string& path)
    {
        std::error_code ec;
        if (!std::filesystem::is_regular_file(path, ec))
            return false;
        std::ifstream file(path, std::ios::binary);
        file.seekg(-1, std::ios::end);
        char last = '\n';
        return file.get(last) && last != '\n';
    }

    unsigned digitValue(char c) { return static_cast<unsigned>(c <= '9' ? c - '0' : c - 'a' + 10); }

} // namespace

std::optional<TraceContext> parseTraceParent(std::string_view text)
{
    if (text.size() < headerSize || text[2] != '-' || text[spanIdOffset - 1] != '-' || text[flagsOffset - 1] != '-')
        return std::nullopt;
    const std::string_view version = text.substr(0, 2);
    const std::string_view traceId = text.substr(traceIdOffset, traceIdDigits);
    const std::string_view spanId = text.substr(spanIdOffset, spanIdDigits);
    const std::string_view flags = text.substr(flagsOffset, 2);
    if (!isHexadecimal(version) || version == "ff" || !isId(traceId) || !isId(spanId) || !isHexadecimal(flags))
        return std::nullopt;
    // Later versions may append fields.
    if (text.size() > headerSize && (version == "00" || text[headerSize] != '-'))
        return std::nullopt;
    return TraceContext { std::string(traceId), std::string(spanId), (digitValue(flags[1]) & 1U) != 0 };
}

std::string formatTraceParent(const TraceContext& context)
{
    return "00-" + context.traceId + '-' + context.spanId + (context.sampled ? "-01" : "-00");
}

TraceContext TraceIds::newTrace() { return { hexadecimal(2), hexadecimal(1), true }; }

TraceContext TraceIds::childOf(const TraceContext& parent)
{
    return { parent.traceId, hexadecimal(1), parent.sampled };
}

std::string TraceIds::hexadecimal(size_t words)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::string text;
    for (size_t i = 0; i < words; ++i) {
        uint64_t value = 0;
        while (value == 0) // An id of all zeros is invalid.
            value = m_random();
        for (unsigned shift = 64; shift > 0; shift -= 4)
            text += "0123456789abcdef"[(value >> (shift - 4)) & 15U];
    }
    return text;
}

std::string spanJson(const Span& span, const std::string& endpointName)
{
    using Json = web::json::value;
    Json json = Json::object();
    json["traceId"] = Json::string(span.context.traceId);
    json["id"] = Json::string(span.context.spanId);
    if (!span.parentId.empty())
        json["parentId"] = Json::string(span.parentId);
    json["name"] = Json::string(escapedUtf8(span.name));
    json["kind"] = Json::string(std::string(kindNames[static_cast<size_t>(span.kind)]));
    json["timestamp"] = Json::number(static_cast<int64_t>(span.start.count()));
    // Zipkin does not accept a duration of 0.
    json["duration"] = Json::number(std::max<int64_t>(span.duration.count(), 1));
    json["localEndpoint"] = Json::object();
    json["localEndpoint"]["serviceName"] = Json::string(escapedUtf8(endpointName));
    json["tags"] = Json::object();
    for (const std::pair<const SpanTag, std::string>& tag : span.tags)
        json["tags"][std::string(tagNames[static_cast<size_t>(tag.first)])] = Json::string(escapedUtf8(tag.second));
    return json.serialize();
}

SpanWriter::SpanWriter(const std::string& path, std::string endpointName, size_t maxQueued)
    : m_endpointName(std::move(endpointName))
    , m_maxQueued(maxQueued)
{
    if (path.empty())
        return;
    m_file = open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0640);
    if (m_file < 0)
        throw std::system_error(errno, std::generic_category(), "cannot open trace file " + path);
    m_lineCut = endsWithinLine(path);
    m_thread = std::thread(&SpanWriter::run, this);
}

SpanWriter::~SpanWriter()
{
    if (m_file < 0)
        return;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_one();
    m_thread.join();
    close(m_file);
}

void SpanWriter::write(Span span)
{
    if (m_file < 0 || !span.context.sampled)
        return;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_queue.size() >= m_maxQueued) {
            ++m_dropped;
            return;
        }
        m_queue.push_back(std::move(span));
    }
    m_changed.notify_one();
}

uint64_t SpanWriter::dropped() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_dropped;
}

uint64_t SpanWriter::written() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_written;
}

void SpanWriter::run()
{
    std::unique_lock<std::mutex> lock(m_mutex);
    for (;;) {
        m_changed.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
        if (m_queue.empty())
            return;
        std::vector<Span> spans;
        spans.swap(m_queue);
        lock.unlock();
        std::string text(m_lineCut ? 1 : 0, '\n');
        for (const Span& span : spans)
            text += spanJson(span, m_endpointName) + '\n';
        const bool success = writeAll(text);
        lock.lock();
        (success ? m_written : m_dropped) += spans.size();
    }
}

bool SpanWriter::writeAll(std::string_view text)
{
    while (!text.empty()) {
        const ssize_t n = ::write(m_file, text.data(), text.size());
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return false;
        m_lineCut = text[static_cast<size_t>(n) - 1] != '\n';
        text.remove_prefix(static_cast<size_t>(n));
    }
    return true;
}

} // namespace plantainwall

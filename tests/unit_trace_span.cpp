#include "support_odd_texts.h"
#include "trace_span.h"
#include <boost/test/unit_test.hpp>
#include <cpprest/json.h>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <set>
#include <sys/resource.h>
#include <sys/stat.h>
#include <system_error>
#include <unistd.h>

using namespace plantainwall;

namespace {

const std::string traceId = "0af7651916cd43dd8448eb211c80319c";
const std::string spanId = "b7ad6b7169203331";

/// Path for a temporary file of this process, which is removed at the end.
struct TemporaryPath {
    const std::string path = std::string(PLANTAINWALL_BUILD_DIR) + "/unit_trace_span." + std::to_string(getpid());

    TemporaryPath() { unlink(path.c_str()); }
    ~TemporaryPath() { unlink(path.c_str()); }
};

Span exampleSpan()
{
    Span span;
    span.context = { traceId, spanId, true };
    span.parentId = "00f067aa0ba902b7";
    span.name = "query";
    span.kind = SpanKind::Client;
    span.start = Duration(1700000000000001);
    span.tags = { { SpanTag::Group, "plait\"\n" }, { SpanTag::Member, "\xff" }, { SpanTag::QueueTime, "12" } };
    return span;
}

} // namespace

// Guards against malformed headers that are accepted, and valid headers that interrupt a caller's trace.
BOOST_AUTO_TEST_CASE(trace_parent_follows_the_standard)
{
    const std::string valid = "00-" + traceId + '-' + spanId + "-01";
    const std::optional<TraceContext> context = parseTraceParent(valid);
    BOOST_REQUIRE(context.has_value());
    BOOST_TEST(context->traceId == traceId);
    BOOST_TEST(context->spanId == spanId);
    BOOST_TEST(formatTraceParent(*context) == valid);
    BOOST_TEST(!parseTraceParent("00-" + traceId + '-' + spanId + "-02")->sampled);
    BOOST_TEST(parseTraceParent("cc-" + traceId + '-' + spanId + "-01-more").has_value());
    const std::string zeros(32, '0');
    const std::vector<std::string> malformed { std::string(), valid.substr(0, 54), valid + "-more",
        "ff" + valid.substr(2), "cc" + valid.substr(2) + "more", "0G" + valid.substr(2),
        "00-" + zeros + '-' + spanId + "-01", "00-" + traceId + '-' + zeros.substr(16) + "-01",
        "00-" + traceId + '_' + spanId + "-01", "00-A" + traceId.substr(1) + '-' + spanId + "-01",
        "00-" + traceId + '-' + spanId + "-0x" };
    for (const std::string& text : malformed)
        BOOST_TEST(!parseTraceParent(text).has_value(), text);
}

// Guards against ids that repeat, ids that differ between runs with the same seed, and child spans outside their trace.
BOOST_AUTO_TEST_CASE(ids_come_from_the_seed)
{
    TraceIds a(7);
    TraceIds b(7);
    const TraceContext trace = a.newTrace();
    BOOST_TEST(formatTraceParent(trace) == formatTraceParent(b.newTrace()));
    BOOST_TEST(parseTraceParent(formatTraceParent(trace)).has_value());
    const TraceContext child = a.childOf({ trace.traceId, trace.spanId, false });
    BOOST_TEST(child.traceId == trace.traceId);
    BOOST_TEST(child.spanId != trace.spanId);
    BOOST_TEST(!child.sampled);
    BOOST_TEST(a.newTrace().traceId != trace.traceId);
}

// Guards against spans that Zipkin does not accept or that are lost at the end of the process.
BOOST_AUTO_TEST_CASE(destructor_writes_queued_spans)
{
    const TemporaryPath file;
    {
        SpanWriter writer(file.path, "mill-1");
        for (int i = 0; i < 100; ++i)
            writer.write(exampleSpan());
        Span unsampled = exampleSpan();
        unsampled.context.sampled = false;
        writer.write(unsampled);
    }
    std::ifstream in(file.path);
    std::string line;
    int lines = 0;
    for (; std::getline(in, line); ++lines) {
        const web::json::value json = web::json::value::parse(line);
        BOOST_TEST(json.at("traceId").as_string() == traceId);
        BOOST_TEST(json.at("id").as_string() == spanId);
        BOOST_TEST(json.at("parentId").as_string() == "00f067aa0ba902b7");
        BOOST_TEST(json.at("kind").as_string() == "CLIENT");
        BOOST_TEST(json.at("timestamp").as_number().to_int64() == 1700000000000001);
        BOOST_TEST(json.at("duration").as_integer() == 1);
        BOOST_TEST(json.at("localEndpoint").at("serviceName").as_string() == "mill-1");
        BOOST_TEST(json.at("tags").at("member").as_string() == "\\xff");
        BOOST_TEST(json.at("tags").at("group").as_string() == "plait\"\n");
    }
    BOOST_TEST(lines == 100);
    BOOST_CHECK_THROW(SpanWriter("/nonexistent/spans", "mill-1"), std::system_error);
    SpanWriter("", "mill-1").write(exampleSpan());
}

// Guards against texts that end a line or are one in the file.
BOOST_AUTO_TEST_CASE(odd_texts_differ_in_the_file)
{
    test::OddTexts texts(4);
    std::set<std::string> names { "\xff", "?", "\\xff", "\xc0\x80", "a\nb", "a\\nb" };
    while (names.size() < 300)
        names.insert(texts.lastField());
    std::set<std::string> lines;
    for (const std::string& it : names) {
        Span span = exampleSpan();
        span.tags = { { SpanTag::Group, it } };
        const std::string line = spanJson(span, "mill-1");
        BOOST_TEST(lines.insert(line).second, "another text has the line of " << test::printable(it));
        BOOST_TEST(line.find('\n') == std::string::npos);
        BOOST_TEST(web::json::value::parse(line).at("tags").at("group").is_string());
        span.name = it;
        BOOST_TEST(web::json::value::parse(spanJson(span, it)).at("name").is_string());
    }
}

// Guards against spans that are written behind a line that was cut when the disk was full or the process was killed.
BOOST_AUTO_TEST_CASE(cut_line_does_not_take_the_next_one)
{
    const TemporaryPath file;
    const std::string cut = "{\"traceId\":";
    std::ofstream(file.path) << cut;
    const size_t size = spanJson(exampleSpan(), "mill-1").size() + 1;
    std::signal(SIGXFSZ, SIG_IGN);
    rlimit limit {};
    BOOST_REQUIRE(getrlimit(RLIMIT_FSIZE, &limit) == 0);
    const rlimit small { cut.size() + 1 + size + size / 2, limit.rlim_max };
    BOOST_REQUIRE(setrlimit(RLIMIT_FSIZE, &small) == 0);
    {
        SpanWriter writer(file.path, "mill-1");
        const auto writeOne = [&writer] {
            const uint64_t before = writer.written() + writer.dropped();
            writer.write(exampleSpan());
            for (int i = 0; i < 10000 && writer.written() + writer.dropped() == before; ++i)
                usleep(1000);
        };
        writeOne();
        writeOne();
        BOOST_TEST(writer.dropped() == 1U);
        BOOST_REQUIRE(setrlimit(RLIMIT_FSIZE, &limit) == 0);
        writeOne();
        BOOST_TEST(writer.written() == 2U);
    }
    std::ifstream in(file.path);
    size_t readable = 0;
    size_t lines = 0;
    for (std::string line; std::getline(in, line); ++lines) {
        std::error_code ec;
        readable += web::json::value::parse(line, ec).has_field("traceId") && !ec ? 1 : 0;
    }
    BOOST_TEST(readable == 2U);
    BOOST_TEST(lines == 4U);
}

// Guards against requests that wait for a slow disk, and dropped spans that are not counted. An unread pipe stands in
// for the disk.
BOOST_AUTO_TEST_CASE(full_queue_drops_and_counts)
{
    const TemporaryPath pipe;
    BOOST_REQUIRE(mkfifo(pipe.path.c_str(), 0600) == 0);
    const int reader = open(pipe.path.c_str(), O_RDWR | O_NONBLOCK);
    BOOST_REQUIRE(reader >= 0);
    SpanWriter writer(pipe.path, "mill-1", 8);
    constexpr uint64_t spans = 5000; // About 1.2 MB; a pipe holds 64 KB.
    for (uint64_t i = 0; i < spans; ++i)
        writer.write(exampleSpan());
    BOOST_TEST(writer.dropped() > 0U);
    BOOST_TEST(writer.written() < spans);
    char buf[65536];
    for (int i = 0; i < 10000 && writer.dropped() + writer.written() < spans; ++i) {
        if (read(reader, buf, sizeof(buf)) <= 0)
            usleep(1000);
    }
    BOOST_TEST(writer.dropped() + writer.written() == spans);
    close(reader);
}

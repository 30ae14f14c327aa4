#include "log_event.h"
#include "support_log_capture.h"
#include <boost/test/unit_test.hpp>
#include <cpprest/json.h>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>

using namespace plantainwall;

namespace {

std::string pageText(const std::string& name)
{
    std::ostringstream page;
    page << std::ifstream(std::string(PLANTAINWALL_BUILD_DIR) + "/../docs/" + name).rdbuf();
    return page.str();
}

} // namespace

// Guards against input that ends its field or starts a new line.
BOOST_AUTO_TEST_CASE(values_are_escaped)
{
    const std::string hostile = "a\"b\\c\nd\x01 e=f";
    const std::string json
        = logEventLine(LogEvent::BadRequest, { { "path", hostile }, { "raw", "\xff\xfe" } }, "t", "h", "json");
    BOOST_TEST(json.find('\n') == std::string::npos);
    const web::json::value parsed = web::json::value::parse(json);
    BOOST_TEST(parsed.at("path").as_string() == hostile);
    BOOST_TEST(parsed.at("raw").as_string() == "??");
    BOOST_TEST(parsed.at("event").as_integer() == static_cast<int>(LogEvent::BadRequest));
    const std::string text = logEventLine(LogEvent::BadRequest, { { "path", hostile }, { "n", 2 } }, "t", "h", "text");
    BOOST_TEST(text == "time=t level=debug host=h event=31 name=bad_request path=\"a\\\"b\\\\c\\nd\\u0001 e=f\" n=2");
}

// Guards against values that change their type or lose digits.
BOOST_AUTO_TEST_CASE(values_keep_their_type)
{
    const std::string line = logEventLine(LogEvent::Started,
        { { "big", std::numeric_limits<uint64_t>::max() }, { "negative", -3 }, { "ratio", 0.5 }, { "yes", true },
            { "none", std::numeric_limits<double>::infinity() } },
        "t", "h", "json");
    BOOST_TEST(line
        == R"({"time":"t","level":"info","host":"h","event":0,"name":"started","big":18446744073709551615,"negative":-3,"ratio":0.5,"yes":true,"none":null})");
}

// Guards against events that are written below the configured level, a missing host name, and a log that does not work
// before initializeLogging().
BOOST_AUTO_TEST_CASE(level_and_host_come_from_the_settings)
{
    const CerrCapture capture;
    logEvent(LogEvent::Started, {});
    logEvent(LogEvent::BadRequest, {});
    BOOST_TEST(capture.text.str().find("\"started\"") != std::string::npos);
    BOOST_TEST(capture.text.str().find("bad_request") == std::string::npos);
    Settings settings;
    settings.host = "mill-1";
    settings.logLevel = "debug";
    initializeLogging(settings);
    logEvent(LogEvent::BadRequest, {});
    BOOST_TEST(capture.text.str().find(R"("host":"mill-1","event":31)") != std::string::npos);
    settings.logLevel = "error";
    initializeLogging(settings);
    BOOST_TEST(!logEnabled(LogEvent::HostDead));
}

// Guards against pages that differ from the tables.
BOOST_AUTO_TEST_CASE(pages_match_the_tables)
{
    std::set<std::string_view> names;
    std::string events = "| number | name | level | meaning |\n|---|---|---|---|\n";
    for (size_t i = 0; i < static_cast<size_t>(LogEvent::Count); ++i) {
        const LogEventInfo& info = logEventInfo(static_cast<LogEvent>(i));
        BOOST_TEST(names.insert(info.name).second);
        events += "| " + std::to_string(info.number) + " | `" + std::string(info.name) + "` | "
            + std::string(logLevelName(info.level)) + " | " + std::string(info.meaning) + " |\n";
    }
    BOOST_TEST(pageText("log-events.md").find(events + '\n') != std::string::npos, "docs/log-events.md:\n" << events);
    std::string codes = "| code | name | run state | HTTP status | meaning |\n|---|---|---|---|---|\n";
    for (size_t i = 0; i < static_cast<size_t>(ResultCode::Count); ++i) {
        const ResultCodeInfo& info = resultCodeInfo(static_cast<ResultCode>(i));
        codes += "| " + std::to_string(i) + " | `" + std::string(info.name) + "` | "
            + std::string(runStateName(info.runState)) + " | " + std::to_string(info.httpStatus) + " | "
            + std::string(info.meaning) + " |\n";
    }
    BOOST_TEST(pageText("result-codes.md").find(codes + '\n') != std::string::npos, "docs/result-codes.md:\n" << codes);
}

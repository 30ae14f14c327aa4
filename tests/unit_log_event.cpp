#include "log_event.h"
#include "support_log_capture.h"
#include "support_odd_texts.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cpprest/json.h>
#include <fstream>
#include <limits>
#include <set>
#include <sstream>

using namespace plantainwall;
using test::OddTexts;
using test::printable;

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
    BOOST_TEST(parsed.at("raw").as_string() == "\\xff\\xfe");
    BOOST_TEST(parsed.at("event").as_integer() == static_cast<int>(LogEvent::BadRequest));
    const std::string text = logEventLine(LogEvent::BadRequest, { { "path", hostile }, { "n", 2 } }, "t", "h", "text");
    BOOST_TEST(text == "time=t level=debug host=h event=31 name=bad_request path=\"a\\\"b\\\\c\\nd\\u0001 e=f\" n=2");
}

// Guards against two texts that are one in the log, and against bytes that a strict reader of JSON rejects or that move
// the cursor of a terminal.
BOOST_AUTO_TEST_CASE(texts_differ_in_the_log_as_they_do_outside)
{
    OddTexts texts(3);
    std::set<std::string> sent { "\xff", "\xfe", "?", "\\xff", "\\x5cxff", "\\\xff", "\\x5c", "\\", "\xc3", "\xc3\xbc",
        "\xc0\x80", std::string(1, '\0'), "", "\xe0\x9f\xbf", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xf0\x8f\xbf\xbf" };
    while (sent.size() < 3000)
        sent.insert(sent.size() % 2 == 0 ? texts.lastField() : texts.field());
    for (const std::string format : { "json", "text" }) {
        std::set<std::string> lines;
        for (const std::string& it : sent) {
            const std::string line = logEventLine(LogEvent::BadRequest, { { "path", it } }, "t", "h", format);
            BOOST_TEST(lines.insert(line).second, format << ": another text has the line of " << printable(it));
            BOOST_TEST(std::none_of(line.begin(), line.end(), [](unsigned char c) { return c < ' ' || c == 0x7f; }),
                format << ": a control byte in the line of " << printable(it));
        }
    }
}

// Guards against lines that are no UTF-8, which JSON requires, and against texts that are UTF-8 and changed.
BOOST_AUTO_TEST_CASE(only_bytes_that_are_no_utf8_are_escaped)
{
    const std::pair<std::string, std::string> cases[] = { { "r1\xff", "r1\\xff" }, { "\xc0\x80", "\\xc0\\x80" },
        { "\xe0\x9f\xbf", "\\xe0\\x9f\\xbf" }, { "\xed\xa0\x80", "\\xed\\xa0\\x80" },
        { "\xf0\x8f\xbf\xbf", "\\xf0\\x8f\\xbf\\xbf" }, { "\xf4\x90\x80\x80", "\\xf4\\x90\\x80\\x80" },
        { "\xc3", "\\xc3" }, { "\xc3\xbc\xc3", "\xc3\xbc\\xc3" }, { "\\xff", "\\x5cxff" }, { "\\x5c", "\\x5cx5c" },
        { "a\\xg0\\n", "a\\xg0\\n" }, { "\xe2\x82\xac \xf0\x9f\x8c\xbf", "\xe2\x82\xac \xf0\x9f\x8c\xbf" },
        { std::string("\0", 1) + "\x1b[", std::string("\0", 1) + "\x1b[" }, { "\xc2\x9b", "\xc2\x9b" } };
    for (const std::pair<std::string, std::string>& it : cases) {
        const std::string line = logEventLine(LogEvent::BadRequest, { { "path", it.first } }, "t", "h", "json");
        BOOST_TEST(web::json::value::parse(line).at("path").as_string() == it.second, printable(line));
        BOOST_TEST(line.find("\xc2\x9b") == std::string::npos);
    }
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

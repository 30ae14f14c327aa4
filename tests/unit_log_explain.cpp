#include "log_explain.h"
#include "support_odd_texts.h"
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>
#include <sstream>

using namespace plantainwall;

namespace {

std::string line(const std::string& second, const std::string& host, LogEvent event, const std::string& fields)
{
    return "{\"time\":\"2026-12-04T10:00:" + second + "Z\",\"level\":\"info\",\"host\":\"" + host
        + "\",\"event\":1,\"name\":\"" + std::string(logEventInfo(event).name) + "\"" + (fields.empty() ? "" : ",")
        + fields + "}\n";
}

RequestExplanation explain(const std::vector<std::string>& logs, std::string_view request)
{
    LogExplainer explainer;
    for (const std::string& log : logs) {
        std::istringstream in(log);
        explainer.read(in);
    }
    return explainer.explain(request);
}

std::string printed(const RequestExplanation& explanation)
{
    std::ostringstream out;
    printExplanation(out, "r1", explanation);
    return out.str();
}

} // namespace

// An operation that was turned away: the reason, and the level's changes at its service.
BOOST_AUTO_TEST_CASE(refusal_by_urgency_shows_level_and_knowledge)
{
    const std::string log
        = line("18.000000", "a", LogEvent::AdmissionLevelChanged,
              R"("service":"s","server":"s-1","priorities":1,"before":0,"response_ms":320,"age_ms":12)")
        + line("18.500000", "a", LogEvent::AdmissionLevelChanged, R"("service":"t","server":"t-1","priorities":1)")
        + line("20.000000", "a", LogEvent::StatementRefused,
            R"("request":"r1","service":"s","code":"queue_full","reason":"priority 2 is turned away at level 0.70: )"
            R"(server s-1 answers in 310 ms, known for 40 ms from 1 hosts")");
    const RequestExplanation explanation = explain({ log }, "r1");
    BOOST_TEST(explanation.answered);
    BOOST_REQUIRE_EQUAL(explanation.relatedEvents.size(), 1U);
    const std::string text = printed(explanation);
    BOOST_TEST(text.find("reason: priority 2 is turned away at level 0.70") != std::string::npos);
    BOOST_TEST(text.find("response_ms=320 server=\"s-1\"") != std::string::npos);
}

// Lines of several hosts are ordered by time. Events of the request's server, service and host are related to it,
// events of other servers, services, hosts and times are not.
BOOST_AUTO_TEST_CASE(path_and_related_events_are_collected)
{
    const std::string first = line("01.000000", "a", LogEvent::ConfigurationInForce, "\"version\":7")
        + line("20.000000", "a", LogEvent::StatementMoved, R"("request":"r1","service":"s","server":"s-2","attempt":1)")
        + line("20.100000", "a", LogEvent::ServerConnectionLost, R"("service":"s","server":"s-1","reason":"lost")")
        + line("20.100001", "a", LogEvent::WriteOutcomeUnknown,
            R"("request":"r1","service":"s","server":"s-1","code":"outcome_unknown","reason":"connection lost")")
        + line("20.200000", "a", LogEvent::ServerConnectionLost, R"("service":"t","server":"t-1","reason":"lost")")
        + line("40.000000", "a", LogEvent::PeerSilent, R"("peer":"b")");
    const std::string second
        = line("19.000000", "b", LogEvent::FailoverStep, R"("service":"s","server":"s-1","step":"stop_receiving")")
        + line("19.500000", "b", LogEvent::PeerSilent, R"("peer":"c")")
        + line("20.050000", "b", LogEvent::StatementServed, R"("request":"r2","server":"s-1")");
    const RequestExplanation explanation = explain({ first, second }, "r1");
    BOOST_REQUIRE_EQUAL(explanation.path.size(), 2U);
    BOOST_TEST((explanation.path[0].event == LogEvent::StatementMoved));
    BOOST_TEST((explanation.path[1].event == LogEvent::WriteOutcomeUnknown));
    BOOST_TEST(explanation.answered);
    BOOST_TEST(explanation.gaps.empty());
    BOOST_REQUIRE_EQUAL(explanation.relatedEvents.size(), 3U);
    BOOST_TEST((explanation.relatedEvents[0].event == LogEvent::ConfigurationInForce));
    BOOST_TEST((explanation.relatedEvents[1].event == LogEvent::FailoverStep));
    BOOST_TEST((explanation.relatedEvents[2].event == LogEvent::ServerConnectionLost));
    const std::string text = printed(explanation);
    BOOST_TEST(text.find("reason: connection lost") != std::string::npos);
    BOOST_TEST(text.find(std::string(resultCodeInfo(ResultCode::OutcomeUnknown).meaning)) != std::string::npos);
    BOOST_TEST(text.find("\"t-1\"") == std::string::npos);
}

// Guards against incomplete logs that look complete: missing, suppressed and dropped lines are reported as gaps.
BOOST_AUTO_TEST_CASE(missing_lines_are_named)
{
    const std::string otherRequest = line("20.000000", "a", LogEvent::StatementRefused,
        R"("request":"other","code":"rate_exceeded","suppressed_before":12)");
    const RequestExplanation none = explain({ otherRequest }, "r1");
    BOOST_TEST(none.path.empty());
    BOOST_REQUIRE_EQUAL(none.gaps.size(), 2U);
    BOOST_TEST(none.gaps[0].find("no line on request r1") != std::string::npos);
    BOOST_TEST(none.gaps[1].find("a suppressed 12 lines: statement_refused") != std::string::npos);

    const std::string withoutAnswer = line("20.000000", "a", LogEvent::StatementMoved, R"("request":"r1","attempt":1)")
        + line("20.500000", "a", LogEvent::LinesDropped, "\"lines\":3");
    const RequestExplanation unanswered = explain({ withoutAnswer }, "r1");
    BOOST_TEST(!unanswered.answered);
    BOOST_REQUIRE_EQUAL(unanswered.gaps.size(), 2U);
    BOOST_TEST(unanswered.gaps[1].find("suppressed 3 lines") != std::string::npos);

    const std::string thirdAttempt
        = line("20.000000", "a", LogEvent::StatementServed, R"("request":"r1","server":"s-1","attempt":3)");
    const RequestExplanation withoutMoves = explain({ thirdAttempt }, "r1");
    BOOST_REQUIRE_EQUAL(withoutMoves.gaps.size(), 1U);
    BOOST_TEST(withoutMoves.gaps[0].find("2 moves") != std::string::npos);
}

// Lines of other programs in the same file are counted as unreadable and ignored.
BOOST_AUTO_TEST_CASE(lines_of_other_programs_are_ignored)
{
    LogExplainer explainer;
    std::istringstream in("Segmentation fault\n{\"name\":\"no time\"}\n[1,2]\n\n"
        + line("20.000000", "a", LogEvent::StatementServed, R"("request":"r1","server":"s-1","attempt":1)") + "{\"ti");
    explainer.read(in);
    BOOST_TEST(explainer.records() == 1U);
    BOOST_TEST(explainer.unreadable() == 4U);
    BOOST_TEST(explainer.explain("r1").answered);
}

// The logs of several hosts may be concatenated in one file; only lines of one host keep their order against the time.
BOOST_AUTO_TEST_CASE(hosts_may_share_a_file)
{
    const std::string log = line("40.000000", "a", LogEvent::Stopped, "")
        + line(
            "20.000000", "b", LogEvent::StatementServed, R"("request":"r1","service":"s","server":"s-1","attempt":1)")
        + line("39.000000", "c", LogEvent::FailoverStep, R"("service":"s","server":"s-1","step":"promote")");
    BOOST_TEST(explain({ log }, "r1").relatedEvents.empty());
}

// Lines of one host keep their order even if its clock is set back.
BOOST_AUTO_TEST_CASE(order_of_a_host_is_kept)
{
    const std::string log = line("20.000000", "a", LogEvent::StatementMoved, R"("request":"r1","attempt":1)")
        + line("19.000000", "a", LogEvent::StatementServed, R"("request":"r1","attempt":2)");
    const RequestExplanation explanation = explain({ log }, "r1");
    BOOST_REQUIRE_EQUAL(explanation.path.size(), 2U);
    BOOST_TEST((explanation.path[1].event == LogEvent::StatementServed));
    BOOST_TEST(explanation.gaps.empty());
}

// Each id finds its own line only: as JSON in the log shows it, as a reader of JSON returns it, and as the caller sent
// it.
BOOST_AUTO_TEST_CASE(odd_ids_find_their_own_lines)
{
    test::OddTexts texts(5);
    std::set<std::string> ids { "r1", "\xff", "\xfe", "?", "\\xff", "\\x5cxff", "a\nb", "a\\nb", "a\\", "\"a", "-" };
    while (ids.size() < 400)
        ids.insert(texts.field());
    std::string log = line("20.000000", "a", LogEvent::Stopped, "") + line("20.000000", "a", LogEvent::BadRequest, "");
    std::vector<std::string> lines;
    for (const std::string& id : ids) {
        lines.push_back(logEventLine(LogEvent::StatementServed, { { "request", id }, { "n", lines.size() } },
            "2026-12-04T10:00:21.000000Z", "a", "json"));
        log += lines.back() + '\n';
    }
    LogExplainer explainer;
    std::istringstream in(log);
    explainer.read(in);
    BOOST_TEST(explainer.unreadable() == 0U);
    const auto findsOnly = [&explainer](std::string_view argument, size_t n) {
        const RequestExplanation found = explainer.explain(argument);
        return found.path.size() == 1 && found.path[0].number("n") == static_cast<int64_t>(n);
    };
    size_t n = 0;
    for (const std::string& id : ids) {
        const size_t begin = lines[n].find("\"request\":") + sizeof("\"request\":") - 1;
        const std::string shown = lines[n].substr(begin, lines[n].rfind(",\"n\":") - begin);
        const std::string value = web::json::value::parse(shown).as_string();
        const bool quoted = id.front() == '"'; // Such an argument is read as JSON where it can be.
        BOOST_TEST(findsOnly(shown, n), "as in the log: " << test::printable(shown));
        BOOST_TEST((quoted || findsOnly(value, n)), "as read from JSON: " << test::printable(value));
        BOOST_TEST((quoted || value != id || findsOnly(id, n)), "as sent: " << test::printable(id));
        ++n;
    }
    BOOST_TEST(explainer.explain("").path.empty());
}

// A text in a log shows neither as a line of its own nor as a command to the terminal.
BOOST_AUTO_TEST_CASE(odd_texts_are_printed_in_their_line)
{
    test::OddTexts texts(6);
    for (int i = 0; i < 300; ++i) {
        const std::string id = "r" + texts.field();
        const std::string host = texts.lastField() + "\nmissing";
        const std::string log
            = logEventLine(LogEvent::LinesDropped, { { "lines", 2 } }, "2026-12-04T10:00:20Z", host, "json") + '\n'
            + logEventLine(LogEvent::StatementRefused,
                { { "request", id }, { "reason", texts.lastField() }, { "code", "\x1b[" + texts.lastField() } },
                "2026-12-04T10:00:20Z", host, "json");
        std::ostringstream out;
        printExplanation(out, id, explain({ log }, id));
        const std::string text = out.str();
        BOOST_TEST(std::none_of(text.begin(), text.end(),
                       [](unsigned char c) { return (c < ' ' && c != '\n') || c == 0x7f || c == 0xff || c == 0xfe; }),
            "a control byte in " << test::printable(text));
        // Request, line, outcome, its meaning, code, reason, heading, related line, heading, gap.
        BOOST_TEST(std::count(text.begin(), text.end(), '\n') == 10, test::printable(text));
    }
}

// Lines that the version before wrote: "?" for bytes that are no UTF-8, and such bytes where its check let them pass.
BOOST_AUTO_TEST_CASE(lines_of_the_version_before_are_read)
{
    const std::string log = line("20.000000", "a", LogEvent::StatementServed, R"("request":"r??","n":1)")
        + line("20.000000", "a", LogEvent::StatementServed, "\"request\":\"r\xc0\x80\x7f\",\"n\":2")
        + line("20.000000", "a", LogEvent::StatementServed, R"("request":"r\u0000\n","n":3)")
        + line("20.000000", "a", LogEvent::StatementServed, R"("request":"r\\xff","n":4)");
    const std::pair<std::string, int> cases[] = { { "r??", 1 }, { "r\xc0\x80\x7f", 2 }, { R"("r\u0000\n")", 3 },
        { std::string("r\0\n", 3), 3 }, { R"("r\\xff")", 4 }, { R"(r\xff)", 4 } };
    for (const std::pair<std::string, int>& it : cases) {
        const RequestExplanation found = explain({ log }, it.first);
        BOOST_REQUIRE_EQUAL(found.path.size(), 1U);
        BOOST_TEST(found.path[0].number("n") == it.second);
    }
}

// A line that no reader of JSON accepts does not end the reading, and a log may end without a line end.
BOOST_AUTO_TEST_CASE(unreadable_lines_do_not_hide_others)
{
    const std::string served = line("20.000000", "a", LogEvent::StatementServed, R"("request":"r1","n":1)");
    LogExplainer explainer;
    std::istringstream in(line("19.000000", "a", LogEvent::Stopped, R"("reason":"\ud800\u0041")")
        + line("20.000000", "a", LogEvent::StatementServed, "\"request\":\"r1\",\"n\":\"\xff\"")
        + served.substr(0, served.size() - 1));
    explainer.read(in);
    BOOST_TEST(explainer.unreadable() == 2U);
    BOOST_TEST(explainer.explain("r1").path.size() == 1U);
    BOOST_TEST(explainer.explain(R"("\ud800\u0041")").path.empty());
}

// Guards against a verdict on a byte that depends on the signedness of char, as that of the JSON library's parser does.
BOOST_AUTO_TEST_CASE(bytes_of_no_character_have_one_verdict)
{
    for (int byte = 0x80; byte <= 0xff; ++byte) {
        const std::string request = std::string("\"request\":\"r1\",\"n\":\"") + static_cast<char>(byte) + '"';
        LogExplainer explainer;
        std::istringstream in(line("20.000000", "a", LogEvent::StatementServed, request));
        explainer.read(in);
        BOOST_TEST(explainer.unreadable() == (byte == 0xff ? 1U : 0U), "byte " << byte);
        BOOST_TEST(explainer.explain("r1").path.size() == (byte == 0xff ? 0U : 1U), "byte " << byte);
    }
}

// A process that was killed within a line leaves it without an end; the next process starts its first line there.
BOOST_AUTO_TEST_CASE(line_after_a_cut_line_is_read)
{
    const std::string served = line("20.000000", "a", LogEvent::StatementServed, R"("request":"{\"time\":\"\\","n":1)");
    for (size_t n = 1; n < served.size() - 2; ++n) {
        LogExplainer explainer;
        std::istringstream in(std::string(served).insert(0, served, 0, n) + served);
        explainer.read(in);
        BOOST_TEST(explainer.records() == 2U, "cut after " << n << " bytes");
        BOOST_TEST(explainer.unreadable() == 1U, "cut after " << n << " bytes");
        BOOST_TEST(explainer.explain(R"({"time":"\)").path.size() == 2U, "cut after " << n << " bytes");
    }
}

// Callers choose ids, so several sessions may use one: no outcome of one hides that of another.
BOOST_AUTO_TEST_CASE(sessions_with_one_id_are_told_apart)
{
    const std::string refused = line("20.000000", "a", LogEvent::StatementRefused,
        R"("request":"r1","session":7,"code":"queue_full","reason":"first")");
    const std::string served
        = line("20.100000", "a", LogEvent::StatementServed, R"("request":"r1","session":8,"attempt":1)");
    const std::string otherHost
        = line("20.200000", "b", LogEvent::StatementMoved, R"("request":"r1","session":7,"attempt":1)");
    const RequestExplanation both = explain({ refused + served }, "r1");
    BOOST_TEST(both.answered);
    BOOST_TEST(both.gaps.empty());
    const std::string text = printed(both);
    BOOST_TEST(text.find("2 sessions used this id") != std::string::npos);
    BOOST_TEST(text.find("a session 7\n  " + std::string(logEventInfo(LogEvent::StatementRefused).meaning))
        != std::string::npos);
    BOOST_TEST(text.find("reason: first") != std::string::npos);
    BOOST_TEST(text.find("a session 8\n  " + std::string(logEventInfo(LogEvent::StatementServed).meaning))
        != std::string::npos);
    const RequestExplanation withoutAnswer = explain({ served, otherHost }, "r1");
    BOOST_TEST(!withoutAnswer.answered);
    BOOST_TEST(withoutAnswer.gaps.size() == 1U);
    BOOST_TEST(printed(withoutAnswer).find("a session 8") != std::string::npos);
    // A line that names no session belongs to the one that is named.
    const std::string unconfirmed
        = line("20.050000", "a", LogEvent::CommitNotConfirmed, R"("request":"r1","server":"s-1")");
    const RequestExplanation one = explain({ unconfirmed + served }, "r1");
    BOOST_TEST(one.answered);
    BOOST_TEST(printed(one).find("sessions used") == std::string::npos);
}

#include "line_codec.h"
#include <boost/test/unit_test.hpp>

using namespace plantainwall;
using namespace plantainwall::platform;

BOOST_AUTO_TEST_CASE(statements_are_decoded_and_kept_unchanged)
{
    const CallerMessage write = decodeMessage("QUERY 5c0e WRITE 1a4 some data  with blanks");
    BOOST_TEST((write.kind == CallerMessageKind::Statement));
    BOOST_TEST((write.statement.kind == StatementKind::Write));
    BOOST_TEST(write.statement.id == "5c0e");
    BOOST_TEST(write.statement.text == "WRITE 1a4 some data  with blanks");
    const CallerMessage prepare = decodeMessage("QUERY 1 PREPARE s1 WRITE q2c");
    BOOST_TEST((prepare.statement.kind == StatementKind::Prepare));
    BOOST_TEST(prepare.statement.writes);
    BOOST_TEST(prepare.statement.argument == "q2c");
    BOOST_TEST((decodeMessage("QUERY 1 BEGIN READ").statement.kind == StatementKind::BeginReadOnly));
    BOOST_TEST((decodeMessage("QUERY 1 COMMIT").statement.kind == StatementKind::Commit));
    const CallerMessage open = decodeMessage("STARTUP lepu270 u3f1");
    BOOST_TEST((open.kind == CallerMessageKind::OpenSession));
    BOOST_TEST(open.database == "lepu270");
    BOOST_TEST(open.key == "u3f1");
    BOOST_TEST((decodeMessage("TERMINATE").kind == CallerMessageKind::EndSession));
}

// A message ends with CR LF only, so that every other byte is a part of a field.
BOOST_AUTO_TEST_CASE(text_with_control_bytes_is_kept_unchanged)
{
    for (const std::string text : { "a\nQUERY 2 READ b", "a\r", "\n\ra", "\t", "\x01\x7f", "\xff\xfe" }) {
        const CallerMessage read = decodeMessage("QUERY 1" + text.substr(0, 1) + " READ " + text);
        BOOST_TEST(read.statement.id == "1" + text.substr(0, 1));
        BOOST_TEST((read.statement.kind == StatementKind::Read));
        BOOST_TEST(read.statement.text == "READ " + text);
        BOOST_TEST(decodeMessage("QUERY 1 SET v " + text).statement.argument == text);
        BOOST_TEST(decodeMessage("STARTUP db " + text).key == text);
    }
}

// A blank after a field says that another one follows, which may be empty.
BOOST_AUTO_TEST_CASE(last_field_may_be_empty)
{
    BOOST_TEST((decodeMessage("QUERY 1 READ ").statement.kind == StatementKind::Read));
    BOOST_TEST(decodeMessage("QUERY 1 READ ").statement.text == "READ ");
    BOOST_TEST((decodeMessage("QUERY 1 SET v ").statement.kind == StatementKind::SetValue));
    BOOST_TEST((decodeMessage("QUERY 1 PREPARE s1 READ ").statement.kind == StatementKind::Prepare));
    BOOST_TEST((decodeMessage("QUERY 1 EXECUTE s1 ").statement.kind == StatementKind::Execute));
    BOOST_TEST((decodeMessage("STARTUP db").kind == CallerMessageKind::OpenSession));
}

BOOST_AUTO_TEST_CASE(bad_input_is_malformed)
{
    for (const char* line : { "", "STARTUP", "QUERY", "HELLO x", "QUERY  READ a", "\x7f", "TERMINATE now",
             "QUERY - READ a", "QUERY - ROLLBACK", "READY\n" })
        BOOST_TEST((decodeMessage(line).kind == CallerMessageKind::Malformed), line);
    for (const char* line : { "QUERY 1 PREPARE s1 MAYBE q", "QUERY 1 PREPARE s1 READ", "QUERY 1 COMMIT now",
             "QUERY 1 READ", "QUERY 1 BEGIN WRITE", "QUERY 1 AFTERLSN 1.2 READ a", "QUERY 1 STATUS", "QUERY 1 PAUSE 9",
             "QUERY 1 SET", "QUERY 1 BEGIN ", "QUERY 1 COMMIT ", "QUERY 1  READ a", "QUERY 1 PREPARE s1",
             "QUERY 1 EXECUTE s1", "QUERY 1 DEALLOC ", "QUERY 1 SET v", "QUERY 1 READ\na" })
        BOOST_TEST((decodeMessage(line).statement.kind == StatementKind::Malformed), line);
}

BOOST_AUTO_TEST_CASE(answers_are_encoded)
{
    StatementAnswer answer;
    answer.rows = { "row one" };
    answer.signature = "7.1f3.c";
    answer.position = { 3, 1209 };
    BOOST_TEST(encodeAnswer(answer) == "DATAROW row one\r\nCOMPLETE 7.1f3.c\r\nREADY I 3.1209\r\n");
    BOOST_TEST(encodeAnswer({}) == "COMPLETE -\r\nREADY I -\r\n");
    StatementAnswer error;
    error.code = ResultCode::RateExceeded;
    error.detail = "used up";
    error.retryAfter = std::chrono::milliseconds(500);
    error.state = TransactionState::Failed;
    BOOST_TEST(encodeAnswer(error) == "ERROR BUSY retry after 500 ms: used up\r\nREADY E -\r\n");
}

// Guards against an error word that promises that a statement was not run, although its result code leaves that open.
BOOST_AUTO_TEST_CASE(error_words_match_the_run_state)
{
    const std::string_view notRunWords[] = { "BUSY", "ABORTED", "LAGGING", "CONNLIMIT" };
    for (size_t i = 0; i < static_cast<size_t>(ResultCode::Count); ++i) {
        StatementAnswer answer;
        answer.code = static_cast<ResultCode>(i);
        if (resultCodeInfo(answer.code).runState != RunState::Unknown)
            continue;
        const std::string text = encodeAnswer(answer);
        for (const std::string_view word : notRunWords)
            BOOST_TEST(text.find("ERROR " + std::string(word)) == std::string::npos, text);
    }
}

BOOST_AUTO_TEST_CASE(replies_are_collected)
{
    ReplyDecoder decoder;
    BOOST_TEST((decoder.feed("DATAROW qhz") == ReplyDecoder::Result::Incomplete));
    BOOST_TEST((decoder.feed("COMPLETE 7.1f3") == ReplyDecoder::Result::Incomplete));
    BOOST_TEST((decoder.feed("READY I 3.1209") == ReplyDecoder::Result::Complete));
    const BackendReply reply = decoder.take();
    BOOST_TEST(reply.signature == "7.1f3");
    BOOST_TEST(reply.rows.size() == 1U);
    BOOST_TEST((reply.position == LogPosition { 3, 1209 }));
    BOOST_TEST((decoder.feed("ERROR READONLY i-7f3a") == ReplyDecoder::Result::Incomplete));
    BOOST_TEST((decoder.feed("READY E 3.1") == ReplyDecoder::Result::Complete));
    const BackendReply error = decoder.take();
    BOOST_TEST((error.error == BackendError::ReadOnly));
    BOOST_TEST((error.state == TransactionState::Failed));
    // Such a line alone only repeats the answer to the startup line. It ends no reply that has begun.
    BOOST_TEST((decoder.feed("READY I 1.1") == ReplyDecoder::Result::Startup));
    BOOST_TEST((decoder.feed("DATAROW qhz") == ReplyDecoder::Result::Incomplete));
    BOOST_TEST((decoder.feed("READY I 1.1") == ReplyDecoder::Result::Invalid));
    BOOST_TEST((ReplyDecoder().feed("NONSENSE") == ReplyDecoder::Result::Invalid));
}

BOOST_AUTO_TEST_CASE(status_row_is_decoded)
{
    BackendReply reply;
    reply.rows = { "replica 3 3.1209 4 12 2 17" };
    const std::optional<ServerStatus> status = decodeStatus(reply);
    BOOST_REQUIRE(status.has_value());
    BOOST_TEST(!status->primary);
    BOOST_TEST(status->term == 3U);
    BOOST_TEST((status->received == LogPosition { 3, 1209 }));
    BOOST_TEST(status->stoppedAtTerm == 4U);
    BOOST_TEST(status->connections == 17U);
    reply.rows = { "replica x" };
    BOOST_TEST(!decodeStatus(reply).has_value());
}

BOOST_AUTO_TEST_CASE(commands_are_encoded)
{
    BackendCommand command;
    command.id = "5c0e";
    command.text = "READ 1a4";
    command.after = LogPosition { 3, 1207 };
    BOOST_TEST(encodeCommand(command).value() == "QUERY 5c0e AFTERLSN 3.1207 READ 1a4\r\n");
    command = {};
    command.kind = BackendCommandKind::StopReceiving;
    command.term = 4;
    BOOST_TEST(encodeCommand(command).value() == "QUERY - PAUSE 4\r\n");
    BOOST_TEST(encodeStartup("huvo11a", "tenant", "i-7").value() == "STARTUP huvo11a tenant i-7\r\n");
    BOOST_TEST(encodeStartup("huvo11a", "", "i-7").value() == "STARTUP huvo11a - i-7\r\n");
}

// A name or a customer with a blank would be read as two fields, and the customer "-" as none.
BOOST_AUTO_TEST_CASE(text_that_does_not_read_back_is_not_sent)
{
    BOOST_TEST(!encodeStartup("a b", "tenant", "i-7").has_value());
    BOOST_TEST(!encodeStartup("", "tenant", "i-7").has_value());
    BOOST_TEST(!encodeStartup("a", "b c", "i-7").has_value());
    BOOST_TEST(!encodeStartup("a", "-", "i-7").has_value());
    BOOST_TEST(!encodeStartup("a", "b", "i\r\n7").has_value());
    BOOST_TEST(encodeStartup("a", "b\n", "i 7\r").value() == "STARTUP a b\n i 7\r\r\n");
    BackendCommand command;
    command.id = "1";
    command.text = "READ a\r\nQUERY 2 READ b";
    BOOST_TEST(!encodeCommand(command).has_value());
    BOOST_TEST(!isEncodable(command));
    command = {};
    command.kind = BackendCommandKind::Prepare;
    command.name = "r_q1 READ kb";
    command.argument = "q";
    BOOST_TEST(!isEncodable(command));
    StatementAnswer answer;
    answer.signature = "s";
    answer.rows = { "a\r\nCOMPLETE t" };
    BOOST_TEST(encodeAnswer(answer).rfind("ERROR FAILED ", 0) == 0U);
    answer.code = ResultCode::RateExceeded;
    answer.detail = "rate of x\r\nREADY I - is used up";
    BOOST_TEST(encodeAnswer(answer) == "ERROR BUSY rate of x\r\nREADY I -\r\n");
}

BOOST_AUTO_TEST_CASE(longest_message_is_sent_and_a_longer_one_is_not)
{
    BackendCommand command;
    command.id = "1";
    command.text = "READ " + std::string(maxMessageBytes - std::string("QUERY 1 READ ").size(), 'a');
    BOOST_TEST(isEncodable(command));
    BOOST_TEST((encodeCommand(command).value().size() == maxMessageBytes + 2));
    command.after = LogPosition { 1, 1 };
    BOOST_TEST(!isEncodable(command));
    command.after.reset();
    command.text += 'a';
    BOOST_TEST(!isEncodable(command));
}

// A server that answers runs: it is busy, not down.
BOOST_AUTO_TEST_CASE(error_of_a_running_server_at_startup_is_no_refusal)
{
    for (const char* const line : { "ERROR BUSY", "ERROR FAILED", "ERROR TIMEOUT", "ERROR SOMETHING" }) {
        bool accepted = true;
        const std::optional<BackendCloseReason> reason = decodeStartupAnswer(line, accepted);
        BOOST_REQUIRE(reason.has_value());
        BOOST_TEST((*reason != BackendCloseReason::Refused), line);
    }
}

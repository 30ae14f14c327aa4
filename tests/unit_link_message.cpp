#include "link_message.h"
#include "support_odd_texts.h"
#include <boost/test/unit_test.hpp>
#include <cpprest/json.h>
#include <sys/resource.h>

using namespace plantainwall;
using plantainwall::test::OddTexts;
using plantainwall::test::printable;

namespace {

/// Makes texts of any bytes, and odd ones that the wire allows.
class LinkTexts {
public:
    explicit LinkTexts(uint64_t seed)
        : m_random(seed)
        , m_odd(seed)
    {
    }

    std::string any()
    {
        std::string text;
        if (m_random() % 2 == 0)
            text = m_odd.lastField();
        for (size_t n = m_random() % 24; n > 0; --n)
            text += static_cast<char>(m_random());
        return text;
    }

    uint64_t number(uint64_t end) { return m_random() % end; }

private:
    std::mt19937_64 m_random;
    OddTexts m_odd;
};

std::string allBytes()
{
    std::string text;
    for (int c = 0; c < 256; ++c)
        text += static_cast<char>(c);
    return text;
}

LinkMessage open(const std::string& server, const std::string& customer)
{
    LinkMessage message;
    message.kind = LinkMessageKind::Open;
    message.link = 7;
    message.server = server;
    message.customer = customer;
    return message;
}

LinkMessage commandOf(const std::string& id, const std::string& text)
{
    LinkMessage message;
    message.kind = LinkMessageKind::Command;
    message.command.id = id;
    message.command.text = text;
    return message;
}

LinkMessage replyOf(std::vector<std::string> rows)
{
    LinkMessage message;
    message.kind = LinkMessageKind::Reply;
    message.reply.rows = std::move(rows);
    return message;
}

/// Returns the message as the other host reads it. A line that cannot be read fails the test.
LinkMessage passed(const LinkMessage& message)
{
    const std::string line = encodeLinkMessage(message, LinkFormat::AnyTexts).value();
    BOOST_TEST((line.find('\n') == std::string::npos));
    try {
        return decodeLinkMessage(line);
    } catch (const std::exception& error) {
        BOOST_ERROR("cannot be read: " << error.what() << ": " << printable(line));
        return {};
    }
}

void checkSame(const std::string& got, const std::string& sent)
{
    BOOST_CHECK_MESSAGE(got == sent, printable(got) << " in place of " << printable(sent));
}

void checkCommand(const BackendCommand& command)
{
    LinkMessage message;
    message.kind = LinkMessageKind::Command;
    message.command = command;
    const BackendCommand got = passed(message).command;
    checkSame(got.id, command.id);
    checkSame(got.text, command.text);
    checkSame(got.name, command.name);
    checkSame(got.argument, command.argument);
    BOOST_TEST((got.kind == command.kind));
    BOOST_TEST(got.writes == command.writes);
    BOOST_TEST(got.term == command.term);
    BOOST_TEST((got.after == command.after));
}

void checkReply(const BackendReply& reply)
{
    LinkMessage message;
    message.kind = LinkMessageKind::Reply;
    message.reply = reply;
    const BackendReply got = passed(message).reply;
    BOOST_TEST((got.error == reply.error));
    checkSame(got.signature, reply.signature);
    checkSame(got.detail, reply.detail);
    BOOST_TEST((got.state == reply.state));
    BOOST_TEST((got.position == reply.position));
    BOOST_TEST(got.lookalikes == reply.lookalikes);
    BOOST_REQUIRE(got.rows.size() == reply.rows.size());
    for (size_t i = 0; i < got.rows.size(); ++i)
        checkSame(got.rows[i], reply.rows[i]);
}

} // namespace

// Servers and callers may send any byte.
BOOST_AUTO_TEST_CASE(each_byte_passes_alone_and_with_others)
{
    for (int c = 0; c < 256; ++c) {
        const std::string text(1, static_cast<char>(c));
        const std::string statement = std::string("WRITE a ").append(2, static_cast<char>(c));
        checkSame(passed(commandOf(text, statement)).command.text, statement);
        checkSame(passed(open(text, "k" + text)).customer, "k" + text);
    }
    checkSame(passed(replyOf({ allBytes() })).reply.rows.at(0), allBytes());
}

BOOST_AUTO_TEST_CASE(any_texts_pass_in_every_field)
{
    for (uint64_t seed = 1; seed <= 2000; ++seed) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            LinkTexts texts(seed);
            BackendCommand command;
            command.kind
                = static_cast<BackendCommandKind>(texts.number(static_cast<uint64_t>(BackendCommandKind::Count)));
            command.id = texts.any();
            command.text = texts.any();
            command.name = texts.any();
            command.argument = texts.any();
            command.writes = texts.number(2) == 0;
            command.term = texts.number(99);
            if (texts.number(2) == 0)
                command.after = LogPosition { texts.number(9), texts.number(9999) };
            checkCommand(command);
            BackendReply reply;
            reply.error = static_cast<BackendError>(texts.number(static_cast<uint64_t>(BackendError::Count)));
            reply.signature = texts.any();
            if (reply.error != BackendError::None)
                reply.detail = texts.any();
            else
                reply.lookalikes = static_cast<unsigned>(texts.number(3));
            reply.position = { texts.number(9), texts.number(9999) };
            for (size_t n = texts.number(4); n > 0; --n)
                reply.rows.push_back(texts.any());
            checkReply(reply);
            const LinkMessage opening = open(texts.any(), texts.any());
            const LinkMessage got = passed(opening);
            checkSame(got.server, opening.server);
            checkSame(got.customer, opening.customer);
        }
    }
}

// Rolling restart: a host that reads strings only gets what it reads, and nothing else.
BOOST_AUTO_TEST_CASE(hosts_that_read_strings_get_strings)
{
    size_t n = 0;
    for (uint64_t seed = 1; seed <= 2000; ++seed) {
        LinkTexts texts(seed);
        const LinkMessage message = commandOf(texts.any(), texts.any());
        const std::optional<std::string> line = encodeLinkMessage(message, LinkFormat::Strings);
        const bool readable = (message.command.id + message.command.text).find('\xff') == std::string::npos;
        BOOST_TEST(line.has_value() == readable);
        if (!line)
            continue;
        ++n;
        const web::json::value fields = web::json::value::parse(*line);
        checkSame(fields.at(3).as_string(), message.command.id);
        checkSame(fields.at(4).as_string(), message.command.text);
    }
    BOOST_TEST(n > 1000U);
    const LinkMessage large = commandOf("1", std::string(1024 * 1024, '\x01'));
    BOOST_TEST(!encodeLinkMessage(large, LinkFormat::Strings).has_value());
    BOOST_TEST(encodeLinkMessage(large, LinkFormat::AnyTexts).has_value());
}

// The same: what such a host sends is read.
BOOST_AUTO_TEST_CASE(strings_of_the_json_library_are_read)
{
    for (uint64_t seed = 1; seed <= 2000; ++seed) {
        LinkTexts texts(seed);
        const std::string text = texts.any();
        if (text.find('\xff') != std::string::npos)
            continue;
        using web::json::value;
        const std::string line
            = value::array({ value::string("o"), value::number(7), value::string(text), value::string("k" + text) })
                  .serialize();
        const LinkMessage got = decodeLinkMessage(line);
        checkSame(got.server, text);
        checkSame(got.customer, "k" + text);
    }
}

BOOST_AUTO_TEST_CASE(malformed_escape_sequences_are_rejected)
{
    for (const char* text : { R"([])", R"(["a","b"])", R"([1])", R"([["a"]])", R"(["~"])", R"(["~~"])", R"(["a~z"])" })
        BOOST_CHECK_THROW(decodeLinkMessage(std::string(R"(["o",7,"p",)") + text + "]"), std::exception);
    checkSame(decodeLinkMessage(R"(["o",7,"p",["~f~t~q~b~0a"]])").customer, std::string("\xff~\"\\\0a", 6));
}

// Load pattern: lines of a malicious host that hold a value in every few bytes.
BOOST_AUTO_TEST_CASE(lines_of_many_values_are_rejected_before_they_take_memory)
{
    constexpr size_t limitKilobytes = 64 * 1024;
    for (const std::string value : { ",[]", ",0", ",{}", "[", "{\"\":" }) {
        std::string line = R"(["r",7)";
        line.reserve(maxLineToBorrower);
        while (line.size() + value.size() < maxLineToBorrower)
            line += value;
        line += ']';
        rusage before {};
        rusage after {};
        BOOST_REQUIRE(getrusage(RUSAGE_SELF, &before) == 0);
        BOOST_CHECK_THROW(decodeLinkMessage(line), std::exception);
        BOOST_REQUIRE(getrusage(RUSAGE_SELF, &after) == 0);
        BOOST_TEST(after.ru_maxrss - before.ru_maxrss < static_cast<long>(limitKilobytes));
    }
}

BOOST_AUTO_TEST_CASE(malformed_marks_are_rejected)
{
    for (const char* mark : { "lookalikes ", "lookalikes 0", "lookalikes x", "lookalikes -1", "lookalikes 1 ",
             "lookalikes  1", "lookalikes +1", "lookalikes 4294967296" }) {
        const std::string line = std::string(R"(["r",7,0,"",")") + mark + R"(",1,3,9])";
        BOOST_CHECK_THROW(decodeLinkMessage(line), std::exception);
    }
}

// The announcement is a Close of no connection, and a field that was not sent before.
BOOST_AUTO_TEST_CASE(the_format_is_announced_in_fields_that_were_not_read)
{
    LinkMessage first;
    first.kind = LinkMessageKind::Close;
    first.format = LinkFormat::AnyTexts;
    BOOST_TEST(encodeLinkMessage(first, LinkFormat::Strings).value() == R"(["e",0,1])");
    LinkMessage accepted;
    accepted.kind = LinkMessageKind::Accepted;
    accepted.link = 7;
    BOOST_TEST(encodeLinkMessage(accepted, LinkFormat::Strings).value() == R"(["t",7])");
    accepted.format = LinkFormat::AnyTexts;
    BOOST_TEST(encodeLinkMessage(accepted, LinkFormat::Strings).value() == R"(["t",7,1])");
    BOOST_TEST((decodeLinkMessage(R"(["t",7])").format == LinkFormat::Strings));
    BOOST_TEST((decodeLinkMessage(R"(["t",7,1])").format == LinkFormat::AnyTexts));
    BOOST_TEST((decodeLinkMessage(R"(["t",7,9])").format == LinkFormat::AnyTexts)); // Of a later version.
}

#include "line_socket.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>

using namespace plantainwall;
using boost::asio::ip::tcp;

namespace {

constexpr size_t maxLine = 40;

/// What a socket made of the segments that were sent to it.
struct Received {
    std::vector<std::string> lines;
    std::optional<bool> tooLong; ///< Set once it has reported its end.
};

/// Sends the segments one by one; each is read before the next one is sent.
Received receive(LineEnd lineEnd, const std::vector<std::string>& segments)
{
    boost::asio::io_context loop;
    tcp::acceptor acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    tcp::socket sender(loop);
    sender.connect(acceptor.local_endpoint());
    sender.set_option(tcp::no_delay(true));
    const std::shared_ptr<LineSocket> reader = std::make_shared<LineSocket>(acceptor.accept(), lineEnd, maxLine);
    Received result;
    LineSocket::Handlers handlers;
    handlers.line = [&](std::string_view line) {
        result.lines.emplace_back(line);
        return true;
    };
    handlers.closed = [&](bool tooLong) { result.tooLong = tooLong; };
    reader->start(std::move(handlers));
    for (const std::string& segment : segments) {
        boost::asio::write(sender, boost::asio::buffer(segment));
        for (int i = 0; i < 5; ++i) {
            loop.restart();
            loop.run_one_for(std::chrono::milliseconds(1));
        }
    }
    reader->close();
    return result;
}

/// Sends a text in each way to cut it into two segments, and expects these lines.
void checkEachCut(LineEnd lineEnd, const std::string& text, const std::vector<std::string>& expected)
{
    for (size_t cut = 1; cut < text.size(); ++cut) {
        const Received received = receive(lineEnd, { text.substr(0, cut), text.substr(cut) });
        BOOST_TEST_CONTEXT("cut at " << cut)
        BOOST_TEST(received.lines == expected, boost::test_tools::per_element());
        BOOST_TEST(!received.tooLong.has_value());
    }
}

} // namespace

BOOST_AUTO_TEST_CASE(text_with_line_feed_is_one_line_however_it_is_cut)
{
    checkEachCut(LineEnd::CrLf, "SET v ip\nQUERY 2 READ x\r\nnext\r\n", { "SET v ip\nQUERY 2 READ x", "next" });
    checkEachCut(LineEnd::CrLf, "\r\r\n\n\r\r\n\r\n", { "\r", "\n\r", "" });
}

BOOST_AUTO_TEST_CASE(line_between_hosts_ends_with_line_feed)
{
    checkEachCut(LineEnd::Lf, "one\r\ntwo\n\n", { "one\r", "two", "" });
}

BOOST_AUTO_TEST_CASE(longest_line_is_handled_however_it_is_cut)
{
    const std::string longest(maxLine, 'a');
    checkEachCut(LineEnd::CrLf, "b\r\n" + longest + "\r\n", { "b", longest });
    checkEachCut(LineEnd::Lf, "b\n" + longest + "\n", { "b", longest });
}

BOOST_AUTO_TEST_CASE(longer_line_is_refused_however_it_is_cut)
{
    for (const LineEnd lineEnd : { LineEnd::CrLf, LineEnd::Lf }) {
        const std::string end = lineEnd == LineEnd::CrLf ? "\r\n" : "\n";
        std::string text = "b" + end;
        text.append(maxLine + 1, 'a').append(end).append("c").append(end);
        for (size_t cut = 1; cut < text.size(); ++cut) {
            const Received received = receive(lineEnd, { text.substr(0, cut), text.substr(cut) });
            BOOST_TEST(received.lines == std::vector<std::string> { "b" }, boost::test_tools::per_element());
            BOOST_TEST((received.tooLong == true), "cut at " << cut);
        }
    }
}

#include "store_client.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>
#include <cpprest/json.h>
#include <deque>
#include <map>

using namespace plantainwall;
using namespace plantainwall::platform;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

/// HTTP server on the loopback interface that sends prepared answers. A request without one is not answered.
class ScriptedServer {
public:
    explicit ScriptedServer(boost::asio::io_context& loop)
        : m_acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
        accept();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

    /// Adds an answer. headers are complete lines.
    void prepare(unsigned status, const std::string& headers, const std::string& body)
    {
        m_answers.push_back("HTTP/1.1 " + std::to_string(status) + " x\r\n" + headers
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    /// Adds an answer with status 200 that is sent in pieces, one after each interval.
    /// @param complete Whether the last piece ends the answer; otherwise nothing follows it.
    void prepareSlow(const std::string& body, size_t pieces, std::chrono::milliseconds interval, bool complete = true)
    {
        prepare(200, "", body);
        SlowAnswer slow;
        slow.pieceBytes = m_answers.back().size() / pieces + 1;
        slow.interval = interval;
        slow.complete = complete;
        m_slowAnswers[m_answers.back()] = slow;
    }

    size_t requests = 0;
    size_t connections = 0;
    size_t closedConnections = 0; ///< By the client.
    std::string lastBody; ///< Body of the last request.

private:
    struct Connection {
        explicit Connection(tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        tcp::socket socket;
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> request;
        std::string answer;
        size_t sent = 0; ///< Bytes of a slow answer.
    };

    struct SlowAnswer {
        size_t pieceBytes = 0;
        std::chrono::milliseconds interval { 0 };
        bool complete = true;
    };

    void sendPiece(const std::shared_ptr<Connection>& it, const SlowAnswer& slow)
    {
        const size_t rest = it->answer.size() - it->sent;
        if (rest == 0) {
            read(it);
            return;
        }
        if (rest <= slow.pieceBytes && !slow.complete) {
            read(it); // Ends when the client closes the connection.
            return;
        }
        const boost::asio::const_buffer piece(it->answer.data() + it->sent, std::min(rest, slow.pieceBytes));
        it->sent += piece.size();
        boost::asio::async_write(it->socket, piece, [this, it, slow](const boost::system::error_code& ec, size_t) {
            if (ec)
                return;
            const auto timer = std::make_shared<boost::asio::steady_timer>(it->socket.get_executor(), slow.interval);
            timer->async_wait([this, it, slow, timer](const boost::system::error_code&) { sendPiece(it, slow); });
        });
    }

    void accept()
    {
        m_acceptor.async_accept([this](const boost::system::error_code& ec, tcp::socket socket) {
            if (ec)
                return;
            ++connections;
            read(std::make_shared<Connection>(std::move(socket)));
            accept();
        });
    }

    void read(const std::shared_ptr<Connection>& it)
    {
        it->request = {};
        http::async_read(it->socket, it->buffer, it->request, [this, it](const boost::system::error_code& ec, size_t) {
            if (ec) {
                ++closedConnections;
                return;
            }
            ++requests;
            lastBody = it->request.body();
            if (m_answers.empty()) {
                read(it);
                return;
            }
            it->answer = m_answers.front();
            m_answers.pop_front();
            it->sent = 0;
            const auto slow = m_slowAnswers.find(it->answer);
            if (slow != m_slowAnswers.end()) {
                sendPiece(it, slow->second);
                return;
            }
            boost::asio::async_write(it->socket, boost::asio::buffer(it->answer),
                [this, it](const boost::system::error_code&, size_t) { read(it); });
        });
    }

    tcp::acceptor m_acceptor;
    std::deque<std::string> m_answers;
    std::map<std::string, SlowAnswer> m_slowAnswers; ///< By answer.
};

struct Fixture {
    /// Runs the loop until the condition holds. Returns false if it does not within the limit.
    template <typename Condition>
    bool runUntil(Condition condition, std::chrono::seconds limit = std::chrono::seconds(1))
    {
        const std::chrono::steady_clock::time_point end = std::chrono::steady_clock::now() + limit;
        while (!condition() && std::chrono::steady_clock::now() < end)
            loop.run_for(std::chrono::milliseconds(1));
        return condition();
    }

    StoreItems list(std::chrono::seconds limit = std::chrono::seconds(1))
    {
        std::optional<StoreItems> items;
        client.list({}, {}, [&](StoreItems read) { items = std::move(read); });
        BOOST_REQUIRE(runUntil([&] { return items.has_value(); }, limit));
        return *items;
    }

    boost::asio::io_context loop;
    ScriptedServer server { loop };
    StoreClient client { loop, server.address() };
};

} // namespace

// A failed call is often the first sign of a restored store.
BOOST_FIXTURE_TEST_CASE(all_answers_carry_the_era, Fixture)
{
    server.prepare(200, "Store-Era: 3\r\n", R"({"items":[],"more_pages":false,"as_of":9})");
    BOOST_TEST(list().era == 3U);
    server.prepare(200, "store-era: 4\r\n", R"({"items":[],"more_pages":false,"as_of":9})");
    BOOST_TEST(list().era == 4U);
    for (const unsigned status : { 403U, 410U, 429U, 503U }) {
        server.prepare(status, "Store-Era: 5\r\n", "{}");
        const StoreItems items = list();
        BOOST_TEST((items.outcome != StoreOutcome::Ok));
        BOOST_TEST(items.era == 5U);
    }
    for (const unsigned status : { 404U, 412U, 429U, 503U }) {
        server.prepare(status, "Store-Era: 6\r\n", "{}");
        std::optional<StoreResult> result;
        const auto handler = [&](const StoreResult& read) { result = read; };
        if (status == 404)
            client.keepLease(7, handler);
        else
            client.write({ "k", "v", 0, 7 }, handler);
        BOOST_REQUIRE(runUntil([&] { return result.has_value(); }));
        BOOST_TEST((result->outcome != StoreOutcome::Ok));
        BOOST_TEST(result->era == 6U);
    }
}

// Guards against listings that are given up and begun anew for ever while many hosts share a link: a large answer takes
// longer than a store may be silent.
BOOST_FIXTURE_TEST_CASE(an_arriving_answer_is_not_given_up, Fixture)
{
    server.prepareSlow(R"({"items":[],"more_pages":false,"as_of":9})", 8, std::chrono::milliseconds(300));
    const StoreItems items = list(std::chrono::seconds(5));
    BOOST_TEST((items.outcome == StoreOutcome::Ok));
    BOOST_TEST(items.asOf == 9U);
    BOOST_TEST(server.requests == 1U);
}

// A connection that falls silent within an answer counts as lost after the same time as one without an answer.
BOOST_FIXTURE_TEST_CASE(an_answer_that_stops_arriving_is_given_up, Fixture)
{
    server.prepareSlow(R"({"items":[],"more_pages":false,"as_of":9})", 2, std::chrono::milliseconds(1), false);
    const StoreItems items = list(std::chrono::seconds(3));
    BOOST_TEST((items.outcome == StoreOutcome::Unreachable));
    BOOST_TEST(items.incompleteBytes > 0U);
    BOOST_TEST(runUntil([&] { return server.closedConnections == 1; }));
    server.prepare(200, "", R"({"items":[],"more_pages":false,"as_of":10})");
    BOOST_TEST(list().asOf == 10U);
    BOOST_TEST(server.connections == 2U);
}

// Without the condition a removal could remove another host's item.
BOOST_FIXTURE_TEST_CASE(removals_and_writes_have_a_condition, Fixture)
{
    for (const bool removes : { false, true }) {
        server.prepare(200, "Store-Era: 3\r\n", R"({"revision":12})");
        std::optional<StoreResult> result;
        client.write({ "k", "v", 11, 7, removes }, [&](const StoreResult& read) { result = read; });
        BOOST_REQUIRE(runUntil([&] { return result.has_value(); }));
        BOOST_TEST((result->outcome == StoreOutcome::Ok));
        BOOST_TEST(result->number == 12U);
        const web::json::value body = web::json::value::parse(server.lastBody);
        BOOST_REQUIRE(body.at("expected_rev").size() == 1U);
        BOOST_TEST(body.at("expected_rev").at(0).at("key").as_string() == "k");
        BOOST_TEST(body.at("expected_rev").at(0).at("revision").as_integer() == 11);
        BOOST_TEST(body.at("puts").size() == (removes ? 0U : 1U));
        BOOST_TEST(body.at("deletes").size() == (removes ? 1U : 0U));
        if (removes)
            BOOST_TEST(body.at("deletes").at(0).as_string() == "k");
        else
            BOOST_TEST(body.at("puts").at(0).at("lease_id").as_integer() == 7);
    }
}

BOOST_FIXTURE_TEST_CASE(an_answer_without_a_valid_era_has_none, Fixture)
{
    for (const char* header : { "", "Store-Era: \r\n", "Store-Era: x\r\n", "Store-Era: 3x\r\n", "Store-Era: -1\r\n" }) {
        server.prepare(200, header, R"({"items":[],"more_pages":false,"as_of":9})");
        const StoreItems items = list();
        BOOST_TEST((items.outcome == StoreOutcome::Ok));
        BOOST_TEST(items.era == 0U);
    }
}

// A watch that waits for changes of an earlier era must not delay the listing of the newer one.
BOOST_FIXTURE_TEST_CASE(cancelled_reads_end_at_once, Fixture)
{
    std::vector<StoreOutcome> outcomes;
    const auto handler = [&](const StoreItems& items) { outcomes.push_back(items.outcome); };
    client.watch({}, 7, std::chrono::seconds(30), handler);
    client.list({}, {}, handler);
    BOOST_REQUIRE(runUntil([&] { return server.requests == 1; }));
    client.cancelReads();
    BOOST_TEST(outcomes.empty());
    BOOST_REQUIRE(runUntil([&] { return outcomes.size() == 2; }));
    BOOST_TEST((outcomes == std::vector<StoreOutcome>(2, StoreOutcome::Unreachable)));
    server.prepare(200, "Store-Era: 3\r\n", R"({"items":[],"more_pages":false,"as_of":9})");
    BOOST_TEST(list().asOf == 9U);
    BOOST_TEST(server.connections == 2U);
    client.cancelReads(); // Nothing is in progress.
    client.list({}, {}, handler);
    client.cancelReads(); // Before the call is sent.
    server.prepare(200, "Store-Era: 3\r\n", R"({"items":[],"more_pages":false,"as_of":10})");
    BOOST_TEST(list().asOf == 10U);
    BOOST_TEST(outcomes.size() == 3U);
}

BOOST_AUTO_TEST_CASE(server_entries_have_a_start_and_a_sequence_number)
{
    const DocumentDecoder decoder;
    const auto entry = [&](const std::string& fields) {
        return decoder.server({ "servers/i-1",
            R"({"service":"a","address":"127.0.0.1:1","zone":"z","version":"v1","slots":2,"state":"ready",)"
                + (R"("warmup_left_ms":0,"db_role":"replica")" + fields) + "}",
            5, false });
    };
    BOOST_TEST(entry(R"(,"born":1700000000123,"seq_no":41)").sequence == 41U);
    BOOST_TEST(entry(R"(,"born":1700000000123,"seq_no":41)").startedUnixMs == 1700000000123U);
    // A server always tells both; without them a late entry could not be told from the newest.
    BOOST_CHECK_THROW(entry(R"(,"born":1700000000123)"), std::exception);
    BOOST_CHECK_THROW(entry(R"(,"seq_no":41)"), std::exception);
    BOOST_CHECK_THROW(entry(R"(,"born":1700000000123,"seq_no":"x")"), std::exception);
}

// Another writer's entry names no server: not one with four billion slots, one that nobody can reach, or one whose
// start makes the true entries of its id seem older.
BOOST_AUTO_TEST_CASE(odd_server_entries_are_rejected)
{
    const DocumentDecoder decoder;
    const std::map<std::string, std::string> good { { "service", R"("a")" }, { "address", R"("127.0.0.1:1")" },
        { "zone", R"("z")" }, { "version", R"("v1")" }, { "slots", "2" }, { "state", R"("ready")" },
        { "warmup_left_ms", "0" }, { "db_role", R"("replica")" }, { "born", "1700000000123" }, { "seq_no", "41" } };
    const auto textWith = [&](const std::string& name, const std::string& value) {
        std::string text;
        for (const auto& [field, normal] : good) {
            if (field != name || !value.empty())
                text += (text.empty() ? "{" : ",") + ("\"" + field + "\":") + (field == name ? value : normal);
        }
        return text + "}";
    };
    BOOST_TEST(decoder.server({ "servers/i-1", textWith("", ""), 5, false }).slots == 2U);
    const std::pair<const char*, std::vector<std::string>> odd[] = {
        { "service", { "", "3", "null", "{}", R"("")" } },
        { "address",
            { "", "7", R"("10.0.0.1:99999")", R"("10.0.0.1:-1")", R"("10.0.0.1:0")", R"("10.0.0.1")", R"("nowhere:80")",
                R"("")" } },
        { "zone", { "", "1", "[]" } },
        { "version", { "", "1", R"("")", "null" } },
        { "warmup_left_ms", { "", "-1", "1e300", R"("0")", "null", "true" } },
        { "slots", { "", "0", "-1", "1e30", "2.5", "1099511627776", "11111111111111111111111111", R"("2")", "true" } },
        { "state", { "", "1", R"("gone")" } },
        { "db_role", { "", R"("leader")" } },
        { "born", { "", "0", "-5", "1e300", "9223372036854775807", "4102444800000000", R"("x")", "null" } },
        { "seq_no", { "", "18446744073709551616", "1e400", "-1", "null", "{}" } },
    };
    for (const auto& [field, values] : odd) {
        for (const std::string& value : values)
            BOOST_CHECK_THROW(decoder.server({ "servers/i-1", textWith(field, value), 5, false }), std::exception);
    }
    for (const char* const warmup : { "1500", "12.5" })
        BOOST_TEST(decoder.server({ "servers/i-1", textWith("warmup_left_ms", warmup), 5, false }).slots == 2U);
    for (const size_t depth : { 200U, 100000U })
        BOOST_CHECK_THROW(
            decoder.server({ "servers/i-1", std::string(depth, '[') + std::string(depth, ']'), 5, false }),
            std::exception);
    BOOST_CHECK_THROW(decoder.server({ "servers/i-1", "\xff\xfe", 5, false }), std::exception);
    BOOST_CHECK_THROW(decoder.server({ "servers/", textWith("", ""), 5, false }), std::exception);
}

#include "store_client.h"
#include "support_odd_texts.h"
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/test/unit_test.hpp>
#include <cpprest/base_uri.h>
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

    static std::string answerText(unsigned status, const std::string& headers, const std::string& body)
    {
        return "HTTP/1.1 " + std::to_string(status) + " x\r\n" + headers
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    /// Adds an answer. headers are complete lines.
    void prepare(unsigned status, const std::string& headers, const std::string& body)
    {
        m_answers.push_back(answerText(status, headers, body));
    }

    /// Adds an answer with status 200, which is followed at once by other bytes.
    void prepareWithSurplus(const std::string& body, const std::string& surplus)
    {
        m_answers.push_back(answerText(200, "", body) + surplus);
    }

    /// Adds an answer with status 200. Before it, the connection on which the last answer was sent, if it is still
    /// open, gets a copy of an earlier one.
    void prepareAfterCopy(const std::string& copiedBody, const std::string& body)
    {
        prepare(200, "", body);
        m_copies[m_answers.back()] = answerText(200, "", copiedBody);
    }

    /// Sends bytes that no request asked for over the connection on which the last answer was sent.
    void sendUnasked(const std::string& text)
    {
        boost::system::error_code ec;
        if (const std::shared_ptr<Connection> it = m_answered.lock())
            boost::asio::write(it->socket, boost::asio::buffer(text), ec);
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

    /// Closes the connection on which the last answer was sent.
    void closeAnswered()
    {
        if (const std::shared_ptr<Connection> it = m_answered.lock())
            it->socket.close();
    }

    size_t requests = 0;
    size_t connections = 0;
    size_t closedConnections = 0; ///< By the client.
    std::string lastBody; ///< Body of the last request.
    std::string lastTarget;
    http::fields lastHeaders;

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
            lastTarget = std::string(it->request.target());
            lastHeaders = it->request.base();
            if (m_answers.empty()) {
                read(it);
                return;
            }
            it->answer = m_answers.front();
            m_answers.pop_front();
            it->sent = 0;
            const auto copy = m_copies.find(it->answer);
            if (copy != m_copies.end()) {
                sendUnasked(copy->second);
                m_copies.erase(copy);
            }
            m_answered = it;
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
    std::map<std::string, std::string> m_copies; ///< Earlier answers that precede an answer, by the latter.
    std::weak_ptr<Connection> m_answered; ///< Connection on which the last answer was sent.
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

    StoreItems watch(uint64_t after, Duration wait = std::chrono::milliseconds(600))
    {
        std::optional<StoreItems> items;
        client.watch({}, after, wait, [&](StoreItems read) { items = std::move(read); });
        BOOST_REQUIRE(runUntil([&] { return items.has_value(); }));
        return *items;
    }

    template <typename Start> StoreResult result(const Start& start)
    {
        std::optional<StoreResult> read;
        start([&](const StoreResult& it) { read = it; });
        BOOST_REQUIRE(runUntil([&] { return read.has_value(); }));
        return *read;
    }

    StoreResult write()
    {
        return result([&](const auto& handler) { client.write({ "k", "v", 11, 7, false }, handler); });
    }

    StoreResult createLease()
    {
        return result([&](const auto& handler) { client.createLease(std::chrono::seconds(3), handler); });
    }

    StoreResult keepLease()
    {
        return result([&](const auto& handler) { client.keepLease(7, handler); });
    }

    /// Time for bytes to arrive that no call reads.
    void passTime() { loop.run_for(std::chrono::milliseconds(30)); }

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
        const unsigned revision = removes ? 13 : 12; // Each change has a revision of its own.
        server.prepare(200, "Store-Era: 3\r\n", R"({"revision":)" + std::to_string(revision) + "}");
        std::optional<StoreResult> result;
        client.write({ "k", "v", 11, 7, removes }, [&](const StoreResult& read) { result = read; });
        BOOST_REQUIRE(runUntil([&] { return result.has_value(); }));
        BOOST_TEST((result->outcome == StoreOutcome::Ok));
        BOOST_TEST(result->number == revision);
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
                + (R"("warmup_left_ms":250,"db_role":"replica")" + fields) + "}",
            5, false });
    };
    BOOST_TEST(entry(R"(,"born":1700000000123,"seq_no":41)").sequence == 41U);
    BOOST_TEST(entry(R"(,"born":1700000000123,"seq_no":41)").startedUnixMs == 1700000000123U);
    BOOST_TEST((entry(R"(,"seq_no":41)").warmupLeft == std::chrono::milliseconds(250)));
    // Without a sequence number a late entry could not be told from the newest. Published entries lack the start.
    BOOST_CHECK_THROW(entry(R"(,"born":1700000000123)"), std::exception);
    BOOST_TEST(entry(R"(,"seq_no":41)").startedUnixMs == 0U);
    BOOST_CHECK_THROW(entry(R"(,"born":1700000000123,"seq_no":"x")"), std::exception);
}

BOOST_AUTO_TEST_CASE(evacuations_are_named_by_their_keys)
{
    const DocumentDecoder decoder;
    BOOST_TEST((decoder.evacuatedDataCentre("op/evacuate/mill") == std::optional<std::string>("mill")));
    for (const char* key : { "op/evacuate/", "op/evacuate", "op/config", "servers/i-1", "" })
        BOOST_TEST(!decoder.evacuatedDataCentre(key).has_value());
}

BOOST_AUTO_TEST_CASE(regions_and_warmup_rates_are_read)
{
    const DocumentDecoder decoder;
    const auto configurationWith = [&](const std::string& regions, const std::string& rate) {
        const std::string text = R"({"version":7,"routes":[{"host":"a","name":"a","service":"orders","kind":"primary",)"
                                 R"("timeout_ms":1000,"allowed_regions":)"
            + regions + R"(}],"services":[{"name":"orders","warmup_per_s":)" + rate
            + R"(}],"tenants":[{"name":"t","rate_per_s":10,"burst":5,"api_keys":["k"],"allowed_regions":["east"]}]})";
        return decoder.configuration({ "op/config", text, 5, false });
    };
    const std::shared_ptr<const GatewayConfiguration> it = configurationWith(R"(["west","east"])", "12.5");
    BOOST_TEST((it->routes.at("a").regions == std::set<std::string> { "west", "east" }));
    BOOST_TEST((it->customers.at("t").regions == std::set<std::string> { "east" }));
    BOOST_TEST(it->services.at("orders").warmupPerSecond == 12.5);
    BOOST_TEST(configurationWith("[]", "0")->routes.at("a").regions.empty());
    // An unreadable restriction must not become none.
    for (const char* regions : { "\"west\"", "[1]", "null", "{}" })
        BOOST_CHECK_THROW(configurationWith(regions, "0"), std::exception);
    BOOST_CHECK_THROW(configurationWith("[]", "-1"), std::exception);
    BOOST_CHECK_THROW(configurationWith("[]", "\"5\""), std::exception);
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
        { "born", { "0", "-5", "1e300", "9223372036854775807", "4102444800000000", R"("x")", "null" } },
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

// A store may send an answer twice, the second time late.
BOOST_FIXTURE_TEST_CASE(a_copy_that_arrives_at_idle_answers_no_later_write, Fixture)
{
    server.prepare(200, "", R"({"revision":12})");
    BOOST_TEST(write().number == 12U);
    server.sendUnasked(ScriptedServer::answerText(200, "", R"({"revision":12})"));
    passTime();
    server.prepare(412, "", R"({"items":[]})");
    BOOST_TEST((write().outcome == StoreOutcome::Conflict));
    BOOST_TEST(server.requests == 2U);
    BOOST_TEST(server.connections == 2U);
}

// The rest of a copy whose beginning arrived together with the answer.
BOOST_FIXTURE_TEST_CASE(surplus_bytes_after_an_answer_end_the_connection, Fixture)
{
    const std::string copy = ScriptedServer::answerText(200, "", R"({"revision":12})");
    for (const size_t part : { copy.size(), copy.size() / 2, size_t(1) }) {
        const size_t before = server.connections;
        server.prepareWithSurplus(R"({"revision":12})", copy.substr(0, part));
        BOOST_TEST(write().number == 12U);
        passTime();
        server.sendUnasked(copy.substr(part));
        passTime();
        server.prepare(412, "", R"({"items":[]})");
        BOOST_TEST((write().outcome == StoreOutcome::Conflict), part);
        BOOST_TEST(server.connections == before + 2, part);
    }
}

BOOST_FIXTURE_TEST_CASE(a_copy_during_the_next_write_is_not_its_answer, Fixture)
{
    server.prepare(200, "Store-Era: 3\r\n", R"({"revision":12})");
    BOOST_TEST(write().number == 12U);
    server.prepareAfterCopy(R"({"revision":12})", R"({"revision":13})");
    BOOST_TEST((write().outcome == StoreOutcome::Unreachable)); // It may have been carried out.
    server.prepare(200, "Store-Era: 3\r\n", R"({"revision":14})");
    BOOST_TEST(write().number == 14U);
    BOOST_TEST(server.requests == 3U);
    BOOST_TEST(server.connections == 2U);
}

// Revisions and leases of a restored store go back.
BOOST_FIXTURE_TEST_CASE(the_first_answer_of_a_connection_is_its_calls, Fixture)
{
    for (const unsigned revision : { 12U, 5U }) {
        server.prepare(200, "", R"({"revision":)" + std::to_string(revision) + "}");
        BOOST_TEST(write().number == revision);
        server.prepare(200, "", R"({"lease_id":9,"ttl_ms":3000})");
        BOOST_TEST(createLease().number == 9U);
        server.prepare(429, "", "{}");
        BOOST_TEST((write().outcome == StoreOutcome::Refused));
    }
    server.prepare(200, "Store-Era: 4\r\n", R"({"revision":30})");
    BOOST_TEST(write().number == 30U);
    server.prepare(200, "Store-Era: 5\r\n", R"({"revision":6})");
    BOOST_TEST(write().number == 6U);
    BOOST_TEST(server.connections == 3U);
}

// A refusal names no call, so the next one must not be able to get a copy of it.
BOOST_FIXTURE_TEST_CASE(a_copy_of_a_refusal_answers_no_later_write, Fixture)
{
    server.prepare(429, "", "{}");
    BOOST_TEST((write().outcome == StoreOutcome::Refused));
    server.sendUnasked(ScriptedServer::answerText(429, "", "{}"));
    server.prepare(200, "", R"({"revision":12})");
    BOOST_TEST((write().outcome == StoreOutcome::Ok));
    server.prepare(200, "", R"({"revision":13})");
    BOOST_TEST(write().number == 13U);
    BOOST_TEST(server.connections == 2U);
}

// Two hosts' items under one lease would live as long as the wrong one of them.
BOOST_FIXTURE_TEST_CASE(a_copy_is_not_the_answer_to_the_next_lease, Fixture)
{
    server.prepare(200, "", R"({"lease_id":9,"ttl_ms":3000})");
    BOOST_TEST(createLease().number == 9U);
    server.prepareAfterCopy(R"({"lease_id":9,"ttl_ms":3000})", R"({"lease_id":10,"ttl_ms":3000})");
    BOOST_TEST((createLease().outcome == StoreOutcome::Unreachable));
    server.prepare(200, "", R"({"lease_id":11,"ttl_ms":3000})");
    BOOST_TEST(createLease().number == 11U);
}

// Nothing in the answer to a renewal tells which one it answers: a coordinator would take its ended lease for renewed.
BOOST_FIXTURE_TEST_CASE(a_copy_is_not_the_answer_to_the_next_renewal, Fixture)
{
    server.prepare(200, "", R"({"ttl_ms":3000})");
    BOOST_TEST((keepLease().outcome == StoreOutcome::Ok));
    passTime();
    BOOST_TEST(server.connections == 2U); // Opened before the next renewal is due.
    server.prepareAfterCopy(R"({"ttl_ms":3000})", "{}");
    server.prepare(404, "", "{}");
    BOOST_TEST((keepLease().outcome == StoreOutcome::Ok));
    BOOST_TEST((keepLease().outcome == StoreOutcome::NotFound));
    BOOST_TEST(server.requests == 3U);
}

BOOST_FIXTURE_TEST_CASE(a_copy_is_not_the_answer_to_the_next_promotion, Fixture)
{
    PromotionClient promotions(loop, server.address());
    const auto promote = [&](const std::string& service) {
        std::optional<PromotionOutcome> outcome;
        promotions.promote(service, "i-1", "h", 5, [&](PromotionOutcome read) { outcome = read; });
        BOOST_REQUIRE(runUntil([&] { return outcome.has_value(); }));
        return *outcome;
    };
    server.prepare(200, "", "{}");
    BOOST_TEST((promote("a") == PromotionOutcome::Done));
    server.sendUnasked(ScriptedServer::answerText(200, "", "{}"));
    server.prepare(409, "", "{}");
    BOOST_TEST((promote("b") == PromotionOutcome::Rejected));
    BOOST_TEST(server.requests == 2U);
}

BOOST_FIXTURE_TEST_CASE(keys_in_calls_read_back, Fixture)
{
    test::OddTexts texts(3);
    for (size_t i = 0; i < 100; ++i) {
        const std::string prefix = i == 0 ? "a+b%2F&after=c=#d?e f\r\ng" : texts.lastField();
        const std::string after = texts.field();
        server.prepare(200, "", R"({"items":[],"more_pages":false,"as_of":10})");
        std::optional<StoreItems> items;
        client.list(prefix, after, [&](const StoreItems& read) { items = read; });
        BOOST_REQUIRE(runUntil([&] { return items.has_value(); }));
        const std::string& target = server.lastTarget;
        const size_t end = target.find('&');
        const std::string first = "/kv-range?prefix=";
        const std::string second = "&after=";
        BOOST_REQUIRE((target.rfind(first, 0) == 0 && target.compare(end, second.size(), second) == 0));
        BOOST_TEST((web::uri::decode(target.substr(first.size(), end - first.size())) == prefix));
        BOOST_TEST((web::uri::decode(target.substr(end + second.size())) == after));
    }
}

// The rest of a value with a line end would be a header of its own, and blanks around a value are not read.
BOOST_FIXTURE_TEST_CASE(a_call_whose_headers_do_not_read_back_is_not_sent, Fixture)
{
    PromotionClient promotions(loop, server.address());
    const auto promote = [&](const std::string& holder) {
        std::optional<PromotionOutcome> outcome;
        promotions.promote("a", "i-1", holder, 5, [&](PromotionOutcome read) { outcome = read; });
        BOOST_REQUIRE(runUntil([&] { return outcome.has_value(); }));
        return *outcome;
    };
    for (const std::string holder :
        { "h\r\nPlantainwall-Fencing-Token: 9", "h\r", "\nh", " h", "h ", "\th", "h\x01" }) {
        server.prepare(200, "", "{}");
        BOOST_TEST((promote(holder) == PromotionOutcome::Unanswered), test::printable(holder));
    }
    BOOST_TEST(server.requests == 0U);
    size_t n = 0;
    for (const std::string holder : { "mill-1", "h:1/2@x", "a b", "m\xc3\xbchle", "\"" }) {
        server.prepare(200, "", "{}");
        BOOST_TEST((promote(holder) == PromotionOutcome::Done), test::printable(holder));
        BOOST_TEST(server.requests == ++n);
        BOOST_TEST(server.lastHeaders["Plantainwall-Lease-Holder"] == holder);
        BOOST_TEST(server.lastHeaders["Plantainwall-Fencing-Token"] == "5");
    }
}

// Reads are sent again, because a failed one makes the store count as unreachable.
BOOST_FIXTURE_TEST_CASE(a_copy_is_not_the_answer_to_the_next_watch, Fixture)
{
    const std::string changed = R"({"events":[{"key":"k","revision":12,"tombstone":true}],"as_of":12})";
    const std::string unchanged = R"({"events":[],"as_of":12})";
    const std::string next = R"({"events":[{"key":"k","revision":13,"tombstone":true}],"as_of":13})";
    for (const std::string& copy : { changed, unchanged }) {
        const size_t requests = server.requests;
        server.prepare(200, "", copy);
        BOOST_TEST(watch(copy == changed ? 11 : 12, std::chrono::milliseconds(0)).asOf == 12U);
        server.prepareAfterCopy(copy, R"({"events":[],"as_of":12})");
        server.prepare(200, "", next);
        const StoreItems items = watch(12);
        BOOST_TEST((items.outcome == StoreOutcome::Ok));
        BOOST_TEST(items.asOf == 13U);
        BOOST_TEST(items.items.size() == 1U);
        BOOST_TEST(server.requests == requests + 3);
    }
}

// Without a change a watch lasts as long as its wait.
BOOST_FIXTURE_TEST_CASE(a_watch_without_changes_ends_with_its_wait, Fixture)
{
    server.prepare(200, "", R"({"events":[],"as_of":12})");
    BOOST_TEST(watch(12).asOf == 12U);
    server.prepareSlow(R"({"events":[],"as_of":12})", 2, std::chrono::milliseconds(220));
    const StoreItems items = watch(12, std::chrono::milliseconds(200));
    BOOST_TEST((items.outcome == StoreOutcome::Ok));
    BOOST_TEST(server.requests == 2U);
    BOOST_TEST(server.connections == 1U);
}

// Leases on the word of primaries rest on the time at which a listing was requested, which a copy does not show.
BOOST_FIXTURE_TEST_CASE(a_copy_is_not_the_answer_to_the_next_listing, Fixture)
{
    server.prepare(200, "", R"({"items":[],"more_pages":false,"as_of":9})");
    BOOST_TEST(list().asOf == 9U);
    server.sendUnasked(ScriptedServer::answerText(200, "", R"({"items":[],"more_pages":false,"as_of":9})"));
    server.prepare(200, "", R"({"items":[],"more_pages":false,"as_of":10})");
    BOOST_TEST(list().asOf == 10U);
    BOOST_TEST(server.requests == 2U);
}

BOOST_FIXTURE_TEST_CASE(a_copy_of_a_page_is_not_the_next_page, Fixture)
{
    const std::string page
        = R"({"items":[{"key":"a","revision":3,"value":""},{"key":"b","revision":4,"value":""}],"more_pages":true,"as_of":9})";
    const std::string next = R"({"items":[{"key":"c","revision":5,"value":""}],"more_pages":false,"as_of":9})";
    server.prepare(200, "", page);
    BOOST_TEST(list().items.size() == 2U);
    server.prepareAfterCopy(page, next);
    server.prepare(200, "", next);
    std::optional<StoreItems> items;
    client.list({}, "b", [&](StoreItems read) { items = std::move(read); });
    BOOST_REQUIRE(runUntil([&] { return items.has_value(); }));
    BOOST_REQUIRE(items->items.size() == 1U);
    BOOST_TEST(items->items.front().key == "c");
    BOOST_TEST(!items->more);
}

// A connection that the store has closed while it was idle fails no call.
BOOST_FIXTURE_TEST_CASE(a_connection_closed_at_idle_is_replaced, Fixture)
{
    server.prepare(200, "", R"({"revision":12})");
    BOOST_TEST(write().number == 12U);
    server.closeAnswered();
    passTime();
    server.prepare(200, "", R"({"revision":13})");
    BOOST_TEST(write().number == 13U);
}

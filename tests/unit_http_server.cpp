#include "http_server.h"
#include "request_memory.h"
#include <atomic>
#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <cpprest/http_listener.h>
#include <malloc.h>
#include <thread>

using namespace plantainwall;
using boost::asio::ip::tcp;
using std::chrono::milliseconds;
using web::http::experimental::listener::http_listener;

namespace {

uint16_t freePort()
{
    boost::asio::io_context context;
    return tcp::acceptor(context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)).local_endpoint().port();
}

/// Installs a server with a listener at /v1 that echoes the body and one at /slow that answers after 300 ms.
struct Fixture {
    explicit Fixture(const HttpSettings& settings = {})
        : port(freePort())
        , control(installHttpServer(settings, 4))
        , echo("http://127.0.0.1:" + std::to_string(port) + "/v1")
        , slow("http://127.0.0.1:" + std::to_string(port) + "/slow")
    {
        echo.support(web::http::methods::POST, [](web::http::http_request request) {
            request.reply(
                web::http::status_codes::OK, request.relative_uri().path() + request.extract_string(true).get());
        });
        slow.support([](const web::http::http_request& request) {
            std::thread([request] {
                std::this_thread::sleep_for(milliseconds(300));
                request.reply(web::http::status_codes::OK, std::string(100000, 's'));
            }).detach();
        });
        echo.open().wait();
        slow.open().wait();
    }

    ~Fixture()
    {
        echo.close().wait();
        slow.close().wait();
    }

    uint64_t refused(ResultCode code) const { return control->stats().refusedByCode[static_cast<size_t>(code)]; }

    uint16_t port;
    std::shared_ptr<HttpServerControl> control;
    http_listener echo;
    http_listener slow;
};

/// Caller that writes and reads raw bytes.
struct RawCaller {
    explicit RawCaller(uint16_t port)
        : socket(context)
    {
        socket.connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), port));
    }

    RawCaller& send(const std::string& text)
    {
        boost::system::error_code ec;
        boost::asio::write(socket, boost::asio::buffer(text), ec);
        return *this;
    }

    /// Reads until the connection ends and returns all data.
    std::string readAll()
    {
        boost::system::error_code ec;
        std::string data;
        boost::asio::read(socket, boost::asio::dynamic_buffer(data), ec);
        return data;
    }

    boost::asio::io_context context;
    tcp::socket socket;
};

std::string post(const std::string& body, const std::string& path = "/v1/x", const std::string& extra = {})
{
    return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + extra + "Content-Length: " + std::to_string(body.size())
        + "\r\n\r\n" + body;
}

bool contains(const std::string& text, const std::string& part) { return text.find(part) != std::string::npos; }

HttpSettings shortLimits()
{
    HttpSettings settings;
    settings.headTimeout = milliseconds(200);
    settings.bodyTimeout = milliseconds(200);
    settings.idleTimeout = milliseconds(1000);
    settings.maxBodyBytes = 1000;
    return settings;
}

} // namespace

// Guards against reordered or truncated answers when a caller pipelines requests.
BOOST_AUTO_TEST_CASE(pipelined_requests_are_answered_in_order)
{
    Fixture fixture;
    RawCaller caller(fixture.port);
    const std::string answers
        = caller.send(post("", "/slow") + post("two") + post("three", "/v1", "Connection: close\r\n")).readAll();
    const size_t second = answers.find("/xtwo");
    BOOST_TEST(answers.find(std::string(100000, 's')) < second);
    BOOST_TEST(second < answers.find("/three"));
    BOOST_TEST(contains(answers, "Content-Length: 100000"));
}

// Guards against callers that occupy a connection forever with an incomplete request.
BOOST_AUTO_TEST_CASE(half_sent_requests_are_refused_in_bounded_time)
{
    Fixture fixture(shortLimits());
    const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
    const std::string head = RawCaller(fixture.port).send("POST /v1 HT").readAll();
    BOOST_TEST(contains(head, "408 "));
    BOOST_TEST(contains(head, R"("name":"request_too_slow","run":"not_run")"));
    BOOST_TEST(contains(head, "head did not arrive within 200 ms"));
    const std::string body = RawCaller(fixture.port).send("POST /v1 HTTP/1.1\r\nContent-Length: 5\r\n\r\nab").readAll();
    BOOST_TEST(contains(body, "body did not arrive within 200 ms"));
    BOOST_TEST(RawCaller(fixture.port).readAll() == ""); // Closed by the idle timeout.
    BOOST_TEST((std::chrono::steady_clock::now() - begin < std::chrono::seconds(4)));
    BOOST_TEST(fixture.refused(ResultCode::RequestTooSlow) == 2);
}

// Guards against unbounded memory use caused by large requests.
BOOST_AUTO_TEST_CASE(large_requests_are_refused)
{
    Fixture fixture(shortLimits());
    const std::string big = std::string(64 * 1024, 'h');
    const std::string head = RawCaller(fixture.port).send(post("", "/v1", "X-Big: " + big + "\r\n")).readAll();
    BOOST_TEST(contains(head, "413 "));
    BOOST_TEST(contains(head, "larger than 16384 bytes"));
    BOOST_TEST(contains(RawCaller(fixture.port).send(post(big)).readAll(), "larger than 1000 bytes"));
    const std::string chunked
        = "POST /v1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7d0\r\n" + std::string(2000, 'c');
    BOOST_TEST(contains(RawCaller(fixture.port).send(chunked).readAll(), "larger than 1000 bytes"));
    BOOST_TEST(fixture.refused(ResultCode::RequestTooLarge) == 3);
}

// Guards against a head limit above 64 KB, at which the parser throws an exception. It used to end the process.
BOOST_AUTO_TEST_CASE(head_limit_stays_below_that_of_the_parser)
{
    HttpSettings settings;
    settings.maxHeadBytes = 1000000;
    Fixture fixture(settings);
    const std::string big = "X-Big: " + std::string(70000, 'h') + "\r\n";
    BOOST_TEST(contains(RawCaller(fixture.port).send(post("", "/v1", big)).readAll(), "request_too_large"));
}

// Guards against request smuggling (servers that disagree on where a request ends) and against invalid input.
BOOST_AUTO_TEST_CASE(malformed_requests_are_refused)
{
    Fixture fixture;
    const char* const heads[] = { "Content-Length: 2\r\nContent-Length: 2\r\n",
        "Content-Length: 2\r\nContent-Length: 3\r\n", "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n", "Content-Length: -1\r\n", "Content-Length: +2\r\n",
        "Content-Length: two\r\n", "Content-Length: 0x2\r\n", "Content-Length: 2, 2\r\n", "Content-Length: \r\n",
        "Content-Length: 99999999999999999999\r\n", "Transfer-Encoding: gzip\r\n", "Content-Length : 2\r\n" };
    for (const char* head : heads) {
        const std::string answer
            = RawCaller(fixture.port).send("POST /v1 HTTP/1.1\r\n" + std::string(head) + "\r\n{}").readAll();
        BOOST_TEST(contains(answer, R"("name":"bad_request","run":"not_run")"), head << answer);
    }
    for (const char* text : { "\x16\x03\x01garbage\r\n\r\n", "GET\r\n\r\n", "GET / HTTP/9.9\r\n\r\n" })
        BOOST_TEST(contains(RawCaller(fixture.port).send(text).readAll(), "bad_request"), text);
    BOOST_TEST(fixture.control->stats().requests == 0);
}

// Guards against empty error answers for unknown paths and methods, and against matches of partial path segments.
BOOST_AUTO_TEST_CASE(unknown_paths_and_methods_are_named)
{
    Fixture fixture;
    const std::string close = "Connection: close\r\n";
    BOOST_TEST(contains(RawCaller(fixture.port).send(post("", "/v2", close)).readAll(), "unknown_route"));
    BOOST_TEST(contains(RawCaller(fixture.port).send(post("", "/v1x", close)).readAll(), "unknown_route"));
    const std::string get = RawCaller(fixture.port).send("GET /v1 HTTP/1.1\r\nConnection: close\r\n\r\n").readAll();
    BOOST_TEST(contains(get, "method_not_allowed"));
}

// Guards against a shutdown that aborts running requests or accepts new connections.
BOOST_AUTO_TEST_CASE(drain_cuts_no_request)
{
    Fixture fixture;
    std::vector<std::unique_ptr<RawCaller>> callers;
    for (int i = 0; i < 50; ++i) {
        callers.push_back(std::make_unique<RawCaller>(fixture.port));
        callers.back()->send(post("", "/slow"));
    }
    RawCaller idle(fixture.port);
    RawCaller quiet(fixture.port);
    while (fixture.control->stats().inProgress < 50 || fixture.control->stats().open < 52)
        std::this_thread::sleep_for(milliseconds(1));
    const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
    fixture.control->beginDrain();
    BOOST_TEST(!fixture.control->waitDrained(milliseconds(10)));
    BOOST_TEST(contains(idle.send(post("late")).readAll(), "late"));
    for (const std::unique_ptr<RawCaller>& caller : callers) {
        const std::string answer = caller->readAll();
        BOOST_TEST(contains(answer, std::string(100000, 's')));
        BOOST_TEST(contains(answer, "Connection: close"));
        caller->socket.close();
    }
    idle.socket.close();
    BOOST_TEST(quiet.readAll() == "");
    BOOST_TEST((std::chrono::steady_clock::now() - begin < std::chrono::seconds(5)));
    BOOST_TEST(fixture.control->waitDrained(std::chrono::seconds(5)));
    BOOST_CHECK_THROW(RawCaller(fixture.port), boost::system::system_error);
}

// Guards against a crash or a leaked connection when a caller disconnects while its request runs.
BOOST_AUTO_TEST_CASE(caller_that_leaves_is_counted)
{
    Fixture fixture;
    for (int i = 0; i < 20; ++i) {
        RawCaller caller(fixture.port);
        caller.send(post("", "/slow"));
        caller.socket.set_option(boost::asio::socket_base::linger(true, 0));
        while (fixture.control->stats().requests < static_cast<uint64_t>(i) + 1)
            std::this_thread::sleep_for(milliseconds(1));
        caller.socket.close(); // Linger 0 resets the connection, so the answer cannot be written.
    }
    for (int i = 0; i < 300 && fixture.control->stats().open > 0; ++i)
        std::this_thread::sleep_for(milliseconds(10));
    BOOST_TEST(fixture.control->stats().open == 0);
    BOOST_TEST(fixture.control->stats().callerDisconnects == 20);
    BOOST_TEST(fixture.control->stats().inProgress == 0);
}

// Guards against connections beyond the limits that are served, or dropped without an answer.
BOOST_AUTO_TEST_CASE(connection_limits_are_answered)
{
    HttpSettings settings;
    settings.maxConnections = 3;
    settings.maxConnectionsPerAddress = 2;
    Fixture fixture(settings);
    RawCaller first(fixture.port);
    RawCaller second(fixture.port);
    while (fixture.control->stats().open < 2)
        std::this_thread::sleep_for(milliseconds(1));
    RawCaller third(fixture.port);
    BOOST_TEST(contains(third.readAll(), "more than 2 connections from 127.0.0.1"));
    const std::string fourth = RawCaller(fixture.port).readAll();
    BOOST_TEST(contains(fourth, "more than 3 connections"));
    BOOST_TEST(contains(fourth, "503 "));
    BOOST_TEST(contains(first.send(post("a", "/v1", "Connection: close\r\n")).readAll(), "200 OK"));
    BOOST_TEST(fixture.refused(ResultCode::TooManyConnections) == 2);
}

// Guards against requests that together exceed the memory, refusals without advice, and callers that hold memory for
// ever.
BOOST_AUTO_TEST_CASE(requests_beyond_the_memory_are_refused)
{
    HttpSettings settings;
    settings.memoryBytes = 2 * 1024 * 1024;
    Fixture fixture(settings);
    const std::string body(85000, 'b');
    const std::string close = "Connection: close\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n" + close + "\r\n14c08\r\n" + body + "\r\n0\r\n\r\n";
    BOOST_TEST(contains(RawCaller(fixture.port).send(post(body, "/v1", close)).readAll(), body));
    BOOST_TEST(contains(RawCaller(fixture.port).send("POST /v1 HTTP/1.1\r\n" + chunked).readAll(), body));

    RawCaller slow(fixture.port);
    slow.send(post(body).substr(0, 1000));
    while (fixture.control->stats().requestBytes < RequestMemory::copies * body.size())
        std::this_thread::sleep_for(milliseconds(1));
    const uint64_t requests = fixture.control->stats().requests;
    const std::string head = "POST /v1 HTTP/1.1\r\nContent-Length: 85000\r\nExpect: 100-continue\r\n\r\n";
    for (const std::string& request : { post(body), head, "POST /v1 HTTP/1.1\r\n" + chunked }) {
        const std::string refused = RawCaller(fixture.port).send(request).readAll();
        BOOST_TEST(refused.rfind("HTTP/1.1 503 ", 0) == 0U, refused);
        BOOST_TEST(contains(refused, "Retry-After: 1\r\n"));
        BOOST_TEST(contains(refused, R"("name":"queue_full","retry_after_ms":1000,"run":"not_run")"), refused);
    }
    BOOST_TEST(fixture.control->stats().requests == requests);
    BOOST_TEST(contains(RawCaller(fixture.port).send(post("small", "/v1", close)).readAll(), "small"));

    std::this_thread::sleep_for(RequestMemory::slowLimit);
    BOOST_TEST(contains(RawCaller(fixture.port).send(post(body)).readAll(), "503 "));
    const std::string ended = slow.readAll();
    BOOST_TEST(contains(ended, "408 "));
    BOOST_TEST(contains(ended, "the body did not arrive within 5000 ms while memory is scarce"));
    BOOST_TEST(fixture.control->stats().endedForMemory == 1);
    BOOST_TEST(contains(RawCaller(fixture.port).send(post(body, "/v1", close)).readAll(), body));
}

// Guards against connections lost under load and against idle connections that keep buffers.
BOOST_AUTO_TEST_CASE(many_connections_are_served_and_small_when_idle)
{
    Fixture fixture;
    boost::asio::io_context context;
    std::vector<tcp::socket> sockets;
    sockets.reserve(2000);
    const tcp::endpoint server(boost::asio::ip::address_v4::loopback(), fixture.port);
    const size_t before = mallinfo2().uordblks;
    for (int i = 0; i < 2000; ++i)
        sockets.emplace_back(context).connect(server);
    for (tcp::socket& socket : sockets)
        boost::asio::write(socket, boost::asio::buffer(post("mine")));
    for (tcp::socket& socket : sockets) {
        std::string answer;
        boost::system::error_code ec;
        boost::asio::read_until(socket, boost::asio::dynamic_buffer(answer), "mine", ec);
        BOOST_TEST(!ec);
    }
    while (fixture.control->stats().inProgress > 0)
        std::this_thread::sleep_for(milliseconds(1));
    std::this_thread::sleep_for(milliseconds(100));
    const size_t bytes = (mallinfo2().uordblks - before) / sockets.size();
    BOOST_TEST_MESSAGE("bytes per idle connection, client and server socket objects: " << bytes);
    BOOST_TEST(fixture.control->stats().open == 2000);
    BOOST_TEST(bytes < 8192);
}

#include "http_caller.h"
#include <atomic>
#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace plantainwall;
using boost::asio::ip::tcp;

namespace {

/// TCP server with one blocking thread per connection. Calls serve for every request that it has read.
class TcpFake {
public:
    /// Returns false to close the connection.
    using Serve = std::function<bool(tcp::socket&, int requestsOnConnection)>;

    explicit TcpFake(Serve serve)
        : m_acceptor(m_context, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
        , m_serve(std::move(serve))
        , m_thread([this] { acceptAll(); })
    {
    }

    ~TcpFake()
    {
        ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
        m_thread.join();
        for (const std::shared_ptr<tcp::socket>& socket : m_sockets)
            ::shutdown(socket->native_handle(), SHUT_RDWR);
        for (std::thread& thread : m_connections)
            thread.join();
    }

    std::string address() const { return "http://127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

    std::atomic<int> requests { 0 };
    std::atomic<int> accepted { 0 };

private:
    void acceptAll()
    {
        boost::system::error_code ec;
        while (true) {
            const std::shared_ptr<tcp::socket> socket = std::make_shared<tcp::socket>(m_context);
            if (m_acceptor.accept(*socket, ec))
                return;
            ++accepted;
            m_sockets.push_back(socket);
            m_connections.emplace_back([this, socket] { serveConnection(*socket); });
        }
    }

    void serveConnection(tcp::socket& socket)
    {
        boost::system::error_code ec;
        std::string data;
        for (int n = 1;; ++n) {
            const size_t head = boost::asio::read_until(socket, boost::asio::dynamic_buffer(data), "\r\n\r\n", ec);
            if (ec)
                return;
            const size_t field = data.find("Content-Length: ");
            const size_t length = field < head ? std::stoul(data.substr(field + 16)) : 0;
            if (data.size() < head + length)
                boost::asio::read(socket, boost::asio::dynamic_buffer(data),
                    boost::asio::transfer_exactly(head + length - data.size()), ec);
            if (ec)
                return;
            data.erase(0, head + length);
            ++requests;
            if (!m_serve(socket, n)) {
                socket.shutdown(tcp::socket::shutdown_both, ec);
                return;
            }
        }
    }

    boost::asio::io_context m_context;
    tcp::acceptor m_acceptor;
    Serve m_serve;
    std::vector<std::shared_ptr<tcp::socket>> m_sockets;
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

bool send(tcp::socket& socket, const std::string& text)
{
    boost::system::error_code ec;
    boost::asio::write(socket, boost::asio::buffer(text), ec);
    return !ec;
}

const std::string okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Test: Yes\r\n\r\n{}";

HttpCall post(Duration timeout = std::chrono::seconds(5))
{
    HttpCall call;
    call.method = "POST";
    call.path = "/execute";
    call.body = R"({"statement":"PUT k v"})";
    call.timeout = timeout;
    return call;
}

} // namespace

// Guards against a write being sent twice: the client library retries when a reused connection closes before the
// answer.
BOOST_AUTO_TEST_CASE(reused_connection_closed_after_request_is_sent_once)
{
    TcpFake fake([](tcp::socket& socket, int n) { return n == 1 && send(socket, okAnswer); });
    const std::shared_ptr<HttpCaller> caller = makeHttpCaller(fake.address(), 1);
    const HttpReply first = caller->call(post()).get();
    BOOST_TEST((first.sendState == SendState::Answered));
    BOOST_TEST(first.body == "{}");
    BOOST_TEST(first.headers.at("x-test") == "Yes");
    BOOST_TEST((caller->call(post()).get().sendState == SendState::MaybeSent));
    BOOST_TEST(fake.requests == 2);
    BOOST_TEST(fake.accepted == 1);
}

// Guards against sending a call without a body twice. Such a call has no body stream that could prevent a retry.
BOOST_AUTO_TEST_CASE(call_without_body_is_sent_once)
{
    TcpFake fake([](tcp::socket& socket, int n) { return n == 1 && send(socket, okAnswer); });
    const std::shared_ptr<HttpCaller> caller = makeHttpCaller(fake.address(), 1);
    HttpCall call = post();
    call.body.clear();
    BOOST_TEST((caller->call(call).get().sendState == SendState::Answered));
    BOOST_TEST((caller->call(call).get().sendState == SendState::MaybeSent));
    BOOST_TEST(fake.requests == 2);
}

// Guards against reporting an unknown outcome when the server had closed the connection while it was idle.
BOOST_AUTO_TEST_CASE(connection_closed_while_idle_is_replaced)
{
    TcpFake fake([](tcp::socket& socket, int) { return send(socket, okAnswer) && false; });
    const std::shared_ptr<HttpCaller> caller = makeHttpCaller(fake.address(), 1);
    for (int i = 0; i < 3; ++i) {
        BOOST_TEST((caller->call(post()).get().sendState == SendState::Answered));
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    BOOST_TEST(fake.requests == 3);
}

// Guards against reporting an unknown outcome for a write that was never sent.
BOOST_AUTO_TEST_CASE(refused_connection_is_not_sent)
{
    std::string address;
    {
        TcpFake fake([](tcp::socket&, int) { return false; });
        address = fake.address();
    }
    BOOST_TEST((makeHttpCaller(address, 1)->call(post()).get().sendState == SendState::NotSent));
}

// Guards against calls that hang on an unresponsive connection, and against reuse of that connection.
BOOST_AUTO_TEST_CASE(silent_server_times_out_and_connection_is_replaced)
{
    std::atomic<bool> silent { true };
    TcpFake fake([&silent](tcp::socket& socket, int) { return silent || send(socket, okAnswer); });
    const std::shared_ptr<HttpCaller> caller = makeHttpCaller(fake.address(), 1);
    const std::chrono::steady_clock::time_point begin = std::chrono::steady_clock::now();
    BOOST_TEST((caller->call(post(std::chrono::milliseconds(150))).get().sendState == SendState::MaybeSent));
    const std::chrono::steady_clock::duration elapsed = std::chrono::steady_clock::now() - begin;
    BOOST_TEST((elapsed >= std::chrono::milliseconds(150) && elapsed < std::chrono::milliseconds(900)));
    silent = false;
    BOOST_TEST((caller->call(post()).get().sendState == SendState::Answered));
    BOOST_TEST(fake.accepted == 2);
}

// Guards against further timeouts on idle connections that became unresponsive together with the one that timed out.
BOOST_AUTO_TEST_CASE(timeout_discards_idle_connections)
{
    std::atomic<bool> silent { false };
    TcpFake fake([&silent](tcp::socket& socket, int) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        return silent || send(socket, okAnswer);
    });
    const std::shared_ptr<HttpCaller> caller = makeHttpCaller(fake.address(), 2);
    const pplx::task<HttpReply> first = caller->call(post());
    BOOST_TEST((caller->call(post()).get().sendState == SendState::Answered));
    BOOST_TEST((first.get().sendState == SendState::Answered));
    BOOST_TEST(fake.accepted == 2);
    silent = true;
    BOOST_TEST((caller->call(post(std::chrono::milliseconds(200))).get().sendState == SendState::MaybeSent));
    silent = false;
    BOOST_TEST((caller->call(post()).get().sendState == SendState::Answered));
    BOOST_TEST(fake.accepted == 3);
}

// Guards against accepting a truncated answer as complete.
BOOST_AUTO_TEST_CASE(truncated_answer_is_maybe_sent)
{
    for (const char* answer : { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n", "HTTP/1.1 200 OK\r\n\r\n{}",
             "HTTP/1.1 200 OK\r\nContent-Le", "" }) {
        TcpFake fake([answer](tcp::socket& socket, int) { return send(socket, answer) && false; });
        BOOST_TEST((makeHttpCaller(fake.address(), 1)->call(post()).get().sendState == SendState::MaybeSent), answer);
    }
}

// Guards against more connections than the database allows, and against lost waiting calls.
BOOST_AUTO_TEST_CASE(concurrent_calls_share_limited_connections)
{
    TcpFake fake([](tcp::socket& socket, int) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
        return send(socket, okAnswer);
    });
    const std::shared_ptr<HttpCaller> caller = makeHttpCaller(fake.address(), 5);
    std::vector<pplx::task<HttpReply>> calls;
    calls.reserve(100);
    for (int i = 0; i < 100; ++i)
        calls.push_back(caller->call(post()));
    for (const pplx::task<HttpReply>& call : calls)
        BOOST_TEST((call.get().sendState == SendState::Answered));
    BOOST_TEST(fake.requests == 100);
    BOOST_TEST(fake.accepted <= 5);
}

// Guards against a call that waits forever for a connection or is reported as sent without one.
BOOST_AUTO_TEST_CASE(call_that_waits_too_long_is_not_sent)
{
    TcpFake fake([](tcp::socket&, int) { return true; });
    const std::shared_ptr<HttpCaller> caller = makeHttpCaller(fake.address(), 1);
    const pplx::task<HttpReply> running = caller->call(post(std::chrono::milliseconds(400)));
    BOOST_TEST((caller->call(post(std::chrono::milliseconds(100))).get().sendState == SendState::NotSent));
    BOOST_TEST((running.get().sendState == SendState::MaybeSent));
    BOOST_TEST(fake.requests == 1);
}

// An answer that is sent twice must not be taken for the next call's.
BOOST_AUTO_TEST_CASE(a_copy_that_arrives_at_idle_answers_no_later_call)
{
    std::atomic<bool> copied { false };
    TcpFake fake([&](tcp::socket& socket, int n) {
        if (n > 1 || copied.exchange(true))
            return send(socket, "HTTP/1.1 201 OK\r\nContent-Length: 0\r\n\r\n");
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
        send(socket, okAnswer);
        std::this_thread::sleep_for(std::chrono::milliseconds(30));
        return send(socket, okAnswer);
    });
    const std::shared_ptr<HttpCaller> caller = makeHttpCaller(fake.address(), 1);
    BOOST_TEST(caller->call(post()).get().status == 200);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    BOOST_TEST(caller->call(post()).get().status == 201);
    BOOST_TEST(fake.accepted == 2);
}

// Bytes in the segment of the answer are dropped with it; the rest of them must not begin the next answer.
BOOST_AUTO_TEST_CASE(surplus_bytes_after_an_answer_are_not_the_next_answer)
{
    for (const size_t part : { okAnswer.size(), okAnswer.size() / 2, size_t(1) }) {
        std::atomic<bool> copied { false };
        TcpFake fake([&](tcp::socket& socket, int n) {
            if (n > 1 || copied.exchange(true))
                return send(socket, "HTTP/1.1 201 OK\r\nContent-Length: 0\r\n\r\n");
            send(socket, okAnswer + okAnswer.substr(0, part));
            std::this_thread::sleep_for(std::chrono::milliseconds(30));
            return part == okAnswer.size() || send(socket, okAnswer.substr(part));
        });
        const std::shared_ptr<HttpCaller> caller = makeHttpCaller(fake.address(), 1);
        BOOST_TEST(caller->call(post()).get().status == 200);
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        BOOST_TEST(caller->call(post()).get().status == 201, part);
    }
}

// A copy that precedes the call's own answer shows only by what it contains.
BOOST_AUTO_TEST_CASE(an_answer_that_does_not_fit_is_no_answer)
{
    TcpFake fake([](tcp::socket& socket, int n) {
        return n == 1 ? send(socket, okAnswer)
                      : send(socket, okAnswer + "HTTP/1.1 201 OK\r\nContent-Length: 0\r\n\r\n");
    });
    const std::shared_ptr<HttpCaller> caller = makeHttpCaller(fake.address(), 1);
    BOOST_TEST(caller->call(post()).get().status == 200);
    HttpCall second = post();
    second.fits = [](const HttpReply& reply) { return reply.status == 201; };
    const HttpReply reply = caller->call(second).get();
    BOOST_TEST((reply.sendState == SendState::MaybeSent));
    BOOST_TEST(reply.status == 0);
    BOOST_TEST(!reply.error.empty());
    BOOST_TEST(caller->call(post()).get().status == 200); // On a new connection.
    BOOST_TEST(fake.accepted == 2);
}

// Guards against an exception on a thread of the client library, which does not catch it, when it reads the body of a
// call whose deadline has passed.
BOOST_AUTO_TEST_CASE(body_of_an_expired_call_is_not_read)
{
    TcpFake fake([](tcp::socket& socket, int) { return send(socket, okAnswer); });
    const std::shared_ptr<HttpCaller> caller = makeHttpCaller(fake.address(), 8);
    constexpr int calls = 3000;
    std::vector<pplx::task<HttpReply>> running;
    int notSent = 0;
    for (int i = 0; i < calls; ++i) {
        // From no time to that of a whole call, so that some expire while their head is written.
        running.push_back(caller->call(post(std::chrono::microseconds(i % 600))));
        if (running.size() < 8)
            continue;
        for (const pplx::task<HttpReply>& call : running)
            notSent += call.get().sendState == SendState::NotSent ? 1 : 0;
        running.clear();
    }
    BOOST_TEST_MESSAGE(notSent << " calls were not sent");
    BOOST_TEST(notSent > 0);
    BOOST_TEST(notSent < calls);
    for (int i = 0; i < 8; ++i)
        running.push_back(caller->call(post()));
    for (const pplx::task<HttpReply>& call : running)
        BOOST_TEST((call.get().sendState == SendState::Answered));
}

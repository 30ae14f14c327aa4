#include "line_socket.h"
#include "support_gateway_fleet.h"
#include <atomic>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <sys/socket.h>
#include <thread>

// Odd bytes at every port of an entry host, in its store and from one of the servers: each costs its own connection or
// entry only. Entry hosts run as separate processes.

namespace plantainwall::test {

namespace {

    using boost::asio::ip::tcp;
    using boost::asio::ip::udp;
    using std::chrono::milliseconds;

    constexpr size_t hostCount = 2;
    constexpr unsigned clientCount = 12;
    constexpr milliseconds phaseTime(2500);
    constexpr milliseconds restTime(1500);
    constexpr milliseconds answerTime(1200);

    /// Memory of a host that has the longest lines of several connections in its buffers.
    constexpr size_t maxResidentKilobytes = 200 * 1024;

    constexpr size_t mebibyte = 1024 * 1024;

    using Texts = std::vector<std::string>;

    std::string nested(size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

    Texts oddBytes()
    {
        std::string all;
        for (int byte = 0; byte < 256; ++byte)
            all += static_cast<char>(byte);
        return { "\n", "\r\n\r\n", std::string(64, '\0') + "\n", all, all + "\n", "\xff\xfe\xc0\xaf\xed\xa0\x80\n",
            nested(100000) + "\n", std::string(3000, ' ') + "\n", "-1\n", "1e400\n", "18446744073709551616\n" };
    }

    Texts oddCallers()
    {
        Texts texts = oddBytes();
        texts.insert(texts.end(),
            { std::string(5 * mebibyte, 'a'), "STARTUP\r\n", "STARTUP \xff\xfe\x01 key\r\n", "QUERY 1 READ a\r\n",
                "STARTUP " + std::string(mebibyte - 100, 'd') + " key-customer0\r\n",
                "STARTUP nowhere key-customer0\r\n" });
        const std::string opened = "STARTUP " + std::string(lineRouteName(LineRoute::Bounded)) + " key-customer0\r\n";
        for (const std::string& odd : oddBytes())
            texts.push_back(opened + odd + "QUERY 1 \r\n");
        for (const std::string& odd : Texts { std::string("QUERY\r\n"), std::string("QUERY 1 \x01READ a\r\n"),
                 "QUERY 1 SET " + std::string(900000, 's') + "\r\n", "QUERY 1 " + std::string(1200000, 'x'),
                 "QUERY " + std::string(900000, 'i') + " NONSENSE\r\n", std::string("QUERY 1 EXECUTE none\r\n"),
                 std::string("QUERY 1 PREPARE \xff UPDATE x\r\n") })
            texts.push_back(opened + odd);
        std::string many = opened;
        for (int i = 0; i < 20000; ++i)
            many += "QUERY 1 NONSENSE\r\n";
        texts.push_back(many);
        return texts;
    }

    Texts oddBorrowers()
    {
        Texts texts = oddBytes();
        texts.push_back(std::string(5 * mebibyte, '['));
        const std::string max = std::to_string(UINT64_MAX);
        const Texts lines { std::string(R"(["o",1,"nowhere","customer0"])"),
            R"(["o",)" + max + R"(,"i-0","customer0"])", std::string(R"(["o",1,"i-0","\u0000\u0001"])"),
            std::string(R"(["o",1e300,"i-0","customer0"])"),
            std::string("[\"o\",1,\"i-0\",\"customer0\"]\n[\"o\",1,\"i-0\",\"customer0\"]"),
            std::string("[\"o\",1,\"i-0\",\"customer0\"]\n[\"c\",1,99,\"-\",\"\",\"\",\"\",false,0]"),
            "[\"o\",1,\"i-0\",\"customer0\"]\n[\"x\",1]\n[\"x\",1]", R"(["r",1,0,"s","",0,)" + max + "," + max + "]",
            std::string(R"(["O",1])"), std::string(R"(["e",1,0])"), std::string(R"(["q",1])"), std::string(R"([])"),
            std::string(R"({"o":1})"), R"(["o",1,")" + std::string(3 * mebibyte, 'n') + R"(","c"])" };
        for (const std::string& line : lines)
            texts.push_back(line + "\n");
        return texts;
    }

    Texts oddDatagrams()
    {
        Texts texts { "", std::string(1, '\0') };
        const std::string max = std::to_string(UINT64_MAX);
        const Texts rests { std::string(), std::string("\xff\xfe"), nested(20000), std::string("{}"), std::string("[]"),
            std::string("null"), std::string(60000, '9'), max + " " + max + " " + max + " " + max + " x",
            std::string("-1 -1 -1 -1 -1"), std::string("1 host1 ") + std::string(40000, 'c'),
            R"({"h":"host1","n":1e300,"i":-1,"s":[[1e300,-1,{}]],"e":{"ledger":[1e300,-1,0]},"r":1e400})",
            std::string(R"({"h":"host1","n":{},"s":[["ledger"],[[]]],"i":null,"p":{"ledger":["i-0"]},"e":1})"),
            std::string(R"({"h":"host1","f":1e300,"t":-5,"a":-1,"e":1.5,"i":[{"k":1}]})") };
        for (const std::string word : { "", "quota? ", "quota! ", "evidence? ", "evidence! ", "probe? ", "probe! ",
                 "lease? ", "lease! ", "revoke? ", "revoke! ", "changes? ", "changes! ", "store! " }) {
            for (const std::string& rest : rests)
                texts.push_back(word + rest);
        }
        return texts;
    }

    Texts oddProbes()
    {
        Texts texts = oddBytes();
        texts.insert(texts.end(),
            { "GET /readiness HTTP/1.1\r\nHost: x\r\n", "GET /readiness HTTP/9.9\r\n\r\n",
                "GET /" + std::string(2 * mebibyte, 'p') + " HTTP/1.1\r\n\r\n",
                "GET /readiness HTTP/1.1\r\nX: " + std::string(2 * mebibyte, 'h') + "\r\n\r\n",
                "POST /readiness HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n",
                "POST /readiness HTTP/1.1\r\nContent-Length: 5000000\r\n\r\n" + std::string(5000000, 'b'),
                "POST /readiness HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\n",
                "GET \xff\x01 HTTP/1.1\r\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" });
        return texts;
    }

    /// Answers of a server after its READY; "" leaves the command unanswered, and "close" closes.
    const Texts& oddAnswers()
    {
        static const Texts answers { "READY I 1.1", "COMPLETE", "ERROR", "ERROR ??? \x01\xff",
            "DATAROW x\r\nREADY I 1.1", "ERROR FAILED\r\nERROR FAILED\r\nREADY I -", "COMPLETE \r\nREADY Q 1.1",
            nested(50000), "NONSENSE", "close", "", std::string(mebibyte + mebibyte / 2, 'r'),
            "ERROR BUSY " + std::string(mebibyte - 50, 'b') + "\r\nREADY I -",
            "COMPLETE -\r\nDATAROW late\r\nREADY I -", "READY", "\r\n\r\n\r\n" };
        return answers;
    }

    /// Sends each text on a connection of its own and waits a moment for what comes back.
    void sendStreams(uint16_t port, const Texts& texts, const std::atomic<bool>& ended)
    {
        for (const std::string& text : texts) {
            if (ended)
                return;
            boost::asio::io_context loop;
            tcp::socket socket(loop);
            boost::system::error_code ec;
            socket.connect({ boost::asio::ip::address_v4::loopback(), port }, ec);
            const timeval limit { 0, 300000 };
            setsockopt(socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
            const timeval moment { 0, 20000 };
            setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &moment, sizeof(moment));
            (void)::send(socket.native_handle(), text.data(), text.size(), MSG_NOSIGNAL);
            char buf[4096];
            (void)::recv(socket.native_handle(), buf, sizeof(buf), 0);
        }
    }

    void sendDatagrams(uint16_t port, const Texts& texts, const std::atomic<bool>& ended)
    {
        boost::asio::io_context loop;
        udp::socket socket(loop, udp::endpoint(udp::v4(), 0));
        for (const std::string& text : texts) {
            if (ended)
                return;
            boost::system::error_code ec;
            socket.send_to(
                boost::asio::buffer(text), udp::endpoint(boost::asio::ip::address_v4::loopback(), port), 0, ec);
            std::this_thread::sleep_for(milliseconds(1));
        }
    }

    /// A server that answers its first line with READY and all others oddly.
    class OddServer {
    public:
        OddServer(boost::asio::io_context& loop, std::string answer)
            : m_acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
            , m_answer(std::move(answer))
        {
            accept();
        }

        uint16_t port() const { return m_acceptor.local_endpoint().port(); }
        size_t answered() const { return m_answered; }

    private:
        void accept()
        {
            m_acceptor.async_accept([this](const boost::system::error_code& ec, tcp::socket socket) {
                if (ec)
                    return;
                const auto line = std::make_shared<LineSocket>(std::move(socket), LineEnd::CrLf, mebibyte);
                m_sockets.push_back(line);
                LineSocket::Handlers handlers;
                const std::weak_ptr<LineSocket> weak = line;
                handlers.line = [this, weak](std::string_view text) {
                    const std::shared_ptr<LineSocket> it = weak.lock();
                    if (text.substr(0, 7) == "STARTUP") {
                        it->send("READY I 1.1\r\n");
                        return true;
                    }
                    ++m_answered;
                    if (m_answer == "close")
                        it->closeAfterSend();
                    else if (!m_answer.empty())
                        it->send(m_answer + "\r\n");
                    return m_answer != "close";
                };
                line->start(std::move(handlers));
                accept();
            });
        }

        tcp::acceptor m_acceptor;
        std::string m_answer;
        std::vector<std::shared_ptr<LineSocket>> m_sockets;
        size_t m_answered = 0;
    };

    class OddFleet : public GatewayFleet {
    public:
        OddFleet()
            : GatewayFleet({ "odd", hostCount, clientCount })
            , target(options.front())
        {
        }

        /// Runs a sender beside the fleet until it ends or the time is up. Returns the share of operations served.
        double servedBeside(const std::function<void(const std::atomic<bool>& ended)>& sender, milliseconds time)
        {
            std::atomic<bool> ended { false };
            std::thread thread([&] { sender(ended); });
            const auto from = LineClient::Clock::now();
            pass(time);
            ended = true;
            thread.join();
            return servedSince(from);
        }

        double servedFor(milliseconds time)
        {
            const auto from = LineClient::Clock::now();
            pass(time);
            return servedSince(from);
        }

        /// Checks what must hold after every kind of odd input.
        void check(const std::string& input, double served)
        {
            BOOST_TEST(served > 0.99, input << ": served " << served);
            for (const std::string& violation : std::exchange(ledger.violations, {}))
                BOOST_ERROR(input << ": " << violation);
            for (const std::unique_ptr<Process>& host : hosts) {
                BOOST_TEST(host->running(), input << ": a host has ended");
                BOOST_TEST(host->output().find("internal_failure") == std::string::npos, input << ": an error got out");
                BOOST_TEST(peakKilobytes(*host) < maxResidentKilobytes, input << ": " << peakKilobytes(*host) << " KB");
            }
            BOOST_TEST(getJson(loopback(target.status), "/readiness").status == 200, input << ": not ready");
        }

        static size_t peakKilobytes(const Process& host)
        {
            std::ifstream status("/proc/" + std::to_string(host.pid()) + "/status");
            for (std::string line; std::getline(status, line);) {
                if (line.rfind("VmHWM:", 0) == 0)
                    return std::stoul(line.substr(6));
            }
            return 0;
        }

        const GatewayFileOptions target; ///< The host that gets the odd input.
    };

} // namespace

} // namespace plantainwall::test

using namespace plantainwall::test;

BOOST_AUTO_TEST_CASE(odd_bytes_at_a_port_cost_their_own_connection)
{
    OddFleet fleet;
    using Ended = const std::atomic<bool>&;
    const uint16_t callers = fleet.target.callers;
    const uint16_t peers = fleet.target.peers;
    const uint16_t status = fleet.target.status;
    fleet.check("nothing", fleet.servedFor(restTime));
    fleet.check(
        "callers", fleet.servedBeside([&](Ended ended) { sendStreams(callers, oddCallers(), ended); }, phaseTime));
    fleet.check(
        "borrowers", fleet.servedBeside([&](Ended ended) { sendStreams(peers, oddBorrowers(), ended); }, phaseTime));
    fleet.check(
        "datagrams", fleet.servedBeside([&](Ended ended) { sendDatagrams(peers, oddDatagrams(), ended); }, phaseTime));
    fleet.check("probes", fleet.servedBeside([&](Ended ended) { sendStreams(status, oddProbes(), ended); }, phaseTime));
    fleet.check("nothing any more", fleet.servedFor(restTime));
}

BOOST_AUTO_TEST_CASE(odd_items_in_the_store_cost_themselves)
{
    OddFleet fleet;
    const std::string max = std::to_string(UINT64_MAX);
    std::vector<std::string> keys;
    size_t n = 0;
    for (const std::string place : { "servers/", "servers/odd", "plantainwall/hosts/", "plantainwall/replicas/",
             "plantainwall/odd/", "other/", "op/" }) {
        for (const std::string& text : Texts { std::string(), std::string("\xff\xfe\x00\x01", 4), nested(100000),
                 std::string(900000, '{'), std::string("null"), std::string("[1e400]"),
                 R"({"host":1,"incarnation":)" + max + R"(,"address":"x","capacity":1e300})",
                 R"({"host":"odd","incarnation":)" + max + R"(,"address":"x","capacity":-1})",
                 std::string(R"({"servers":[{"id":"","address":{}},1,[]]})") }) {
            keys.push_back(place + std::to_string(n++));
            fleet.store->put(keys.back(), text);
        }
    }
    fleet.check("items", fleet.servedFor(phaseTime));
    for (const std::string& key : keys)
        fleet.store->erase(key);
    fleet.check("nothing any more", fleet.servedFor(restTime));
}

// One server after the other answers everything oddly, as another writer's entry may name anything that listens.
BOOST_AUTO_TEST_CASE(odd_answers_of_a_server_cost_its_connections)
{
    OddFleet fleet;
    for (const std::string& answer : oddAnswers()) {
        OddServer server(fleet.loop, answer);
        const std::string name = "i-odd-" + std::to_string(&answer - oddAnswers().data());
        const LineGroup::Registration registration { name, 0, false, false, 1700000000000, 1 };
        fleet.store->put("servers/" + name, serverDocument(server.port(), registration));
        const double served = fleet.servedFor(answerTime);
        BOOST_TEST(server.answered() > 0U);
        fleet.check("answer " + answer.substr(0, 40), served);
        fleet.store->erase("servers/" + name);
    }
    fleet.check("nothing any more", fleet.servedFor(restTime));
}

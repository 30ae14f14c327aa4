#include "support_gateway_fleet.h"
#include <boost/test/unit_test.hpp>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>

// An entry host in a process of its own is told to end while callers use it.

namespace plantainwall::test {

namespace {

    using Clock = std::chrono::steady_clock;
    using std::chrono::milliseconds;

    constexpr size_t rowBytes = 1'000'000;
    constexpr size_t rowsPerAnswer = 8;
    constexpr size_t answerBytes = rowBytes * rowsPerAnswer;
    constexpr milliseconds grace(6000);

    /// A caller that receives a limited number of bytes a second, on a thread of its own.
    class SlowCaller {
    public:
        SlowCaller(uint16_t port, size_t bytesPerSecond)
            : m_bytesPerSecond(bytesPerSecond)
            , m_descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
        {
            constexpr int receiveBuffer = 64 * 1024;
            setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
            sockaddr_in address {};
            address.sin_family = AF_INET;
            address.sin_port = htons(port);
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            BOOST_REQUIRE(connect(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0);
            send("STARTUP bounded key-customer0\r\n");
        }

        ~SlowCaller()
        {
            m_ended = true;
            if (m_thread.joinable())
                m_thread.join();
            close(m_descriptor);
        }

        SlowCaller(const SlowCaller&) = delete;
        SlowCaller& operator=(const SlowCaller&) = delete;

        void send(const std::string& text)
        {
            BOOST_REQUIRE(::send(m_descriptor, text.data(), text.size(), MSG_NOSIGNAL) == ssize_t(text.size()));
        }

        /// Sends a read and starts to receive.
        void read(const std::string& id)
        {
            send("QUERY " + id + " READ item\r\n");
            m_thread = std::thread([this] { receive(); });
        }

        /// Returns what was received, once the connection has ended.
        const std::string& received()
        {
            m_thread.join();
            return m_text;
        }

    private:
        void receive()
        {
            constexpr milliseconds interval(5);
            std::vector<char> buf(m_bytesPerSecond * interval.count() / 1000);
            while (!m_ended) {
                std::this_thread::sleep_for(interval);
                pollfd poll { m_descriptor, POLLIN, 0 };
                if (::poll(&poll, 1, static_cast<int>(interval.count())) <= 0)
                    continue;
                const ssize_t n = recv(m_descriptor, buf.data(), buf.size(), 0);
                if (n <= 0)
                    return;
                m_text.append(buf.data(), static_cast<size_t>(n));
            }
        }

        size_t m_bytesPerSecond;
        int m_descriptor;
        std::atomic<bool> m_ended { false };
        std::string m_text;
        std::thread m_thread;
    };

    /// A host with a session that asks for a large answer just before it closes its sessions.
    struct DrainingHost {
        explicit DrainingHost(size_t bytesPerSecond)
            : fleet({ "drain", 1, 0 })
            , caller(fleet.options.front().callers, bytesPerSecond)
        {
            fleet.ledger.ask("large", { "customer0", "READ item", 0, {} });
            fleet.group->setRowBytes(rowBytes);
            fleet.group->setRowRepeats(rowsPerAnswer);
            constexpr milliseconds openTime(300);
            fleet.pass(openTime);
            terminatedAt = Clock::now();
            fleet.hosts.front()->terminate();
            constexpr milliseconds untilRequest(1900);
            fleet.pass(untilRequest);
            caller.read("large");
        }

        /// Returns how long after the signal the process ended; the grace if it did not.
        milliseconds endTime()
        {
            constexpr milliseconds step(10);
            while (fleet.hosts.front()->running() && Clock::now() - terminatedAt < grace)
                fleet.pass(step);
            return std::chrono::duration_cast<milliseconds>(Clock::now() - terminatedAt);
        }

        GatewayFleet fleet;
        SlowCaller caller;
        Clock::time_point terminatedAt;
    };

} // namespace

} // namespace plantainwall::test

using namespace plantainwall::test;

// Guards against a process that ends by itself, before its grace is over, with a part of an answer unsent.
BOOST_AUTO_TEST_CASE(answers_leave_before_the_process_ends)
{
    constexpr size_t bytesPerSecond = 4'000'000; // The whole answer takes 2 s.
    DrainingHost host(bytesPerSecond);
    const milliseconds endTime = host.endTime();
    const std::string& text = host.caller.received();
    BOOST_TEST_MESSAGE("ended after " << endTime.count() << " ms");
    BOOST_TEST(text.size() > answerBytes);
    BOOST_TEST((text.find("\r\nCOMPLETE ") != std::string::npos));
    BOOST_TEST((endTime < grace));
}

// Guards against a caller that keeps a process from ending within its grace.
BOOST_AUTO_TEST_CASE(caller_that_does_not_receive_delays_the_end_within_the_grace)
{
    constexpr size_t bytesPerSecond = 100'000;
    DrainingHost host(bytesPerSecond);
    const milliseconds endTime = host.endTime();
    BOOST_TEST_MESSAGE("ended after " << endTime.count() << " ms");
    BOOST_TEST((endTime < grace));
    BOOST_TEST((endTime > grace / 2)); // It waited for the caller.
    BOOST_TEST(host.fleet.hosts.front()->exitStatus() == 0);
}

#include "line_socket.h"
#include "link_message.h"
#include "support_entry_host.h"
#include "support_gateway_fleet.h"
#include <atomic>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <poll.h>
#include <sstream>
#include <sys/resource.h>
#include <sys/socket.h>
#include <thread>

// Crowds of callers that do not keep to the limits, before one entry host in a process of its own, whose settings name
// a small machine. Whatever they send, the process lives, stays within that machine's memory and descriptors, and
// answers an ordinary request afterwards.

namespace plantainwall::test {

namespace {

    using std::chrono::milliseconds;

    constexpr size_t kibibyte = 1024;
    constexpr size_t mebibyte = 1024 * kibibyte;

    /// The machine of the entry host.
    constexpr size_t machineBytes = 64 * mebibyte;
    constexpr size_t machineDescriptors = 700;

    /// Sessions or streams of a crowd that sends or receives much.
    constexpr size_t crowdSize = 90;

    /// Connections of a crowd that only connects.
    constexpr size_t idleCrowdSize = 800;

    /// For how long a crowd goes on.
    constexpr milliseconds crowdTime(5000);

    /// Time in which an ordinary request is tried again. Not a measure: a host that hangs never answers.
    constexpr milliseconds answerLimit(30000);

    constexpr milliseconds sampleInterval(10);

    /// Length of a message's text, which leaves room for the words before it.
    constexpr size_t largeText = mebibyte - 200;

    /// Sends and receives on many connections to one port, without ever waiting for one of them.
    class Crowd {
    public:
        /// Returns the next bytes that a connection sends after all before; empty: none.
        using Next = std::function<std::string(size_t connection, size_t round)>;

        struct Habit {
            size_t pieceBytes = mebibyte; ///< Sent at a time.
            size_t readBytes = 0; ///< Read at a time.
            milliseconds pause { 0 }; ///< Between two pieces of one connection.
            bool awaitsOpening = true; ///< Sends the opening line and waits for its answer before anything else.
        };

        Crowd(uint16_t port, size_t size, Habit habit, Next next)
            : m_habit(habit)
            , m_next(std::move(next))
        {
            for (size_t i = 0; i < size; ++i)
                m_members.push_back(connectTo(port, habit));
        }

        ~Crowd()
        {
            for (const Member& it : m_members)
                close(it.descriptor);
        }

        Crowd(const Crowd&) = delete;
        Crowd& operator=(const Crowd&) = delete;

        void run(const std::atomic<bool>& ended)
        {
            while (!ended) {
                bool worked = false;
                for (size_t i = 0; i < m_members.size() && !ended; ++i)
                    worked = serve(m_members[i], i) || worked;
                std::this_thread::sleep_for(m_habit.pause);
                if (!worked)
                    std::this_thread::sleep_for(milliseconds(1));
            }
        }

    private:
        struct Member {
            int descriptor = -1;
            std::string out;
            size_t sent = 0;
            size_t round = 0;
            bool opened = false;
            bool failed = false;
        };

        static Member connectTo(uint16_t port, const Habit& habit)
        {
            constexpr int smallBuffer = 4096;
            Member member;
            member.descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
            member.opened = !habit.awaitsOpening;
            if (habit.readBytes == 0)
                setsockopt(member.descriptor, SOL_SOCKET, SO_RCVBUF, &smallBuffer, sizeof(smallBuffer));
            sockaddr_in address {};
            address.sin_family = AF_INET;
            address.sin_port = htons(port);
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            (void)connect(member.descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
            return member;
        }

        /// Returns whether anything was sent or received.
        bool serve(Member& member, size_t i)
        {
            if (member.failed)
                return false;
            bool worked = false;
            if (!member.opened || m_habit.readBytes > 0) {
                char buf[64 * kibibyte];
                const size_t limit = member.opened ? std::min(m_habit.readBytes, sizeof(buf)) : 16;
                const ssize_t n = recv(member.descriptor, buf, limit, MSG_DONTWAIT);
                worked = n > 0;
                member.opened = member.opened || n > 0;
                member.failed = n == 0;
            }
            if (member.sent == member.out.size()) {
                member.sent = 0;
                if (member.round == 0 || member.opened)
                    member.out = m_next(i, member.round++);
                else
                    member.out.clear();
            }
            if (member.out.empty())
                return worked;
            const size_t n = std::min(m_habit.pieceBytes, member.out.size() - member.sent);
            const ssize_t sent
                = send(member.descriptor, member.out.data() + member.sent, n, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (sent > 0)
                member.sent += static_cast<size_t>(sent);
            else if (errno != EAGAIN && errno != EINPROGRESS && errno != ENOTCONN && errno != EALREADY)
                member.failed = true;
            return worked || sent > 0;
        }

        Habit m_habit;
        Next m_next;
        std::vector<Member> m_members;
    };

    /// A process of the system, and what it held at most.
    class WatchedHost {
    public:
        WatchedHost()
        {
            rlimit limit {};
            getrlimit(RLIMIT_NOFILE, &limit);
            limit.rlim_cur = limit.rlim_max;
            setrlimit(RLIMIT_NOFILE, &limit);
        }
        virtual ~WatchedHost() = default;

        /// Lets a crowd work beside the host, and checks what the host held meanwhile and what it does afterwards.
        void bear(uint16_t port, size_t size, const Crowd::Habit& habit, Crowd::Next next)
        {
            sample();
            const size_t idleBytes = m_residentBytes;
            Crowd crowd(port, size, habit, std::move(next));
            std::atomic<bool> ended { false };
            std::thread thread([&] { crowd.run(ended); });
            const auto until = std::chrono::steady_clock::now() + crowdTime;
            while (std::chrono::steady_clock::now() < until && process().running())
                sample();
            ended = true;
            thread.join();
            // The crowd's connections are still open.
            const bool answered = ordinaryRequestIsAnswered();
            sample();
            BOOST_TEST_MESSAGE("idle " << idleBytes / kibibyte << " KiB; most resident " << m_residentBytes / kibibyte
                                       << " KiB, most with unread bytes " << m_heldBytes / kibibyte
                                       << " KiB; most descriptors " << m_descriptors);
            BOOST_TEST(process().running(), "the process has ended: " << process().exitStatus());
            BOOST_TEST(m_heldBytes < machineBytes, "held " << m_heldBytes / kibibyte << " KiB");
            BOOST_TEST(m_descriptors < machineDescriptors, "held " << m_descriptors << " descriptors");
            BOOST_TEST(answered, "no answer to an ordinary request");
            BOOST_TEST(process().output().find("internal_failure") == std::string::npos, "an error got out");
        }

    protected:
        virtual Process& process() = 0;
        virtual bool listensAt(unsigned long port) const = 0;
        virtual void pass(milliseconds) = 0;
        virtual bool ordinaryRequestIsAnswered() = 0;

        void sample()
        {
            pass(sampleInterval);
            if (!process().running())
                return;
            const size_t resident = residentBytes();
            m_residentBytes = std::max(m_residentBytes, resident);
            m_heldBytes = std::max(m_heldBytes, resident + unreadBytes());
            const std::filesystem::path descriptors = "/proc/" + std::to_string(process().pid()) + "/fd";
            const std::filesystem::directory_iterator first(descriptors);
            const size_t open = static_cast<size_t>(std::distance(first, std::filesystem::directory_iterator()));
            m_descriptors = std::max(m_descriptors, open);
        }

    private:
        size_t residentBytes()
        {
            std::ifstream status("/proc/" + std::to_string(process().pid()) + "/status");
            for (std::string line; std::getline(status, line);) {
                if (line.rfind("VmRSS:", 0) == 0)
                    return std::stoul(line.substr(6)) * kibibyte;
            }
            return 0;
        }

        /// Returns the bytes that the host's sockets have received and the process has not read.
        size_t unreadBytes() const
        {
            constexpr unsigned long established = 1;
            constexpr unsigned long closeWait = 8;
            size_t bytes = 0;
            std::ifstream table("/proc/net/tcp");
            std::string line;
            std::getline(table, line);
            while (std::getline(table, line)) {
                std::istringstream fields(line);
                std::string slot;
                std::string local;
                std::string remote;
                std::string state;
                std::string queues;
                fields >> slot >> local >> remote >> state >> queues;
                const unsigned long port = std::stoul(local.substr(local.find(':') + 1), nullptr, 16);
                const unsigned long number = std::stoul(state, nullptr, 16);
                if (listensAt(port) && (number == established || number == closeWait))
                    bytes += std::stoul(queues.substr(queues.find(':') + 1), nullptr, 16);
            }
            return bytes;
        }

        size_t m_residentBytes = 0;
        size_t m_heldBytes = 0; ///< Resident, or received and not read.
        size_t m_descriptors = 0;
    };

    /// `plantainwall gateway` on a small machine.
    class SmallHost final : public WatchedHost {
    public:
        SmallHost()
            : fleet({ "unruly", 1, 0, 25, std::to_string(machineBytes / mebibyte) + "MiB", machineDescriptors })
            , options(fleet.options.front())
        {
            fleet.ledger.ask("ordinary", { "customer1", "READ item", 0, {} });
        }

        /// Announces a read of the crowd to the servers, which refuse reads that nobody asked.
        void announce(const std::string& id, const std::string& text)
        {
            fleet.ledger.ask(id, { "customer0", text, 0, {} });
        }

        GatewayFleet fleet;
        const GatewayFileOptions& options;

    private:
        Process& process() override { return *fleet.hosts.front(); }
        void pass(milliseconds time) override { fleet.pass(time); }
        bool listensAt(unsigned long port) const override
        {
            return port == options.callers || port == options.peers || port == options.status;
        }

        /// Sends a read of another customer on connections of its own until one is served.
        bool ordinaryRequestIsAnswered() override
        {
            const auto until = std::chrono::steady_clock::now() + answerLimit;
            fleet.group->setRowBytes(0);
            while (std::chrono::steady_clock::now() < until && process().running()) {
                const auto socket = std::make_shared<LineSocket>(
                    boost::asio::ip::tcp::socket(fleet.loop), LineEnd::CrLf, static_cast<size_t>(mebibyte));
                bool closed = false;
                bool opened = false;
                bool complete = false;
                LineSocket::Handlers handlers;
                handlers.connected = [&] { socket->send("STARTUP bounded key-customer1\r\n"); };
                handlers.closed = [&](bool) { closed = true; };
                handlers.line = [&](std::string_view line) {
                    if (!opened && line.rfind("READY", 0) == 0) {
                        opened = true;
                        socket->send("QUERY ordinary READ item\r\n");
                    } else if (line.rfind("COMPLETE", 0) == 0)
                        complete = true;
                    else if (line.rfind("ERROR", 0) == 0)
                        closed = true;
                    return true;
                };
                socket->connect({ boost::asio::ip::address_v4::loopback(), options.callers }, std::move(handlers));
                constexpr milliseconds tryLimit(3000);
                const auto tryUntil = std::chrono::steady_clock::now() + tryLimit;
                while (!closed && !complete && std::chrono::steady_clock::now() < tryUntil)
                    sample();
                socket->close();
                if (complete)
                    return true;
                constexpr milliseconds tryPause(100);
                pass(tryPause);
            }
            return false;
        }
    };

    /// `plantainwall serve` on the same machine.
    class FrontDoor final : public WatchedHost {
    public:
        FrontDoor()
            : m_fleet({ { "mill/huon" }, {}, {},
                "[http]\nmax_connections = 300\nmemory = " + std::to_string(machineBytes) + "\n" })
            , m_port(static_cast<uint16_t>(std::stoul(m_fleet.at(0).substr(m_fleet.at(0).find(':') + 1))))
        {
        }

        uint16_t port() const { return m_port; }
        const std::string& key() const { return m_fleet.key(); }

        /// Returns whether a read of one statement is served, without a second attempt.
        bool serves(const std::string& statement)
        {
            Caller caller = m_fleet.caller();
            return caller.read(m_fleet.at(0), "g", statement).ok();
        }

    private:
        Process& process() override { return m_fleet.host(0).process(); }
        void pass(milliseconds time) override { std::this_thread::sleep_for(time); }
        bool listensAt(unsigned long port) const override { return port == m_port; }
        bool ordinaryRequestIsAnswered() override
        {
            Caller caller = m_fleet.caller();
            const auto answered = [&] { return caller.query(m_fleet.at(0), "g", { "GET ready" }).ok(); };
            return waitUntil(answered, answerLimit);
        }

        Fleet m_fleet;
        uint16_t m_port;
    };

    const std::string opening = "STARTUP bounded key-customer0\r\n";

    /// After the opening line, sends the same text again and again.
    Crowd::Next repeat(std::string text)
    {
        return [text = std::move(text)](size_t, size_t round) { return round == 0 ? opening : text; };
    }

    /// After the opening line, sends a text once.
    Crowd::Next once(std::string text)
    {
        return [text = std::move(text)](size_t, size_t round) {
            return round == 0 ? opening : round == 1 ? text : std::string();
        };
    }

} // namespace

} // namespace plantainwall::test

using namespace plantainwall;
using namespace plantainwall::test;

BOOST_AUTO_TEST_CASE(whole_large_messages_at_once)
{
    SmallHost host;
    const std::string text = "READ " + std::string(largeText, 'a');
    host.announce("large", text);
    host.bear(host.options.callers, crowdSize, { mebibyte, 4096 }, repeat("QUERY large " + text + "\r\n"));
}

BOOST_AUTO_TEST_CASE(large_messages_in_small_pieces)
{
    SmallHost host;
    const std::string text = "READ " + std::string(largeText, 'a');
    host.announce("large", text);
    host.bear(host.options.callers, crowdSize, { 4096, 4096 }, repeat("QUERY large " + text + "\r\n"));
}

BOOST_AUTO_TEST_CASE(messages_far_over_the_limit)
{
    SmallHost host;
    host.bear(host.options.callers, crowdSize, { 64 * kibibyte, 4096 },
        once("QUERY long READ " + std::string(8 * mebibyte, 'a')));
}

BOOST_AUTO_TEST_CASE(statements_sent_ahead_without_reading_answers)
{
    SmallHost host;
    host.fleet.group->setRowBytes(256 * kibibyte);
    host.announce("rows", "READ item");
    host.bear(host.options.callers, crowdSize, { mebibyte, 0 }, repeat("QUERY rows READ item\r\n"));
}

BOOST_AUTO_TEST_CASE(slow_senders)
{
    SmallHost host;
    host.bear(host.options.callers, crowdSize, { mebibyte, 4096, milliseconds(20) }, [](size_t, size_t round) {
        return round == 0 ? opening
            : round == 1  ? "QUERY slow READ " + std::string(800 * kibibyte, 'a')
                          : std::string(16, 'a');
    });
}

BOOST_AUTO_TEST_CASE(slow_readers)
{
    SmallHost host;
    host.fleet.group->setRowBytes(mebibyte - 200);
    host.announce("rows", "READ item");
    host.bear(host.options.callers, crowdSize, { mebibyte, 64, milliseconds(20) }, repeat("QUERY rows READ item\r\n"));
}

BOOST_AUTO_TEST_CASE(messages_stopped_half_way)
{
    SmallHost host;
    host.bear(host.options.callers, crowdSize, { mebibyte, 4096 },
        once("QUERY half READ " + std::string(900 * kibibyte, 'a')));
}

BOOST_AUTO_TEST_CASE(connections_without_a_session)
{
    SmallHost host;
    host.bear(host.options.callers, idleCrowdSize, { mebibyte, 16, milliseconds(0), false },
        [](size_t, size_t round) { return round == 0 ? std::string("STARTUP bounded") : std::string(); });
}

BOOST_AUTO_TEST_CASE(prepared_names_without_end)
{
    SmallHost host;
    host.bear(host.options.callers, 8, { mebibyte, 64 * kibibyte }, [](size_t connection, size_t round) {
        return round == 0 ? opening
                          : "QUERY p PREPARE n" + std::to_string(round) + " READ q" + std::to_string(connection) + "-"
                + std::string(20 * kibibyte, 'q') + "\r\n";
    });
}

// Guards against shapes that a host keeps for a transaction after the session has dropped them.
BOOST_AUTO_TEST_CASE(prepared_shapes_in_one_transaction)
{
    constexpr size_t connections = 4;
    constexpr size_t shapes = 80;
    constexpr size_t shapeBytes = 300 * kibibyte; // All together, more than the machine has.
    SmallHost host;
    const auto shapeOf = [](size_t connection, size_t i) {
        return "q" + std::to_string(connection) + "-" + std::to_string(i) + "-" + std::string(shapeBytes, 'q');
    };
    const auto nameOf
        = [](size_t connection, size_t i) { return "shape" + std::to_string(connection) + "-" + std::to_string(i); };
    for (size_t i = 0; i < connections; ++i) {
        for (size_t j = 0; j < shapes; ++j)
            host.fleet.ledger.ask(nameOf(i, j), { "customer0", "EXECUTE s item", i + 1, {}, "READ " + shapeOf(i, j) });
    }
    host.bear(host.options.callers, connections, { mebibyte, 64 * kibibyte },
        [&](size_t connection, size_t round) -> std::string {
            if (round == 0)
                return opening;
            if (round == 1)
                return "QUERY b BEGIN READ\r\n";
            const size_t i = (round - 2) / 3;
            if (i >= shapes)
                return {};
            const std::string texts[] = { "QUERY p PREPARE s READ " + shapeOf(connection, i),
                "QUERY " + nameOf(connection, i) + " EXECUTE s item", "QUERY d DEALLOC s" };
            return texts[(round - 2) % 3] + "\r\n";
        });
    const size_t ran = host.fleet.ledger.signatures.size();
    BOOST_TEST_MESSAGE(ran << " statements ran");
    BOOST_TEST(ran > connections * shapes * 9 / 10);
    for (const std::string& violation : host.fleet.ledger.violations)
        BOOST_ERROR(violation.substr(0, 200));
}

BOOST_AUTO_TEST_CASE(session_values_without_end)
{
    SmallHost host;
    host.bear(host.options.callers, 8, { mebibyte, 64 * kibibyte }, [](size_t, size_t round) {
        return round == 0 ? opening
                          : "QUERY v SET n" + std::to_string(round) + " " + std::string(20 * kibibyte, 'v') + "\r\n";
    });
}

BOOST_AUTO_TEST_CASE(peers_that_stop_half_way)
{
    SmallHost host;
    host.bear(host.options.peers, crowdSize, { mebibyte, 4096, milliseconds(0), false }, [](size_t, size_t round) {
        return round == 0 ? "[\"o\",1,\"" + std::string(3 * mebibyte, 'a') : std::string();
    });
}

BOOST_AUTO_TEST_CASE(peers_that_do_not_read)
{
    SmallHost host;
    host.fleet.group->setRowBytes(256 * kibibyte);
    host.announce("rows", "READ item");
    host.bear(host.options.peers, crowdSize, { mebibyte, 0, milliseconds(0), false }, [&](size_t i, size_t round) {
        LinkMessage message;
        message.link = 1;
        message.kind = round == 0 ? LinkMessageKind::Open : LinkMessageKind::Command;
        message.server = host.fleet.group->id(i % host.fleet.group->size());
        message.customer = "customer0";
        message.command.id = "rows";
        message.command.text = "READ item";
        return encodeLinkMessage(message, LinkFormat::Strings).value() + "\n";
    });
}

BOOST_AUTO_TEST_CASE(peers_that_only_connect)
{
    SmallHost host;
    host.bear(host.options.peers, idleCrowdSize, { mebibyte, 16, milliseconds(0), false },
        [](size_t, size_t) { return std::string(); });
}

BOOST_AUTO_TEST_CASE(probes_that_stop_half_way)
{
    SmallHost host;
    host.bear(host.options.status, idleCrowdSize, { mebibyte, 16, milliseconds(0), false }, [](size_t, size_t round) {
        return round == 0 ? "GET /readiness HTTP/1.1\r\nX: " + std::string(7 * kibibyte, 'h') : std::string();
    });
}

BOOST_AUTO_TEST_CASE(front_door_bodies_that_stop_half_way)
{
    FrontDoor host;
    host.bear(host.port(), crowdSize, { mebibyte, 4096, milliseconds(0), false }, [](size_t, size_t round) {
        return round == 0 ? "POST /v1/groups/g/query HTTP/1.1\r\nHost: x\r\nContent-Length: 1048576\r\n\r\n"
                + std::string(1000 * kibibyte, ' ')
                          : std::string();
    });
}

BOOST_AUTO_TEST_CASE(front_door_bodies_at_once)
{
    FrontDoor host;
    host.bear(host.port(), crowdSize, { mebibyte, 4096, milliseconds(0), false }, [](size_t, size_t) {
        return "POST /v1/groups/g/query HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n"
            + std::string(1000000, ' ');
    });
}

BOOST_AUTO_TEST_CASE(front_door_statements_at_once)
{
    FrontDoor host;
    BOOST_TEST(host.serves("GET " + std::string(1000000, 'k')), "a large request is not served in calm");
    const std::string body = R"({"read_only": true, "statements": ["GET )" + std::string(1000000, 'k') + R"("]})";
    const std::string request = "POST /v1/groups/g/query HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + host.key()
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    host.bear(host.port(), crowdSize, { mebibyte, 4096, milliseconds(0), false },
        [&](size_t, size_t) { return std::string(request); });
}

BOOST_AUTO_TEST_CASE(front_door_connections_without_a_request)
{
    FrontDoor host;
    host.bear(host.port(), idleCrowdSize, { mebibyte, 16, milliseconds(0), false }, [](size_t, size_t round) {
        return round == 0 ? "POST /v1/groups/g/query HTTP/1.1\r\nX: " + std::string(12 * kibibyte, 'h') : std::string();
    });
}

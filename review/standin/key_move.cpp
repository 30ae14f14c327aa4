// Stand-ins for the platform's store, a service of three databases and one client, for review case 4.
//
// The client holds a transaction open while the operator moves its key from one tenant to another.
// Usage: key_move DIRECTORY RECORD TROUBLE. Writes the settings of one entry host to DIRECTORY/node.toml and plays the
// case once the host is ready. Exit code: 1 if UNASKED was broken, 0 if it held, 2 if the case could not run.

#include "../../tests/support_kv_store.h"
#include "../../tests/support_line_group.h"
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <memory>

namespace {

using boost::asio::ip::tcp;
using plantainwall::LineSocket;
using plantainwall::test::KvStore;
using plantainwall::test::Ledger;
using plantainwall::test::LineGroup;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr size_t databases = 3;
constexpr size_t maxLine = 1 << 20;
constexpr milliseconds heartbeat(1200);
/// Time from the acknowledgement of a configuration to its being in force on all hosts (`config_apply_ms`).
constexpr milliseconds configApply(4000);
/// Pause between the statements of the transaction, below the `tx_idle_ms` of the configuration (3000).
constexpr milliseconds statementPause(2500);
constexpr unsigned statements = 6;
constexpr milliseconds startLimit(30000);
constexpr milliseconds caseLimit(60000);

std::string loopback(uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

class Case {
public:
    Case(std::string directory, const std::string& record, bool trouble)
        : m_directory(std::move(directory))
        , m_record(record)
        , m_trouble(trouble)
    {
        // All sockets stay open until every port is known, so that the ports differ.
        std::vector<std::unique_ptr<tcp::acceptor>> reserved;
        for (size_t i = 0; i < databases + 4; ++i) {
            reserved.push_back(
                std::make_unique<tcp::acceptor>(m_loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)));
            m_ports.push_back(reserved.back()->local_endpoint().port());
        }
    }

    int run()
    {
        m_store = std::make_unique<KvStore>(m_loop, m_ports[databases], [this](const KvStore::Order& order) {
            return m_group->promote(order.id, order.holder, order.fencingToken);
        });
        configure(1, "a");
        const std::vector<uint16_t> ports(m_ports.begin(), m_ports.begin() + databases);
        m_group = std::make_unique<LineGroup>(m_loop, ports, m_ledger,
            [this](const LineGroup::Registration& registration) { registerDatabase(registration); });
        writeSettings();
        beat();
        awaitHost();
        after(caseLimit + startLimit, [this] { finish("time limit", 2); });
        m_loop.run();
        return m_exit;
    }

private:
    void note(const std::string& text)
    {
        const auto ms = std::chrono::duration_cast<milliseconds>(Clock::now() - m_started).count();
        m_record << ms << " ms " << text << std::endl;
    }

    void after(milliseconds delay, std::function<void()> task)
    {
        const auto timer = std::make_shared<boost::asio::steady_timer>(m_loop, delay);
        timer->async_wait([timer, task = std::move(task)](const boost::system::error_code& ec) {
            if (!ec)
                task();
        });
    }

    void registerDatabase(const LineGroup::Registration& registration)
    {
        const std::string key = "servers/" + registration.id;
        if (registration.removed) {
            m_store->erase(key);
            return;
        }
        const std::string role = registration.primary ? "primary" : "replica";
        m_store->put(key,
            R"({"service":"ledger","address":")" + loopback(m_ports[registration.index])
                + R"(","zone":"huon-mill","version":"v1","slots":5,"state":"ready","warmup_left_ms":0,"db_role":")"
                + role + R"(","born":)" + std::to_string(registration.bornUnixMs) + R"(,"seq_no":)"
                + std::to_string(registration.sequence) + "}");
    }

    void beat()
    {
        m_group->registerAll();
        after(heartbeat, [this] { beat(); });
    }

    /// @param holder Tenant that holds the client's key, "a" or "b".
    void configure(unsigned version, const std::string& holder)
    {
        const auto tenant = [&](const std::string& name) {
            const std::string keys = name == holder ? R"("client-key",)" : "";
            return R"({"name":"tenant-)" + name + R"(","api_keys":[)" + keys + R"("key-)" + name
                + R"("],"priority":1,"rate_per_s":100,"burst":100})";
        };
        m_store->put("op/config",
            R"({"version":)" + std::to_string(version)
                + R"(,"routes":[{"name":"r-1","host":"orders","prefix":"/","kind":"primary","timeout_ms":1000,)"
                + R"("target_latency_ms":1000,"priority":1,"service":"ledger","max_attempts":2,"public":false}],)"
                + R"("services":[{"name":"ledger","max_conns":32,"sync_replicas":1}],"limits":{"tx_idle_ms":3000},)"
                + R"("tenants":[)" + tenant("a") + "," + tenant("b") + "]}");
        note("configuration " + std::to_string(version) + " acknowledged: client-key belongs to tenant-" + holder);
        if (version > 1)
            m_changedAt = Clock::now();
        m_holder = holder;
    }

    void writeSettings()
    {
        const std::string path = m_directory + "/node.toml";
        std::ofstream(path + ".new")
            << "[gateway]\nhost = \"frontend-1\"\ndata_centre = \"huon-mill\"\nregion = \"huon\"\n"
            << "caller_listen = \"" << loopback(m_ports[databases + 1]) << "\"\nstatus_listen = \""
            << loopback(m_ports[databases + 2]) << "\"\npeer_listen = \"" << loopback(m_ports[databases + 3])
            << "\"\nstore = \"" << loopback(m_ports[databases]) << "\"\npromotions = \"" << loopback(m_ports[databases])
            << "\"\nfirst_start = true\nfenced_primaries = true\nstore_min_lease = \"1000ms\"\n"
            << "drain_limit = \"7000ms\"\nshutdown_grace = \"6s\"\nmax_descriptors = 4300\n"
            << "capacity = 0.25\n\n[regions]\n\"huon-mill\" = \"huon\"\n";
        std::rename((path + ".new").c_str(), path.c_str());
    }

    /// Tries to open the client's session until the host accepts it.
    void awaitHost()
    {
        if (m_open)
            return;
        if (Clock::now() - m_started > startLimit) {
            finish("the entry host did not become ready", 2);
            return;
        }
        m_socket = std::make_shared<LineSocket>(tcp::socket(m_loop), maxLine);
        LineSocket::Handlers handlers;
        handlers.connected = [this] { m_socket->send("STARTUP orders client-key\r\n"); };
        handlers.line = [this](std::string_view line) {
            answered(std::string(line));
            return true;
        };
        handlers.closed = [this](bool) { closed(); };
        handlers.connectFailed = [this](const boost::system::error_code&) { closed(); };
        m_socket->connect(
            tcp::endpoint(boost::asio::ip::address_v4::loopback(), m_ports[databases + 1]), std::move(handlers));
    }

    void closed()
    {
        if (!m_open)
            after(milliseconds(300), [this] { awaitHost(); });
        else
            finish("the entry host closed the session", m_broken.empty() ? 0 : 1);
    }

    void answered(const std::string& line)
    {
        if (!m_open) {
            m_open = line.rfind("READY", 0) == 0;
            // Lets the host find the primary and the fleet settle.
            if (m_open)
                after(milliseconds(3000), [this] { send("BEGIN"); });
            return;
        }
        note("answer: " + line);
        m_failed = m_failed || line.rfind("ERROR", 0) == 0;
        // The ledger expects tenant-a, so a database signs only what it ran for tenant-a.
        const bool ran = line.rfind("COMPLETE ", 0) == 0 && line != "COMPLETE -" && m_ledger.violations.empty();
        if (ran && m_othersKey)
            m_broken.push_back(m_statement + " ran for tenant-a, but the key belongs to tenant-b");
        if (line.rfind("READY", 0) != 0)
            return;
        if (m_failed) {
            finish("the client was refused", m_broken.empty() ? (m_trouble ? 0 : 2) : 1);
            return;
        }
        if (m_committing) {
            finish("the transaction was committed", m_broken.empty() ? 0 : 1);
            return;
        }
        if (m_sent == 3)
            after(milliseconds(100), [this] { configure(2, m_trouble ? "b" : "a"); });
        const bool first = m_sent == 1;
        after(first ? milliseconds(0) : statementPause, [this] { sendNext(); });
    }

    void sendNext()
    {
        m_committing = m_sent > statements;
        send(m_committing ? "COMMIT" : "WRITE item" + std::to_string(m_sent) + " braid");
    }

    void send(const std::string& text)
    {
        const std::string id = "client" + std::to_string(++m_sent);
        // While a configuration may not be in force everywhere yet, the older one counts too.
        const bool inForce = m_changedAt != Clock::time_point() && Clock::now() - m_changedAt > configApply;
        m_othersKey = inForce && m_holder != "a";
        m_statement = id + " " + text;
        note("sent: " + m_statement + ", key of tenant-" + m_holder + (m_othersKey ? ", in force" : ""));
        m_ledger.ask(id, { "tenant-a", text, 1, {} });
        m_socket->send("QUERY " + id + " " + text + "\r\n");
    }

    void finish(const std::string& reason, int exitCode)
    {
        if (m_finished)
            return;
        m_finished = true;
        m_exit = exitCode;
        note("end: " + reason);
        for (const auto& [id, signature] : m_ledger.signatures)
            note(std::string("run: ").append(id).append(", signed ").append(signature));
        for (const std::string& violation : m_ledger.violations)
            note("database: " + violation);
        for (const std::string& statement : m_broken)
            note("broken: UNASKED: " + statement);
        m_record << m_ledger.events;
        m_loop.stop();
    }

    boost::asio::io_context m_loop { 1 };
    std::string m_directory;
    std::ofstream m_record;
    bool m_trouble;
    Clock::time_point m_started = Clock::now();
    std::vector<uint16_t> m_ports; ///< Databases, store, then callers, status and peers of the entry host.
    Ledger m_ledger;
    std::unique_ptr<KvStore> m_store;
    std::unique_ptr<LineGroup> m_group;
    std::shared_ptr<LineSocket> m_socket;
    std::string m_holder;
    std::string m_statement; ///< Sent last.
    std::vector<std::string> m_broken;
    bool m_othersKey = false; ///< The last statement was sent while the key was another tenant's for certain.
    Clock::time_point m_changedAt;
    unsigned m_sent = 0;
    bool m_open = false;
    bool m_failed = false;
    bool m_committing = false;
    bool m_finished = false;
    int m_exit = 2;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::cerr << "usage: key_move DIRECTORY RECORD TROUBLE" << std::endl;
        return 2;
    }
    try {
        return Case(argv[1], argv[2], std::string(argv[3]) != "0").run();
    } catch (const std::exception& error) {
        std::cerr << "key_move: " << error.what() << std::endl;
        return 2;
    }
}

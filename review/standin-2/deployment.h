#pragma once

#include "../../tests/support_kv_store.h"
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace plantainwall::review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/// Exit statuses of a case.
enum class Verdict : int { Held = 0, Broken = 1, CouldNotRun = 2 };

/// Returns whether the case runs with its disruption: always, unless TROUBLE=0 is in the environment.
bool withTrouble();

/// Writes what was sent, answered and run to record.txt, with the milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& path);
    void note(const std::string& event);
    Milliseconds now() const { return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_started); }

private:
    std::ofstream m_file;
    Clock::time_point m_started = Clock::now();
};

/// Returns a text that is short enough for the record.
std::string shortened(std::string_view text);

/// Returns a port of 127.0.0.1 that nobody listens on.
uint16_t freePort();

/// Connection of lines that end with CR LF, with its own code.
class Lines : public std::enable_shared_from_this<Lines> {
public:
    struct Handlers {
        std::function<void(std::string_view line)> line;
        std::function<void()> closed; ///< Not called after close().
    };

    explicit Lines(boost::asio::ip::tcp::socket socket);
    void start(Handlers);
    void send(std::string_view text);
    void close();
    bool open() const { return m_open; }

    /// Makes the connection read no more than this many bytes a second, as over a link of that bandwidth.
    void limitBandwidth(size_t bytesPerSecond) { m_bytesPerSecond = bytesPerSecond; }
    size_t bytesRead() const { return m_bytesRead; }

private:
    void read();
    void readLater(size_t bytes);
    void deliver();
    void write();
    void fail();

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    Handlers m_handlers;
    std::string m_in;
    size_t m_searched = 0;
    std::string m_buffer;
    std::deque<std::string> m_out;
    size_t m_bytesPerSecond = 0;
    size_t m_bytesRead = 0;
    Clock::time_point m_readUntil;
    bool m_open = false;
    bool m_writing = false;
};

/// A service's databases: one primary, replicas that receive and apply each commit. A write is answered once one
/// replica has received it. All on one event loop.
class Databases {
public:
    struct Settings {
        std::string service = "ledger";
        size_t count = 3;
        Milliseconds work { 3 };
        Milliseconds receive { 4 };
        Milliseconds promotion { 1000 };
        unsigned slots = 5;
        unsigned maxConnections = 32;
    };
    struct Commit {
        std::string id;
        uint64_t term = 0;
    };
    struct Server {
        std::string id;
        std::string zone;
        uint16_t port = 0;
        bool running = false;
        bool reachesStore = true;
        std::vector<Commit> log;
        uint64_t pausedAtTerm = 0;
        uint64_t term = 1;
        Milliseconds receiveDelay { 0 };
        bool receives = true; ///< Whether the primary's messages reach it.
        uint64_t bornUnixMs = 0;
        uint64_t sequence = 0;
        std::set<uint64_t> refusedPeers;
        std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
        std::list<std::weak_ptr<Lines>> connections;
    };

    Databases(boost::asio::io_context&, Record&, test::KvStore&, const Settings&);
    ~Databases();

    /// Called when a server is asked for its status.
    /// @param opened When the connection was opened.
    std::function<void(size_t index, Clock::time_point opened)> statusAsked;

    /// Returns whether a server's messages from and to the connections of a tenant are lost.
    std::function<bool(size_t index, const std::string& tenant)> cutOff;

    /// Rows that a READ of an item returns.
    std::function<std::vector<std::string>(const std::string& item)> rows;

    Server& server(size_t index) { return m_servers[index]; }
    const std::vector<Server>& servers() const { return m_servers; }
    std::optional<size_t> primary() const { return m_primary; }
    uint64_t term() const { return m_term; }

    /// Takes an order to promote. Returns the HTTP status.
    unsigned promote(const test::KvStore::Order&);

    void registerServers();

    /// Ends a server's process; its log stays.
    void crash(size_t index);
    /// Starts a crashed server with its log.
    void restart(size_t index);

    size_t acknowledged() const { return m_acknowledged.size(); }
    uint64_t statements() const { return m_statements; }
    /// Commits that were acknowledged and that the database that was promoted lacked.
    const std::vector<std::string>& lost() const { return m_lost; }
    /// Times at which a caller's statement ran, by its id.
    const std::multimap<std::string, std::string>& runs() const { return m_runs; }

private:
    struct Session;
    struct Pending {
        size_t position;
        std::string id;
        std::function<void(bool kept)> done;
    };

    void accept(size_t index);
    void take(const std::shared_ptr<Session>&, std::string_view line);
    void next(const std::shared_ptr<Session>&);
    void execute(const std::shared_ptr<Session>&, const std::string& line);
    void open(const std::shared_ptr<Session>&, std::string_view rest);
    void begin(const std::shared_ptr<Session>&, std::string_view mode);
    void fail(const std::shared_ptr<Session>&, const std::string& code);
    /// Runs a statement that takes no slot. Returns false if it is none.
    bool runAtOnce(const std::shared_ptr<Session>&, const std::string& verb, std::string_view rest);
    /// Runs STATUS, PAUSE, RESUME or DEMOTE. Returns false if it is none.
    bool control(size_t index, const std::string& verb, std::string_view rest);
    void runStatement(
        const std::shared_ptr<Session>&, const std::string& id, const std::string& verb, const std::string& rest);
    void answer(const std::shared_ptr<Session>&, const std::string& result);
    void after(Milliseconds, std::function<void()>);
    void commit(const std::string& id, std::function<void(bool kept)> done);
    void replicate(size_t index);
    void endPending(bool kept, size_t upTo);
    void takeEffect(size_t index);
    bool leads(size_t index) const { return m_primary == index; }
    std::string status(size_t index) const;
    std::string position(size_t index) const;

    boost::asio::io_context& m_loop;
    Record& m_record;
    test::KvStore& m_store;
    Settings m_settings;
    std::vector<Server> m_servers;
    std::optional<size_t> m_primary = 0;
    uint64_t m_term = 1;
    uint64_t m_fence = 0;
    uint64_t m_signatures = 0;
    uint64_t m_statements = 0;
    std::list<Pending> m_pending;
    std::vector<std::string> m_acknowledged;
    std::vector<std::string> m_lost;
    std::multimap<std::string, std::string> m_runs;
    boost::asio::steady_timer m_heartbeat;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// The platform's call that promotes a database.
class PromotionPort {
public:
    /// Returns the HTTP status; nothing: the call gets no answer.
    using Handler = std::function<std::optional<unsigned>(const test::KvStore::Order&)>;

    PromotionPort(boost::asio::io_context&, uint16_t port, Handler);

private:
    struct Connection;

    void accept();
    void read(const std::shared_ptr<Connection>&);
    void handle(const std::shared_ptr<Connection>&);

    boost::asio::io_context& m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
};

/// Passes on the datagrams that other entry hosts send to one, unless they are cut off from each other.
class PeerRoute {
public:
    /// Returns whether datagrams from a sender's port are lost.
    using Cut = std::function<bool(uint16_t sender)>;

    PeerRoute(boost::asio::io_context&, uint16_t port, uint16_t target, Cut);

private:
    void receive();
    void pass(uint16_t sender, size_t size);

    boost::asio::io_context& m_loop;
    boost::asio::ip::udp::socket m_socket;
    uint16_t m_target;
    Cut m_cut;
    boost::asio::ip::udp::endpoint m_sender;
    std::vector<char> m_buffer;
};

/// An entry host: the project's program as its own process.
class Host {
public:
    struct Place {
        std::string name;
        std::string zone;
        unsigned memoryMb = 260;
        uint16_t storePort = 0;
        uint16_t promotionPort = 0;
        uint16_t advertisedPeerPort = 0; ///< 0: its own.
    };

    Host(Record&, const std::string& folder, const Place&);
    ~Host();
    Host(const Host&) = delete;
    Host& operator=(const Host&) = delete;

    void start();
    void signal(int number);
    /// Returns whether the process runs; notes its end.
    bool running();
    /// Returns its resident memory in bytes; 0 if it does not run.
    size_t residentBytes() const;
    uint16_t callerPort() const { return m_callers; }
    uint16_t statusPort() const { return m_status; }
    uint16_t peerPort() const { return m_peers; }
    const std::string& name() const { return m_place.name; }
    std::string output() const;
    std::optional<int> exitStatus() const { return m_exitStatus; }

private:
    Record& m_record;
    Place m_place;
    std::string m_settingsFile;
    std::string m_outputFile;
    uint16_t m_callers = freePort();
    uint16_t m_status = freePort();
    uint16_t m_peers = freePort();
    pid_t m_pid = -1;
    std::optional<int> m_exitStatus;
};

/// A caller's session: one statement at a time.
class Caller {
public:
    struct Answer {
        bool closed = false; ///< The connection ended before the answer was complete.
        std::string error; ///< First word of an ERROR.
        std::vector<std::string> rows;
        std::string signature;
        std::string state;
        bool ok() const { return !closed && error.empty(); }
    };
    using Done = std::function<void(const Answer&)>;

    Caller(boost::asio::io_context&, Record&, std::string name);
    ~Caller();

    /// Opens a session; done tells whether it is open.
    void open(uint16_t port, const std::string& database, const std::string& key, std::function<void(bool)> done);
    /// Sends one statement.
    void query(const std::string& id, const std::string& text, Done);
    void close();
    bool ready() const { return m_ready && m_lines && m_lines->open(); }
    const std::string& name() const { return m_name; }
    size_t bytesRead() const { return m_lines ? m_lines->bytesRead() : 0; }

    size_t bytesPerSecond = 0; ///< Of the path from the entry host; 0: unlimited.
    bool quiet = false; ///< Nothing of it is recorded.

private:
    void takeLine(std::string_view line);
    void finish();

    boost::asio::io_context& m_loop;
    Record& m_record;
    std::string m_name;
    std::shared_ptr<Lines> m_lines;
    bool m_ready = false;
    std::function<void(bool)> m_opened;
    std::string m_id;
    Done m_done;
    Answer m_answer;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

/// The whole deployment: store, databases, entry hosts.
class Deployment {
public:
    struct Tenant {
        std::string name;
        unsigned ratePerSecond = 500;
        unsigned burst = 500;
    };
    struct Settings {
        std::vector<std::string> hostZones { "huon-mill", "huon-sheds", "tamar-store" };
        Databases::Settings databases;
        std::vector<Tenant> tenants { { "milliners" } };
        unsigned memoryMb = 260;
        bool peerRoutes = false; ///< Entry hosts reach each other through PeerRoute.
    };

    /// @param recordFile Where the record is written.
    Deployment(const std::string& recordFile, const Settings&);
    ~Deployment();

    /// Starts the entry hosts and waits until all of them report that they are ready. Returns whether they did.
    bool start();
    void pass(Milliseconds);
    bool passUntil(Milliseconds limit, const std::function<bool()>& condition);
    void after(Milliseconds, std::function<void()>);
    std::string freshId() { return "q" + std::to_string(++m_lastId); }

    boost::asio::io_context loop;
    Record record;
    std::unique_ptr<test::KvStore> store;
    std::unique_ptr<Databases> databases;
    std::vector<std::unique_ptr<Host>> hosts;
    /// Takes the place of Databases::promote(), if set.
    PromotionPort::Handler promoted;
    /// Entry host that is cut off from all others, if there are routes; null: none.
    const Host* cutOffHost = nullptr;

private:
    bool hostsReady();
    bool isCutOff(const Host& receiver, uint16_t sender) const;

    Settings m_settings;
    std::string m_work;
    uint16_t m_storePort = freePort();
    uint16_t m_promotionPort = freePort();
    std::unique_ptr<PromotionPort> m_promotions;
    std::list<PeerRoute> m_peerRoutes;
    uint64_t m_lastId = 0;
};

/// Runs a case and returns its exit status; an exception means that it could not run.
int runCase(const std::function<Verdict()>&);

} // namespace plantainwall::review

#pragma once

#include "line_socket.h" // For stand-ins elsewhere that include this header.
#include "support_odd_texts.h"
#include "support_wire_stream.h"
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace plantainwall::test {

/// What callers asked and were told, against which backend servers and callers check each other.
class Ledger {
public:
    struct Asked {
        std::string customer;
        std::string text;
        uint64_t transaction = 0; ///< 0: a single statement.
        std::map<std::string, std::string> values; ///< Session values that were acknowledged before.
        /// For EXECUTE: mode and shape that the caller prepared under the name, for example "READ q1".
        std::string shape = {};
    };

    void ask(const std::string& id, Asked asked) { m_asked[id] = std::move(asked); }
    const Asked* find(const std::string& id) const
    {
        const auto it = m_asked.find(id);
        return it == m_asked.end() ? nullptr : &it->second;
    }

    /// Returns the id of the request to which a signature was given; empty if there is none.
    std::string signedFor(const std::string& signature) const;

    /// Notes a broken promise.
    void violation(const std::string& rule, const std::string& detail)
    {
        violations.push_back(rule + ": " + printable(detail));
        note("violation " + violations.back());
    }

    /// Notes an event with the wall clock, to compare with the logs of the entry hosts.
    void note(const std::string& event);

    std::vector<std::string> violations;
    std::string events; ///< One a line.
    /// Of answers, by request id. A read whose answer is overdue may run on a second server.
    std::multimap<std::string, std::string> signatures;
    std::map<std::string, std::vector<std::string>> rows; ///< That were sent with a signature; none for writes.
    std::map<std::string, uint64_t>
        committed; ///< Position of each write that took effect, by id of its commit or write.
    std::map<std::string, unsigned> effects; ///< How often each write took effect and was not rolled back.
    std::set<std::string> acknowledged; ///< Ids of the commits and writes that were confirmed to an entry host.

private:
    std::map<std::string, Asked> m_asked;
};

/// Stand-in for a service's databases that speak the line protocol: one primary, replicas that receive and apply later,
/// commits that one replica confirms. All on one event loop.
class LineGroup {
public:
    struct Settings {
        std::string service = "ledger";
        unsigned maxConnections = 32;
        std::chrono::milliseconds work { 6 };
        std::chrono::milliseconds replication { 4 };
        std::chrono::milliseconds apply { 15 };
        std::chrono::milliseconds promotion { 400 };
        /// Time after which the store removes the registration of a server that does not write it any more.
        std::chrono::milliseconds registration { 2000 };
    };
    /// What a server writes about itself, or the store's removal of it.
    struct Registration {
        std::string id;
        size_t index = 0;
        bool primary = false;
        bool removed = false;
        uint64_t bornUnixMs = 0; ///< Start of the server; always another value if it has lost its log.
        uint64_t sequence = 0; ///< Counts the writes since that start.
    };
    using Register = std::function<void(const Registration&)>;

    LineGroup(boost::asio::io_context&, const std::vector<uint16_t>& ports, Ledger&, Register);
    ~LineGroup();

    /// Takes an order to promote. Tokens of accepted orders never fall; one token belongs to one holder.
    /// @return The HTTP status.
    unsigned promote(const std::string& id, const std::string& holder, uint64_t fencingToken);

    /// Ends a server's process; its log stays. Every second time the start time changes.
    void crash(size_t index);
    void restart(size_t index);

    /// Ends a server's process and destroys its log; restart() starts it empty, as a replica.
    /// @return Whether it was done. Refused if no other running server holds every acknowledged commit.
    bool wipe(size_t index);

    /// Keeps a server from writing its registration for this time. It goes on serving, receiving and confirming.
    void cutFromStore(size_t index, std::chrono::milliseconds duration);
    void endCutsFromStore();
    bool reachesStore(size_t index) const;

    bool running(size_t index) const { return m_servers[index].running; }
    size_t size() const { return m_servers.size(); }
    size_t primary() const { return m_primary; }

    /// Returns after which delay an answer is sent a second time, if at all.
    /// @param command First words of what is answered: "STARTUP", or the statement's verb.
    using RepeatRule = std::function<std::optional<std::chrono::milliseconds>(std::string_view command)>;

    /// Makes servers repeat whole answers; an empty rule ends it.
    void setRepeats(RepeatRule rule) { m_repeats = std::move(rule); }
    uint64_t repeated() const { return m_repeated; }

    /// Returns whether a command finds no free slot and is answered with BUSY.
    using BusyRule = std::function<bool(std::string_view command)>;

    /// Applies to BEGIN and to callers' statements; an empty rule ends it.
    void setBusy(BusyRule rule) { m_busyRule = std::move(rule); }

    /// Makes replicas apply this much later.
    void setApplyDelay(std::chrono::milliseconds delay) { m_settings.apply = delay; }

    /// Makes the rows of reads this long, in bytes; 0: as long as their content.
    void setRowBytes(size_t bytes) { m_rowBytes = bytes; }

    /// Sets how many times each row of an answer is sent.
    void setRowRepeats(size_t n) { m_rowRepeats = n; }

    /// Makes so many of a thousand answers to reads have odd rows, and as many errors an odd text; as many messages of
    /// the servers arrive in two segments.
    void setOddTexts(unsigned perThousand, uint64_t seed)
    {
        m_oddPerThousand = perThousand;
        m_odd = OddTexts(seed);
    }

    /// Makes a replica receive this much later.
    void setReceiveDelay(size_t index, std::chrono::milliseconds delay) { m_servers[index].receiveDelay = delay; }

    /// Registers every running server, as they do from time to time.
    void registerAll();

    uint64_t promotions() const { return m_promotions; }
    const std::string& id(size_t index) const { return m_servers[index].id; }

    /// Checks that a server's log holds every acknowledged commit.
    void checkLog(size_t index, const std::string& occasion);

private:
    using Clock = std::chrono::steady_clock;
    struct Commit {
        std::string id;
        std::vector<std::pair<std::string, std::string>> writes;
    };
    class Connection;
    struct Server {
        std::string id;
        uint16_t port = 0;
        bool running = false;
        std::vector<std::shared_ptr<const Commit>> log;
        size_t applied = 0;
        uint64_t stoppedAtTerm = 0;
        std::unique_ptr<boost::asio::ip::tcp::acceptor> acceptor;
        std::list<std::shared_ptr<Connection>> connections;
        std::chrono::milliseconds receiveDelay { 0 };
        uint64_t bornUnixMs = 0; ///< 0: determined by the next start.
        uint64_t sequence = 0;
        Clock::time_point cutUntil; ///< Until then the server does not reach the store.
        Clock::time_point registeredAt;
    };
    struct Pending {
        size_t number;
        std::string id;
        std::function<void(bool confirmed)> done;
    };

    void accept(size_t index);
    void announce(size_t index);
    void removeRegistrationLater(size_t index);
    void forget(const Commit&);
    std::vector<std::string> missing(const Server&) const;
    void after(std::chrono::milliseconds, std::function<void()>);
    void commit(Commit, std::function<void(bool confirmed)>);
    void replicate();
    void received(size_t index);
    void takeEffect(size_t index);
    void answerPending(bool confirmed, size_t upTo);
    std::string position(const Server&) const;

    boost::asio::io_context& m_loop;
    Ledger& m_ledger;
    Register m_register;
    Settings m_settings;
    std::vector<Server> m_servers;
    size_t m_primary = 0;
    uint64_t m_term = 1;
    uint64_t m_fence = 0;
    std::map<uint64_t, std::string> m_holders; ///< Who ordered, by fencing token.
    uint64_t m_promotions = 0;
    uint64_t m_crashes = 0;
    uint64_t m_signatures = 0;
    RepeatRule m_repeats;
    BusyRule m_busyRule;
    size_t m_rowBytes = 0;
    size_t m_rowRepeats = 1;
    unsigned m_oddPerThousand = 0;
    OddTexts m_odd { 1 };
    uint64_t m_repeated = 0;
    std::list<Pending> m_pending;
    std::set<size_t> m_replicating;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace plantainwall::test

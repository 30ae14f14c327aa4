#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cpprest/json.h>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace plantainwall::test {

/// Stand-in for the platform's metadata store and its call that promotes a database, over HTTP on an event loop.
class KvStore {
public:
    /// Orders a promotion. Returns the HTTP status.
    struct Order {
        std::string service;
        std::string id; ///< Of the server that takes over.
        std::string holder; ///< Host that orders.
        uint64_t fencingToken = 0;
    };
    using Promote = std::function<unsigned(const Order&)>;

    KvStore(boost::asio::io_context&, uint16_t port, Promote);

    /// Writes or removes an item as another party does. Does nothing while the store is away.
    void put(const std::string& key, const std::string& value, uint64_t lease = 0);
    void erase(const std::string& key);

    /// How the store behaves while it is away.
    enum class Absence : uint8_t { Refusing, Silent };

    /// Copies all items, revisions and leases, for restore(). Keeps the latest copies.
    void takeCopy();
    void goAway(Absence);
    /// Comes back with a copy, as the next era: what was written or granted since is unknown, and revisions and lease
    /// ids are given out again.
    /// @param age How many later copies there are at most.
    void restore(size_t age);
    bool away() const { return m_absence.has_value(); }

private:
    struct Item {
        std::string value;
        uint64_t revision = 0;
        uint64_t created = 0;
        uint64_t lease = 0;
    };
    struct Event {
        std::string key;
        uint64_t revision = 0;
        std::optional<Item> item;
    };
    struct Lease {
        std::chrono::milliseconds lifetime;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };
    struct Answer {
        unsigned status = 200;
        web::json::value body = web::json::value::object();
    };
    using Respond = std::function<void(const Answer&)>;
    struct Watch {
        uint64_t after = 0;
        std::string prefix;
        Respond respond;
        std::shared_ptr<boost::asio::steady_timer> timer;
    };
    struct Request {
        std::string method;
        std::string path;
        std::map<std::string, std::string> query;
        web::json::value body;
        std::string holder;
        uint64_t fencingToken = 0;
    };
    struct Copy {
        std::map<std::string, Item> items;
        std::deque<Event> history;
        std::map<uint64_t, Lease> leases;
        uint64_t revision = 0;
        uint64_t nextLease = 0;
    };
    class Connection;

    void listen();
    void accept();
    void handle(const Request&, Respond);
    void range(const Request&, const Respond&) const;
    void watch(const Request&, Respond);
    Answer transact(const web::json::value&);
    Answer grant(const web::json::value&);
    void arm(uint64_t lease);
    void endLease(uint64_t lease);
    void changed();
    Answer eventsAfter(uint64_t revision, const std::string& prefix) const;
    static web::json::value encode(const std::string& key, const Item&);

    boost::asio::io_context& m_loop;
    uint16_t m_port;
    std::optional<boost::asio::ip::tcp::acceptor> m_acceptor;
    std::list<std::weak_ptr<Connection>> m_connections;
    Promote m_promote;
    std::map<std::string, Item> m_items;
    std::deque<Event> m_history;
    std::map<uint64_t, Lease> m_leases;
    std::list<Watch> m_watches;
    uint64_t m_revision = 1;
    uint64_t m_nextLease = 1;
    uint64_t m_era = 1;
    std::optional<Absence> m_absence;
    std::vector<Respond> m_unanswered; ///< Calls that arrived in silence; keeps their connections open.
    std::deque<Copy> m_copies; ///< Oldest first.
};

} // namespace plantainwall::test

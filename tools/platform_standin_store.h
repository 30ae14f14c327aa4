#pragma once

#include "scheduler.h"
#include "standin_http.h"
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace plantainwall {

using SteadyTime = std::chrono::steady_clock::time_point;

/// Settings of the platform stand-in. Times in milliseconds, rates in calls per second (0: unlimited).
struct PlatformOptions {
    std::string address;
    double listLagMs = 0;
    double writeRate = 0;
    double readRate = 0;
};

/// Sends one answer: HTTP status and body.
using Reply = std::function<void(int, const value&)>;

/// Key-value store with compare-and-swap, leases and watches, and the list of hosts. Safe to call from any thread.
class PlatformStore {
public:
    PlatformStore(const PlatformOptions&, std::shared_ptr<Scheduler>);

    void put(const std::string& key, const value& body, const Reply&);
    void get(const std::string& key, const Reply&);
    void list(const std::string& prefix, const Reply&);
    void watch(const std::string& prefix, uint64_t after, double waitMs, const Reply&);

    void grantLease(double ttlMs, const Reply&);
    void renewLease(const std::string& lease, const Reply&);
    void endLease(const std::string& lease, const Reply&);

    void hosts(const Reply&);
    void setHost(const std::string& name, const std::string& state, const Reply&);

    size_t watchesWaiting() const;

private:
    struct Item {
        std::string text;
        uint64_t revision = 0;
        std::string lease;
    };

    struct Change {
        std::string key;
        std::optional<std::string> text; ///< Empty: deleted.
        uint64_t revision = 0;
    };

    struct Lease {
        double ttlMs = 0;
        SteadyTime expires;
    };

    struct Watch {
        std::string prefix;
        uint64_t after = 0;
        Reply reply;
    };

    // All private functions are called with m_mutex held, except expireLeases().
    void change(const std::string& key, const std::optional<std::string>& text, const std::string& lease);
    std::vector<value> changesAfter(const std::string& prefix, uint64_t after) const;
    value listing(const std::vector<value>& entries) const;
    void deleteLeased(const std::string& lease);
    void expireLeases();

    const PlatformOptions m_options;
    const std::shared_ptr<Scheduler> m_scheduler;
    mutable std::mutex m_mutex;
    uint64_t m_revision = 0;
    std::map<std::string, Item> m_items;
    std::vector<Change> m_changes; ///< Change i has revision i + 1.
    std::map<std::string, Lease> m_leases;
    uint64_t m_nextLease = 1;
    std::map<uint64_t, Watch> m_watches;
    uint64_t m_nextWatch = 0;
    std::map<std::string, std::string> m_hosts; ///< State by name, as shown.
};

} // namespace plantainwall

#pragma once

#include "support_process.h"
#include <memory>
#include <optional>

namespace plantainwall::test {

/// A fault_proxy process.
class FaultProxy {
public:
    /// Starts a proxy with a listening port of its own for each target (ip:port). Returns when it answers.
    explicit FaultProxy(const std::vector<std::string>& targets);

    /// Returns the listening address (ip:port) in front of target number i.
    const std::string& address(size_t i) const { return m_listen.at(i); }

    /// Sets the mode of the route to target number i: pass, cut, freeze, delay or drop_answers.
    void setFault(size_t i, const std::string& mode, int delayMs = 0, bool existingOnly = false);
    void setFaultOnAll(const std::string& mode, int delayMs = 0, bool existingOnly = false);

    /// Returns the counters of the route to target number i.
    web::json::value stats(size_t i) const;

private:
    void post(const web::json::value& route, const std::string& mode, int delayMs, bool existingOnly);

    std::string m_control;
    std::vector<std::string> m_listen;
    std::unique_ptr<Process> m_process;
};

/// Options of a group of database stand-ins. Times in milliseconds.
struct GroupOptions {
    std::string name = "g";
    unsigned members = 3;
    unsigned slots = 4;
    unsigned connections = 30;
    double connectMs = 0;
    double statementMs = 0;
    double lagMs = 0;
    double connectionIdleMs = 10000;
    double transactionIdleMs = 5000;
    bool durable = true; ///< Members keep log and term over restart().
    bool behindProxy = false; ///< Callers and members reach each member through routes of a fault_proxy.
};

/// Result of one execute call.
struct Execution {
    int status = 0;
    web::json::value body;

    bool ok() const { return status == 200; }
    std::string error() const;
    /// Returns result number i; empty if it is null.
    std::optional<std::string> result(size_t i = 0) const;
    uint64_t position() const { return body.at("position").as_number().to_uint64(); }
};

/// A running group of database stand-ins. Member 0 starts as the primary of term 1; member i is named <group>-<i>.
class DatabaseGroup {
public:
    /// Starts the members and returns when all answer and have the first entry.
    explicit DatabaseGroup(GroupOptions = {});

    /// Ends the members and removes their data.
    ~DatabaseGroup();

    DatabaseGroup(const DatabaseGroup&) = delete;
    DatabaseGroup& operator=(const DatabaseGroup&) = delete;

    size_t size() const { return m_members.size(); }
    const std::string& name() const { return m_options.name; }
    std::string memberName(size_t i) const { return m_options.name + "-" + std::to_string(i); }

    /// Returns ip:port for callers: the fault_proxy's route if there is one.
    const std::string& address(size_t i) const { return m_proxy ? m_proxy->address(i) : m_direct[i]; }
    /// Returns ip:port of the member itself, for checks that faults must not disturb.
    const std::string& directAddress(size_t i) const { return m_direct[i]; }

    Process& process(size_t i) { return *m_members[i]; }
    FaultProxy& proxy() { return *m_proxy; }

    /// Starts a member again as a replica, killing it first if it runs. Unless durable, its log and term are lost.
    void restart(size_t i);

    /// Sets the fault of the route between callers and member i.
    void faultCallers(size_t i, const std::string& mode, int delayMs = 0, bool existingOnly = false);
    /// Sets the fault of the replication route from one member to another.
    void faultReplication(size_t from, size_t to, const std::string& mode, int delayMs = 0, bool existingOnly = false);
    /// Sets the fault of every replication route from and to member i, and of callers' route to it if withCallers.
    void isolate(size_t i, const std::string& mode, bool withCallers, int delayMs = 0);

    // The calls below use the direct addresses.
    web::json::value status(size_t i) const;
    web::json::value stats(size_t i) const;
    web::json::value dump(size_t i) const;
    void admin(size_t i, const web::json::value& body) const;
    /// Fences a majority of the given members at a term and promotes one of them. Returns whether it was promoted.
    bool promote(size_t i, uint64_t term, const std::vector<size_t>& fenced) const;
    /// Waits until all given members have received (and applied) the same last entry as member i.
    bool waitForReplication(
        size_t i, const std::vector<size_t>& others, Milliseconds timeout = Milliseconds(2000)) const;

    /// Opens a connection on member i. Returns its id, empty if refused.
    std::string connect(size_t i) const;
    /// Executes on a connection; fields of extra replace the defaults of the call.
    Execution execute(size_t i, const std::string& connection, const std::string& requestId, uint64_t term,
        const std::vector<std::string>& statements, const web::json::value& extra = web::json::value::object()) const;

private:
    size_t replicationRoute(size_t from, size_t to) const { return size() + from * size() + to; }
    void startProxy();
    void startMember(size_t i, bool primary);

    std::string dataFile(size_t i) const { return m_dataDirectory + "/" + memberName(i); }

    GroupOptions m_options;
    std::string m_dataDirectory;
    std::vector<std::string> m_direct;
    std::unique_ptr<FaultProxy> m_proxy;
    std::vector<std::unique_ptr<Process>> m_members;
};

/// Options of the platform stand-in. Times in milliseconds.
struct PlatformOptions {
    double listLagMs = 0;
    double writesPerSecond = 0; ///< 0: no limit.
    double readsPerSecond = 0;
    bool behindProxy = false;
};

/// A running platform stand-in.
class Platform {
public:
    explicit Platform(PlatformOptions = {});

    /// Returns ip:port for callers: the fault_proxy's route if there is one.
    const std::string& address() const { return m_proxy ? m_proxy->address(0) : m_direct; }
    const std::string& directAddress() const { return m_direct; }
    Process& process() { return *m_process; }
    FaultProxy& proxy() { return *m_proxy; }

    /// Sets the mode: up, down, slow or lose_answers. refuse: answer 503 while down.
    void setFault(const std::string& mode, int delayMs = 0, bool refuse = false) const;
    void setHost(const std::string& name, const std::string& state) const;
    web::json::value stats() const;

    /// Writes a key if its revision is as expected.
    HttpResult put(const std::string& key, const web::json::value& newValue, uint64_t expectedRevision,
        const std::string& lease = {}, Milliseconds timeout = Milliseconds(2000)) const;
    HttpResult get(const std::string& key) const;

private:
    std::string m_direct;
    std::unique_ptr<Process> m_process;
    std::unique_ptr<FaultProxy> m_proxy;
};

/// Waits until a process answers GET /v1/admin/stats. Throws std::runtime_error with its output if it does not.
void waitUntilReady(Process&, const std::string& address);

} // namespace plantainwall::test

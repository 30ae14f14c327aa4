#pragma once

#include "support_cluster.h"

namespace plantainwall::test {

/// Credential of the operator that may do everything while the configuration names no operator.
extern const char* const bootstrapCredential;

/// Options of an entry host. settings is appended to its settings file, for example "[limit]\nseats = 2\n".
struct EntryHostOptions {
    std::string name = "host-a";
    std::string dataCentre = "mill";
    std::string region = "huon";
    std::string storeAddress; ///< ip:port
    std::vector<std::string> seedPeers; ///< ip:port
    std::string settings;
    std::string peerAddressForOthers; ///< ip:port of a fault_proxy route in front of the peer port; empty: direct.
};

/// A running `plantainwall serve`.
class EntryHost {
public:
    explicit EntryHost(EntryHostOptions);

    const std::string& name() const { return m_options.name; }
    const std::string& address() const { return m_address; } ///< ip:port for callers and operators.
    const std::string& peerAddress() const { return m_peerAddress; } ///< ip:port for other entry hosts, direct.
    Process& process() { return *m_process; }

    /// Starts the process again with the same settings, after its end.
    void restart();

    /// Waits until /healthz answers 200. Throws std::runtime_error with the process's output if it does not.
    void waitUntilHealthy(Milliseconds timeout = Milliseconds(10000));

    /// Returns the JSON of `status`.
    web::json::value status() const;

    /// Returns the TOML of fleet/hosts/<name>.
    std::string hostConfig() const;

private:
    std::string m_settingsFile;
    EntryHostOptions m_options;
    std::string m_address;
    std::string m_peerAddress;
    std::unique_ptr<Process> m_process;
};

/// Sets configuration through an entry host's operator interface, with the bootstrap credential.
class Operator {
public:
    explicit Operator(std::string address)
        : m_address(std::move(address))
    {
    }

    /// Sets a path to a TOML value whatever its present revision. Throws std::runtime_error if it is refused. Returns
    /// the revision.
    uint64_t set(const std::string& path, const std::string& toml) const;

    /// Creates a team that lists the service and is approved by it. Returns its key.
    std::string addTeam(const std::string& team, const std::string& service, double rate = 100000,
        double burst = 100000, double weight = 1) const;

    /// Adds a key to a team. Returns it.
    std::string addKey(const std::string& team, const std::string& keyId) const;
    void withdrawKey(const std::string& team, const std::string& keyId) const;

private:
    std::string m_address;
};

/// Returns the TOML of services/<service>/groups/<group>; member i stands in dataCentres[i] ("data centre/region").
std::string groupConfig(const DatabaseGroup&, const std::vector<std::string>& dataCentres);

/// Answer to a caller.
struct CallerReply {
    HttpResult http;
    std::string name; ///< Of the result code; empty: no answer.
    std::string run;
    std::string session;

    bool ok() const { return name == "ok"; }
    std::optional<std::string> result(size_t i = 0) const;
};

/// A caller with a key that carries its session token between entry hosts.
class Caller {
public:
    explicit Caller(std::string key)
        : m_key(std::move(key))
    {
    }

    std::string session;
    int deadlineMs = 5000;

    /// Sends POST /v1/groups/<group>/query. extra is merged into the body.
    CallerReply query(const std::string& address, const std::string& group, const std::vector<std::string>& statements,
        const web::json::value& extra = web::json::value::object());
    CallerReply read(const std::string& address, const std::string& group, const std::string& statement);

    /// Sends POST to a path with a JSON body.
    CallerReply post(const std::string& address, const std::string& path, const web::json::value& body);
    CallerReply get(const std::string& address, const std::string& path);

private:
    Headers headers() const;
    CallerReply take(const HttpResult&);

    std::string m_key;
};

/// Platform, one database group and entry hosts in one data centre each, configured and ready: the small fleet that
/// most tests start from. Service "ledger", group "g", team "hats".
class Fleet {
public:
    struct Options {
        std::vector<std::string> dataCentres { "mill/huon", "sheds/huon", "store/tamar" }; ///< One entry host each.
        GroupOptions group;
        PlatformOptions platform;
        std::string settings; ///< Appended to every host's settings file.
        bool ownStoreRoutes = false; ///< Each host reaches the store through a fault_proxy route of its own.
    };

    Fleet();
    explicit Fleet(const Options&);

    Platform& platform() { return *m_platform; }
    DatabaseGroup& group() { return *m_group; }
    EntryHost& host(size_t i) { return *m_hosts.at(i); }
    size_t size() const { return m_hosts.size(); }
    const std::string& at(size_t i) { return host(i).address(); }
    Operator& operators() { return *m_operator; }

    /// Sets the fault of the route from host i to the store. Needs Options::ownStoreRoutes.
    void faultStore(size_t i, const std::string& mode, int delayMs = 0, bool existingOnly = false);

    const std::string& key() const { return m_key; }
    Caller caller() const { return Caller(m_key); }

private:
    std::unique_ptr<Platform> m_platform;
    std::unique_ptr<DatabaseGroup> m_group;
    std::unique_ptr<FaultProxy> m_storeProxy;
    std::vector<std::unique_ptr<EntryHost>> m_hosts;
    std::unique_ptr<Operator> m_operator;
    std::string m_key;
};

} // namespace plantainwall::test

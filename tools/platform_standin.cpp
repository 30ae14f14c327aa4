// Stand-in for the platform: key-value store and list of hosts. docs/standins.md describes its protocol.
#include "platform_standin_store.h"
#include <CLI/CLI.hpp>
#include <algorithm>

namespace plantainwall {

namespace {

    enum class FaultMode : uint8_t { Up, Down, Slow, LoseAnswers, Count };

    const char* const faultModeNames[] = { "up", "down", "slow", "lose_answers" };
    static_assert(std::size(faultModeNames) == static_cast<size_t>(FaultMode::Count));

    /// Token bucket with a burst of one second.
    class CallLimit {
    public:
        explicit CallLimit(double rate)
            : m_rate(rate)
            , m_tokens(rate)
            , m_updated(std::chrono::steady_clock::now())
        {
        }

        bool admit()
        {
            if (m_rate <= 0)
                return true;
            const SteadyTime now = std::chrono::steady_clock::now();
            m_tokens = std::min(m_rate, m_tokens + m_rate * std::chrono::duration<double>(now - m_updated).count());
            m_updated = now;
            if (m_tokens < 1)
                return false;
            m_tokens -= 1;
            return true;
        }

    private:
        double m_rate;
        double m_tokens;
        SteadyTime m_updated;
    };

    /// Routes calls to the store, applies the fault mode and the call limits, and counts.
    class PlatformServer {
    public:
        explicit PlatformServer(const PlatformOptions& options)
            : m_scheduler(makeScheduler())
            , m_store(options, m_scheduler)
            , m_reads(options.readRate)
            , m_writes(options.writeRate)
        {
        }

        void handle(const ServerCallPtr& call)
        {
            const Reply direct = [call](int status, const value& json) { call->reply(status, json); };
            if (call->path.size() > 1 && call->path[1] == "admin") {
                admin(*call, direct);
                return;
            }
            if (admitted(call, direct))
                route(*call, [this, call](int status, const value& json) { answer(call, status, json); });
        }

    private:
        bool admitted(const ServerCallPtr& call, const Reply& reply)
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            ++m_callsTotal;
            if (m_mode == FaultMode::Down) {
                if (m_refuse)
                    reply(503, makeObject({ { "error", value::string("unavailable") } }));
                else
                    m_unanswered.push_back(call);
                return false;
            }
            const bool read = call->method == "GET";
            if (!(read ? m_reads : m_writes).admit()) {
                ++m_callsLimited;
                reply(429, makeObject({ { "error", value::string("rate_limited") } }));
                return false;
            }
            ++(read ? m_readCount : m_writeCount);
            return true;
        }

        /// Sends an answer as the fault mode at this moment demands. Unanswered calls are kept: cpprestsdk answers a
        /// dropped request with 500.
        void answer(const ServerCallPtr& call, int status, const value& json)
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            if (m_mode == FaultMode::Down || m_mode == FaultMode::LoseAnswers)
                m_unanswered.push_back(call);
            else if (m_mode == FaultMode::Slow)
                m_scheduler->schedule(Duration(static_cast<int64_t>(m_delayMs * 1000)),
                    [call, status, json] { call->reply(status, json); });
            else
                call->reply(status, json);
        }

        void route(const ServerCall& call, const Reply& reply)
        {
            const bool keyPath = call.path.size() > 2 && call.path[0] == "v1" && call.path[1] == "kv";
            if (keyPath && call.method == "PUT")
                m_store.put(keyOf(call), call.body, reply);
            else if (keyPath && call.method == "GET")
                m_store.get(keyOf(call), reply);
            else if (call.matches("GET", { "v1", "list" }))
                m_store.list(call.queryText("prefix"), reply);
            else if (call.matches("GET", { "v1", "watch" }))
                m_store.watch(call.queryText("prefix"), call.queryInteger("after"),
                    static_cast<double>(call.queryInteger("wait_ms")), reply);
            else if (call.matches("POST", { "v1", "leases" }))
                m_store.grantLease(numberField(call.body, "ttl_ms"), reply);
            else if (call.matches("POST", { "v1", "leases", "*", "renew" }))
                m_store.renewLease(call.path[2], reply);
            else if (call.matches("DELETE", { "v1", "leases", "*" }))
                m_store.endLease(call.path[2], reply);
            else if (call.matches("GET", { "v1", "hosts" }))
                m_store.hosts(reply);
            else
                reply(404, makeObject({ { "error", value::string("unknown_route") } }));
        }

        static std::string keyOf(const ServerCall& call)
        {
            std::string key = call.path[2];
            for (size_t i = 3; i < call.path.size(); ++i)
                key += "/" + call.path[i];
            return key;
        }

        void admin(const ServerCall& call, const Reply& reply)
        {
            if (call.matches("POST", { "v1", "admin", "hosts" }))
                m_store.setHost(stringField(call.body, "name"), stringField(call.body, "state"), reply);
            else if (call.matches("POST", { "v1", "admin", "fault" }))
                setFault(call.body, reply);
            else if (call.matches("GET", { "v1", "admin", "stats" }))
                stats(reply);
            else
                reply(404, makeObject({ { "error", value::string("unknown_route") } }));
        }

        void setFault(const value& body, const Reply& reply)
        {
            const std::string name = stringField(body, "mode");
            const char* const* const found = std::find(std::begin(faultModeNames), std::end(faultModeNames), name);
            if (found == std::end(faultModeNames))
                throw std::invalid_argument("unknown fault mode \"" + name + "\"");
            std::lock_guard<std::mutex> lock(m_mutex);
            m_mode = static_cast<FaultMode>(found - std::begin(faultModeNames));
            m_delayMs = numberField(body, "delay_ms");
            m_refuse = boolField(body, "refuse");
            reply(200, value::object());
        }

        void stats(const Reply& reply)
        {
            const uint64_t waiting = m_store.watchesWaiting();
            std::lock_guard<std::mutex> lock(m_mutex);
            reply(200,
                makeObject({ { "calls_total", m_callsTotal }, { "reads", m_readCount }, { "writes", m_writeCount },
                    { "calls_limited", m_callsLimited }, { "watches_waiting", waiting },
                    { "unanswered", static_cast<uint64_t>(m_unanswered.size()) } }));
        }

        const std::shared_ptr<Scheduler> m_scheduler;
        PlatformStore m_store;
        std::mutex m_mutex; ///< May be locked while the store's own lock is held, never the other way round.
        CallLimit m_reads;
        CallLimit m_writes;
        FaultMode m_mode = FaultMode::Up;
        double m_delayMs = 0;
        bool m_refuse = false;
        std::vector<ServerCallPtr> m_unanswered;
        uint64_t m_callsTotal = 0;
        uint64_t m_callsLimited = 0;
        uint64_t m_readCount = 0;
        uint64_t m_writeCount = 0;
    };

    int run(int argc, char** argv)
    {
        PlatformOptions options;
        CLI::App app("Stand-in for the platform's key-value store and host list");
        app.add_option("--address", options.address, "ip:port")->required();
        app.add_option("--list-lag-ms", options.listLagMs, "delay of the host list");
        app.add_option("--rate-limit-writes", options.writeRate, "writes per second, 0 for no limit");
        app.add_option("--rate-limit-reads", options.readRate, "reads per second, 0 for no limit");
        CLI11_PARSE(app, argc, argv);
        prepareStandin(4);
        // The process ends in runUntilTerminated() while threads still use these objects, so they are never destroyed.
        PlatformServer& server = *new PlatformServer(options);
        new StandinServer(options.address, [&server](const ServerCallPtr& call) { server.handle(call); });
        runUntilTerminated();
    }

} // namespace

} // namespace plantainwall

int main(int argc, char** argv) { return plantainwall::runStandin("platform_standin", plantainwall::run, argc, argv); }

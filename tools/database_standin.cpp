// Stand-in for one member of a database group. docs/standins.md describes its protocol.
#include "database_standin_member.h"
#include <CLI/CLI.hpp>

namespace plantainwall {

namespace {

    using Handler = void (*)(Member&, const ServerCall&, const Reply&);

    struct Route {
        const char* method;
        std::initializer_list<const char*> path;
        Handler handler;
    };

    const Route routes[] = {
        { "GET", { "v1", "status" }, [](Member& m, const ServerCall&, const Reply& reply) { m.status(reply); } },
        { "GET", { "v1", "position" },
            [](Member& m, const ServerCall& call, const Reply& reply) {
                m.waitForPosition({ call.queryInteger("last_term"), call.queryInteger("received") },
                    { call.queryInteger("applied_term"), call.queryInteger("applied") },
                    static_cast<double>(call.queryInteger("wait_ms")), reply);
            } },
        { "POST", { "v1", "fence" },
            [](Member& m, const ServerCall& call, const Reply& reply) {
                m.fence(integerField(call.body, "term"), stringField(call.body, "candidate"), reply);
            } },
        { "POST", { "v1", "promote" },
            [](Member& m, const ServerCall& call, const Reply& reply) {
                m.promote(integerField(call.body, "term"), stringField(call.body, "candidate"), reply);
            } },
        { "POST", { "v1", "connections" },
            [](Member& m, const ServerCall& call, const Reply& reply) {
                m.openConnection(stringField(call.body, "client"), reply);
            } },
        { "DELETE", { "v1", "connections", "*" },
            [](Member& m, const ServerCall& call, const Reply& reply) { m.closeConnection(call.path[2], reply); } },
        { "POST", { "v1", "connections", "*", "execute" },
            [](Member& m, const ServerCall& call, const Reply& reply) { m.execute(call.path[2], call.body, reply); } },
        { "GET", { "v1", "requests", "*" },
            [](Member& m, const ServerCall& call, const Reply& reply) { m.outcome(call.path[2], reply); } },
        { "POST", { "v1", "replicate" },
            [](Member& m, const ServerCall& call, const Reply& reply) { m.replicate(call.body, reply); } },
        { "POST", { "v1", "admin" },
            [](Member& m, const ServerCall& call, const Reply& reply) { m.admin(call.body, reply); } },
        { "GET", { "v1", "admin", "stats" }, [](Member& m, const ServerCall&, const Reply& reply) { m.stats(reply); } },
        { "GET", { "v1", "admin", "dump" }, [](Member& m, const ServerCall&, const Reply& reply) { m.dump(reply); } },
    };

    void dispatch(Member& member, const ServerCallPtr& call)
    {
        const bool forTests = call->path.size() > 1 && call->path[1] == "admin";
        const bool fromPeer = call->path.size() > 1 && call->path[1] == "replicate";
        if (!forTests && !fromPeer)
            member.recordRequest(*call);
        const Reply reply = [call](int status, const value& json) { call->reply(status, json); };
        for (const Route& route : routes) {
            if (call->matches(route.method, route.path)) {
                route.handler(member, *call, reply);
                return;
            }
        }
        reply(404, makeObject({ { "error", value::string("unknown_route") } }));
    }

    std::map<std::string, std::string> parsePeers(const std::vector<std::string>& peers)
    {
        std::map<std::string, std::string> result;
        for (const std::string& peer : peers) {
            const size_t equals = peer.find('=');
            if (equals == std::string::npos)
                throw std::invalid_argument("peer \"" + peer + "\" is not name=ip:port");
            result[peer.substr(0, equals)] = peer.substr(equals + 1);
        }
        return result;
    }

    int run(int argc, char** argv)
    {
        MemberOptions options;
        std::vector<std::string> peers;
        CLI::App app("Stand-in for one member of a database group");
        app.add_option("--group", options.group);
        app.add_option("--name", options.name);
        app.add_option("--address", options.address, "ip:port")->required();
        app.add_option("--peers", peers, "name=ip:port,...")->delimiter(',');
        app.add_option("--slots", options.slots, "statements run at the same time")->check(CLI::PositiveNumber);
        app.add_option("--connections", options.connectionLimit, "limit of logical connections");
        app.add_option("--connect-ms", options.connectMs, "time to open a connection");
        app.add_option("--statement-ms", options.statementMs, "time a statement occupies a slot");
        app.add_option("--lag-ms", options.lagMs, "time from receiving an entry to applying it on a replica");
        app.add_option("--connection-idle-ms", options.connectionIdleMs);
        app.add_option("--transaction-idle-ms", options.transactionIdleMs);
        app.add_option("--data", options.dataFile, "file that keeps log and term over a restart");
        app.add_flag("--primary", options.primary, "start as primary of term 1");
        CLI11_PARSE(app, argc, argv);
        options.peers = parsePeers(peers);
        options.peers.erase(options.name);
        prepareStandin(4);
        // The process ends in runUntilTerminated() while threads still use these objects, so they are never destroyed.
        Member& member = *new Member(options, makeScheduler());
        new StandinServer(options.address, [&member](const ServerCallPtr& call) { dispatch(member, call); });
        startReplication(member);
        runUntilTerminated();
    }

} // namespace

} // namespace plantainwall

int main(int argc, char** argv) { return plantainwall::runStandin("database_standin", plantainwall::run, argc, argv); }

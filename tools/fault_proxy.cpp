// TCP proxy that injects faults into the connections passing through it. docs/standins.md describes its control calls.
#include "fault_proxy_route.h"
#include "standin_http.h"
#include <CLI/CLI.hpp>
#include <thread>

namespace plantainwall {

namespace {

    using tcp = boost::asio::ip::tcp;

    tcp::endpoint parseEndpoint(const std::string& address)
    {
        const size_t colon = address.rfind(':');
        if (colon == std::string::npos)
            throw std::invalid_argument("address \"" + address + "\" is not ip:port");
        return { boost::asio::ip::make_address(address.substr(0, colon)),
            static_cast<uint16_t>(std::stoul(address.substr(colon + 1))) };
    }

    std::shared_ptr<ProxyRoute> makeRoute(boost::asio::io_context& context, const std::string& text)
    {
        const size_t equals = text.find('=');
        if (equals == std::string::npos)
            throw std::invalid_argument("route \"" + text + "\" is not ip:port=ip:port");
        return std::make_shared<ProxyRoute>(
            context, parseEndpoint(text.substr(0, equals)), parseEndpoint(text.substr(equals + 1)));
    }

    /// Handles control calls. Routes are only used on the thread of their io_context.
    class Control {
    public:
        Control(boost::asio::io_context& context, const std::vector<std::string>& routes)
            : m_context(context)
        {
            for (const std::string& text : routes) {
                const std::shared_ptr<ProxyRoute> route = makeRoute(context, text);
                m_routes[route->listenPort()] = route;
                route->start();
            }
        }

        void handle(const ServerCallPtr& call)
        {
            boost::asio::post(m_context, [this, call] {
                try {
                    if (call->matches("POST", { "v1", "fault" }))
                        setFault(*call);
                    else if (call->matches("GET", { "v1", "admin", "stats" }))
                        stats(*call);
                    else
                        call->reply(404, makeObject({ { "error", value::string("unknown_route") } }));
                } catch (const std::exception& e) {
                    call->reply(400,
                        makeObject(
                            { { "error", value::string("bad_request") }, { "message", value::string(e.what()) } }));
                }
            });
        }

    private:
        void setFault(const ServerCall& call)
        {
            Fault fault;
            fault.mode = faultModeFromName(stringField(call.body, "mode"));
            fault.delay = std::chrono::microseconds(static_cast<int64_t>(numberField(call.body, "delay_ms") * 1000));
            fault.existingOnly = boolField(call.body, "existing_only");
            const value& which = call.body.at("route");
            const bool all = which.is_string() && which.as_string() == "all";
            if (all) {
                for (const std::pair<const uint16_t, std::shared_ptr<ProxyRoute>>& route : m_routes)
                    route.second->setFault(fault);
            } else {
                const uint64_t port
                    = which.is_string() ? std::stoull(which.as_string()) : which.as_number().to_uint64();
                const std::map<uint16_t, std::shared_ptr<ProxyRoute>>::const_iterator it
                    = m_routes.find(static_cast<uint16_t>(port));
                if (it == m_routes.end())
                    throw std::invalid_argument("no route listens on port " + std::to_string(port));
                it->second->setFault(fault);
            }
            call.reply(200, value::object());
        }

        void stats(const ServerCall& call)
        {
            value routes = value::object();
            for (const std::pair<const uint16_t, std::shared_ptr<ProxyRoute>>& route : m_routes) {
                const RouteStats& stats = route.second->stats();
                routes[std::to_string(route.first)]
                    = makeObject({ { "mode", value::string(faultModeName(route.second->mode())) },
                        { "accepted", stats.accepted }, { "connections_open", route.second->connectionsOpen() },
                        { "bytes_to_target", stats.bytesToTarget }, { "bytes_from_target", stats.bytesFromTarget } });
            }
            call.reply(200, makeObject({ { "routes", routes } }));
        }

        boost::asio::io_context& m_context;
        std::map<uint16_t, std::shared_ptr<ProxyRoute>> m_routes;
    };

    int run(int argc, char** argv)
    {
        std::vector<std::string> routes;
        std::string control;
        CLI::App app("TCP proxy that injects faults");
        app.add_option("--route", routes, "listen ip:port=target ip:port; repeatable")->required();
        app.add_option("--control", control, "ip:port of the control calls")->required();
        CLI11_PARSE(app, argc, argv);
        prepareStandin(2);
        // The process ends in runUntilTerminated() while threads still use these objects, so they are never destroyed.
        boost::asio::io_context& context = *new boost::asio::io_context(1);
        Control& handler = *new Control(context, routes);
        std::thread([&context] {
            // With every route cut nothing is pending, which would end run().
            const boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work(context.get_executor());
            context.run();
        }).detach();
        new StandinServer(control, [&handler](const ServerCallPtr& call) { handler.handle(call); });
        runUntilTerminated();
    }

} // namespace

} // namespace plantainwall

int main(int argc, char** argv) { return plantainwall::runStandin("fault_proxy", plantainwall::run, argc, argv); }

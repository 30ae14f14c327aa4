#pragma once

#include <cpprest/http_listener.h>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <pplx/threadpool.h>
#include <string>
#include <vector>

// cpprestsdk's macro for string literals collides with template parameters in Boost headers included later.
#undef U

namespace plantainwall {

using web::json::value;

/// Returns a number of a JSON object, or fallback if it is missing or null. Throws json_exception if it is no number.
inline double numberField(const value& object, const std::string& name, double fallback = 0)
{
    return object.has_field(name) && !object.at(name).is_null() ? object.at(name).as_number().to_double() : fallback;
}

/// Returns a non-negative integer of a JSON object, or 0 if it is missing or null.
inline uint64_t integerField(const value& object, const std::string& name)
{
    return object.has_field(name) && !object.at(name).is_null() ? object.at(name).as_number().to_uint64() : 0;
}

/// Returns a string of a JSON object, or an empty one if it is missing or null.
inline std::string stringField(const value& object, const std::string& name)
{
    return object.has_field(name) && !object.at(name).is_null() ? object.at(name).as_string() : std::string();
}

/// Returns a boolean of a JSON object, or false if it is missing.
inline bool boolField(const value& object, const std::string& name)
{
    return object.has_field(name) && object.at(name).as_bool();
}

/// Returns a JSON string, or null for an empty optional.
inline value optionalValue(const std::optional<std::string>& text)
{
    return text ? value::string(*text) : value::null();
}

/// Returns a JSON object built from name and value pairs.
inline value makeObject(std::initializer_list<std::pair<const char*, value>> fields)
{
    value object = value::object();
    for (const std::pair<const char*, value>& field : fields)
        object[field.first] = field.second;
    return object;
}

/// One HTTP request with its JSON body. It may be answered later and from any thread, at most once.
struct ServerCall {
    std::string method;
    std::vector<std::string> path; ///< Decoded segments.
    std::map<std::string, std::string> query; ///< Decoded.
    value body = value::object();
    std::string text; ///< The body as received.
    web::http::http_request request;

    uint64_t queryInteger(const std::string& name) const
    {
        const std::map<std::string, std::string>::const_iterator it = query.find(name);
        return it == query.end() || it->second.empty() ? 0 : std::stoull(it->second);
    }

    std::string queryText(const std::string& name) const
    {
        const std::map<std::string, std::string>::const_iterator it = query.find(name);
        return it == query.end() ? std::string() : it->second;
    }

    /// Returns whether method and path match; "*" matches any one segment.
    bool matches(const char* wantedMethod, std::initializer_list<const char*> segments) const
    {
        if (method != wantedMethod || path.size() != segments.size())
            return false;
        size_t i = 0;
        for (const char* segment : segments) {
            if (std::string(segment) != "*" && path[i] != segment)
                return false;
            ++i;
        }
        return true;
    }

    void reply(int status, const value& json) const
    {
        web::http::http_response response(static_cast<web::http::status_code>(status));
        response.set_body(json.serialize(), "application/json");
        // A caller that has gone makes the task fail; pplx ends the process if nobody observes that.
        web::http::http_request target = request;
        target.reply(response).then([](const pplx::task<void>& sent) {
            try {
                sent.get();
            } catch (const std::exception&) {
            }
        });
    }
};

using ServerCallPtr = std::shared_ptr<ServerCall>;

/// HTTP/JSON server of a stand-in. The handler must not block; it may keep the call and answer it later.
class StandinServer {
public:
    /// Listens on address (ip:port). Throws if it cannot.
    StandinServer(const std::string& address, std::function<void(const ServerCallPtr&)> handler)
        : m_handler(std::move(handler))
        , m_listener(web::uri("http://" + address + "/"))
    {
        m_listener.support([this](const web::http::http_request& request) { receive(request); });
        m_listener.open().get();
    }

private:
    void receive(web::http::http_request request)
    {
        const ServerCallPtr call = std::make_shared<ServerCall>();
        call->request = request;
        call->method = request.method();
        request.extract_string(true).then([this, call](const pplx::task<std::string>& body) {
            try {
                call->text = body.get();
                parse(*call);
                m_handler(call);
            } catch (const std::exception& e) {
                call->reply(400,
                    makeObject({ { "error", value::string("bad_request") }, { "message", value::string(e.what()) } }));
            }
        });
    }

    static void parse(ServerCall& call)
    {
        const web::uri uri = call.request.relative_uri();
        for (const std::string& segment : web::uri::split_path(uri.path()))
            call.path.push_back(web::uri::decode(segment));
        for (const std::pair<const std::string, std::string>& field : web::uri::split_query(uri.query()))
            call.query[field.first] = web::uri::decode(field.second);
        if (!call.text.empty())
            call.body = value::parse(call.text);
    }

    std::function<void(const ServerCallPtr&)> m_handler;
    web::http::experimental::listener::http_listener m_listener;
};

/// Prepares a stand-in process: call first in main(), before any thread exists.
inline void prepareStandin(int threads)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
    signal(SIGPIPE, SIG_IGN); // NOLINT(performance-no-int-to-ptr)
    crossplat::threadpool::initialize_with_threads(static_cast<size_t>(threads));
}

/// Waits for SIGTERM or SIGINT, then ends the process with status 0 without waiting for unanswered requests:
/// closing a cpprestsdk listener waits for all of them, and a stand-in has nothing to save.
[[noreturn]] inline void runUntilTerminated()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int received = 0;
    sigwait(&signals, &received);
    std::cout.flush();
    std::_Exit(0);
}

/// Runs a stand-in. An exception ends it with status 1 and the text on standard error, after the name of the program.
inline int runStandin(const char* name, int (*run)(int, char**), int argc, char** argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception& error) {
        std::cerr << name << ": " << error.what() << '\n';
        return 1;
    }
}

} // namespace plantainwall

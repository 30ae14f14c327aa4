#pragma once

// Included by C++14 and C++17 sources: libjsonrpccpp 0.7.0 does not compile as C++17.

#include <functional>
#include <memory>
#include <string>

namespace plantainwall {

/// Returns the JSON-RPC 2.0 request that calls a method with one text parameter.
std::string buildJsonRpcRequest(const std::string& method, const std::string& payload);

/// Returns the text result of a JSON-RPC 2.0 response.
/// @throws std::runtime_error if it is an error response or malformed.
std::string parseJsonRpcResponse(const std::string& response);

/// Serves JSON-RPC 2.0 methods with one text parameter and a text result. Safe to call from any thread once all methods
/// are added.
class JsonRpcServer {
public:
    using Handler = std::function<std::string(const std::string& payload)>;

    JsonRpcServer();
    ~JsonRpcServer();
    JsonRpcServer(const JsonRpcServer&) = delete;
    JsonRpcServer& operator=(const JsonRpcServer&) = delete;

    /// Adds a method. An exception of the handler becomes an error response with its text.
    void add(const std::string& method, Handler handler);

    /// Returns the response to a request; malformed requests get an error response.
    std::string handle(const std::string& request);

private:
    class Dispatcher;
    std::unique_ptr<Dispatcher> m_dispatcher;
};

} // namespace plantainwall

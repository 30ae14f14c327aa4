#pragma once

// Plain C++14 interface: libjsonrpccpp's headers do not compile as C++17.
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace plantainwall {

/// Answers JSON-RPC 2.0 requests given as text. Safe to call from any thread.
class JsonRpcServer {
public:
    /// Handles the parameters of one call, as JSON text, and returns the result as JSON text. An exception becomes a
    /// JSON-RPC error.
    using Handler = std::function<std::string(const std::string& params)>;

    JsonRpcServer();
    ~JsonRpcServer();
    JsonRpcServer(const JsonRpcServer&) = delete;
    JsonRpcServer& operator=(const JsonRpcServer&) = delete;

    /// Adds a method. All methods must be added before the first call of handle().
    void addMethod(const std::string& name, Handler);

    /// Returns the response to a request; text that is not a request gets a JSON-RPC error.
    std::string handle(const std::string& request);

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

/// Returns the text of a JSON-RPC 2.0 request whose parameters are {"data": <params>}.
/// @param id Identifies the request in its response.
/// @throws std::invalid_argument if params is not JSON.
std::string makeJsonRpcRequest(const std::string& method, const std::string& params, uint64_t id);

/// Returns whether a text is a response to the request with the given id.
bool isJsonRpcResponseTo(const std::string& response, uint64_t id);

/// Returns the result of a JSON-RPC 2.0 response as JSON text.
/// @throws std::runtime_error if the response is an error or not a JSON-RPC response to the request with the given id.
std::string parseJsonRpcResponse(const std::string& response, uint64_t id);

} // namespace plantainwall

#pragma once

#include "http_caller.h"
#include "jsonrpc_server.h"
#include "peer_auth.h"
#include <atomic>
#include <mutex>

namespace plantainwall {

/// Control calls between entry hosts: JSON-RPC 2.0 at POST /peer/rpc, authenticated by the fleet's peer secret.
/// Safe to call from any thread; nothing blocks.
class PeerRpc {
public:
    /// Handles one call from sender. Parameters and result are JSON text.
    using Handler = std::function<std::string(const std::string& jsonParams, const PeerIdentity& sender)>;
    /// Returns the peer address (http://ip:port) of a host, or an empty string.
    using AddressOf = std::function<std::string(std::string_view host)>;
    /// Returns a caller for an address; called once per address.
    using MakeCaller = std::function<std::shared_ptr<HttpCaller>(std::string_view address)>;

    static constexpr std::string_view path = "/peer/rpc";

    PeerRpc(std::string secret, PeerIdentity self, MakeCaller);

    /// Sets the lookup of host addresses. Must be called before call().
    void setAddressOf(AddressOf);

    /// Calls a method of another host. The task fails with std::runtime_error if there is no answer or an error answer.
    pplx::task<std::string> call(
        std::string_view host, const std::string& method, const std::string& jsonParams, Duration timeout);

    /// Same as call(), for a host whose name is not known yet.
    pplx::task<std::string> callAddress(
        std::string_view address, const std::string& method, const std::string& jsonParams, Duration timeout);

    /// Registers a method. All methods must be registered before the peer port opens.
    void registerMethod(const std::string& name, Handler);

    /// Handles a POST to /peer/rpc. Returns status 401 if the headers do not authenticate it.
    HttpReply handle(const std::map<std::string, std::string>& headers, const std::string& body);

    const PeerIdentity& self() const { return m_self; }

private:
    std::shared_ptr<HttpCaller> callerFor(std::string_view address);

    std::string m_secret;
    PeerIdentity m_self;
    MakeCaller m_makeCaller;
    AddressOf m_addressOf;
    JsonRpcServer m_server;
    std::mutex m_mutex;
    std::atomic<uint64_t> m_nextId { 1 };
    std::map<std::string, std::shared_ptr<HttpCaller>, std::less<>> m_callers;
};

} // namespace plantainwall

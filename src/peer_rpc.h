#pragma once

#include "http_caller.h"
#include "jsonrpc_codec.h"
#include "peer_auth.h"
#include <atomic>
#include <mutex>

namespace plantainwall {

constexpr std::string_view peerRpcPath = "/peer/rpc";

/// Control calls between entry hosts: JSON-RPC 2.0 over HTTP POST, authenticated with the fleet's peer secret. Never
/// blocks. Safe to call from any thread.
class PeerRpc {
public:
    /// Calls in progress to one host; further calls wait until their timeout.
    static constexpr unsigned maxConcurrentPerHost = 8;

    PeerRpc(PeerIdentity self, std::string secret);

    /// Registers a method before the listener is opened. The handler must not block.
    void registerMethod(const std::string& name, JsonRpcServer::Handler);

    /// Calls a method of the host at http://ip:port. The task fails with CallFailed if there is no answer, with
    /// std::runtime_error if the host answers with an error.
    pplx::task<std::string> call(
        std::string_view address, const std::string& method, const std::string& params, Duration timeout);

    /// Serves the body of a POST to peerRpcPath whose sender has been verified.
    std::string handle(const std::string& body);

    /// Returns the headers that authenticate a message of this host.
    std::map<std::string, std::string> sign(
        std::string_view method, std::string_view path, std::string_view body) const;

    /// Returns the sender of a message to this host, or nothing if it is not authentic.
    std::optional<PeerIdentity> verify(
        std::string_view peerHeader, std::string_view authHeader, const PeerMessage&) const;

    /// Returns the bytes of bodies sent and received, for the control traffic metric.
    uint64_t bytesSent() const { return m_traffic->sent.load(); }
    uint64_t bytesReceived() const { return m_traffic->received.load(); }

private:
    struct Traffic {
        std::atomic<uint64_t> sent { 0 };
        std::atomic<uint64_t> received { 0 };
    };

    std::shared_ptr<HttpCaller> callerFor(std::string_view address);

    PeerIdentity m_self;
    std::string m_secret;
    JsonRpcServer m_server;
    std::mutex m_mutex;
    std::map<std::string, std::shared_ptr<HttpCaller>, std::less<>> m_callers;
    std::shared_ptr<Traffic> m_traffic = std::make_shared<Traffic>(); ///< Outlives this object in pending calls.
};

} // namespace plantainwall

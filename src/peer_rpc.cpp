#include "peer_rpc.h"

namespace plantainwall {

namespace {

    constexpr int httpOk = 200;

} // namespace

PeerRpc::PeerRpc(PeerIdentity self, std::string secret)
    : m_self(std::move(self))
    , m_secret(std::move(secret))
{
}

void PeerRpc::registerMethod(const std::string& name, JsonRpcServer::Handler handler)
{
    m_server.add(name, std::move(handler));
}

pplx::task<std::string> PeerRpc::call(
    std::string_view address, const std::string& method, const std::string& params, Duration timeout)
{
    HttpCall call;
    call.method = "POST";
    call.path = peerRpcPath;
    call.body = buildJsonRpcRequest(method, params);
    call.headers = sign(call.method, call.path, call.body);
    call.headers["Content-Type"] = "application/json";
    call.timeout = timeout;
    m_traffic->sent += call.body.size();
    return callerFor(address)->call(std::move(call)).then([traffic = m_traffic](const HttpReply& reply) {
        if (reply.sendState != SendState::Answered || reply.status != httpOk)
            throw CallFailed(reply.sendState,
                reply.error.empty() ? "peer answered with status " + std::to_string(reply.status) : reply.error);
        traffic->received += reply.body.size();
        return parseJsonRpcResponse(reply.body);
    });
}

std::string PeerRpc::handle(const std::string& body)
{
    m_traffic->received += body.size();
    std::string response = m_server.handle(body);
    m_traffic->sent += response.size();
    return response;
}

std::map<std::string, std::string> PeerRpc::sign(
    std::string_view method, std::string_view path, std::string_view body) const
{
    return signPeerMessage(m_secret, m_self, { method, path, body });
}

std::optional<PeerIdentity> PeerRpc::verify(
    std::string_view peerHeader, std::string_view authHeader, const PeerMessage& message) const
{
    return verifyPeerMessage(m_secret, peerHeader, authHeader, message);
}

std::shared_ptr<HttpCaller> PeerRpc::callerFor(std::string_view address)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const auto it = m_callers.find(address);
    if (it != m_callers.end())
        return it->second;
    return m_callers.emplace(address, makeHttpCaller(address, maxConcurrentPerHost)).first->second;
}

} // namespace plantainwall

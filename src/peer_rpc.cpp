#include "peer_rpc.h"
#include <stdexcept>

namespace plantainwall {

namespace {

    // Sender of the request that this thread is handling; the library passes only the parameters to its handlers.
    thread_local const PeerIdentity* currentSender = nullptr;

} // namespace

PeerRpc::PeerRpc(std::string secret, PeerIdentity self, MakeCaller makeCaller)
    : m_secret(std::move(secret))
    , m_self(std::move(self))
    , m_makeCaller(std::move(makeCaller))
{
}

void PeerRpc::setAddressOf(AddressOf addressOf)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    m_addressOf = std::move(addressOf);
}

std::shared_ptr<HttpCaller> PeerRpc::callerFor(std::string_view address)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    std::map<std::string, std::shared_ptr<HttpCaller>, std::less<>>::iterator it = m_callers.find(address);
    if (it == m_callers.end())
        it = m_callers.emplace(address, m_makeCaller(address)).first;
    return it->second;
}

pplx::task<std::string> PeerRpc::call(
    std::string_view host, const std::string& method, const std::string& jsonParams, Duration timeout)
{
    AddressOf addressOf;
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        addressOf = m_addressOf;
    }
    const std::string address = addressOf ? addressOf(host) : std::string();
    if (address.empty()) {
        return pplx::task_from_exception<std::string>(
            std::runtime_error("address of entry host \"" + std::string(host) + "\" is not known"));
    }
    return callAddress(address, method, jsonParams, timeout);
}

pplx::task<std::string> PeerRpc::callAddress(
    std::string_view address, const std::string& method, const std::string& jsonParams, Duration timeout)
{
    try {
        HttpCall call;
        call.method = "POST";
        call.path = path;
        const uint64_t id = m_nextId++;
        call.body = makeJsonRpcRequest(method, jsonParams, id);
        call.timeout = timeout;
        call.fits = [id](const HttpReply& reply) { return reply.status != 200 || isJsonRpcResponseTo(reply.body, id); };
        signPeerRequest(call.headers, m_secret, m_self, call.method, call.path, call.body);
        return callerFor(address)->call(std::move(call)).then([method, id](const HttpReply& reply) {
            if (reply.status != 200) {
                throw std::runtime_error("call of " + method
                    + " failed: " + (reply.status ? "HTTP status " + std::to_string(reply.status) : reply.error));
            }
            return parseJsonRpcResponse(reply.body, id);
        });
    } catch (const std::exception& error) {
        return pplx::task_from_exception<std::string>(std::runtime_error(error.what()));
    }
}

void PeerRpc::registerMethod(const std::string& name, Handler handler)
{
    m_server.addMethod(
        name, [handler = std::move(handler)](const std::string& params) { return handler(params, *currentSender); });
}

HttpReply PeerRpc::handle(const std::map<std::string, std::string>& headers, const std::string& body)
{
    HttpReply reply;
    reply.sendState = SendState::Answered;
    const std::optional<PeerIdentity> sender = verifyPeerRequest(headers, m_secret, "POST", path, body);
    if (!sender) {
        reply.status = 401;
        reply.error = "request is not authenticated by the peer secret";
        return reply;
    }
    currentSender = &*sender;
    try {
        reply.body = m_server.handle(body);
        reply.status = 200;
    } catch (const std::exception& error) {
        // The parser throws for text nested deeper than its limit.
        reply.status = 400;
        reply.error = error.what();
    }
    currentSender = nullptr;
    return reply;
}

} // namespace plantainwall

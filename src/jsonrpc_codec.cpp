#include "jsonrpc_codec.h"
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>
#include <map>
#include <stdexcept>

namespace plantainwall {

namespace {

    const char payloadField[] = "payload";
    const int handlerErrorCode = -32000; // First code that JSON-RPC 2.0 leaves to the server.

    /// Keeps the request text and answers with a given response. The library's own connectors block a thread for each
    /// call; with this one it only encodes and decodes.
    class TextConnector : public jsonrpc::IClientConnector {
    public:
        explicit TextConnector(const std::string& response)
            : m_response(response)
        {
        }

        // The base class declares a dynamic exception specification, which C++14 allows an override to repeat only.
        void SendRPCMessage(const std::string& message, std::string& result) throw(
            jsonrpc::JsonRpcException) override // NOLINT
        {
            m_request = message;
            result = m_response;
        }

        const std::string& request() const { return m_request; }

    private:
        std::string m_response;
        std::string m_request;
    };

} // namespace

std::string buildJsonRpcRequest(const std::string& method, const std::string& payload)
{
    TextConnector connector("{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":\"\"}");
    jsonrpc::Client client(connector);
    Json::Value parameters;
    parameters[payloadField] = payload;
    client.CallMethod(method, parameters);
    return connector.request();
}

std::string parseJsonRpcResponse(const std::string& response)
{
    TextConnector connector(response);
    jsonrpc::Client client(connector);
    try {
        const Json::Value result = client.CallMethod("", Json::Value(Json::objectValue));
        if (!result.isString())
            throw std::runtime_error("JSON-RPC result is not a text");
        return result.asString();
    } catch (const jsonrpc::JsonRpcException& error) {
        throw std::runtime_error(error.what());
    }
}

class JsonRpcServer::Dispatcher : public jsonrpc::IProcedureInvokationHandler {
public:
    Dispatcher()
        : m_protocol(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
    {
    }

    void add(const std::string& method, Handler handler)
    {
        m_handlers[method] = std::move(handler);
        m_protocol->AddProcedure(jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_STRING, payloadField,
            jsonrpc::JSON_STRING, NULL)); // NOLINT(modernize-use-nullptr): ends a C variable argument list
    }

    std::string handle(const std::string& request)
    {
        std::string response;
        m_protocol->HandleRequest(request, response);
        return response;
    }

    void HandleMethodCall(
        jsonrpc::Procedure& procedure, const Json::Value& input, Json::Value& output) override // NOLINT
    {
        try {
            output = m_handlers.at(procedure.GetProcedureName())(input[payloadField].asString());
        } catch (const std::exception& error) {
            throw jsonrpc::JsonRpcException(handlerErrorCode, error.what());
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override { } // NOLINT

private:
    std::map<std::string, Handler> m_handlers;
    std::unique_ptr<jsonrpc::IProtocolHandler> m_protocol;
};

JsonRpcServer::JsonRpcServer()
    : m_dispatcher(new Dispatcher)
{
}

JsonRpcServer::~JsonRpcServer() = default;

void JsonRpcServer::add(const std::string& method, Handler handler) { m_dispatcher->add(method, std::move(handler)); }

std::string JsonRpcServer::handle(const std::string& request) { return m_dispatcher->handle(request); }

} // namespace plantainwall

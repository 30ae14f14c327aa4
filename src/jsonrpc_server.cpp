#include "jsonrpc_server.h"
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>
#include <map>
#include <stdexcept>

namespace plantainwall {

namespace {

    Json::Value parseJson(const std::string& text)
    {
        // Strict parsing requires an array or object at the root; the default settings allow any value.
        Json::CharReaderBuilder builder;
        const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
        Json::Value value;
        std::string errors;
        if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors))
            throw std::invalid_argument("not JSON: " + errors);
        return value;
    }

    std::string writeJson(const Json::Value& value)
    {
        Json::StreamWriterBuilder builder;
        builder["indentation"] = "";
        return Json::writeString(builder, value);
    }

    /// Server connector without a transport: the HTTP listener of the peer port passes in the request text.
    class TextConnector final : public jsonrpc::AbstractServerConnector {
    public:
        bool StartListening() override { return true; }
        bool StopListening() override { return true; }

        bool SendResponse(const std::string& response, void* addInfo) override
        {
            *static_cast<std::string*>(addInfo) = response;
            return true;
        }
    };

    /// Client connector without a transport: records the request that the library builds and returns a preset response.
    class TextClientConnector final : public jsonrpc::IClientConnector {
    public:
        // The base class declares a dynamic exception specification, which an override has to repeat.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wdeprecated"
        void SendRPCMessage(const std::string& message, std::string& result) throw(jsonrpc::JsonRpcException) override
        {
            request = message;
            result = response;
        }
#pragma GCC diagnostic pop

        std::string request;
        std::string response;
    };

} // namespace

class JsonRpcServer::Impl final : public jsonrpc::IProcedureInvokationHandler {
public:
    Impl()
        : m_handler(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this))
    {
        m_connector.SetHandler(m_handler.get());
    }

    void addMethod(const std::string& name, Handler handler)
    {
        m_handler->AddProcedure(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
        m_methods[name] = std::move(handler);
    }

    std::string handle(const std::string& request)
    {
        std::string response;
        m_connector.OnRequest(request, &response);
        return response;
    }

    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input, Json::Value& output) override
    {
        try {
            output = parseJson(m_methods.at(procedure.GetProcedureName())(writeJson(input["data"])));
        } catch (const std::exception& error) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR, error.what());
        }
    }

    void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override { }

private:
    TextConnector m_connector;
    std::unique_ptr<jsonrpc::IProtocolHandler> m_handler;
    std::map<std::string, Handler> m_methods;
};

JsonRpcServer::JsonRpcServer()
    : m_impl(new Impl)
{
}

JsonRpcServer::~JsonRpcServer() = default;

void JsonRpcServer::addMethod(const std::string& name, Handler handler) { m_impl->addMethod(name, std::move(handler)); }

std::string JsonRpcServer::handle(const std::string& request) { return m_impl->handle(request); }

std::string makeJsonRpcRequest(const std::string& method, const std::string& params, uint64_t id)
{
    Json::Value data(Json::objectValue);
    data["data"] = parseJson(params);
    TextClientConnector connector;
    connector.response = R"({"jsonrpc":"2.0","id":1,"result":null})";
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    client.CallMethod(method, data);
    // The library gives every request the same id.
    Json::Value request = parseJson(connector.request);
    request["id"] = Json::Value::UInt64(id);
    return writeJson(request);
}

bool isJsonRpcResponseTo(const std::string& response, uint64_t id)
{
    try {
        const Json::Value value = parseJson(response);
        return value.isObject() && value["id"].isUInt64() && value["id"].asUInt64() == id;
    } catch (const std::exception&) {
        return false;
    }
}

std::string parseJsonRpcResponse(const std::string& response, uint64_t id)
{
    if (!isJsonRpcResponseTo(response, id))
        throw std::runtime_error("JSON-RPC call failed: the response belongs to another request");
    TextClientConnector connector;
    Json::Value value = parseJson(response);
    value["id"] = 1; // The library expects the id that it gives.
    connector.response = writeJson(value);
    jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
    try {
        return writeJson(client.CallMethod("response", Json::Value(Json::objectValue)));
    } catch (const jsonrpc::JsonRpcException& error) {
        throw std::runtime_error(std::string("JSON-RPC call failed: ") + error.what());
    }
}

} // namespace plantainwall

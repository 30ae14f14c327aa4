#include "cli_operator_client.h"
#include "json_text.h"
#include "key_digest.h"
#include <cpprest/base_uri.h>

namespace plantainwall {

using web::json::value;

namespace {

    constexpr unsigned maxAttempts = 5;
    constexpr Duration firstRetryDelay = std::chrono::milliseconds(200); // Doubles with each retry; 3 s in total.
    constexpr Duration readTimeout = std::chrono::seconds(5);
    // The entry host calls the store up to 4 times with a timeout of 2 s each.
    constexpr Duration changeTimeout = std::chrono::seconds(20);

    value parseReply(const HttpReply& reply)
    {
        try {
            return reply.body.empty() ? value::object() : parseJson(reply.body);
        } catch (const web::json::json_exception&) {
            return value::object();
        }
    }

    std::string stringField(const value& json, const std::string& name)
    {
        return json.has_string_field(name) ? json.at(name).as_string() : std::string();
    }

    [[noreturn]] void throwRefusal(const HttpReply& reply, OperatorExit exitCode)
    {
        const value json = parseReply(reply);
        std::string message = stringField(json, "message");
        if (message.empty())
            message = "the server answered with status " + std::to_string(reply.status);
        if (!stringField(json, "name").empty())
            message = stringField(json, "name") + ": " + message;
        if (json.has_array_field("faults")) {
            for (const value& fault : json.at("faults").as_array())
                message += "\n  " + stringField(fault, "path") + ": " + stringField(fault, "reason");
        }
        throw OperatorCallFailed(exitCode, message, reply.body);
    }

    /// Returns whether the change may have been applied, or may still be, although the reply does not confirm it.
    bool isOutcomeUnknown(const HttpReply& reply)
    {
        if (reply.sendState != SendState::Answered)
            return reply.sendState == SendState::MaybeSent;
        const value json = parseReply(reply);
        return reply.status >= 500 && stringField(json, "run") != "not_run";
    }

} // namespace

OperatorClient::OperatorClient(
    std::shared_ptr<HttpCaller> caller, std::string credential, std::function<void(Duration)> pause)
    : m_caller(std::move(caller))
    , m_credential(std::move(credential))
    , m_pause(std::move(pause))
{
}

HttpReply OperatorClient::send(
    const std::string& method, const std::string& target, const std::string& body, Duration timeout)
{
    HttpCall call;
    call.method = method;
    call.path = "/operator/v1/" + target;
    call.headers["Authorization"] = "Bearer " + m_credential;
    if (!body.empty())
        call.headers["Content-Type"] = "application/json";
    call.body = body;
    call.timeout = timeout;
    return m_caller->call(std::move(call)).get();
}

value OperatorClient::read(const std::string& target, Duration timeout)
{
    HttpReply reply;
    for (unsigned attempt = 0; attempt < maxAttempts; ++attempt) {
        if (attempt > 0)
            m_pause(firstRetryDelay * (1 << (attempt - 1)));
        reply = send("GET", target, {}, timeout);
        if (reply.sendState == SendState::Answered && reply.status < 500)
            break;
    }
    if (reply.sendState != SendState::Answered)
        throw OperatorCallFailed(OperatorExit::Refused, "the server did not answer: " + reply.error);
    value json = parseReply(reply);
    // A 404 reply for a path without a value is valid; it contains the revision.
    if (reply.status != 200 && !(reply.status == 404 && json.has_field("revision")))
        throwRefusal(reply, OperatorExit::Refused);
    return json;
}

value OperatorClient::get(const std::string& path)
{
    return read("config/" + web::uri::encode_uri(path, web::uri::components::path), readTimeout);
}

value OperatorClient::list(const std::string& prefix)
{
    return read("list?prefix=" + web::uri::encode_data_string(prefix), readTimeout);
}

value OperatorClient::status() { return read("status", readTimeout); }

value OperatorClient::watch(const std::string& prefix, uint64_t after, Duration wait)
{
    const int64_t waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    return read("watch?prefix=" + web::uri::encode_data_string(prefix) + "&after=" + std::to_string(after)
            + "&wait_ms=" + std::to_string(waitMs),
        wait + readTimeout);
}

value OperatorClient::change(const std::string& path, const std::optional<std::string>& newValue, uint64_t revision)
{
    const std::string changeId = randomName(26);
    value body = value::object();
    if (newValue)
        body["value"] = value::string(*newValue);
    body["expected_revision"] = value::number(revision);
    body["change_id"] = value::string(changeId);
    const std::string target = "config/" + web::uri::encode_uri(path, web::uri::components::path);
    HttpReply reply;
    bool unknown = false;
    for (unsigned attempt = 0; attempt < maxAttempts; ++attempt) {
        if (attempt > 0)
            m_pause(firstRetryDelay * (1 << (attempt - 1)));
        reply = send(newValue ? "PUT" : "DELETE", target, body.serialize(), changeTimeout);
        if (reply.sendState == SendState::Answered && reply.status == 200)
            return parseReply(reply);
        if (reply.sendState == SendState::Answered && reply.status < 500)
            throwRefusal(reply, OperatorExit::Refused);
        unknown = unknown || isOutcomeUnknown(reply);
    }
    if (unknown)
        throw OperatorCallFailed(OperatorExit::OutcomeUnknown,
            "unknown whether the change was applied; look up change id " + changeId, reply.body);
    if (reply.sendState != SendState::Answered)
        throw OperatorCallFailed(OperatorExit::Refused, "not applied: the server could not be reached: " + reply.error);
    throwRefusal(reply, OperatorExit::Refused);
}

} // namespace plantainwall

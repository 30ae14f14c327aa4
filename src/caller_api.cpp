#include "caller_api.h"
#include "json_text.h"
#include "session_token.h"
#include "text_escape.h"
#include <algorithm>
#include <charconv>
#include <cpprest/base_uri.h>
#include <cpprest/json.h>

namespace plantainwall {

namespace {

    using Json = web::json::value;

    constexpr Caps caps;

    std::string decodeSegment(const std::string& encoded)
    {
        std::string segment;
        try {
            segment = web::uri::decode(encoded);
        } catch (const web::uri_exception& error) {
            throw RequestRefused(ResultCode::BadRequest, std::string("the path is malformed: ") + error.what());
        }
        if (!isUtf8(segment))
            throw RequestRefused(ResultCode::BadRequest, "a part of the path is not UTF-8");
        return segment;
    }

    /// Returns the decoded segments of a path. Throws RequestRefused if one is empty.
    std::vector<std::string> splitPath(const std::string& path)
    {
        std::vector<std::string> segments;
        for (size_t begin = 0; begin < path.size();) {
            const size_t end = std::min(path.find('/', begin + 1), path.size());
            if (end == begin + 1)
                throw RequestRefused(ResultCode::UnknownRoute, "no such path: " + path);
            // Decoded after the split: a "/" in a name or id does not end it.
            segments.push_back(decodeSegment(path.substr(begin + 1, end - begin - 1)));
            begin = end;
        }
        return segments;
    }

    std::string headerOf(const CallerHttpRequest& request, const char* name)
    {
        const auto it = request.headers.find(name);
        return it == request.headers.end() ? std::string() : it->second;
    }

    int64_t parseMilliseconds(const std::string& text, const char* header)
    {
        int64_t value = 0;
        const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), value);
        if (result.ec != std::errc() || result.ptr != text.data() + text.size() || value < 0 || value > 86400000)
            throw RequestRefused(
                ResultCode::BadRequest, std::string(header) + " must be a number of milliseconds from 0 to 86400000");
        return value;
    }

    void requireMethod(const CallerHttpRequest& request, std::string_view method)
    {
        if (request.method != method)
            throw RequestRefused(ResultCode::MethodNotAllowed, request.path + " accepts only " + std::string(method));
    }

    void readHeaders(const CallerHttpRequest& request, RequestContext& context)
    {
        constexpr std::string_view bearer = "Bearer ";
        const std::string authorization = headerOf(request, "authorization");
        if (!authorization.empty()) {
            if (authorization.compare(0, bearer.size(), bearer) != 0)
                throw RequestRefused(ResultCode::BadRequest, "Authorization must be \"Bearer <key>\"");
            context.key = authorization.substr(bearer.size());
        }
        context.sessionToken = headerOf(request, "plantainwall-session");
        if (context.sessionToken.size() > caps.maxSessionTokenBytes)
            throw RequestRefused(ResultCode::BadRequest, "session token is longer than 4096 bytes");
        if (!SessionToken::isTokenText(context.sessionToken))
            throw RequestRefused(ResultCode::SessionInvalid, {});
        context.traceParent = headerOf(request, "traceparent");
        const std::string deadline = headerOf(request, "plantainwall-deadline-ms");
        if (!deadline.empty())
            context.timeLeft = std::chrono::milliseconds(parseMilliseconds(deadline, "Plantainwall-Deadline-Ms"));
    }

    Json parseBody(const std::string& body)
    {
        if (body.empty())
            return Json::object();
        Json json;
        try {
            json = parseJson(body);
        } catch (const web::json::json_exception& error) {
            throw RequestRefused(ResultCode::BadRequest, std::string("body is not JSON: ") + error.what());
        }
        if (!json.is_object())
            throw RequestRefused(ResultCode::BadRequest, "body is not a JSON object");
        return json;
    }

    void readStatements(const Json& list, RequestContext& context)
    {
        if (!list.is_array() || list.size() == 0 || list.size() > caps.maxStatementsPerRequest)
            throw RequestRefused(ResultCode::BadRequest, "\"statements\" must be an array of 1 to 256 strings");
        for (const Json& statement : list.as_array()) {
            if (!statement.is_string())
                throw RequestRefused(ResultCode::BadRequest, "\"statements\" must contain only strings");
            context.statements.push_back(statement.as_string());
        }
    }

    bool readFlag(const Json& value, const std::string& name)
    {
        if (!value.is_boolean())
            throw RequestRefused(ResultCode::BadRequest, "\"" + name + "\" must be true or false");
        return value.as_bool();
    }

    void readRequestId(const Json& value, RequestContext& context)
    {
        if (!value.is_string() || value.as_string().empty() || value.as_string().size() > caps.maxRequestIdBytes)
            throw RequestRefused(ResultCode::BadRequest, "\"request_id\" must be a string of 1 to 128 bytes");
        context.requestId = value.as_string();
    }

    void readMaxAge(const Json& value, RequestContext& context)
    {
        if (!value.is_integer() || value.as_number().to_int64() < 0 || value.as_number().to_int64() > 86400000)
            throw RequestRefused(ResultCode::BadRequest, "\"max_age_ms\" must be a whole number from 0 to 86400000");
        context.maxAge = std::chrono::milliseconds(value.as_number().to_int64());
    }

    void readBody(const std::string& body, RequestContext& context)
    {
        const Json json = parseBody(body);
        for (const std::pair<std::string, Json>& field : json.as_object()) {
            const std::string& name = field.first;
            if (name == "statements")
                readStatements(field.second, context);
            else if (name == "request_id")
                readRequestId(field.second, context);
            else if (name == "read_only")
                context.readOnly = readFlag(field.second, name);
            else if (name == "idempotent")
                context.idempotent = readFlag(field.second, name);
            else if (name == "max_age_ms")
                readMaxAge(field.second, context);
            else
                throw RequestRefused(ResultCode::BadRequest, "unknown field \"" + name + "\"");
        }
        if (context.maxAge && !context.readOnly)
            throw RequestRefused(ResultCode::BadRequest, "\"max_age_ms\" needs \"read_only\": true");
    }

    void requireStatements(const RequestContext& context)
    {
        if (context.statements.empty())
            throw RequestRefused(ResultCode::BadRequest, "\"statements\" is missing");
    }

    struct TransactionAction {
        std::string_view name;
        TransactionStep step;
    };

    constexpr TransactionAction transactionActions[] = {
        { "query", TransactionStep::Continue },
        { "commit", TransactionStep::Commit },
        { "rollback", TransactionStep::Rollback },
    };

    void readTransactionRoute(const CallerHttpRequest& request, const std::string& action, RequestContext& context)
    {
        for (const TransactionAction& candidate : transactionActions) {
            if (action != candidate.name)
                continue;
            requireMethod(request, "POST");
            context.step = candidate.step;
            readBody(request.body, context);
            if (context.step == TransactionStep::Continue)
                requireStatements(context);
            return;
        }
        throw RequestRefused(ResultCode::UnknownRoute, "no such path: " + request.path);
    }

    void readGroupRoute(const CallerHttpRequest& request, const std::vector<std::string>& path, RequestContext& context)
    {
        context.group = path[2];
        if (path.size() == 4 && path[3] == "query") {
            requireMethod(request, "POST");
            readBody(request.body, context);
            requireStatements(context);
            return;
        }
        if (path.size() == 4 && path[3] == "transactions") {
            requireMethod(request, "POST");
            context.step = TransactionStep::Begin;
            readBody(request.body, context);
            return;
        }
        if (path.size() == 5 && path[3] == "requests") {
            requireMethod(request, "GET");
            context.outcomeLookup = true;
            context.requestId = path[4];
            if (context.requestId.size() > caps.maxRequestIdBytes)
                throw RequestRefused(ResultCode::BadRequest, "request id is longer than 128 bytes");
            return;
        }
        throw RequestRefused(ResultCode::UnknownRoute, "no such path: " + request.path);
    }

} // namespace

RequestContextPtr parseCallerRequest(const CallerHttpRequest& request)
{
    RequestContextPtr context = std::make_shared<RequestContext>();
    const std::vector<std::string> path = splitPath(request.path);
    if (path.size() < 4 || path[0] != "v1")
        throw RequestRefused(ResultCode::UnknownRoute, "no such path: " + request.path);
    readHeaders(request, *context);
    if (path[1] == "groups") {
        readGroupRoute(request, path, *context);
    } else if (path[1] == "transactions" && path.size() == 4) {
        const size_t dot = path[2].find('.');
        if (dot == std::string::npos)
            throw RequestRefused(ResultCode::TransactionUnknown, "malformed transaction id");
        context->group = path[2].substr(0, dot);
        context->transaction = path[2].substr(dot + 1);
        readTransactionRoute(request, path[3], *context);
    } else {
        throw RequestRefused(ResultCode::UnknownRoute, "no such path: " + request.path);
    }
    return context;
}

CallerHttpAnswer renderAnswer(const MemberAnswer& answer, std::string_view requestId, std::string_view sessionToken)
{
    const ResultCodeInfo& info = resultCodeInfo(answer.code);
    Json json = Json::object();
    json["code"] = Json::number(static_cast<int>(answer.code));
    json["name"] = Json::string(std::string(info.name));
    json["run"] = Json::string(std::string(runStateName(answer.runState)));
    if (answer.code != ResultCode::Ok)
        json["message"] = Json::string(answer.message.empty() ? std::string(info.meaning) : answer.message);
    if (answer.code == ResultCode::Ok) {
        Json results = Json::array(answer.results.size());
        for (size_t i = 0; i < answer.results.size(); ++i)
            results[i] = answer.results[i] ? Json::string(*answer.results[i]) : Json::null();
        json["results"] = results;
        json["served_by"] = Json::string(answer.servedByReplica ? "replica" : "primary");
    }
    if (!requestId.empty())
        json["request_id"] = Json::string(std::string(requestId));
    if (!answer.transaction.empty())
        json["transaction"] = Json::string(answer.transaction);

    CallerHttpAnswer http;
    http.status = info.httpStatus;
    http.headers["Content-Type"] = "application/json";
    if (!sessionToken.empty()) {
        json["session"] = Json::string(std::string(sessionToken));
        http.headers["Plantainwall-Session"] = std::string(sessionToken);
    }
    if (answer.retryAfter) {
        const int64_t milliseconds
            = std::max<int64_t>(1, std::chrono::duration_cast<std::chrono::milliseconds>(*answer.retryAfter).count());
        json["retry_after_ms"] = Json::number(milliseconds);
        http.headers["Retry-After"] = std::to_string((milliseconds + 999) / 1000);
    }
    http.body = json.serialize();
    return http;
}

} // namespace plantainwall

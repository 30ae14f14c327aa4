#include "member_codec.h"
#include "json_text.h"
#include <cpprest/json.h>

namespace plantainwall {

namespace {

    using Json = web::json::value;

    constexpr std::string_view stepNames[] = { "none", "begin", "continue", "commit", "rollback" };
    static_assert(sizeof(stepNames) / sizeof(stepNames[0]) == static_cast<size_t>(TransactionStep::Count),
        "one entry for each TransactionStep");

    Json jsonString(const std::string& text) { return Json::string(text); }

    Json jsonPosition(const LogPosition& position)
    {
        Json json = Json::array(2);
        json[0] = Json::number(position.term);
        json[1] = Json::number(position.position);
        return json;
    }

    LogPosition positionFrom(const Json& json)
    {
        return { json.at(0).as_number().to_uint64(), json.at(1).as_number().to_uint64() };
    }

    std::string stringOr(const Json& json, const char* field, const char* fallback = "")
    {
        return json.has_field(field) ? json.at(field).as_string() : std::string(fallback);
    }

    std::optional<Duration> durationFrom(const Json& json, const char* field)
    {
        if (!json.has_field(field))
            return std::nullopt;
        return Duration(json.at(field).as_number().to_int64());
    }

    bool flagFrom(const Json& json, const char* field) { return json.has_field(field) && json.at(field).as_bool(); }

    Json parseObject(std::string_view text)
    {
        Json json;
        try {
            json = parseJson(std::string(text));
        } catch (const web::json::json_exception& error) {
            throw std::invalid_argument(std::string("peer message is not JSON: ") + error.what());
        }
        if (!json.is_object())
            throw std::invalid_argument("peer message is not a JSON object");
        return json;
    }

    MemberRequest requestFrom(const Json& json)
    {
        MemberRequest request;
        request.group = json.at("group").as_string();
        request.member = json.at("member").as_string();
        request.customer = stringOr(json, "customer");
        request.keyId = stringOr(json, "key_id");
        if (json.has_field("weight"))
            request.weight = json.at("weight").as_double();
        request.requestId = json.at("request_id").as_string();
        if (json.has_field("statements")) {
            for (const Json& statement : json.at("statements").as_array())
                request.statements.push_back(statement.as_string());
        }
        request.readOnly = flagFrom(json, "read_only");
        request.idempotent = flagFrom(json, "idempotent");
        request.step = transactionStepFromName(stringOr(json, "step", "none"));
        request.transaction = stringOr(json, "transaction");
        if (json.has_field("min_position"))
            request.minPosition = positionFrom(json.at("min_position"));
        request.maxAge = durationFrom(json, "max_age_us");
        request.waitLimit = durationFrom(json, "wait_limit_us");
        request.timeLeft = durationFrom(json, "time_left_us").value_or(Duration::zero());
        request.traceParent = stringOr(json, "traceparent");
        return request;
    }

    MemberAnswer answerFrom(const Json& json)
    {
        MemberAnswer answer;
        answer.code = resultCodeFromName(json.at("code").as_string());
        answer.runState = static_cast<RunState>(json.at("run").as_integer());
        if (answer.runState >= RunState::Count)
            throw std::invalid_argument("peer answer has an unknown run state");
        answer.message = stringOr(json, "message");
        if (json.has_field("results")) {
            for (const Json& result : json.at("results").as_array()) {
                answer.results.push_back(result.is_null() ? std::nullopt : std::make_optional(result.as_string()));
            }
        }
        answer.position = positionFrom(json.at("position"));
        answer.transaction = stringOr(json, "transaction");
        answer.primaryHint = stringOr(json, "primary_hint");
        answer.replicaHint = stringOr(json, "replica_hint");
        if (json.has_field("term"))
            answer.term = json.at("term").as_number().to_uint64();
        answer.retryAfter = durationFrom(json, "retry_after_us");
        answer.servedByReplica = flagFrom(json, "served_by_replica");
        return answer;
    }

} // namespace

std::string_view transactionStepName(TransactionStep step) { return stepNames[static_cast<size_t>(step)]; }

TransactionStep transactionStepFromName(std::string_view name)
{
    for (size_t i = 0; i < static_cast<size_t>(TransactionStep::Count); ++i) {
        if (stepNames[i] == name)
            return static_cast<TransactionStep>(i);
    }
    throw std::invalid_argument("unknown transaction step \"" + std::string(name) + "\"");
}

std::string encodeMemberRequest(const MemberRequest& request)
{
    Json json = Json::object();
    json["group"] = jsonString(request.group);
    json["member"] = jsonString(request.member);
    if (!request.customer.empty())
        json["customer"] = jsonString(request.customer);
    if (!request.keyId.empty())
        json["key_id"] = jsonString(request.keyId);
    if (request.weight != 1)
        json["weight"] = Json::number(request.weight);
    json["request_id"] = jsonString(request.requestId);
    if (!request.statements.empty()) {
        Json statements = Json::array(request.statements.size());
        for (size_t i = 0; i < request.statements.size(); ++i)
            statements[i] = jsonString(request.statements[i]);
        json["statements"] = statements;
    }
    if (request.readOnly)
        json["read_only"] = Json::boolean(true);
    if (request.idempotent)
        json["idempotent"] = Json::boolean(true);
    if (request.step != TransactionStep::None)
        json["step"] = jsonString(std::string(transactionStepName(request.step)));
    if (!request.transaction.empty())
        json["transaction"] = jsonString(request.transaction);
    if (request.minPosition != LogPosition {})
        json["min_position"] = jsonPosition(request.minPosition);
    if (request.maxAge)
        json["max_age_us"] = Json::number(static_cast<int64_t>(request.maxAge->count()));
    if (request.waitLimit)
        json["wait_limit_us"] = Json::number(static_cast<int64_t>(request.waitLimit->count()));
    json["time_left_us"] = Json::number(static_cast<int64_t>(request.timeLeft.count()));
    if (!request.traceParent.empty())
        json["traceparent"] = jsonString(request.traceParent);
    return json.serialize();
}

MemberRequest decodeMemberRequest(std::string_view text)
{
    const Json json = parseObject(text);
    try {
        return requestFrom(json);
    } catch (const web::json::json_exception& error) {
        throw std::invalid_argument(std::string("malformed peer request: ") + error.what());
    }
}

std::string encodeMemberAnswer(const MemberAnswer& answer)
{
    Json json = Json::object();
    json["code"] = jsonString(std::string(resultCodeInfo(answer.code).name));
    json["run"] = Json::number(static_cast<int>(answer.runState));
    if (!answer.message.empty())
        json["message"] = jsonString(answer.message);
    if (!answer.results.empty()) {
        Json results = Json::array(answer.results.size());
        for (size_t i = 0; i < answer.results.size(); ++i)
            results[i] = answer.results[i] ? jsonString(*answer.results[i]) : Json::null();
        json["results"] = results;
    }
    json["position"] = jsonPosition(answer.position);
    if (!answer.transaction.empty())
        json["transaction"] = jsonString(answer.transaction);
    if (!answer.primaryHint.empty())
        json["primary_hint"] = jsonString(answer.primaryHint);
    if (!answer.replicaHint.empty())
        json["replica_hint"] = jsonString(answer.replicaHint);
    if (answer.term)
        json["term"] = Json::number(answer.term);
    if (answer.retryAfter)
        json["retry_after_us"] = Json::number(static_cast<int64_t>(answer.retryAfter->count()));
    if (answer.servedByReplica)
        json["served_by_replica"] = Json::boolean(true);
    return json.serialize();
}

MemberAnswer decodeMemberAnswer(std::string_view text)
{
    const Json json = parseObject(text);
    try {
        return answerFrom(json);
    } catch (const web::json::json_exception& error) {
        throw std::invalid_argument(std::string("malformed peer answer: ") + error.what());
    }
}

} // namespace plantainwall

#include "database_http.h"
#include "json_text.h"
#include <cpprest/base_uri.h>
#include <cpprest/json.h>

namespace plantainwall {

namespace {

    using web::json::value;

    constexpr std::string_view roleNames[] = { "primary", "replica", "fenced" };
    static_assert(sizeof(roleNames) / sizeof(roleNames[0]) == static_cast<size_t>(MemberRole::Count),
        "one entry for each MemberRole");

    constexpr std::string_view stepNames[] = { "none", "begin", "continue", "commit", "rollback" };
    static_assert(sizeof(stepNames) / sizeof(stepNames[0]) == static_cast<size_t>(TransactionStep::Count),
        "one entry for each TransactionStep");

    struct ErrorName {
        std::string_view name;
        ResultCode code;
    };

    constexpr ErrorName errorNames[] = {
        { "stale_term", ResultCode::NotPrimary },
        { "not_primary", ResultCode::NotPrimary },
        { "fenced", ResultCode::NotPrimary },
        { "unknown_connection", ResultCode::TransactionUnknown },
        { "transaction_unknown", ResultCode::TransactionUnknown },
        { "connection_busy", ResultCode::QueueFull },
        { "slots_busy", ResultCode::QueueFull },
        { "deadline", ResultCode::DeadlineExceeded },
        { "statement_failed", ResultCode::StatementFailed },
        { "read_only", ResultCode::StatementFailed },
        { "leaving", ResultCode::MemberLeaving },
    };

    /// Longest wait for an answer after the wait time given to the database has passed.
    constexpr Duration answerMargin = std::chrono::milliseconds(500);
    constexpr Duration closeTimeout = std::chrono::seconds(2);

    int64_t milliseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    uint64_t number(const value& json, const char* name) { return json.at(name).as_number().to_uint64(); }

    std::string text(std::string_view view) { return std::string(view); }

    /// Encodes a request id or connection id as a path segment.
    std::string segment(std::string_view id) { return web::uri::encode_data_string(text(id)); }

    MemberRole roleFromName(const std::string& name)
    {
        for (size_t i = 0; i < static_cast<size_t>(MemberRole::Count); ++i) {
            if (roleNames[i] == name)
                return static_cast<MemberRole>(i);
        }
        throw CallFailed(SendState::Answered, "database: unknown role \"" + name + "\"");
    }

    MemberStatus parseStatus(const value& json)
    {
        MemberStatus status;
        status.term = number(json, "term");
        status.role = roleFromName(json.at("role").as_string());
        status.received = LogPosition { number(json, "last_term"), number(json, "received") };
        status.applied = LogPosition { number(json, "applied_term"), number(json, "applied") };
        status.leaving = json.at("leaving").as_bool();
        status.slots = static_cast<unsigned>(number(json, "slots"));
        status.connectionsOpen = static_cast<unsigned>(number(json, "connections_open"));
        status.connectionLimit = static_cast<unsigned>(number(json, "connection_limit"));
        status.primarySilence = std::chrono::milliseconds(json.at("primary_silence_ms").as_number().to_int64());
        return status;
    }

    std::vector<std::optional<std::string>> parseResults(const value& json)
    {
        std::vector<std::optional<std::string>> results;
        for (const value& item : json.as_array())
            results.push_back(item.is_null() ? std::nullopt : std::optional<std::string>(item.as_string()));
        return results;
    }

    /// Returns the body of a successful answer; throws CallFailed for anything else.
    value body(const HttpReply& reply)
    {
        if (reply.sendState != SendState::Answered)
            throw CallFailed(reply.sendState, "database: " + reply.error);
        if (reply.status != 200)
            throw CallFailed(SendState::Answered,
                "database: status " + std::to_string(reply.status) + " " + reply.body.substr(0, 200));
        return parseJson(reply.body);
    }

    /// Parses the body of an answer. A body of another form fails with CallFailed.
    template <typename Result, typename Parse> pplx::task<Result> parsed(const pplx::task<HttpReply>& call, Parse parse)
    {
        return call.then([parse](const HttpReply& reply) -> Result {
            try {
                return parse(body(reply));
            } catch (const web::json::json_exception& error) {
                throw CallFailed(SendState::Answered, std::string("database: malformed answer: ") + error.what());
            }
        });
    }

    ExecuteOutcome parseRefusal(const value& json)
    {
        ExecuteOutcome outcome;
        outcome.sendState = SendState::Answered;
        const std::string name = json.at("error").as_string();
        outcome.message = json.has_field("message") ? json.at("message").as_string() : name;
        const bool provenNotRun = json.has_field("run") && json.at("run").as_string() == "not_run";
        outcome.code = ResultCode::OutcomeUnknown;
        for (const ErrorName& entry : errorNames) {
            if (provenNotRun && entry.name == name)
                outcome.code = entry.code;
        }
        return outcome;
    }

    /// Returns whether an answer names the request, or none.
    bool namesRequest(const value& json, const std::string& requestId)
    {
        return !json.has_field("request_id")
            || (json.has_string_field("request_id") && json.at("request_id").as_string() == requestId);
    }

    bool answersRequest(const HttpReply& reply, const std::string& requestId)
    {
        try {
            return namesRequest(parseJson(reply.body), requestId);
        } catch (const web::json::json_exception&) {
            return true; // It has no valid form, whosever it is.
        }
    }

    /// Only an answer with "not_run" proves that nothing ran; after any other failure the outcome is unknown, unless
    /// the call was never sent.
    ExecuteOutcome parseExecute(const HttpReply& reply, const std::string& requestId)
    {
        ExecuteOutcome outcome;
        outcome.sendState = reply.sendState;
        outcome.message = reply.error;
        outcome.code = reply.sendState == SendState::NotSent ? ResultCode::PeerUnavailable : ResultCode::OutcomeUnknown;
        if (reply.sendState != SendState::Answered)
            return outcome;
        try {
            const value json = parseJson(reply.body);
            if (!namesRequest(json, requestId)) {
                outcome.message = "database: the answer is that of another request";
                return outcome;
            }
            if (reply.status != 200)
                return parseRefusal(json);
            outcome.results = parseResults(json.at("results"));
            outcome.position = LogPosition { number(json, "term"), number(json, "position") };
            outcome.repeated = json.has_field("repeated") && json.at("repeated").as_bool();
            outcome.code = ResultCode::Ok;
        } catch (const web::json::json_exception& error) {
            outcome.code = ResultCode::OutcomeUnknown;
            outcome.message = std::string("database: malformed answer: ") + error.what();
        }
        return outcome;
    }

    class HttpDatabase final : public Database {
    public:
        HttpDatabase(std::shared_ptr<HttpCaller> caller, std::string_view credential)
            : m_caller(std::move(caller))
            , m_authorization("Bearer " + text(credential))
        {
        }

        pplx::task<MemberStatus> status(Duration timeout) override
        {
            return parsed<MemberStatus>(send("GET", "/v1/status", {}, timeout), parseStatus);
        }

        pplx::task<MemberStatus> waitForChange(LogPosition received, LogPosition applied, Duration wait) override
        {
            const std::string path = "/v1/position?last_term=" + std::to_string(received.term)
                + "&received=" + std::to_string(received.position) + "&applied_term=" + std::to_string(applied.term)
                + "&applied=" + std::to_string(applied.position) + "&wait_ms=" + std::to_string(milliseconds(wait));
            return parsed<MemberStatus>(send("GET", path, {}, wait + answerMargin), parseStatus);
        }

        pplx::task<FenceReply> fence(uint64_t term, std::string_view candidate, Duration timeout) override
        {
            return parsed<FenceReply>(
                send("POST", "/v1/fence", candidateBody(term, candidate), timeout), [](const value& json) {
                    FenceReply reply;
                    reply.granted = json.at("granted").as_bool();
                    reply.term = number(json, "term");
                    if (reply.granted)
                        reply.received = LogPosition { number(json, "last_term"), number(json, "received") };
                    return reply;
                });
        }

        pplx::task<bool> promote(uint64_t term, std::string_view candidate, Duration timeout) override
        {
            return parsed<bool>(send("POST", "/v1/promote", candidateBody(term, candidate), timeout),
                [](const value& json) { return json.at("promoted").as_bool(); });
        }

        pplx::task<std::string> openConnection(Duration timeout) override
        {
            value json = value::object();
            json["client"] = value::string("plantainwall");
            return parsed<std::string>(send("POST", "/v1/connections", json.serialize(), timeout),
                [](const value& answer) { return answer.at("connection").as_string(); });
        }

        pplx::task<void> closeConnection(std::string_view connection) override
        {
            return send("DELETE", "/v1/connections/" + segment(connection), {}, closeTimeout)
                .then([](const HttpReply& reply) {
                    // 404: the connection is already closed.
                    if (reply.sendState != SendState::Answered || (reply.status >= 300 && reply.status != 404))
                        throw CallFailed(reply.sendState, "database: close failed: " + reply.error);
                });
        }

        pplx::task<ExecuteOutcome> execute(const ExecuteRequest& request) override
        {
            value json = value::object();
            json["request_id"] = value::string(request.requestId);
            json["term"] = value::number(request.term);
            json["read_only"] = value::boolean(request.readOnly);
            json["step"] = value::string(text(stepNames[static_cast<size_t>(request.step)]));
            json["time_left_ms"] = value::number(milliseconds(request.timeLeft));
            value statements = value::array();
            for (size_t i = 0; i < request.statements.size(); ++i)
                statements[i] = value::string(request.statements[i]);
            json["statements"] = statements;
            const std::string path = "/v1/connections/" + segment(request.connection) + "/execute";
            HttpCall call = makeCall("POST", path, json.serialize(), request.timeLeft);
            call.fits = [id = request.requestId](const HttpReply& reply) { return answersRequest(reply, id); };
            return m_caller->call(std::move(call)).then([id = request.requestId](const HttpReply& reply) {
                return parseExecute(reply, id);
            });
        }

        pplx::task<ExecuteOutcome> outcome(std::string_view requestId, Duration timeout) override
        {
            return parsed<ExecuteOutcome>(
                send("GET", "/v1/requests/" + segment(requestId), {}, timeout), [](const value& json) {
                    ExecuteOutcome outcome;
                    outcome.sendState = SendState::Answered;
                    outcome.code = ResultCode::OutcomeNotFound;
                    if (!json.at("found").as_bool())
                        return outcome;
                    outcome.code = ResultCode::Ok;
                    outcome.results = parseResults(json.at("results"));
                    outcome.position = LogPosition { number(json, "term"), number(json, "position") };
                    return outcome;
                });
        }

    private:
        pplx::task<HttpReply> send(const char* method, std::string path, std::string content, Duration timeout)
        {
            return m_caller->call(makeCall(method, std::move(path), std::move(content), timeout));
        }

        HttpCall makeCall(const char* method, std::string path, std::string content, Duration timeout) const
        {
            HttpCall call;
            call.method = method;
            call.path = std::move(path);
            call.headers["Authorization"] = m_authorization;
            if (!content.empty())
                call.headers["Content-Type"] = "application/json";
            call.body = std::move(content);
            call.timeout = timeout;
            return call;
        }

        static std::string candidateBody(uint64_t term, std::string_view candidate)
        {
            value json = value::object();
            json["term"] = value::number(term);
            json["candidate"] = value::string(text(candidate));
            return json.serialize();
        }

        std::shared_ptr<HttpCaller> m_caller;
        std::string m_authorization;
    };

} // namespace

std::string_view memberRoleName(MemberRole role) { return roleNames[static_cast<size_t>(role)]; }

std::shared_ptr<Database> makeHttpDatabase(std::shared_ptr<HttpCaller> caller, std::string_view credential)
{
    return std::make_shared<HttpDatabase>(std::move(caller), credential);
}

} // namespace plantainwall

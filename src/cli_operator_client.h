#pragma once

#include "http_caller.h"
#include <cpprest/json.h>
#include <functional>

namespace plantainwall {

/// Exit codes of the operator commands.
enum class OperatorExit : uint8_t { Ok = 0, Refused = 1, Usage = 2, OutcomeUnknown = 3, Count };

/// Thrown if a command fails; carries the exit code of the command.
class OperatorCallFailed : public std::runtime_error {
public:
    OperatorCallFailed(OperatorExit exitCode, const std::string& message, std::string body = {})
        : std::runtime_error(message)
        , m_exitCode(exitCode)
        , m_body(std::move(body))
    {
    }
    OperatorExit exitCode() const { return m_exitCode; }
    const std::string& body() const { return m_body; } ///< JSON answer; empty if there was none.

private:
    OperatorExit m_exitCode;
    std::string m_body;
};

/// Calls the operator interface of one entry host. All functions block, and throw OperatorCallFailed on failure.
class OperatorClient {
public:
    /// pause blocks for the given time; it is called between attempts.
    OperatorClient(std::shared_ptr<HttpCaller>, std::string credential, std::function<void(Duration)> pause);

    /// Returns the entry with its revision; deleted and unknown paths have the value null.
    web::json::value get(const std::string& path);
    web::json::value list(const std::string& prefix);
    web::json::value status(); ///< Returns the status of the entry host.
    web::json::value watch(const std::string& prefix, uint64_t after, Duration wait);

    /// Writes a value, or deletes the path if value is absent, and returns the answer. If the answer is lost, the
    /// request is retried with the same change id, so the change is applied at most once.
    web::json::value change(const std::string& path, const std::optional<std::string>& value, uint64_t revision);

private:
    HttpReply send(const std::string& method, const std::string& target, const std::string& body, Duration timeout);
    web::json::value read(const std::string& target, Duration timeout);

    std::shared_ptr<HttpCaller> m_caller;
    std::string m_credential;
    std::function<void(Duration)> m_pause;
};

} // namespace plantainwall

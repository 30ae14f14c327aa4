#pragma once

#include "http_caller.h"
#include <cpprest/json.h>
#include <functional>

namespace plantainwall {

/// Exit codes of the operator commands.
enum class OperatorExit : uint8_t { Ok = 0, Refused = 1, Usage = 2, OutcomeUnknown = 3, Count };

/// A command could not be done.
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

/// Calls the operator interface of one entry host. All functions block and throw OperatorCallFailed.
class OperatorClient {
public:
    /// pause waits between attempts.
    OperatorClient(std::shared_ptr<HttpCaller>, std::string credential, std::function<void(Duration)> pause);

    /// Returns the entry with its revision; deleted and unknown paths have the value null.
    web::json::value get(const std::string& path);
    web::json::value list(const std::string& prefix);
    web::json::value status(); ///< What the entry host believes.
    web::json::value watch(const std::string& prefix, uint64_t after, Duration wait);

    /// Writes a value (absent: deletes) and returns the answer. A lost answer is asked for again under the same change
    /// id, so the change is applied at most once.
    web::json::value change(const std::string& path, const std::optional<std::string>& value, uint64_t revision);

private:
    HttpReply send(const std::string& method, const std::string& target, const std::string& body, Duration timeout);
    web::json::value read(const std::string& target, Duration timeout);

    std::shared_ptr<HttpCaller> m_caller;
    std::string m_credential;
    std::function<void(Duration)> m_pause;
};

} // namespace plantainwall

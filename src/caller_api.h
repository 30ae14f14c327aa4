#pragma once

#include "request_context.h"

namespace plantainwall {

/// A request of the callers' HTTP interface, taken apart.
struct CallerHttpRequest {
    std::string method;
    std::string path; ///< Decoded, without query string.
    std::string query; ///< Not decoded.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

/// Status, headers and JSON body of an answer to a caller.
struct CallerHttpAnswer {
    int status = 500;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// A request that cannot be processed; says why with a result code whose run state is not_run.
class RequestRefused : public std::runtime_error {
public:
    RequestRefused(ResultCode code, const std::string& message)
        : std::runtime_error(message)
        , m_code(code)
    {
    }
    ResultCode code() const { return m_code; }

private:
    ResultCode m_code;
};

/// Reads a request to /v1/groups/... or /v1/transactions/... into a context without finish function.
/// @throws RequestRefused with BadRequest, UnknownRoute or MethodNotAllowed.
RequestContextPtr parseCallerRequest(const CallerHttpRequest&);

/// Returns the answer for a caller. sessionToken may be empty.
CallerHttpAnswer renderAnswer(const MemberAnswer&, std::string_view requestId, std::string_view sessionToken);

} // namespace plantainwall

#pragma once

#include "request_context.h"

namespace plantainwall {

/// A request to the callers' HTTP interface, split into its elements.
struct CallerHttpRequest {
    std::string method;
    std::string path; ///< Not decoded, without query string.
    std::string query; ///< Not decoded.
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
};

/// An HTTP answer to a caller, usually with a JSON body.
struct CallerHttpAnswer {
    int status = 500;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Thrown for a request that cannot be processed. Carries a result code whose run state is not_run.
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

/// Parses a request to /v1/groups/... or /v1/transactions/... into a context whose finish function is not set.
/// @throws RequestRefused with BadRequest, UnknownRoute, MethodNotAllowed, SessionInvalid or TransactionUnknown.
RequestContextPtr parseCallerRequest(const CallerHttpRequest&);

/// Renders the HTTP answer to a caller. An empty requestId or sessionToken is left out.
CallerHttpAnswer renderAnswer(const MemberAnswer&, std::string_view requestId, std::string_view sessionToken);

} // namespace plantainwall

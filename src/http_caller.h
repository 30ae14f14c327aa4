#pragma once

#include "database.h"
#include <functional>
#include <map>

namespace plantainwall {

struct HttpReply;

/// HTTP request to the endpoint of an HttpCaller.
struct HttpCall {
    std::string method = "GET";
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body; ///< JSON.
    Duration timeout = std::chrono::seconds(2);
    /// Returns whether a whole answer can be this call's. A server may send one twice, the second time late, so that it
    /// precedes the next call's own. Not set: any can.
    std::function<bool(const HttpReply&)> fits {};
};

/// Result of a call. sendState is Answered only if the whole body arrived and the answer fits; otherwise status is 0.
struct HttpReply {
    SendState sendState = SendState::NotSent;
    int status = 0;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
    std::string error;
};

/// Sends HTTP calls to one endpoint. Sends each call at most once, even where the client library would retry, and
/// replaces connections that no longer answer. Safe to call from any thread.
class HttpCaller {
public:
    virtual ~HttpCaller() = default;

    /// Sends a call. The task never fails; the reply describes a failure.
    virtual pplx::task<HttpReply> call(HttpCall) = 0;
};

/// Returns a caller that is based on cpprestsdk.
///
/// @param address URI of the form http://ip:port.
/// @param maxConcurrent Maximum number of calls in progress. Further calls wait, at most until their timeout.
std::shared_ptr<HttpCaller> makeHttpCaller(std::string_view address, unsigned maxConcurrent);

} // namespace plantainwall

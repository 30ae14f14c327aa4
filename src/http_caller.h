#pragma once

#include "database.h"
#include <map>

namespace plantainwall {

/// One HTTP request to a fixed endpoint.
struct HttpCall {
    std::string method = "GET";
    std::string path;
    std::map<std::string, std::string> headers;
    std::string body; ///< JSON.
    Duration timeout = std::chrono::seconds(2);
};

/// Answer, or how far the call got. status is 0 unless sendState is Answered; Answered means the whole body arrived.
struct HttpReply {
    SendState sendState = SendState::NotSent;
    int status = 0;
    std::map<std::string, std::string> headers; ///< Names in lower case.
    std::string body;
    std::string error;
};

/// Calls one endpoint. Sends each call at most once, whatever the library below would retry, and replaces connections
/// that have gone silent. Safe to call from any thread.
class HttpCaller {
public:
    virtual ~HttpCaller() = default;

    /// Never fails: a failure is described by the reply.
    virtual pplx::task<HttpReply> call(HttpCall) = 0;
};

/// Returns a caller for http://ip:port built on cpprestsdk, with at most maxConcurrent calls in progress; further calls
/// wait until their timeout.
std::shared_ptr<HttpCaller> makeHttpCaller(std::string_view address, unsigned maxConcurrent);

} // namespace plantainwall

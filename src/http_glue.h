#pragma once

#include "caller_api.h"
#include <cpprest/http_listener.h>
#include <pplx/pplxtasks.h>

// cpprestsdk's macro for string literals collides with template parameters in other headers.
#undef U

namespace plantainwall {

/// Reads method, path, headers and whole body of a request that a cpprestsdk listener received.
pplx::task<CallerHttpRequest> readHttpRequest(web::http::http_request);

/// Answers a request. A caller that has gone away is ignored.
void replyTo(const web::http::http_request&, const CallerHttpAnswer&);

/// Returns an error answer with the JSON that renderAnswer() gives for a refusal.
CallerHttpAnswer errorAnswer(ResultCode, const std::string& message);

/// Opens a listener at http://address:port/ that hands every request to handler, which must answer it.
std::unique_ptr<web::http::experimental::listener::http_listener> openListener(
    const std::string& address, uint16_t port, std::function<void(const web::http::http_request&)> handler);

} // namespace plantainwall

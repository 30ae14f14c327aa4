#pragma once

#include "caller_api.h"
#include <cpprest/http_listener.h>
#include <pplx/pplxtasks.h>

// This cpprestsdk macro for string literals conflicts with template parameters in other headers.
#undef U

namespace plantainwall {

/// Reads the method, path, query, headers and complete body of a request received by a cpprestsdk listener.
pplx::task<CallerHttpRequest> readHttpRequest(web::http::http_request);

/// Answers a request. Ignores the error if the caller has disconnected.
void replyTo(const web::http::http_request&, const CallerHttpAnswer&);

/// Returns the answer that renderAnswer() produces for a refusal.
CallerHttpAnswer errorAnswer(ResultCode, const std::string& message);

/// Opens a listener at http://address:port/ that passes every request to handler, which must answer it.
std::unique_ptr<web::http::experimental::listener::http_listener> openListener(
    const std::string& address, uint16_t port, std::function<void(const web::http::http_request&)> handler);

} // namespace plantainwall

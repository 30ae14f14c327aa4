#pragma once

#include "plantainwall/plantainwall.h"
#include <memory>

namespace plantainwall {

/// Counters of the HTTP server since it was installed.
struct HttpServerStats {
    uint64_t accepted = 0; ///< Connections, including those refused.
    uint64_t open = 0; ///< Connections open now.
    uint64_t requests = 0; ///< Requests passed to a listener.
    uint64_t inProgress = 0; ///< Requests passed to a listener whose answer is not yet written.
    uint64_t callerDisconnects = 0; ///< Answers that could not be written because the caller closed the connection.
    uint64_t refusedByCode[static_cast<size_t>(ResultCode::Count)] = {}; ///< Refusals by the server itself.
};

/// Controls the installed HTTP server. Safe to call from any thread, except where stated.
class HttpServerControl {
public:
    virtual ~HttpServerControl() = default;

    virtual HttpServerStats stats() const = 0;

    /// Stops accepting connections. Every further answer closes its connection; an idle connection is closed unless it
    /// sends a request within one second.
    virtual void beginDrain() = 0;

    /// Waits until every request in progress has been answered and its connection closed. Returns false when timeout
    /// passed first. Blocks; do not call it from a request handler.
    virtual bool waitDrained(Duration timeout) = 0;
};

/// Installs the server behind every cpprestsdk http_listener opened from now on; threads run its I/O and the listeners'
/// handlers. Throws web::http::http_exception if listeners are open. A listener is bound to exactly the address of its
/// URI, which has to be http://ip:port/path.
std::shared_ptr<HttpServerControl> installHttpServer(const HttpSettings&, unsigned threads);

} // namespace plantainwall

#pragma once

#include "plantainwall/plantainwall.h"
#include <memory>

namespace plantainwall {

/// Counters of the HTTP server since its installation.
struct HttpServerStats {
    uint64_t accepted = 0; ///< Accepted connections, including those refused afterwards.
    uint64_t open = 0; ///< Connections currently open.
    uint64_t requests = 0; ///< Requests passed to a listener.
    uint64_t inProgress = 0; ///< Requests passed to a listener and not yet answered.
    uint64_t requestBytes = 0; ///< Memory held for requests.
    uint64_t endedForMemory = 0; ///< Slow requests ended to make room for others.
    uint64_t callerDisconnects = 0; ///< Answers not written because the caller had closed the connection.
    uint64_t refusedByCode[static_cast<size_t>(ResultCode::Count)] = {}; ///< Refusals by the server itself.
};

/// Controls the installed HTTP server. Safe to call from any thread, except where stated.
class HttpServerControl {
public:
    virtual ~HttpServerControl() = default;

    /// Returns a snapshot of the counters.
    virtual HttpServerStats stats() const = 0;

    /// Stops accepting connections. Each connection is closed after its next answer. An idle connection is closed
    /// unless it sends a request within one second.
    virtual void beginDrain() = 0;

    /// Blocks until all requests in progress are answered and all connections are closed. Must not be called from a
    /// request handler.
    ///
    /// @return False if the timeout expired first.
    virtual bool waitDrained(Duration timeout) = 0;
};

/// Installs the server that serves every cpprestsdk http_listener opened after this call. A listener is bound to
/// exactly the address of its URI, which must have the form http://ip:port/path.
///
/// @param threads Number of threads that run the I/O and the handlers of the listeners.
/// @throws web::http::http_exception if listeners are already open.
std::shared_ptr<HttpServerControl> installHttpServer(const HttpSettings&, unsigned threads);

} // namespace plantainwall

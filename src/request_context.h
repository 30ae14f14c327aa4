#pragma once

#include "config_snapshot.h"
#include "member_service.h"
#include <functional>

namespace plantainwall {

/// A caller's request while it passes the filter chain at the entry host that received it.
struct RequestContext {
    // Set from the caller's request. The key filter removes the key.
    std::string key;
    std::string group;
    std::string requestId;
    std::vector<std::string> statements;
    bool readOnly = false;
    bool idempotent = false;
    bool outcomeLookup = false; ///< GET .../requests/{id}
    TransactionStep step = TransactionStep::None;
    std::string transaction; ///< The owner's id <host>.<member>.<id>; callers use it with the prefix "<group>.".
    std::optional<Duration> maxAge;
    std::string sessionToken;
    std::optional<Duration> timeLeft;
    std::string traceParent;

    // Set while the request is processed.
    std::shared_ptr<const ConfigSnapshot> config; ///< Snapshot taken when the request arrived.
    std::string customer; ///< Empty on a route that requires no key.
    std::string keyId;
    std::string service;
    Instant arrived {};
    Instant deadline {};
    std::map<std::string, LogPosition> session; ///< By group.
    std::string spanId;
    size_t nextFilter = 0;
    std::function<void(MemberAnswer)> finish; ///< Called exactly once.
};

using RequestContextPtr = std::shared_ptr<RequestContext>;

class FilterChain;

/// One step of request processing. handle() must lead to exactly one call, either chain.next(context) to continue or
/// context->finish(answer) to end the request. The call may come later and from any thread.
class Filter {
public:
    virtual ~Filter() = default;
    virtual std::string_view name() const = 0;
    virtual void handle(const RequestContextPtr&, FilterChain&) = 0;
};

/// Runs a request through its filters in order.
class FilterChain {
public:
    explicit FilterChain(std::vector<std::shared_ptr<Filter>> filters)
        : m_filters(std::move(filters))
    {
    }

    /// Passes the request to its next filter. Finishes it with InternalError if there is none or if the filter throws.
    void next(const RequestContextPtr&);

private:
    std::vector<std::shared_ptr<Filter>> m_filters;
};

/// Returns an answer with the given code and the run state that belongs to it.
MemberAnswer refusal(ResultCode, std::string message = {});

} // namespace plantainwall

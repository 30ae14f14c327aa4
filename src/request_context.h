#pragma once

#include "config_snapshot.h"
#include "member_service.h"
#include <functional>

namespace plantainwall {

/// A caller's request while it passes the filter chain at the entry host that received it.
struct RequestContext {
    // From the caller. The key is taken out by the key filter.
    std::string key;
    std::string group;
    std::string requestId;
    std::vector<std::string> statements;
    bool readOnly = false;
    bool idempotent = false;
    bool outcomeLookup = false; ///< GET .../requests/{id}
    TransactionStep step = TransactionStep::None;
    std::string transaction; ///< The owner's id <host>.<member>.<id>; callers see it with the prefix "<group>.".
    std::optional<Duration> maxAge;
    std::string sessionToken;
    std::optional<Duration> timeLeft;
    std::string traceParent;

    // Filled in by the filters.
    std::shared_ptr<const ConfigSnapshot> config; ///< Snapshot taken when the request arrived.
    std::string customer; ///< Empty on a route open to all.
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

/// One step of request processing. Calls chain.next(context) to go on or context->finish(answer) to end the request,
/// at once or later, from any thread; exactly one of both.
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

    void next(const RequestContextPtr&);

private:
    std::vector<std::shared_ptr<Filter>> m_filters;
};

/// Returns an answer that refuses a request with the given code.
MemberAnswer refusal(ResultCode, std::string message = {});

} // namespace plantainwall

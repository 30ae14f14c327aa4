#pragma once

#include "cluster_view.h"
#include "group_hints.h"
#include "request_context.h"
#include "scheduler.h"
#include "trace_span.h"

namespace plantainwall {

/// Ids and output of the spans of an entry host.
struct Tracer {
    Tracer(uint64_t seed, const std::string& file, const std::string& host)
        : ids(seed)
        , writer(file, host)
    {
    }

    TraceIds ids;
    SpanWriter writer;
};

/// Returns the filter that writes the span of a request at the entry host that received it.
std::shared_ptr<Filter> makeTraceFilter(std::shared_ptr<Tracer>);

/// Returns a service that writes a span for each request executed at the owner of a member.
std::shared_ptr<MemberService> makeTracedMemberService(std::shared_ptr<Tracer>, std::shared_ptr<MemberService>);

/// Returns the filter that sets the request's deadline and refuses requests with too little time left.
std::shared_ptr<Filter> makeDeadlineFilter(const RequestSettings&);

/// Returns the filter that reads the session token and, once the request is answered, hands on the new one.
/// The new token is put into RequestContext::sessionToken before finish is called.
std::shared_ptr<Filter> makeSessionFilter();

/// Sends a request to the owner of a member: locally or over HTTP.
class OwnerClient {
public:
    virtual ~OwnerClient() = default;

    /// Never fails: every failure is an answer with its code and run state.
    virtual pplx::task<MemberAnswer> execute(const HostInfo& owner, MemberRequest) = 0;
    virtual pplx::task<MemberAnswer> outcome(
        const HostInfo& owner, std::string_view group, std::string_view requestId, Duration timeLeft)
        = 0;
};

/// Decides whether a retry is allowed. Safe to call from any thread.
class RetryPolicy {
public:
    virtual ~RetryPolicy() = default;
    virtual void noteRequest(Instant now) = 0;
    virtual bool allowRetry(Instant now) = 0;
};

/// Returns a retry budget for the whole entry host, behind one lock.
std::shared_ptr<RetryPolicy> makeRetryPolicy(const RequestSettings&, Instant now);

/// What the dispatch filter needs; everything outlives the filter.
struct DispatchDependencies {
    std::string dataCentre;
    std::string region;
    std::shared_ptr<const ClusterView> cluster;
    std::shared_ptr<OwnerClient> owners;
    std::shared_ptr<GroupHints> hints;
    std::shared_ptr<RetryPolicy> retries;
    std::shared_ptr<Scheduler> scheduler;
    Duration minRemaining {};
};

/// Returns the last filter: chooses members, sends the request to their owners, retries what may be retried.
std::shared_ptr<Filter> makeDispatchFilter(DispatchDependencies);

} // namespace plantainwall

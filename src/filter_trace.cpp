#include "clock.h"
#include "filters.h"

namespace plantainwall {

namespace {

    Duration sinceEpoch()
    {
        return std::chrono::duration_cast<Duration>(std::chrono::system_clock::now().time_since_epoch());
    }

    Span beginSpan(TraceIds& ids, const std::string& traceParent, std::string name)
    {
        const std::optional<TraceContext> parent = parseTraceParent(traceParent);
        Span span;
        span.context = parent ? ids.childOf(*parent) : ids.newTrace();
        span.parentId = parent ? parent->spanId : std::string();
        span.name = std::move(name);
        span.start = sinceEpoch();
        return span;
    }

    void endSpan(SpanWriter& writer, Span span, const MemberAnswer& answer)
    {
        span.duration = sinceEpoch() - span.start;
        span.tags[SpanTag::ResultCode] = resultCodeInfo(answer.code).name;
        span.tags[SpanTag::RunState] = runStateName(answer.runState);
        if (answer.code == ResultCode::Ok)
            span.tags[SpanTag::ServedBy] = answer.servedByReplica ? "replica" : "primary";
        writer.write(std::move(span));
    }

    class TraceFilter final : public Filter {
    public:
        explicit TraceFilter(std::shared_ptr<Tracer> tracer)
            : m_tracer(std::move(tracer))
        {
        }

        std::string_view name() const override { return "trace"; }

        void handle(const RequestContextPtr& context, FilterChain& chain) override
        {
            Span span = beginSpan(m_tracer->ids, context->traceParent, "request");
            context->traceParent = formatTraceParent(span.context);
            // The callback must not own the context, which owns the callback.
            RequestContext* const raw = context.get();
            context->finish = [raw, tracer = m_tracer, span = std::move(span), finish = std::move(context->finish)](
                                  const MemberAnswer& answer) mutable {
                span.tags[SpanTag::Group] = raw->group; // The key filter has wiped any key from it.
                if (!raw->customer.empty())
                    span.tags[SpanTag::Team] = raw->customer;
                endSpan(tracer->writer, std::move(span), answer);
                finish(answer);
            };
            chain.next(context);
        }

    private:
        std::shared_ptr<Tracer> m_tracer;
    };

    class TracedMemberService final : public MemberService {
    public:
        TracedMemberService(std::shared_ptr<Tracer> tracer, std::shared_ptr<MemberService> service)
            : m_tracer(std::move(tracer))
            , m_service(std::move(service))
        {
        }

        pplx::task<MemberAnswer> execute(MemberRequest request) override
        {
            Span span = beginSpan(m_tracer->ids, request.traceParent, "execute");
            span.tags[SpanTag::Group] = request.group;
            span.tags[SpanTag::Member] = request.member;
            request.traceParent = formatTraceParent(span.context);
            return m_service->execute(std::move(request))
                .then([tracer = m_tracer, span = std::move(span)](const MemberAnswer& answer) {
                    endSpan(tracer->writer, span, answer);
                    return answer;
                });
        }

        pplx::task<MemberAnswer> outcome(std::string_view group, std::string_view requestId, Duration timeLeft) override
        {
            return m_service->outcome(group, requestId, timeLeft);
        }

    private:
        std::shared_ptr<Tracer> m_tracer;
        std::shared_ptr<MemberService> m_service;
    };

} // namespace

std::shared_ptr<Filter> makeTraceFilter(std::shared_ptr<Tracer> tracer)
{
    return std::make_shared<TraceFilter>(std::move(tracer));
}

std::shared_ptr<MemberService> makeTracedMemberService(
    std::shared_ptr<Tracer> tracer, std::shared_ptr<MemberService> service)
{
    return std::make_shared<TracedMemberService>(std::move(tracer), std::move(service));
}

} // namespace plantainwall

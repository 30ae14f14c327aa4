#include "entry_host.h"
#include "caller_service.h"
#include "clock.h"
#include "control_plane.h"
#include "filter_approval.h"
#include "filter_key.h"
#include "filter_rate.h"
#include "filters.h"
#include "http_glue.h"
#include "http_server.h"
#include "key_digest.h"
#include "log_event.h"
#include "member_codec.h"
#include "metrics.h"
#include "operator_api.h"
#include "owner_client.h"
#include "status_report.h"
#include <sodium.h>
#include <thread>

namespace plantainwall {

namespace {

    using web::http::http_request;
    using web::http::experimental::listener::http_listener;

    constexpr std::string_view operatorPath = "/operator/v1/";
    constexpr Duration drainPoll = std::chrono::milliseconds(10);

    /// Returns 26 characters of 5 random bits each.
    std::string randomRequestId() { return randomName(26); }

    void countAnswer(Metrics& metrics, const RequestContext& context, const MemberAnswer& answer, Duration latency)
    {
        metrics.countAnswer(answer.code, latency);
        if (answer.code == ResultCode::Ok && context.readOnly && context.step == TransactionStep::None)
            metrics.count(answer.servedByReplica ? MetricCounter::ReadsByReplica : MetricCounter::ReadsByPrimary);
        if (answer.code == ResultCode::OutcomeUnknown)
            logEvent(
                LogEvent::WriteOutcomeUnknown, { { "group", context.group }, { "request_id", context.requestId } });
        else if (answer.runState == RunState::NotRun && logEnabled(LogEvent::RequestRefused))
            logEvent(LogEvent::RequestRefused,
                { { "group", context.group }, { "team", context.customer },
                    { "code", resultCodeInfo(answer.code).name } });
    }

    CallerHttpAnswer jsonAnswer(int status, std::string body)
    {
        return { status, { { "Content-Type", "application/json" } }, std::move(body) };
    }

} // namespace

class EntryHost::Impl {
public:
    explicit Impl(const Settings& settings)
        : m_settings(settings)
        , m_server(installHttpServer(settings.http, settings.threads))
        , m_control(settings)
        , m_tracer(std::make_shared<Tracer>(randombytes_random(), settings.traceFile, settings.host))
        , m_members(settings.traceFile.empty() ? std::static_pointer_cast<MemberService>(m_control.groups())
                                               : makeTracedMemberService(m_tracer, m_control.groups()))
    {
        makeChain();
        makeOperatorApi();
        m_metrics.setCollector([this](Metrics& metrics) { collect(metrics); });
    }

    void start()
    {
        m_control.registerMethods();
        m_peerListener = openListener(
            m_settings.listenAddress, m_settings.peerPort, [this](const http_request& request) { servePeer(request); });
        m_control.start();
        m_callerListener = openListener(m_settings.listenAddress, m_settings.listenPort,
            [this](const http_request& request) { serveCaller(request); });
        logEvent(LogEvent::Listening,
            { { "address", m_settings.listenAddress }, { "port", m_settings.listenPort },
                { "peer_port", m_settings.peerPort } });
    }

    void drain()
    {
        logEvent(LogEvent::DrainStarted, {});
        const Instant begin = now();
        m_draining = true;
        m_control.drain();
        std::this_thread::sleep_for(drainNotice);
        // The peers have taken over the members by now, but open transactions stay on this host until they end.
        while (m_control.groups()->inProgress() && now() < begin + transactionDrainLimit)
            std::this_thread::sleep_for(drainPoll);
        m_server->beginDrain();
        const bool complete = m_server->waitDrained(drainLimit - (now() - begin));
        m_control.stop();
        m_callerListener->close().wait();
        m_peerListener->close().wait();
        logEvent(LogEvent::DrainFinished, { { "complete", complete } });
    }

private:
    void makeChain()
    {
        OwnerClientDependencies owners;
        owners.self = m_control.rpc()->self();
        owners.peerSecret = m_settings.peerSecret;
        owners.local = m_members;
        DispatchDependencies dispatch;
        dispatch.dataCentre = m_settings.dataCentre;
        dispatch.region = m_settings.region;
        dispatch.cluster = m_control.membership();
        dispatch.owners = makeOwnerClient(owners);
        dispatch.hints = std::make_shared<GroupHints>();
        dispatch.retries = makeRetryPolicy(m_settings.request, now());
        dispatch.scheduler = m_control.scheduler();
        dispatch.minRemaining = m_settings.request.minRemaining;

        std::vector<std::shared_ptr<Filter>> filters {
            std::make_shared<KeyFilter>(m_control.config()),
            std::make_shared<ApprovalFilter>(),
            makeDeadlineFilter(m_settings.request),
            std::make_shared<RateFilter>(m_control.limits()),
            makeSessionFilter(),
            makeDispatchFilter(dispatch),
        };
        if (!m_settings.traceFile.empty())
            filters.insert(filters.begin(), makeTraceFilter(m_tracer));

        CallerService::Dependencies callers;
        callers.config = m_control.config();
        callers.chain = std::make_shared<FilterChain>(std::move(filters));
        callers.generateRequestId = randomRequestId;
        callers.onAnswered = [this](const RequestContext& context, const MemberAnswer& answer, Duration latency) {
            countAnswer(m_metrics, context, answer, latency);
        };
        m_callers = std::make_shared<CallerService>(std::move(callers));
    }

    void makeOperatorApi()
    {
        OperatorApiOptions options;
        options.bootstrapDigest = m_settings.bootstrapOperatorDigest;
        options.clock = now;
        options.status = [this] { return statusJson(m_control.status()).serialize(); };
        m_operators
            = std::make_shared<OperatorApi>(options, m_control.store(), m_control.config(), m_control.scheduler());
    }

    void collect(Metrics& metrics)
    {
        const StatusReport report = m_control.status();
        size_t queued = 0;
        size_t running = 0;
        size_t connections = 0;
        size_t owned = 0;
        for (const GroupReport& group : report.groups) {
            for (const MemberReport& member : group.members) {
                queued += member.queued;
                running += member.running;
                connections += member.connectionsOpen;
                owned += member.owner == m_settings.host ? 1 : 0;
            }
        }
        metrics.set(MetricGauge::QueuedRequests, static_cast<double>(queued));
        metrics.set(MetricGauge::RunningRequests, static_cast<double>(running));
        metrics.set(MetricGauge::BackendConnections, static_cast<double>(connections));
        metrics.set(MetricGauge::MembersOwned, static_cast<double>(owned));
        const HttpServerStats stats = m_server->stats();
        metrics.set(MetricGauge::CallerConnections, static_cast<double>(stats.open));
        metrics.set(MetricGauge::CallerMemory, static_cast<double>(stats.requestBytes));
        metrics.raiseTo(MetricCounter::ClosedLargeTooLong, stats.endedForMemory);
        metrics.raiseTo(
            MetricCounter::StatementsOverBudget, stats.refusedByCode[static_cast<size_t>(ResultCode::QueueFull)]);
        metrics.set(MetricGauge::SeatsHeld, report.rateSliceFraction * m_settings.limit.rateSlices);
        metrics.set(MetricGauge::ConfigurationRevision, static_cast<double>(report.configRevision));
        if (report.configAge)
            metrics.set(MetricGauge::ConfigurationAge, std::chrono::duration<double>(*report.configAge).count());
        for (const ShareReport& share : report.shares)
            metrics.setRateShare(share.customer, share.share);
        metrics.raiseTo(MetricCounter::Promotions, m_control.groups()->counters().promotions);
        metrics.raiseTo(MetricCounter::SpansDropped, m_tracer->writer.dropped());
    }

    void serveCaller(const http_request& request)
    {
        readHttpRequest(request).then([this, request](const pplx::task<CallerHttpRequest>& read) {
            CallerHttpRequest message;
            try {
                message = read.get();
            } catch (const std::exception&) {
                replyTo(request, errorAnswer(ResultCode::BadRequest, "the body could not be read"));
                return;
            }
            answerCaller(message).then([request](const CallerHttpAnswer& answer) { replyTo(request, answer); });
        });
    }

    pplx::task<CallerHttpAnswer> answerCaller(const CallerHttpRequest& message)
    {
        if (message.path.compare(0, operatorPath.size(), operatorPath) == 0)
            return answerOperator(message);
        if (message.path == "/healthz")
            return pplx::task_from_result(health());
        if (message.path == "/metrics")
            return pplx::task_from_result(
                CallerHttpAnswer { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, m_metrics.metricsText() });
        return m_callers->handle(message);
    }

    CallerHttpAnswer health() const
    {
        if (m_draining)
            return errorAnswer(ResultCode::Draining, {});
        if (!m_control.config()->current())
            return errorAnswer(ResultCode::ConfigurationMissing, {});
        return jsonAnswer(200, "{\"status\":\"ok\"}");
    }

    pplx::task<CallerHttpAnswer> answerOperator(const CallerHttpRequest& message)
    {
        const std::string target = message.query.empty() ? message.path : message.path + "?" + message.query;
        return m_operators->handle(message.method, target, message.headers, message.body)
            .then([](const OperatorReply& reply) { return jsonAnswer(reply.status, reply.body); });
    }

    void servePeer(const http_request& request)
    {
        readHttpRequest(request).then([this, request](const pplx::task<CallerHttpRequest>& read) {
            try {
                answerPeer(request, read.get());
            } catch (const std::exception& error) {
                replyTo(request, errorAnswer(ResultCode::BadRequest, error.what()));
            }
        });
    }

    void answerPeer(const http_request& request, const CallerHttpRequest& message)
    {
        if (message.path == PeerRpc::path) {
            const HttpReply reply = m_control.rpc()->handle(message.headers, message.body);
            replyTo(request, jsonAnswer(reply.status, reply.body));
            return;
        }
        if (!verifyPeerRequest(message.headers, m_settings.peerSecret, message.method, message.path, message.body)) {
            logEvent(LogEvent::PeerAuthenticationFailed, { { "path", message.path } });
            replyTo(request, errorAnswer(ResultCode::PermissionDenied, "peer authentication failed"));
            return;
        }
        if (message.path == peerExecutePath) {
            answerMember(request, m_members->execute(decodeMemberRequest(message.body)));
        } else if (message.path == peerOutcomePath) {
            const MemberRequest lookup = decodeMemberRequest(message.body);
            answerMember(request, m_members->outcome(lookup.group, lookup.requestId, lookup.timeLeft));
        } else {
            replyTo(request, errorAnswer(ResultCode::UnknownRoute, message.path));
        }
    }

    static void answerMember(const http_request& request, const pplx::task<MemberAnswer>& answer)
    {
        answer.then(
            [request](const MemberAnswer& result) { replyTo(request, jsonAnswer(200, encodeMemberAnswer(result))); });
    }

    const Settings m_settings;
    std::atomic<bool> m_draining { false };
    std::shared_ptr<HttpServerControl> m_server;
    Metrics m_metrics;
    ControlPlane m_control;
    std::shared_ptr<Tracer> m_tracer;
    std::shared_ptr<MemberService> m_members;
    std::shared_ptr<OperatorApi> m_operators;
    std::shared_ptr<CallerService> m_callers;
    std::unique_ptr<http_listener> m_peerListener;
    std::unique_ptr<http_listener> m_callerListener;
};

EntryHost::EntryHost(const Settings& settings)
    : m_impl(std::make_unique<Impl>(settings))
{
}

EntryHost::~EntryHost() = default;

void EntryHost::start() { m_impl->start(); }

void EntryHost::drain() { m_impl->drain(); }

} // namespace plantainwall

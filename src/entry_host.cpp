#include "entry_host.h"
#include "caller_service.h"
#include "clock.h"
#include "controller_config.h"
#include "controller_group.h"
#include "database_http.h"
#include "filter_approval.h"
#include "filter_key.h"
#include "filters.h"
#include "http_glue.h"
#include "http_server.h"
#include "member_codec.h"
#include "operator_api.h"
#include "owner_client.h"
#include "peer_rpc.h"
#include "placement.h"
#include "store_http.h"
#include <sodium.h>
#include <thread>

namespace plantainwall {

namespace {

    using web::http::http_request;
    using web::http::experimental::listener::http_listener;

    constexpr unsigned storeConnections = 16;
    constexpr unsigned databaseConnections = 64;
    constexpr Duration controlCallTimeout = std::chrono::seconds(1);
    constexpr std::string_view operatorPrefix = "/operator/v1/";

    /// Interim view: every configured host counts as live.
    class ConfiguredCluster final : public ClusterView {
    public:
        explicit ConfiguredCluster(std::string self)
            : m_self(std::move(self))
        {
        }
        void setConfig(std::weak_ptr<const ConfigView> config) { m_config = std::move(config); }
        std::string_view selfName() const override { return m_self; }
        std::vector<HostInfo> hosts() const override
        {
            std::vector<HostInfo> result;
            const std::shared_ptr<const ConfigView> config = m_config.lock();
            const std::shared_ptr<const ConfigSnapshot> snapshot = config ? config->current() : nullptr;
            if (!snapshot)
                return result;
            for (const auto& host : snapshot->hosts)
                result.push_back({ host.second, 1, HostState::Live });
            return result;
        }
        std::optional<HostInfo> ownerOf(std::string_view group, const MemberConfig& member) const override
        {
            const std::vector<HostInfo> all = hosts();
            const HostInfo* host = Placement::ownerOf(all, group, member);
            return host ? std::make_optional(*host) : std::nullopt;
        }
        std::optional<HostInfo> hostFor(std::string_view duty, std::string_view dataCentre) const override
        {
            const std::vector<HostInfo> all = hosts();
            const HostInfo* host = Placement::hostFor(all, duty, dataCentre);
            return host ? std::make_optional(*host) : std::nullopt;
        }

    private:
        std::string m_self;
        std::weak_ptr<const ConfigView> m_config;
    };

    uint64_t randomSeed()
    {
        uint64_t seed = 0;
        randombytes_buf(&seed, sizeof(seed));
        return seed;
    }

    std::string randomRequestId()
    {
        std::array<unsigned char, 16> bytes {};
        randombytes_buf(bytes.data(), bytes.size());
        std::array<char, 33> text {};
        sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
        return text.data();
    }

    /// Start time of the process in milliseconds of the wall clock: greater after every restart of a host.
    uint64_t newIncarnation()
    {
        return static_cast<uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                .count());
    }

    std::string headerOf(const CallerHttpRequest& request, const char* name)
    {
        const auto it = request.headers.find(name);
        return it == request.headers.end() ? std::string() : it->second;
    }

    /// Carries the configuration's calls to other hosts.
    class RpcConfigPeers final : public ConfigPeers {
    public:
        RpcConfigPeers(std::shared_ptr<PeerRpc> rpc, std::shared_ptr<const ClusterView> cluster)
            : m_rpc(std::move(rpc))
            , m_cluster(std::move(cluster))
        {
        }

        pplx::task<std::string> fetchSince(std::string_view host, std::string request) override
        {
            return m_rpc->call(addressOf(host), std::string(configFetchMethod), request, controlCallTimeout);
        }

        pplx::task<void> push(std::string_view host, std::string request) override
        {
            return m_rpc->call(addressOf(host), std::string(configPushMethod), request, controlCallTimeout)
                .then([](const std::string&) {});
        }

    private:
        /// A name that is no known host is a seed address.
        std::string addressOf(std::string_view host) const
        {
            for (const HostInfo& info : m_cluster->hosts()) {
                if (info.config.name == host)
                    return info.config.peerAddress;
            }
            return "http://" + std::string(host);
        }

        std::shared_ptr<PeerRpc> m_rpc;
        std::shared_ptr<const ClusterView> m_cluster;
    };

} // namespace

class EntryHost::Parts {
public:
    explicit Parts(const Settings& settings)
        : m_settings(settings)
        , m_incarnation(newIncarnation())
        , m_server(installHttpServer(settings.http, settings.threads))
        , m_scheduler(makeScheduler())
        , m_store(makeHttpStore(makeHttpCaller(settings.storeAddress, storeConnections)))
        , m_rpc(std::make_shared<PeerRpc>(PeerIdentity { settings.host, m_incarnation }, settings.peerSecret))
    {
        makeControllers();
        makeChain();
    }

    void start()
    {
        m_rpc->registerMethod(
            std::string(configFetchMethod), [this](const std::string& text) { return m_config->handleFetch(text); });
        m_rpc->registerMethod(std::string(configPushMethod), [this](const std::string& text) {
            m_config->handlePush(text);
            return std::string();
        });
        m_peerListener = openListener(
            m_settings.listenAddress, m_settings.peerPort, [this](const http_request& request) { servePeer(request); });
        m_config->start();
        m_groups->start();
        m_callerListener = openListener(m_settings.listenAddress, m_settings.listenPort,
            [this](const http_request& request) { serveCaller(request); });
    }

    void drain()
    {
        m_draining = true;
        std::this_thread::sleep_for(drainNotice);
        const Instant limit = now() + drainLimit;
        while (now() < limit && (m_callers->inProgress() || m_groups->inProgress()))
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        m_server->beginDrain();
        m_server->waitDrained(limit - now());
        m_groups->stop();
        m_config->stop();
        m_callerListener->close().wait();
        m_peerListener->close().wait();
    }

private:
    void makeControllers()
    {
        std::shared_ptr<ConfiguredCluster> cluster = std::make_shared<ConfiguredCluster>(m_settings.host);
        m_cluster = cluster;
        ConfigControllerOptions options;
        options.dataCentre = m_settings.dataCentre;
        options.seedPeers = m_settings.seedPeers;
        options.seed = randomSeed();
        options.clock = now;
        m_config = std::make_shared<ConfigController>(
            options, m_store, std::make_shared<RpcConfigPeers>(m_rpc, m_cluster), m_cluster, m_scheduler);
        cluster->setConfig(m_config);

        GroupEnvironment environment;
        environment.makeDatabase = [credential = m_settings.backendCredential](const MemberConfig& member) {
            return makeHttpDatabase(makeHttpCaller(member.address, databaseConnections), credential);
        };
        environment.now = now;
        environment.scheduler = m_scheduler;
        environment.seed = randomSeed();
        m_groups = std::make_shared<GroupController>(m_settings, m_config, m_cluster, environment);
        m_config->onSnapshot([this](const ConfigChange& change) { onConfigChange(change); });

        OperatorApiOptions operators;
        operators.bootstrapDigest = m_settings.bootstrapOperatorDigest;
        operators.clock = now;
        m_operators = std::make_shared<OperatorApi>(operators, m_store, m_config, m_scheduler);
    }

    void onConfigChange(const ConfigChange& change)
    {
        for (const CustomerKey& key : change.keysWithdrawn)
            m_groups->cancelQueued(key.customer);
        for (const CustomerService& approval : change.approvalsWithdrawn)
            m_groups->cancelQueued(approval.customer);
    }

    void makeChain()
    {
        OwnerClientParts owners;
        owners.selfName = m_settings.host;
        owners.local = m_groups;
        owners.sign = [rpc = m_rpc](std::string_view method, std::string_view path, std::string_view body) {
            return rpc->sign(method, path, body);
        };
        DispatchParts dispatch;
        dispatch.dataCentre = m_settings.dataCentre;
        dispatch.region = m_settings.region;
        dispatch.cluster = m_cluster;
        dispatch.owners = makeOwnerClient(owners);
        dispatch.hints = std::make_shared<GroupHints>();
        dispatch.retries = makeRetryPolicy(m_settings.request, now());
        dispatch.scheduler = m_scheduler;
        dispatch.minRemaining = m_settings.request.minRemaining;

        CallerService::Parts parts;
        parts.config = m_config;
        parts.chain = std::make_shared<FilterChain>(std::vector<std::shared_ptr<Filter>> {
            std::make_shared<KeyFilter>(m_config),
            std::make_shared<ApprovalFilter>(),
            makeDeadlineFilter(m_settings.request),
            makeSessionFilter(),
            makeDispatchFilter(dispatch),
        });
        parts.generateRequestId = randomRequestId;
        parts.onAnswered = [](const RequestContext&, const MemberAnswer&, Duration) {};
        m_callers = std::make_shared<CallerService>(std::move(parts));
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
        if (message.path.compare(0, operatorPrefix.size(), operatorPrefix) == 0)
            return answerOperator(message);
        if (message.path == "/healthz")
            return pplx::task_from_result(health());
        return m_callers->handle(message);
    }

    CallerHttpAnswer health() const
    {
        if (m_draining)
            return errorAnswer(ResultCode::Draining, {});
        if (!m_config->current())
            return errorAnswer(ResultCode::ConfigurationMissing, {});
        return { 200, { { "Content-Type", "application/json" } }, "{\"status\":\"ok\"}" };
    }

    pplx::task<CallerHttpAnswer> answerOperator(const CallerHttpRequest& message)
    {
        const std::string target = message.query.empty() ? message.path : message.path + "?" + message.query;
        return m_operators->handle(message.method, target, message.headers, message.body)
            .then([](const OperatorReply& reply) {
                return CallerHttpAnswer { reply.status, { { "Content-Type", "application/json" } }, reply.body };
            });
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
        const std::optional<PeerIdentity> sender = m_rpc->verify(headerOf(message, "plantainwall-peer"),
            headerOf(message, "plantainwall-peer-auth"), { message.method, message.path, message.body });
        if (!sender) {
            replyTo(request, errorAnswer(ResultCode::PermissionDenied, "peer authentication failed"));
            return;
        }
        if (message.path == peerRpcPath) {
            replyTo(request, { 200, {}, m_rpc->handle(message.body) });
        } else if (message.path == peerExecutePath) {
            answerMember(request, m_groups->execute(decodeMemberRequest(message.body)));
        } else if (message.path == peerOutcomePath) {
            const MemberRequest lookup = decodeMemberRequest(message.body);
            answerMember(request, m_groups->outcome(lookup.group, lookup.requestId, lookup.timeLeft));
        } else {
            replyTo(request, errorAnswer(ResultCode::UnknownRoute, message.path));
        }
    }

    static void answerMember(const http_request& request, const pplx::task<MemberAnswer>& answer)
    {
        answer.then([request](const MemberAnswer& result) {
            replyTo(request, { 200, {}, encodeMemberAnswer(result) });
        });
    }

    Settings m_settings;
    uint64_t m_incarnation;
    std::shared_ptr<HttpServerControl> m_server;
    std::atomic<bool> m_draining { false };
    std::shared_ptr<Scheduler> m_scheduler;
    std::shared_ptr<Store> m_store;
    std::shared_ptr<PeerRpc> m_rpc;
    std::shared_ptr<const ClusterView> m_cluster;
    std::shared_ptr<ConfigController> m_config;
    std::shared_ptr<GroupController> m_groups;
    std::shared_ptr<OperatorApi> m_operators;
    std::shared_ptr<CallerService> m_callers;
    std::unique_ptr<http_listener> m_peerListener;
    std::unique_ptr<http_listener> m_callerListener;
};

EntryHost::EntryHost(const Settings& settings)
    : m_parts(std::make_unique<Parts>(settings))
{
}

EntryHost::~EntryHost() = default;

void EntryHost::start() { m_parts->start(); }

void EntryHost::drain() { m_parts->drain(); }

} // namespace plantainwall

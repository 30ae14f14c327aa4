#include "owner_client.h"
#include "member_codec.h"

namespace plantainwall {

namespace {

    /// Added to the time left when waiting for a peer, so that the owner's own refusal arrives before the timeout.
    constexpr Duration answerGrace = std::chrono::milliseconds(20);

    MemberAnswer answerFrom(const HttpReply& reply)
    {
        if (reply.sendState == SendState::Answered && reply.status == 200) {
            try {
                return decodeMemberAnswer(reply.body);
            } catch (const std::invalid_argument& error) {
                MemberAnswer answer = refusal(ResultCode::PeerUnavailable, error.what());
                answer.runState = RunState::Unknown;
                return answer;
            }
        }
        // Any other status is a refusal by the peer's listener, before the request reached a member.
        MemberAnswer answer = refusal(ResultCode::PeerUnavailable,
            reply.sendState == SendState::Answered ? "peer answered with status " + std::to_string(reply.status)
                                                   : reply.error);
        if (reply.sendState == SendState::MaybeSent)
            answer.runState = RunState::Unknown;
        return answer;
    }

    class HttpOwnerClient final : public OwnerClient, public std::enable_shared_from_this<HttpOwnerClient> {
    public:
        explicit HttpOwnerClient(OwnerClientDependencies dependencies)
            : m_dependencies(std::move(dependencies))
        {
        }

        pplx::task<MemberAnswer> execute(const HostInfo& owner, MemberRequest request) override
        {
            if (owner.config.name == m_dependencies.self.host)
                return m_dependencies.local->execute(std::move(request));
            return call(owner, peerExecutePath, request);
        }

        pplx::task<MemberAnswer> outcome(
            const HostInfo& owner, std::string_view group, std::string_view requestId, Duration timeLeft) override
        {
            if (owner.config.name == m_dependencies.self.host)
                return m_dependencies.local->outcome(group, requestId, timeLeft);
            MemberRequest request;
            request.group = group;
            request.requestId = requestId;
            request.readOnly = true;
            request.timeLeft = timeLeft;
            return call(owner, peerOutcomePath, request);
        }

    private:
        pplx::task<MemberAnswer> call(const HostInfo& owner, std::string_view path, const MemberRequest& request)
        {
            HttpCall call;
            call.method = "POST";
            call.path = path;
            call.body = encodeMemberRequest(request);
            signPeerRequest(
                call.headers, m_dependencies.peerSecret, m_dependencies.self, call.method, call.path, call.body);
            call.headers["Content-Type"] = "application/json";
            call.timeout = request.timeLeft + answerGrace;
            return callerFor(owner.config.peerAddress)->call(std::move(call)).then(answerFrom);
        }

        std::shared_ptr<HttpCaller> callerFor(const std::string& address)
        {
            std::lock_guard<std::mutex> lock(m_mutex);
            std::shared_ptr<HttpCaller>& caller = m_callers[address];
            if (!caller)
                caller = makeHttpCaller(address, m_dependencies.maxConcurrentPerPeer);
            return caller;
        }

        OwnerClientDependencies m_dependencies;
        std::mutex m_mutex;
        std::map<std::string, std::shared_ptr<HttpCaller>> m_callers;
    };

} // namespace

std::shared_ptr<OwnerClient> makeOwnerClient(OwnerClientDependencies dependencies)
{
    return std::make_shared<HttpOwnerClient>(std::move(dependencies));
}

} // namespace plantainwall

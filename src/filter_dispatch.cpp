#include "clock.h"
#include "dispatch_plan.h"
#include "filters.h"
#include <algorithm>

namespace plantainwall {

namespace {

    /// Parts of the owner's transaction id "<host>.<member>.<id>". Names contain no dots.
    struct TransactionRoute {
        std::string host;
        std::string member;
    };

    std::optional<TransactionRoute> parseTransaction(std::string_view id)
    {
        const size_t first = id.find('.');
        const size_t second = first == std::string_view::npos ? first : id.find('.', first + 1);
        if (second == std::string_view::npos || !first || second == first + 1 || second + 1 == id.size())
            return std::nullopt;
        return TransactionRoute { std::string(id.substr(0, first)),
            std::string(id.substr(first + 1, second - first - 1)) };
    }

    const MemberConfig* findMember(const GroupConfig& group, std::string_view name)
    {
        const auto it = std::find_if(group.members.begin(), group.members.end(),
            [name](const MemberConfig& member) { return member.name == name; });
        return it == group.members.end() ? nullptr : &*it;
    }

    /// One request on its way through its attempts. Kept alive by the callbacks that it hands out.
    class Dispatch final : public std::enable_shared_from_this<Dispatch> {
    public:
        Dispatch(std::shared_ptr<const DispatchDependencies> parts, RequestContextPtr context, const GroupConfig& group,
            DispatchRequest request)
            : m_parts(std::move(parts))
            , m_context(std::move(context))
            , m_group(group)
            , m_plan(group, std::move(request), m_parts->hints->primary(group.name))
        {
        }

        void start()
        {
            m_parts->retries->noteRequest(now());
            send(m_plan.first());
        }

    private:
        void send(const DispatchPlan::Attempt& attempt)
        {
            const Instant time = now();
            const Duration timeLeft = m_context->deadline - time;
            if (timeLeft < m_parts->minRemaining) {
                finish(m_lastAnswer.value_or(refusal(ResultCode::DeadlineExceeded)));
                return;
            }
            const std::optional<HostInfo> owner = ownerOf(attempt.member);
            if (!owner) {
                handle(refusal(ResultCode::PeerUnavailable, "no live entry host owns member " + attempt.member));
                return;
            }
            std::shared_ptr<Dispatch> self = shared_from_this();
            const pplx::task<MemberAnswer> answer = m_context->outcomeLookup
                ? m_parts->owners->outcome(*owner, m_group.name, databaseRequestId(), timeLeft)
                : m_parts->owners->execute(*owner, memberRequest(attempt, timeLeft));
            answer.then([self](const MemberAnswer& result) { self->handle(result); });
        }

        std::optional<HostInfo> ownerOf(const std::string& memberName) const
        {
            if (!m_context->transaction.empty()) {
                const std::string host = parseTransaction(m_context->transaction)->host;
                for (HostInfo& info : m_parts->cluster->hosts()) {
                    if (info.config.name == host)
                        return info;
                }
                return std::nullopt;
            }
            const MemberConfig* member = findMember(m_group, memberName);
            return member ? m_parts->cluster->ownerOf(m_group.name, *member) : std::nullopt;
        }

        /// The database keeps outcomes by request id, so that ids of different customers must not meet.
        std::string databaseRequestId() const { return m_context->customer + ":" + m_context->requestId; }

        MemberRequest memberRequest(const DispatchPlan::Attempt& attempt, Duration timeLeft) const
        {
            MemberRequest request;
            request.group = m_group.name;
            request.member = attempt.member;
            request.customer = m_context->customer;
            request.keyId = m_context->keyId;
            const auto it = m_context->config->customers.find(m_context->customer);
            if (it != m_context->config->customers.end())
                request.weight = it->second.weight;
            request.requestId = databaseRequestId();
            request.statements = m_context->statements;
            request.readOnly = m_context->readOnly;
            request.idempotent = m_context->idempotent;
            request.step = m_context->step;
            request.transaction = m_context->transaction;
            const auto position = m_context->session.find(m_group.name);
            if (position != m_context->session.end())
                request.minPosition = position->second;
            request.maxAge = m_context->maxAge;
            request.waitLimit = attempt.waitLimit;
            request.timeLeft = timeLeft;
            request.traceParent = m_context->traceParent;
            return request;
        }

        /// A request that was sent and lost its answer stays unknown, whatever later attempts are refused with.
        MemberAnswer keepUnknown(MemberAnswer answer)
        {
            if (answer.runState == RunState::Unknown)
                m_mayHaveRun = true;
            if (m_mayHaveRun && answer.runState == RunState::NotRun && !m_context->readOnly) {
                answer.runState = RunState::Unknown;
                answer.message = "an earlier attempt may have been run; last refusal: "
                    + std::string(resultCodeInfo(answer.code).name);
                answer.code = ResultCode::OutcomeUnknown;
            }
            return answer;
        }

        void handle(const MemberAnswer& answer)
        {
            m_parts->hints->note(m_group.name, answer);
            m_lastAnswer = keepUnknown(answer);
            if (!m_lastAnswer->transaction.empty())
                m_lastAnswer->transaction.insert(0, m_group.name + ".");
            act(m_plan.next(answer, now()));
        }

        void act(const DispatchPlan::Step& step)
        {
            if (std::holds_alternative<MemberAnswer>(step)) {
                finish(*m_lastAnswer);
            } else if (const DispatchPlan::Attempt* attempt = std::get_if<DispatchPlan::Attempt>(&step)) {
                send(*attempt);
            } else {
                waitAndSend(std::get<DispatchPlan::Wait>(step));
            }
        }

        void waitAndSend(const DispatchPlan::Wait& wait)
        {
            if (wait.needsBudget && !m_parts->retries->allowRetry(now())) {
                finish(*m_lastAnswer);
                return;
            }
            std::shared_ptr<Dispatch> self = shared_from_this();
            m_parts->scheduler->schedule(wait.delay, [self, wait] { self->resume(wait); });
        }

        /// While a group has no primary, one request at a time looks for it and the others wait for what it learns.
        void resume(DispatchPlan::Wait wait)
        {
            if (wait.primaryUnknown) {
                const std::string primary = m_parts->hints->primary(m_group.name);
                if (!primary.empty() && !m_context->readOnly)
                    wait.attempt.member = primary;
                else if (!m_parts->hints->mayProbe(m_group.name, now())) {
                    if (m_context->deadline - now() < DispatchPlan::maxBackoff)
                        finish(*m_lastAnswer);
                    else
                        waitAndSend(wait);
                    return;
                }
            }
            send(wait.attempt);
        }

        void finish(const MemberAnswer& answer) { m_context->finish(answer); }

        std::shared_ptr<const DispatchDependencies> m_parts;
        RequestContextPtr m_context;
        const GroupConfig& m_group; // Kept alive by the snapshot in m_context.
        DispatchPlan m_plan;
        std::optional<MemberAnswer> m_lastAnswer;
        bool m_mayHaveRun = false;
    };

    class DispatchFilter final : public Filter {
    public:
        explicit DispatchFilter(DispatchDependencies parts)
            : m_parts(std::make_shared<const DispatchDependencies>(std::move(parts)))
        {
        }

        std::string_view name() const override { return "dispatch"; }

        void handle(const RequestContextPtr& context, FilterChain&) override
        {
            const auto group = context->config->groups.find(context->group);
            if (group == context->config->groups.end() || group->second.members.empty()) {
                context->finish(refusal(ResultCode::GroupUnknown, "no such group: " + context->group));
                return;
            }
            DispatchRequest request;
            request.readOnly = context->readOnly;
            request.idempotent = context->idempotent;
            request.step = context->step;
            request.dataCentre = m_parts->dataCentre;
            request.region = m_parts->region;
            request.deadline = context->deadline;
            if (!context->transaction.empty()) {
                const std::optional<TransactionRoute> route = parseTransaction(context->transaction);
                if (!route) {
                    context->finish(refusal(ResultCode::TransactionUnknown, "malformed transaction id"));
                    return;
                }
                request.pinnedMember = route->member;
            }
            std::make_shared<Dispatch>(m_parts, context, group->second, std::move(request))->start();
        }

    private:
        std::shared_ptr<const DispatchDependencies> m_parts;
    };

} // namespace

std::shared_ptr<Filter> makeDispatchFilter(DispatchDependencies parts)
{
    return std::make_shared<DispatchFilter>(std::move(parts));
}

} // namespace plantainwall

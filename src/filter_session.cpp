#include "filters.h"
#include "session_token.h"

namespace plantainwall {

namespace {

    class SessionFilter final : public Filter {
    public:
        std::string_view name() const override { return "session"; }

        void handle(const RequestContextPtr& context, FilterChain& chain) override
        {
            if (!context->sessionToken.empty()) {
                const std::optional<SessionPositions> positions
                    = SessionToken::decode(context->customer, context->sessionToken, context->config->tokenKeys);
                if (!positions) {
                    context->finish(refusal(ResultCode::SessionInvalid));
                    return;
                }
                // Once the request has run, its answer could not carry the token.
                if (!SessionToken::hasRoomFor(*positions, context->group)) {
                    context->finish(refusal(ResultCode::BadRequest, "too many groups in one session"));
                    return;
                }
                context->session = *positions;
            }
            // The callback must not own the context, which owns the callback.
            RequestContext* const raw = context.get();
            context->finish = [raw, finish = std::move(context->finish)](const MemberAnswer& answer) {
                updateToken(*raw, answer);
                finish(answer);
            };
            chain.next(context);
        }

    private:
        static void updateToken(RequestContext& context, const MemberAnswer& answer)
        {
            if (answer.position == LogPosition {} || context.config->tokenKeys.empty())
                return;
            SessionToken::advance(context.session, context.group, answer.position);
            context.sessionToken = SessionToken::encode(context.customer, context.session, context.config->tokenKeys);
        }
    };

} // namespace

std::shared_ptr<Filter> makeSessionFilter() { return std::make_shared<SessionFilter>(); }

} // namespace plantainwall

#include "matched_connector.h"
#include "log_event.h"
#include "reply_matcher.h"

namespace plantainwall {

namespace {

    constexpr std::string_view commandNames[] = { "begin", "begin_read_only", "rollback", "reset", "set_value",
        "prepare", "forward", "execute", "status", "stop_receiving", "resume_receiving", "demote" };
    static_assert(sizeof(commandNames) / sizeof(commandNames[0]) == static_cast<size_t>(BackendCommandKind::Count),
        "one entry for each BackendCommandKind");

    constexpr std::string_view verdictNames[] = { "in_doubt", "ignored", "connection_closed" };
    static_assert(sizeof(verdictNames) / sizeof(verdictNames[0]) == static_cast<size_t>(ReplyMatcher::Verdict::Count),
        "one entry for each Verdict");

    std::string_view expectedName(const std::optional<BackendCommandKind>& expected)
    {
        return expected ? commandNames[static_cast<size_t>(*expected)] : "nothing";
    }

} // namespace

class MatchedConnector::Link final : public BackendLink, public BackendObserver {
public:
    Link(MatchedConnector& connector, const ServerEntry& entry, BackendObserver& observer)
        : m_metrics(connector.m_metrics)
        , m_observer(observer)
        , m_service(entry.service)
        , m_server(entry.id)
    {
    }

    void setLink(std::unique_ptr<BackendLink> link) { m_link = std::move(link); }

    void send(const BackendCommand& command) override
    {
        m_matcher.sent(command);
        m_link->send(command);
    }
    std::string_view lender() const override { return m_link->lender(); }

    // The observer may destroy this object.
    void backendOpened() override { m_observer.backendOpened(); }
    void backendClosed(BackendCloseReason reason) override { m_observer.backendClosed(reason); }

    void backendReplied(BackendReply reply) override
    {
        const std::optional<BackendCommandKind> expected = m_matcher.expected();
        const ReplyMatcher::Verdict verdict = m_matcher.received(reply);
        const bool failedInDoubt = reply.lookalikes > 0 && reply.error != BackendError::None;
        if (verdict != ReplyMatcher::Verdict::Answer || failedInDoubt)
            note(expected, reply, verdict);
        if (verdict == ReplyMatcher::Verdict::Answer)
            m_observer.backendReplied(std::move(reply));
        else if (verdict == ReplyMatcher::Verdict::Unsolicited)
            m_observer.backendClosed(BackendCloseReason::ProtocolError);
    }

private:
    void note(
        const std::optional<BackendCommandKind>& expected, const BackendReply& reply, ReplyMatcher::Verdict verdict)
    {
        m_metrics.count(MetricCounter::UnexpectedReplies);
        logEvent(LogEvent::ReplyUnexpected,
            { { "service", m_service }, { "server", m_server }, { "expected", expectedName(expected) },
                { "signature", reply.signature }, { "error", backendErrorName(reply.error) },
                { "term", reply.position.term }, { "position", reply.position.position },
                { "outcome", verdictNames[static_cast<size_t>(verdict)] } });
    }

    Metrics& m_metrics;
    BackendObserver& m_observer;
    std::string m_service;
    std::string m_server;
    ReplyMatcher m_matcher;
    std::unique_ptr<BackendLink> m_link;
};

std::unique_ptr<BackendLink> MatchedConnector::open(
    const ServerEntry& entry, const std::string& customer, BackendObserver& observer)
{
    std::unique_ptr<Link> link = std::make_unique<Link>(*this, entry, observer);
    link->setLink(m_connector.open(entry, customer, *link));
    return link;
}

} // namespace plantainwall

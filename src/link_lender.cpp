#include "link_lender.h"
#include "log_event.h"
#include <algorithm>
#include <stdexcept>

namespace plantainwall {

/// One connection that is lent to the borrower.
struct LinkLender::LentLink final : BackendObserver {
    LentLink(LinkLender& lender, uint64_t number, std::string server)
        : lender(lender)
        , number(number)
        , server(std::move(server))
    {
    }

    void backendOpened() override
    {
        LinkMessage message;
        message.kind = LinkMessageKind::Opened;
        message.link = number;
        if (lender.m_loadOf)
            message.load = lender.m_loadOf(server);
        lender.send(message);
    }

    void backendReplied(BackendReply reply) override
    {
        LinkMessage message;
        message.kind = LinkMessageKind::Reply;
        message.link = number;
        message.reply = std::move(reply);
        if (lender.send(message))
            return;
        logEvent(LogEvent::InternalFailure,
            { { "error", "a reply does not pass to the borrower" }, { "server", server },
                { "rows", message.reply.rows.size() } });
        backendClosed(BackendCloseReason::ProtocolError);
    }

    void backendClosed(BackendCloseReason reason) override
    {
        LinkMessage message;
        message.kind = LinkMessageKind::Closed;
        message.link = number;
        message.reason = reason;
        lender.send(message);
        lender.end(number);
    }

    LinkLender& lender;
    uint64_t number;
    std::string server;
    std::unique_ptr<BackendLink> link;
};

LinkLender::LinkLender(
    BackendConnector& pool, FindServer servers, std::function<bool()> shuttingDown, Send send, LoadOf loadOf)
    : m_pool(pool)
    , m_findServer(std::move(servers))
    , m_shuttingDown(std::move(shuttingDown))
    , m_send(std::move(send))
    , m_loadOf(std::move(loadOf))
{
}

LinkLender::~LinkLender() = default;

void LinkLender::tick() { m_ended.clear(); }

bool LinkLender::send(const LinkMessage& message)
{
    const std::optional<std::string> line = encodeLinkMessage(message, m_format);
    if (line)
        m_send(*line);
    return line.has_value();
}

void LinkLender::refuse(uint64_t link, BackendCloseReason reason)
{
    LinkMessage refusal;
    refusal.kind = LinkMessageKind::Closed;
    refusal.link = link;
    refusal.reason = reason;
    send(refusal);
}

void LinkLender::open(const LinkMessage& message)
{
    const ServerEntry* const entry = m_findServer(message.server);
    if (entry == nullptr || m_shuttingDown()) {
        refuse(message.link, BackendCloseReason::LenderLost);
        return;
    }
    if (isClosed(message.server)) {
        refuse(message.link, BackendCloseReason::NotOpened);
        return;
    }
    std::unique_ptr<LentLink>& lent = m_links[message.link];
    if (lent != nullptr)
        throw std::runtime_error("link message opens a link that is already open");
    lent = std::make_unique<LentLink>(*this, message.link, message.server);
    LinkMessage accepted;
    accepted.kind = LinkMessageKind::Accepted;
    accepted.link = message.link;
    accepted.format = LinkFormat::AnyTexts;
    send(accepted);
    lent->link = message.priority ? m_pool.openWithPriority(*entry, message.customer, *message.priority, *lent)
                                  : m_pool.open(*entry, message.customer, *lent);
}

void LinkLender::line(std::string_view text)
{
    const LinkMessage message = decodeLinkMessage(text);
    if (message.kind == LinkMessageKind::Open) {
        open(message);
        return;
    }
    if (message.kind == LinkMessageKind::Close)
        m_format = std::max(m_format, message.format);
    const auto it = m_links.find(message.link);
    if (it == m_links.end())
        return; // The link has ended; the borrower has been or will be notified.
    if (message.kind == LinkMessageKind::Command && isClosed(it->second->server)) {
        refuse(message.link, BackendCloseReason::NotOpened);
        end(message.link);
    } else if (message.kind == LinkMessageKind::Command)
        it->second->link->send(message.command);
    else if (message.kind == LinkMessageKind::Close)
        end(message.link);
    else
        throw std::runtime_error("link message of a kind that only lenders send");
}

void LinkLender::end(uint64_t link)
{
    const auto it = m_links.find(link);
    if (it == m_links.end())
        return;
    it->second->link.reset();
    m_ended.push_back(std::move(it->second));
    m_links.erase(it);
}

} // namespace plantainwall

#include "link_lender.h"
#include <stdexcept>

namespace plantainwall {

/// One connection in the hands of the borrower.
struct LinkLender::LentLink final : BackendObserver {
    LentLink(LinkLender& lender, uint64_t number)
        : lender(lender)
        , number(number)
    {
    }

    void backendOpened() override
    {
        LinkMessage message;
        message.kind = LinkMessageKind::Opened;
        message.link = number;
        lender.send(message);
    }

    void backendReplied(BackendReply reply) override
    {
        LinkMessage message;
        message.kind = LinkMessageKind::Reply;
        message.link = number;
        message.reply = std::move(reply);
        lender.send(message);
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
    std::unique_ptr<BackendLink> link;
};

LinkLender::LinkLender(BackendConnector& pool, FindServer servers, std::function<bool()> leaving, Send send)
    : m_pool(pool)
    , m_findServer(std::move(servers))
    , m_leaving(std::move(leaving))
    , m_send(std::move(send))
{
}

LinkLender::~LinkLender() = default;

void LinkLender::tick() { m_ended.clear(); }

void LinkLender::send(const LinkMessage& message) { m_send(encodeLinkMessage(message)); }

void LinkLender::open(const LinkMessage& message)
{
    const ServerEntry* const entry = m_findServer(message.server);
    if (entry == nullptr || m_leaving()) {
        LinkMessage refusal;
        refusal.kind = LinkMessageKind::Closed;
        refusal.link = message.link;
        refusal.reason = BackendCloseReason::LenderLost;
        send(refusal);
        return;
    }
    std::unique_ptr<LentLink>& lent = m_links[message.link];
    if (lent != nullptr)
        throw std::runtime_error("a link is opened twice");
    lent = std::make_unique<LentLink>(*this, message.link);
    LinkMessage taken;
    taken.kind = LinkMessageKind::Accepted;
    taken.link = message.link;
    send(taken);
    lent->link = m_pool.open(*entry, message.customer, *lent);
}

void LinkLender::line(std::string_view text)
{
    const LinkMessage message = decodeLinkMessage(text);
    if (message.kind == LinkMessageKind::Open) {
        open(message);
        return;
    }
    const auto it = m_links.find(message.link);
    if (it == m_links.end())
        return; // It has ended, and the borrower is being told.
    if (message.kind == LinkMessageKind::Command)
        it->second->link->send(message.command);
    else if (message.kind == LinkMessageKind::Close)
        end(message.link);
    else
        throw std::runtime_error("a message to a borrower came to the lender");
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

#include "link_borrower.h"
#include "log_event.h"
#include "placement.h"
#include <algorithm>

namespace plantainwall {

/// A host that lends connections. Exists while there is a stream to it.
struct LinkBorrower::Lender {
    std::string host;
    std::unique_ptr<PeerStream> stream;
    std::map<uint64_t, Link*> links;
    Instant usedAt;
    LinkFormat format = LinkFormat::Strings; ///< What the lender reads.

    /// Returns false if the lender could not read the message; it has not been sent then.
    bool send(const LinkMessage& message) const
    {
        const std::optional<std::string> line = encodeLinkMessage(message, format);
        if (line)
            stream->send(*line);
        return line.has_value();
    }
};

struct LinkBorrower::Link final : BackendLink {
    Link(LinkBorrower& borrower, Lender& lender, uint64_t number, std::string server, BackendObserver& observer,
        Instant now)
        : borrower(borrower)
        , borrowedFrom(&lender)
        , lenderHost(lender.host)
        , number(number)
        , server(std::move(server))
        , observer(observer)
        , openedAt(now)
    {
    }

    ~Link() override
    {
        borrower.m_lostLinks.erase(number);
        borrower.m_rejectedLinks.erase(number);
        giveBack();
    }

    void giveBack()
    {
        if (borrowedFrom == nullptr)
            return;
        LinkMessage message;
        message.kind = LinkMessageKind::Close;
        message.link = number;
        borrowedFrom->send(message);
        borrowedFrom->links.erase(number);
        borrowedFrom = nullptr;
    }

    /// Ends the connection, as the lender could not read a message that was to be sent.
    void reject()
    {
        logEvent(LogEvent::InternalFailure,
            { { "error", "a message does not pass to the lender" }, { "server", server }, { "lender", lenderHost } });
        giveBack();
        borrower.m_rejectedLinks.emplace(number, this);
    }

    void send(const BackendCommand& command) override
    {
        if (borrowedFrom == nullptr)
            return; // The observer has been notified.
        LinkMessage message;
        message.kind = LinkMessageKind::Command;
        message.link = number;
        message.command = command;
        if (!borrowedFrom->send(message))
            reject();
    }

    std::string_view lender() const override { return lenderHost; }

    LinkBorrower& borrower;
    Lender* borrowedFrom; ///< Null once the connection has ended.
    std::string lenderHost;
    uint64_t number;
    std::string server;
    BackendObserver& observer;
    Instant openedAt; ///< When the Open was sent.
    bool accepted = false; ///< The lender has answered the Open.
    bool open = false;
};

LinkBorrower::LinkBorrower(std::string host, BackendConnector& direct, BackendConnector& pool, PeerStreams& streams,
    Clock clock, const LinkBorrowerSettings& settings)
    : m_host(std::move(host))
    , m_direct(direct)
    , m_pool(pool)
    , m_streams(streams)
    , m_clock(std::move(clock))
    , m_settings(settings)
{
}

LinkBorrower::~LinkBorrower() = default;

// Returns null if this host has to open the connection itself.
LinkBorrower::Lender* LinkBorrower::chooseLender(
    const Candidates& candidates, const std::string& server, const std::string& customer)
{
    const Instant now = m_clock();
    const LenderCandidate* best = nullptr;
    uint64_t bestWeight = 0;
    const auto failedLenders = m_lendersWithoutServer.find(server);
    // A large customer's connections are spread over several lenders, those to one server are with one of them.
    const std::string key = customer + ' ' + server;
    for (const LenderCandidate& lender : candidates) {
        if ((best != nullptr && lender.rank > best->rank) || m_avoided.contains(lender.host, now))
            continue;
        if (failedLenders != m_lendersWithoutServer.end() && failedLenders->second.count(lender.host) != 0)
            continue;
        const uint64_t weight = Placement::weight(lender.host, key);
        if (best == nullptr || lender.rank < best->rank || weight > bestWeight) {
            best = &lender;
            bestWeight = weight;
        }
    }
    if (best == nullptr || best->address.empty())
        return nullptr;
    std::unique_ptr<Lender>& lender = m_lenders[best->host];
    if (lender == nullptr) {
        lender = std::make_unique<Lender>();
        lender->host = best->host;
        Lender* const raw = lender.get();
        lender->stream = m_streams.connect(best->address,
            { [this, raw](std::string_view line) { handleLine(*raw, line); },
                [this, raw] { lenderLost(*raw, "the stream was closed"); } });
        LinkMessage first;
        first.kind = LinkMessageKind::Close;
        first.format = LinkFormat::AnyTexts;
        lender->send(first);
    }
    return lender.get();
}

BackendConnector& LinkBorrower::ownConnector(const Candidates& candidates) const
{
    const bool lends = std::any_of(
        candidates.begin(), candidates.end(), [](const LenderCandidate& it) { return it.address.empty(); });
    return lends ? m_pool : m_direct;
}

std::unique_ptr<BackendLink> LinkBorrower::open(
    const ServerEntry& entry, const std::string& customer, BackendObserver& observer)
{
    return openFrom(entry, customer, std::nullopt, observer);
}

std::unique_ptr<BackendLink> LinkBorrower::openWithPriority(
    const ServerEntry& entry, const std::string& customer, unsigned priority, BackendObserver& observer)
{
    return openFrom(entry, customer, priority, observer);
}

std::unique_ptr<BackendLink> LinkBorrower::openFrom(
    const ServerEntry& entry, const std::string& customer, std::optional<unsigned> priority, BackendObserver& observer)
{
    Candidates candidates;
    if (m_lenderChoice != nullptr)
        candidates = m_lenderChoice->lenders(entry.dataCentre);
    Lender* const lender = chooseLender(candidates, entry.id, customer);
    if (lender == nullptr) {
        BackendConnector& connector = ownConnector(candidates);
        return priority ? connector.openWithPriority(entry, customer, *priority, observer)
                        : connector.open(entry, customer, observer);
    }
    lender->usedAt = m_clock();
    std::unique_ptr<Link> link = std::make_unique<Link>(*this, *lender, ++m_lastLink, entry.id, observer, m_clock());
    lender->links[link->number] = link.get();
    LinkMessage message;
    message.kind = LinkMessageKind::Open;
    message.link = link->number;
    message.server = entry.id;
    message.customer = customer;
    message.priority = priority;
    if (!lender->send(message))
        link->reject();
    return link;
}

void LinkBorrower::handleLine(Lender& lender, std::string_view line)
{
    LinkMessage message;
    try {
        message = decodeLinkMessage(line);
    } catch (const std::exception& error) {
        lenderLost(lender, error.what());
        return;
    }
    if (message.kind == LinkMessageKind::Accepted)
        lender.format = std::max(lender.format, message.format);
    const auto it = lender.links.find(message.link);
    if (it == lender.links.end())
        return; // This host has closed the link in the meantime.
    Link& link = *it->second;
    switch (message.kind) {
    case LinkMessageKind::Accepted:
        link.accepted = true;
        break;
    case LinkMessageKind::Opened:
        link.accepted = true;
        link.open = true;
        if (message.load && m_loadReported)
            m_loadReported(link.server, lender.host, *message.load);
        link.observer.backendOpened();
        break;
    case LinkMessageKind::Reply:
        link.observer.backendReplied(std::move(message.reply));
        break;
    case LinkMessageKind::Closed:
        lender.links.erase(it);
        link.borrowedFrom = nullptr;
        link.observer.backendClosed(reasonToReport(lender, link, message.reason));
        break;
    default:
        lenderLost(lender, "it sent a message of a kind that only borrowers send");
        break;
    }
}

// Records a failure of the lender and returns the reason to report: the given one if the server has failed, otherwise
// LenderLost.
BackendCloseReason LinkBorrower::reasonToReport(const Lender& lender, const Link& link, BackendCloseReason reason)
{
    const Instant until = m_clock() + m_settings.avoidanceTime;
    if (reason == BackendCloseReason::LenderLost)
        m_avoided.avoid(lender.host, until);
    const bool connectFailed = reason == BackendCloseReason::Refused || reason == BackendCloseReason::Lost
        || reason == BackendCloseReason::NotOpened;
    if (link.open || !connectFailed)
        return reason;
    std::map<std::string, Instant>& failedLenders = m_lendersWithoutServer[link.server];
    failedLenders[lender.host] = until;
    return failedLenders.size() < m_settings.lendersToConfirmFailure ? BackendCloseReason::LenderLost : reason;
}

void LinkBorrower::lenderLost(Lender& lender, const std::string& reason)
{
    const auto it = m_lenders.find(lender.host);
    if (it == m_lenders.end() || it->second.get() != &lender)
        return;
    m_avoided.avoid(lender.host, m_clock() + m_settings.avoidanceTime);
    logEvent(LogEvent::PeerSilent,
        { { "peer", lender.host }, { "reason", "lends no connections: " + reason }, { "links", lender.links.size() } });
    const std::map<uint64_t, Link*> links = std::move(lender.links);
    lender.links.clear();
    m_lostLenders.push_back(std::move(it->second));
    m_lenders.erase(it);
    for (const auto& [number, link] : links)
        link->borrowedFrom = nullptr;
    // An observer may destroy other links, which have no lender any more.
    std::vector<uint64_t> numbers;
    numbers.reserve(links.size());
    for (const auto& [number, link] : links)
        numbers.push_back(number);
    m_lostLinks.insert(links.begin(), links.end());
    for (const uint64_t number : numbers) {
        const auto lostLink = m_lostLinks.find(number);
        if (lostLink == m_lostLinks.end())
            continue;
        BackendObserver& observer = lostLink->second->observer;
        m_lostLinks.erase(lostLink);
        observer.backendClosed(BackendCloseReason::LenderLost);
    }
}

void LinkBorrower::tick()
{
    m_lostLenders.clear();
    // An observer may destroy other links.
    while (!m_rejectedLinks.empty()) {
        BackendObserver& observer = m_rejectedLinks.begin()->second->observer;
        m_rejectedLinks.erase(m_rejectedLinks.begin());
        observer.backendClosed(BackendCloseReason::ProtocolError);
    }
    const Instant now = m_clock();
    for (auto it = m_lendersWithoutServer.begin(); it != m_lendersWithoutServer.end();) {
        for (auto host = it->second.begin(); host != it->second.end();)
            host = host->second <= now ? it->second.erase(host) : std::next(host);
        it = it->second.empty() ? m_lendersWithoutServer.erase(it) : std::next(it);
    }
    std::vector<Lender*> unresponsive;
    std::vector<std::string> unused;
    for (const auto& [host, lender] : m_lenders) {
        const bool overdue = std::any_of(lender->links.begin(), lender->links.end(),
            [&](const auto& it) { return !it.second->accepted && now - it.second->openedAt > m_settings.openTimeout; });
        if (overdue)
            unresponsive.push_back(lender.get());
        else if (lender->links.empty() && now - lender->usedAt > m_settings.unusedTimeout)
            unused.push_back(host);
    }
    for (Lender* const lender : unresponsive)
        lenderLost(*lender, "it did not answer a request to open a connection");
    // Observers of lost links may have opened links over other lenders meanwhile.
    for (const std::string& host : unused) {
        const auto it = m_lenders.find(host);
        if (it != m_lenders.end() && it->second->links.empty())
            m_lenders.erase(it);
    }
}

} // namespace plantainwall

#include "promotion_coordinator.h"
#include <algorithm>

namespace plantainwall {

namespace {

    /// Number of order tokens per coordinator token; the next coordinator's tokens follow.
    constexpr uint64_t ordersPerToken = 1000;

    std::string joined(const std::vector<std::string>& names)
    {
        std::string result;
        for (const std::string& name : names)
            result += (result.empty() ? "" : ",") + name;
        return result;
    }

} // namespace

/// Connection over which the status of one server is polled.
struct PromotionCoordinator::Member final : BackendObserver {
    Member(PromotionCoordinator& coordinator, std::string id)
        : coordinator(coordinator)
        , id(std::move(id))
    {
    }

    void backendOpened() override { open = true; }

    void backendReplied(BackendReply reply) override
    {
        if (requestTimes.empty())
            return;
        const Instant requestedAt = requestTimes.front();
        requestTimes.pop_front();
        const std::optional<ServerStatus> status = coordinator.m_connector.statusOf(reply);
        report.lastReplyAt = coordinator.m_clock();
        report.silentSince.reset();
        report.refused = false;
        report.refusedAt.reset();
        report.replaced = false;
        if (!status)
            return;
        report.status = status;
        report.requestedAt = requestedAt;
        report.answeredAt = coordinator.m_clock();
        Gateway& gateway = coordinator.m_gateway;
        gateway.directory().noteTerm(service, status->term);
        if (status->primary && gateway.directory().notePrimary(service, id, status->term))
            logEvent(LogEvent::PrimaryChanged,
                { { "service", service }, { "server", id }, { "term", status->term },
                    { "position", status->received.position }, { "source", "status of the server" } });
    }

    void backendClosed(BackendCloseReason reason) override
    {
        report.refused = reason == BackendCloseReason::Refused;
        if (report.refused)
            report.refusedAt = coordinator.m_clock();
        report.replaced = report.replaced || reason == BackendCloseReason::Misrouted;
        close(coordinator.m_clock());
    }

    void close(Instant now)
    {
        if (!report.silentSince)
            report.silentSince = requestTimes.empty() ? now : requestTimes.front();
        report.failedAt = requestTimes.empty() ? openedAt : requestTimes.front();
        open = false;
        requestTimes.clear();
        reconnectAt = now
            + (report.registered ? coordinator.m_settings.reconnectInterval
                                 : coordinator.m_settings.lapsedReconnectInterval);
        if (link)
            coordinator.m_closed.push_back(std::move(link));
    }

    PromotionCoordinator& coordinator;
    std::string id;
    std::string service;
    std::unique_ptr<BackendLink> link;
    bool open = false;
    std::deque<Instant> requestTimes;
    Instant openedAt;
    Instant reconnectAt;
    Instant lastRequestAt;
    Instant promotedAt; ///< When the last order to promote it was accepted.
    Instant listedAt; ///< When the directory last had it.
    FailoverMember report;
};

PromotionCoordinator::PromotionCoordinator(Gateway& gateway, BackendConnector& connector, PromotionService& promotions,
    IndirectProbes& probes, Gateway::Clock clock, std::string host, Metrics& metrics)
    : m_gateway(gateway)
    , m_connector(connector)
    , m_promotions(promotions)
    , m_probes(probes)
    , m_clock(std::move(clock))
    , m_host(std::move(host))
    , m_metrics(metrics)
{
}

PromotionCoordinator::~PromotionCoordinator() { *m_alive = false; }

void PromotionCoordinator::setActive(bool active, uint64_t token)
{
    if (active == m_active)
        return;
    m_active = active;
    m_token = token;
    m_orderCount = 0;
    m_plans.clear();
    if (m_revocations != nullptr)
        m_revocations->reset();
    // Connections must be destroyed before the members that observe them.
    m_closed.clear();
    m_members.clear();
    logEvent(active ? LogEvent::DutyGained : LogEvent::DutyLost, { { "token", token } });
}

bool PromotionCoordinator::serversUnreachable() const
{
    return std::any_of(
        m_plans.begin(), m_plans.end(), [](const auto& plan) { return plan.second.failedAttempts() > 0; });
}

void PromotionCoordinator::tick(bool mayOrder)
{
    m_closed.clear();
    if (!m_active || m_gateway.configuration() == nullptr)
        return;
    const Instant now = m_clock();
    for (const auto& [name, service] : m_gateway.configuration()->services) {
        pollServers(name, now);
        if (mayOrder)
            planService(name, now);
        if (m_guard != nullptr)
            confirmPrimary(name);
    }
    for (auto it = m_members.begin(); it != m_members.end();)
        it = it->second->listedAt < now ? m_members.erase(it) : std::next(it);
}

// A coordinator that reaches an old primary alone must not take it for the present one.
void PromotionCoordinator::confirmPrimary(const std::string& service)
{
    const auto plan = m_plans.find(service);
    if (plan != m_plans.end() && !plan->second.watching())
        return;
    size_t servers = 0;
    size_t answering = 0;
    uint64_t newestTerm = 0;
    const FailoverMember* leader = nullptr;
    for (const auto& [id, member] : m_members) {
        const FailoverMember& report = member->report;
        if (member->service != service || !report.registered)
            continue;
        ++servers;
        if (!report.status || report.silentSince)
            continue;
        ++answering;
        const ServerStatus& status = *report.status;
        newestTerm = std::max({ newestTerm, status.term, status.received.term, status.stoppedAtTerm });
        if (status.primary && (leader == nullptr || leader->status->term < status.term))
            leader = &report;
    }
    if (leader != nullptr && leader->status->term >= newestTerm && answering * 2 > servers)
        m_guard->primaryConfirmed(service, leader->id, leader->status->term);
}

void PromotionCoordinator::planService(const std::string& service, Instant now)
{
    std::vector<FailoverMember> reports;
    bool allPolled = true;
    const std::pair<std::string, uint64_t> proven = m_gateway.directory().provenPrimary(service);
    const auto addReport = [&](const std::string& id) {
        const auto it = m_members.find(id);
        if (it == m_members.end())
            return;
        reports.push_back(it->second->report);
        reports.back().provenTerm = proven.first == id ? proven.second : 0;
        reports.back().ledTerm = m_gateway.directory().ledTerm(service, id);
        allPolled = allPolled && (reports.back().status || reports.back().silentSince);
    };
    for (const ServerEntry* const entry : m_gateway.directory().members(service))
        addReport(entry->id);
    // A new coordinator first polls all servers: a registration may be outdated and does not identify the primary.
    if (reports.empty())
        return;
    const std::string primary = m_gateway.directory().knownPrimary(service);
    for (const LapsedServer* const server : m_gateway.directory().lapsed(service)) {
        if (!server->ended) {
            addReport(server->entry.id);
            continue;
        }
        FailoverMember report;
        report.id = server->entry.id;
        report.registered = false;
        report.ended = true;
        report.startedUnixMs = server->entry.startedUnixMs;
        // The registration of a primary that lost the store does not show its replacement.
        const uint64_t ledTerm = m_gateway.directory().ledTerm(service, server->entry.id);
        report.wasPrimary = (ledTerm != 0 && ledTerm >= m_gateway.directory().term(service))
            || (server->entry.primary && (primary.empty() || primary == server->entry.id));
        reports.push_back(report);
    }
    if (!allPolled)
        return;
    FailoverPlan& plan = m_plans.try_emplace(service).first->second;
    FailoverKnowledge knowledge;
    if (m_guard != nullptr)
        knowledge.permit = [this, &service](const std::string& server, uint64_t term, bool demoted) {
            return m_guard->mayPromote(service, server, term, demoted);
        };
    if (m_revocations != nullptr) {
        knowledge.revokedSince = m_revocations->inForceSince(service);
        knowledge.acknowledged = m_revocations->newestAcknowledged(service);
        knowledge.isRecorded = [this, &service] { return m_revocations->requireRecord(service); };
        const std::optional<PrimaryRevocation> unfinished
            = plan.watching() ? unfinishedChange(service, reports) : std::nullopt;
        knowledge.unfinished = unfinished.has_value();
        knowledge.successor = unfinished ? unfinished->successor : std::string();
    }
    const std::optional<PrimaryPositions::Observation> seen = m_gateway.acknowledgedCommits(service).observed;
    knowledge.primarySeenAt = seen ? seen->requestedAt : m_gateway.startedAt();
    carryOut(service, plan.step(now, primary, reports, m_gateway.directory().term(service), knowledge));
    if (m_revocations != nullptr)
        m_revocations->setRevocation(service, plan.revocation(), m_token);
    for (const auto& [id, startedUnixMs] : m_gateway.directory().settleLapsed(service, plan.settled(), now))
        logEvent(LogEvent::ServerRemoved,
            { { "service", service }, { "server", id }, { "started", startedUnixMs },
                { "reason", "does not run, and no commit is missing from the other servers" } });
}

std::optional<PrimaryRevocation> PromotionCoordinator::unfinishedChange(
    const std::string& service, const std::vector<FailoverMember>& reports)
{
    std::optional<PrimaryRevocation> revocation = m_revocations->unfinished(service, m_token);
    if (!revocation)
        return std::nullopt;
    // Any other server may lead by an order before the last one.
    const bool ended = std::any_of(reports.begin(), reports.end(), [&](const FailoverMember& member) {
        return member.id == revocation->successor && !member.ended && member.status && !member.silentSince
            && member.status->primary && member.status->term >= revocation->term;
    });
    if (!ended)
        return revocation;
    m_revocations->dismiss(service, m_token);
    return std::nullopt;
}

void PromotionCoordinator::pollServers(const std::string& service, Instant now)
{
    const GatewayConfiguration& configuration = *m_gateway.configuration();
    const std::string customer = configuration.customers.empty() ? m_host : configuration.customers.begin()->first;
    const std::vector<const ServerEntry*> registered = m_gateway.directory().members(service);
    const auto evacuated
        = [&](const ServerEntry* entry) { return m_gateway.evacuations().contains(entry->dataCentre); };
    const auto answers = [&](const ServerEntry* entry) {
        const auto it = m_members.find(entry->id);
        return it != m_members.end() && it->second->report.status && !it->second->report.silentSince;
    };
    // Without a server elsewhere that can be promoted, a new primary would have to be replaced again.
    const bool mayMove = std::any_of(registered.begin(), registered.end(),
        [&](const ServerEntry* entry) { return !entry->draining && !evacuated(entry) && answers(entry); });
    for (const ServerEntry* const entry : registered) {
        Member& member = pollServer(*entry, customer, now);
        member.report.registered = true;
        member.report.draining = entry->draining || (mayMove && evacuated(entry));
        member.report.settled = false;
        probeIndirectly(*entry, member);
    }
    for (const LapsedServer* const server : m_gateway.directory().lapsed(service)) {
        if (server->ended)
            continue;
        Member& member = pollServer(server->entry, customer, now);
        member.report.registered = false;
        member.report.lapsedAt = server->since;
        member.report.settled = server->settledAt.has_value();
        probeIndirectly(server->entry, member);
    }
}

void PromotionCoordinator::probeIndirectly(const ServerEntry& entry, Member& member)
{
    FailoverMember& report = member.report;
    const bool mayRun = report.silentSince && !report.replaced;
    if (!mayRun || (report.registered && !report.refused)) {
        report.probes = ProbeSummary();
        return;
    }
    ProbeSummary probes = m_probes.probe(entry);
    if (!probes.pending && (probes.reachedBy != report.probes.reachedBy || report.probes.pending))
        logProbes(member, probes);
    report.probes = std::move(probes);
}

PromotionCoordinator::Member& PromotionCoordinator::pollServer(
    const ServerEntry& entry, const std::string& customer, Instant now)
{
    std::unique_ptr<Member>& member = m_members[entry.id];
    if (member == nullptr) {
        member = std::make_unique<Member>(*this, entry.id);
        member->report.id = entry.id;
    }
    member->service = entry.service;
    member->listedAt = now;
    member->report.address = entry.address;
    if (member->report.startedUnixMs != entry.startedUnixMs) {
        member->report.refused = false;
        member->report.refusedAt.reset();
        member->report.replaced = false;
    }
    member->report.startedUnixMs = entry.startedUnixMs;
    member->report.draining = entry.draining;
    if (!member->link) {
        if (now < member->reconnectAt)
            return *member;
        member->open = false;
        member->openedAt = now;
        member->link = m_connector.open(entry, customer, *member);
        return *member;
    }
    const Instant waitingSince
        = !member->open ? member->openedAt : (member->requestTimes.empty() ? now : member->requestTimes.front());
    if (now - waitingSince > m_settings.answerTimeout) {
        member->report.failedAt = waitingSince;
        member->report.refused = false;
        if (!member->report.silentSince)
            member->report.silentSince = waitingSince;
    }
    if (now - waitingSince > m_settings.replaceAfter) {
        member->close(now);
        return *member;
    }
    const auto plan = m_plans.find(entry.service);
    const bool changing = plan != m_plans.end() && !plan->second.watching();
    const Duration pollInterval = changing || now - member->promotedAt < m_settings.promotedPollTime
        ? m_settings.changePollInterval
        : m_settings.pollInterval;
    if (member->open && member->requestTimes.empty() && now - member->lastRequestAt >= pollInterval)
        sendCommand(entry.id, BackendCommandKind::Status, 0);
    return *member;
}

void PromotionCoordinator::sendCommand(const std::string& id, BackendCommandKind kind, uint64_t term)
{
    const auto it = m_members.find(id);
    if (it == m_members.end())
        return;
    if (!it->second->open || !it->second->link) {
        // A server that is needed is connected to again at once. It may run although the last attempt failed.
        if (it->second->report.silentSince && m_clock() - it->second->openedAt > m_settings.answerTimeout) {
            if (it->second->link)
                it->second->close(m_clock());
            it->second->reconnectAt = m_clock();
        }
        return;
    }
    BackendCommand command;
    command.kind = kind;
    command.term = term;
    it->second->requestTimes.push_back(m_clock());
    it->second->lastRequestAt = m_clock();
    it->second->link->send(command);
}

void PromotionCoordinator::carryOut(const std::string& service, const FailoverPlan::Step& step)
{
    logMissing(service, step);
    if (step.action == FailoverAction::None)
        return;
    if (step.action == FailoverAction::Promote || step.action == FailoverAction::ResumeReceiving)
        logServers(service);
    if (step.action == FailoverAction::Promote) {
        promote(service, step);
        return;
    }
    struct Order {
        std::string_view name;
        BackendCommandKind kind;
    };
    // In the order of FailoverAction.
    constexpr Order orders[]
        = { { "none", BackendCommandKind::Status }, { "stop_receiving", BackendCommandKind::StopReceiving },
              { "resume_receiving", BackendCommandKind::ResumeReceiving }, { "demote", BackendCommandKind::Demote },
              { "promote", BackendCommandKind::Status } };
    static_assert(sizeof(orders) / sizeof(orders[0]) == static_cast<size_t>(FailoverAction::Count), "one entry each");
    const Order& order = orders[static_cast<size_t>(step.action)];
    for (const std::string& id : step.servers) {
        const auto it = m_members.find(id);
        const ServerStatus status
            = it != m_members.end() && it->second->report.status ? *it->second->report.status : ServerStatus();
        logEvent(LogEvent::FailoverStep,
            { { "service", service }, { "server", id }, { "step", order.name },
                { "reason", failoverReasonName(step.reason) }, { "term", step.term },
                { "received_term", status.received.term }, { "received", status.received.position },
                { "open", it != m_members.end() && it->second->open } });
        sendCommand(id, order.kind, step.term);
    }
}

void PromotionCoordinator::logProbes(const Member& member, const ProbeSummary& probes) const
{
    logEvent(LogEvent::ServerProbed,
        { { "service", member.service }, { "server", member.id }, { "started", member.report.startedUnixMs },
            { "reached_by", joined(probes.reachedBy) }, { "not_reached_by", joined(probes.notReachedBy) },
            { "silent_ms",
                std::chrono::duration_cast<std::chrono::milliseconds>(
                    m_clock() - member.report.silentSince.value_or(m_clock()))
                    .count() } });
}

void PromotionCoordinator::logServers(const std::string& service) const
{
    const Instant now = m_clock();
    const auto millisecondsSince = [now](std::optional<Instant> instant) {
        return instant ? std::chrono::duration_cast<std::chrono::milliseconds>(now - *instant).count() : int64_t(-1);
    };
    for (const auto& [id, member] : m_members) {
        if (member->service != service)
            continue;
        const FailoverMember& report = member->report;
        const ServerStatus status = report.status ? *report.status : ServerStatus();
        logEvent(LogEvent::FailoverServer,
            { { "service", service }, { "server", id }, { "registered", report.registered },
                { "started", report.startedUnixMs }, { "draining", report.draining }, { "primary", status.primary },
                { "term", status.term }, { "received_term", status.received.term },
                { "received", status.received.position }, { "stopped_at_term", status.stoppedAtTerm },
                { "answered_ms_ago", report.status ? millisecondsSince(report.answeredAt) : -1 },
                { "silent_ms", millisecondsSince(report.silentSince) }, { "refused", report.refused },
                { "reached_by", joined(report.probes.reachedBy) },
                { "not_reached_by", joined(report.probes.notReachedBy) } });
    }
}

void PromotionCoordinator::logMissing(const std::string& service, const FailoverPlan::Step& step) const
{
    for (const ReplicaLogs::Missing& missing : step.missing)
        logEvent(LogEvent::FailoverBlocked,
            { { "service", service }, { "server", missing.id }, { "reason", missing.reason }, { "term", step.term } });
}

void PromotionCoordinator::promote(const std::string& service, const FailoverPlan::Step& step)
{
    // Every order has its own token, so that a late, unanswered order is rejected in favour of a newer one.
    const uint64_t token = m_token * ordersPerToken + std::min(m_orderCount, ordersPerToken - 1);
    ++m_orderCount;
    const std::string target = step.servers.front();
    const uint64_t coordinatorToken = m_token;
    logEvent(LogEvent::FailoverStep,
        { { "service", service }, { "server", target }, { "step", "promote" },
            { "reason", failoverReasonName(step.reason) }, { "term", step.term }, { "token", token } });
    const std::shared_ptr<bool> alive = m_alive;
    m_promotions.promote(service, target, m_host, token,
        [this, alive, service, target, token, coordinatorToken](PromotionOutcome outcome) {
            if (!*alive)
                return;
            constexpr std::string_view names[] = { "done", "rejected", "unanswered" };
            logEvent(LogEvent::PromotionAnswered,
                { { "service", service }, { "server", target }, { "token", token },
                    { "outcome", names[static_cast<size_t>(outcome)] } });
            if (coordinatorToken != m_token || !m_active)
                return;
            if (outcome == PromotionOutcome::Done) {
                m_metrics.count(MetricCounter::Promotions);
                // The server may lead already, or end before it does, so only its own status tells the new term.
                const auto member = m_members.find(target);
                if (member != m_members.end())
                    member->second->promotedAt = m_clock();
            }
            const auto it = m_plans.find(service);
            if (it != m_plans.end())
                it->second.promoteAnswered(outcome, m_clock());
        });
}

} // namespace plantainwall

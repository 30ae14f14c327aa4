#include "controller_group_shard.h"
#include <log4cplus/loggingmacros.h>

namespace plantainwall {

namespace {

    log4cplus::Logger logger() { return log4cplus::Logger::getInstance("group"); }

    // Pauses between two long polls of a member; under load each is answered at once. An owner that does not serve the
    // member needs its status for promotion only.
    constexpr Duration watchPause = std::chrono::milliseconds(20);
    constexpr Duration foreignWatchPause = std::chrono::milliseconds(100);
    // While requests wait for members to make progress: the pause is part of the latency of a write.
    constexpr Duration busyWatchPause = std::chrono::milliseconds(1);
    constexpr Duration busyPeriod = std::chrono::milliseconds(500);
    constexpr Duration tickInterval = std::chrono::milliseconds(50);
    constexpr Duration busyTickInterval = std::chrono::milliseconds(10);

    std::vector<std::string> namesOf(const GroupConfig& config)
    {
        std::vector<std::string> names;
        for (const MemberConfig& member : config.members)
            names.push_back(member.name);
        return names;
    }

} // namespace

GroupShard::Locked::Locked(GroupShard& shard)
    : m_shard(shard)
    , m_lock(shard.m_mutex)
{
}

GroupShard::Locked::~Locked()
{
    std::vector<std::function<void()>> effects;
    effects.swap(m_shard.m_effects);
    m_lock.unlock();
    for (const std::function<void()>& effect : effects)
        effect();
}

GroupShard::GroupShard(
    const Settings& settings, const GroupConfig& config, const GroupEnvironment& environment, uint64_t seed)
    : m_settings(settings)
    , m_config(config)
    , m_environment(environment)
    , m_random(seed)
    , m_promotion(settings.group, settings.host, namesOf(config), m_random, environment.now())
    , m_tracker(namesOf(config))
    , m_router(config.members, ReadCosts())
{
    for (const MemberConfig& memberConfig : config.members) {
        Member& member = m_members[memberConfig.name];
        member.config = memberConfig;
        member.database = environment.makeDatabase(memberConfig);
        member.queue = std::make_unique<FairQueue>(settings.queue, 1);
    }
}

void GroupShard::start()
{
    for (const MemberConfig& member : m_config.members)
        watch(member.name);
    tickLater();
}

void GroupShard::stop()
{
    const Locked lock(*this);
    m_stopped = true;
    std::vector<std::string> open;
    for (const std::pair<const std::string, Transaction>& entry : m_transactions) {
        if (!entry.second.busy)
            open.push_back(entry.first);
    }
    for (const std::string& id : open)
        abortTransaction(id);
    for (std::pair<const std::string, Member>& entry : m_members)
        apply(entry.second, entry.second.ledger.close());
}

void GroupShard::setOwnership(GroupOwnership ownership)
{
    const Locked lock(*this);
    m_promotion.setCandidates(ownership.rank, ownership.otherOwners);
    for (std::pair<const std::string, Member>& entry : m_members) {
        Member& member = entry.second;
        member.owner = ownership.ownerByMember[entry.first];
        const bool owned = ownership.owned.count(entry.first) != 0;
        if (owned == member.owned)
            continue;
        member.owned = owned;
        LOG4CPLUS_INFO(logger(),
            "event=ownership group=" << m_config.name << " member=" << entry.first << " owned=" << owned
                                     << " owner=" << member.owner);
        if (owned)
            member.ledger.reopen();
        else if (member.ledger.inUse() == 0 && member.ledger.waiting() == 0)
            apply(member, member.ledger.close());
    }
    m_ownership = std::move(ownership);
}

void GroupShard::notePeerContact(std::string_view host, Duration age)
{
    const Locked lock(*this);
    m_promotion.onPeerContact(host, age, now());
}

Duration GroupShard::primaryContactAge() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return now() - m_promotion.lastPrimaryContact();
}

ReadChoice GroupShard::chooseMember(const ReadRequirement& need) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_router.choose(need, now());
}

GroupReport GroupShard::report() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    GroupReport report;
    report.name = m_config.name;
    report.primary = m_promotion.primary();
    report.term = m_promotion.primaryTerm();
    report.phase = promotionPhaseName(m_promotion.phase());
    report.confirmed = m_tracker.confirmed();
    report.acknowledgementsPending = m_tracker.pending();
    report.transactions = m_transactions.size();
    for (const std::pair<const std::string, Member>& entry : m_members) {
        const Member& member = entry.second;
        MemberReport line;
        line.name = entry.first;
        line.owner = member.owner;
        line.reachable = member.reachable;
        line.status = member.status.value_or(MemberStatus());
        line.connectionsOpen = member.ledger.open();
        line.connectionsInUse = member.ledger.inUse();
        line.connectionLimit = member.ledger.limit();
        line.queued = member.queue->queued();
        line.running = member.queue->running();
        report.members.push_back(std::move(line));
    }
    return report;
}

GroupCounters GroupShard::counters() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    GroupCounters counters = m_counters;
    counters.promotions = m_promotion.promotions();
    counters.fenceRounds = m_promotion.rounds();
    counters.acknowledgementsPending = m_tracker.pending();
    return counters;
}

size_t GroupShard::inProgress() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_pendingRequests.size() + m_transactions.size();
}

bool GroupShard::ownsMembers() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return !m_ownership.owned.empty();
}

void GroupShard::tickLater()
{
    const std::weak_ptr<GroupShard> weak = weak_from_this();
    const Duration pause = inProgress() > 0 ? busyTickInterval : tickInterval;
    m_environment.scheduler->schedule(pause, [weak] {
        const std::shared_ptr<GroupShard> self = weak.lock();
        if (!self)
            return;
        self->tick();
        bool stopped = false;
        {
            const std::lock_guard<std::mutex> lock(self->m_mutex);
            stopped = self->m_stopped && self->m_pendingRequests.empty();
        }
        if (!stopped)
            self->tickLater();
    });
}

void GroupShard::tick()
{
    const Locked lock(*this);
    const Instant time = now();
    if (!m_stopped && !m_ownership.owned.empty())
        apply(m_promotion.tick(time));
    apply(m_tracker.tick(time));
    for (std::pair<const std::string, Member>& entry : m_members) {
        apply(entry.second, entry.second.ledger.tick(time));
        pump(entry.second);
    }
    sweep(time);
}

/// Asks a member for its status, with a long poll once a first status is known.
void GroupShard::watch(const std::string& name)
{
    std::shared_ptr<Database> database;
    std::optional<MemberStatus> known;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_stopped && m_pendingRequests.empty())
            return;
        const Member& member = *findMember(name);
        database = member.database;
        if (member.reachable)
            known = member.status;
    }
    const Instant sent = now();
    const pplx::task<MemberStatus> call = known
        ? database->waitForChange(known->received, known->applied, m_settings.group.probeInterval)
        : database->status(m_settings.group.probeTimeout);
    const std::weak_ptr<GroupShard> weak = weak_from_this();
    call.then([weak, name, sent](const pplx::task<MemberStatus>& answer) {
        const std::shared_ptr<GroupShard> self = weak.lock();
        if (!self)
            return;
        bool answered = false;
        try {
            const MemberStatus status = answer.get();
            const Locked lock(*self);
            self->onStatus(name, status, sent);
            answered = true;
        } catch (const std::exception&) {
            const Locked lock(*self);
            self->onUnreachable(name);
        }
        self->watchLater(name, answered);
    });
}

void GroupShard::watchLater(const std::string& name, bool answered)
{
    Duration pause = watchPause;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!answered)
            pause = m_settings.group.probeInterval;
        else if (now() - m_lastProgressNeeded < busyPeriod && name != m_promotion.primary())
            pause = busyWatchPause;
        else if (!findMember(name)->owned)
            pause = foreignWatchPause;
    }
    const std::weak_ptr<GroupShard> weak = weak_from_this();
    m_environment.scheduler->schedule(pause, [weak, name] {
        const std::shared_ptr<GroupShard> self = weak.lock();
        if (self)
            self->watch(name);
    });
}

/// Asks a member for its status now, besides the long poll.
void GroupShard::probe(const std::string& name)
{
    const std::shared_ptr<Database> database = findMember(name)->database;
    const std::weak_ptr<GroupShard> weak = weak_from_this();
    m_effects.emplace_back([weak, name, database, sent = now(), timeout = m_settings.group.probeTimeout] {
        database->status(timeout).then([weak, name, sent](const pplx::task<MemberStatus>& answer) {
            const std::shared_ptr<GroupShard> self = weak.lock();
            try {
                const MemberStatus status = answer.get();
                if (!self)
                    return;
                const Locked lock(*self);
                self->onStatus(name, status, sent);
            } catch (const std::exception&) {
                return; // The watch decides about reachability.
            }
        });
    });
}

void GroupShard::probeAll()
{
    for (const MemberConfig& member : m_config.members)
        probe(member.name);
}

void GroupShard::onStatus(const std::string& name, MemberStatus status, Instant sent)
{
    Member& member = *findMember(name);
    status.leaving = status.leaving || m_ownership.leaving.count(name) != 0;
    if (!member.reachable)
        LOG4CPLUS_INFO(logger(),
            "event=member_reachable group=" << m_config.name << " member=" << name
                                            << " role=" << memberRoleName(status.role) << " term=" << status.term);
    if (status.leaving && (!member.status || !member.status->leaving))
        LOG4CPLUS_INFO(logger(), "event=member_leaving group=" << m_config.name << " member=" << name);
    member.reachable = true;
    member.status = status;
    member.ledger.setLimit(status.connectionLimit);
    member.queue->setSlots(std::max(1U, status.slots));
    m_router.onStatus(name, status, sent, now());
    apply(m_promotion.onStatus(name, status, sent, now()));
    apply(m_tracker.received(name, status.received));
    checkCatchingUp(name);
    pump(member);
}

void GroupShard::onUnreachable(const std::string& name)
{
    Member& member = *findMember(name);
    if (member.reachable)
        LOG4CPLUS_WARN(logger(), "event=member_unreachable group=" << m_config.name << " member=" << name);
    member.reachable = false;
    m_router.onFailure(name);
    leaveUnreachable(name);
}

void GroupShard::apply(const std::vector<PromotionAction>& actions)
{
    for (const PromotionAction& action : actions) {
        if (const ProbeMember* probeAction = std::get_if<ProbeMember>(&action))
            probe(probeAction->member);
        else if (const FenceMember* fenceAction = std::get_if<FenceMember>(&action))
            fence(*fenceAction);
        else if (const PromoteMember* promoteAction = std::get_if<PromoteMember>(&action))
            promote(*promoteAction);
        else
            primaryChanged(std::get<PrimaryKnown>(action));
    }
}

/// A lost answer is not handled here: Promotion sends the call again.
void GroupShard::fence(const FenceMember& action)
{
    LOG4CPLUS_WARN(
        logger(), "event=fence group=" << m_config.name << " member=" << action.member << " term=" << action.term);
    const std::weak_ptr<GroupShard> weak = weak_from_this();
    const std::shared_ptr<Database> database = findMember(action.member)->database;
    m_effects.emplace_back([weak, database, action, timeout = m_settings.group.fenceTimeout] {
        database->fence(action.term, action.candidate, timeout)
            .then([weak, action](const pplx::task<FenceReply>& answer) {
                const std::shared_ptr<GroupShard> self = weak.lock();
                try {
                    const FenceReply reply = answer.get();
                    if (!self)
                        return;
                    const Locked lock(*self);
                    self->apply(self->m_promotion.onFenceReply(action.member, action.term, reply, self->now()));
                } catch (const std::exception& error) {
                    LOG4CPLUS_WARN(logger(),
                        "event=fence_failed member=" << action.member << " term=" << action.term << " error=\""
                                                     << error.what() << "\"");
                }
            });
    });
}

void GroupShard::promote(const PromoteMember& action)
{
    LOG4CPLUS_WARN(
        logger(), "event=promote group=" << m_config.name << " member=" << action.member << " term=" << action.term);
    const std::weak_ptr<GroupShard> weak = weak_from_this();
    const std::shared_ptr<Database> database = findMember(action.member)->database;
    m_effects.emplace_back([weak, database, action, timeout = m_settings.group.fenceTimeout] {
        database->promote(action.term, action.candidate, timeout).then([weak, action](const pplx::task<bool>& answer) {
            const std::shared_ptr<GroupShard> self = weak.lock();
            try {
                const bool promoted = answer.get();
                if (!self)
                    return;
                const Locked lock(*self);
                self->apply(self->m_promotion.onPromoteReply(action.member, action.term, promoted, self->now()));
            } catch (const std::exception& error) {
                LOG4CPLUS_WARN(logger(),
                    "event=promote_failed member=" << action.member << " term=" << action.term << " error=\""
                                                   << error.what() << "\"");
            }
        });
    });
}

void GroupShard::primaryChanged(const PrimaryKnown& change)
{
    LOG4CPLUS_WARN(logger(),
        "event=primary group=" << m_config.name << " member=" << (change.member.empty() ? "none" : change.member)
                               << " term=" << change.term);
    m_router.setPrimary(change.member, change.term);
    if (change.member.empty())
        return;
    apply(m_tracker.higherTerm(change.term));
    onPrimaryReplaced(change.member, change.term);
    std::vector<std::string> broken;
    for (const std::pair<const std::string, Transaction>& entry : m_transactions) {
        if (!entry.second.busy && entry.second.term < change.term)
            broken.push_back(entry.first); // Begun in a lower term, which no primary accepts any more.
    }
    for (const std::string& id : broken)
        abortTransaction(id);
    probeAll();
}

/// Returns whether writes may be sent: a primary is known and has been reached lately.
bool GroupShard::primaryUsable() const
{
    return !m_promotion.primary().empty()
        && now() - m_promotion.lastPrimaryContact() < m_settings.group.primaryUnreachable;
}

GroupShard::Member* GroupShard::findMember(std::string_view name)
{
    const std::map<std::string, Member, std::less<>>::iterator it = m_members.find(name);
    return it == m_members.end() ? nullptr : &it->second;
}

} // namespace plantainwall

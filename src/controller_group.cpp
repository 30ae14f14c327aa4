#include "controller_group.h"
#include "controller_group_shard.h"
#include "filter_key.h"
#include "request_context.h"
#include <algorithm>
#include <xxhash.h>

namespace plantainwall {

namespace {

    constexpr Duration refreshInterval = std::chrono::milliseconds(250);

    bool sameMembers(const GroupConfig& a, const GroupConfig& b)
    {
        return std::equal(a.members.begin(), a.members.end(), b.members.begin(), b.members.end(),
            [](const MemberConfig& x, const MemberConfig& y) {
                return x.name == y.name && x.address == y.address && x.dataCentre == y.dataCentre
                    && x.region == y.region;
            });
    }

    uint64_t candidateWeight(const std::string& group, const std::string& host)
    {
        const std::string text = "candidate/" + group + "/" + host;
        return XXH3_64bits(text.data(), text.size());
    }

    GroupOwnership ownershipOf(const GroupConfig& group, const ClusterView& cluster)
    {
        GroupOwnership ownership;
        const std::string self(cluster.selfName());
        std::set<std::string> owners;
        for (const MemberConfig& member : group.members) {
            if (cluster.isLeaving(member.name))
                ownership.leaving.insert(member.name);
            const std::optional<HostInfo> owner = cluster.ownerOf(group.name, member);
            if (!owner)
                continue;
            ownership.ownerByMember[member.name] = owner->config.name;
            owners.insert(owner->config.name);
            if (owner->config.name == self)
                ownership.owned.insert(member.name);
        }
        for (const std::string& host : owners) {
            if (host == self)
                continue;
            ownership.otherOwners.push_back(host);
            if (candidateWeight(group.name, host) > candidateWeight(group.name, self))
                ++ownership.rank;
        }
        return ownership;
    }

} // namespace

GroupCounters& GroupCounters::operator+=(const GroupCounters& other)
{
    promotions += other.promotions;
    fenceRounds += other.fenceRounds;
    acknowledged += other.acknowledged;
    outcomesUnknown += other.outcomesUnknown;
    outcomeLookups += other.outcomeLookups;
    resends += other.resends;
    transactionsRolledBack += other.transactionsRolledBack;
    connectionsOpened += other.connectionsOpened;
    acknowledgementsPending += other.acknowledgementsPending;
    return *this;
}

GroupController::GroupController(const Settings& settings, std::shared_ptr<const ConfigView> config,
    std::shared_ptr<const ClusterView> cluster, GroupEnvironment environment)
    : m_settings(settings)
    , m_config(std::move(config))
    , m_cluster(std::move(cluster))
    , m_environment(std::move(environment))
{
    m_environment.keyWithdrawn = [view = m_config](std::string_view customer, std::string_view keyId) {
        const std::shared_ptr<const ConfigSnapshot> snapshot = view->current();
        return snapshot && isWithdrawn(*snapshot, customer, keyId);
    };
}

GroupController::~GroupController() { stop(); }

void GroupController::start()
{
    refresh();
    refreshLater();
}

void GroupController::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_stopped = true;
    }
    for (const std::shared_ptr<GroupShard>& shard : shards())
        shard->stop();
}

void GroupController::refreshLater()
{
    const std::weak_ptr<GroupController> weak = weak_from_this();
    m_environment.scheduler->schedule(refreshInterval, [weak] {
        const std::shared_ptr<GroupController> self = weak.lock();
        if (!self)
            return;
        {
            const std::lock_guard<std::mutex> lock(self->m_mutex);
            if (self->m_stopped)
                return;
        }
        self->refresh();
        self->refreshLater();
    });
}

void GroupController::refresh()
{
    const std::shared_ptr<const ConfigSnapshot> config = m_config->current();
    if (!config)
        return;
    std::map<std::string, GroupOwnership> ownerships;
    for (const std::pair<const std::string, GroupConfig>& entry : config->groups)
        ownerships[entry.first] = ownershipOf(entry.second, *m_cluster);
    std::vector<std::pair<std::shared_ptr<GroupShard>, GroupOwnership>> changes;
    std::vector<std::shared_ptr<GroupShard>> started;
    std::vector<std::shared_ptr<GroupShard>> ended;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (m_stopped)
            return;
        for (std::map<std::string, std::shared_ptr<GroupShard>, std::less<>>::iterator it = m_shards.begin();
             it != m_shards.end();) {
            const std::map<std::string, GroupConfig, std::less<>>::const_iterator group
                = config->groups.find(it->first);
            if (group != config->groups.end() && sameMembers(group->second, it->second->config())
                && (!ownerships[it->first].owned.empty() || it->second->inProgress() > 0)) {
                changes.emplace_back(it->second, ownerships[it->first]);
                ++it;
                continue;
            }
            m_retired.push_back(it->second);
            changes.emplace_back(it->second, GroupOwnership());
            it = m_shards.erase(it);
        }
        for (const std::pair<const std::string, GroupConfig>& entry : config->groups) {
            if (ownerships[entry.first].owned.empty() || m_shards.count(entry.first) != 0)
                continue;
            const uint64_t seed = m_environment.seed + 0x9e3779b97f4a7c15ULL * ++m_created;
            const std::shared_ptr<GroupShard> shard
                = std::make_shared<GroupShard>(m_settings, entry.second, m_environment, seed);
            m_shards.emplace(entry.first, shard);
            started.push_back(shard);
            changes.emplace_back(shard, ownerships[entry.first]);
        }
        for (std::vector<std::shared_ptr<GroupShard>>::iterator it = m_retired.begin(); it != m_retired.end();) {
            if ((*it)->inProgress() > 0) {
                ++it;
                continue;
            }
            ended.push_back(*it);
            m_finished += (*it)->counters();
            it = m_retired.erase(it);
        }
    }
    for (const std::pair<std::shared_ptr<GroupShard>, GroupOwnership>& change : changes)
        change.first->setOwnership(change.second);
    for (const std::shared_ptr<GroupShard>& shard : started)
        shard->start();
    for (const std::shared_ptr<GroupShard>& shard : ended)
        shard->stop();
}

pplx::task<MemberAnswer> GroupController::execute(MemberRequest request)
{
    const std::shared_ptr<GroupShard> shard = find(request.group);
    if (shard)
        return shard->execute(std::move(request));
    const std::shared_ptr<const ConfigSnapshot> config = m_config->current();
    const bool known = config && config->groups.find(request.group) != config->groups.end();
    return pplx::task_from_result(refusal(known ? ResultCode::NotOwner : ResultCode::GroupUnknown));
}

pplx::task<MemberAnswer> GroupController::outcome(std::string_view group, std::string_view requestId, Duration timeLeft)
{
    const std::shared_ptr<GroupShard> shard = find(group);
    if (!shard)
        return pplx::task_from_result(refusal(ResultCode::NotOwner));
    return shard->outcome(requestId, timeLeft);
}

void GroupController::cancelQueued(std::string_view customer, std::string_view keyId)
{
    for (const std::shared_ptr<GroupShard>& shard : shards())
        shard->cancelQueued(customer, keyId);
}

void GroupController::notePeerContact(std::string_view group, std::string_view host, Duration age)
{
    const std::shared_ptr<GroupShard> shard = find(group);
    if (shard)
        shard->notePeerContact(host, age);
}

std::optional<Duration> GroupController::primaryContactAge(std::string_view group) const
{
    const std::shared_ptr<GroupShard> shard = find(group);
    return shard ? std::optional<Duration>(shard->primaryContactAge()) : std::nullopt;
}

std::vector<std::string> GroupController::groups() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<std::string> names;
    for (const std::pair<const std::string, std::shared_ptr<GroupShard>>& entry : m_shards)
        names.push_back(entry.first);
    return names;
}

std::optional<ReadChoice> GroupController::chooseMember(std::string_view group, const ReadRequirement& need) const
{
    const std::shared_ptr<GroupShard> shard = find(group);
    return shard ? std::optional<ReadChoice>(shard->chooseMember(need)) : std::nullopt;
}

std::vector<GroupReport> GroupController::status() const
{
    std::vector<GroupReport> reports;
    for (const std::shared_ptr<GroupShard>& shard : shards())
        reports.push_back(shard->report());
    return reports;
}

GroupCounters GroupController::counters() const
{
    GroupCounters sum;
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        sum = m_finished;
    }
    for (const std::shared_ptr<GroupShard>& shard : shards())
        sum += shard->counters();
    return sum;
}

size_t GroupController::inProgress() const
{
    size_t n = 0;
    for (const std::shared_ptr<GroupShard>& shard : shards())
        n += shard->inProgress();
    return n;
}

std::shared_ptr<GroupShard> GroupController::find(std::string_view group) const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const std::map<std::string, std::shared_ptr<GroupShard>, std::less<>>::const_iterator it = m_shards.find(group);
    return it == m_shards.end() ? nullptr : it->second;
}

std::vector<std::shared_ptr<GroupShard>> GroupController::shards() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<std::shared_ptr<GroupShard>> all(m_retired);
    for (const std::pair<const std::string, std::shared_ptr<GroupShard>>& entry : m_shards)
        all.push_back(entry.second);
    return all;
}

} // namespace plantainwall

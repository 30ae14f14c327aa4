#include "controller_limits.h"
#include "placement.h"

namespace plantainwall {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(10);
    constexpr Duration refreshInterval = std::chrono::milliseconds(250);
    constexpr Duration callTimeout = std::chrono::seconds(1);
    // Requests of one customer that wait for a loan; further ones are refused at once.
    constexpr size_t maxWaiting = 1024;

} // namespace

LimitsController::LimitsController(const Settings& settings, uint64_t incarnation, PeerCall call,
    std::shared_ptr<Store> store, std::shared_ptr<const ConfigView> config,
    std::shared_ptr<const MembershipController> membership, std::shared_ptr<Scheduler> scheduler)
    : m_settings(settings.limit)
    , m_self(settings.host)
    , m_incarnation(incarnation)
    , m_call(std::move(call))
    , m_store(std::move(store))
    , m_config(std::move(config))
    , m_membership(std::move(membership))
    , m_scheduler(std::move(scheduler))
    , m_rateSlices(settings.limit, settings.host, incarnation, plantainwall::now())
    , m_holders(std::make_shared<std::vector<std::string>>())
{
}

void LimitsController::start()
{
    refresh();
    every(tickInterval, &LimitsController::tickShares);
    every(refreshInterval, &LimitsController::refresh);
}

void LimitsController::every(Duration interval, void (LimitsController::*task)())
{
    m_scheduler->schedule(interval, [weak = weak_from_this(), interval, task] {
        if (std::shared_ptr<LimitsController> self = weak.lock()) {
            self->every(interval, task);
            (self.get()->*task)();
        }
    });
}

LimitsController::Shard& LimitsController::shardOf(std::string_view customer)
{
    return m_shards[std::hash<std::string_view> {}(customer) % shardCount];
}

LimitsController::Entry* LimitsController::findEntry(Shard& shard, std::string_view customer)
{
    const std::map<std::string, Entry, std::less<>>::iterator it = shard.customers.find(customer);
    return it == shard.customers.end() ? nullptr : &it->second;
}

std::string LimitsController::poolOf(std::string_view customer) const
{
    const std::shared_ptr<const std::vector<HostInfo>> hosts = m_membership->snapshot();
    const HostInfo* pool = Placement::hostFor(*hosts, "pool/" + std::string(customer));
    return pool ? pool->config.name : std::string();
}

std::shared_ptr<const std::vector<std::string>> LimitsController::holders() const
{
    std::lock_guard<std::mutex> lock(m_rateSliceMutex);
    return m_holders;
}

// Follows the configuration, the seats and the set of hosts that hold seats.
void LimitsController::refresh()
{
    stepRateSlices();
    const std::shared_ptr<const std::vector<HostInfo>> hosts = m_membership->snapshot();
    std::set<std::string> names;
    for (unsigned i = 0; i < m_settings.rateSlices; ++i) {
        if (const HostInfo* host = Placement::hostFor(*hosts, "seat/" + std::to_string(i)))
            names.insert(host->config.name);
    }
    const Instant now = plantainwall::now();
    OwnShare own;
    {
        std::lock_guard<std::mutex> lock(m_rateSliceMutex);
        m_holders = std::make_shared<std::vector<std::string>>(names.begin(), names.end());
        own = m_rateSlices.own(now);
    }
    const std::shared_ptr<const ConfigSnapshot> config = m_config->current();
    if (!config)
        return;
    for (const auto& [name, customer] : config->customers) {
        Shard& shard = shardOf(name);
        std::lock_guard<std::mutex> lock(shard.mutex);
        Entry& entry = shard.customers[name];
        if (!entry.share)
            entry.share = std::make_unique<CustomerShare>(m_settings, name, m_self, m_incarnation);
        if (entry.rate != customer.ratePerSecond || entry.burst != customer.burst) {
            entry.rate = customer.ratePerSecond;
            entry.burst = customer.burst;
            entry.share->share().setLimit(entry.rate, entry.burst, now);
        }
        entry.share->share().setOwn(own, now);
    }
}

void LimitsController::stepRateSlices()
{
    if (!m_store)
        return;
    std::optional<RateSliceAction> action;
    const std::shared_ptr<const std::vector<HostInfo>> hosts = m_membership->snapshot();
    {
        std::lock_guard<std::mutex> lock(m_rateSliceMutex);
        if (m_rateSliceCallPending)
            return;
        action = m_rateSlices.next(
            *hosts, [this](std::string_view host) { return m_membership->absentFor(host); }, plantainwall::now());
        m_rateSliceCallPending = action.has_value();
    }
    if (action)
        perform(*action);
}

void LimitsController::perform(const RateSliceAction& action)
{
    const Instant sent = plantainwall::now();
    const std::weak_ptr<LimitsController> weak = weak_from_this();
    // Runs report under the lock, or notes the failure, and goes on with the next call.
    const std::function<void(const std::function<void(RateSlices&)>&)> finish
        = [weak](const std::function<void(RateSlices&)>& report) {
              const std::shared_ptr<LimitsController> self = weak.lock();
              if (!self)
                  return;
              bool failed = false;
              {
                  std::lock_guard<std::mutex> lock(self->m_rateSliceMutex);
                  self->m_rateSliceCallPending = false;
                  try {
                      report(self->m_rateSlices);
                  } catch (const std::exception&) {
                      failed = true;
                      self->m_rateSlices.failed(plantainwall::now());
                  }
              }
              if (!failed)
                  self->stepRateSlices();
          };
    switch (action.kind) {
    case RateSliceAction::Kind::GrantLease:
        m_store->grantLease(m_settings.rateSliceLease).then([=](const pplx::task<std::string>& task) {
            finish([&](RateSlices& rateSlices) { rateSlices.leaseGranted(task.get(), sent); });
        });
        break;
    case RateSliceAction::Kind::RenewLease:
        m_store->renewLease(action.lease).then([=](const pplx::task<bool>& task) {
            finish([&](RateSlices& rateSlices) { rateSlices.leaseRenewed(task.get(), sent); });
        });
        break;
    case RateSliceAction::Kind::List:
        m_store->list(action.key).then([=](const pplx::task<StoreListing>& task) {
            finish([&](RateSlices& rateSlices) { rateSlices.listed(task.get()); });
        });
        break;
    default:
        m_store->compareAndSwap(action.key, action.expectedRevision, action.value, action.lease)
            .then([=](const pplx::task<SwapResult>& task) {
                finish([&](RateSlices& rateSlices) { rateSlices.swapped(action, task.get()); });
            });
    }
}

bool LimitsController::tryAdmit(std::string_view customer)
{
    Shard& shard = shardOf(customer);
    std::lock_guard<std::mutex> lock(shard.mutex);
    Entry* entry = findEntry(shard, customer);
    return entry && entry->waiting.empty() && entry->share->share().tryAdmit(plantainwall::now());
}

OwnShare LimitsController::rateSliceShare() const
{
    std::lock_guard<std::mutex> lock(m_rateSliceMutex);
    return m_rateSlices.own(plantainwall::now());
}

ShareUnits LimitsController::usable(std::string_view customer)
{
    Shard& shard = shardOf(customer);
    std::lock_guard<std::mutex> lock(shard.mutex);
    Entry* entry = findEntry(shard, customer);
    return entry ? entry->share->share().usable(plantainwall::now()) : 0;
}

void LimitsController::append(Output& output, std::vector<ShareMessage> messages)
{
    for (ShareMessage& message : messages)
        output.messages.push_back(std::move(message));
}

// Admits waiting requests in order while there are tokens and refuses those whose time is over. A loan that is on its
// way is waited for: the time of its answer says nothing about the customer's rate.
void LimitsController::serve(Entry& entry, Instant now, Output& output)
{
    RateShare& share = entry.share->share();
    while (!entry.waiting.empty()) {
        Waiting& first = entry.waiting.front();
        const bool admitted = share.tryAdmit(now);
        const bool late = first.deadline < now || (first.until < now && !share.awaitsLoan(first.until, now));
        if (!admitted && !late)
            return;
        output.finished.push_back({ std::move(first.done), admitted, admitted ? Duration(0) : share.retryAfter(now) });
        entry.waiting.pop_front();
    }
}

// After a loan has arrived its share needs time to make tokens if it came without any.
void LimitsController::extendWaits(Entry& entry, Instant now) const
{
    for (Waiting& waiting : entry.waiting)
        waiting.until = std::max(waiting.until, std::min(now + m_settings.maxLoanWait, waiting.deadline));
}

void LimitsController::admit(std::string_view customer, Instant deadline, Done done)
{
    Output output;
    const Instant now = plantainwall::now();
    Shard& shard = shardOf(customer);
    {
        std::lock_guard<std::mutex> lock(shard.mutex);
        Entry* entry = findEntry(shard, customer);
        if (entry && entry->waiting.size() < maxWaiting) {
            entry->waiting.push_back({ std::min(now + m_settings.maxLoanWait, deadline), deadline, std::move(done) });
            serve(*entry, now, output);
        } else {
            // A customer that is not configured has no rate.
            output.finished.push_back({ std::move(done), false, std::chrono::seconds(1) });
        }
        if (entry && !entry->waiting.empty())
            append(output, entry->share->tick(poolOf(customer), *holders(), now));
    }
    deliver(std::move(output));
}

void LimitsController::tickShares()
{
    const std::shared_ptr<const std::vector<std::string>> rateSliceHolders = holders();
    const Instant now = plantainwall::now();
    for (Shard& shard : m_shards) {
        Output output;
        {
            std::lock_guard<std::mutex> lock(shard.mutex);
            for (auto& [name, entry] : shard.customers) {
                if (!entry.share || (entry.waiting.empty() && entry.share->idle(now)))
                    continue;
                serve(entry, now, output);
                append(output, entry.share->tick(poolOf(name), *rateSliceHolders, now));
            }
        }
        deliver(std::move(output));
    }
}

std::string LimitsController::handleShares(const std::string& params)
{
    Output output;
    const std::shared_ptr<const std::vector<std::string>> rateSliceHolders = holders();
    for (const ShareMessage& message : decodeShares(params)) {
        if (message.to != m_self)
            continue;
        const Instant now = plantainwall::now();
        Shard& shard = shardOf(message.customer);
        std::lock_guard<std::mutex> lock(shard.mutex);
        Entry* entry = findEntry(shard, message.customer);
        if (!entry)
            continue;
        append(output, entry->share->receive(message, *rateSliceHolders, now));
        if (message.kind == ShareMessageKind::Grant && message.units > 0)
            extendWaits(*entry, now);
        serve(*entry, now, output);
    }
    deliver(std::move(output));
    return "true";
}

void LimitsController::deliver(Output output)
{
    for (const Finished& request : output.finished)
        request.done(request.admitted, request.retryAfter);
    if (output.messages.empty())
        return;
    std::map<std::string, std::vector<ShareMessage>> byHost;
    for (ShareMessage& message : output.messages)
        byHost[message.to].push_back(std::move(message));
    const std::shared_ptr<const std::vector<HostInfo>> hosts = m_membership->snapshot();
    for (const HostInfo& host : *hosts) {
        const std::map<std::string, std::vector<ShareMessage>>::iterator it = byHost.find(host.config.name);
        if (it == byHost.end() || host.config.peerAddress.empty())
            continue;
        m_call(host.config.peerAddress, shareMethod, encodeShares(it->second), callTimeout)
            .then([](const pplx::task<std::string>& task) {
                try {
                    task.get();
                } catch (const std::exception&) {
                    // Share messages may be lost: loans end by themselves and requests are repeated.
                    return;
                }
            });
    }
}

} // namespace plantainwall

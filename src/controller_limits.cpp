#include "controller_limits.h"
#include "placement.h"

namespace plantainwall {

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(10);
    constexpr Duration refreshInterval = std::chrono::milliseconds(250);
    constexpr Duration shareCallTimeout = std::chrono::seconds(1);
    // Bounds the requests of one customer that wait for a loan; further requests are refused immediately.
    constexpr size_t maxWaitingPerCustomer = 1024;

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
    , m_rateSliceHolders(std::make_shared<std::vector<std::string>>())
{
}

void LimitsController::start()
{
    refresh();
    runEvery(tickInterval, &LimitsController::tickShares);
    runEvery(refreshInterval, &LimitsController::refresh);
}

void LimitsController::runEvery(Duration interval, void (LimitsController::*task)())
{
    m_scheduler->schedule(interval, [weak = weak_from_this(), interval, task] {
        if (std::shared_ptr<LimitsController> self = weak.lock()) {
            self->runEvery(interval, task);
            (self.get()->*task)();
        }
    });
}

LimitsController::Shard& LimitsController::shardOf(std::string_view customer)
{
    return m_shards[std::hash<std::string_view> {}(customer) % shardCount];
}

LimitsController::CustomerState* LimitsController::findCustomer(Shard& shard, std::string_view customer)
{
    const std::map<std::string, CustomerState, std::less<>>::iterator it = shard.customers.find(customer);
    return it == shard.customers.end() ? nullptr : &it->second;
}

std::string LimitsController::poolHostOf(std::string_view customer) const
{
    const std::shared_ptr<const std::vector<HostInfo>> hosts = m_membership->snapshot();
    const HostInfo* pool = Placement::hostFor(*hosts, "pool/" + std::string(customer));
    return pool ? pool->config.name : std::string();
}

std::shared_ptr<const std::vector<std::string>> LimitsController::sliceHolders() const
{
    std::lock_guard<std::mutex> lock(m_rateSliceMutex);
    return m_rateSliceHolders;
}

// Applies the current configuration, the rate slices of this host and the set of hosts that hold rate slices.
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
        m_rateSliceHolders = std::make_shared<std::vector<std::string>>(names.begin(), names.end());
        own = m_rateSlices.own(now);
    }
    const std::shared_ptr<const ConfigSnapshot> config = m_config->current();
    if (!config)
        return;
    for (const auto& [name, customer] : config->customers) {
        Shard& shard = shardOf(name);
        std::lock_guard<std::mutex> lock(shard.mutex);
        CustomerState& state = shard.customers[name];
        if (!state.share)
            state.share = std::make_unique<CustomerShare>(m_settings, name, m_self, m_incarnation);
        if (state.rate != customer.ratePerSecond || state.burst != customer.burst) {
            state.rate = customer.ratePerSecond;
            state.burst = customer.burst;
            state.share->share().setLimit(state.rate, state.burst, now);
        }
        state.share->share().setOwnShare(own, now);
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
    // Passes the result of the call to RateSlices under the lock, or records the failure, and starts the next call.
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
    CustomerState* state = findCustomer(shard, customer);
    return state && state->waiting.empty() && state->share->share().tryAdmit(plantainwall::now());
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
    CustomerState* state = findCustomer(shard, customer);
    return state ? state->share->share().usable(plantainwall::now()) : 0;
}

void LimitsController::append(Effects& effects, std::vector<ShareMessage> messages)
{
    for (ShareMessage& message : messages)
        effects.messages.push_back(std::move(message));
}

// Admits waiting requests in order while there are tokens and refuses those whose wait is over. A request is not
// refused while a loan request is unanswered, because a slow answer does not mean that the customer's rate is used up.
void LimitsController::decideWaiting(CustomerState& state, Instant now, Effects& effects)
{
    RateShare& share = state.share->share();
    while (!state.waiting.empty()) {
        WaitingRequest& first = state.waiting.front();
        const bool admitted = share.tryAdmit(now);
        const bool expired
            = first.deadline < now || (first.loanWaitUntil < now && !share.awaitsLoan(first.loanWaitUntil, now));
        if (!admitted && !expired)
            return;
        effects.results.push_back(
            { std::move(first.callback), admitted, admitted ? Duration(0) : share.retryAfter(now) });
        state.waiting.pop_front();
    }
}

// Extends the waits after a loan has arrived, because a loan without tokens needs time to accrue some.
void LimitsController::extendLoanWaits(CustomerState& state, Instant now) const
{
    for (WaitingRequest& waiting : state.waiting)
        waiting.loanWaitUntil
            = std::max(waiting.loanWaitUntil, std::min(now + m_settings.maxLoanWait, waiting.deadline));
}

void LimitsController::admit(std::string_view customer, Instant deadline, AdmitCallback callback)
{
    Effects effects;
    const Instant now = plantainwall::now();
    Shard& shard = shardOf(customer);
    {
        std::lock_guard<std::mutex> lock(shard.mutex);
        CustomerState* state = findCustomer(shard, customer);
        if (state && state->waiting.size() < maxWaitingPerCustomer) {
            state->waiting.push_back(
                { std::min(now + m_settings.maxLoanWait, deadline), deadline, std::move(callback) });
            decideWaiting(*state, now, effects);
        } else {
            // The customer has no configured rate, or too many of its requests are waiting.
            effects.results.push_back({ std::move(callback), false, std::chrono::seconds(1) });
        }
        if (state && !state->waiting.empty())
            append(effects, state->share->tick(poolHostOf(customer), *sliceHolders(), now));
    }
    deliver(std::move(effects));
}

void LimitsController::tickShares()
{
    const std::shared_ptr<const std::vector<std::string>> rateSliceHolders = sliceHolders();
    const Instant now = plantainwall::now();
    for (Shard& shard : m_shards) {
        Effects effects;
        {
            std::lock_guard<std::mutex> lock(shard.mutex);
            for (auto& [name, state] : shard.customers) {
                if (!state.share || (state.waiting.empty() && state.share->idle(now)))
                    continue;
                decideWaiting(state, now, effects);
                append(effects, state.share->tick(poolHostOf(name), *rateSliceHolders, now));
            }
        }
        deliver(std::move(effects));
    }
}

std::string LimitsController::handleShares(const std::string& params)
{
    Effects effects;
    const std::shared_ptr<const std::vector<std::string>> rateSliceHolders = sliceHolders();
    for (const ShareMessage& message : decodeShares(params)) {
        if (message.to != m_self)
            continue;
        const Instant now = plantainwall::now();
        Shard& shard = shardOf(message.customer);
        std::lock_guard<std::mutex> lock(shard.mutex);
        CustomerState* state = findCustomer(shard, message.customer);
        if (!state)
            continue;
        append(effects, state->share->receive(message, *rateSliceHolders, now));
        if (message.kind == ShareMessageKind::Grant && message.units > 0)
            extendLoanWaits(*state, now);
        decideWaiting(*state, now, effects);
    }
    deliver(std::move(effects));
    return "true";
}

void LimitsController::deliver(Effects effects)
{
    for (const AdmitResult& request : effects.results)
        request.callback(request.admitted, request.retryAfter);
    if (effects.messages.empty())
        return;
    std::map<std::string, std::vector<ShareMessage>> byHost;
    for (ShareMessage& message : effects.messages)
        byHost[message.to].push_back(std::move(message));
    const std::shared_ptr<const std::vector<HostInfo>> hosts = m_membership->snapshot();
    for (const HostInfo& host : *hosts) {
        const std::map<std::string, std::vector<ShareMessage>>::iterator it = byHost.find(host.config.name);
        if (it == byHost.end() || host.config.peerAddress.empty())
            continue;
        m_call(host.config.peerAddress, shareMethod, encodeShares(it->second), shareCallTimeout)
            .then([](const pplx::task<std::string>& task) {
                try {
                    task.get();
                } catch (const std::exception&) {
                    // Share messages may be lost: loans expire by themselves and loan requests are retried.
                    return;
                }
            });
    }
}

} // namespace plantainwall

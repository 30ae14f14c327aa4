#include "filter_key.h"
#include "key_digest.h"

namespace plantainwall {

namespace {

    bool isOpen(const RequestContext& context)
    {
        if (!context.readOnly || context.outcomeLookup || context.step != TransactionStep::None)
            return false;
        const auto group = context.config->groups.find(context.group);
        if (group == context.config->groups.end())
            return false;
        const auto service = context.config->services.find(group->second.service);
        return service != context.config->services.end() && service->second.openReads;
    }

    /// Returns whether the key also occurs in a part of the request that would be sent to databases or peers or be
    /// logged. Wipes such parts where they appear in logs or answers.
    bool wipeRepeatedKey(RequestContext& context, const std::string& key)
    {
        bool found = false;
        for (std::string* part : { &context.group, &context.requestId, &context.transaction }) {
            if (part->find(key) == std::string::npos)
                continue;
            wipe(*part);
            found = true;
        }
        for (const std::string& statement : context.statements)
            found = found || statement.find(key) != std::string::npos;
        if (context.traceParent.find(key) != std::string::npos)
            wipe(context.traceParent);
        return found;
    }

} // namespace

bool isWithdrawn(const ConfigSnapshot& config, std::string_view customer, std::string_view keyId)
{
    const auto owner = config.customers.find(customer);
    if (owner == config.customers.end())
        return false;
    const auto key = owner->second.keys.find(std::string(keyId));
    return key != owner->second.keys.end() && key->second.withdrawn;
}

KeyFilter::KeyFilter(std::shared_ptr<const ConfigView> config)
    : m_config(std::move(config))
{
}

std::shared_ptr<const KeyFilter::KeyIndex> KeyFilter::indexOf(const std::shared_ptr<const ConfigSnapshot>& snapshot)
{
    std::shared_ptr<const KeyIndex> index = std::atomic_load(&m_index);
    if (index && index->snapshot == snapshot)
        return index;
    std::shared_ptr<KeyIndex> built = std::make_shared<KeyIndex>();
    built->snapshot = snapshot;
    for (const std::pair<const std::string, CustomerConfig>& customer : snapshot->customers) {
        for (const std::pair<const std::string, KeyConfig>& key : customer.second.keys)
            built->keys.emplace(key.first, KeyOwner { customer.first, key.second });
    }
    // A request that still uses an earlier snapshot must not replace the index of the current one.
    if (!index || index->snapshot->revision <= snapshot->revision)
        std::atomic_store(&m_index, std::shared_ptr<const KeyIndex>(built));
    return built;
}

ResultCode KeyFilter::identify(RequestContext& context, const std::string& key)
{
    const std::shared_ptr<const KeyIndex> index = indexOf(context.config);
    const std::string digest = keyDigest(key);
    const std::optional<KeyParts> parts = splitKey(keyPrefix, key);
    const std::string keyId(parts ? parts->id : std::string_view());
    const KeyOwner* owner = nullptr;
    // An unknown key id also costs one digest and one comparison, so that timing does not reveal which ids exist.
    size_t compared = 0;
    const auto range = index->keys.equal_range(keyId);
    for (auto it = range.first; it != range.second; ++it, ++compared) {
        if (digestsEqual(it->second.key.digest, digest))
            owner = &it->second;
    }
    if (compared == 0 && digestsEqual(absentDigest(), digest))
        return ResultCode::KeyInvalid;
    if (!owner)
        return ResultCode::KeyInvalid;
    if (owner->key.withdrawn)
        return ResultCode::KeyWithdrawn;
    context.customer = owner->customer;
    context.keyId = keyId;
    return ResultCode::Ok;
}

void KeyFilter::handle(const RequestContextPtr& context, FilterChain& chain)
{
    std::string key = std::move(context->key);
    wipe(context->key);
    if (!context->config)
        context->config = m_config->current();
    if (!context->config) {
        wipe(key);
        context->finish(refusal(ResultCode::ConfigurationMissing));
        return;
    }
    if (key.empty()) {
        if (isOpen(*context))
            chain.next(context);
        else
            context->finish(refusal(ResultCode::KeyMissing));
        return;
    }
    const ResultCode code = identify(*context, key);
    const bool known = code == ResultCode::Ok || code == ResultCode::KeyWithdrawn;
    if (known && wipeRepeatedKey(*context, key) && code == ResultCode::Ok) {
        wipe(key);
        context->finish(refusal(ResultCode::BadRequest, "the key may only stand in the Authorization header"));
        return;
    }
    wipe(key);
    if (code != ResultCode::Ok) {
        context->finish(refusal(code));
        return;
    }
    const CustomerConfig& customer = context->config->customers.find(context->customer)->second;
    if (customer.cutoffMode == CutoffMode::Refuse && m_config->age(context->arrived) > customer.cutoffMaxAge) {
        context->finish(refusal(ResultCode::ConfigurationTooOld));
        return;
    }
    chain.next(context);
}

} // namespace plantainwall

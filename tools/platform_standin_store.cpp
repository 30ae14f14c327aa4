#include "platform_standin_store.h"

namespace plantainwall {

namespace {

    const std::chrono::milliseconds leaseSweepInterval(10);

    Duration milliseconds(double ms) { return Duration(static_cast<int64_t>(ms * 1000)); }

    bool startsWith(const std::string& text, const std::string& prefix)
    {
        return text.compare(0, prefix.size(), prefix) == 0;
    }

    value entryObject(const std::string& key, const std::optional<std::string>& text, uint64_t revision)
    {
        return makeObject(
            { { "key", value::string(key) }, { "value", optionalValue(text) }, { "revision", revision } });
    }

    value errorObject(const char* error) { return makeObject({ { "error", value::string(error) } }); }

} // namespace

PlatformStore::PlatformStore(const PlatformOptions& options, std::shared_ptr<Scheduler> scheduler)
    : m_options(options)
    , m_scheduler(std::move(scheduler))
{
    m_scheduler->schedule(leaseSweepInterval, [this] { expireLeases(); });
}

void PlatformStore::change(const std::string& key, const std::optional<std::string>& text, const std::string& lease)
{
    ++m_revision;
    m_changes.push_back({ key, text, m_revision });
    if (text)
        m_items[key] = { *text, m_revision, lease };
    else
        m_items.erase(key);
    for (std::map<uint64_t, Watch>::iterator it = m_watches.begin(); it != m_watches.end();) {
        if (!startsWith(key, it->second.prefix)) {
            ++it;
            continue;
        }
        it->second.reply(200, listing(changesAfter(it->second.prefix, it->second.after)));
        it = m_watches.erase(it);
    }
}

value PlatformStore::listing(const std::vector<value>& entries) const
{
    return makeObject({ { "revision", m_revision }, { "entries", value::array(entries) } });
}

std::vector<value> PlatformStore::changesAfter(const std::string& prefix, uint64_t after) const
{
    std::vector<value> entries;
    for (uint64_t i = after; i < m_changes.size(); ++i) {
        const Change& change = m_changes[i];
        if (startsWith(change.key, prefix))
            entries.push_back(entryObject(change.key, change.text, change.revision));
    }
    return entries;
}

void PlatformStore::put(const std::string& key, const value& body, const Reply& reply)
{
    const std::string lease = stringField(body, "lease");
    std::lock_guard<std::mutex> lock(m_mutex);
    const std::map<std::string, Item>::const_iterator it = m_items.find(key);
    const uint64_t current = it == m_items.end() ? 0 : it->second.revision;
    if (body.has_field("expected_revision") && integerField(body, "expected_revision") != current) {
        reply(409, makeObject({ { "applied", value::boolean(false) }, { "revision", current } }));
        return;
    }
    if (!lease.empty() && m_leases.count(lease) == 0) {
        reply(404, errorObject("lease_not_found"));
        return;
    }
    const value& text = body.at("value");
    // Deleting an absent key changes nothing.
    if (!text.is_null() || current != 0)
        change(key, text.is_null() ? std::optional<std::string>() : text.as_string(), lease);
    reply(200, makeObject({ { "applied", value::boolean(true) }, { "revision", m_revision } }));
}

void PlatformStore::get(const std::string& key, const Reply& reply)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const std::map<std::string, Item>::const_iterator it = m_items.find(key);
    if (it == m_items.end())
        reply(404, errorObject("key_not_found"));
    else
        reply(200, entryObject(key, it->second.text, it->second.revision));
}

void PlatformStore::list(const std::string& prefix, const Reply& reply)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<value> entries;
    for (std::map<std::string, Item>::const_iterator it = m_items.lower_bound(prefix);
         it != m_items.end() && startsWith(it->first, prefix); ++it)
        entries.push_back(entryObject(it->first, it->second.text, it->second.revision));
    reply(200, listing(entries));
}

void PlatformStore::watch(const std::string& prefix, uint64_t after, double waitMs, const Reply& reply)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const std::vector<value> entries = changesAfter(prefix, after);
    if (!entries.empty() || waitMs <= 0) {
        reply(200, listing(entries));
        return;
    }
    const uint64_t id = m_nextWatch++;
    m_watches[id] = { prefix, after, reply };
    m_scheduler->schedule(milliseconds(waitMs), [this, id] {
        std::lock_guard<std::mutex> timerLock(m_mutex);
        const std::map<uint64_t, Watch>::iterator it = m_watches.find(id);
        if (it == m_watches.end())
            return;
        it->second.reply(200, listing({}));
        m_watches.erase(it);
    });
}

void PlatformStore::grantLease(double ttlMs, const Reply& reply)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const std::string id = "lease-" + std::to_string(m_nextLease++);
    m_leases[id] = { ttlMs, std::chrono::steady_clock::now() + milliseconds(ttlMs) };
    reply(200, makeObject({ { "lease", value::string(id) } }));
}

void PlatformStore::renewLease(const std::string& lease, const Reply& reply)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    const std::map<std::string, Lease>::iterator it = m_leases.find(lease);
    if (it == m_leases.end() || it->second.expires <= std::chrono::steady_clock::now()) {
        reply(404, errorObject("lease_not_found"));
        return;
    }
    it->second.expires = std::chrono::steady_clock::now() + milliseconds(it->second.ttlMs);
    reply(200, makeObject({ { "lease", value::string(lease) } }));
}

void PlatformStore::endLease(const std::string& lease, const Reply& reply)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    if (m_leases.erase(lease) == 0) {
        reply(404, errorObject("lease_not_found"));
        return;
    }
    deleteLeased(lease);
    reply(200, makeObject({ { "lease", value::string(lease) } }));
}

void PlatformStore::deleteLeased(const std::string& lease)
{
    std::vector<std::string> keys;
    for (const std::pair<const std::string, Item>& item : m_items) {
        if (item.second.lease == lease)
            keys.push_back(item.first);
    }
    for (const std::string& key : keys)
        change(key, {}, {});
}

void PlatformStore::expireLeases()
{
    {
        std::lock_guard<std::mutex> lock(m_mutex);
        const SteadyTime now = std::chrono::steady_clock::now();
        for (std::map<std::string, Lease>::iterator it = m_leases.begin(); it != m_leases.end();) {
            if (it->second.expires > now) {
                ++it;
                continue;
            }
            const std::string lease = it->first;
            it = m_leases.erase(it);
            deleteLeased(lease);
        }
    }
    m_scheduler->schedule(leaseSweepInterval, [this] { expireLeases(); });
}

void PlatformStore::hosts(const Reply& reply)
{
    std::lock_guard<std::mutex> lock(m_mutex);
    std::vector<value> entries;
    for (const std::pair<const std::string, std::string>& host : m_hosts)
        entries.push_back(
            makeObject({ { "name", value::string(host.first) }, { "state", value::string(host.second) } }));
    reply(200, makeObject({ { "hosts", value::array(entries) } }));
}

void PlatformStore::setHost(const std::string& name, const std::string& state, const Reply& reply)
{
    if (name.empty() || (state != "live" && state != "leaving" && state != "gone"))
        throw std::invalid_argument("host \"" + name + "\": state \"" + state + "\" is not live, leaving or gone");
    const auto show = [this, name, state] {
        std::lock_guard<std::mutex> lock(m_mutex);
        if (state == "gone")
            m_hosts.erase(name);
        else
            m_hosts[name] = state;
    };
    if (m_options.listLagMs > 0)
        m_scheduler->schedule(milliseconds(m_options.listLagMs), show);
    else
        show();
    reply(200, value::object());
}

size_t PlatformStore::watchesWaiting() const
{
    std::lock_guard<std::mutex> lock(m_mutex);
    return m_watches.size();
}

} // namespace plantainwall

#include "replica_record.h"
#include "log_event.h"
#include "store_follower.h"
#include <algorithm>
#include <cpprest/json.h>
#include <stdexcept>
#include <tuple>

namespace plantainwall {

namespace {

    using Json = web::json::value;

    uint64_t unsignedFrom(const Json& json)
    {
        if (!json.as_number().is_uint64())
            throw std::invalid_argument("not an unsigned integer");
        return json.as_number().to_uint64();
    }

    ServerEntry entryFrom(const std::string& service, const Json& json)
    {
        ServerEntry entry;
        entry.service = service;
        entry.id = json.at("id").as_string();
        entry.address = json.at("address").as_string();
        entry.dataCentre = json.at("data_centre").as_string();
        entry.startedUnixMs = unsignedFrom(json.at("started"));
        if (!json.at("slots").as_number().is_uint32())
            throw std::invalid_argument("slots out of range");
        entry.slots = json.at("slots").as_number().to_uint32();
        entry.draining = json.has_field("draining") && json.at("draining").as_bool();
        entry.primary = json.has_field("primary") && json.at("primary").as_bool();
        if (entry.id.empty() || entry.address.empty())
            throw std::invalid_argument("a server without id or address");
        return entry;
    }

    /// Start times tell processes apart that had the same id.
    std::tuple<std::string, uint64_t> processOf(const ServerEntry& entry) { return { entry.id, entry.startedUnixMs }; }

    /// Compares what a record contains.
    bool sameContent(const ServerEntry& a, const ServerEntry& b)
    {
        return a.id == b.id && a.address == b.address && a.dataCentre == b.dataCentre && a.slots == b.slots
            && a.draining == b.draining && a.primary == b.primary && a.startedUnixMs == b.startedUnixMs;
    }

    bool sameContent(const std::vector<ServerEntry>& recorded, const std::vector<const ServerEntry*>& known)
    {
        return std::equal(recorded.begin(), recorded.end(), known.begin(), known.end(),
            [](const ServerEntry& a, const ServerEntry* b) { return sameContent(a, *b); });
    }

    bool contains(const std::vector<ServerEntry>& servers, const ServerEntry& server)
    {
        return std::any_of(servers.begin(), servers.end(),
            [&](const ServerEntry& entry) { return processOf(entry) == processOf(server); });
    }

} // namespace

const std::string ReplicaRecords::prefix = std::string(StoreFollower::ownPrefix) + "replicas/";

std::string encodeReplicaRecord(gsl::span<const ServerEntry* const> servers)
{
    std::vector<Json> list;
    for (const ServerEntry* const entry : servers) {
        Json json = Json::object();
        json["id"] = Json::string(entry->id);
        json["address"] = Json::string(entry->address);
        json["data_centre"] = Json::string(entry->dataCentre);
        json["started"] = Json::number(entry->startedUnixMs);
        json["slots"] = Json::number(static_cast<uint32_t>(entry->slots));
        if (entry->draining)
            json["draining"] = Json::boolean(true);
        if (entry->primary)
            json["primary"] = Json::boolean(true);
        list.push_back(std::move(json));
    }
    Json record = Json::object();
    record["servers"] = Json::array(std::move(list));
    return record.serialize();
}

std::vector<ServerEntry> decodeReplicaRecord(const std::string& service, const std::string& value)
{
    const Json record = Json::parse(value);
    std::vector<ServerEntry> servers;
    for (const Json& json : record.at("servers").as_array())
        servers.push_back(entryFrom(service, json));
    std::sort(servers.begin(), servers.end(),
        [](const ServerEntry& a, const ServerEntry& b) { return processOf(a) < processOf(b); });
    const auto same = [](const ServerEntry& a, const ServerEntry& b) { return processOf(a) == processOf(b); };
    if (std::adjacent_find(servers.begin(), servers.end(), same) != servers.end())
        throw std::invalid_argument("two servers with the same id and start");
    return servers;
}

size_t ReplicaRecords::itemsRead(const std::map<std::string, StoreItem>& items,
    const GatewayConfiguration& configuration, bool coordinator, ServerDirectory& directory, Instant now)
{
    for (auto& [service, record] : m_records)
        record.present = false;
    size_t n = 0;
    for (auto it = items.lower_bound(prefix); it != items.end() && it->first.rfind(prefix, 0) == 0; ++it) {
        const std::string service = it->first.substr(prefix.size());
        if (configuration.services.count(service) == 0)
            continue;
        Record& record = m_records[service];
        record.present = true;
        record.absentSince.reset();
        if (record.value == it->second.value) {
            record.revision = record.malformed ? record.revision : it->second.revision;
            continue;
        }
        apply(it->second, service, record, coordinator, directory, now);
        ++n;
    }
    for (auto it = m_records.begin(); it != m_records.end();) {
        Record& record = it->second;
        // The item of a service that is configured again later is applied again.
        if (configuration.services.count(it->first) == 0 && !record.writing) {
            it = m_records.erase(it);
            continue;
        }
        if (!record.present) {
            record.value.reset();
            record.malformed = false;
            if (!record.absentSince)
                record.absentSince = now;
        }
        ++it;
    }
    return n;
}

void ReplicaRecords::apply(const StoreItem& item, const std::string& service, Record& record, bool coordinator,
    ServerDirectory& directory, Instant now)
{
    record.value = item.value;
    std::vector<ServerEntry> servers;
    try {
        servers = decodeReplicaRecord(service, item.value);
        record.malformed = false;
    } catch (const std::exception& error) {
        record.malformed = true;
        logEvent(LogEvent::StoreItemRejected,
            { { "key", item.key }, { "revision", item.revision }, { "reason", error.what() } });
        return;
    }
    // After the restoration of a copy the item may lack servers that were added since.
    if (!coordinator && record.revision && item.revision > *record.revision) {
        for (const ServerEntry& entry : record.servers) {
            if (!contains(servers, entry))
                directory.noteSettled(entry.id, entry.startedUnixMs, now);
        }
    }
    record.revision = item.revision;
    record.servers = std::move(servers);
    // The coordinator may have dropped a server between its write and the reading of it.
    if (coordinator && record.ownWrite && record.ownWrite->value == item.value)
        return;
    for (const ServerEntry& entry : record.servers)
        directory.addLapsed(entry, now);
}

void ReplicaRecords::storeRestored()
{
    for (auto& [service, record] : m_records)
        record.revision.reset();
}

std::vector<StoreWrite> ReplicaRecords::due(const std::map<std::string, StoreItem>& items,
    const GatewayConfiguration& configuration, const ServerDirectory& directory, Instant now)
{
    std::vector<StoreWrite> writes;
    if (now < m_checkAt)
        return writes;
    m_checkAt = now + m_settings.checkInterval;
    const std::map<std::string, std::vector<const ServerEntry*>> known = directory.replicas();
    for (const auto& [service, configured] : configuration.services) {
        if (m_writesUnderWay >= m_settings.maxWritesUnderWay)
            break;
        Record& record = m_records[service];
        if (record.writing || now < record.noWriteBefore)
            continue;
        const std::string key = prefix + service;
        const auto item = items.find(key);
        const uint64_t revision = item == items.end() ? 0 : item->second.revision;
        if (record.ownWrite && record.ownWrite->expectedRevision != revision)
            record.ownWrite.reset();
        if (record.ownWrite && now < record.ownWriteUntil)
            continue;
        const auto found = known.find(service);
        std::vector<const ServerEntry*> servers
            = found == known.end() ? std::vector<const ServerEntry*>() : found->second;
        // Such a server cannot be asked, and its record would count as malformed.
        const auto unusable = [](const ServerEntry* entry) { return entry->id.empty() || entry->address.empty(); };
        servers.erase(std::remove_if(servers.begin(), servers.end(), unusable), servers.end());
        const bool same
            = item == items.end() ? servers.empty() : !record.malformed && sameContent(record.servers, servers);
        if (same)
            continue;
        StoreWrite write;
        write.key = key;
        write.value = encodeReplicaRecord(servers);
        write.expectedRevision = revision;
        record.writing = true;
        record.ownWrite = write;
        ++m_writesUnderWay;
        writes.push_back(std::move(write));
    }
    return writes;
}

void ReplicaRecords::written(const std::string& key, StoreOutcome outcome, Instant now)
{
    --m_writesUnderWay;
    const auto it = m_records.find(key.substr(prefix.size()));
    if (it == m_records.end())
        return;
    it->second.writing = false;
    it->second.noWriteBefore = now + m_settings.writePause;
    // A write without an answer may still be carried out, and is then read back as an own one too.
    it->second.ownWriteUntil = outcome == StoreOutcome::Ok ? now + m_settings.readBackTime : now;
    if (outcome != StoreOutcome::Ok && outcome != StoreOutcome::Conflict)
        m_checkAt = std::max(m_checkAt, now + m_settings.failurePause);
}

void ReplicaRecords::forgetUnlisted(
    const GatewayConfiguration& configuration, bool coordinator, ServerDirectory& directory, Instant now)
{
    if (now < m_unlistedCheckAt)
        return;
    m_unlistedCheckAt = now + m_settings.unlistedCheckInterval;
    for (auto& [service, record] : m_records) {
        if (record.absentSince && now - *record.absentSince >= m_settings.unlistedTime)
            record.servers.clear();
    }
    std::vector<ServerEntry> unlisted;
    for (const LapsedServer* const server : directory.lapsed()) {
        const std::string& service = server->entry.service;
        const bool configured = configuration.services.count(service) != 0;
        const auto it = m_records.find(service);
        const bool listed = configured && it != m_records.end() && contains(it->second.servers, server->entry);
        const Instant since = server->settledAt ? *server->settledAt : server->since;
        if (!listed && !(coordinator && configured) && now - since >= m_settings.unlistedTime)
            unlisted.push_back(server->entry);
    }
    for (const ServerEntry& entry : unlisted)
        directory.forgetLapsed(entry.id, entry.startedUnixMs);
}

} // namespace plantainwall

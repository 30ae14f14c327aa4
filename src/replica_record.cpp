#include "replica_record.h"
#include "json_number.h"
#include "log_event.h"
#include "store_follower.h"
#include <algorithm>
#include <cpprest/json.h>
#include <stdexcept>
#include <tuple>

namespace plantainwall {

namespace {

    using Json = web::json::value;

    Replica replicaFrom(const std::string& service, const Json& json)
    {
        Replica replica;
        ServerEntry& entry = replica.entry;
        entry.service = service;
        entry.id = json.at("id").as_string();
        entry.address = json.at("address").as_string();
        entry.dataCentre = json.at("data_centre").as_string();
        entry.startedUnixMs = unsignedFrom(json.at("started"));
        entry.slots = static_cast<unsigned>(unsignedFrom(json.at("slots"), std::numeric_limits<uint32_t>::max()));
        entry.draining = json.has_field("draining") && json.at("draining").as_bool();
        entry.primary = json.has_field("primary") && json.at("primary").as_bool();
        if (entry.id.empty() || entry.address.empty())
            throw std::invalid_argument("a server without id or address");
        replica.ended = json.has_field("ended") && json.at("ended").as_bool();
        replica.settled = json.has_field("settled") && json.at("settled").as_bool();
        return replica;
    }

    /// Start times tell processes apart that had the same id.
    std::tuple<std::string, uint64_t> processOf(const ServerEntry& entry) { return { entry.id, entry.startedUnixMs }; }

    /// Compares what a record contains.
    bool sameContent(const Replica& a, const Replica& b)
    {
        const ServerEntry& left = a.entry;
        const ServerEntry& right = b.entry;
        return a.ended == b.ended && a.settled == b.settled && left.id == right.id && left.address == right.address
            && left.dataCentre == right.dataCentre && left.slots == right.slots && left.draining == right.draining
            && left.primary == right.primary && left.startedUnixMs == right.startedUnixMs;
    }

    bool sameContent(const std::vector<Replica>& recorded, const std::vector<Replica>& known)
    {
        return std::equal(recorded.begin(), recorded.end(), known.begin(), known.end(),
            [](const Replica& a, const Replica& b) { return sameContent(a, b); });
    }

    bool contains(const std::vector<Replica>& servers, const ServerEntry& server)
    {
        return std::any_of(servers.begin(), servers.end(),
            [&](const Replica& replica) { return processOf(replica.entry) == processOf(server); });
    }

} // namespace

const std::string ReplicaRecords::prefix = std::string(StoreFollower::ownPrefix) + "replicas/";

std::string encodeReplicaRecord(gsl::span<const Replica> servers)
{
    std::vector<Json> list;
    for (const Replica& replica : servers) {
        const ServerEntry& entry = replica.entry;
        Json json = Json::object();
        json["id"] = Json::string(entry.id);
        json["address"] = Json::string(entry.address);
        json["data_centre"] = Json::string(entry.dataCentre);
        json["started"] = Json::number(entry.startedUnixMs);
        json["slots"] = Json::number(static_cast<uint32_t>(entry.slots));
        if (entry.draining)
            json["draining"] = Json::boolean(true);
        if (entry.primary)
            json["primary"] = Json::boolean(true);
        if (replica.ended)
            json["ended"] = Json::boolean(true);
        if (replica.settled)
            json["settled"] = Json::boolean(true);
        list.push_back(std::move(json));
    }
    Json record = Json::object();
    record["servers"] = Json::array(std::move(list));
    return record.serialize();
}

std::vector<Replica> decodeReplicaRecord(const std::string& service, const std::string& value)
{
    const Json record = Json::parse(value);
    std::vector<Replica> servers;
    for (const Json& json : record.at("servers").as_array())
        servers.push_back(replicaFrom(service, json));
    std::sort(servers.begin(), servers.end(),
        [](const Replica& a, const Replica& b) { return processOf(a.entry) < processOf(b.entry); });
    const auto same = [](const Replica& a, const Replica& b) { return processOf(a.entry) == processOf(b.entry); };
    if (std::adjacent_find(servers.begin(), servers.end(), same) != servers.end())
        throw std::invalid_argument("two servers with the same id and start");
    return servers;
}

size_t ReplicaRecords::itemsRead(const std::map<std::string, StoreItem>& items, uint64_t era,
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
            if (!record.malformed) {
                record.era = era;
                record.revision = it->second.revision;
            }
            continue;
        }
        apply(it->second, era, service, record, coordinator, directory, now);
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

void ReplicaRecords::apply(const StoreItem& item, uint64_t era, const std::string& service, Record& record,
    bool coordinator, ServerDirectory& directory, Instant now)
{
    record.value = item.value;
    std::vector<Replica> servers;
    try {
        servers = decodeReplicaRecord(service, item.value);
        record.malformed = false;
    } catch (const std::exception& error) {
        record.malformed = true;
        logEvent(LogEvent::StoreItemRejected,
            { { "key", item.key }, { "revision", item.revision }, { "reason", error.what() } });
        return;
    }
    if (!coordinator && era == record.era && item.revision > record.revision) {
        for (const Replica& replica : record.servers) {
            if (!contains(servers, replica.entry))
                directory.noteSettled(replica.entry.id, replica.entry.startedUnixMs, now);
        }
    }
    // A copy of the store may have taken for settled what has run since.
    const bool mayBeOutdated = record.revision != 0 && era != record.era;
    const auto isNeeded = [&](const ServerEntry& entry) {
        const std::vector<const LapsedServer*> lapsed = directory.lapsed(service);
        return std::any_of(lapsed.begin(), lapsed.end(), [&](const LapsedServer* known) {
            return processOf(known->entry) == processOf(entry) && !known->settledAt;
        });
    };
    record.era = era;
    record.revision = item.revision;
    record.servers = std::move(servers);
    // The coordinator may have dropped a server between its write and the reading of it.
    if (coordinator && record.ownWrite && record.ownWrite->value == item.value)
        return;
    for (const Replica& replica : record.servers)
        directory.addLapsed(
            replica.entry, now, replica.ended, replica.settled && !(mayBeOutdated && isNeeded(replica.entry)));
}

std::vector<StoreWrite> ReplicaRecords::due(const std::map<std::string, StoreItem>& items,
    const GatewayConfiguration& configuration, const ServerDirectory& directory, Instant now)
{
    std::vector<StoreWrite> writes;
    if (now < m_checkAt)
        return writes;
    m_checkAt = now + m_settings.checkInterval;
    const std::map<std::string, std::vector<Replica>> known = directory.replicas();
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
        std::vector<Replica> servers = found == known.end() ? std::vector<Replica>() : found->second;
        // Such a server cannot be asked, and its record would count as malformed.
        const auto unusable
            = [](const Replica& replica) { return replica.entry.id.empty() || replica.entry.address.empty(); };
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

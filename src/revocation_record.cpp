#include "revocation_record.h"
#include "json_number.h"
#include "log_event.h"
#include "store_follower.h"
#include <algorithm>
#include <cpprest/json.h>

namespace plantainwall {

namespace {

    using Json = web::json::value;

    constexpr uint64_t lastScope = static_cast<uint64_t>(RevocationScope::Count) - 1;

} // namespace

const std::string RevocationRecords::prefix = std::string(StoreFollower::ownPrefix) + "revocations/";

std::string encodeRevocation(const RecordedRevocation& recorded)
{
    Json json = Json::object();
    json["token"] = Json::number(recorded.token);
    json["number"] = Json::number(recorded.number);
    json["below_term"] = Json::number(recorded.revocation.term);
    json["scope"] = Json::number(static_cast<uint64_t>(recorded.revocation.scope));
    json["ordered"] = Json::boolean(recorded.revocation.ordered);
    return json.serialize();
}

RecordedRevocation decodeRevocation(const std::string& value)
{
    const Json json = Json::parse(value);
    RecordedRevocation recorded;
    recorded.token = unsignedFrom(json.at("token"));
    recorded.number = unsignedFrom(json.at("number"));
    recorded.revocation.term = unsignedFrom(json.at("below_term"), maxLogNumber);
    recorded.revocation.scope = static_cast<RevocationScope>(unsignedFrom(json.at("scope"), lastScope));
    recorded.revocation.ordered = json.at("ordered").as_bool();
    if (recorded.revocation.term == 0)
        throw std::invalid_argument("a revocation of no term");
    return recorded;
}

void RevocationRecords::set(const std::string& service, const std::optional<RecordedRevocation>& wanted)
{
    Record& record = m_records[service];
    if (record.wanted == wanted && !record.dirty)
        return;
    record.wanted = wanted;
    record.dirty = true;
    record.recordedAt.reset();
}

void RevocationRecords::storeRestored()
{
    m_applied.clear(); // The copy may lack what is still in force.
    for (auto& [service, record] : m_records) {
        record.ownRevision.reset();
        record.recordedAt.reset();
        record.dirty = true;
    }
}

void RevocationRecords::itemsRead(const std::map<std::string, StoreItem>& items, bool followed,
    PrimaryRevocations& revocations, Instant now, Duration lifetime)
{
    std::map<std::string, RecordedRevocation> read;
    for (auto it = items.lower_bound(prefix); it != items.end() && it->first.rfind(prefix, 0) == 0; ++it) {
        const std::string service = it->first.substr(prefix.size());
        try {
            read[service] = decodeRevocation(it->second.value);
            m_rejected.erase(it->first);
        } catch (const std::exception& error) {
            uint64_t& revision = m_rejected[it->first];
            if (revision != it->second.revision)
                logEvent(LogEvent::StoreItemRejected,
                    { { "key", it->first }, { "revision", it->second.revision }, { "reason", error.what() } });
            revision = it->second.revision;
        }
    }
    for (const auto& [service, recorded] : read) {
        const PrimaryRevocation& revocation = recorded.revocation;
        if (revocations.revokeAsRecorded(service, revocation, recorded.token, recorded.number, now, lifetime))
            logEvent(LogEvent::PrimaryRevoked,
                { { "service", service }, { "scope", revocationScopeName(revocation.scope) },
                    { "below_term", revocation.term }, { "token", recorded.token }, { "coordinator", "" },
                    { "source", "store" } });
    }
    if (!followed)
        return;
    for (const auto& [service, recorded] : m_applied) {
        if (read.count(service) == 0)
            revocations.withdrawAsRecorded(service, recorded.token, recorded.number);
    }
    m_applied = std::move(read);
}

std::vector<StoreWrite> RevocationRecords::due(const std::map<std::string, StoreItem>& items, Instant now)
{
    std::vector<StoreWrite> writes;
    for (auto& [service, record] : m_records) {
        if (!record.dirty || record.underWay || now < record.noWriteBefore
            || m_writesUnderWay >= m_settings.maxWritesUnderWay)
            continue;
        StoreWrite write;
        write.key = prefix + service;
        const auto item = items.find(write.key);
        // What was read may be older than the last own write.
        const uint64_t read = item == items.end() ? 0 : item->second.revision;
        write.expectedRevision = record.ownRevision && read <= *record.ownRevision ? *record.ownRevision : read;
        if (record.ownRevision == 0U && read != 0)
            write.expectedRevision = 0;
        write.removes = !record.wanted;
        if (write.removes && write.expectedRevision == 0) {
            record.dirty = false;
            continue;
        }
        if (record.wanted)
            write.value = encodeRevocation(*record.wanted);
        record.underWay = write;
        ++m_writesUnderWay;
        writes.push_back(std::move(write));
    }
    return writes;
}

void RevocationRecords::written(const std::string& key, const StoreResult& result, Instant now)
{
    m_writesUnderWay -= std::min<size_t>(m_writesUnderWay, 1);
    const auto it = m_records.find(key.substr(prefix.size()));
    if (it == m_records.end() || !it->second.underWay)
        return;
    Record& record = it->second;
    const StoreWrite write = *record.underWay;
    record.underWay.reset();
    if (result.outcome != StoreOutcome::Ok) {
        record.ownRevision.reset();
        record.noWriteBefore = now + m_settings.failurePause;
        return;
    }
    record.ownRevision = write.removes ? 0 : result.number;
    const bool current
        = record.wanted ? !write.removes && write.value == encodeRevocation(*record.wanted) : write.removes;
    if (!current)
        return;
    record.dirty = false;
    if (record.wanted)
        record.recordedAt = now;
}

std::optional<Instant> RevocationRecords::recordedAt(const std::string& service) const
{
    const auto it = m_records.find(service);
    return it == m_records.end() ? std::nullopt : it->second.recordedAt;
}

} // namespace plantainwall

#include "config_schema_envelope.h"
#include "json_text.h"
#include <algorithm>
#include <cpprest/json.h>

namespace plantainwall {

using web::json::value;

bool ConfigEnvelope::contains(std::string_view id) const
{
    return changeId == id || std::find(recent.begin(), recent.end(), id) != recent.end();
}

std::string encodeEnvelope(const ConfigEnvelope& envelope)
{
    value json = value::object();
    json["value"] = envelope.value ? value::string(*envelope.value) : value::null();
    json["change_id"] = value::string(envelope.changeId);
    json["author"] = value::string(envelope.author);
    json["time"] = value::string(envelope.time);
    json["base_revision"] = value::number(envelope.baseRevision);
    json["recent"] = value::array();
    for (size_t i = 0; i < envelope.recent.size(); ++i)
        json["recent"][i] = value::string(envelope.recent[i]);
    return json.serialize();
}

std::optional<ConfigEnvelope> decodeEnvelope(const std::string& text)
{
    try {
        const value json = parseJson(text);
        ConfigEnvelope envelope;
        if (!json.at("value").is_null())
            envelope.value = json.at("value").as_string();
        envelope.changeId = json.at("change_id").as_string();
        envelope.author = json.at("author").as_string();
        envelope.time = json.at("time").as_string();
        envelope.baseRevision = json.at("base_revision").as_number().to_uint64();
        for (const value& id : json.at("recent").as_array())
            envelope.recent.push_back(id.as_string());
        return envelope;
    } catch (const web::json::json_exception&) {
        return std::nullopt;
    }
}

std::string encodeBatch(const ConfigBatch& batch)
{
    value json = value::object();
    json["from"] = value::number(batch.from);
    json["to"] = value::number(batch.to);
    json["full"] = value::boolean(batch.full);
    json["age_us"] = value::number(static_cast<int64_t>(batch.age.count()));
    std::vector<value> entries;
    entries.reserve(batch.entries.size());
    for (const StoreEntry& entry : batch.entries) {
        value item = value::object();
        item["key"] = value::string(entry.key);
        item["value"] = entry.value ? value::string(*entry.value) : value::null();
        item["revision"] = value::number(entry.revision);
        entries.push_back(std::move(item));
    }
    json["entries"] = value::array(std::move(entries));
    if (batch.unchanged.empty())
        return json.serialize();
    std::vector<value> unchanged;
    unchanged.reserve(batch.unchanged.size());
    for (const std::string& key : batch.unchanged)
        unchanged.push_back(value::string(key));
    json["unchanged"] = value::array(std::move(unchanged));
    return json.serialize();
}

ConfigBatch decodeBatch(const std::string& text)
{
    try {
        const value json = parseJson(text);
        ConfigBatch batch;
        batch.from = json.at("from").as_number().to_uint64();
        batch.to = json.at("to").as_number().to_uint64();
        batch.full = json.at("full").as_bool();
        batch.age = Duration(json.at("age_us").as_number().to_int64());
        if (batch.age < Duration::zero())
            throw std::runtime_error("configuration batch: age_us is negative");
        for (const value& item : json.at("entries").as_array()) {
            StoreEntry entry;
            entry.key = item.at("key").as_string();
            if (!item.at("value").is_null())
                entry.value = item.at("value").as_string();
            entry.revision = item.at("revision").as_number().to_uint64();
            batch.entries.push_back(std::move(entry));
        }
        if (json.has_field("unchanged")) {
            for (const value& key : json.at("unchanged").as_array())
                batch.unchanged.push_back(key.as_string());
        }
        return batch;
    } catch (const web::json::json_exception& error) {
        throw std::runtime_error(std::string("configuration batch: ") + error.what());
    }
}

} // namespace plantainwall

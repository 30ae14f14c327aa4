#include "controller_membership_codec.h"
#include <cpprest/json.h>

namespace plantainwall {

namespace {

    using web::json::value;

    // Entries are arrays: names of fields would be half of the bytes.
    enum EntryField : size_t {
        Name,
        CallerAddress,
        PeerAddress,
        DataCentre,
        Region,
        Incarnation,
        Heartbeat,
        Draining,
        HeardAgo,
        SilentFor,
        FieldCount
    };

    value encodeEntry(const GossipEntry& entry)
    {
        value fields = value::array(FieldCount);
        fields[Name] = value(entry.config.name);
        fields[CallerAddress] = value(entry.config.callerAddress);
        fields[PeerAddress] = value(entry.config.peerAddress);
        fields[DataCentre] = value(entry.config.dataCentre);
        fields[Region] = value(entry.config.region);
        fields[Incarnation] = value(entry.incarnation);
        fields[Heartbeat] = value(entry.heartbeat);
        fields[Draining] = value(entry.draining ? 1 : 0);
        fields[HeardAgo] = value(static_cast<int64_t>(entry.heartbeatAge.count()));
        fields[SilentFor] = value(static_cast<int64_t>(entry.silentFor ? entry.silentFor->count() : -1));
        return fields;
    }

    GossipEntry decodeEntry(const value& fields)
    {
        GossipEntry entry;
        entry.config.name = fields.at(Name).as_string();
        entry.config.callerAddress = fields.at(CallerAddress).as_string();
        entry.config.peerAddress = fields.at(PeerAddress).as_string();
        entry.config.dataCentre = fields.at(DataCentre).as_string();
        entry.config.region = fields.at(Region).as_string();
        entry.incarnation = fields.at(Incarnation).as_number().to_uint64();
        entry.heartbeat = fields.at(Heartbeat).as_number().to_uint64();
        entry.draining = fields.at(Draining).as_integer() != 0;
        entry.heartbeatAge = Duration(fields.at(HeardAgo).as_number().to_int64());
        const int64_t silentFor = fields.at(SilentFor).as_number().to_int64();
        if (silentFor >= 0)
            entry.silentFor = Duration(silentFor);
        return entry;
    }

} // namespace

std::string encodeGossip(const GossipMessage& message)
{
    value object = value::object();
    object["s"] = encodeEntry(message.sender);
    value entries = value::array(message.entries.size());
    for (size_t i = 0; i < message.entries.size(); ++i)
        entries[i] = encodeEntry(message.entries[i]);
    object["e"] = std::move(entries);
    value payload = value::object();
    for (const auto& [field, text] : message.payload)
        payload[field] = value(text);
    object["p"] = std::move(payload);
    object["d"] = value(message.digest);
    if (message.wantsPage)
        object["w"] = value(true);
    if (!message.pageAfter.empty())
        object["a"] = value(message.pageAfter);
    return object.serialize();
}

GossipMessage decodeGossip(const std::string& text)
{
    const value object = value::parse(text);
    GossipMessage message;
    message.sender = decodeEntry(object.at("s"));
    for (const value& entry : object.at("e").as_array())
        message.entries.push_back(decodeEntry(entry));
    for (const auto& [field, content] : object.at("p").as_object())
        message.payload[field] = content.as_string();
    message.digest = object.at("d").as_number().to_uint64();
    message.wantsPage = object.has_field("w");
    if (object.has_field("a"))
        message.pageAfter = object.at("a").as_string();
    return message;
}

} // namespace plantainwall

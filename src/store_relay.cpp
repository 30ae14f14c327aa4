#include "store_relay.h"
#include "host_capacity.h"
#include "json_number.h"
#include <algorithm>
#include <cpprest/json.h>
#include <tuple>
#include <xxhash.h>

namespace plantainwall {

namespace {

    using web::json::value;

    constexpr std::string_view datagramPrefix = "store! ";

    constexpr Duration maxAge = std::chrono::hours(24);

    /// A greater revision would make all true changes seem older; a greater era would overflow fencing tokens.
    constexpr uint64_t maxRevision = uint64_t(1) << 48;
    constexpr uint64_t maxEra = uint64_t(1) << 27;

    /// Datagrams up to this size are not fragmented.
    constexpr size_t maxDatagramBytes = 1200;

    value encodeItem(const StoreItem& item)
    {
        value entry = value::object();
        entry["k"] = value::string(item.key);
        entry["r"] = value::number(item.revision);
        if (!item.removed)
            entry["v"] = value::string(
                utility::conversions::to_base64(std::vector<unsigned char>(item.value.begin(), item.value.end())));
        return entry;
    }

    std::string encodeDatagram(const StoreEvents& events, uint64_t from, uint64_t to, const std::vector<value>& items)
    {
        value body = value::object();
        body["f"] = value::number(from);
        body["t"] = value::number(to);
        body["a"] = value::number(static_cast<int64_t>(events.age.count()));
        if (events.era != 0)
            body["e"] = value::number(events.era);
        if (!items.empty())
            body["i"] = value::array(items);
        return std::string(datagramPrefix) + body.serialize();
    }

} // namespace

std::vector<std::string> encodeStoreEvents(const StoreEvents& events)
{
    std::vector<std::string> datagrams;
    std::vector<value> chunk;
    size_t bytes = 0;
    uint64_t from = events.from;
    for (size_t i = 0; i < events.items.size(); ++i) {
        const StoreItem& item = events.items[i];
        // Base64 encodes three bytes as four characters; field names and punctuation add fewer than 50.
        const size_t size = item.key.size() + item.value.size() * 4 / 3 + 50;
        if (size > maxDatagramBytes) {
            datagrams.push_back(encodeDatagram(events, events.to, events.to, {}));
            return datagrams;
        }
        const bool newRevision = i == 0 || item.revision != events.items[i - 1].revision;
        if (newRevision && !chunk.empty() && bytes + size > maxDatagramBytes) {
            const uint64_t to = events.items[i - 1].revision;
            datagrams.push_back(encodeDatagram(events, from, to, chunk));
            from = to;
            chunk.clear();
            bytes = 0;
        }
        chunk.push_back(encodeItem(item));
        bytes += size;
    }
    datagrams.push_back(encodeDatagram(events, chunk.empty() ? events.to : from, events.to, chunk));
    return datagrams;
}

std::string encodeAllStoreEvents(const StoreEvents& events)
{
    std::vector<value> items;
    items.reserve(events.items.size());
    for (const StoreItem& item : events.items)
        items.push_back(encodeItem(item));
    return encodeDatagram(events, events.from, events.to, items);
}

bool isStoreEvents(std::string_view datagram) { return datagram.substr(0, datagramPrefix.size()) == datagramPrefix; }

StoreEvents decodeStoreEvents(std::string_view datagram)
{
    const value body = value::parse(std::string(datagram.substr(datagramPrefix.size())));
    const auto revision
        = [](const value& object, const char* name) { return unsignedFrom(object.at(name), maxRevision); };
    StoreEvents events;
    events.from = revision(body, "f");
    events.to = revision(body, "t");
    // A negative age would make the state seem newer than it is.
    events.age = Duration(static_cast<int64_t>(unsignedFrom(body.at("a"), maxAge.count())));
    if (body.has_field("e"))
        events.era = unsignedFrom(body.at("e"), maxEra);
    if (!body.has_field("i"))
        return events;
    for (const value& entry : body.at("i").as_array()) {
        StoreItem item;
        item.key = entry.at("k").as_string();
        item.revision = revision(entry, "r");
        item.removed = !entry.has_field("v");
        if (!item.removed) {
            const std::vector<unsigned char> bytes = utility::conversions::from_base64(entry.at("v").as_string());
            item.value.assign(bytes.begin(), bytes.end());
        }
        events.items.push_back(std::move(item));
    }
    return events;
}

std::vector<std::string> relaysOf(const std::string& region, gsl::span<const RelayCandidate> candidates, size_t count)
{
    double strongest = 0;
    for (const RelayCandidate& candidate : candidates)
        strongest = candidate.region == region ? std::max(strongest, candidate.capacity) : strongest;
    std::vector<std::tuple<bool, uint64_t, std::string>> ranked; // Weak, hash of the name, name.
    for (const RelayCandidate& candidate : candidates) {
        if (candidate.region == region)
            ranked.emplace_back(!isStrongHost(candidate.capacity, strongest),
                XXH64(candidate.host.data(), candidate.host.size(), 0), candidate.host);
    }
    const size_t n = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<ptrdiff_t>(n), ranked.end());
    std::vector<std::string> hosts;
    for (size_t i = 0; i < n; ++i)
        hosts.push_back(std::get<std::string>(ranked[i]));
    return hosts;
}

} // namespace plantainwall

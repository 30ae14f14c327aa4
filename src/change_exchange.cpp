#include "change_exchange.h"
#include "log_event.h"
#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <sstream>
#include <zlib.h>

namespace plantainwall {

namespace {

    constexpr std::string_view requestWord = "changes? ";
    constexpr std::string_view partWord = "changes! ";

    /// Largest accepted unpacked answer, in bytes: twice what a host keeps, because of its encoding.
    constexpr size_t maxUnpackedBytes = 8 * 1024 * 1024;

    /// Tells the requesting host that this one is receiving the changes itself. Older hosts count it as a lost part.
    std::string emptyPart(uint64_t number) { return std::string(partWord) + std::to_string(number) + " 0 0 1 "; }

    size_t bytesOf(const StoreItem& item) { return item.key.size() + item.value.size(); }

    /// Returns the text's size, a blank and the compressed text.
    std::string pack(const std::string& text)
    {
        uLongf size = compressBound(text.size());
        std::string packed(size, '\0');
        if (compress2(reinterpret_cast<Bytef*>(packed.data()), &size, reinterpret_cast<const Bytef*>(text.data()),
                text.size(), Z_BEST_SPEED)
            != Z_OK)
            throw std::runtime_error("changes cannot be compressed");
        packed.resize(size);
        return std::to_string(text.size()) + " " + packed;
    }

    std::string unpack(const std::string& packed)
    {
        const size_t blank = std::min(packed.find(' '), packed.size());
        uLongf size = 0;
        std::istringstream(packed.substr(0, blank)) >> size;
        if (size == 0 || size > maxUnpackedBytes || blank == packed.size())
            throw std::runtime_error("compressed changes have no valid size");
        std::string text(size, '\0');
        const std::string_view rest = std::string_view(packed).substr(blank + 1);
        if (uncompress(
                reinterpret_cast<Bytef*>(text.data()), &size, reinterpret_cast<const Bytef*>(rest.data()), rest.size())
            != Z_OK)
            throw std::runtime_error("compressed changes are malformed");
        text.resize(size);
        return text;
    }

} // namespace

ChangeExchange::ChangeExchange(std::string host, PeerChannel& channel, Clock clock, Listing listing)
    : m_host(std::move(host))
    , m_channel(channel)
    , m_clock(std::move(clock))
    , m_listing(std::move(listing))
{
}

void ChangeExchange::setEra(uint64_t era)
{
    if (era == m_era)
        return;
    m_era = era;
    m_kept.clear();
    m_keptFrom = 0;
    m_keptTo = 0;
    m_keptBytes = 0;
    m_packedChanges.clear();
    m_waiting.clear();
    m_packedListing = {};
    m_requestHost.clear();
    m_parts.clear();
}

void ChangeExchange::keep(const StoreEvents& events)
{
    if (events.from >= events.to || events.era != m_era)
        return;
    if (m_keptTo != events.from) {
        m_kept.clear();
        m_keptBytes = 0;
        m_keptFrom = events.from;
        m_packedChanges.clear();
        m_packedListing = {}; // The changes that follow it are not kept any more.
    }
    m_keptTo = events.to;
    for (const StoreItem& item : events.items) {
        const auto [it, added] = m_kept.try_emplace(item.key);
        if (!added)
            m_keptBytes -= bytesOf(it->second);
        it->second = item;
        m_keptBytes += bytesOf(item);
    }
    while (m_kept.size() > 1 && m_keptBytes > m_settings.maxKeptBytes) {
        const auto oldest = std::min_element(m_kept.begin(), m_kept.end(),
            [](const auto& a, const auto& b) { return a.second.revision < b.second.revision; });
        m_keptFrom = std::max(m_keptFrom, oldest->second.revision);
        logEvent(LogEvent::ChangesDropped,
            { { "key", oldest->first }, { "revision", oldest->second.revision }, { "bytes", bytesOf(oldest->second) },
                { "kept_bytes", m_keptBytes }, { "max_kept_bytes", m_settings.maxKeptBytes } });
        m_keptBytes -= bytesOf(oldest->second);
        m_kept.erase(oldest);
    }
    answerWaiting();
}

void ChangeExchange::tick(std::optional<uint64_t> missingAfter, const Sources& sources)
{
    const Instant now = m_clock();
    if (!m_packedListing.text.empty() && now - m_packedListing.packedAt >= m_settings.listingReuse)
        m_packedListing = {};
    if (!missingAfter) {
        m_requestHost.clear();
        return;
    }
    if (!m_requestHost.empty() && now - std::max(m_requestedAt, m_partAt) < m_settings.answerTimeout)
        return;
    const bool same = !m_requestHost.empty() && m_requestAfter == *missingAfter;
    if (same && m_tries < m_settings.tries) {
        sendRequest();
        return;
    }
    if (same) {
        m_avoided.avoid(m_requestHost, now + m_settings.avoidanceTime);
        const auto received
            = std::count_if(m_parts.begin(), m_parts.end(), [](const std::string& part) { return !part.empty(); });
        logEvent(LogEvent::PeerSilent,
            { { "peer", m_requestHost }, { "reason", "sent no changes" }, { "after_revision", m_requestAfter },
                { "parts", m_parts.size() }, { "received_parts", static_cast<size_t>(received) } });
    }
    m_requestHost.clear();
    const std::vector<std::pair<std::string, std::string>> candidates = sources();
    const auto source = std::find_if(candidates.begin(), candidates.end(),
        [&](const auto& candidate) { return !m_avoided.contains(candidate.first, now); });
    if (source != candidates.end())
        startRequest(source->first, source->second, *missingAfter);
}

bool ChangeExchange::isReceiving() const
{
    const Instant now = m_clock();
    return !m_requestHost.empty() && (now - m_partAt < m_settings.answerTimeout * 2 || now < m_waitUntil);
}

void ChangeExchange::startRequest(const std::string& host, const std::string& address, uint64_t after)
{
    m_requestHost = host;
    m_requestAddress = address;
    m_requestAfter = after;
    m_waitUntil = Instant();
    m_tries = 0;
    m_parts.clear();
    ++m_requestNumber;
    sendRequest();
}

void ChangeExchange::sendRequest()
{
    ++m_tries;
    m_requestedAt = m_clock();
    std::string request = std::string(requestWord) + std::to_string(m_requestNumber) + " " + m_host + " "
        + std::to_string(m_era) + " " + std::to_string(m_requestAfter);
    if (!m_parts.empty()) {
        request += " " + std::to_string(m_partsTo);
        for (size_t i = 0; i < m_parts.size() && request.size() < m_settings.partBytes; ++i) {
            if (m_parts[i].empty())
                request += " " + std::to_string(i);
        }
    }
    m_channel.send(m_requestAddress, request);
}

const ChangeExchange::Packed& ChangeExchange::listing()
{
    if (!m_packedListing.text.empty())
        return m_packedListing;
    const StoreEvents all = m_listing();
    if (all.to != 0 && all.era == m_era)
        m_packedListing = { pack(encodeAllStoreEvents(all)), 0, all.to, m_clock(), 0 };
    return m_packedListing;
}

size_t ChangeExchange::keptBytesAfter(uint64_t revision) const
{
    size_t bytes = 0;
    for (const auto& [key, item] : m_kept)
        bytes += item.revision > revision ? bytesOf(item) : 0;
    return bytes;
}

// Load pattern: a large configuration is followed by small changes every few milliseconds. With each change the hosts
// would get another answer that contains the configuration again, and could not use the parts that they have.
const ChangeExchange::Packed* ChangeExchange::packedAnswer(uint64_t revision, uint64_t to) const
{
    const Packed* repeated = nullptr;
    const Packed* shared = nullptr;
    const size_t needed = keptBytesAfter(revision);
    for (const Packed& packed : m_packedChanges) {
        if (packed.from > revision || packed.to <= revision)
            continue;
        if (packed.to == to && (repeated == nullptr || repeated->from < packed.from))
            repeated = &packed;
        const bool isNewest = packed.from == revision && packed.to == m_keptTo;
        const bool lacksLittle = keptBytesAfter(packed.to) <= packed.bytes / 4;
        const bool repeatsLittle = packed.bytes <= needed * 2;
        if (isNewest || (needed > m_settings.partBytes && lacksLittle && repeatsLittle))
            shared = &packed;
    }
    return repeated != nullptr ? repeated : shared;
}

const ChangeExchange::Packed& ChangeExchange::changesAfter(uint64_t revision, uint64_t to)
{
    static const Packed none;
    if (const Packed* const packed = packedAnswer(revision, to))
        return *packed;
    if (revision < m_keptFrom || revision >= m_keptTo)
        return none;
    StoreEvents all;
    all.era = m_era;
    all.from = revision;
    all.to = m_keptTo;
    for (const auto& [key, item] : m_kept) {
        if (item.revision > revision)
            all.items.push_back(item);
    }
    std::stable_sort(all.items.begin(), all.items.end(),
        [](const StoreItem& a, const StoreItem& b) { return a.revision < b.revision; });
    m_packedChanges.push_back(
        { pack(encodeAllStoreEvents(all)), all.from, all.to, m_clock(), keptBytesAfter(revision) });
    if (m_packedChanges.size() > m_settings.maxPacked)
        m_packedChanges.pop_front();
    return m_packedChanges.back();
}

void ChangeExchange::sendParts(
    const std::string& address, uint64_t number, const Packed& packed, const std::set<size_t>& missing)
{
    const size_t count = (packed.text.size() + m_settings.partBytes - 1) / m_settings.partBytes;
    for (size_t i = 0; i < count; ++i) {
        if (!missing.empty() && missing.count(i) == 0)
            continue;
        std::ostringstream part;
        part << partWord << number << ' ' << packed.to << ' ' << i << ' ' << count << ' ';
        part << std::string_view(packed.text).substr(i * m_settings.partBytes, m_settings.partBytes);
        m_channel.send(address, part.str());
    }
}

void ChangeExchange::answerWaiting()
{
    const Instant now = m_clock();
    for (auto it = m_waiting.begin(); it != m_waiting.end();) {
        const WaitingRequest& request = it->second;
        const Packed& packed = changesAfter(request.after, 0);
        const bool expired = now - request.at >= m_settings.waitingTime;
        if (!expired && !packed.text.empty())
            sendParts(request.address, request.number, packed, {});
        it = expired || !packed.text.empty() ? m_waiting.erase(it) : std::next(it);
    }
}

void ChangeExchange::answerRequest(const std::string& request, const AddressOf& addressOf)
{
    std::istringstream text(request);
    uint64_t number = 0;
    std::string host;
    uint64_t era = 0;
    uint64_t revision = 0;
    if (!(text >> number >> host >> era >> revision))
        throw std::runtime_error("request for changes is malformed");
    if (era != m_era)
        return;
    const std::string address = addressOf(host);
    if (address.empty())
        return; // The requesting host will try another host.
    uint64_t knownTo = 0;
    std::set<size_t> missing;
    if (text >> knownTo) {
        for (size_t index = 0; text >> index;)
            missing.insert(index);
    }
    if (revision != 0 && revision >= m_keptTo) {
        if (m_waiting.size() < m_settings.maxWaiting || m_waiting.count(host) != 0)
            m_waiting[host] = { address, number, revision, m_clock() };
        // Only parts count: two hosts that wait for each other would otherwise go on doing so.
        if (m_clock() - m_partAt < m_settings.answerTimeout * 2)
            m_channel.send(address, emptyPart(number));
        return;
    }
    const Packed& packed = revision == 0 ? listing() : changesAfter(revision, knownTo);
    if (packed.text.empty())
        return;
    if (knownTo != packed.to)
        missing.clear();
    sendParts(address, number, packed, missing);
}

std::optional<StoreEvents> ChangeExchange::receivePart(const std::string& part)
{
    std::istringstream text(part);
    uint64_t number = 0;
    uint64_t to = 0;
    size_t index = 0;
    size_t count = 0;
    if (!(text >> number >> to >> index >> count) || index >= count || count > m_settings.maxParts)
        throw std::runtime_error("part of changes is malformed");
    if (m_requestHost.empty() || number != m_requestNumber)
        return std::nullopt; // The part answers an earlier request.
    const std::string data = part.substr(std::min(part.size(), static_cast<size_t>(text.tellg()) + 1));
    if (data.empty()) {
        m_waitUntil = m_clock() + m_settings.answerTimeout * 2;
        m_tries = 1;
        return std::nullopt;
    }
    if (m_parts.size() != count || m_partsTo != to) {
        m_parts.assign(count, {});
        m_partsTo = to;
    }
    if (m_parts[index].empty()) {
        m_partAt = m_clock();
        m_tries = 1;
    }
    m_parts[index] = data;
    if (std::any_of(m_parts.begin(), m_parts.end(), [](const std::string& it) { return it.empty(); }))
        return std::nullopt;
    std::string packed;
    for (const std::string& packedPart : m_parts)
        packed += packedPart;
    m_parts.clear();
    m_requestHost.clear();
    return decodeStoreEvents(unpack(packed));
}

bool ChangeExchange::datagram(const std::string& text, const AddressOf& addressOf, std::optional<StoreEvents>& read)
{
    if (boost::algorithm::starts_with(text, requestWord))
        answerRequest(text.substr(requestWord.size()), addressOf);
    else if (boost::algorithm::starts_with(text, partWord))
        read = receivePart(text.substr(partWord.size()));
    else
        return false;
    return true;
}

} // namespace plantainwall

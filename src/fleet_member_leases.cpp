#include "fleet_member.h"
#include "json_number.h"
#include "log_event.h"
#include <algorithm>
#include <boost/algorithm/string/predicate.hpp>
#include <sstream>

// Leases on the word of primaries: the record in the store, and its confirmation by the coordinator.

namespace plantainwall {

namespace {

    using web::json::value;

    constexpr std::string_view requestWord = "lease? ";
    constexpr std::string_view replyWord = "lease! ";

} // namespace

const std::string FleetMember::primaryRecordKey = std::string(StoreFollower::ownPrefix) + "primaries";

// Nobody else can have ordered a promotion: this host holds the coordinator lease, or no host reaches the store and all
// of them said so just now.
bool FleetMember::mayGrantLeases() const
{
    const Instant now = m_clock();
    if (!m_granting || !m_leaseGrantor.mayConfirm())
        return false;
    if (now < m_coordinatorUntil)
        return true;
    if (storeAnswers() || now > m_coordinatorUntil + m_settings.coordinatorOutageExtension)
        return false;
    return std::all_of(m_peers.begin(), m_peers.end(), [&](const auto& peer) {
        return !peer.second.storeReachable && now - peer.second.leaseRequestedAt < m_settings.outageContact;
    });
}

bool FleetMember::mayPromote(const std::string& service, const std::string& server, uint64_t term, bool demoted)
{
    const std::optional<LeasedPrimary> entry = m_leaseGrantor.primaryOf(service);
    const LeasedPrimary next { server, std::max(term, entry ? entry->term : 0) };
    m_leaseGrantor.setPrimary(service, next);
    m_unrecordedSince.erase(service);
    writePrimaryRecord();
    if (demoted)
        return true;
    std::set<std::string> hosts;
    for (const auto& [host, peer] : m_peers)
        hosts.insert(host);
    return m_leaseGrantor.othersEnded(
        service, next, hosts, m_storeReachableSince + m_settings.outageContact, m_clock());
}

void FleetMember::primaryConfirmed(const std::string& service, const std::string& server, uint64_t term)
{
    if (!m_granting || m_leaseGrantor.readDue())
        return;
    const std::optional<LeasedPrimary> entry = m_leaseGrantor.primaryOf(service);
    if (entry && entry->server != server && term <= entry->term) {
        const Instant since = m_unrecordedSince.try_emplace(service, m_clock()).first->second;
        if (m_clock() - since < m_settings.abandonedPromotionTime)
            return;
        m_leaseGrantor.setPrimary(service, { server, entry->term });
    } else if (!entry || entry->server != server || entry->term < term)
        m_leaseGrantor.setPrimary(service, { server, term });
    m_unrecordedSince.erase(service);
}

void FleetMember::tickLeases()
{
    // Until the first listing neither the coordinator nor the era of the store is known.
    if (!m_gateway.primaryLeases().required() || m_gateway.configuration() == nullptr)
        return;
    const Instant now = m_clock();
    if (m_coordinator.isActive() != m_granting) {
        m_granting = m_coordinator.isActive();
        m_leaseGrantor.activate(now);
        m_recordReadAt = now;
        m_unrecordedSince.clear();
    }
    if (m_granting) {
        writePrimaryRecord();
        if (now >= m_recordPushAt)
            pushPrimaryRecord();
    }
    if (now >= m_leaseRequestAt)
        requestLease();
    const bool unconfirmed = now - m_gateway.primaryLeases().confirmedAt() >= m_settings.leaseReadAfter;
    const bool readDue
        = unconfirmed || (m_granting && m_leaseGrantor.readDue()) || (m_recordReadFailed && m_follower.reachable());
    if (readDue && !m_readingRecord && now >= m_recordReadAt)
        readPrimaryRecord();
}

void FleetMember::requestLease()
{
    const Instant now = m_clock();
    m_leaseRequestAt = now + m_settings.leaseRenewal;
    if (mayGrantLeases()) {
        m_gateway.primaryLeases().confirm(m_leaseGrantor.version(), now);
        return;
    }
    const StoreItem* const claim = coordinatorItem();
    std::string host;
    // Its lease may end during an outage of the store, in which nobody can take the role over.
    if (claim != nullptr && std::istringstream(claim->value) >> host)
        m_lastCoordinator = host;
    const auto it = m_peers.find(m_lastCoordinator);
    if (it == m_peers.end() || it->second.address.empty())
        return;
    const PrimaryRecordVersion& version = m_gateway.primaryLeases().version();
    value request = value::object();
    request["n"] = value::number(++m_leaseRequest);
    request["h"] = value::string(m_gatewaySettings.host);
    request["e"] = value::number(version.era);
    request["r"] = value::number(version.revision);
    request["s"] = value::boolean(storeAnswers());
    m_leaseRequestedAt = now;
    m_channel.send(it->second.address, std::string(requestWord) + request.serialize());
}

void FleetMember::readPrimaryRecord()
{
    const Instant sentAt = m_clock();
    m_readingRecord = true;
    m_recordReadAt = sentAt + m_settings.leaseReadInterval;
    m_store.list(primaryRecordKey, std::string(), [this, sentAt](const StoreItems& listed) {
        m_readingRecord = false;
        m_recordReadFailed = listed.outcome != StoreOutcome::Ok;
        if (m_recordReadFailed) {
            requestLease(); // Tells the coordinator that this host does not reach the store.
            return;
        }
        if (listed.era != 0 && listed.era != m_follower.era())
            return;
        PrimaryRecordVersion version { m_follower.era(), 0 };
        LeasedPrimaries primaries;
        bool valid = true;
        for (const StoreItem& item : listed.items) {
            if (item.key != primaryRecordKey)
                continue;
            version.revision = item.revision;
            adoptPrimaryRecord(version, item.value, "store");
            try {
                uint64_t era = 0;
                primaries = decodePrimaryRecord(item.value, era);
                valid = era == version.era;
            } catch (const std::exception&) {
                valid = false; // Logged by adoptPrimaryRecord().
            }
        }
        if (m_granting && sentAt >= m_leaseGrantor.activatedAt())
            m_leaseGrantor.recordRead(version, primaries, valid, m_clock());
        if (valid)
            m_gateway.primaryLeases().confirm(version, sentAt);
    });
}

void FleetMember::adoptPrimaryRecord(
    const PrimaryRecordVersion& version, const std::string& text, std::string_view source)
{
    PrimaryLeases& leases = m_gateway.primaryLeases();
    if (!leases.required() || !(leases.version() < version))
        return;
    LeasedPrimaries primaries;
    try {
        uint64_t era = 0;
        primaries = decodePrimaryRecord(text, era);
        // The copy of a restored store may name a primary that has been replaced.
        if (era != version.era)
            primaries.clear();
    } catch (const std::exception& error) {
        logEvent(LogEvent::StoreItemRejected, { { "key", primaryRecordKey }, { "reason", error.what() } });
    }
    if (!leases.adopt(version, primaries))
        return;
    logEvent(LogEvent::PrimaryRecordChanged,
        { { "era", version.era }, { "revision", version.revision }, { "services", primaries.size() },
            { "source", source }, { "record", text } });
    m_gateway.serversChanged();
}

void FleetMember::writePrimaryRecord()
{
    if (!m_granting || !m_follower.reachable())
        return;
    const std::optional<LeaseGrantor::Write> due = m_leaseGrantor.due();
    if (!due)
        return;
    StoreWrite write;
    write.key = primaryRecordKey;
    write.value = encodePrimaryRecord(due->primaries, m_follower.era());
    write.expectedRevision = due->expectedRevision;
    m_store.write(write, [this, text = write.value, coordination = m_coordination](const StoreResult& result) {
        const bool newestEra = isOfNewestEra(result, "write");
        if (!m_granting || coordination != m_coordination)
            return;
        const PrimaryRecordVersion version { m_follower.era(), result.number };
        const bool accepted = result.outcome == StoreOutcome::Ok && newestEra;
        m_leaseGrantor.written(accepted, version, m_clock());
        if (!accepted)
            return;
        adoptPrimaryRecord(version, text, "coordinator");
        pushPrimaryRecord();
    });
}

void FleetMember::pushPrimaryRecord()
{
    m_recordPushAt = m_clock() + m_settings.recordPushInterval;
    if (m_leaseGrantor.readDue() || m_leaseGrantor.version().revision == 0)
        return;
    std::string text;
    for (const auto& [host, peer] : m_peers) {
        if (peer.silent || peer.address.empty() || !m_leaseGrantor.unacknowledged(host))
            continue;
        if (text.empty())
            text = leaseReply(0, true);
        m_channel.send(peer.address, text);
    }
}

std::string FleetMember::leaseReply(uint64_t number, bool withRecord) const
{
    const PrimaryRecordVersion& version = m_leaseGrantor.version();
    value reply = value::object();
    reply["n"] = value::number(number);
    reply["e"] = value::number(version.era);
    reply["r"] = value::number(version.revision);
    if (withRecord)
        reply["v"] = value::string(encodePrimaryRecord(m_leaseGrantor.recorded(), version.era));
    return std::string(replyWord) + reply.serialize();
}

bool FleetMember::leaseDatagram(const std::string& text)
{
    if (boost::algorithm::starts_with(text, requestWord)) {
        const value request = value::parse(text.substr(requestWord.size()));
        const std::string host = request.at("h").as_string();
        const auto it = m_peers.find(host);
        if (it == m_peers.end() || !m_granting)
            return true;
        const uint64_t number = unsignedFrom(request.at("n"));
        if (number <= it->second.leaseRequest)
            return true; // It has been answered, or a later one has.
        const PrimaryRecordVersion held { unsignedFrom(request.at("e")), unsignedFrom(request.at("r")) };
        it->second.storeReachable = request.at("s").as_bool();
        it->second.leaseRequest = number;
        it->second.leaseRequestedAt = m_clock();
        m_leaseGrantor.acknowledged(host, held);
        if (mayGrantLeases())
            m_channel.send(it->second.address, leaseReply(number, !(held == m_leaseGrantor.version())));
        return true;
    }
    if (!boost::algorithm::starts_with(text, replyWord))
        return false;
    const value reply = value::parse(text.substr(replyWord.size()));
    const PrimaryRecordVersion version { unsignedFrom(reply.at("e")), unsignedFrom(reply.at("r")) };
    if (version.era != m_follower.era())
        return true;
    if (reply.has_field("v"))
        adoptPrimaryRecord(version, reply.at("v").as_string(), "coordinator");
    const uint64_t number = unsignedFrom(reply.at("n"));
    if (number == 0)
        requestLease(); // Acknowledges the version.
    else if (number == m_leaseRequest)
        m_gateway.primaryLeases().confirm(version, m_leaseRequestedAt);
    return true;
}

} // namespace plantainwall

#include "rate_slices.h"
#include "placement.h"
#include <cpprest/base_uri.h>
#include <sstream>

namespace plantainwall {

namespace {

    constexpr std::string_view prefix = "limits/";
    // Stored keys and hash inputs keep "seat", the earlier name of a rate slice.
    constexpr std::string_view rateSlicePrefix = "limits/seats/";
    constexpr std::string_view leasePrefix = "limits/leases/";
    constexpr double driftMargin = 0.01;
    constexpr Duration retryPause = std::chrono::seconds(1);
    // A host that is missing from the platform's list for this long is confirmed gone. Longer than the lease.
    constexpr Duration absenceGrace = std::chrono::seconds(35);
    // LimitsController polls own() every 250 ms. A slice is marked free in the store two such intervals after its last
    // use.
    constexpr Duration releasePause = std::chrono::milliseconds(500);
    // A store call without a reply may still be executed for this long.
    constexpr Duration lateExecutionTime = std::chrono::seconds(10);

    Duration scaled(Duration duration, double factor)
    {
        return Duration(static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
    }

    constexpr std::string_view emptyField = "-";
    constexpr char escapedMark = '=';

    /// Returns a field without blanks. Only a text that would not read back from itself is escaped, so that hosts
    /// which know no escapes read all others.
    std::string encodeField(const std::string& text)
    {
        if (text.empty())
            return std::string(emptyField);
        if (text != emptyField && text.front() != escapedMark && text.find_first_of(" \t\n\v\f\r") == std::string::npos)
            return text;
        return escapedMark + web::uri::encode_data_string(text);
    }

    std::string decodeField(const std::string& field)
    {
        if (field == emptyField)
            return {};
        if (field.empty() || field.front() != escapedMark)
            return field;
        try {
            return web::uri::decode(field.substr(1));
        } catch (const web::uri_exception&) {
            return field;
        }
    }

} // namespace

RateSlices::RateSlices(const LimitSettings& settings, std::string self, uint64_t incarnation, Instant started)
    : m_settings(settings)
    , m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_readyAt(started + maxLoanTime())
    , m_rateSlices(settings.rateSlices)
{
}

// Returns the longest time that a loan can last, measured by the lender's clock.
Duration RateSlices::maxLoanTime() const { return scaled(m_settings.loanLease, 1 + 2 * driftMargin); }

std::string RateSlices::encode(const RateSlice& slice)
{
    std::ostringstream text;
    text << encodeField(slice.conditionalHost) << ' ' << slice.conditionalIncarnation << ' '
         << encodeField(slice.conditionalLease) << ' ' << encodeField(slice.unconditionalHost) << ' '
         << slice.unconditionalIncarnation;
    return text.str();
}

RateSlices::RateSlice RateSlices::decode(const StoreEntry& entry)
{
    RateSlice slice;
    slice.revision = entry.revision;
    if (!entry.value)
        return slice;
    std::istringstream text(*entry.value);
    text >> slice.conditionalHost >> slice.conditionalIncarnation >> slice.conditionalLease >> slice.unconditionalHost
        >> slice.unconditionalIncarnation;
    slice.conditionalHost = decodeField(slice.conditionalHost);
    slice.conditionalLease = decodeField(slice.conditionalLease);
    slice.unconditionalHost = decodeField(slice.unconditionalHost);
    return slice;
}

bool RateSlices::holdsConditional(const RateSlice& slice) const
{
    return slice.conditionalHost == m_self && slice.conditionalIncarnation == m_incarnation
        && slice.conditionalLease == m_lease && !m_lease.empty();
}

bool RateSlices::holdsUnconditional(const RateSlice& slice) const
{
    return slice.unconditionalHost == m_self && slice.unconditionalIncarnation == m_incarnation;
}

bool RateSlices::isGone(std::string_view host, uint64_t incarnation, const std::vector<HostInfo>& hosts,
    const AbsentFor& absentFor, Instant now)
{
    if (host.empty())
        return true;
    bool gone = host == m_self ? incarnation < m_incarnation : absentFor(host) >= absenceGrace;
    for (const HostInfo& known : hosts)
        gone = gone || (known.config.name == host && known.incarnation > incarnation);
    const std::pair<std::string, uint64_t> key(host, incarnation);
    if (!gone) {
        m_goneSince.erase(key);
        return false;
    }
    // Loans that the old process granted may outlast it.
    return m_goneSince.emplace(key, now).first->second + maxLoanTime() <= now;
}

RateSliceAction RateSlices::swap(unsigned index, const RateSlice& slice) const
{
    RateSliceAction action;
    action.kind = RateSliceAction::Kind::Swap;
    action.key = std::string(rateSlicePrefix) + std::to_string(index);
    action.expectedRevision = slice.revision;
    action.value = encode(slice);
    return action;
}

std::optional<RateSliceAction> RateSlices::leaseAction(Instant now)
{
    if (m_lease.empty() || now >= m_leaseUntil) {
        m_lease.clear();
        m_leaseRecorded = false;
        return RateSliceAction { RateSliceAction::Kind::GrantLease, {}, 0, std::nullopt, {} };
    }
    if (!m_leaseRecorded) {
        return RateSliceAction { RateSliceAction::Kind::Swap, std::string(leasePrefix) + m_lease, 0, m_self, m_lease };
    }
    if (now >= m_nextRenewal)
        return RateSliceAction { RateSliceAction::Kind::RenewLease, {}, 0, std::nullopt, m_lease };
    return std::nullopt;
}

std::optional<RateSliceAction> RateSlices::claim(
    RateSlice slice, unsigned index, const std::vector<HostInfo>& hosts, const AbsentFor& absentFor, Instant now)
{
    const bool leaseEnded = !m_liveLeases.count(slice.conditionalLease);
    const bool conditionalFree = !holdsConditional(slice)
        && (leaseEnded || isGone(slice.conditionalHost, slice.conditionalIncarnation, hosts, absentFor, now));
    const bool unconditionalFree = !holdsUnconditional(slice)
        && isGone(slice.unconditionalHost, slice.unconditionalIncarnation, hosts, absentFor, now);
    if (!conditionalFree && !unconditionalFree)
        return std::nullopt;
    if (conditionalFree) {
        slice.conditionalHost = m_self;
        slice.conditionalIncarnation = m_incarnation;
        slice.conditionalLease = m_lease;
    }
    if (unconditionalFree) {
        slice.unconditionalHost = m_self;
        slice.unconditionalIncarnation = m_incarnation;
    }
    return swap(index, slice);
}

std::optional<RateSliceAction> RateSlices::release(RateSlice& slice, unsigned index, Instant now)
{
    if (!holdsConditional(slice) && !holdsUnconditional(slice))
        return std::nullopt;
    if (!slice.releasingSince)
        slice.releasingSince = now;
    // Lent units must have come back before another host may use the slice.
    if (*slice.releasingSince + maxLoanTime() + releasePause > now)
        return std::nullopt;
    RateSlice released = slice;
    if (holdsConditional(slice)) {
        released.conditionalHost.clear();
        released.conditionalLease.clear();
        released.conditionalIncarnation = 0;
    }
    if (holdsUnconditional(slice)) {
        released.unconditionalHost.clear();
        released.unconditionalIncarnation = 0;
    }
    return swap(index, released);
}

std::optional<RateSliceAction> RateSlices::next(
    const std::vector<HostInfo>& hosts, const AbsentFor& absentFor, Instant now)
{
    if (now < m_readyAt || now < m_retryAt)
        return std::nullopt;
    std::vector<bool> assignedHere(m_rateSlices.size());
    bool involved = m_unconfirmedUntil.has_value();
    for (unsigned i = 0; i < m_rateSlices.size(); ++i) {
        const HostInfo* designated = Placement::hostFor(hosts, "seat/" + std::to_string(i));
        assignedHere[i] = designated && designated->config.name == m_self;
        involved
            = involved || assignedHere[i] || holdsConditional(m_rateSlices[i]) || holdsUnconditional(m_rateSlices[i]);
    }
    if (!involved)
        return std::nullopt;
    if (std::optional<RateSliceAction> action = leaseAction(now))
        return action;
    if (!m_listValid || now >= m_nextList) {
        m_nextList = now + m_settings.rateSliceRenewal;
        m_listConfirms = m_unconfirmedUntil && now >= *m_unconfirmedUntil;
        return RateSliceAction { RateSliceAction::Kind::List, std::string(prefix), 0, std::nullopt, {} };
    }
    for (unsigned i = 0; i < m_rateSlices.size(); ++i) {
        if (assignedHere[i])
            m_rateSlices[i].releasingSince.reset();
        std::optional<RateSliceAction> action
            = assignedHere[i] ? claim(m_rateSlices[i], i, hosts, absentFor, now) : release(m_rateSlices[i], i, now);
        if (action)
            return action;
    }
    return std::nullopt;
}

void RateSlices::leaseGranted(const std::string& lease, Instant sent)
{
    m_lease = lease;
    m_leaseRecorded = false;
    m_leaseUntil = sent + scaled(m_settings.rateSliceLease, 1 - driftMargin);
    m_nextRenewal = sent + m_settings.rateSliceRenewal;
}

void RateSlices::leaseRenewed(bool alive, Instant sent)
{
    if (!alive) {
        m_lease.clear();
        m_leaseUntil = Instant {};
        m_listValid = false;
        return;
    }
    m_leaseUntil = std::max(m_leaseUntil, sent + scaled(m_settings.rateSliceLease, 1 - driftMargin));
    m_nextRenewal = sent + m_settings.rateSliceRenewal;
}

void RateSlices::listed(const StoreListing& listing)
{
    m_liveLeases.clear();
    std::vector<RateSlice> rateSlices(m_rateSlices.size());
    for (const StoreEntry& entry : listing.entries) {
        if (!entry.key.compare(0, leasePrefix.size(), leasePrefix)) {
            if (entry.value)
                m_liveLeases.insert(entry.key.substr(leasePrefix.size()));
        } else if (!entry.key.compare(0, rateSlicePrefix.size(), rateSlicePrefix)) {
            const unsigned long index = std::strtoul(entry.key.c_str() + rateSlicePrefix.size(), nullptr, 10);
            if (index < rateSlices.size())
                rateSlices[index] = decode(entry);
        }
    }
    for (size_t i = 0; i < rateSlices.size(); ++i)
        rateSlices[i].releasingSince = m_rateSlices[i].releasingSince;
    m_rateSlices = std::move(rateSlices);
    m_listValid = true;
    if (m_listConfirms)
        m_unconfirmedUntil.reset();
}

void RateSlices::swapped(const RateSliceAction& action, const SwapResult& result)
{
    if (!action.key.compare(0, leasePrefix.size(), leasePrefix)) {
        // The key names only this host's lease. If it exists, an earlier swap whose reply was lost has written it.
        m_leaseRecorded = result.applied || result.revision;
        if (!m_leaseRecorded)
            m_lease.clear();
        m_listValid = false;
        return;
    }
    if (!result.applied) {
        m_listValid = false;
        return;
    }
    const unsigned long index = std::strtoul(action.key.c_str() + rateSlicePrefix.size(), nullptr, 10);
    StoreEntry entry { action.key, action.value, result.revision };
    m_rateSlices.at(index) = decode(entry);
}

void RateSlices::failed(Instant now)
{
    m_retryAt = now + retryPause;
    m_listValid = false;
    // The call may have made this host the holder of a slice that is no longer assigned to it.
    m_unconfirmedUntil = now + lateExecutionTime;
    m_listConfirms = false;
}

OwnShare RateSlices::own(Instant now) const
{
    OwnShare own;
    if (now < m_readyAt)
        return own;
    const ShareUnits slice = wholeShare / static_cast<ShareUnits>(std::max<size_t>(m_rateSlices.size(), 1));
    const ShareUnits unconditional
        = static_cast<ShareUnits>(static_cast<double>(slice) * m_settings.unconditionalFraction);
    own.conditionalUntil = m_leaseUntil;
    for (const RateSlice& held : m_rateSlices) {
        // The slice is used here until all loans on it have ended; then it moves to another host.
        if (held.releasingSince && *held.releasingSince + maxLoanTime() <= now)
            continue;
        if (holdsUnconditional(held)) {
            own.unconditional += unconditional;
            own.unconditionalLeaving += held.releasingSince ? unconditional : 0;
        }
        if (holdsConditional(held) && now < m_leaseUntil) {
            own.conditional += slice - unconditional;
            own.conditionalLeaving += held.releasingSince ? slice - unconditional : 0;
        }
    }
    return own;
}

} // namespace plantainwall

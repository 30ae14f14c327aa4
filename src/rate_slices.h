#pragma once

#include "cluster_view.h"
#include "rate_share.h"
#include "store.h"
#include <functional>
#include <set>

namespace plantainwall {

/// Store call that Seats asks for. One is in progress at a time.
struct RateSliceAction {
    enum class Kind : uint8_t { GrantLease, RenewLease, List, Swap, Count };
    Kind kind = Kind::List;
    std::string key; ///< Swap: key; List: prefix.
    uint64_t expectedRevision = 0;
    std::optional<std::string> value;
    std::string lease; ///< RenewLease, and Swap of a key with a lease.
};

/// The seats of the fleet-wide rate that this host holds, kept in the store under limits/. A decision object.
///
/// One half of a seat is conditional on the holder's lease, whose end the holder counts from the sending of the
/// renewal. The other half stays with its holder until it releases it or is confirmed gone.
class RateSlices {
public:
    using AbsentFor = std::function<Duration(std::string_view host)>;

    RateSlices(const LimitSettings&, std::string self, uint64_t incarnation, Instant started);

    /// Returns the store call to make now, if any. hosts are all known hosts; absentFor tells how long a host has been
    /// absent from the platform's list.
    std::optional<RateSliceAction> next(const std::vector<HostInfo>& hosts, const AbsentFor& absentFor, Instant now);

    void leaseGranted(const std::string& lease, Instant sent);
    void leaseRenewed(bool alive, Instant sent);
    void listed(const StoreListing&);
    void swapped(const RateSliceAction&, const SwapResult&);
    /// Reports that a call failed; it may have taken effect.
    void failed(Instant now);

    /// Returns the share this host may use now.
    OwnShare own(Instant now) const;

private:
    struct RateSlice {
        uint64_t revision = 0;
        std::string conditionalHost;
        uint64_t conditionalIncarnation = 0;
        std::string conditionalLease;
        std::string unconditionalHost;
        uint64_t unconditionalIncarnation = 0;
        std::optional<Instant> releasing; // Since when this host has not used it any more.
    };

    static std::string encode(const RateSlice&);
    static RateSlice decode(const StoreEntry&);
    bool holdsConditional(const RateSlice&) const;
    bool holdsUnconditional(const RateSlice&) const;
    bool isGone(
        std::string_view host, uint64_t incarnation, const std::vector<HostInfo>&, const AbsentFor&, Instant now);
    std::optional<RateSliceAction> leaseAction(Instant now);
    std::optional<RateSliceAction> claim(
        RateSlice, unsigned index, const std::vector<HostInfo>&, const AbsentFor&, Instant now);
    std::optional<RateSliceAction> release(RateSlice&, unsigned index, Instant now);
    RateSliceAction swap(unsigned index, const RateSlice&) const;
    Duration loanTime() const;

    LimitSettings m_settings;
    std::string m_self;
    uint64_t m_incarnation;
    Instant m_readyAt;
    std::vector<RateSlice> m_rateSlices;
    std::set<std::string> m_liveLeases;
    std::map<std::pair<std::string, uint64_t>, Instant> m_goneSince;
    std::string m_lease;
    bool m_leaseRecorded = false;
    Instant m_leaseUntil {};
    Instant m_nextRenewal {};
    Instant m_nextList {};
    Instant m_retryAt {};
    bool m_listValid = false;
    std::optional<Instant> m_unconfirmedUntil; // A call without a reply may be carried out until then.
    bool m_listConfirms = false; // The listing in progress shows whether it was.
};

} // namespace plantainwall

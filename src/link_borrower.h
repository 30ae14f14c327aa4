#pragma once

#include "avoided_hosts.h"
#include "link_message.h"
#include <gsl/span>
#include <vector>

namespace plantainwall {

/// Hosts of an earlier rank lend while one of them can.
enum class LenderRank : uint8_t {
    Near, ///< In the server's data centre.
    InRegion,
    Weak, ///< With little processor capacity.
    Count
};

/// A host that may lend connections.
struct LenderCandidate {
    std::string host;
    std::string address; ///< Empty for this host.
    LenderRank rank = LenderRank::Near;
};

/// Selects the hosts from which connections to backend servers may be borrowed.
class LenderChoice {
public:
    virtual ~LenderChoice() = default;
    /// Returns the hosts that may lend connections to servers of a data centre. An empty result means that every host
    /// opens its own connections.
    virtual const std::vector<LenderCandidate>& lenders(const std::string& dataCentre) const = 0;
};

struct LinkBorrowerSettings {
    /// A lender that does not answer an Open within this time counts as lost.
    Duration openTimeout = std::chrono::milliseconds(500);
    Duration avoidanceTime = std::chrono::seconds(2); ///< A lost lender is not used again for this long.
    /// Number of lenders that must fail to reach a server before it counts as unreachable, because a single lender may
    /// be disconnected from it.
    size_t lendersToConfirmFailure = 2;
    Duration unusedTimeout = std::chrono::seconds(30); ///< A stream without links is closed after this.
};

/// Opens connections to backend servers through other entry hosts. All connections of one customer go through the same
/// lender near the server, so that they can be reused (see ConnectionPool). If a lender is lost or cannot reach the
/// server, the next one is used.
class LinkBorrower final : public BackendConnector {
public:
    using Clock = std::function<Instant()>;

    /// direct opens connections that are not lent; pool opens those for which this host itself is the lender.
    LinkBorrower(std::string host, BackendConnector& direct, BackendConnector& pool, PeerStreams&, Clock,
        const LinkBorrowerSettings& = {});
    ~LinkBorrower() override;

    /// Sets the selection of lenders. Until then no connections are borrowed.
    void setLenders(const LenderChoice& choice) { m_lenderChoice = &choice; }

    /// Called with what lenders report of the load of servers.
    using LoadReported
        = std::function<void(const std::string& server, const std::string& lender, const ServerLoadSample&)>;
    void setLoadReported(LoadReported function) { m_loadReported = std::move(function); }

    std::unique_ptr<BackendLink> open(const ServerEntry&, const std::string& customer, BackendObserver&) override;
    std::unique_ptr<BackendLink> openWithPriority(
        const ServerEntry&, const std::string& customer, unsigned priority, BackendObserver&) override;
    bool carries(const BackendCommand& command) const override { return m_pool.carries(command); }
    std::optional<ServerStatus> statusOf(const BackendReply& reply) override { return m_pool.statusOf(reply); }

    /// Times out unanswered openings and closes unused streams. Must be called every few milliseconds.
    void tick();

private:
    struct Link;
    struct Lender;

    using Candidates = gsl::span<const LenderCandidate>;

    std::unique_ptr<BackendLink> openFrom(
        const ServerEntry&, const std::string& customer, std::optional<unsigned> priority, BackendObserver&);
    Lender* chooseLender(const Candidates&, const std::string& server, const std::string& customer);
    BackendCloseReason reasonToReport(const Lender&, const Link&, BackendCloseReason);
    BackendConnector& ownConnector(const Candidates&) const;
    void handleLine(Lender&, std::string_view);
    void lenderLost(Lender&, const std::string& reason);

    std::string m_host;
    BackendConnector& m_direct;
    BackendConnector& m_pool;
    PeerStreams& m_streams;
    const LenderChoice* m_lenderChoice = nullptr;
    LoadReported m_loadReported;
    Clock m_clock;
    LinkBorrowerSettings m_settings;
    uint64_t m_lastLink = 0;
    std::map<std::string, std::unique_ptr<Lender>> m_lenders; ///< By host.
    AvoidedHosts m_avoided;
    /// By server: lenders that recently failed to reach it, and until when they are not used for it again.
    std::map<std::string, std::map<std::string, Instant>> m_lendersWithoutServer;
    /// Links whose observers have not yet been notified that the lender is lost.
    std::map<uint64_t, Link*> m_lostLinks;
    /// Links whose observers have not yet been notified that their lender could not read a message.
    std::map<uint64_t, Link*> m_rejectedLinks;
    std::vector<std::unique_ptr<Lender>> m_lostLenders; ///< Destroyed by the next tick.
};

} // namespace plantainwall

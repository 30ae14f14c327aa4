#pragma once

#include "avoided_hosts.h"
#include "link_message.h"
#include <vector>

namespace plantainwall {

/// Where connections to backend servers are borrowed.
class LenderChoice {
public:
    virtual ~LenderChoice() = default;
    /// Returns the hosts that may lend connections to servers of a data centre, with their addresses. This host is
    /// among them by its name, with an empty address, if it may lend itself. Empty: every host opens its own.
    virtual std::vector<std::pair<std::string, std::string>> lenders(const std::string& dataCentre) const = 0;
};

struct LinkBorrowerSettings {
    Duration openTimeout = std::chrono::milliseconds(500); ///< Until an opening is answered; else the lender is lost.
    Duration avoidanceTime = std::chrono::seconds(2); ///< A lost lender is not asked again for this long.
    /// Lenders that fail to reach a server before it counts as out of reach: one of them may be cut off from it.
    size_t lendersToConfirmFailure = 2;
    Duration unusedTimeout = std::chrono::seconds(30); ///< A stream to a lender without links is closed after this.
};

/// Opens connections to backend servers through other entry hosts: all of one customer's through the same, near the
/// server, so that they can be used again (see ConnectionPool). If a lender is lost, or does not reach the server, the
/// next one is taken.
class LinkBorrower final : public BackendConnector {
public:
    using Clock = std::function<Instant()>;

    /// direct opens connections that are not lent, pool those for which this host is the lender itself.
    LinkBorrower(std::string host, BackendConnector& direct, BackendConnector& pool, PeerStreams&, Clock,
        const LinkBorrowerSettings& = {});
    ~LinkBorrower() override;

    /// Sets who decides where connections are borrowed; before that, none are.
    void setLenders(const LenderChoice& choice) { m_choice = &choice; }

    std::unique_ptr<BackendLink> open(const ServerEntry&, const std::string& customer, BackendObserver&) override;
    std::optional<ServerStatus> statusOf(const BackendReply& reply) override { return m_pool.statusOf(reply); }

    /// Ends what is overdue; to be called every few milliseconds.
    void tick();

private:
    struct Link;
    struct Lender;

    using Candidates = std::vector<std::pair<std::string, std::string>>;

    Lender* chooseLender(const Candidates&, const std::string& server, const std::string& customer);
    BackendCloseReason judge(const Lender&, const Link&, BackendCloseReason);
    BackendConnector& ownConnector(const Candidates&) const;
    void lineFrom(Lender&, std::string_view);
    void lost(Lender&, const std::string& reason);

    std::string m_host;
    BackendConnector& m_direct;
    BackendConnector& m_pool;
    PeerStreams& m_streams;
    const LenderChoice* m_choice = nullptr;
    Clock m_clock;
    LinkBorrowerSettings m_settings;
    uint64_t m_lastLink = 0;
    std::map<std::string, std::unique_ptr<Lender>> m_lenders; ///< By host.
    AvoidedHosts m_avoided;
    /// Lenders that did not reach a server lately, and until when they are not asked for it again.
    std::map<std::string, std::map<std::string, Instant>> m_withoutServer;
    std::map<uint64_t, Link*> m_lostLinks; ///< Their observers are still to be told that the lender is lost.
    std::vector<std::unique_ptr<Lender>> m_lostLenders; ///< Destroyed by the next tick.
};

} // namespace plantainwall

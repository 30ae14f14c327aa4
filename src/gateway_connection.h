#pragma once

#include "connection_allowance.h"
#include "gateway_ports.h"
#include "prepared_names.h"
#include "server_choice.h"
#include "urgency_admission.h"
#include "warmup_share.h"
#include <deque>
#include <list>

namespace plantainwall {

class Gateway;
struct GatewayServer;

/// Purpose of a command that was sent on a connection.
enum class CommandRole : uint8_t {
    Setup,
    Begin,
    Proof, ///< Has no effect; its reply shows whether a transaction is open.
    Statement,
    Ending,
    Check,
    Count
};

/// A connection to a backend server, opened for one customer.
struct GatewayConnection final : BackendObserver {
    struct SentCommand {
        CommandRole role;
        Instant sentAt;
        bool changesValues; ///< It sets or resets session values.
    };

    GatewayConnection(Gateway& gateway, GatewayServer& server, std::string customer)
        : gateway(gateway)
        , server(server)
        , customer(std::move(customer))
    {
    }

    void backendOpened() override;
    void backendReplied(BackendReply) override;
    void backendClosed(BackendCloseReason) override;

    std::string_view lender() const { return link != nullptr ? link->lender() : std::string_view(); }
    bool idle() const { return open && unansweredCommands.empty() && job == 0 && session == 0; }

    /// Returns whether the reply to a BEGIN will differ from those before it, as the server's log has grown since.
    bool beginIsProvable() const;
    /// The same of an error of a statement.
    bool errorIsProvable() const;

    Gateway& gateway;
    GatewayServer& server;
    std::string customer;
    std::unique_ptr<BackendLink> link;
    bool open = false;
    std::deque<SentCommand> unansweredCommands; ///< Unanswered commands in the order in which they were sent.
    uint64_t job = 0; ///< Job that uses the connection; 0: none.
    uint64_t session = 0; ///< Session whose transaction is open on the connection; 0: none.
    bool wrapsRead = false; ///< The statement is a read inside a transaction that only a primary accepts.
    bool statementSent = false; ///< The caller's statement itself has been sent, not only commands before it.
    bool valueChangedInTransaction = false;
    bool valuesKnown = true; ///< Whether `values` is what the server has; if not, they are reset before the next use.
    std::map<std::string, std::string> values; ///< Session values set on the connection.
    PreparedNames prepared;
    std::string preparedName; ///< Name under which the statement under way was prepared; empty: it is no EXECUTE.
    unsigned proofsMissing = 0; ///< Replies that must show the transaction before its first statement is sent.
    LogPosition began; ///< Position in the reply to the last BEGIN.
    LogPosition failed; ///< Position in the last error of a statement.
    Instant usedAt;
    Instant chosenAt; ///< When the statement under way was counted in ServerLoads; zero if it was not.
};

/// State that this entry host keeps for a backend server.
struct GatewayServer {
    std::string id;
    std::string service;
    std::string dataCentre;
    std::string region; ///< Empty if the settings do not name that of its data centre.
    ServerSpeed speed;
    Distance distance = Distance::OtherRegion;
    unsigned slots = 1;
    std::list<std::unique_ptr<GatewayConnection>> connections;
    std::optional<Instant> drainingSince;
    Instant busyUntil; ///< No new statements until then, since it reported no free slot.
    ConnectionAllowance allowance;
    UrgencyAdmission admission;
    unsigned loggedLevel = 0; ///< Priorities that were turned away when the level was last logged, in whole or in part.
    LogPosition applied; ///< Log position visible to its reads, as reported at appliedAt.
    Instant appliedAt;
    Instant laggingUntil; ///< Reads that need a position after `applied` go to other servers until then.
    unsigned laggingReplies = 0; ///< Consecutive reads for which it had not applied enough of the log.
    Instant retryConnectAt;
    Instant levelLoggedAt; ///< When the level of admission was last logged.
    ServerLoadMeter load; ///< Of this host's statements.
    double loggedRunning = -1; ///< Estimate in the last server_load event; negative: none was known.
    Instant warmUntil; ///< The server is warming up until then.
    std::pair<uint64_t, uint64_t> warmupReported; ///< Start and sequence of the entry that warmUntil is from.
    WarmupShare warmup;
    uint64_t warmupFleet = 0; ///< Number of the fleet and configuration that `warmup` is for.
};

inline bool GatewayConnection::beginIsProvable() const { return began == LogPosition() || began < server.applied; }

inline bool GatewayConnection::errorIsProvable() const { return failed == LogPosition() || failed < server.applied; }

} // namespace plantainwall

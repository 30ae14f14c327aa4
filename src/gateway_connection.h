#pragma once

#include "connection_allowance.h"
#include "gateway_ports.h"
#include "server_choice.h"
#include <deque>
#include <list>
#include <set>

namespace plantainwall {

class Gateway;
struct GatewayServer;

/// Why a command was sent on a connection.
enum class CommandRole : uint8_t { Setup, Begin, Main, Ending, Check, Count };

/// A connection to a backend server, made for one customer.
struct GatewayConnection final : BackendObserver {
    struct Expected {
        CommandRole role;
        Instant sentAt;
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
    bool idle() const { return open && expected.empty() && job == 0 && session == 0; }

    Gateway& gateway;
    GatewayServer& server;
    std::string customer;
    std::unique_ptr<BackendLink> link;
    bool open = false;
    std::deque<Expected> expected; ///< Commands without a reply, in order.
    uint64_t job = 0; ///< Work that uses the connection; 0: none.
    uint64_t session = 0; ///< Session whose transaction is open here; 0: none.
    bool mainSent = false; ///< The job's own statement has been sent.
    bool valueChangedInTransaction = false;
    bool valuesKnown = true; ///< False: values must be reset before the next use.
    std::map<std::string, std::string> values;
    std::set<std::string> prepared;
    Instant usedAt;
};

/// A backend server as this entry host uses it.
struct GatewayServer {
    std::string id;
    std::string service;
    ServerSpeed speed;
    unsigned slots = 1;
    std::list<std::unique_ptr<GatewayConnection>> connections;
    std::optional<Instant> drainingSince;
    Instant busyUntil; ///< It had no free slot.
    ConnectionAllowance allowance;
    LogPosition applied; ///< Position that its reads see, as last reported at appliedAt.
    Instant appliedAt;
    Instant laggingUntil; ///< Reads that need more than `applied` go elsewhere until then.
    unsigned laggingReplies = 0; ///< Reads in a row for which its log was too short.
    Instant retryConnectAt;
};

} // namespace plantainwall

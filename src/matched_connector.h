#pragma once

#include "gateway_ports.h"
#include "metrics.h"

namespace plantainwall {

/// Opens connections whose observers receive exactly one reply for each command, in the order of the commands, although
/// servers may repeat replies (see ReplyMatcher). A connection with a reply that answers no command is closed.
class MatchedConnector final : public BackendConnector {
public:
    MatchedConnector(BackendConnector& connector, Metrics& metrics)
        : m_connector(connector)
        , m_metrics(metrics)
    {
    }

    std::unique_ptr<BackendLink> open(const ServerEntry&, const std::string& customer, BackendObserver&) override;
    bool carries(const BackendCommand& command) const override { return m_connector.carries(command); }
    std::optional<ServerStatus> statusOf(const BackendReply& reply) override { return m_connector.statusOf(reply); }

private:
    class Link;

    BackendConnector& m_connector;
    Metrics& m_metrics;
};

} // namespace plantainwall

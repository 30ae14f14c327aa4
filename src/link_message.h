#pragma once

#include "gateway_ports.h"

namespace plantainwall {

enum class LinkMessageKind : uint8_t {
    Open,
    Accepted, ///< Answers Open at once: the lender runs, whatever the server does.
    Opened,
    Command,
    Reply,
    Closed,
    Close,
    Count
};

/// One message about a connection to a backend server that another entry host lends. Open, Command and Close go to the
/// lender, the others to the borrower.
struct LinkMessage {
    LinkMessageKind kind = LinkMessageKind::Close;
    uint64_t link = 0; ///< Number of the connection, chosen by the borrower.
    std::string server; ///< Of Open: the server's id.
    std::string customer; ///< Of Open.
    BackendCommand command;
    BackendReply reply;
    BackendCloseReason reason = BackendCloseReason::Lost; ///< Of Closed.
};

/// Returns the message as one line without its end.
std::string encodeLinkMessage(const LinkMessage&);

/// Returns the message of a line. Throws std::exception if it is malformed.
LinkMessage decodeLinkMessage(std::string_view line);

} // namespace plantainwall

#pragma once

#include "gateway_ports.h"
#include "server_load.h"

namespace plantainwall {

enum class LinkMessageKind : uint8_t {
    Open,
    Accepted, ///< Acknowledges Open at once: shows that the lender runs, even if the server does not answer.
    Opened,
    Command,
    Reply,
    Closed,
    Close,
    Count
};

/// What a host reads of the messages about lent connections.
enum class LinkFormat : uint8_t {
    Strings, ///< Texts without the byte 0xff, in lines of up to 4 MiB.
    AnyTexts, ///< Any texts, in lines of up to maxLineToLender or maxLineToBorrower.
    Count
};

/// Longest line that a lender reads, in bytes. A text of a command takes at most twice its length, so that one of 1 MiB
/// passes. Not longer, as decoding takes many times the memory of the line.
constexpr size_t maxLineToLender = 4 * 1024 * 1024;

/// Longest line that a borrower reads, in bytes: twice that of rows of 8 MiB and a signature of 1 MiB, and some more.
constexpr size_t maxLineToBorrower = 20 * 1024 * 1024;

/// Message about a connection to a backend server that another entry host lends. Open, Command and Close are sent to
/// the lender, the others to the borrower.
struct LinkMessage {
    LinkMessageKind kind = LinkMessageKind::Close;
    uint64_t link = 0; ///< Number of the connection, assigned by the borrower.
    std::string server; ///< For Open: id of the server.
    std::string customer; ///< For Open.
    /// For Open: priority of the operation, 0 is the most urgent. Hosts that do not order operations do not send it.
    std::optional<unsigned> priority;
    BackendCommand command;
    BackendReply reply;
    BackendCloseReason reason = BackendCloseReason::Lost; ///< For Closed.
    std::optional<ServerLoadSample> load; ///< For Opened: load of the server at the lender. Hosts may omit it.
    /// For Accepted, and for a Close without a connection (link 0), which begins a stream: what the sender reads. Hosts
    /// that read strings only do not send it, and ignore it.
    LinkFormat format = LinkFormat::Strings;
};

/// Encodes a message as one line without a line break.
/// @param format What the receiver reads.
/// @return Nothing if the receiver could not read the line.
std::optional<std::string> encodeLinkMessage(const LinkMessage&, LinkFormat format);

/// Decodes a message from a line. Throws std::exception if it is malformed.
LinkMessage decodeLinkMessage(std::string_view line);

} // namespace plantainwall

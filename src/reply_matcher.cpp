#include "reply_matcher.h"
#include <algorithm>

namespace plantainwall {

namespace {

    /// Signatures kept. Copies come after a handful of later replies at most; an older one is told by its position.
    constexpr size_t maxSignatures = 128;

    enum class CommandClass : uint8_t {
        Setup, ///< Changes session values or prepared statements.
        Begin,
        Rollback,
        Statement, ///< A caller's statement.
        Status, ///< Replied to with a row that reports the server's status.
        Count
    };

    CommandClass classOf(BackendCommandKind kind)
    {
        switch (kind) {
        case BackendCommandKind::Begin:
        case BackendCommandKind::BeginReadOnly:
            return CommandClass::Begin;
        case BackendCommandKind::Rollback:
            return CommandClass::Rollback;
        case BackendCommandKind::Forward:
        case BackendCommandKind::Execute:
            return CommandClass::Statement;
        case BackendCommandKind::Status:
        case BackendCommandKind::StopReceiving:
        case BackendCommandKind::ResumeReceiving:
        case BackendCommandKind::Demote:
            return CommandClass::Status;
        case BackendCommandKind::Reset:
        case BackendCommandKind::SetValue:
        case BackendCommandKind::Prepare:
        case BackendCommandKind::Count:
            break;
        }
        return CommandClass::Setup;
    }

    /// Returns whether an error is reported for commands that take a slot, read or write only.
    bool needsRun(BackendError error)
    {
        return error == BackendError::Busy || error == BackendError::Behind || error == BackendError::StatementUnknown;
    }

    void combine(size_t& hash, std::string_view text) { hash = hash * 31 + std::hash<std::string_view> {}(text); }

    size_t hashOf(const BackendReply& reply)
    {
        size_t hash = static_cast<size_t>(reply.error) * 8 + static_cast<size_t>(reply.state);
        combine(hash, reply.detail);
        for (const std::string& row : reply.rows)
            combine(hash, row);
        return hash;
    }

} // namespace

void ReplyMatcher::sent(const BackendCommand& command) { m_unanswered.push_back(command.kind); }

std::optional<BackendCommandKind> ReplyMatcher::expected() const
{
    return m_unanswered.empty() ? std::nullopt : std::make_optional(m_unanswered.front());
}

// Returns true if the reply may be a copy, and notes it. At a position below the greatest one it may, as the originals
// there are not kept.
bool ReplyMatcher::seenBefore(const BackendReply& reply)
{
    if (reply.position == LogPosition())
        return !m_withoutPosition.insert(hashOf(reply)).second;
    if (reply.position < m_greatest)
        return true;
    if (m_greatest < reply.position) {
        m_greatest = reply.position;
        m_atGreatest.clear();
    }
    return !m_atGreatest.insert(hashOf(reply)).second;
}

bool ReplyMatcher::signatureSeenBefore(const std::string& signature)
{
    const size_t hash = std::hash<std::string> {}(signature);
    if (std::find(m_signatures.begin(), m_signatures.end(), hash) != m_signatures.end())
        return true;
    m_signatures.push_back(hash);
    if (m_signatures.size() > maxSignatures)
        m_signatures.pop_front();
    return false;
}

bool ReplyMatcher::fits(BackendCommandKind kind, const BackendReply& reply, bool seen) const
{
    const CommandClass commandClass = classOf(kind);
    if (reply.error != BackendError::None) {
        const bool runs = commandClass != CommandClass::Setup && commandClass != CommandClass::Rollback;
        return runs || !needsRun(reply.error);
    }
    switch (commandClass) {
    case CommandClass::Setup:
        return reply.rows.empty() && (reply.state == m_state || m_state == TransactionState::Failed || !seen);
    case CommandClass::Begin:
        return reply.rows.empty() && reply.state == TransactionState::Open;
    case CommandClass::Rollback:
        return reply.rows.empty() && reply.state == TransactionState::Idle;
    case CommandClass::Status:
        return reply.rows.size() == 1;
    case CommandClass::Statement:
    case CommandClass::Count:
        break;
    }
    return false; // A statement that was run is answered with a signature.
}

ReplyMatcher::Verdict ReplyMatcher::receivedSigned(const BackendReply& reply)
{
    if (signatureSeenBefore(reply.signature))
        return Verdict::Copy;
    const bool old = reply.position != LogPosition() && reply.position < m_greatest;
    const bool expectsStatement = !m_unanswered.empty() && classOf(m_unanswered.front()) == CommandClass::Statement;
    if (old || !expectsStatement || m_doubt == Doubt::Statement)
        return Verdict::Unsolicited;
    if (m_greatest < reply.position) {
        m_greatest = reply.position;
        m_atGreatest.clear();
    }
    m_unanswered.pop_front();
    m_state = reply.state;
    m_doubt = Doubt::None;
    return Verdict::Answer;
}

void ReplyMatcher::accept(BackendCommandKind kind, BackendReply& reply, bool seen)
{
    const CommandClass commandClass = classOf(kind);
    const bool ensured = commandClass == CommandClass::Setup || commandClass == CommandClass::Rollback;
    // Within a transaction, the reply to a setup command looks like that to a later BEGIN.
    const bool looksLikeBegin = commandClass == CommandClass::Setup && m_state == TransactionState::Open;
    m_unanswered.pop_front();
    m_state = reply.state;
    if (ensured) {
        if (seen)
            m_doubt = std::max(m_doubt, looksLikeBegin ? Doubt::Outcome : Doubt::Setup);
        return;
    }
    const bool errorOfSetup = m_doubt == Doubt::Setup && reply.error != BackendError::None && !needsRun(reply.error);
    reply.mayBeCopy = seen || m_doubt >= Doubt::Outcome || errorOfSetup;
    if (!reply.mayBeCopy)
        m_doubt = Doubt::None;
    else
        m_doubt = std::max(m_doubt, commandClass == CommandClass::Statement ? Doubt::Statement : Doubt::Outcome);
}

ReplyMatcher::Verdict ReplyMatcher::received(BackendReply& reply)
{
    reply.mayBeCopy = false;
    if (reply.error == BackendError::None && !reply.signature.empty())
        return receivedSigned(reply);
    const bool seen = seenBefore(reply);
    const bool explained = seen || m_doubt != Doubt::None;
    if (m_unanswered.empty())
        return explained ? Verdict::Copy : Verdict::Unsolicited;
    const BackendCommandKind kind = m_unanswered.front();
    if (!fits(kind, reply, seen)) {
        if (explained)
            return Verdict::Copy;
        const bool ownSuccess = reply.error == BackendError::None && classOf(kind) != CommandClass::Statement;
        if (ownSuccess)
            return Verdict::Unsolicited;
    }
    accept(kind, reply, seen);
    return Verdict::Answer;
}

} // namespace plantainwall

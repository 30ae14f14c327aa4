#include "reply_matcher.h"
#include <algorithm>

namespace plantainwall {

namespace {

    /// Signatures kept from before the log's last change, so that their copies need not close the connection, which the
    /// lower position of others does.
    constexpr size_t maxOldSignatures = 128;
    /// Signatures kept while the log does not change: seconds of reads without a pause.
    constexpr size_t maxSignatures = 4096;

    /// Replies kept that differ while the log does not change, such as status rows.
    constexpr size_t maxReplies = 1024;
    /// The same of replies from before the log's last change.
    constexpr size_t maxOldReplies = 256;
    /// Lookalikes of a reply that could not be compared with all earlier ones.
    constexpr unsigned manyLookalikes = 1000;

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

// Returns the number of earlier replies that look like this one, and notes it.
unsigned ReplyMatcher::noteAndCountAlike(const BackendReply& reply)
{
    notePosition(reply.position);
    std::map<size_t, unsigned>& replies = reply.position == LogPosition() ? m_withoutPosition : m_atGreatest;
    const size_t hash = hashOf(reply);
    if (replies.size() >= maxReplies && replies.count(hash) == 0)
        return manyLookalikes;
    return replies[hash]++;
}

bool ReplyMatcher::isOld(const BackendReply& reply) const
{
    return reply.position != LogPosition() && reply.position < m_greatest;
}

// A copy from before the log's last change, or a log that went back: then the connection is of no use.
ReplyMatcher::Verdict ReplyMatcher::receivedOld(const BackendReply& reply) const
{
    const bool known
        = std::find(m_oldReplies.begin(), m_oldReplies.end(), std::make_pair(reply.position, hashOf(reply)))
        != m_oldReplies.end();
    return known || m_unanswered.empty() ? Verdict::Copy : Verdict::Unsolicited;
}

void ReplyMatcher::notePosition(const LogPosition& position)
{
    if (!(m_greatest < position))
        return;
    for (const auto& [hash, n] : m_atGreatest)
        m_oldReplies.emplace_back(m_greatest, hash);
    if (m_oldReplies.size() > maxOldReplies)
        m_oldReplies.erase(m_oldReplies.begin(), m_oldReplies.end() - static_cast<std::ptrdiff_t>(maxOldReplies));
    m_greatest = position;
    m_atGreatest.clear();
    if (m_signatures.size() > maxOldSignatures)
        m_signatures.erase(m_signatures.begin(), m_signatures.end() - static_cast<std::ptrdiff_t>(maxOldSignatures));
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
        // If a BEGIN before it has failed, its reply shows that, however the one to BEGIN looked.
        return reply.rows.empty() && (reply.state == m_state || m_state != TransactionState::Idle || !seen);
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
    const bool expectsStatement = !m_unanswered.empty() && classOf(m_unanswered.front()) == CommandClass::Statement;
    if (isOld(reply) || !expectsStatement || m_doubt == Doubt::Statement)
        return Verdict::Unsolicited;
    notePosition(reply.position);
    m_unanswered.pop_front();
    m_state = reply.state;
    m_doubt = Doubt::None;
    m_doubtful = 0;
    return Verdict::Answer;
}

void ReplyMatcher::accept(BackendCommandKind kind, BackendReply& reply, unsigned alike)
{
    const CommandClass commandClass = classOf(kind);
    const bool ensured = commandClass == CommandClass::Setup || commandClass == CommandClass::Rollback;
    const bool error = reply.error != BackendError::None;
    // Within a transaction, the reply to a setup command looks like that to a BEGIN.
    const bool decides = !ensured || (commandClass == CommandClass::Setup && m_state == TransactionState::Open);
    m_unanswered.pop_front();
    if (decides) {
        const bool errorOfSetup = m_doubt == Doubt::Setup && error && !needsRun(reply.error);
        reply.lookalikes = alike + m_doubtful + (errorOfSetup || m_doubt == Doubt::Statement ? 1 : 0);
    }
    if (error && alike == 0 && m_doubt == Doubt::None)
        m_state = reply.state;
    else if (!error && commandClass == CommandClass::Begin)
        m_state = TransactionState::Open;
    else if (!error && commandClass == CommandClass::Rollback)
        m_state = TransactionState::Idle;
    if (!ensured && reply.lookalikes == 0)
        m_doubt = Doubt::None;
    else if (commandClass == CommandClass::Statement)
        m_doubt = Doubt::Statement;
    else if (decides && reply.lookalikes > 0) {
        m_doubt = std::max(m_doubt, Doubt::Outcome);
        ++m_doubtful;
    } else if (alike > 0)
        m_doubt = std::max(m_doubt, Doubt::Setup);
}

ReplyMatcher::Verdict ReplyMatcher::received(BackendReply& reply)
{
    reply.lookalikes = 0;
    if (reply.error == BackendError::None && !reply.signature.empty())
        return receivedSigned(reply);
    if (isOld(reply))
        return receivedOld(reply);
    const unsigned alike = noteAndCountAlike(reply);
    const bool explained = alike > 0 || m_doubt != Doubt::None;
    if (m_unanswered.empty())
        return explained ? Verdict::Copy : Verdict::Unsolicited;
    const BackendCommandKind kind = m_unanswered.front();
    if (!fits(kind, reply, alike > 0)) {
        if (explained)
            return Verdict::Copy;
        if (reply.error == BackendError::None)
            return Verdict::Unsolicited;
    }
    accept(kind, reply, alike);
    return Verdict::Answer;
}

} // namespace plantainwall

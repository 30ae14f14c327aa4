#include "link_message.h"
#include "json_number.h"

namespace plantainwall {

namespace {

    using web::json::value;

    constexpr std::string_view kindLetters = "otOcrxe";
    static_assert(
        kindLetters.size() == static_cast<size_t>(LinkMessageKind::Count), "each link message kind needs one letter");

    /// Detail of a success with lookalikes; their number follows. Successes have no detail otherwise, and hosts that do
    /// not know the mark ignore it.
    const std::string copyMark = "lookalikes ";

    value text(const std::string& text) { return value::string(text); }

    template <typename Enum> value number(Enum value) { return value::number(static_cast<uint32_t>(value)); }

    uint64_t numberAt(const value& fields, size_t index) { return unsignedFrom(fields.at(index)); }

    template <typename Enum> Enum enumAt(const value& fields, size_t index)
    {
        const uint64_t n = numberAt(fields, index);
        if (n >= static_cast<uint64_t>(Enum::Count))
            throw std::runtime_error("link message field out of range");
        return static_cast<Enum>(n);
    }

    /// Returns a sample that is rejected later if the field holds none: the link does not depend on it.
    ServerLoadSample loadFrom(const value& field)
    {
        try {
            return decodeServerLoad(field.as_string());
        } catch (const std::exception&) {
            ServerLoadSample invalid;
            invalid.running = -1;
            return invalid;
        }
    }

    void encodeCommand(const BackendCommand& command, std::vector<value>& fields)
    {
        fields.push_back(number(command.kind));
        fields.push_back(text(command.id));
        fields.push_back(text(command.text));
        fields.push_back(text(command.name));
        fields.push_back(text(command.argument));
        fields.push_back(value::boolean(command.writes));
        fields.push_back(value::number(command.term));
        if (!command.after)
            return;
        fields.push_back(value::number(command.after->term));
        fields.push_back(value::number(command.after->position));
    }

    BackendCommand decodeCommand(const value& fields)
    {
        BackendCommand command;
        command.kind = enumAt<BackendCommandKind>(fields, 2);
        command.id = fields.at(3).as_string();
        command.text = fields.at(4).as_string();
        command.name = fields.at(5).as_string();
        command.argument = fields.at(6).as_string();
        command.writes = fields.at(7).as_bool();
        command.term = numberAt(fields, 8);
        if (fields.size() > 10)
            command.after = LogPosition { numberAt(fields, 9), numberAt(fields, 10) };
        return command;
    }

    void encodeReply(const BackendReply& reply, std::vector<value>& fields)
    {
        fields.push_back(number(reply.error));
        fields.push_back(text(reply.signature));
        const bool marked = reply.lookalikes > 0 && reply.error == BackendError::None;
        fields.push_back(text(marked ? copyMark + std::to_string(reply.lookalikes) : reply.detail));
        fields.push_back(number(reply.state));
        fields.push_back(value::number(reply.position.term));
        fields.push_back(value::number(reply.position.position));
        for (const std::string& row : reply.rows)
            fields.push_back(text(row));
    }

    BackendReply decodeReply(const value& fields)
    {
        BackendReply reply;
        reply.error = enumAt<BackendError>(fields, 2);
        reply.signature = fields.at(3).as_string();
        reply.detail = fields.at(4).as_string();
        if (reply.error == BackendError::None && reply.detail.rfind(copyMark, 0) == 0)
            reply.lookalikes = static_cast<unsigned>(std::stoul(reply.detail.substr(copyMark.size())));
        reply.state = enumAt<TransactionState>(fields, 5);
        reply.position = { numberAt(fields, 6), numberAt(fields, 7) };
        for (size_t i = 8; i < fields.size(); ++i)
            reply.rows.push_back(fields.at(i).as_string());
        return reply;
    }

} // namespace

std::string encodeLinkMessage(const LinkMessage& message)
{
    std::vector<value> fields { text(std::string(1, kindLetters[static_cast<size_t>(message.kind)])),
        value::number(message.link) };
    switch (message.kind) {
    case LinkMessageKind::Open:
        fields.push_back(text(message.server));
        fields.push_back(text(message.customer));
        if (message.priority)
            fields.push_back(value::number(*message.priority));
        break;
    case LinkMessageKind::Command:
        encodeCommand(message.command, fields);
        break;
    case LinkMessageKind::Reply:
        encodeReply(message.reply, fields);
        break;
    case LinkMessageKind::Closed:
        fields.push_back(number(message.reason));
        break;
    case LinkMessageKind::Opened:
        if (message.load)
            fields.push_back(text(encodeServerLoad(*message.load)));
        break;
    case LinkMessageKind::Accepted:
    case LinkMessageKind::Close:
    case LinkMessageKind::Count:
        break;
    }
    return value::array(std::move(fields)).serialize();
}

LinkMessage decodeLinkMessage(std::string_view line)
{
    const value fields = value::parse(std::string(line));
    const size_t kind = kindLetters.find(fields.at(0).as_string());
    if (kind >= kindLetters.size() || fields.at(0).as_string().size() != 1)
        throw std::runtime_error("link message of unknown kind");
    LinkMessage message;
    message.kind = static_cast<LinkMessageKind>(kind);
    message.link = numberAt(fields, 1);
    if (message.kind == LinkMessageKind::Open) {
        message.server = fields.at(2).as_string();
        message.customer = fields.at(3).as_string();
        if (fields.size() > 4)
            message.priority = static_cast<unsigned>(std::min<uint64_t>(numberAt(fields, 4), UINT32_MAX));
    } else if (message.kind == LinkMessageKind::Command)
        message.command = decodeCommand(fields);
    else if (message.kind == LinkMessageKind::Reply)
        message.reply = decodeReply(fields);
    else if (message.kind == LinkMessageKind::Closed)
        message.reason = enumAt<BackendCloseReason>(fields, 2);
    else if (message.kind == LinkMessageKind::Opened && fields.size() > 2)
        message.load = loadFrom(fields.at(2));
    return message;
}

} // namespace plantainwall

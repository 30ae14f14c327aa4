#include "link_message.h"
#include "json_number.h"
#include <algorithm>
#include <charconv>
#include <iterator>

namespace plantainwall {

namespace {

    using web::json::value;

    constexpr std::string_view kindLetters = "otOcrxe";
    static_assert(
        kindLetters.size() == static_cast<size_t>(LinkMessageKind::Count), "each link message kind needs one letter");

    /// Detail of a success with lookalikes; their number follows. Successes have no detail otherwise, and hosts that do
    /// not know the mark ignore it.
    const std::string copyMark = "lookalikes ";

    /// Longest line that a host reads, in bytes, if it reads strings only.
    constexpr size_t maxLineOfStrings = 4 * 1024 * 1024;

    size_t maxLine(LinkMessageKind kind, LinkFormat format)
    {
        const bool toLender
            = kind == LinkMessageKind::Open || kind == LinkMessageKind::Command || kind == LinkMessageKind::Close;
        if (format == LinkFormat::Strings)
            return maxLineOfStrings;
        return toLender ? maxLineToLender : maxLineToBorrower;
    }

    constexpr char unreadable = '\xff'; ///< The JSON library takes it for the end of the input.

    /// Begins an escape sequence of two characters in a text that is not sent as a JSON string.
    constexpr char escapeMark = '~';

    /// Added to a control character for its place in an escape sequence.
    constexpr char controlShift = '0';

    struct Escape {
        char c;
        char code;
    };

    /// The other characters that are escaped; their codes are none of a control character.
    constexpr Escape escapes[] = { { '"', 'q' }, { '\\', 'b' }, { escapeMark, 't' }, { unreadable, 'f' } };

    bool isControl(char c) { return static_cast<unsigned char>(c) < 0x20; }

    /// Returns the second character of the escape sequence of a character; 0: it is not escaped.
    char escapeCode(char c)
    {
        if (isControl(c))
            return static_cast<char>(c + controlShift);
        const auto it
            = std::find_if(std::begin(escapes), std::end(escapes), [c](const Escape& it) { return it.c == c; });
        return it == std::end(escapes) ? '\0' : it->code;
    }

    /// Returns by how many bytes a JSON string is longer than its text.
    size_t growthOf(std::string_view text)
    {
        size_t n = 0;
        for (const char c : text)
            n += isControl(c) ? 5 : (c == '"' || c == '\\' ? 1 : 0);
        return n;
    }

    char unescaped(char code)
    {
        const auto it = std::find_if(
            std::begin(escapes), std::end(escapes), [code](const Escape& it) { return it.code == code; });
        if (it != std::end(escapes))
            return it->c;
        const char c = static_cast<char>(code - controlShift);
        if (!isControl(c))
            throw std::runtime_error("link message with an unknown escape sequence");
        return c;
    }

    /// Writes a JSON array. Texts are written directly, as a reply may be large.
    class FieldWriter {
    public:
        explicit FieldWriter(LinkFormat format)
            : m_format(format)
        {
        }

        void number(uint64_t n) { begin().append(std::to_string(n)); }
        template <typename Enum> void enumerator(Enum value) { number(static_cast<uint64_t>(value)); }
        void flag(bool value) { begin().append(value ? "true" : "false"); }

        /// Writes a JSON string, or, where it would be more than twice as long as the text or could not be read, an
        /// array that holds the text with escape sequences.
        void text(std::string_view text)
        {
            const bool readable = text.find(unreadable) == std::string_view::npos;
            m_readable = m_readable && (readable || m_format != LinkFormat::Strings);
            if (m_format == LinkFormat::Strings || (readable && growthOf(text) <= text.size()))
                writeString(text);
            else
                writeEscaped(text);
        }

        /// Returns the line; nothing if a text cannot be read, or the line is longer than the maximum, in bytes.
        std::optional<std::string> take(size_t maxBytes)
        {
            m_out += ']';
            if (!m_readable || m_out.size() > maxBytes)
                return std::nullopt;
            return std::move(m_out);
        }

    private:
        std::string& begin()
        {
            m_out += m_out.empty() ? '[' : ',';
            return m_out;
        }

        void writeString(std::string_view text)
        {
            constexpr std::string_view digits = "0123456789abcdef";
            begin() += '"';
            for (const char c : text) {
                if (isControl(c)) {
                    m_out.append("\\u00").append(1, c < 0x10 ? '0' : '1').append(1, digits[c & 15U]);
                    continue;
                }
                if (c == '"' || c == '\\')
                    m_out += '\\';
                m_out += c;
            }
            m_out += '"';
        }

        void writeEscaped(std::string_view text)
        {
            begin().append("[\"");
            for (const char c : text) {
                const char code = escapeCode(c);
                if (code != '\0')
                    m_out += escapeMark;
                m_out += code != '\0' ? code : c;
            }
            m_out.append("\"]");
        }

        LinkFormat m_format;
        std::string m_out;
        bool m_readable = true;
    };

    /// More than the commas and brackets of the largest reply: one or two for each row, and rows take 32 bytes beside
    /// their text of the 8 MiB that a reply may have.
    constexpr size_t maxSeparators = 600'000;

    /// Returns the commas and opening brackets of a line that are in no string. The JSON library takes about 60 bytes
    /// for each value.
    size_t separatorsIn(std::string_view line)
    {
        size_t n = 0;
        bool inString = false;
        for (size_t i = 0; i < line.size(); ++i) {
            const char c = line[i];
            if (c == '"')
                inString = !inString;
            else if (inString)
                i += c == '\\' ? 1 : 0;
            else
                n += c == ',' || c == '[' || c == '{' ? 1 : 0;
        }
        return n;
    }

    std::string textOf(const value& field)
    {
        if (!field.is_array())
            return field.as_string();
        if (field.size() != 1)
            throw std::runtime_error("link message text of several parts");
        const std::string& escaped = field.at(0).as_string();
        std::string text;
        text.reserve(escaped.size());
        for (size_t i = 0; i < escaped.size(); ++i)
            text += escaped[i] == escapeMark ? unescaped(escaped.at(++i)) : escaped[i];
        return text;
    }

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

    void encodeCommand(const BackendCommand& command, FieldWriter& fields)
    {
        fields.enumerator(command.kind);
        fields.text(command.id);
        fields.text(command.text);
        fields.text(command.name);
        fields.text(command.argument);
        fields.flag(command.writes);
        fields.number(command.term);
        if (!command.after)
            return;
        fields.number(command.after->term);
        fields.number(command.after->position);
    }

    BackendCommand decodeCommand(const value& fields)
    {
        BackendCommand command;
        command.kind = enumAt<BackendCommandKind>(fields, 2);
        command.id = textOf(fields.at(3));
        command.text = textOf(fields.at(4));
        command.name = textOf(fields.at(5));
        command.argument = textOf(fields.at(6));
        command.writes = fields.at(7).as_bool();
        command.term = numberAt(fields, 8);
        if (fields.size() > 10)
            command.after = LogPosition { numberAt(fields, 9), numberAt(fields, 10) };
        return command;
    }

    void encodeReply(const BackendReply& reply, FieldWriter& fields)
    {
        fields.enumerator(reply.error);
        fields.text(reply.signature);
        const bool marked = reply.lookalikes > 0 && reply.error == BackendError::None;
        fields.text(marked ? copyMark + std::to_string(reply.lookalikes) : reply.detail);
        fields.enumerator(reply.state);
        fields.number(reply.position.term);
        fields.number(reply.position.position);
        for (const std::string& row : reply.rows)
            fields.text(row);
    }

    unsigned lookalikesOf(std::string_view text)
    {
        unsigned n = 0;
        const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), n);
        if (result.ec != std::errc() || result.ptr != text.data() + text.size() || n == 0)
            throw std::runtime_error("link message with a malformed number of lookalikes");
        return n;
    }

    BackendReply decodeReply(const value& fields)
    {
        BackendReply reply;
        reply.error = enumAt<BackendError>(fields, 2);
        reply.signature = textOf(fields.at(3));
        reply.detail = textOf(fields.at(4));
        if (reply.error == BackendError::None && reply.detail.rfind(copyMark, 0) == 0) {
            reply.lookalikes = lookalikesOf(std::string_view(reply.detail).substr(copyMark.size()));
            reply.detail.clear();
        }
        reply.state = enumAt<TransactionState>(fields, 5);
        reply.position = { numberAt(fields, 6), numberAt(fields, 7) };
        for (size_t i = 8; i < fields.size(); ++i)
            reply.rows.push_back(textOf(fields.at(i)));
        return reply;
    }

} // namespace

std::optional<std::string> encodeLinkMessage(const LinkMessage& message, LinkFormat format)
{
    FieldWriter fields(format);
    fields.text(kindLetters.substr(static_cast<size_t>(message.kind), 1));
    fields.number(message.link);
    switch (message.kind) {
    case LinkMessageKind::Open:
        fields.text(message.server);
        fields.text(message.customer);
        if (message.priority)
            fields.number(*message.priority);
        break;
    case LinkMessageKind::Command:
        encodeCommand(message.command, fields);
        break;
    case LinkMessageKind::Reply:
        encodeReply(message.reply, fields);
        break;
    case LinkMessageKind::Closed:
        fields.enumerator(message.reason);
        break;
    case LinkMessageKind::Opened:
        if (message.load)
            fields.text(encodeServerLoad(*message.load));
        break;
    case LinkMessageKind::Accepted:
    case LinkMessageKind::Close:
        if (message.format != LinkFormat::Strings)
            fields.enumerator(message.format);
        break;
    case LinkMessageKind::Count:
        break;
    }
    return fields.take(maxLine(message.kind, format));
}

LinkMessage decodeLinkMessage(std::string_view line)
{
    if (separatorsIn(line) > maxSeparators)
        throw std::runtime_error("link message of too many values");
    const value fields = value::parse(std::string(line));
    const size_t kind = kindLetters.find(fields.at(0).as_string());
    if (kind >= kindLetters.size() || fields.at(0).as_string().size() != 1)
        throw std::runtime_error("link message of unknown kind");
    LinkMessage message;
    message.kind = static_cast<LinkMessageKind>(kind);
    message.link = numberAt(fields, 1);
    if (message.kind == LinkMessageKind::Open) {
        message.server = textOf(fields.at(2));
        message.customer = textOf(fields.at(3));
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
    else if ((message.kind == LinkMessageKind::Accepted || message.kind == LinkMessageKind::Close) && fields.size() > 2)
        message.format = static_cast<LinkFormat>(
            std::min(numberAt(fields, 2), static_cast<uint64_t>(LinkFormat::Count) - 1)); // Later ones include earlier.
    return message;
}

} // namespace plantainwall

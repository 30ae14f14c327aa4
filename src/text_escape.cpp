#include "text_escape.h"
#include <algorithm>
#include <boost/locale/utf.hpp>
#include <cstdio>
#include <optional>

namespace plantainwall {

namespace {

    bool isBetween(char c, unsigned char from, unsigned char to)
    {
        const unsigned char byte = static_cast<unsigned char>(c);
        return byte >= from && byte <= to;
    }

    bool isAscii(char c) { return isBetween(c, 0, 0x7f); }

    /// Returns the size of the character at the start of a text that is not empty, in bytes; 0 if there is none.
    size_t characterSize(std::string_view text)
    {
        if (isAscii(text[0]))
            return 1;
        using Traits = boost::locale::utf::utf_traits<char>;
        const char* end = text.data();
        const boost::locale::utf::code_point point = Traits::decode(end, text.data() + text.size());
        const bool none = point == boost::locale::utf::illegal || point == boost::locale::utf::incomplete;
        return none ? 0 : static_cast<size_t>(end - text.data());
    }

    bool isHexadecimal(char c) { return isBetween(c, '0', '9') || isBetween(c, 'a', 'f'); }

    /// Returns whether the text starts with \xHH.
    bool isEscape(std::string_view text)
    {
        return text.size() >= 4 && text[0] == '\\' && text[1] == 'x' && isHexadecimal(text[2])
            && isHexadecimal(text[3]);
    }

    void appendCode(std::string& out, const char* format, unsigned code)
    {
        char buf[8];
        std::snprintf(buf, sizeof(buf), format, code);
        out += buf;
    }

    /// Returns the character at the start of a text that is not empty; a byte if there is none.
    std::string_view firstCharacter(std::string_view text)
    {
        return text.substr(0, std::max<size_t>(characterSize(text), 1));
    }

    /// Returns the code of a character that a terminal or a reader of lines interprets: control characters and the line
    /// ends of Unicode. Returns nothing for others.
    std::optional<unsigned> controlCode(std::string_view character)
    {
        const unsigned char last = static_cast<unsigned char>(character.back());
        if (character.size() == 1 && (last < ' ' || last == 0x7f))
            return last;
        if (character.size() == 2 && character[0] == '\xc2' && last < 0xa0)
            return last;
        if (character == "\xe2\x80\xa8" || character == "\xe2\x80\xa9")
            return 0x2000U + (last & 0x7fU);
        return std::nullopt;
    }

    /// Short forms of JSON for control characters.
    struct ShortForm {
        unsigned code;
        std::string_view form;
    };

    constexpr ShortForm shortForms[]
        = { { '\b', "\\b" }, { '\f', "\\f" }, { '\n', "\\n" }, { '\r', "\\r" }, { '\t', "\\t" } };

    void appendControl(std::string& out, unsigned code)
    {
        const auto it = std::find_if(std::begin(shortForms), std::end(shortForms),
            [code](const ShortForm& entry) { return entry.code == code; });
        if (it != std::end(shortForms))
            out += it->form;
        else
            appendCode(out, "\\u%04x", code);
    }

    bool isPlain(char c) { return isBetween(c, ' ', 0x7e) && c != '"' && c != '\\'; }

} // namespace

bool isUtf8(std::string_view text)
{
    for (size_t i = 0; i < text.size();) {
        const size_t n = characterSize(text.substr(i));
        if (n == 0)
            return false;
        i += n;
    }
    return true;
}

std::string escapedUtf8(std::string_view text)
{
    if (std::all_of(text.begin(), text.end(), [](char c) { return isAscii(c) && c != '\\'; }))
        return std::string(text);
    std::string result;
    for (size_t i = 0; i < text.size();) {
        const std::string_view rest = text.substr(i);
        const size_t n = characterSize(rest);
        if (n == 0 || isEscape(rest))
            appendCode(result, "\\x%02x", static_cast<unsigned char>(text[i]));
        else
            result += rest.substr(0, n);
        i += std::max<size_t>(n, 1);
    }
    return result;
}

std::string utf8Text(std::string_view text) { return isUtf8(text) ? std::string(text) : escapedUtf8(text); }

void appendJsonString(std::string& out, std::string_view text)
{
    out += '"';
    if (std::all_of(text.begin(), text.end(), isPlain)) {
        out += text;
        out += '"';
        return;
    }
    for (size_t i = 0; i < text.size();) {
        const std::string_view character = firstCharacter(text.substr(i));
        const std::optional<unsigned> code = controlCode(character);
        if (character == "\"" || character == "\\")
            out.append(1, '\\').append(character);
        else if (code)
            appendControl(out, *code);
        else
            out += character;
        i += character.size();
    }
    out += '"';
}

std::string printableWord(std::string_view text)
{
    const bool plain = !text.empty()
        && std::all_of(text.begin(), text.end(), [](char c) { return isPlain(c) && c != ' ' && c != '='; });
    if (plain)
        return std::string(text);
    std::string result;
    appendJsonString(result, text);
    return result;
}

std::string printableLine(std::string_view text)
{
    bool plain = text.empty() || text[0] != '"';
    for (size_t i = 0; plain && i < text.size();) {
        const std::string_view character = firstCharacter(text.substr(i));
        plain = !controlCode(character);
        i += character.size();
    }
    if (plain)
        return std::string(text);
    std::string result;
    appendJsonString(result, text);
    return result;
}

} // namespace plantainwall

#include "support_odd_texts.h"
#include <iterator>

namespace plantainwall::test {

namespace {

    using namespace std::string_view_literals;

    constexpr std::string_view pieces[] = { "\n"sv, "\n"sv, "\n"sv, "\r"sv, "\n\r"sv, "\t"sv, " "sv, "  "sv, "\0"sv,
        "\x01"sv, "\x1b["sv, "\x7f"sv, "\xff\xfe"sv, "\xc3\xbc"sv, "\xe2\x80\xa8"sv, "\""sv, "\\"sv, "\\n"sv, "{"sv,
        ","sv, "="sv, "%0d%0a"sv, "QUERY c1-1 READ item1"sv, "QUERY - ROLLBACK"sv, "TERMINATE"sv, "READY I -"sv,
        "READY T 1.1"sv, "DATAROW 1"sv, "COMPLETE -"sv, "COMPLETE i-0.1"sv, "ERROR BUSY i-0"sv, "AFTERLSN 1.1"sv,
        "READ"sv, "WRITE"sv, "COMMIT"sv, "-"sv, "r_q1"sv, "zone"sv, "item1"sv, "ip"sv };

    constexpr std::string_view lineEnd = "\r\n";

} // namespace

std::string OddTexts::compose(bool blanks)
{
    std::string text;
    for (size_t n = 1 + m_random() % 5; n > 0; --n)
        text += pieces[m_random() % std::size(pieces)];
    if (!blanks) {
        for (char& c : text)
            c = c == ' ' ? '_' : c;
    }
    for (size_t end = text.find(lineEnd); end != std::string::npos; end = text.find(lineEnd))
        text.erase(end, 1);
    return text;
}

std::string OddTexts::lastField() { return compose(true); }

std::string OddTexts::field() { return compose(false); }

std::string OddTexts::fill(size_t bytes)
{
    // Half of them are of one byte: control bytes are the longest in other encodings.
    std::string text(bytes, static_cast<char>(m_random() % 256));
    if (m_random() % 2 == 0) {
        for (char& c : text)
            c = static_cast<char>(m_random() % 256);
    }
    for (size_t end = text.find(lineEnd); end != std::string::npos; end = text.find(lineEnd, end))
        text[end] = 'x';
    return text;
}

std::string OddTexts::shape()
{
    const std::string plain = "q" + std::to_string(m_random() % 6);
    const std::string other = "q" + std::to_string(m_random() % 6);
    const char* const mode = m_random() % 2 == 0 ? " READ " : " WRITE ";
    return m_random() % 3 == 0 ? plain + "\n" + lastField() : plain + mode + other;
}

std::string printable(std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string result;
    for (const unsigned char c : text) {
        if (c >= 0x20 && c < 0x7f && c != '\\')
            result += static_cast<char>(c);
        else
            result.append("\\x").append(1, digits[c >> 4U]).append(1, digits[c & 15U]);
    }
    return result;
}

} // namespace plantainwall::test

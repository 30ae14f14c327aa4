#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace plantainwall::test {

/// Makes texts that the wire allows and that can be mistaken for a line end, a field, a message or a part of an
/// encoding: control bytes, blanks, words of the protocol, quotes, bytes that are no UTF-8.
class OddTexts {
public:
    /// Of a thousand statements and rows, how many are as long as a message allows, or a few bytes shorter.
    static constexpr unsigned longPerThousand = 4;

    /// Longest message, in bytes without its line end.
    static constexpr size_t maxMessageBytes = 1024 * 1024;

    explicit OddTexts(uint64_t seed)
        : m_random(seed)
    {
    }

    /// Returns a text for the last field of a message: any bytes, but not CR LF.
    std::string lastField();

    /// Returns a text for a field that is followed by others: not empty, no blank, not CR LF.
    std::string field();

    /// Returns a shape that begins like a plain one and goes on like a statement.
    std::string shape();

    /// Returns a text of so many bytes for a last field: any bytes, but not CR LF.
    std::string fill(size_t bytes);

    /// Returns true for so many of a thousand calls.
    bool chance(unsigned perThousand) { return m_random() % 1000 < perThousand; }

private:
    std::string compose(bool blanks);

    std::mt19937_64 m_random;
};

/// Returns a text for messages of a test: bytes that are not printable ASCII as \xHH.
std::string printable(std::string_view);

} // namespace plantainwall::test

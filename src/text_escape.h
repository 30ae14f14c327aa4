#pragma once

#include <string>
#include <string_view>

namespace plantainwall {

/// Returns whether the text is UTF-8 as Unicode defines it: no overlong forms, no surrogates.
bool isUtf8(std::string_view);

/// Returns the text as UTF-8. Each byte that belongs to no character becomes \xHH, and the backslash of a text that has
/// this form itself \x5c, so that different texts have different results. Other text is unchanged.
std::string escapedUtf8(std::string_view);

/// Returns a text that was escaped when it was written unchanged, and one of earlier versions and other programs that
/// is no UTF-8 escaped.
std::string utf8Text(std::string_view);

/// Appends a JSON string, on one line and without bytes that a terminal interprets.
/// @param text UTF-8, see escapedUtf8.
void appendJsonString(std::string& out, std::string_view text);

/// Returns a text for output in which blanks separate words: unchanged if it is a word of printable ASCII, else as a
/// JSON string. Different texts have different results.
/// @param text UTF-8, see escapedUtf8.
std::string printableWord(std::string_view text);

/// Returns a text for output that extends to the end of its line: unchanged if it is printable, else as a JSON string.
/// Different texts have different results.
/// @param text UTF-8, see escapedUtf8.
std::string printableLine(std::string_view text);

} // namespace plantainwall

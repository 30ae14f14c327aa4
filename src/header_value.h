#pragma once

#include <algorithm>
#include <string_view>

namespace plantainwall {

/// Returns whether a text reads back as itself as the value of an HTTP header: it has no control character, which may
/// end the header, and no blanks around it, which are no part of a value.
inline bool isHeaderValue(std::string_view text)
{
    const auto isBlank = [](char c) { return c == ' ' || c == '\t'; };
    const bool valid = std::none_of(text.begin(), text.end(),
        [](char c) { return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == 0x7f; });
    return valid && (text.empty() || (!isBlank(text.front()) && !isBlank(text.back())));
}

} // namespace plantainwall

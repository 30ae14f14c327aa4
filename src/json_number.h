#pragma once

#include <cpprest/json.h>
#include <limits>
#include <stdexcept>

namespace plantainwall {

/// Returns the value of a JSON number that is whole and within 0 to max. Throws std::exception for any other value; the
/// conversions of the JSON library truncate instead.
inline uint64_t unsignedFrom(const web::json::value& json, uint64_t max = std::numeric_limits<uint64_t>::max())
{
    const web::json::number& number = json.as_number();
    if (!number.is_uint64() || number.to_uint64() > max)
        throw std::out_of_range("number is not whole or out of range");
    return number.to_uint64();
}

} // namespace plantainwall

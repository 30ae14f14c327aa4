#pragma once

#include <cstdint>

namespace plantainwall {

/// Returns the number of a process's first request to other hosts. Requests are answered by their numbers, and an
/// answer to an earlier process of the same host may arrive late, so the numbers of two processes must differ.
/// @param incarnation Start of the process, Unix milliseconds.
constexpr uint64_t firstPeerRequest(uint64_t incarnation)
{
    constexpr unsigned requestBits = 20; // Far more requests than a process sends in a millisecond.
    return (incarnation << requestBits) + 1;
}

} // namespace plantainwall

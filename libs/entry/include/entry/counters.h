#pragma once

#include "gather/gather.h"

#include <array>
#include <cstdint>

/// \file
/// Counts of an entry process since its start.

namespace sassafrasvane
{

/// Counts of requests by how they ended.
struct EntryCounters {
    std::array<std::uint64_t, 4> ends{};
    /// Answered without all parts.
    std::uint64_t partial = 0;
    std::uint64_t abandoned = 0;
    std::uint64_t unrouted = 0;
    std::uint64_t unconfigured = 0;
    std::uint64_t malformed = 0;
    std::uint64_t overloaded = 0;

    /// Notes that a request ended.
    void record(GatherEnd end) noexcept { ++ends[static_cast<std::size_t>(end)]; }
};

} // namespace sassafrasvane

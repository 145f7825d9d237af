#pragma once

#include "entry/latencymetric.h"
#include "gather/gather.h"

#include <array>
#include <cstdint>
#include <string_view>

/// \file
/// Counts of an entry process since its start.

namespace sassafrasvane
{

/// Counts and latencies of requests by how they ended.
struct EntryCounters {
    std::array<std::uint64_t, 4> endCounts{};
    /// From the last byte of the request to the answer.
    LatencyMetric latencies{"request_seconds", "route"};
    std::uint64_t abandoned = 0;
    std::uint64_t unrouted = 0;
    std::uint64_t unconfigured = 0;
    std::uint64_t malformed = 0;
    std::uint64_t overloaded = 0;
    /// Refused because equal requests crashed searchers.
    std::uint64_t barred = 0;

    /// Notes that a request ended.
    void record(std::string_view route, GatherEnd end, Duration elapsed)
    {
        ++endCounts[static_cast<std::size_t>(end)];
        latencies.add(route, name(end), elapsed);
    }
};

} // namespace sassafrasvane

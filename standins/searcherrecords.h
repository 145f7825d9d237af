#pragma once

#include "base/time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

/// \file
/// What a stand-in searcher saw, for the check of the properties.

namespace sassafrasvane
{

/// Counts of one searcher since the last reset.
struct SearcherRecords {
    /// Requests that arrived, of both kinds, refused ones included.
    std::uint64_t arrived = 0;
    std::uint64_t searchesArrived = 0;
    std::uint64_t searchesRun = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t deadlinePassed = 0;
    std::uint32_t runningPeak = 0;
    /// Most at a time while cold, with those over the allowance.
    std::uint32_t coldRunningPeak = 0;
    /// Requests over the allowance of the cold searcher.
    std::uint64_t coldExcess = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t crashes = 0;
    std::uint64_t restarts = 0;
    std::map<std::string, std::uint64_t> refused;
    /// Runs of each non-idempotent request, by its key.
    std::map<std::string, std::uint64_t> runs;
    /// Moment of the last arrival.
    std::optional<TimePoint> lastArrivalAt;
    /// Moment at which it was told to drain.
    std::optional<TimePoint> drainingSince;
    std::uint64_t arrivedWhileDraining = 0;
    /// Time from the order to drain to the last arrival since.
    Duration lastArrivalAfterDrain{0};

    /// All counts, with times in milliseconds before \p now.
    nlohmann::json toJson(TimePoint now) const;
};

} // namespace sassafrasvane

#pragma once

#include "base/address.h"
#include "base/time.h"

#include <cstdint>
#include <string>

/// \file
/// What a searcher publishes of itself.

namespace sassafrasvane
{

/// One searcher, as it has registered itself.
struct SearcherEntry {
    /// Identifies the searcher; a restarted one may keep it.
    std::string instance;
    /// The back end that it serves.
    std::string backend;
    Address address;
    std::string failureDomain;
    /// Calls that it runs at the same time.
    std::uint32_t slots = 1;
    /// True if it takes no new calls.
    bool isLeaving = false;
    /// How much longer it is cold.
    Duration remainingColdTime{0};
    /// When its process started, in milliseconds of the Unix epoch by its own clock; tells one life from the next.
    std::uint64_t startedAtMs = 0;
    /// Number of the heartbeat, counted from the start of the process.
    std::uint64_t sequence = 0;

    bool operator==(const SearcherEntry &) const = default;
};

} // namespace sassafrasvane

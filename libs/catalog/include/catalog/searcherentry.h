#pragma once

#include "base/address.h"
#include "base/time.h"

#include <cstdint>
#include <string>

/// \file
/// The registration that a searcher publishes in the store.

namespace sassafrasvane
{

/// The registration of one searcher.
struct SearcherEntry {
    /// Identifies the searcher; it may stay the same over restarts.
    std::string instance;
    /// Name of the backend that it serves.
    std::string backend;
    Address address;
    std::string failureDomain;
    /// Number of calls that it runs concurrently; at least 1.
    std::uint32_t slots = 1;
    /// True if it is draining and takes no new calls.
    bool isLeaving = false;
    /// How much longer it stays cold after its start.
    Duration remainingColdTime{0};
    /// Start time of its process, in milliseconds since the Unix epoch by its own clock; distinguishes incarnations.
    std::uint64_t startedAtMs = 0;
    /// Sequence number of the heartbeat, counted from the start of the process.
    std::uint64_t sequence = 0;

    bool operator==(const SearcherEntry &) const = default;
};

} // namespace sassafrasvane

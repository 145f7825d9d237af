#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

/// \file
/// The published configuration of an entry process: which requests go to which back ends, on which terms.

namespace sassafrasvane
{

/// A back end with its share of a route's requests.
struct WeightedBackend {
    std::string backend;
    double weight = 1;
};

/// What becomes of the requests below one path prefix of one host.
struct RequestRoute {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    /// False if a request may run once at most.
    bool isIdempotent = false;
    /// Longest time from a request's arrival to its answer.
    Duration timeLimit{0};
    /// Time within which an answer is worth most.
    Duration latencyTarget{0};
    /// Rank among routes; 0 is the most urgent.
    std::uint32_t priority = 0;
    /// Searchers that may run one request, for each back end.
    std::uint32_t maxAttempts = 1;
    /// Each request goes to one of them. Empty if the request goes to all of shards.
    std::vector<WeightedBackend> split;
    /// Each request goes to all of them, and the answer is merged.
    std::vector<std::string> shards;
    /// Records in a merged answer.
    std::size_t topRecords = 0;
    /// Least share of the shards that a merged answer must include.
    double minShardShare = 1;

    bool isGathered() const noexcept { return !shards.empty(); }
};

/// The terms of one back end.
struct BackendLimits {
    std::string name;
    /// Connections that one searcher accepts from all entry VMs together.
    std::uint32_t maxConnections = 0;
    /// Calls in a second that a cold searcher bears; 0 if none is published.
    double coldCallsPerSecond = 0;
    /// How long a searcher is cold after its start.
    Duration coldTime{0};
};

/// What callers may send, and how long they may take.
struct CallerLimits {
    std::uint32_t headerBytes = 16'384;
    std::uint64_t bodyBytes = 262'144;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/// One version of the whole configuration.
struct RoutingConfiguration {
    /// Rises with each version, in steps of any size.
    std::uint64_t version = 0;
    std::vector<RequestRoute> routes;
    std::vector<BackendLimits> backends;
    CallerLimits callerLimits;
};

} // namespace sassafrasvane

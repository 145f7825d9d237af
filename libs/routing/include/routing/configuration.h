#pragma once

#include "base/time.h"
#include "routing/apikey.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// \file
/// Published configuration of an entry process: routes of requests, backends and their limits, tenants.

namespace sassafrasvane
{

/// A backend with the weight by which it shares the requests of a route.
struct WeightedBackend {
    std::string backend;
    double weight = 1;
};

/// Rules for the requests below one path prefix of one host.
struct RequestRoute {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    /// False if a request must run at most once.
    bool isIdempotent = false;
    /// Maximum time from the arrival of a request to its answer.
    Duration timeLimit{0};
    /// Time from the arrival of a request within which it should be answered.
    Duration latencyTarget{0};
    /// Priority among routes; 0 is the highest.
    std::uint32_t priority = 0;
    /// Maximum number of searchers that may run one request, per backend.
    std::uint32_t maxAttempts = 1;
    /// Each request goes to one of these backends. Empty if requests go to all of \c shards.
    std::vector<WeightedBackend> split;
    /// Each request goes to all of these backends, and their answers are merged.
    std::vector<std::string> shards;
    /// Maximum number of records in a merged answer.
    std::size_t topRecords = 0;
    /// Minimum share of the shards that a merged answer must include, from 0 to 1.
    double minShardShare = 1;
    /// True if requests need no API key.
    bool isPublic = false;

    bool isGathered() const noexcept { return !shards.empty(); }
};

/// Limits of one backend.
struct BackendLimits {
    std::string name;
    /// Connections that one searcher accepts from all entry VMs together.
    std::uint32_t maxConnections = 0;
    /// Calls per second that a cold searcher can take; 0 if no limit is published.
    double coldCallsPerSecond = 0;
    /// Time after its start during which a searcher is cold.
    Duration coldTime{0};
};

/// Limits of the size of callers' requests and of the time to send them.
struct CallerLimits {
    std::uint32_t headerBytes = 16'384;
    std::uint64_t bodyBytes = 262'144;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

/// A customer whose callers share API keys and a quota.
struct Tenant {
    /// Not empty, and valid as the value of a header.
    std::string name;
    /// Takes precedence over RequestRoute::priority.
    std::optional<std::uint32_t> priority;
    /// Quota over all VMs together; 0 if there is no limit.
    double requestsPerSecond = 0;
    double burst = 0;
    std::vector<ApiKeyDigest> keys;
};

/// One version of the whole configuration.
struct RoutingConfiguration {
    /// Increases with each version, not necessarily by 1.
    std::uint64_t version = 0;
    std::vector<RequestRoute> routes;
    std::vector<BackendLimits> backends;
    CallerLimits callerLimits;
    /// Nothing if requests carry no API keys; an empty list makes every key unknown.
    std::optional<std::vector<Tenant>> tenants;
};

} // namespace sassafrasvane

#pragma once

#include "entry/countmetric.h"
#include "entry/keyfault.h"
#include "entry/latencymetric.h"
#include "gather/gather.h"
#include "placement/replicachoice.h"

#include <array>
#include <cstdint>
#include <string_view>

/// \file
/// Request counters of an entry process.

namespace sassafrasvane
{

/// Request counts and latencies since the start of the process.
struct EntryCounters {
    /// Ended requests, indexed by GatherEnd.
    std::array<std::uint64_t, 4> endCounts{};
    /// Time from the last byte of the request to the answer, by route and GatherEnd.
    LatencyMetric latencies{"request_seconds", "route"};
    /// Calls to searchers that state a rate limit, indexed by CallPurpose.
    std::array<std::uint64_t, 3> limitedCalls{};
    /// Calls to searchers, indexed by ChoiceReason, in this VM's failure domain and in others.
    std::array<std::uint64_t, choiceReasonCount> localCalls{};
    std::array<std::uint64_t, choiceReasonCount> remoteCalls{};
    std::uint64_t abandoned = 0;
    std::uint64_t unrouted = 0;
    std::uint64_t unconfigured = 0;
    std::uint64_t malformed = 0;
    std::uint64_t overloaded = 0;
    /// Requests refused because equal requests crashed searchers.
    std::uint64_t barred = 0;
    /// Requests refused because the process may have stopped before their time limit.
    std::uint64_t stopping = 0;
    /// Requests refused because of their API key, indexed by KeyFault.
    std::array<std::uint64_t, keyFaultCount> keyFaults{};
    /// Requests refused because the tenant's quota is used up.
    std::uint64_t overQuota = 0;
    /// Requests of each tenant by how they ended.
    CountMetric tenantRequests{"tenant_requests_total", "tenant"};

    /// Counts a request of \p route that ended with \p end after \p elapsed.
    void record(std::string_view route, GatherEnd end, Duration elapsed)
    {
        ++endCounts[static_cast<std::size_t>(end)];
        latencies.add(route, name(end), elapsed);
    }
};

} // namespace sassafrasvane

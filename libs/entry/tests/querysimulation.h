#pragma once

#include "entry/waitinglist.h"
#include "gather/gather.h"
#include "placement/calltimes.h"
#include "placement/searcherpool.h"
#include "virtualload.h"

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// \file
/// Simulates entry VMs and searchers under load in virtual time, for tests of the outcomes that callers see.

namespace sassafrasvane::querysimulation
{

/// How the simulated entry VMs handle queries.
enum class Policy {
    /// As the entry process does.
    Production,
    /// Sends waiting calls in order of arrival, even to congested searchers, and refuses nothing early.
    Baseline,
};

/// Parameters of a simulation.
struct Parameters {
    std::size_t shards = 6;
    std::size_t minShards = 5;
    std::size_t replicas = 3;
    std::uint32_t slots = FakeSearcher::defaultSlots;
    std::size_t vms = 8;
    Duration target = std::chrono::milliseconds(80);
    Duration timeLimit = std::chrono::milliseconds(800);
    Duration meanWork = std::chrono::microseconds(7'500);
    Policy policy = Policy::Production;
    /// Each searcher pauses for this time once in each period; never if the period is 0.
    Duration pause{0};
    Duration pausePeriod{0};
    /// True if late parts are hedged: sent to a second searcher.
    bool hasHedges = false;

    /// Queries per second that the searchers can serve if none is slow.
    double capacity() const;
};

/// Counts of queries by how they ended.
struct Outcome {
    int queries = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;
    int failed = 0;

    double share(int count) const { return static_cast<double>(count) / std::max(1, queries); }
};

/// Simulates queries on several entry VMs that decide as the entry process does.
class QuerySimulation
{
public:
    explicit QuerySimulation(const Parameters &parameters);
    ~QuerySimulation();
    QuerySimulation(const QuerySimulation &) = delete;
    QuerySimulation &operator=(const QuerySimulation &) = delete;

    /// Makes the first \p count replicas of \p shard slower by the factor \p slowness.
    void slowDown(std::size_t shard, std::size_t count, double slowness);

    /// Removes the last \p count replicas of \p shard.
    void remove(std::size_t shard, std::size_t count);

    /// Simulates random arrivals, \p perSecond on average, for \p length and waits until all queries have ended.
    Outcome run(double perSecond, Duration length);

private:
    struct EntryVm;
    class Query;

    void addShard(std::size_t shard);
    void onTick();
    void pausePeriodically(FakeSearcher &searcher);

    Parameters parameters_;
    VirtualTime time_;
    Random random_{7};
    std::deque<FakeSearcher> searchers_;
    std::vector<BackendLimits> backends_;
    std::vector<std::unique_ptr<EntryVm>> vms_;
};

} // namespace sassafrasvane::querysimulation

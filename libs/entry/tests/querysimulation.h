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
/// Entry VMs and searchers in virtual time, for tests that run load and look at what callers get.

namespace sassafrasvane::querysimulation
{

enum class Policy {
    Production,
    /// Sends waiting calls in the order of their arrival, also to searchers that are congested, and refuses nothing.
    Baseline,
};

/// Parameters of a simulation.
struct Parameters {
    std::size_t shards = 6;
    std::size_t minShards = 5;
    std::size_t replicas = 3;
    std::uint32_t slots = FakeSearcher::usualSlots;
    std::size_t vms = 8;
    Duration target = std::chrono::milliseconds(80);
    Duration timeLimit = std::chrono::milliseconds(800);
    Duration meanWork = std::chrono::microseconds(7'500);
    Policy policy = Policy::Production;
    /// Each searcher stands still for a time, again and again; never if the period is 0.
    Duration pause{0};
    Duration pausePeriod{0};
    /// True if late parts are sent to a second searcher.
    bool hasHedges = false;

    /// Queries a second that the searchers bear if none is slow.
    double capacity() const;
};

/// What callers got.
struct Outcome {
    int queries = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;
    int failed = 0;

    double share(int count) const { return static_cast<double>(count) / std::max(1, queries); }
};

/// Plays queries on several entry VMs, with the decisions of the entry process.
class QuerySimulation
{
public:
    explicit QuerySimulation(const Parameters &parameters);
    ~QuerySimulation();
    QuerySimulation(const QuerySimulation &) = delete;
    QuerySimulation &operator=(const QuerySimulation &) = delete;

    /// Makes the first \p count replicas of \p shard slow.
    void slowDown(std::size_t shard, std::size_t count, double slowness);

    /// Takes the last \p count replicas of \p shard away.
    void remove(std::size_t shard, std::size_t count);

    /// Queries arrive with \p perSecond on average until \p length is over.
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
    std::vector<BackendTerms> backends_;
    std::vector<std::unique_ptr<EntryVm>> vms_;
};

} // namespace sassafrasvane::querysimulation

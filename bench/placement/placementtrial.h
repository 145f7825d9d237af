#pragma once

#include "admission/latencyhistogram.h"
#include "placement/calltimes.h"
#include "placement/searcherpool.h"
#include "virtualload.h"

#include <array>
#include <deque>
#include <memory>
#include <string>
#include <vector>

/// \file
/// Plays entry VMs that send the parts of queries to searchers of different speeds, in virtual time.

namespace sassafrasvane::placementtrial
{

/// How the searcher of a call is chosen.
enum class Rule {
    Pool,            ///< SearcherPool::choose() with the time left.
    PoolWithoutTime, ///< SearcherPool::choose() without it: all replicas compete by cost.
    TwoRandom,       ///< The sooner of two replicas that are drawn at random with weights by speed.
};

/// What a trial plays.
struct Setup {
    Rule rule = Rule::Pool;
    /// VMs that get queries, spread evenly over the failure domains.
    std::size_t vms = 12;
    /// Age of the load that a reply states.
    Duration newsAge{0};
    /// Load as a share of what the searchers can run, averaged over their speeds and slow phases.
    double load = 0.3;
    std::size_t shards = 12;
    std::uint32_t slots = 4;
    Duration meanWork = std::chrono::milliseconds(10);
    Duration target = std::chrono::milliseconds(150);
    Duration length = std::chrono::seconds(20);
    /// True if replies state the relative work time.
    bool hasWorkTime = true;
    std::uint64_t seed = 1;
};

/// What a trial measures.
struct Measures {
    /// Mean over time of the largest number of calls at a searcher over the mean number, among searchers of equal
    /// speed.
    double largestOverMean = 0;
    /// Time for which a call waits at its searcher while another replica has a free slot, per call.
    double avoidableWaitMs = 0;
    double partP50Ms = 0;
    double partP99Ms = 0;
    /// Share of the queries whose parts are all answered by the target.
    double inTimeShare = 0;
    /// Share of all calls, and of the first calls, that stay in the failure domain.
    double localShare = 0;
    double localFirstShare = 0;
    /// Hedges per part.
    double hedgeShare = 0;
};

/// Plays one setup.
///
/// \code
/// const Measures measures = Trial(setup).run();
/// \endcode
class Trial
{
public:
    explicit Trial(const Setup &setup);
    ~Trial();
    Trial(const Trial &) = delete;
    Trial &operator=(const Trial &) = delete;

    Measures run();

private:
    struct Vm;
    struct Query;
    struct Server;
    struct Totals {
        std::uint64_t parts = 0;
        std::uint64_t calls = 0;
        std::uint64_t localCalls = 0;
        std::uint64_t localFirstCalls = 0;
        std::uint64_t hedges = 0;
        std::uint64_t queries = 0;
        std::uint64_t inTime = 0;
        std::uint64_t samples = 0;
        double largestOverMean = 0;
        double avoidableWaitMs = 0;
    };

    void addServer(std::size_t shard, std::size_t replica);
    void playPauses(Server &server);
    void playSlowPhases(Server &server, bool isSlow);
    void sample();
    void sampleSpeed(std::size_t speed);
    void startQuery();
    void place(const std::shared_ptr<Query> &query, std::size_t shard, bool isHedge);
    void scheduleHedge(const std::shared_ptr<Query> &query, std::size_t shard);
    std::shared_ptr<TrackedSearcher> choose(Query &query, std::size_t shard, bool isHedge);
    std::shared_ptr<TrackedSearcher> chooseOfTwo(const BackendPool &backend,
                                                 const std::vector<std::shared_ptr<TrackedSearcher>> &tried);
    void call(const std::shared_ptr<Query> &query,
              std::size_t shard,
              const std::shared_ptr<TrackedSearcher> &searcher,
              bool isHedge);
    void onAnswered(Query &query, std::size_t shard, Duration elapsed);
    LoadReport loadOf(const Server &server) const;

    Setup setup_;
    VirtualTime time_;
    Random random_;
    TimePoint end_;
    std::deque<Server> servers_;
    std::vector<std::unique_ptr<Vm>> vms_;
    LatencyHistogram partTimes_;
    Totals totals_;
};

} // namespace sassafrasvane::placementtrial

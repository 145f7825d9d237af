#include "limitoracle.h"
#include "placement/searcherpool.h"
#include "virtualload.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <memory>

/// \file
/// Simulates fleets of entry VMs before searchers that state a rate limit, in virtual time, and counts what the
/// searchers get.

using namespace sassafrasvane;
using namespace std::chrono_literals;

namespace
{

constexpr Duration callTime = 10ms;
constexpr std::size_t replicas = 3;
/// Shares of the calls that are hedged, and that fail and are retried.
constexpr double hedgedShare = 0.1;
constexpr double failedShare = 0.1;
/// Share of the requests that reach VMs which are not advertised to callers.
constexpr double strayShare = 0.02;

/// A fleet of entry VMs and one backend of three searchers.
class LimitSimulation
{
public:
    /// \param advertised number of VMs that are advertised to callers. \param vms number of all VMs. \param seed seed
    /// of the requests.
    LimitSimulation(std::size_t advertised, std::size_t vms, std::uint64_t seed = defaultSeed) : random_(seed)
    {
        for (std::size_t vm = 0; vm < vms; ++vm) {
            names_.push_back("vm-" + std::to_string(vm));
        }
        fleet_.sharers.insert(names_.begin(), names_.begin() + static_cast<std::ptrdiff_t>(advertised));
        fleet_.advertisedCount = advertised;
        fleet_.memberCount = vms;
        for (std::size_t vm = 0; vm < vms; ++vm) {
            start(vm);
        }
    }

    /// All VMs are advertised to callers.
    explicit LimitSimulation(std::size_t vms) : LimitSimulation(vms, vms) { }

    /// Starts VM \p vm, or starts it again without what it knew.
    void start(std::size_t vm)
    {
        stopped_.erase(vm);
        std::shared_ptr<SearcherPool> &pool = pools_[vm];
        pool = std::make_shared<SearcherPool>(names_[vm], "a", PoolBounds(), hashBytes(names_[vm]) + ++starts_);
        BackendLimits limits;
        limits.name = "desk";
        limits.maxConnections = 200;
        pool->setBackendLimits({limits});
        pool->setFleet(time.now(), fleet_);
        for (std::size_t number = 0; number < replicas; ++number) {
            pool->put(time.now(), entryOf(number));
        }
        disturb(vm);
    }

    /// The VM sends nothing until start() or wake().
    void stop(std::size_t vm) { stopped_.insert(vm); }

    /// The VM goes on after stop() with what it knew.
    void wake(std::size_t vm)
    {
        stopped_.erase(vm);
        disturb(vm);
    }

    /// Searcher \p number states \p callsPerSecond from now on; nothing ends the limit.
    void state(std::size_t number, std::optional<double> callsPerSecond)
    {
        stated_.at(number) = callsPerSecond;
        oracles_.at(number).onStated(time.now(), callsPerSecond);
    }

    /// Sends requests at random VMs for \p length.
    void run(double perSecond, Duration length)
    {
        const TimePoint end = time.now() + length;
        TimePoint at = time.now();
        while (at < end) {
            time.at(at, [this] { request(); });
            at += shareOf(1s, -std::log(1 - random_.unit()) / perSecond);
        }
        time.runUntil(end);
    }

    /// The registration of searcher \p number expires and returns everywhere.
    void registerAgain(std::size_t number)
    {
        for (const auto &[vm, pool] : pools_) {
            pool->remove(entryOf(number).instance);
            pool->put(time.now(), entryOf(number));
        }
    }

    /// The first window of a searcher with too many calls, or nothing.
    std::optional<std::string> failure() const
    {
        for (const LimitOracle &oracle : oracles_) {
            if (oracle.failure()) {
                return oracle.failure();
            }
        }
        return std::nullopt;
    }

    SearcherPool &pool(std::size_t vm) { return *pools_.at(vm); }

    static SearcherEntry entryOf(std::size_t number)
    {
        SearcherEntry entry;
        entry.instance = "s" + std::to_string(number);
        entry.backend = "desk";
        entry.failureDomain = "a";
        entry.slots = 8;
        return entry;
    }

    VirtualTime time;
    /// Number of calls that each searcher got.
    std::array<int, replicas> calls{};

private:
    using Tried = std::vector<std::shared_ptr<TrackedSearcher>>;

    void disturb(std::size_t vm)
    {
        for (LimitOracle &oracle : oracles_) {
            oracle.onDisturbed(names_[vm]);
        }
    }

    void request()
    {
        const bool isStray = random_.chance(strayShare);
        const std::size_t vm = random_.below(isStray ? names_.size() : fleet_.sharers.size());
        if (!stopped_.contains(vm)) {
            send(vm, {}, false);
        }
    }

    void send(std::size_t vm, const Tried &tried, bool isHedge)
    {
        const std::shared_ptr<SearcherPool> pool = pools_.at(vm);
        CallParameters parameters;
        parameters.typicalDuration = callTime;
        parameters.isHedge = isHedge;
        const TimePoint sentAt = time.now();
        const Choice choice = pool->choose(sentAt, pool->backend("desk"), tried, parameters);
        if (!choice.searcher) {
            return;
        }
        const std::size_t number = std::stoul(choice.searcher->entry().instance.substr(1));
        ++calls.at(number);
        oracles_.at(number).onArrival(names_[vm], sentAt);
        Tried next = tried;
        next.push_back(choice.searcher);
        if (!isHedge && random_.chance(hedgedShare)) {
            send(vm, next, true);
        }
        const SelfReport report{stated_.at(number), false};
        const std::uint64_t call = choice.searcher->beginCall(sentAt, callTime);
        time.at(sentAt + callTime, [this, vm, pool, next, call, sentAt, report, number] {
            onReply(vm, pool, next, call, sentAt, report, number);
        });
    }

    void onReply(std::size_t vm,
                 const std::shared_ptr<SearcherPool> &pool,
                 const Tried &tried,
                 std::uint64_t call,
                 TimePoint sentAt,
                 const SelfReport &report,
                 std::size_t number)
    {
        if (pools_.at(vm) != pool || stopped_.contains(vm)) {
            return;
        }
        pool->applySelfReport(time.now(), *tried.back(), sentAt, report, true);
        tried.back()->endCall(time.now(), call, CallEnd::Answered, std::nullopt);
        if (report.callsPerSecond) {
            oracles_.at(number).onTold(names_[vm], time.now(), *report.callsPerSecond);
        }
        if (random_.chance(failedShare)) {
            send(vm, tried, false);
        }
    }

    static constexpr std::uint64_t defaultSeed = 11;

    Random random_;
    std::vector<std::string> names_;
    Fleet fleet_;
    std::map<std::size_t, std::shared_ptr<SearcherPool>> pools_;
    std::set<std::size_t> stopped_;
    std::array<LimitOracle, replicas> oracles_;
    std::array<std::optional<double>, replicas> stated_{};
    std::uint64_t starts_ = 0;
};

/// Two of three searchers state a limit, and the load is ten times the limit.
void checkThatTheLimitIsKept(std::size_t advertised, std::size_t vms, double limit)
{
    BOOST_TEST_CONTEXT(advertised << " of " << vms << " VMs, " << limit << " calls a second")
    {
        LimitSimulation simulation(advertised, vms);
        const double load = std::max(20.0, 10 * limit);
        simulation.run(load, 2s);
        simulation.state(0, limit);
        simulation.state(1, limit);
        simulation.run(load, 20s);
        BOOST_TEST(!simulation.failure(), *simulation.failure());
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(limit)

BOOST_AUTO_TEST_CASE(searcherGetsNoMoreThanItStatesFromAFewVms)
{
    for (const double limit : {0.0, 0.5, 3.0, 9.0, 30.0, 300.0}) {
        checkThatTheLimitIsKept(8, 8, limit);
    }
}

BOOST_AUTO_TEST_CASE(searcherGetsNoMoreThanItStatesFromManyVms)
{
    for (const std::size_t vms : {12U, 80U, 300U}) {
        for (const double limit : {0.5, 3.0, 18.0, 200.0}) {
            checkThatTheLimitIsKept(vms, vms, limit);
        }
    }
}

BOOST_AUTO_TEST_CASE(searcherGetsNoMoreThanItStatesIfFewOfManyVmsAreAdvertised)
{
    for (const std::size_t vms : {80U, 300U}) {
        for (const double limit : {0.5, 3.0, 18.0, 200.0}) {
            checkThatTheLimitIsKept(12, vms, limit);
        }
    }
}

BOOST_AUTO_TEST_CASE(limitHoldsWhileVmsAreKilledAndStartAgain)
{
    for (const std::size_t vms : {8U, 80U, 300U}) {
        LimitSimulation simulation(std::min<std::size_t>(vms, 12), vms);
        simulation.state(0, 18);
        for (int round = 0; round < 5; ++round) {
            simulation.run(1'000, 3s);
            for (std::size_t vm = 0; vm < vms; vm += 2) {
                simulation.stop(vm);
            }
            simulation.run(1'000, 2s);
            for (std::size_t vm = 0; vm < vms; vm += 2) {
                simulation.start(vm);
            }
        }
        BOOST_TEST(!simulation.failure(), vms << " VMs: " << *simulation.failure());
    }
}

BOOST_AUTO_TEST_CASE(limitHoldsAfterVmsWereSuspended)
{
    for (const std::size_t vms : {8U, 80U, 300U}) {
        LimitSimulation simulation(std::min<std::size_t>(vms, 12), vms);
        simulation.state(0, 18);
        for (int round = 0; round < 5; ++round) {
            simulation.run(1'000, 3s);
            for (std::size_t vm = 0; vm < vms; vm += 2) {
                simulation.stop(vm);
            }
            simulation.run(1'000, 5s);
            for (std::size_t vm = 0; vm < vms; vm += 2) {
                simulation.wake(vm);
            }
            simulation.run(2'000, 500ms);
        }
        BOOST_TEST(!simulation.failure(), vms << " VMs: " << *simulation.failure());
    }
}

BOOST_AUTO_TEST_CASE(limitHoldsWhenManyCallersComeAfterALull)
{
    for (const std::size_t vms : {8U, 80U, 300U}) {
        for (const double limit : {1.0, 18.0, 200.0}) {
            LimitSimulation simulation(vms);
            simulation.state(0, limit);
            simulation.run(500, 5s);
            simulation.run(1, 60s);
            simulation.run(5'000, 5s);
            BOOST_TEST(!simulation.failure(), vms << " VMs, " << limit << ": " << *simulation.failure());
        }
    }
}

BOOST_AUTO_TEST_CASE(limitThatChangesIsKeptAndOneThatEndsIsForgotten)
{
    for (const std::size_t vms : {8U, 80U, 300U}) {
        LimitSimulation simulation(std::min<std::size_t>(vms, 12), vms);
        for (const double limit : {30.0, 3.0, 60.0, 18.0}) {
            simulation.state(0, limit);
            simulation.run(400, 10s);
        }
        BOOST_TEST(!simulation.failure(), vms << " VMs: " << *simulation.failure());
        simulation.state(0, std::nullopt);
        // Within an interval of the VMs that may still observe the limit of 3.
        simulation.run(400, 25s);
        const int before = simulation.calls[0];
        simulation.run(400, 4s);
        // Three quarters of an equal share of the load.
        BOOST_TEST(simulation.calls[0] - before >= 400, vms << " VMs");
    }
}

// Load: a searcher that was limited recovers. Guards against sending it all the load at once.
BOOST_AUTO_TEST_CASE(loadReturnsByDegreesAfterALimitHasEnded)
{
    for (const std::size_t vms : {8U, 80U, 300U}) {
        for (const double limit : {1.0, 6.0, 60.0}) {
            LimitSimulation simulation(std::min<std::size_t>(vms, 12), vms);
            simulation.state(0, limit);
            // Long enough that every VM knows the limit.
            simulation.run(600, 40s);
            simulation.state(0, std::nullopt);
            int before = simulation.calls[0];
            simulation.run(600, 4s);
            BOOST_TEST(simulation.calls[0] - before <= 1.5 * limit * 4 + 5, vms << " VMs, " << limit);
            // The interval of an observer of the lowest limit, and the recovery.
            simulation.run(600, 85s);
            before = simulation.calls[0];
            simulation.run(600, 4s);
            // Three quarters of an equal share of the load.
            BOOST_TEST(simulation.calls[0] - before >= 600, vms << " VMs, " << limit);
        }
    }
}

// Guards against an allowance that is left over from the recovery when the searcher states a limit again.
BOOST_AUTO_TEST_CASE(limitStatedDuringTheRecoveryHoldsAtOnce)
{
    for (const Duration recovery : {1s, 5s, 7s}) {
        LimitSimulation simulation(12, 80);
        for (int round = 0; round < 3; ++round) {
            simulation.state(0, 6);
            simulation.run(600, 10s);
            simulation.state(0, std::nullopt);
            simulation.run(600, recovery);
        }
        BOOST_TEST(!simulation.failure(), *simulation.failure());
    }
}

// Guards against observers that find their slot too dear to call in it.
BOOST_AUTO_TEST_CASE(limitThatEndsIsForgottenByEveryObserver)
{
    for (const std::uint64_t seed : {111U, 119U, 162U, 176U, 180U}) {
        for (const std::size_t vms : {80U, 300U}) {
            LimitSimulation simulation(12, vms, seed);
            for (const double limit : {30.0, 3.0, 60.0, 18.0}) {
                simulation.state(0, limit);
                simulation.run(400, 10s);
            }
            simulation.state(0, std::nullopt);
            simulation.run(400, 25s);
            const int before = simulation.calls[0];
            simulation.run(400, 4s);
            BOOST_TEST(!simulation.failure(), vms << " VMs, seed " << seed << ": " << *simulation.failure());
            BOOST_TEST(simulation.calls[0] - before >= 400, vms << " VMs, seed " << seed);
        }
    }
}

BOOST_AUTO_TEST_CASE(limitStatedAfterTheRegistrationExpiredHoldsForTheNextOne)
{
    LimitSimulation simulation(8);
    SearcherPool &pool = simulation.pool(0);
    const std::shared_ptr<TrackedSearcher> former = pool.find("s0");
    simulation.registerAgain(0);
    pool.applySelfReport(simulation.time.now(), *former, simulation.time.now() - callTime, {3, false}, true);
    BOOST_TEST(pool.find("s0")->statedLimit().isInForce());
}

BOOST_AUTO_TEST_CASE(limitOutlivesTheRegistration)
{
    LimitSimulation simulation(8);
    simulation.state(0, 3);
    simulation.run(200, 2s);
    for (int registration = 0; registration < 20; ++registration) {
        simulation.registerAgain(0);
        simulation.run(200, 500ms);
    }
    BOOST_TEST(!simulation.failure(), *simulation.failure());
}

BOOST_AUTO_TEST_SUITE_END()

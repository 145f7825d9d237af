#include "limitoracle.h"
#include "placement/searcherpool.h"
#include "virtualload.h"

#include <boost/test/unit_test.hpp>

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

/// A fleet of entry VMs and one backend of three searchers.
class LimitSimulation
{
public:
    explicit LimitSimulation(std::size_t vmCount)
    {
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            fleet_.insert("vm-" + std::to_string(vm));
        }
        for (const std::string &vm : fleet_) {
            start(vm);
        }
    }

    /// Starts \p vm, or starts it again without what it knew.
    void start(const std::string &vm)
    {
        std::shared_ptr<SearcherPool> &pool = pools_[vm];
        pool = std::make_shared<SearcherPool>(vm, "a", PoolBounds(), hashBytes(vm) + ++starts_);
        BackendLimits limits;
        limits.name = "desk";
        limits.maxConnections = 200;
        pool->setBackendLimits({limits});
        pool->setFleet(time.now(), fleet_);
        for (std::size_t number = 0; number < replicas; ++number) {
            pool->put(time.now(), entryOf(number));
            oracles_[number].onDisturbed(vm);
        }
    }

    /// Searcher \p number states \p callsPerSecond from now on; nothing ends the limit.
    void state(std::size_t number, std::optional<double> callsPerSecond)
    {
        stated_[number] = callsPerSecond;
        oracles_[number].onStated(time.now(), callsPerSecond);
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

    const LimitOracle &oracle(std::size_t number) const { return oracles_.at(number); }
    SearcherPool &pool(const std::string &vm) { return *pools_.at(vm); }
    const std::set<std::string> &fleet() const { return fleet_; }

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
    /// Number of requests without a searcher.
    int unplaced = 0;

private:
    void request()
    {
        const auto vm = std::next(pools_.begin(), static_cast<std::ptrdiff_t>(random_.below(pools_.size())));
        const std::shared_ptr<SearcherPool> pool = vm->second;
        CallParameters parameters;
        parameters.typicalDuration = callTime;
        const TimePoint sentAt = time.now();
        const Choice choice = pool->choose(sentAt, pool->backend("desk"), {}, parameters);
        if (!choice.searcher) {
            ++unplaced;
            return;
        }
        const std::size_t number = std::stoul(choice.searcher->entry().instance.substr(1));
        ++calls.at(number);
        oracles_[number].onArrival(vm->first, sentAt);
        const SelfReport report{stated_[number], false};
        const std::uint64_t call = choice.searcher->beginCall(sentAt, callTime);
        time.at(sentAt + callTime, [this, pool, name = vm->first, choice, call, sentAt, report, number] {
            pool->applySelfReport(time.now(), *choice.searcher, sentAt, report, true);
            choice.searcher->endCall(time.now(), call, CallEnd::Answered, std::nullopt);
            if (report.callsPerSecond && pools_.at(name) == pool) {
                oracles_[number].onTold(name, time.now(), *report.callsPerSecond);
            }
        });
    }

    Random random_{11};
    std::set<std::string> fleet_;
    std::map<std::string, std::shared_ptr<SearcherPool>> pools_;
    std::map<std::size_t, LimitOracle> oracles_;
    std::array<std::optional<double>, replicas> stated_{};
    std::uint64_t starts_ = 0;
};

/// A fleet of \p vms VMs whose load is ten times the limit that two of three searchers state.
void checkThatTheLimitIsKept(std::size_t vms, double limit)
{
    BOOST_TEST_CONTEXT(vms << " VMs, " << limit << " calls a second")
    {
        LimitSimulation simulation(vms);
        const double load = std::max(20.0, 10 * limit);
        simulation.run(load, 2s);
        simulation.state(0, limit);
        simulation.state(1, limit);
        simulation.run(load, 20s);
        for (const std::size_t searcher : {0U, 1U}) {
            BOOST_TEST(!simulation.oracle(searcher).failure(), *simulation.oracle(searcher).failure());
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(limit)

BOOST_AUTO_TEST_CASE(searcherGetsNoMoreThanItStatesFromAFewVms)
{
    for (const double limit : {0.0, 0.5, 3.0, 9.0, 30.0, 300.0}) {
        checkThatTheLimitIsKept(8, limit);
    }
}

BOOST_AUTO_TEST_CASE(searcherGetsNoMoreThanItStatesFromManyVms)
{
    for (const std::size_t vms : {12U, 80U, 300U}) {
        for (const double limit : {0.5, 3.0, 18.0, 200.0}) {
            checkThatTheLimitIsKept(vms, limit);
        }
    }
}

BOOST_AUTO_TEST_CASE(limitStatedAfterTheRegistrationExpiredHoldsForTheNextOne)
{
    LimitSimulation simulation(8);
    SearcherPool &pool = simulation.pool("vm-0");
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
    BOOST_TEST(!simulation.oracle(0).failure(), *simulation.oracle(0).failure());
}

BOOST_AUTO_TEST_SUITE_END()

#include "placement/searcherpool.h"
#include "virtualload.h"

#include <boost/test/unit_test.hpp>

/// \file
/// Simulates load on several entry VMs and fake searchers in virtual time, and checks how many requests are answered
/// within the latency target. The baseline chooses searchers at random and never refuses a request.

using namespace sassafrasvane;
using namespace std::chrono_literals;

namespace
{

constexpr Duration target = 80ms;
constexpr Duration meanWork = 7'500us;
constexpr std::size_t searcherCount = 4;
constexpr std::size_t vmCount = 4;
/// Calls per second that all searchers together can run.
constexpr double capacity = searcherCount * FakeSearcher::defaultSlots / 0.0075;

/// Number of requests by result.
struct Outcome {
    int requested = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;

    double inTimeShare() const { return static_cast<double>(inTime) / requested; }
    double inTimeShareOfAccepted() const { return static_cast<double>(inTime) / (requested - refused); }
};

class LoadSimulation
{
public:
    explicit LoadSimulation(bool isBaseline) : isBaseline_(isBaseline)
    {
        std::set<std::string> fleet;
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            fleet.insert("vm-" + std::to_string(vm));
        }
        for (const std::string &vm : fleet) {
            pools_.push_back(std::make_unique<SearcherPool>(vm, "a", PoolBounds(), hashBytes(vm)));
            pools_.back()->setBackendLimits({limits()});
            pools_.back()->setFleet(time.now(), fleet);
        }
        for (std::size_t number = 0; number < searcherCount; ++number) {
            searchers_.emplace_back(time, random_);
            SearcherEntry entry;
            entry.instance = std::to_string(number);
            entry.backend = "desk";
            entry.failureDomain = "a";
            entry.slots = FakeSearcher::defaultSlots;
            for (const std::unique_ptr<SearcherPool> &pool : pools_) {
                pool->put(time.now(), entry);
            }
        }
    }

    /// Simulates requests that arrive for \p length as a Poisson process with the rate \p perSecond.
    Outcome run(double perSecond, Duration length)
    {
        Outcome outcome;
        const TimePoint end = time.now() + length;
        TimePoint at = time.now();
        while (at < end) {
            time.at(at, [this, &outcome] { arrive(outcome); });
            at += shareOf(1s, -std::log(1 - random_.unit()) / perSecond);
        }
        time.runUntil(end + 10s);
        return outcome;
    }

    VirtualTime time;

    FakeSearcher &searcher(std::size_t number) { return searchers_[number]; }

private:
    static BackendLimits limits()
    {
        BackendLimits limits;
        limits.name = "desk";
        limits.maxConnections = 26;
        return limits;
    }

    void arrive(Outcome &outcome)
    {
        ++outcome.requested;
        SearcherPool &pool = *pools_[random_.below(vmCount)];
        const std::shared_ptr<TrackedSearcher> chosen = isBaseline_
            ? pool.find(std::to_string(random_.below(searcherCount)))
            : pool.choose(time.now(), pool.backend("desk"), {}).searcher;
        if (!chosen) {
            ++outcome.refused;
            return;
        }
        const TimePoint sentAt = time.now();
        const std::uint64_t number = chosen->beginCall(sentAt, meanWork);
        FakeSearcher &searcher = searchers_[std::stoul(chosen->entry().instance)];
        searcher.submit(meanWork, [this, chosen, number, sentAt, &searcher, &outcome] {
            chosen->endCall(time.now(), number, CallEnd::Answered, searcher.load());
            ++(time.now() - sentAt <= target ? outcome.inTime : outcome.late);
        });
    }

    bool isBaseline_;
    Random random_{7};
    std::deque<FakeSearcher> searchers_;
    std::vector<std::unique_ptr<SearcherPool>> pools_;
};

} // namespace

BOOST_AUTO_TEST_CASE(usualLoadIsServedInTime)
{
    LoadSimulation simulation(false);
    const Outcome outcome = simulation.run(capacity * 0.5, 10s);
    BOOST_TEST(outcome.inTimeShare() >= 0.99);
}

BOOST_AUTO_TEST_CASE(slowSearcherCostsFewCallersTheirTarget)
{
    const auto simulate = [](bool isBaseline) {
        LoadSimulation simulation(isBaseline);
        simulation.searcher(0).setSlowness(15);
        return simulation.run(capacity * 0.5, 10s);
    };
    const Outcome outcome = simulate(false);
    const Outcome baseline = simulate(true);
    BOOST_TEST(outcome.inTimeShare() >= 0.95);
    // The baseline sends a quarter of the requests to the slow searcher.
    BOOST_TEST(baseline.inTimeShare() <= 0.8);
}

BOOST_AUTO_TEST_CASE(overloadIsRefusedAndTheRestIsServedInTime)
{
    constexpr double overload = 1.5;
    const auto simulate = [](bool isBaseline) {
        LoadSimulation simulation(isBaseline);
        return simulation.run(capacity * overload, 5s);
    };
    const Outcome outcome = simulate(false);
    const Outcome baseline = simulate(true);
    BOOST_TEST(outcome.inTimeShareOfAccepted() >= 0.95);
    BOOST_TEST(outcome.inTimeShare() >= 0.9 / overload);
    // Without refusals the queues grow until hardly any request is answered in time.
    BOOST_TEST(baseline.inTimeShare() <= 0.3);
}

namespace
{

// The searcher answers ten calls, one in each 100 ms, that take \p elapsed and report \p workTime.
void answerCalls(TrackedSearcher &searcher, TimePoint &now, Duration elapsed, std::optional<double> workTime)
{
    for (int call = 0; call < 10; ++call) {
        const std::uint64_t number = searcher.beginCall(now, 10ms);
        now += elapsed;
        searcher.endCall(now, number, CallEnd::Answered, LoadReport{1, 0, 2, workTime});
        now += 100ms;
    }
}

} // namespace

// Load: a searcher works 2.5 times as slowly for 600 ms. Guards against taking the slow phase for its lasting speed.
BOOST_AUTO_TEST_CASE(workTimeIsKeptApartFromTheLastingSpeed)
{
    TimePoint now{1'000s};
    TrackedSearcher searcher(now, SearcherEntry());
    answerCalls(searcher, now, 10ms, 1);
    answerCalls(searcher, now, 25ms, 2.5);
    BOOST_TEST(searcher.slowness(now) > 2);
    BOOST_TEST(searcher.slowness(now) / searcher.workTime(now) < 1.05);
    BOOST_TEST(searcher.slowness(now) / searcher.workTime(now) > 0.95);
    // The figure says much about the next 200 ms and little after two seconds.
    BOOST_TEST(searcher.workTime(now + 100ms) > 2);
    BOOST_TEST(searcher.workTime(now + 2s) < 1.7);
}

// Guards against a searcher that states a work time of any size and never gets a call again.
BOOST_AUTO_TEST_CASE(workTimeIsBounded)
{
    TimePoint now{1'000s};
    TrackedSearcher searcher(now, SearcherEntry());
    for (const double workTime : {1e300, 0.0, -5.0}) {
        answerCalls(searcher, now, 10ms, workTime);
        BOOST_TEST(searcher.workTime(now) >= 0.1);
        BOOST_TEST(searcher.workTime(now) <= 20.0);
    }
}

// Load: other VMs keep four calls at a searcher. Guards against taking it for idle soon after the last report.
BOOST_AUTO_TEST_CASE(callsOfOtherVmsDecayTowardsTheirMean)
{
    TimePoint now{1'000s};
    SearcherEntry entry;
    entry.slots = 2;
    TrackedSearcher busy(now, entry);
    TrackedSearcher idle(now, entry);
    for (int call = 0; call < 40; ++call) {
        for (TrackedSearcher *searcher : {&busy, &idle}) {
            const std::uint32_t calls = searcher == &busy || call == 39 ? 4 : 0;
            searcher->endCall(
                now, searcher->beginCall(now, 10ms), CallEnd::Answered, LoadReport{std::min(calls, 2U), calls / 2, 2});
        }
        now += 400ms;
    }
    BOOST_TEST(busy.cost(now) > 1.5 * idle.cost(now));
}

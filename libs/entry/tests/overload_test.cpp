#include "entry/waitinglist.h"
#include "gather/gather.h"
#include "placement/calltimes.h"
#include "placement/searcherpool.h"
#include "virtualload.h"

#include <boost/test/unit_test.hpp>

#include <limits>
#include <memory>

/// \file
/// Plays more queries over shards than the searchers bear, on several entry VMs in virtual time, and checks what
/// callers get. The baseline sends waiting calls in the order of their arrival, and also to searchers that are
/// congested.

using namespace sassafrasvane;
using namespace std::chrono_literals;

namespace
{

constexpr Duration target = 80ms;
constexpr Duration timeLimit = 800ms;
constexpr Duration meanWork = 7'500us;
constexpr Duration tick = 50ms;
constexpr std::size_t shardCount = 6;
constexpr std::size_t leastShards = 5;
constexpr std::size_t replicas = 3;
constexpr std::size_t vmCount = 8;
/// Queries a second that the searchers bear if none is slow.
constexpr double capacity = replicas * FakeSearcher::slots / 0.0075;
/// Share of what the searchers could serve in time that must be served in time.
constexpr double leastOfPossible = 0.8;
/// Share of the queries that may be taken and not answered.
constexpr double mostFailedShare = 0.01;
/// Share of the latency target beyond which a searcher counts as congested, as the entry process has it.
constexpr double congestedShare = 0.5;
/// Share of the latency target after which a query that could not start is refused.
constexpr double refuseShare = 0.2;

enum class Policy {
    Ours,
    Baseline,
};

std::string shardName(std::size_t shard)
{
    return "shard-" + std::to_string(shard);
}

/// What callers got.
struct Outcome {
    int asked = 0;
    int inTime = 0;
    int late = 0;
    int refused = 0;
    int failed = 0;

    double inTimeShare() const { return static_cast<double>(inTime) / asked; }
    double servedShare() const { return static_cast<double>(inTime + late) / asked; }
};

/// What one entry VM knows.
struct EntryVm {
    EntryVm(const std::string &name, const std::set<std::string> &fleet)
        : pool(name, "a", PoolBounds(), hashBytes(name))
    {
        pool.setFleet(fleet);
    }

    SearcherPool pool;
    WaitingList waiting;
    WaitingList entrance;
    CallTimes times{target};
};

/// One query with its parts, from its arrival to its end.
class Query : public std::enable_shared_from_this<Query>
{
public:
    Query(VirtualTime &time, std::deque<FakeSearcher> &searchers, EntryVm &vm, Policy policy, Outcome &outcome)
        : time_(time), searchers_(searchers), vm_(vm), policy_(policy), outcome_(outcome), arrivedAt_(time.now())
    {
    }

    void start()
    {
        ++outcome_.asked;
        GatherTerms terms;
        terms.parts = shardCount;
        terms.leastParts = leastShards;
        terms.hedgeDelay = timeLimit;
        terms.targetAt = arrivedAt_ + target;
        terms.refuseAt = arrivedAt_ + (isOurs() ? shareOf(target, refuseShare) : timeLimit);
        terms.deadline = arrivedAt_ + timeLimit;
        GatherHooks hooks;
        hooks.hasRoom = [this](std::size_t part) {
            return !isOurs() || vm_.pool.hasRoom(time_.now(), vm_.pool.backend(shardName(part)), mostRounds());
        };
        hooks.place = [this](std::size_t part, CallPurpose) { return place(part); };
        hooks.finish = [this](GatherEnd end) { finish(end); };
        gather_ = std::make_unique<Gather>(terms, hooks);
        if (!gather_->start(arrivedAt_)) {
            waitToStart();
        }
        for (const TimePoint at : {terms.refuseAt, terms.targetAt, terms.deadline}) {
            time_.at(at, [self = shared_from_this()] { self->gather_->onTimer(self->time_.now()); });
        }
    }

private:
    bool isOurs() const { return policy_ == Policy::Ours; }

    // The baseline has no bound.
    double mostRounds() const
    {
        const double rounds = congestedShare * toMilliseconds(target) / toMilliseconds(vm_.times.typical());
        return isOurs() ? rounds : std::numeric_limits<double>::infinity();
    }

    // All calls of the baseline look equally late, which leaves the order of their arrival.
    WaitingList::Terms waitingTerms() const
    {
        return {1, arrivedAt_, isOurs() ? arrivedAt_ + target - vm_.times.typical() : TimePoint::max()};
    }

    void waitToStart()
    {
        const auto attempt = [self = shared_from_this()] {
            const bool isOver = self->gather_->isFinished() || self->gather_->start(self->time_.now());
            return isOver ? WaitingList::Turn::Over : WaitingList::Turn::Passed;
        };
        if (!vm_.entrance.add("", waitingTerms(), attempt)) {
            gather_->refuse();
        }
    }

    Placement place(std::size_t part)
    {
        if (send(part)) {
            return Placement::Sent;
        }
        const auto attempt = [self = shared_from_this(), part] {
            if (self->gather_->isFinished()) {
                return WaitingList::Turn::Over;
            }
            const bool isSent = self->send(part);
            if (isSent) {
                self->gather_->onPlaced(self->time_.now(), part);
            }
            return isSent ? WaitingList::Turn::Over : WaitingList::Turn::Busy;
        };
        return vm_.waiting.add(shardName(part), waitingTerms(), attempt) ? Placement::Waiting : Placement::Declined;
    }

    bool send(std::size_t part)
    {
        const TimePoint sentAt = time_.now();
        const Choice choice = vm_.pool.choose(sentAt, vm_.pool.backend(shardName(part)), {}, mostRounds());
        if (!choice.searcher) {
            return false;
        }
        const std::uint64_t number = choice.searcher->begin(sentAt, vm_.times.typical());
        FakeSearcher &searcher = searchers_[std::stoul(choice.searcher->entry().instance)];
        searcher.submit(meanWork,
                        [self = shared_from_this(), tracked = choice.searcher, number, sentAt, part, &searcher] {
                            const TimePoint now = self->time_.now();
                            tracked->end(now, number, CallEnd::Answered, searcher.load());
                            self->vm_.times.add(now - sentAt);
                            self->gather_->onAnswered(now, part);
                            self->vm_.waiting.onFree(now, shardName(part));
                            self->vm_.entrance.onTick(now);
                        });
        return true;
    }

    void finish(GatherEnd end)
    {
        const bool isInTime = time_.now() <= arrivedAt_ + target;
        if (end == GatherEnd::Unserved) {
            ++outcome_.refused;
        } else if (end != GatherEnd::Answered) {
            ++outcome_.failed;
        } else {
            ++(isInTime ? outcome_.inTime : outcome_.late);
        }
    }

    VirtualTime &time_;
    std::deque<FakeSearcher> &searchers_;
    EntryVm &vm_;
    Policy policy_;
    Outcome &outcome_;
    TimePoint arrivedAt_;
    std::unique_ptr<Gather> gather_;
};

/// Entry VMs and searchers, and callers that arrive at random.
class World
{
public:
    explicit World(Policy policy) : policy_(policy)
    {
        std::set<std::string> fleet;
        for (std::size_t vm = 0; vm < vmCount; ++vm) {
            fleet.insert("vm-" + std::to_string(vm));
        }
        for (const std::string &name : fleet) {
            vms_.push_back(std::make_unique<EntryVm>(name, fleet));
        }
        for (std::size_t shard = 0; shard < shardCount; ++shard) {
            addShard(shard);
        }
        onTick();
    }

    /// Makes the first \p count replicas of \p shard slow.
    void slowDown(std::size_t shard, std::size_t count, double slowness)
    {
        for (std::size_t replica = 0; replica < count; ++replica) {
            searchers_[shard * replicas + replica].setSlowness(slowness);
        }
    }

    /// Queries arrive with \p perSecond on average until \p length is over.
    Outcome play(double perSecond, Duration length)
    {
        Outcome outcome;
        const TimePoint end = time_.now() + length;
        TimePoint at = time_.now();
        while (at < end) {
            time_.at(at, [this, &outcome] {
                EntryVm &vm = *vms_[random_.below(vmCount)];
                std::make_shared<Query>(time_, searchers_, vm, policy_, outcome)->start();
            });
            at += shareOf(1s, -std::log(1 - random_.unit()) / perSecond);
        }
        time_.runUntil(end + 2 * timeLimit);
        return outcome;
    }

private:
    void addShard(std::size_t shard)
    {
        BackendTerms terms;
        terms.name = shardName(shard);
        terms.maxConnections = 26;
        terms_.push_back(terms);
        for (const std::unique_ptr<EntryVm> &vm : vms_) {
            vm->pool.setTerms(terms_);
        }
        for (std::size_t replica = 0; replica < replicas; ++replica) {
            SearcherEntry entry;
            entry.instance = std::to_string(searchers_.size());
            entry.backend = terms.name;
            entry.failureDomain = "a";
            entry.slots = FakeSearcher::slots;
            for (const std::unique_ptr<EntryVm> &vm : vms_) {
                vm->pool.put(time_.now(), entry);
            }
            searchers_.emplace_back(time_, random_);
        }
    }

    void onTick()
    {
        for (const std::unique_ptr<EntryVm> &vm : vms_) {
            vm->waiting.onTick(time_.now());
            vm->entrance.onTick(time_.now());
        }
        time_.at(time_.now() + tick, [this] { onTick(); });
    }

    Policy policy_;
    VirtualTime time_;
    Random random_{7};
    std::deque<FakeSearcher> searchers_;
    std::vector<BackendTerms> terms_;
    std::vector<std::unique_ptr<EntryVm>> vms_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(overload)

BOOST_AUTO_TEST_CASE(usualLoadIsServedInTime)
{
    World world(Policy::Ours);
    const Outcome outcome = world.play(capacity * 0.5, 5s);
    BOOST_TEST(outcome.inTimeShare() >= 0.99);
}

BOOST_AUTO_TEST_CASE(callersInTimeDoNotCollapseWhenMoreComeThanCanBeServed)
{
    constexpr double load = 1.3;
    const auto play = [](Policy policy) {
        World world(policy);
        return world.play(capacity * load, 5s);
    };
    const Outcome outcome = play(Policy::Ours);
    const Outcome baseline = play(Policy::Baseline);
    BOOST_TEST(outcome.inTimeShare() >= leastOfPossible / load);
    // Nobody waits until the deadline for nothing.
    BOOST_TEST(outcome.failed <= mostFailedShare * outcome.asked);
    BOOST_TEST(outcome.inTimeShare() > baseline.inTimeShare());
}

BOOST_AUTO_TEST_CASE(slowReplicasCostNoMoreThanTheirShare)
{
    constexpr double slowness = 6;
    constexpr std::size_t slowReplicas = 2;
    // What the slowest shards bear; one of them may be left out of an answer, so two are slow.
    constexpr double slowCapacity = (replicas - slowReplicas + slowReplicas / slowness) / replicas;
    constexpr double load = 0.7;
    const auto play = [](Policy policy) {
        World world(policy);
        world.slowDown(0, slowReplicas, slowness);
        world.slowDown(1, slowReplicas, slowness);
        return world.play(capacity * load, 5s);
    };
    const Outcome outcome = play(Policy::Ours);
    const Outcome baseline = play(Policy::Baseline);
    BOOST_TEST(outcome.inTimeShare() >= leastOfPossible * slowCapacity / load);
    BOOST_TEST(outcome.inTimeShare() > baseline.inTimeShare());
}

BOOST_AUTO_TEST_SUITE_END()

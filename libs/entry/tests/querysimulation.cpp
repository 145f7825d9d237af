#include "querysimulation.h"

#include <limits>

namespace sassafrasvane::querysimulation
{

using namespace std::chrono_literals;

namespace
{

constexpr Duration tick = 50ms;
/// A searcher is congested if a call would take more than this share of the latency target, as in the entry process.
constexpr double congestedShare = 0.5;
/// Share of the latency target after which a query that could not start is refused.
constexpr double refusalShare = 0.2;

std::string shardName(std::size_t shard)
{
    return "shard-" + std::to_string(shard);
}

} // namespace

double Parameters::capacity() const
{
    return static_cast<double>(replicas * slots) / std::chrono::duration<double>(meanWork).count();
}

/// The state of one entry VM.
struct QuerySimulation::EntryVm {
    EntryVm(const std::string &name, const std::set<std::string> &fleet, Duration target)
        : pool(name, "a", PoolBounds(), hashBytes(name)), times(target)
    {
        pool.setFleet(TimePoint(), fleet);
    }

    SearcherPool pool;
    WaitingList waiting;
    WaitingList startQueue;
    CallTimes times;
};

/// One query with its parts, from its arrival to its end.
class QuerySimulation::Query : public std::enable_shared_from_this<Query>
{
public:
    Query(QuerySimulation &simulation, EntryVm &vm, Outcome &outcome)
        : simulation_(simulation), parameters_(simulation.parameters_), vm_(vm), outcome_(outcome), arrivedAt_(now())
    {
    }

    void start()
    {
        ++outcome_.queries;
        GatherParameters parameters;
        parameters.partCount = parameters_.shards;
        parameters.minParts = parameters_.minShards;
        parameters.maxAttempts = parameters_.hasHedges ? 2 : 1;
        parameters.hedgeDelay = parameters_.hasHedges ? vm_.times.hedgeDelay() : parameters_.timeLimit;
        parameters.targetAt = arrivedAt_ + parameters_.target;
        parameters.refuseAt
            = arrivedAt_ + (isProduction() ? shareOf(parameters_.target, refusalShare) : parameters_.timeLimit);
        parameters.deadline = arrivedAt_ + parameters_.timeLimit;
        GatherHooks hooks;
        hooks.room = [this](std::size_t part) {
            const bool isWaitedFor = vm_.waiting.hasTimelyCall(now(), shardName(part));
            return isProduction()
                ? vm_.pool.room(now(), vm_.pool.backend(shardName(part)), callParameters(), isWaitedFor)
                : Room::Now;
        };
        hooks.place = [this](std::size_t part, CallPurpose purpose) { return place(part, purpose); };
        hooks.finish = [this](GatherEnd end) { finish(end); };
        gather_ = std::make_unique<Gather>(parameters, hooks);
        tried_.resize(parameters.partCount);
        for (std::size_t part = 0; part < parameters.partCount; ++part) {
            vm_.pool.backend(shardName(part)).budget().onRequest();
        }
        if (!gather_->start(arrivedAt_)) {
            waitToStart();
        }
        scheduleTimer();
    }

private:
    void scheduleTimer()
    {
        if (const std::optional<TimePoint> at = gather_->wakeAt(); at && at != timerAt_) {
            timerAt_ = at;
            simulation_.time_.at(std::max(now(), *at), [self = shared_from_this(), at] {
                if (self->timerAt_ == at) {
                    self->timerAt_.reset();
                    self->gather_->onTimer(self->now());
                    self->scheduleTimer();
                }
            });
        }
    }

    TimePoint now() const { return simulation_.time_.now(); }
    bool isProduction() const { return parameters_.policy == Policy::Production; }

    // The baseline has no limit on the wait.
    CallParameters callParameters() const
    {
        CallParameters parameters;
        parameters.typicalDuration = vm_.times.typicalDuration();
        if (isProduction()) {
            parameters.maxWait = shareOf(parameters_.target, congestedShare);
        }
        return parameters;
    }

    // The calls of the baseline never become late, so they keep their order of arrival.
    WaitingList::QueueParameters queueParameters() const
    {
        return {1,
                arrivedAt_,
                isProduction() ? arrivedAt_ + parameters_.target - vm_.times.typicalDuration() : TimePoint::max()};
    }

    void waitToStart()
    {
        const auto attempt = [self = shared_from_this()] {
            const bool isOver = self->gather_->isFinished() || self->gather_->start(self->now());
            self->scheduleTimer();
            return isOver ? WaitingList::AttemptResult::Done : WaitingList::AttemptResult::Skipped;
        };
        if (!vm_.startQueue.add("", queueParameters(), attempt)) {
            gather_->refuse();
        }
    }

    Placement place(std::size_t part, CallPurpose purpose)
    {
        const bool isHedge = purpose == CallPurpose::Hedge;
        if (isHedge && !vm_.pool.backend(shardName(part)).budget().spend()) {
            return Placement::Declined;
        }
        if (send(part, isHedge)) {
            return Placement::Sent;
        }
        if (isHedge) {
            vm_.pool.backend(shardName(part)).budget().refund();
            return Placement::Declined;
        }
        const auto attempt = [self = shared_from_this(), part] {
            if (self->gather_->isFinished()) {
                return WaitingList::AttemptResult::Done;
            }
            const bool isSent = self->send(part, false);
            if (isSent) {
                self->gather_->onPlaced(self->now(), part);
                self->scheduleTimer();
            }
            return isSent ? WaitingList::AttemptResult::Done : WaitingList::AttemptResult::Busy;
        };
        return vm_.waiting.add(shardName(part), queueParameters(), attempt) ? Placement::Waiting : Placement::Declined;
    }

    bool send(std::size_t part, bool isHedge)
    {
        CallParameters parameters = callParameters();
        parameters.isHedge = isHedge;
        const TimePoint sentAt = now();
        const Choice choice = vm_.pool.choose(sentAt, vm_.pool.backend(shardName(part)), tried_[part], parameters);
        if (!choice.searcher) {
            return false;
        }
        tried_[part].push_back(choice.searcher);
        const std::uint64_t number = choice.searcher->beginCall(sentAt, vm_.times.typicalDuration());
        FakeSearcher &searcher = simulation_.searchers_[std::stoul(choice.searcher->entry().instance)];
        searcher.submit(parameters_.meanWork,
                        [self = shared_from_this(), tracked = choice.searcher, number, sentAt, part, &searcher] {
                            const TimePoint now = self->now();
                            tracked->endCall(now, number, CallEnd::Answered, searcher.load());
                            self->vm_.times.add(now - sentAt);
                            self->gather_->onAnswered(now, part);
                            self->scheduleTimer();
                            self->vm_.waiting.onSearcherFree(now, shardName(part));
                            self->vm_.startQueue.onTick(now);
                        });
        return true;
    }

    void finish(GatherEnd end)
    {
        const bool isInTime = now() <= arrivedAt_ + parameters_.target;
        if (end == GatherEnd::Unserved) {
            ++outcome_.refused;
        } else if (end != GatherEnd::Answered) {
            ++outcome_.failed;
        } else {
            ++(isInTime ? outcome_.inTime : outcome_.late);
        }
    }

    QuerySimulation &simulation_;
    const Parameters &parameters_;
    EntryVm &vm_;
    Outcome &outcome_;
    TimePoint arrivedAt_;
    std::unique_ptr<Gather> gather_;
    std::vector<std::vector<std::shared_ptr<TrackedSearcher>>> tried_;
    std::optional<TimePoint> timerAt_;
};

QuerySimulation::QuerySimulation(const Parameters &parameters) : parameters_(parameters)
{
    std::set<std::string> fleet;
    for (std::size_t vm = 0; vm < parameters_.vms; ++vm) {
        fleet.insert("vm-" + std::to_string(vm));
    }
    for (const std::string &name : fleet) {
        vms_.push_back(std::make_unique<EntryVm>(name, fleet, parameters_.target));
    }
    for (std::size_t shard = 0; shard < parameters_.shards; ++shard) {
        addShard(shard);
    }
    onTick();
}

QuerySimulation::~QuerySimulation() = default;

void QuerySimulation::slowDown(std::size_t shard, std::size_t count, double slowness)
{
    for (std::size_t replica = 0; replica < count; ++replica) {
        searchers_[shard * parameters_.replicas + replica].setSlowness(slowness);
    }
}

void QuerySimulation::remove(std::size_t shard, std::size_t count)
{
    for (std::size_t replica = parameters_.replicas - count; replica < parameters_.replicas; ++replica) {
        for (const std::unique_ptr<EntryVm> &vm : vms_) {
            vm->pool.remove(std::to_string(shard * parameters_.replicas + replica));
        }
    }
}

Outcome QuerySimulation::run(double perSecond, Duration length)
{
    Outcome outcome;
    const TimePoint end = time_.now() + length;
    TimePoint at = time_.now();
    while (at < end) {
        time_.at(at, [this, &outcome] {
            EntryVm &vm = *vms_[random_.below(vms_.size())];
            std::make_shared<Query>(*this, vm, outcome)->start();
        });
        at += shareOf(1s, -std::log(1 - random_.unit()) / perSecond);
    }
    time_.runUntil(end + 2 * parameters_.timeLimit);
    return outcome;
}

void QuerySimulation::addShard(std::size_t shard)
{
    BackendLimits limits;
    limits.name = shardName(shard);
    limits.maxConnections = 26;
    backends_.push_back(limits);
    for (const std::unique_ptr<EntryVm> &vm : vms_) {
        vm->pool.setBackendLimits(backends_);
    }
    for (std::size_t replica = 0; replica < parameters_.replicas; ++replica) {
        SearcherEntry entry;
        entry.instance = std::to_string(searchers_.size());
        entry.backend = limits.name;
        entry.failureDomain = "a";
        entry.slots = parameters_.slots;
        for (const std::unique_ptr<EntryVm> &vm : vms_) {
            vm->pool.put(time_.now(), entry);
        }
        searchers_.emplace_back(time_, random_, parameters_.slots);
        if (parameters_.pausePeriod > Duration{0}) {
            time_.at(time_.now() + shareOf(parameters_.pausePeriod, random_.unit()),
                     [this, &searcher = searchers_.back()] { pausePeriodically(searcher); });
        }
    }
}

void QuerySimulation::pausePeriodically(FakeSearcher &searcher)
{
    searcher.pauseUntil(time_.now() + parameters_.pause);
    time_.at(time_.now() + parameters_.pausePeriod, [this, &searcher] { pausePeriodically(searcher); });
}

void QuerySimulation::onTick()
{
    for (const std::unique_ptr<EntryVm> &vm : vms_) {
        vm->waiting.onTick(time_.now());
        vm->startQueue.onTick(time_.now());
    }
    time_.at(time_.now() + tick, [this] { onTick(); });
}

} // namespace sassafrasvane::querysimulation

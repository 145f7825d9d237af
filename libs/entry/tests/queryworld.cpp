#include "queryworld.h"

#include <limits>

namespace sassafrasvane::queryworld
{

using namespace std::chrono_literals;

namespace
{

constexpr Duration tick = 50ms;
/// Share of the latency target beyond which a searcher counts as congested, as the entry process has it.
constexpr double congestedShare = 0.5;
/// Share of the latency target after which a query that could not start is refused.
constexpr double refuseShare = 0.2;

std::string shardName(std::size_t shard)
{
    return "shard-" + std::to_string(shard);
}

} // namespace

double Terms::capacity() const
{
    return static_cast<double>(replicas * slots) / std::chrono::duration<double>(meanWork).count();
}

/// What one entry VM knows.
struct World::EntryVm {
    EntryVm(const std::string &name, const std::set<std::string> &fleet, Duration target)
        : pool(name, "a", PoolBounds(), hashBytes(name)), times(target)
    {
        pool.setFleet(fleet);
    }

    SearcherPool pool;
    WaitingList waiting;
    WaitingList entrance;
    CallTimes times;
};

/// One query with its parts, from its arrival to its end.
class World::Query : public std::enable_shared_from_this<Query>
{
public:
    Query(World &world, EntryVm &vm, Outcome &outcome)
        : world_(world), terms_(world.terms_), vm_(vm), outcome_(outcome), arrivedAt_(now())
    {
    }

    void start()
    {
        ++outcome_.asked;
        GatherParameters terms;
        terms.partCount = terms_.shards;
        terms.minParts = terms_.leastShards;
        terms.maxAttempts = terms_.hasHedges ? 2 : 1;
        terms.hedgeDelay = terms_.hasHedges ? vm_.times.hedgeDelay() : terms_.timeLimit;
        terms.targetAt = arrivedAt_ + terms_.target;
        terms.refuseAt = arrivedAt_ + (isOurs() ? shareOf(terms_.target, refuseShare) : terms_.timeLimit);
        terms.deadline = arrivedAt_ + terms_.timeLimit;
        GatherHooks hooks;
        hooks.room = [this](std::size_t part) {
            const bool isWaitedFor = vm_.waiting.isWaitedFor(now(), shardName(part));
            return isOurs() ? vm_.pool.room(now(), vm_.pool.backend(shardName(part)), callTerms(), isWaitedFor)
                            : Room::Now;
        };
        hooks.place = [this](std::size_t part, CallPurpose purpose) { return place(part, purpose); };
        hooks.finish = [this](GatherEnd end) { finish(end); };
        gather_ = std::make_unique<Gather>(terms, hooks);
        tried_.resize(terms.partCount);
        for (std::size_t part = 0; part < terms.partCount; ++part) {
            vm_.pool.backend(shardName(part)).budget().onRequest();
        }
        if (!gather_->start(arrivedAt_)) {
            waitToStart();
        }
        wake();
    }

private:
    void wake()
    {
        if (const std::optional<TimePoint> at = gather_->wakeAt(); at && at != wakeAt_) {
            wakeAt_ = at;
            world_.time_.at(std::max(now(), *at), [self = shared_from_this(), at] {
                if (self->wakeAt_ == at) {
                    self->wakeAt_.reset();
                    self->gather_->onTimer(self->now());
                    self->wake();
                }
            });
        }
    }

    TimePoint now() const { return world_.time_.now(); }
    bool isOurs() const { return terms_.policy == Policy::Ours; }

    // The baseline has no bound.
    CallParameters callTerms() const
    {
        CallParameters terms;
        terms.typicalDuration = vm_.times.typicalDuration();
        if (isOurs()) {
            terms.maxWait = shareOf(terms_.target, congestedShare);
        }
        return terms;
    }

    // All calls of the baseline look equally late, which leaves the order of their arrival.
    WaitingList::Terms waitingTerms() const
    {
        return {1, arrivedAt_, isOurs() ? arrivedAt_ + terms_.target - vm_.times.typicalDuration() : TimePoint::max()};
    }

    void waitToStart()
    {
        const auto attempt = [self = shared_from_this()] {
            const bool isOver = self->gather_->isFinished() || self->gather_->start(self->now());
            self->wake();
            return isOver ? WaitingList::Turn::Over : WaitingList::Turn::Passed;
        };
        if (!vm_.entrance.add("", waitingTerms(), attempt)) {
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
                return WaitingList::Turn::Over;
            }
            const bool isSent = self->send(part, false);
            if (isSent) {
                self->gather_->onPlaced(self->now(), part);
                self->wake();
            }
            return isSent ? WaitingList::Turn::Over : WaitingList::Turn::Busy;
        };
        return vm_.waiting.add(shardName(part), waitingTerms(), attempt) ? Placement::Waiting : Placement::Declined;
    }

    bool send(std::size_t part, bool isHedge)
    {
        CallParameters terms = callTerms();
        terms.isHedge = isHedge;
        const TimePoint sentAt = now();
        const Choice choice = vm_.pool.choose(sentAt, vm_.pool.backend(shardName(part)), tried_[part], terms);
        if (!choice.searcher) {
            return false;
        }
        tried_[part].push_back(choice.searcher);
        const std::uint64_t number = choice.searcher->beginCall(sentAt, vm_.times.typicalDuration());
        FakeSearcher &searcher = world_.searchers_[std::stoul(choice.searcher->entry().instance)];
        searcher.submit(terms_.meanWork,
                        [self = shared_from_this(), tracked = choice.searcher, number, sentAt, part, &searcher] {
                            const TimePoint now = self->now();
                            tracked->endCall(now, number, CallEnd::Answered, searcher.load());
                            self->vm_.times.add(now - sentAt);
                            self->gather_->onAnswered(now, part);
                            self->wake();
                            self->vm_.waiting.onFree(now, shardName(part));
                            self->vm_.entrance.onTick(now);
                        });
        return true;
    }

    void finish(GatherEnd end)
    {
        const bool isInTime = now() <= arrivedAt_ + terms_.target;
        if (end == GatherEnd::Unserved) {
            ++outcome_.refused;
        } else if (end != GatherEnd::Answered) {
            ++outcome_.failed;
        } else {
            ++(isInTime ? outcome_.inTime : outcome_.late);
        }
    }

    World &world_;
    const Terms &terms_;
    EntryVm &vm_;
    Outcome &outcome_;
    TimePoint arrivedAt_;
    std::unique_ptr<Gather> gather_;
    std::vector<std::vector<std::shared_ptr<TrackedSearcher>>> tried_;
    std::optional<TimePoint> wakeAt_;
};

World::World(const Terms &terms) : terms_(terms)
{
    std::set<std::string> fleet;
    for (std::size_t vm = 0; vm < terms_.vms; ++vm) {
        fleet.insert("vm-" + std::to_string(vm));
    }
    for (const std::string &name : fleet) {
        vms_.push_back(std::make_unique<EntryVm>(name, fleet, terms_.target));
    }
    for (std::size_t shard = 0; shard < terms_.shards; ++shard) {
        addShard(shard);
    }
    onTick();
}

World::~World() = default;

void World::slowDown(std::size_t shard, std::size_t count, double slowness)
{
    for (std::size_t replica = 0; replica < count; ++replica) {
        searchers_[shard * terms_.replicas + replica].setSlowness(slowness);
    }
}

void World::remove(std::size_t shard, std::size_t count)
{
    for (std::size_t replica = terms_.replicas - count; replica < terms_.replicas; ++replica) {
        for (const std::unique_ptr<EntryVm> &vm : vms_) {
            vm->pool.remove(std::to_string(shard * terms_.replicas + replica));
        }
    }
}

Outcome World::play(double perSecond, Duration length)
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
    time_.runUntil(end + 2 * terms_.timeLimit);
    return outcome;
}

void World::addShard(std::size_t shard)
{
    BackendLimits terms;
    terms.name = shardName(shard);
    terms.maxConnections = 26;
    backends_.push_back(terms);
    for (const std::unique_ptr<EntryVm> &vm : vms_) {
        vm->pool.setBackendLimits(backends_);
    }
    for (std::size_t replica = 0; replica < terms_.replicas; ++replica) {
        SearcherEntry entry;
        entry.instance = std::to_string(searchers_.size());
        entry.backend = terms.name;
        entry.failureDomain = "a";
        entry.slots = terms_.slots;
        for (const std::unique_ptr<EntryVm> &vm : vms_) {
            vm->pool.put(time_.now(), entry);
        }
        searchers_.emplace_back(time_, random_, terms_.slots);
        if (terms_.pausePeriod > Duration{0}) {
            time_.at(time_.now() + shareOf(terms_.pausePeriod, random_.unit()),
                     [this, &searcher = searchers_.back()] { pauseAgain(searcher); });
        }
    }
}

void World::pauseAgain(FakeSearcher &searcher)
{
    searcher.pauseUntil(time_.now() + terms_.pause);
    time_.at(time_.now() + terms_.pausePeriod, [this, &searcher] { pauseAgain(searcher); });
}

void World::onTick()
{
    for (const std::unique_ptr<EntryVm> &vm : vms_) {
        vm->waiting.onTick(time_.now());
        vm->entrance.onTick(time_.now());
    }
    time_.at(time_.now() + tick, [this] { onTick(); });
}

} // namespace sassafrasvane::queryworld

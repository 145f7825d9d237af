#include "limitworld.h"

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration callTime = 10ms;
/// Time for which a VM that is no longer advertised keeps its share of the limits, as in the entry process.
constexpr Duration shareRetention = 30s;
/// The largest step of time between two looks at the fleet.
constexpr Duration viewInterval = 500ms;
constexpr std::array<double, 6> limits{0, 0.3, 1, 4, 20, 90};
constexpr std::size_t maxRequests = 20;
constexpr std::size_t maxMilliseconds = 1'500;

} // namespace

LimitWorld::LimitWorld(Watched watched) : watched_(watched)
{
    for (std::size_t number = 0; number < searcherCount; ++number) {
        SearcherEntry &entry = searchers_.at(number).entry;
        entry.instance = "s" + std::to_string(number);
        entry.backend = "desk";
        entry.failureDomain = "a";
        entry.slots = 8;
        entry.startedAtMs = 1;
    }
    for (std::size_t number = 0; number < vmCount; ++number) {
        Vm &vm = vms_.at(number);
        vm.name = "vm-" + std::to_string(number);
        advertised_.insert(vm.name);
    }
    for (Vm &vm : vms_) {
        start(vm);
    }
    refreshViews();
}

const std::vector<WorldAction<LimitWorld>> &LimitWorld::actions()
{
    static const std::vector<WorldAction<LimitWorld>> list{
        {"request", 6, &LimitWorld::request},
        {"requestEverywhere", 10, &LimitWorld::requestEverywhere},
        {"repeat", 4, &LimitWorld::repeat},
        {"reply", 4, &LimitWorld::reply},
        {"replyToAll", 8, &LimitWorld::replyToAll},
        {"passTime", 14, &LimitWorld::passTime},
        {"stateLimit", 2, &LimitWorld::stateLimit},
        {"endLimit", 1, &LimitWorld::endLimit},
        {"askForPause", 2, &LimitWorld::askForPause},
        {"endPauses", 2, &LimitWorld::endPauses},
        {"leave", 1, &LimitWorld::leave},
        {"restartVm", 1, &LimitWorld::restartVm},
        {"toggleSleep", 1, &LimitWorld::toggleSleep},
        {"toggleCut", 1, &LimitWorld::toggleCut},
        {"toggleAdvertised", 1, &LimitWorld::toggleAdvertised},
        {"registerAgain", 2, &LimitWorld::registerAgain},
        {"restartSearcher", 2, &LimitWorld::restartSearcher},
    };
    return list;
}

std::optional<std::string> LimitWorld::failure() const
{
    for (const Searcher &searcher : searchers_) {
        const std::optional<std::string> &failure
            = watched_ == Watched::Limits ? searcher.oracle.failure() : searcher.quietOracle.failure();
        if (failure) {
            return searcher.entry.instance + ": " + *failure;
        }
    }
    return std::nullopt;
}

void LimitWorld::start(Vm &vm)
{
    vm.pool = std::make_shared<SearcherPool>(vm.name, "a", PoolBounds(), hashBytes(vm.name) + ++starts_);
    BackendLimits backend;
    backend.name = "desk";
    backend.maxConnections = 200;
    vm.pool->setBackendLimits({backend});
    for (const Searcher &searcher : searchers_) {
        vm.pool->put(now_, searcher.entry);
    }
    vm.advertisedAt.clear();
    for (Searcher &searcher : searchers_) {
        searcher.quietOracle.onRestarted(vm.name);
    }
    disturb(vm);
}

// A restart, a sleep or a cut excuses a VM until it has got another reply.
void LimitWorld::disturb(const Vm &vm)
{
    for (Searcher &searcher : searchers_) {
        searcher.oracle.onDisturbed(vm.name);
    }
}

void LimitWorld::refreshViews()
{
    for (Vm &vm : vms_) {
        if (vm.isAsleep) {
            continue;
        }
        if (!vm.isCutOff) {
            for (const std::string &name : advertised_) {
                vm.advertisedAt[name] = now_;
            }
        }
        std::erase_if(vm.advertisedAt, [this](const auto &seen) { return now_ - seen.second >= shareRetention; });
        Fleet fleet;
        for (const auto &[name, at] : vm.advertisedAt) {
            fleet.sharers.insert(name);
        }
        fleet.advertisedCount = std::max<std::size_t>(1, advertised_.size());
        fleet.memberCount = vmCount;
        vm.pool->setFleet(now_, fleet);
    }
}

void LimitWorld::request(std::size_t vm, std::size_t count)
{
    for (std::size_t sent = 0; sent <= count % maxRequests; ++sent) {
        send(vm % vmCount);
    }
}

void LimitWorld::requestEverywhere(std::size_t count, std::size_t)
{
    for (std::size_t vm = 0; vm < vmCount; ++vm) {
        request(vm, count % 3);
    }
}

// Hedges or retries an open call at another searcher.
void LimitWorld::repeat(std::size_t call, std::size_t isHedge)
{
    if (!calls_.empty()) {
        const Call &chosen = calls_.at(call % calls_.size());
        const std::array<std::shared_ptr<TrackedSearcher>, 1> tried{chosen.tracked};
        send(chosen.vm, tried, isHedge % 2 == 0);
    }
}

void LimitWorld::send(std::size_t number, std::span<const std::shared_ptr<TrackedSearcher>> tried, bool isHedge)
{
    Vm &vm = vms_.at(number);
    if (vm.isAsleep) {
        return;
    }
    CallParameters parameters;
    parameters.typicalDuration = callTime;
    parameters.isHedge = isHedge;
    const Choice choice = vm.pool->choose(now_, vm.pool->backend("desk"), tried, parameters);
    if (!choice.searcher) {
        return;
    }
    const std::size_t index = std::stoul(choice.searcher->entry().instance.substr(1));
    Searcher &searcher = searchers_.at(index);
    searcher.oracle.onArrival(vm.name, now_);
    searcher.quietOracle.onArrival(vm.name, now_);
    Call call;
    call.vm = number;
    call.pool = vm.pool;
    call.tracked = choice.searcher;
    call.number = choice.searcher->beginCall(now_, callTime);
    call.sentAt = now_;
    call.searcher = index;
    call.startedAtMs = searcher.entry.startedAtMs;
    call.report.callsPerSecond = searcher.limit;
    call.report.pause = searcher.pause;
    call.report.isLeaving = searcher.isLeaving;
    calls_.push_back(call);
}

void LimitWorld::reply(std::size_t call, std::size_t)
{
    if (!calls_.empty()) {
        deliver(call % calls_.size());
    }
}

void LimitWorld::replyToAll(std::size_t, std::size_t)
{
    while (!calls_.empty()) {
        deliver(calls_.size() - 1);
    }
}

void LimitWorld::deliver(std::size_t index)
{
    const Call call = calls_.at(index);
    calls_.erase(calls_.begin() + static_cast<std::ptrdiff_t>(index));
    const Vm &vm = vms_.at(call.vm);
    if (vm.pool != call.pool) {
        return;
    }
    const bool isRejected = call.report.pause.has_value();
    vm.pool->applySelfReport(now_, *call.tracked, call.sentAt, call.report, !isRejected);
    call.tracked->endCall(now_, call.number, isRejected ? CallEnd::Rejected : CallEnd::Answered, std::nullopt);
    Searcher &searcher = searchers_.at(call.searcher);
    if (call.startedAtMs != searcher.entry.startedAtMs) {
        return;
    }
    if (call.report.callsPerSecond) {
        searcher.oracle.onTold(vm.name, now_, *call.report.callsPerSecond);
    }
    if (call.report.pause) {
        searcher.quietOracle.onToldPause(vm.name, now_, *call.report.pause);
    }
    if (call.report.isLeaving) {
        searcher.quietOracle.onToldLeaving(vm.name);
    }
}

void LimitWorld::passTime(std::size_t milliseconds, std::size_t)
{
    const TimePoint end = now_ + std::chrono::milliseconds(milliseconds % maxMilliseconds);
    while (now_ < end) {
        now_ = std::min(end, now_ + viewInterval);
        refreshViews();
    }
}

void LimitWorld::stateLimit(std::size_t searcher, std::size_t limit)
{
    Searcher &chosen = searchers_.at(searcher % searcherCount);
    chosen.limit = limits.at(limit % limits.size());
    chosen.oracle.onStated(now_, chosen.limit);
}

void LimitWorld::endLimit(std::size_t searcher, std::size_t)
{
    Searcher &chosen = searchers_.at(searcher % searcherCount);
    chosen.limit.reset();
    chosen.oracle.onStated(now_, std::nullopt);
}

void LimitWorld::askForPause(std::size_t searcher, std::size_t milliseconds)
{
    constexpr std::size_t longestFactor = 8;
    searchers_.at(searcher % searcherCount).pause
        = std::chrono::milliseconds(milliseconds * (1 + searcher % longestFactor));
}

void LimitWorld::endPauses(std::size_t, std::size_t)
{
    for (Searcher &searcher : searchers_) {
        searcher.pause.reset();
    }
}

void LimitWorld::leave(std::size_t searcher, std::size_t)
{
    searchers_.at(searcher % searcherCount).isLeaving = true;
}

void LimitWorld::restartVm(std::size_t vm, std::size_t)
{
    start(vms_.at(vm % vmCount));
    refreshViews();
}

void LimitWorld::toggleSleep(std::size_t vm, std::size_t)
{
    Vm &chosen = vms_.at(vm % vmCount);
    chosen.isAsleep = !chosen.isAsleep;
    disturb(chosen);
}

void LimitWorld::toggleCut(std::size_t vm, std::size_t)
{
    Vm &chosen = vms_.at(vm % vmCount);
    chosen.isCutOff = !chosen.isCutOff;
    disturb(chosen);
}

void LimitWorld::toggleAdvertised(std::size_t vm, std::size_t)
{
    const std::string &name = vms_.at(vm % vmCount).name;
    if (advertised_.erase(name) == 0) {
        advertised_.insert(name);
    }
    refreshViews();
}

// As when a registration expires while the store is away.
void LimitWorld::registerAgain(std::size_t searcher, std::size_t)
{
    const SearcherEntry &entry = searchers_.at(searcher % searcherCount).entry;
    for (const Vm &vm : vms_) {
        vm.pool->remove(entry.instance);
        vm.pool->put(now_, entry);
    }
}

// The new process states nothing of what the former one stated.
void LimitWorld::restartSearcher(std::size_t searcher, std::size_t)
{
    Searcher &chosen = searchers_.at(searcher % searcherCount);
    ++chosen.entry.startedAtMs;
    chosen.limit.reset();
    chosen.pause.reset();
    chosen.isLeaving = false;
    if (!failure()) {
        chosen.oracle = LimitOracle();
        chosen.quietOracle = QuietOracle();
    }
    for (Vm &vm : vms_) {
        vm.pool->put(now_, chosen.entry);
    }
}

void LimitWorld::finish()
{
    constexpr std::size_t steps = 100;
    constexpr std::size_t stepMilliseconds = 100;
    for (std::size_t step = 0; step < steps; ++step) {
        requestEverywhere(step, 0);
        replyToAll(0, 0);
        passTime(stepMilliseconds, 0);
    }
}

} // namespace sassafrasvane

#include "searcher.h"

#include <algorithm>
#include <utility>

namespace sassafrasvane
{

namespace
{

constexpr int coldSlowdown = 10;

/// The name under which a refusal is answered and counted.
const char *refusalName(RunEnd end) noexcept
{
    switch (end) {
    case RunEnd::Cold:
        return "cold";
    case RunEnd::Busy:
        return "busy";
    case RunEnd::Draining:
        return "draining";
    case RunEnd::Deadline:
        return "deadline";
    case RunEnd::Version:
        return "version";
    default:
        return nullptr;
    }
}

} // namespace

StandinSearcher::StandinSearcher(SearcherSettings settings, std::uint64_t seed)
    : settings_(std::move(settings)), random_(mix(seed, settings_.id)), incarnation_(wallClockMicros())
{
    faults_.serviceTime = settings_.serviceTime;
}

SearcherEnd StandinSearcher::run(const SearcherRequest &request, const std::function<void(SearcherRecords &)> &effect)
{
    Lock lock(mutex_);
    const std::uint64_t life = life_;
    const std::uint64_t incarnation = incarnation_;
    noteArrival(request, BootClock::now());
    changed_.wait(lock, [&] { return !faults_.isSilent || isOver(life); });
    if (isOver(life)) {
        return ended(RunEnd::Lost, incarnation);
    }
    active_.emplace(request.call, false);
    const std::optional<RunEnd> refusal = admit(lock, request, life);
    // The answer comes from the index as it stood when the search began.
    const StandinIndex *held = refusal || !request.version ? nullptr : find(*request.version);
    const StandinIndex index = held != nullptr ? *held : StandinIndex();
    const RunEnd end = refusal ? *refusal : serve(lock, request, life);
    if (!isOver(life)) {
        active_.erase(request.call);
    }
    if (const char *name = refusalName(end)) {
        ++records_.refused[name];
    }
    if (end == RunEnd::Ran && effect) {
        effect(records_);
    }
    const bool mustCut = std::exchange(mustCut_, false);
    SearcherEnd result = ended(end, incarnation);
    result.index = index;
    lock.unlock();
    // A request of a life that ended may get here before the one that ended it has cut the connections.
    if ((mustCut || end == RunEnd::Lost) && cutHook_) {
        cutHook_();
    }
    return result;
}

void StandinSearcher::noteArrival(const SearcherRequest &request, TimePoint now)
{
    ++records_.arrived;
    records_.searchesArrived += request.version ? 1 : 0;
    records_.lastArrivalAt = now;
    if (faults_.isDraining && records_.drainingSince) {
        ++records_.arrivedWhileDraining;
        records_.lastArrivalAfterDrain = now - *records_.drainingSince;
    }
}

std::optional<RunEnd> StandinSearcher::checkHeld(const SearcherRequest &request) const
{
    if (!request.version) {
        return std::nullopt;
    }
    const StandinIndex *index = find(*request.version);
    const bool holdsAll
        = index != nullptr && std::all_of(request.parts.begin(), request.parts.end(), [&](std::uint32_t part) {
              return index->find(part) != nullptr;
          });
    return holdsAll ? std::nullopt : std::optional<RunEnd>(RunEnd::Version);
}

const StandinIndex *StandinSearcher::find(std::uint64_t version) const
{
    const auto found = std::find_if(settings_.indexes.begin(), settings_.indexes.end(), [&](const StandinIndex &index) {
        return index.version == version;
    });
    return found == settings_.indexes.end() ? nullptr : &*found;
}

std::optional<RunEnd> StandinSearcher::admit(Lock &lock, const SearcherRequest &request, std::uint64_t life)
{
    if (faults_.isDraining) {
        return RunEnd::Draining;
    }
    if (const std::optional<RunEnd> refusal = checkHeld(request)) {
        return refusal;
    }
    const auto canStop = [&] { return hasFreeSlot() || isOver(life) || isCancelled(request); };
    if (!canStop()) {
        if (waiting_ >= settings_.queue) {
            return RunEnd::Busy;
        }
        ++waiting_;
        const TimePoint patience = request.deadline.value_or(BootClock::now() + std::chrono::hours(1));
        changed_.wait_for(lock, patience - BootClock::now(), canStop);
        if (!isOver(life)) {
            --waiting_;
        }
    }
    if (isOver(life)) {
        return RunEnd::Lost;
    }
    if (isCancelled(request)) {
        ++records_.cancelled;
        return RunEnd::Cancelled;
    }
    if (!hasFreeSlot() || (request.deadline && BootClock::now() >= *request.deadline)) {
        return RunEnd::Deadline;
    }
    return begin(request);
}

std::optional<RunEnd> StandinSearcher::begin(const SearcherRequest &request)
{
    const TimePoint now = BootClock::now();
    const bool isExcess = isCold(now) && running_ + 1 > settings_.coldAllowance;
    if (isExcess) {
        ++records_.coldExcess;
        records_.coldRunningPeak = std::max(records_.coldRunningPeak, running_ + 1);
    }
    if (isExcess && settings_.coldOverload == ColdOverload::Refuse) {
        return RunEnd::Cold;
    }
    ++running_;
    noteRunning(now);
    if (!firstRunAt_) {
        firstRunAt_ = now;
    }
    if (request.crashes || (isExcess && settings_.coldOverload == ColdOverload::Crash)) {
        crash(true);
    }
    return std::nullopt;
}

void StandinSearcher::noteRunning(TimePoint now)
{
    records_.runningPeak = std::max(records_.runningPeak, running_);
    if (isCold(now)) {
        records_.coldRunningPeak = std::max(records_.coldRunningPeak, running_);
    }
}

RunEnd StandinSearcher::serve(Lock &lock, const SearcherRequest &request, std::uint64_t life)
{
    const TimePoint until = BootClock::now() + serviceTime();
    const TimePoint stopAt = std::min(until, request.deadline.value_or(until));
    changed_.wait_for(lock, stopAt - BootClock::now(), [&] { return isOver(life) || isCancelled(request); });
    if (isOver(life)) {
        return RunEnd::Lost;
    }
    --running_;
    changed_.notify_all();
    if (isCancelled(request)) {
        ++records_.cancelled;
        return RunEnd::Cancelled;
    }
    if (stopAt < until) {
        ++records_.deadlinePassed;
        return RunEnd::Cancelled;
    }
    records_.searchesRun += request.version ? 1 : 0;
    return RunEnd::Ran;
}

Duration StandinSearcher::serviceTime()
{
    Duration time = faults_.serviceTime;
    if (random_.chance(faults_.straggleShare)) {
        time = std::chrono::duration_cast<Duration>(time * faults_.straggleFactor);
    }
    if (isCold(BootClock::now()) && running_ > settings_.coldAllowance) {
        time *= coldSlowdown;
    }
    return time;
}

SearcherEnd StandinSearcher::ended(RunEnd end, std::uint64_t incarnation) const
{
    SearcherEnd result;
    result.end = end;
    result.incarnation = incarnation;
    result.running = faults_.isLying ? 0 : running_;
    result.waiting = faults_.isLying ? 0 : waiting_;
    return result;
}

bool StandinSearcher::openConnection()
{
    Lock lock(mutex_);
    const std::uint64_t life = life_;
    if (faults_.isDown || BootClock::now() < downUntil_) {
        return false;
    }
    ++records_.connectionsOpened;
    if (settings_.connectionCost.count() == 0) {
        return true;
    }
    changed_.wait(lock, [&] { return hasFreeSlot() || isOver(life); });
    if (isOver(life)) {
        return false;
    }
    ++opening_;
    changed_.wait_for(lock, settings_.connectionCost, [&] { return isOver(life); });
    if (isOver(life)) {
        return false;
    }
    --opening_;
    changed_.notify_all();
    return true;
}

bool StandinSearcher::hasFreeSlot() const
{
    return running_ + opening_ < settings_.slots;
}

bool StandinSearcher::isCancelled(const SearcherRequest &request) const
{
    const auto found = active_.find(request.call);
    return found != active_.end() && found->second;
}

void StandinSearcher::cancel(const std::string &call)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = active_.find(call);
    if (found == active_.end()) {
        return;
    }
    found->second = true;
    changed_.notify_all();
}

nlohmann::json StandinSearcher::load()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const TimePoint now = BootClock::now();
    if (load_.is_null() || now - loadAt_ >= settings_.loadLag) {
        const SearcherEnd state = ended(RunEnd::Ran, incarnation_);
        load_ = {{"incarnation", state.incarnation}, {"running", state.running}, {"waiting", state.waiting}};
        loadAt_ = now;
    }
    return load_;
}

SearcherFaults StandinSearcher::faults() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return faults_;
}

void StandinSearcher::setFaults(const SearcherFaults &faults)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (faults.isDraining != faults_.isDraining) {
        records_.drainingSince = faults.isDraining ? std::optional<TimePoint>(BootClock::now()) : std::nullopt;
    }
    faults_ = faults;
    changed_.notify_all();
}

void StandinSearcher::setIndexes(std::vector<StandinIndex> indexes)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    settings_.indexes = std::move(indexes);
}

void StandinSearcher::restart()
{
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        crash(false);
        mustCut_ = false;
    }
    if (cutHook_) {
        cutHook_();
    }
}

void StandinSearcher::turnCold()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    firstRunAt_.reset();
}

void StandinSearcher::crash(bool isOwnFault)
{
    ++(isOwnFault ? records_.crashes : records_.restarts);
    ++life_;
    mustCut_ = true;
    incarnation_ = std::max(incarnation_ + 1, wallClockMicros());
    running_ = 0;
    opening_ = 0;
    waiting_ = 0;
    firstRunAt_.reset();
    active_.clear();
    downUntil_ = BootClock::now() + settings_.restartTime;
    changed_.notify_all();
}

void StandinSearcher::shutdown()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    isShutdown_ = true;
    changed_.notify_all();
}

bool StandinSearcher::isCold(TimePoint now) const
{
    return !firstRunAt_ || now - *firstRunAt_ < settings_.warmTime;
}

nlohmann::json StandinSearcher::records() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const TimePoint now = BootClock::now();
    nlohmann::json json = records_.toJson(now);
    json["incarnation"] = incarnation_;
    json["running"] = running_;
    json["isCold"] = isCold(now);
    return json;
}

void StandinSearcher::resetRecords()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const std::optional<TimePoint> drainingSince = records_.drainingSince;
    records_ = {};
    records_.drainingSince = drainingSince;
}

} // namespace sassafrasvane

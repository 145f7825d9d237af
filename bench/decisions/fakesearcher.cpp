#include "fakesearcher.h"

#include <algorithm>
#include <cmath>

namespace sassafrasvane
{

namespace
{

/// More calls than any searcher needs to become warm.
constexpr std::uint64_t warm = 1'000'000;

} // namespace

FakeSearcher::FakeSearcher(VirtualLoop &loop, const SearcherModel &model, std::uint64_t seed)
    : loop_(loop), model_(model), random_(seed), served_(warm)
{
}

void FakeSearcher::submit(CallId call, std::size_t parts, Done done)
{
    Job job{call, parts, loop_.now(), std::move(done), ++lastJob_};
    const std::size_t open = running_.size() + waiting_.size();
    if (isDown_) {
        end(job, SearcherEnd::Kind::NoServer);
        return;
    }
    if (open >= model_.connections) {
        ++counters_.refused;
        end(job, SearcherEnd::Kind::Refused);
        return;
    }
    ++counters_.calls;
    counters_.peakOpen = std::max(counters_.peakOpen, static_cast<std::uint32_t>(open + 1));
    counters_.coldOverruns += bears() < model_.slots && open >= bears() ? 1 : 0;
    if (running_.size() < model_.slots) {
        start(std::move(job));
    } else {
        waiting_.push_back(std::move(job));
    }
}

void FakeSearcher::cancel(CallId call)
{
    const auto isWanted = [call](const Job &job) { return job.call == call; };
    const auto running = std::find_if(running_.begin(), running_.end(), isWanted);
    if (running != running_.end()) {
        const Job job = std::move(*running);
        running_.erase(running);
        startWaiting();
        end(job, SearcherEnd::Kind::Stopped);
        return;
    }
    const auto waiting = std::find_if(waiting_.begin(), waiting_.end(), isWanted);
    if (waiting != waiting_.end()) {
        const Job job = std::move(*waiting);
        waiting_.erase(waiting);
        end(job, SearcherEnd::Kind::Stopped);
    }
}

void FakeSearcher::goDown()
{
    isDown_ = true;
    std::vector<Job> broken = std::move(running_);
    broken.insert(broken.end(), waiting_.begin(), waiting_.end());
    running_.clear();
    waiting_.clear();
    for (const Job &job : broken) {
        end(job, SearcherEnd::Kind::Broken);
    }
}

void FakeSearcher::startCold()
{
    goDown();
    isDown_ = false;
    ++incarnation_.value;
    served_ = 0;
    counters_.coldAt = loop_.now();
    counters_.warmAt = TimePoint();
}

std::uint32_t FakeSearcher::bears() const noexcept
{
    const std::uint64_t steps = std::min<std::uint64_t>(served_ / model_.callsPerStep, 16);
    return static_cast<std::uint32_t>(
        std::min<std::uint64_t>(model_.slots, std::uint64_t{model_.coldAllowance} << steps));
}

void FakeSearcher::start(Job job)
{
    const std::uint64_t number = job.number;
    const Duration time = serviceTime(job);
    running_.push_back(std::move(job));
    loop_.after(time, [this, number] { finish(number); });
}

void FakeSearcher::startWaiting()
{
    while (!waiting_.empty() && running_.size() < model_.slots) {
        Job job = std::move(waiting_.front());
        waiting_.pop_front();
        start(std::move(job));
    }
}

void FakeSearcher::finish(std::uint64_t number)
{
    const auto found
        = std::find_if(running_.begin(), running_.end(), [number](const Job &job) { return job.number == number; });
    if (found == running_.end()) {
        return;
    }
    const Job job = std::move(*found);
    running_.erase(found);
    const bool wasCold = bears() < model_.slots;
    ++served_;
    if (wasCold && bears() == model_.slots) {
        counters_.warmAt = loop_.now();
    }
    startWaiting();
    end(job, SearcherEnd::Kind::Answered);
}

void FakeSearcher::end(const Job &job, SearcherEnd::Kind kind) const
{
    const int load = static_cast<int>(running_.size() + waiting_.size());
    job.done({kind, loop_.now() - job.arrivedAt, incarnation_, load});
}

Duration FakeSearcher::serviceTime(const Job &job)
{
    const double partFactor = 0.5 + 0.5 * static_cast<double>(job.parts);
    const double tail = -std::log(1.0 - random_.unit()) * static_cast<double>(model_.tailTime.count());
    double time = (static_cast<double>(model_.fixedTime.count()) + tail) * partFactor * model_.slowFactor;
    if (bears() < model_.slots) {
        const std::size_t open = running_.size() + waiting_.size() + 1;
        time *= model_.coldFactor * std::max(1.0, static_cast<double>(open) / bears());
    }
    if (random_.chance(model_.stragglerShare)) {
        time += static_cast<double>(model_.straggle.count()) * (0.5 + 0.5 * random_.unit());
    }
    return Duration(static_cast<Duration::rep>(time));
}

} // namespace sassafrasvane

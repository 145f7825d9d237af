#pragma once

#include "base/random.h"
#include "placement/trackedsearcher.h"

#include <cmath>
#include <deque>
#include <functional>
#include <map>

/// \file
/// Virtual time and fake searchers, for tests that simulate load.

namespace sassafrasvane
{

/// Clock and event queue of a simulation: runs events in the order of their times.
class VirtualTime
{
public:
    TimePoint now() const { return now_; }
    void at(TimePoint time, std::function<void()> action) { events_.emplace(time, std::move(action)); }
    void runUntil(TimePoint end)
    {
        while (!events_.empty() && events_.begin()->first <= end) {
            now_ = events_.begin()->first;
            const std::function<void()> action = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            action();
        }
        now_ = end;
    }

private:
    TimePoint now_{std::chrono::seconds(1'000)};
    std::multimap<TimePoint, std::function<void()>> events_;
};

/// A searcher that runs calls in a fixed number of slots and queues the rest.
class FakeSearcher
{
public:
    static constexpr std::uint32_t defaultSlots = 2;

    FakeSearcher(VirtualTime &time, Random &random, std::uint32_t slots = defaultSlots)
        : time_(time), random_(random), slots_(slots)
    {
    }

    void setSlowness(double slowness) { slowness_ = slowness; }
    LoadReport load() const { return {running_, waiting(), slots_}; }
    std::uint32_t running() const { return running_; }
    std::uint32_t waiting() const { return static_cast<std::uint32_t>(queue_.size()); }
    bool hasFreeSlot() const { return running_ < slots_ && time_.now() >= pausedUntil_; }

    /// Stops starting calls until \p end. Running calls continue.
    void pauseUntil(TimePoint end)
    {
        pausedUntil_ = end;
        time_.at(end, [this] { startNext(); });
    }

    /// Queues a call whose duration is exponentially distributed with mean \p meanWork. Invokes \p done at its end.
    void submit(Duration meanWork, std::function<void()> done)
    {
        queue_.push_back({shareOf(meanWork, -std::log(1 - random_.unit())), std::move(done)});
        startNext();
    }

private:
    struct Call {
        Duration work;
        std::function<void()> done;
    };

    void startNext()
    {
        if (queue_.empty() || running_ >= slots_ || time_.now() < pausedUntil_) {
            return;
        }
        ++running_;
        const Call call = std::move(queue_.front());
        queue_.pop_front();
        time_.at(time_.now() + shareOf(call.work, slowness_), [this, done = call.done] {
            --running_;
            startNext();
            done();
        });
        startNext();
    }

    VirtualTime &time_;
    Random &random_;
    std::uint32_t slots_;
    double slowness_ = 1;
    TimePoint pausedUntil_;
    std::uint32_t running_ = 0;
    std::deque<Call> queue_;
};

} // namespace sassafrasvane

#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <vector>

/// \file
/// Virtual time: things happen in the order of their times, at once.

namespace sassafrasvane
{

/// Runs what is due, in order.
///
/// \code
/// loop.after(5ms, [&] { searcher.finish(); });
/// loop.runUntil(end);
/// \endcode
class VirtualLoop
{
public:
    /// The present virtual time.
    TimePoint now() const noexcept { return now_; }

    /// Calls \p action at \p time, or as soon as possible if that has passed.
    void at(TimePoint time, std::function<void()> action)
    {
        events_.push_back({std::max(time, now_), ++lastNumber_, std::move(action)});
        std::push_heap(events_.begin(), events_.end(), isLater);
    }

    /// Calls \p action after \p delay.
    void after(Duration delay, std::function<void()> action) { at(now_ + delay, std::move(action)); }

    /// Runs everything that is due up to \p end.
    void runUntil(TimePoint end)
    {
        while (!events_.empty() && events_.front().time <= end) {
            std::pop_heap(events_.begin(), events_.end(), isLater);
            const Event event = std::move(events_.back());
            events_.pop_back();
            now_ = event.time;
            event.action();
        }
        now_ = end;
    }

private:
    struct Event {
        TimePoint time;
        std::uint64_t number = 0;
        std::function<void()> action;
    };

    static bool isLater(const Event &a, const Event &b) noexcept
    {
        return a.time != b.time ? a.time > b.time : a.number > b.number;
    }

    TimePoint now_{std::chrono::seconds(1000)};
    std::uint64_t lastNumber_ = 0;
    std::vector<Event> events_;
};

} // namespace sassafrasvane

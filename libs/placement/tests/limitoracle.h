#pragma once

#include "base/time.h"

#include <algorithm>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <sstream>
#include <string>

/// \file
/// Judges from a searcher's side whether a fleet keeps to the rate limit that the searcher states.

namespace sassafrasvane
{

/// Counts the calls that one searcher process gets in sliding windows.
///
/// A VM is bound by a limit from half a second after it has got a reply that states the limit; a higher limit frees it
/// at once. For each limit, the calls of the VMs that are bound by it or by a lower one are counted. The first window
/// ends graceTime() after the searcher first stated a limit.
class LimitOracle
{
public:
    static constexpr Duration window() noexcept { return std::chrono::seconds(4); }
    static constexpr Duration graceTime() noexcept { return std::chrono::seconds(4); }
    static constexpr Duration reactionTime() noexcept { return std::chrono::milliseconds(500); }
    /// Calls allowed in a window: this multiple of what the limit allows, plus the slack.
    static constexpr double limitFactor() noexcept { return 1.5; }
    static constexpr double slack() noexcept { return 5; }

    /// The searcher states \p callsPerSecond from now on; nothing ends the limit.
    void onStated(TimePoint now, std::optional<double> callsPerSecond)
    {
        statedAt_ = callsPerSecond ? statedAt_.value_or(now) : std::optional<TimePoint>();
    }

    /// \p vm got a reply that states \p callsPerSecond.
    void onTold(const std::string &vm, TimePoint now, double callsPerSecond)
    {
        told_[vm].push_back({now, callsPerSecond});
    }

    /// \p vm has lost its state or was suspended; its calls count again once it has got another reply.
    void onDisturbed(const std::string &vm) { told_.erase(vm); }

    /// A call of \p vm has arrived.
    void onArrival(const std::string &vm, TimePoint now)
    {
        while (!arrivals_.empty() && arrivals_.front().at <= now - window()) {
            --counts_[arrivals_.front().callsPerSecond];
            arrivals_.pop_front();
        }
        const std::optional<double> bound = boundOf(told_[vm], now);
        if (!bound) {
            return;
        }
        arrivals_.push_back({now, *bound});
        ++counts_[*bound];
        if (statedAt_ && now - *statedAt_ >= graceTime()) {
            check(*bound);
        }
    }

    /// The first window with too many calls, or nothing.
    const std::optional<std::string> &failure() const noexcept { return failure_; }

private:
    struct Statement {
        TimePoint at;
        double callsPerSecond = 0;
    };

    /// The limit that binds a VM; nothing if it has known none for reactionTime().
    static std::optional<double> boundOf(std::deque<Statement> &told, TimePoint now)
    {
        while (told.size() > 1 && now - told[1].at >= reactionTime()) {
            told.pop_front();
        }
        if (told.empty() || now - told.front().at < reactionTime()) {
            return std::nullopt;
        }
        double bound = 0;
        for (const Statement &statement : told) {
            bound = std::max(bound, statement.callsPerSecond);
        }
        return bound;
    }

    /// Checks the limits that count a call of a VM that is bound by \p bound.
    void check(double bound)
    {
        std::size_t calls = 0;
        for (const auto &[limit, count] : counts_) {
            calls += count;
            const double allowed = limitFactor() * limit * std::chrono::duration<double>(window()).count() + slack();
            if (limit >= bound && static_cast<double>(calls) > allowed && !failure_) {
                std::ostringstream text;
                text << calls << " calls in a window, " << allowed << " allowed";
                failure_ = text.str();
            }
        }
    }

    std::optional<TimePoint> statedAt_;
    /// The latest statements that each VM has got, oldest first.
    std::map<std::string, std::deque<Statement>> told_;
    /// Calls in the window, with the limits that bind their VMs.
    std::deque<Statement> arrivals_;
    /// Numbers of calls in the window, by the limits that bind their VMs.
    std::map<double, std::size_t> counts_;
    std::optional<std::string> failure_;
};

} // namespace sassafrasvane

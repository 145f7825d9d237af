#pragma once

#include "base/time.h"

#include <functional>
#include <map>
#include <optional>

/// \file
/// Gradual return of what was out of use.

namespace sassafrasvane
{

/// Shape of a ReturnRamp.
struct SlowStartLimits {
    /// Share of the normal load in the first step, and added in each later one.
    double step = 0.05;
    /// Time between two steps.
    Duration stepInterval = std::chrono::seconds(3);
    /// Absence after which nothing of the former share is left.
    Duration forgetAfter = std::chrono::seconds(60);
};

/// The share of its normal load that a failure domain, VM or backend server may get after it came back.
///
/// The share rises by one step at a time and never falls while it stays. After a short absence, such as a suspicion
/// that was refuted, it starts from what is left of the former share rather than anew.
///
/// \code
/// ramp.onGone(now);
/// ramp.onBack(later);
/// weight *= ramp.share(now);
/// \endcode
class SlowStart
{
public:
    /// In full use from the start.
    explicit SlowStart(const SlowStartLimits &limits = {}) noexcept : limits_(limits) { }

    /// It may get no new work from now on.
    void onUnavailable(TimePoint now) noexcept;

    /// It may get new work again.
    void onAvailable(TimePoint now) noexcept;

    /// In [0, 1]; 0 while it is gone.
    double share(TimePoint now) const noexcept;

private:
    SlowStartLimits limits_;
    /// Share at backAt_; 1 without a ramp.
    double startShare_ = 1;
    TimePoint availableSince_;
    std::optional<TimePoint> unavailableSince_;
    double formerShare_ = 1;
};

/// The ramps of many things by their key, such as failure domains by name. What was never gone has share 1.
template<typename Key>
class SlowStarts
{
public:
    explicit SlowStarts(const SlowStartLimits &limits = {}) noexcept : limits_(limits) { }

    /// Notes whether \p key may get new work.
    void set(TimePoint now, const Key &key, bool isUsable)
    {
        auto found = slowStarts_.find(key);
        if (found == slowStarts_.end()) {
            if (isUsable) {
                return;
            }
            found = slowStarts_.emplace(key, SlowStart(limits_)).first;
        }
        if (isUsable) {
            found->second.onAvailable(now);
        } else {
            found->second.onUnavailable(now);
        }
    }

    /// The share of \p key.
    template<typename Lookup>
    double share(TimePoint now, const Lookup &key) const noexcept
    {
        const auto found = slowStarts_.find(key);
        return found == slowStarts_.end() ? 1 : found->second.share(now);
    }

    /// Forgets the ramps that are complete.
    void prune(TimePoint now)
    {
        std::erase_if(slowStarts_, [now](const auto &item) { return item.second.share(now) >= 1; });
    }

private:
    SlowStartLimits limits_;
    std::map<Key, SlowStart, std::less<>> slowStarts_;
};

} // namespace sassafrasvane

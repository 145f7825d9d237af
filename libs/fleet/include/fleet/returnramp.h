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
struct RampLimits {
    /// Share of the normal load in the first step, and added in each later one.
    double step = 0.05;
    /// Time between two steps.
    Duration stepTime = std::chrono::seconds(3);
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
class ReturnRamp
{
public:
    /// In full use from the start.
    explicit ReturnRamp(const RampLimits &limits = {}) noexcept : limits_(limits) { }

    /// It may get no new work from now on.
    void onGone(TimePoint now) noexcept;

    /// It may get new work again.
    void onBack(TimePoint now) noexcept;

    /// In [0, 1]; 0 while it is gone.
    double share(TimePoint now) const noexcept;

private:
    RampLimits limits_;
    /// Share at backAt_; 1 without a ramp.
    double startShare_ = 1;
    TimePoint backAt_;
    std::optional<TimePoint> goneAt_;
    double shareBefore_ = 1;
};

/// The ramps of many things by their key, such as failure domains by name. What was never gone has share 1.
template<typename Key>
class ReturnRamps
{
public:
    explicit ReturnRamps(const RampLimits &limits = {}) noexcept : limits_(limits) { }

    /// Notes whether \p key may get new work.
    void set(TimePoint now, const Key &key, bool isUsable)
    {
        auto found = ramps_.find(key);
        if (found == ramps_.end()) {
            if (isUsable) {
                return;
            }
            found = ramps_.emplace(key, ReturnRamp(limits_)).first;
        }
        if (isUsable) {
            found->second.onBack(now);
        } else {
            found->second.onGone(now);
        }
    }

    /// The share of \p key.
    template<typename Lookup>
    double share(TimePoint now, const Lookup &key) const noexcept
    {
        const auto found = ramps_.find(key);
        return found == ramps_.end() ? 1 : found->second.share(now);
    }

    /// Forgets the ramps that are complete.
    void prune(TimePoint now)
    {
        std::erase_if(ramps_, [now](const auto &item) { return item.second.share(now) >= 1; });
    }

private:
    RampLimits limits_;
    std::map<Key, ReturnRamp, std::less<>> ramps_;
};

} // namespace sassafrasvane

#pragma once

#include "base/time.h"

#include <functional>
#include <map>
#include <optional>

/// \file
/// Slow start: gradual return of load after an absence.

namespace sassafrasvane
{

/// Parameters of a SlowStart.
struct SlowStartLimits {
    /// Share of the normal load in the first step, and the increase in each later step.
    double step = 0.05;
    /// Time between two steps.
    Duration stepInterval = std::chrono::seconds(3);
    /// Absence after which the former share no longer counts.
    Duration forgetAfter = std::chrono::seconds(60);
};

/// The share of its normal load that a failure domain, VM or backend server may get after it became available again.
///
/// The share rises by one step at a time and never falls while the target is available. The former share decays
/// linearly during an absence, so that after a short one, such as a refuted suspicion, the share starts from the rest
/// of it.
///
/// \code
/// slowStart.onUnavailable(now);
/// slowStart.onAvailable(later);
/// weight *= slowStart.share(now);
/// \endcode
class SlowStart
{
public:
    /// Starts available with the full share.
    explicit SlowStart(const SlowStartLimits &limits = {}) noexcept : limits_(limits) { }

    /// The target may not get new work from now on.
    void onUnavailable(TimePoint now) noexcept;

    /// The target may get new work again.
    void onAvailable(TimePoint now) noexcept;

    /// In [0, 1]; 0 while the target is unavailable.
    double share(TimePoint now) const noexcept;

private:
    SlowStartLimits limits_;
    /// Share at availableSince_; 1 if the target was never unavailable.
    double startShare_ = 1;
    TimePoint availableSince_;
    std::optional<TimePoint> unavailableSince_;
    double formerShare_ = 1;
};

/// The slow starts of many targets by key, such as failure domains by name. A target that was always available has
/// share 1.
template<typename Key>
class SlowStarts
{
public:
    explicit SlowStarts(const SlowStartLimits &limits = {}) noexcept : limits_(limits) { }

    /// Sets whether \p key may get new work.
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

    /// The share of the normal load of \p key, in [0, 1].
    template<typename Lookup>
    double share(TimePoint now, const Lookup &key) const noexcept
    {
        const auto found = slowStarts_.find(key);
        return found == slowStarts_.end() ? 1 : found->second.share(now);
    }

    /// Removes the entries whose share has reached 1.
    void prune(TimePoint now)
    {
        std::erase_if(slowStarts_, [now](const auto &item) { return item.second.share(now) >= 1; });
    }

private:
    SlowStartLimits limits_;
    std::map<Key, SlowStart, std::less<>> slowStarts_;
};

} // namespace sassafrasvane

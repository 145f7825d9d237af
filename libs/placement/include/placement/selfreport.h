#pragma once

#include "base/time.h"

#include <optional>

/// \file
/// What a searcher tells about itself in its replies.

namespace sassafrasvane
{

/// What one reply says about the searcher that sent it, beside its load.
struct SelfReport {
    /// Calls per second that the searcher takes from all VMs together; nothing if the reply states no limit.
    std::optional<double> callsPerSecond;
    /// True if the reply states a limit that cannot be parsed. It then neither starts nor ends a limit.
    bool isLimitUnreadable = false;
    /// True if the searcher leaves and wants no further calls.
    bool isLeaving = false;
    /// For how long the searcher wants no calls of this VM; nothing if the reply asks for no pause.
    std::optional<Duration> pause{};
    /// True if the reply asks for a pause that cannot be parsed.
    bool isPauseUnreadable = false;
};

/// What \p report says that is also true if the reply answers an earlier call on the connection.
inline SelfReport lastingPart(const SelfReport &report)
{
    SelfReport lasting;
    lasting.isLeaving = report.isLeaving;
    return lasting;
}

} // namespace sassafrasvane

#pragma once

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
    bool isUnreadable = false;
};

} // namespace sassafrasvane

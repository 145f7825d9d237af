#pragma once

#include "publishedvalue.h"
#include "sendbudget.h"
#include "servicereadscheduler.h"
#include "valuetransfer.h"

#include <array>
#include <optional>
#include <utility>
#include <vector>

/// \file
/// The state of ConfigSpread, for its two source files.

namespace sassafrasvane
{

/// What is kept of each key, and what all keys share.
struct ConfigDistributor::State {
    /// One key.
    struct KeyState {
        detail::PublishedValue value;
        detail::ValueTransfer transfer;
        /// True once the newcomer's wait is over.
        bool hasJoined = false;
        /// True once the newcomer fetches its peers' version.
        bool isFetchingForJoin = false;
        bool hasServiceAnswered = false;
        /// What the service served during the wait.
        std::optional<std::pair<ConfigVersion, std::string>> provisional;
        /// Peers with a value that were heard during the wait.
        std::vector<DaemonId> peersHeard;
    };

    std::array<KeyState, configKeyCount> keys;
    detail::ServiceReadScheduler readScheduler;
    detail::SendBudget chunkBudget;
    Random random;
    bool hasJoinTimedOut = false;

    KeyState &key(ConfigKey key) noexcept { return keys[static_cast<std::size_t>(key)]; }
};

} // namespace sassafrasvane

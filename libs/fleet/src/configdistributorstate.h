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
/// The private state of ConfigDistributor, shared by its two source files.

namespace sassafrasvane
{

/// State of each key, and state that all keys share.
struct ConfigDistributor::State {
    /// State of one key.
    struct KeyState {
        detail::PublishedValue value;
        detail::ValueTransfer transfer;
        /// True once the join phase is over.
        bool hasJoined = false;
        /// True once the joining daemon fetches its peers' version.
        bool isFetchingForJoin = false;
        bool hasServiceAnswered = false;
        /// Value that the service returned during the join phase; it is not in force yet.
        std::optional<std::pair<ConfigVersion, std::string>> provisional;
        /// Peers that sent a version during the join phase.
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

#pragma once

#include "publishedvalue.h"
#include "sendbudget.h"
#include "servicereaders.h"
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
struct ConfigSpread::Parts {
    /// One key.
    struct Key {
        detail::PublishedValue value;
        detail::ValueTransfer transfer;
        /// True once the newcomer's wait is over.
        bool isSettled = false;
        /// True once the newcomer fetches its peers' version.
        bool isFetching = false;
        bool hasServiceAnswered = false;
        /// What the service served during the wait.
        std::optional<std::pair<ConfigVersion, std::string>> held;
        /// Peers with a value that were heard during the wait.
        std::vector<DaemonId> heard;
    };

    std::array<Key, configKeyCount> keys;
    detail::ServiceReaders readers;
    detail::SendBudget chunks;
    Random random;
    bool isPastBound = false;

    Key &key(ConfigKey key) noexcept { return keys[static_cast<std::size_t>(key)]; }
};

} // namespace sassafrasvane

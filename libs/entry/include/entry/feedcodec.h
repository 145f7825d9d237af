#pragma once

#include "base/error.h"
#include "catalog/storefollower.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// What entry processes tell each other of the store's items.

namespace sassafrasvane
{

/// The items that changed after a revision, or all of them.
struct FeedAnswer {
    std::vector<StoreItem> items;
    /// The store's revision up to which the items are complete.
    std::uint64_t asOf = 0;
    /// True if these are all items that there are.
    bool isFull = false;
    /// Time since the store itself confirmed asOf to some process.
    Duration age{0};
};

/// How far a process knows the store.
struct FeedSource {
    /// The revision up to which all items are in force here.
    std::uint64_t asOf = 0;
    /// Time since the store confirmed it.
    Duration age{0};
};

/// Encodes \p answer as MessagePack.
std::string encodeFeedAnswer(const FeedAnswer &answer);

/// Decodes what encodeFeedAnswer() made. \return Errc::BadMessage if it cannot be read.
Result<FeedAnswer> decodeFeedAnswer(std::string_view bytes);

/// A question for changes.
struct FeedQuestion {
    std::uint64_t afterRevision = 0;
    /// How long the answer may wait for changes.
    Duration wait{0};
    /// False if only the revision is asked for.
    bool wantsItems = true;
};

/// The request target that stands for \p question.
std::string feedTarget(const FeedQuestion &question);

/// Reads what feedTarget() made. \return nothing if \p target is another one.
std::optional<FeedQuestion> readFeedTarget(std::string_view target);

} // namespace sassafrasvane

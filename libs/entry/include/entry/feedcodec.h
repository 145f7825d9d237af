#pragma once

#include "base/error.h"
#include "catalog/storefollower.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Encoding of the feed by which entry processes pass the store's items on to each other.

namespace sassafrasvane
{

/// The items that changed after a position, or a snapshot of all items.
struct FeedResponse {
    std::vector<StoreItem> items;
    /// Position of the store up to which the items are complete.
    StorePosition position;
    /// True if the response holds all items of the store.
    bool isSnapshot = false;
    /// Time since the store confirmed the position to the process that read it.
    Duration age{0};
    /// False if the sender has lost the store: a snapshot of what it knew last.
    bool isConfirmed = true;
};

/// The position up to which a process knows the store.
struct ConfirmedPosition {
    /// Position up to which the process has applied all items.
    StorePosition position;
    /// Time since the store confirmed the position.
    Duration age{0};
};

/// True if a peer at \p peer is a source for a process at \p own. One that still knows an earlier epoch is none: it
/// cannot tell what the store holds.
constexpr bool isSource(const StorePosition &own, const StorePosition &peer) noexcept
{
    return peer.epoch >= own.epoch;
}

/// Encodes \p response as MessagePack.
std::string encodeFeedResponse(const FeedResponse &response);

/// Decodes the output of encodeFeedResponse(). \return Errc::BadMessage if \p bytes are malformed.
Result<FeedResponse> decodeFeedResponse(std::string_view bytes);

/// A request for changes.
///
/// A process that knows nothing and cannot read the store accepts items that are not confirmed. The response is then a
/// snapshot.
struct FeedRequest {
    StorePosition after;
    /// How long the server may hold the request while there are no changes.
    Duration wait{0};
    /// False if only the position is requested.
    bool wantsItems = true;
    /// True if items that are not confirmed are better than none; includes wantsItems.
    bool acceptsUnconfirmed = false;
};

/// Encodes \p request as HTTP request target.
std::string feedTarget(const FeedRequest &request);

/// Parses the output of feedTarget(). \return nothing if \p target is not a feed request.
std::optional<FeedRequest> parseFeedTarget(std::string_view target);

} // namespace sassafrasvane

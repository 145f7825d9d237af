#pragma once

#include <compare>
#include <cstdint>

/// \file
/// A point in the history of the store.

namespace sassafrasvane
{

/// A revision of the store in one of its epochs.
///
/// The store begins a new epoch when it comes back from an older copy: revisions that it has given out since that copy
/// are lost and given out again. Revisions of different epochs say nothing of each other, so positions are ordered by
/// epoch first.
///
/// \code
/// StorePosition(1, 20) > StorePosition(0, 35);
/// \endcode
struct StorePosition {
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;

    constexpr StorePosition() noexcept = default;
    // Makes a bare revision in place of a position an error, also in lists of initializers.
    constexpr StorePosition(std::uint64_t epochNumber, std::uint64_t revisionNumber) noexcept
        : epoch(epochNumber), revision(revisionNumber)
    {
    }

    std::strong_ordering operator<=>(const StorePosition &) const = default;
};

} // namespace sassafrasvane

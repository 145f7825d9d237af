#pragma once

#include "base/ids.h"
#include "shardmap/shardmap.h"

#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

/// \file
/// Which daemons hold the connections of which searcher.
///
/// Every daemon computes the same table from the published lists alone, by rendezvous hashing (Thaler and
/// Ravishankar, "A name-based mapping scheme for rendezvous", 1996), so a searcher's slots and connections are divided
/// among a fixed few daemons without any message between them. Liveness that a daemon merely observes never changes
/// the table: a division that followed it would differ on the two sides of a partition and exceed the limits in sum.

namespace sassafrasvane
{

/// The part of a searcher's limits that one holder may use.
struct HolderShare {
    /// Position among the holders; 0 is first to use a small allowance.
    std::uint32_t rank = 0;
    /// Number of holders.
    std::uint32_t holders = 1;

    /// This holder's part of \p total units; the parts of all holders add up to \p total exactly.
    constexpr std::uint32_t of(std::uint32_t total) const noexcept
    {
        return total / holders + (rank < total % holders ? 1 : 0);
    }
};

/// The holders of every searcher of a shard map.
///
/// \code
/// const HolderTable table = HolderTable::Builder().map(map).daemons(daemons).holdersOf("rider-search", 2).build();
/// for (DaemonId daemon : table.holders(searcher)) { ... }
/// \endcode
class HolderTable
{
public:
    class Builder;

    /// The holders of \p searcher by rank; empty if it is not in the map.
    std::span<const DaemonId> holders(SearcherId searcher) const noexcept;

    /// The share of \p daemon at \p searcher, or nothing if it is not a holder.
    std::optional<HolderShare> share(SearcherId searcher, DaemonId daemon) const noexcept;

    /// The searchers that \p daemon holds, in the order of their ids.
    std::vector<SearcherId> heldBy(DaemonId daemon) const;

private:
    std::unordered_map<SearcherId, std::vector<DaemonId>> holders_;
};

/// Collects the inputs of a HolderTable.
class HolderTable::Builder
{
public:
    /// \param map the shard map; must outlive build().
    Builder &map(const ShardMap &map) noexcept;

    /// \param daemons the published daemons that may hold searchers; their order does not matter.
    Builder &daemons(std::span<const DaemonId> daemons);

    /// Sets the number of holders of each searcher of \p backEnd: at most its slots, so that each holder has one.
    Builder &holdersOf(std::string_view backEnd, std::uint32_t count);

    /// \return the table. Back ends without a set number have one holder a searcher.
    HolderTable build() const;

private:
    const ShardMap *map_ = nullptr;
    std::vector<DaemonId> daemons_;
    std::map<std::string, std::uint32_t, std::less<>> counts_;
};

} // namespace sassafrasvane

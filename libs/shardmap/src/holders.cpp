#include "shardmap/holders.h"

#include "base/random.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

struct Candidate {
    std::uint64_t weight = 0;
    DaemonId daemon;

    auto operator<=>(const Candidate &) const noexcept = default;
};

std::vector<DaemonId> topDaemons(SearcherId searcher, std::span<const DaemonId> daemons, std::size_t count)
{
    std::vector<Candidate> candidates;
    candidates.reserve(daemons.size());
    for (const DaemonId daemon : daemons) {
        candidates.push_back({mix(searcher.value, daemon.value), daemon});
    }
    const std::size_t taken = std::min(count, candidates.size());
    const std::vector<Candidate>::iterator middle = candidates.begin() + static_cast<std::ptrdiff_t>(taken);
    std::partial_sort(candidates.begin(), middle, candidates.end(), std::greater<>());
    std::vector<DaemonId> top;
    top.reserve(taken);
    for (std::size_t i = 0; i < taken; ++i) {
        top.push_back(candidates[i].daemon);
    }
    return top;
}

} // namespace

std::span<const DaemonId> HolderTable::holders(SearcherId searcher) const noexcept
{
    const auto found = holders_.find(searcher);
    return found == holders_.end() ? std::span<const DaemonId>() : std::span<const DaemonId>(found->second);
}

std::optional<HolderShare> HolderTable::share(SearcherId searcher, DaemonId daemon) const noexcept
{
    const std::span<const DaemonId> all = holders(searcher);
    const auto found = std::find(all.begin(), all.end(), daemon);
    if (found == all.end()) {
        return std::nullopt;
    }
    return HolderShare{static_cast<std::uint32_t>(found - all.begin()), static_cast<std::uint32_t>(all.size())};
}

std::vector<SearcherId> HolderTable::heldBy(DaemonId daemon) const
{
    std::vector<SearcherId> held;
    for (const auto &[searcher, daemons] : holders_) {
        if (std::find(daemons.begin(), daemons.end(), daemon) != daemons.end()) {
            held.push_back(searcher);
        }
    }
    std::sort(held.begin(), held.end());
    return held;
}

HolderTable::Builder &HolderTable::Builder::map(const ShardMap &map) noexcept
{
    map_ = &map;
    return *this;
}

HolderTable::Builder &HolderTable::Builder::daemons(std::span<const DaemonId> daemons)
{
    daemons_.assign(daemons.begin(), daemons.end());
    std::sort(daemons_.begin(), daemons_.end());
    daemons_.erase(std::unique(daemons_.begin(), daemons_.end()), daemons_.end());
    return *this;
}

HolderTable::Builder &HolderTable::Builder::holdersOf(std::string_view backEnd, std::uint32_t count)
{
    counts_[std::string(backEnd)] = std::max<std::uint32_t>(count, 1);
    return *this;
}

HolderTable HolderTable::Builder::build() const
{
    HolderTable table;
    if (map_ == nullptr) {
        return table;
    }
    for (const BackEndMap &backEnd : map_->backEnds()) {
        const auto count = counts_.find(backEnd.name);
        const std::uint32_t holders = count == counts_.end() ? 1 : count->second;
        for (const Searcher &searcher : backEnd.searchers) {
            table.holders_[searcher.id] = topDaemons(searcher.id, daemons_, holders);
        }
    }
    return table;
}

} // namespace sassafrasvane

#include "shardmap/shardmap.h"

#include <algorithm>
#include <set>

namespace sassafrasvane
{

namespace
{

class FaultList
{
public:
    void add(const std::string &fault)
    {
        text_ += text_.empty() ? "" : "; ";
        text_ += fault;
    }

    bool isEmpty() const noexcept { return text_.empty(); }

    const std::string &text() const noexcept { return text_; }

private:
    std::string text_;
};

std::string partName(const BackEndMap &backEnd, const IndexMap &map, const Part &part)
{
    return backEnd.name + " index " + std::to_string(map.version.value) + " part " + std::to_string(part.id.value);
}

void checkReplicas(const BackEndMap &backEnd, const IndexMap &map, const Part &part, FaultList &faults)
{
    if (part.replicas.empty()) {
        faults.add(partName(backEnd, map, part) + " has no replica");
    }
    for (const SearcherId replica : part.replicas) {
        const bool isListed = std::any_of(backEnd.searchers.begin(),
                                          backEnd.searchers.end(),
                                          [replica](const Searcher &searcher) { return searcher.id == replica; });
        if (!isListed) {
            faults.add(partName(backEnd, map, part) + " names searcher " + std::to_string(replica.value)
                       + ", which is not listed");
        }
    }
}

void checkRanges(const BackEndMap &backEnd, const IndexMap &map, FaultList &faults)
{
    for (std::size_t i = 0; i < map.parts.size(); ++i) {
        const Part &part = map.parts[i];
        if (part.begin >= part.end) {
            faults.add(partName(backEnd, map, part) + " is an empty range");
        }
        if (i > 0 && map.parts[i - 1].end != part.begin) {
            faults.add(partName(backEnd, map, part) + " does not begin where the part before it ends");
        }
    }
}

} // namespace

std::optional<std::size_t> IndexMap::indexOf(PartId part) const noexcept
{
    const auto found = positions_.find(part);
    return found == positions_.end() ? std::nullopt : std::optional<std::size_t>(found->second);
}

const IndexMap *BackEndMap::find(IndexVersion version) const noexcept
{
    for (const IndexMap &map : versions) {
        if (map.version == version) {
            return &map;
        }
    }
    return nullptr;
}

const BackEndMap *ShardMap::find(std::string_view name) const noexcept
{
    for (const BackEndMap &backEnd : backEnds_) {
        if (backEnd.name == name) {
            return &backEnd;
        }
    }
    return nullptr;
}

const Searcher *ShardMap::searcher(SearcherId id) const noexcept
{
    const auto found = places_.find(id);
    return found == places_.end() ? nullptr : &backEnds_[found->second.backEnd].searchers[found->second.searcher];
}

const BackEndMap *ShardMap::backEndOf(SearcherId id) const noexcept
{
    const auto found = places_.find(id);
    return found == places_.end() ? nullptr : &backEnds_[found->second.backEnd];
}

ShardMap::Builder &ShardMap::Builder::backEnd(BackEndMap backEnd)
{
    backEnds_.push_back(std::move(backEnd));
    return *this;
}

Result<ShardMap> ShardMap::Builder::build(ConfigVersion version)
{
    ShardMap map;
    FaultList faults;
    map.version_ = version;
    map.backEnds_ = std::move(backEnds_);
    std::sort(map.backEnds_.begin(), map.backEnds_.end(), [](const BackEndMap &a, const BackEndMap &b) {
        return a.name < b.name;
    });
    for (std::size_t b = 0; b < map.backEnds_.size(); ++b) {
        BackEndMap &backEnd = map.backEnds_[b];
        if (b > 0 && map.backEnds_[b - 1].name == backEnd.name) {
            faults.add("back end " + backEnd.name + " appears twice");
        }
        for (std::size_t s = 0; s < backEnd.searchers.size(); ++s) {
            if (!map.places_.try_emplace(backEnd.searchers[s].id, Place{b, s}).second) {
                faults.add("searcher " + std::to_string(backEnd.searchers[s].id.value) + " appears twice");
            }
        }
        std::sort(backEnd.versions.begin(), backEnd.versions.end(), [](const IndexMap &a, const IndexMap &b) {
            return a.version > b.version;
        });
        for (std::size_t v = 0; v < backEnd.versions.size(); ++v) {
            IndexMap &index = backEnd.versions[v];
            if (v > 0 && backEnd.versions[v - 1].version == index.version) {
                faults.add(backEnd.name + " index " + std::to_string(index.version.value) + " appears twice");
            }
            std::sort(
                index.parts.begin(), index.parts.end(), [](const Part &a, const Part &b) { return a.begin < b.begin; });
            index.width = 0;
            index.positions_.clear();
            for (std::size_t p = 0; p < index.parts.size(); ++p) {
                if (!index.positions_.try_emplace(index.parts[p].id, p).second) {
                    faults.add(partName(backEnd, index, index.parts[p]) + " appears twice");
                }
                checkReplicas(backEnd, index, index.parts[p], faults);
                index.width += index.parts[p].width();
            }
            checkRanges(backEnd, index, faults);
        }
    }
    if (!faults.isEmpty()) {
        return Error{Errc::InvalidConfiguration, Step::Configuration, {}, "shard map: " + faults.text()};
    }
    return map;
}

} // namespace sassafrasvane

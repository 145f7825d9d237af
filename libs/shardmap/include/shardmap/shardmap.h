#pragma once

#include "base/address.h"
#include "base/error.h"
#include "base/ids.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// \file
/// The published shard map: which searcher holds which part of which index version.

namespace sassafrasvane
{

/// Whether a searcher may be given new work, as published.
enum class ServerState {
    Live,
    Leaving, ///< Finishes what it has; takes no new work.
};

/// One server process of a backend server.
struct Searcher {
    SearcherId id;
    Address address;
    /// Name of the failure domain that it stands in.
    std::string failureDomain;
    ServerState state = ServerState::Live;
};

/// A half-open range of the key space of one index version, with the searchers that hold it.
struct Part {
    PartId id;
    /// First key.
    std::uint64_t begin = 0;
    /// One past the last key.
    std::uint64_t end = 0;
    /// Searchers that hold the part, in the published order.
    std::vector<SearcherId> replicas;

    /// Share of the key space, in keys.
    std::uint64_t width() const noexcept { return end - begin; }
};

/// All parts of one index version. Together they cover the key space without gap or overlap.
struct IndexMap {
    IndexVersion version;
    /// Sorted by begin.
    std::vector<Part> parts;
    /// Keys in all parts.
    std::uint64_t width = 0;

    /// The position of \p part in parts, or nothing if the version has no such part.
    std::optional<std::size_t> indexOf(PartId part) const noexcept;

private:
    friend class ShardMap;
    std::unordered_map<PartId, std::size_t> positions_;
};

/// The searchers and index versions of one back end.
struct BackEndMap {
    std::string name;
    std::vector<Searcher> searchers;
    /// Newest first.
    std::vector<IndexMap> versions;

    /// The map of \p version, or nullptr if it is not published.
    const IndexMap *find(IndexVersion version) const noexcept;
};

/// An immutable shard map. Shared between tasks as std::shared_ptr<const ShardMap>.
///
/// \code
/// const Result<ShardMap> map = ShardMap::Builder().backEnd(std::move(riders)).build(version);
/// const BackEndMap *riders = map.value().find("rider-search");
/// \endcode
class ShardMap
{
public:
    class Builder;

    /// The published version of this map.
    ConfigVersion version() const noexcept { return version_; }

    /// The back end called \p name, or nullptr.
    const BackEndMap *find(std::string_view name) const noexcept;

    /// All back ends, ordered by name.
    std::span<const BackEndMap> backEnds() const noexcept { return backEnds_; }

    /// The searcher \p id of any back end, or nullptr.
    const Searcher *searcher(SearcherId id) const noexcept;

    /// The back end that \p id belongs to, or nullptr.
    const BackEndMap *backEndOf(SearcherId id) const noexcept;

private:
    struct Place {
        std::size_t backEnd = 0;
        std::size_t searcher = 0;
    };

    ConfigVersion version_;
    std::vector<BackEndMap> backEnds_;
    std::unordered_map<SearcherId, Place> places_;
};

/// Collects back ends and checks them as a whole.
class ShardMap::Builder
{
public:
    /// Adds \p backEnd; its versions and parts may come in any order.
    Builder &backEnd(BackEndMap backEnd);

    /// \param version the published version of the map.
    /// \return the map, or Errc::InvalidConfiguration with every fault: a searcher or part that appears twice, a part
    /// without replica or with one that is not listed, a gap or an overlap in a version's key space.
    Result<ShardMap> build(ConfigVersion version);

private:
    std::vector<BackEndMap> backEnds_;
};

} // namespace sassafrasvane

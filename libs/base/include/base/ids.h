#pragma once

#include <compare>
#include <cstdint>
#include <functional>

/// \file
/// Identifiers of the system, each a type of its own so that they cannot be mixed up.

namespace sassafrasvane
{

/// An integer that identifies one kind of thing, named by \p Tag.
///
/// \code
/// const PartId part{7};
/// if (part == other) { ... }
/// \endcode
template<typename Tag, typename Rep>
struct StrongId {
    using Value = Rep;

    /// The bare number, for codecs and log lines.
    Rep value = 0;

    constexpr auto operator<=>(const StrongId &) const noexcept = default;
};

/// A daemon, by its peer address: the IPv4 address in the upper and the port in the lower bits (see daemonId()).
using DaemonId = StrongId<struct DaemonTag, std::uint64_t>;

/// One life of a process: rises with each start. 0 means unknown.
using Incarnation = StrongId<struct IncarnationTag, std::uint64_t>;

/// A searcher: one server process of a backend server, as numbered by the published shard map.
using SearcherId = StrongId<struct SearcherTag, std::uint32_t>;

/// One part of the key space of one index version.
using PartId = StrongId<struct PartTag, std::uint32_t>;

/// A version of the index. Versions only rise; 0 means none.
using IndexVersion = StrongId<struct IndexVersionTag, std::uint64_t>;

/// A query, unique within one incarnation of the daemon that took it in.
using QueryId = StrongId<struct QueryTag, std::uint64_t>;

/// One request to a searcher on behalf of a query. Never reused within an incarnation of its sender.
using CallId = StrongId<struct CallTag, std::uint64_t>;

/// A version of a published value. Versions only rise; 0 means that nothing was read yet.
using ConfigVersion = StrongId<struct ConfigVersionTag, std::uint64_t>;

/// A class of work, by its position in the configuration in force.
using ClassIndex = StrongId<struct ClassTag, std::uint32_t>;

/// Fingerprint of a request's content: equal requests have equal fingerprints.
using Fingerprint = StrongId<struct FingerprintTag, std::uint64_t>;

} // namespace sassafrasvane

/// Hashes any StrongId by its number.
template<typename Tag, typename Rep>
struct std::hash<sassafrasvane::StrongId<Tag, Rep>> {
    std::size_t operator()(const sassafrasvane::StrongId<Tag, Rep> &id) const noexcept
    {
        return std::hash<Rep>{}(id.value);
    }
};

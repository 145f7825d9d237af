#pragma once

#include "base/random.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// What a stand-in searcher finds: a deterministic function of index version, key range and query, so that a test can
/// compute the right answer by itself.

namespace sassafrasvane
{

/// One result of a stand-in searcher.
struct StandinHit {
    std::uint64_t key = 0;
    /// Higher is better; equal scores are ordered by key.
    double score = 0;
    std::string body;

    bool operator==(const StandinHit &) const = default;
};

/// Keys among which exactly one matches a query.
inline constexpr std::uint64_t standinKeysPerMatch = 8;

/// The key of block \p block that matches \p queryHash in version \p index.
inline std::uint64_t matchingKey(std::uint64_t index, std::uint64_t queryHash, std::uint64_t block) noexcept
{
    return block * standinKeysPerMatch + mix(mix(index, queryHash), block) % standinKeysPerMatch;
}

/// The best \p limit hits of \p query among the keys [\p begin, \p end) of version \p index, best first.
///
/// The hits of a range do not depend on how it is divided into parts. Takes time in proportion to the range.
inline std::vector<StandinHit> searchResult(std::uint64_t index,
                                            std::uint64_t begin,
                                            std::uint64_t end,
                                            std::string_view query,
                                            std::size_t limit)
{
    const std::uint64_t queryHash = hashBytes(query);
    std::vector<StandinHit> hits;
    for (std::uint64_t block = begin / standinKeysPerMatch; block * standinKeysPerMatch < end; ++block) {
        const std::uint64_t key = matchingKey(index, queryHash, block);
        if (key < begin || key >= end) {
            continue;
        }
        const double score = static_cast<double>(mix(key, mix(queryHash, index)) % 1000000) / 1000000;
        hits.push_back({key, score, "v" + std::to_string(index) + "-k" + std::to_string(key)});
    }
    std::sort(hits.begin(), hits.end(), [](const StandinHit &left, const StandinHit &right) {
        return left.score != right.score ? left.score > right.score : left.key < right.key;
    });
    hits.resize(std::min(hits.size(), limit));
    return hits;
}

} // namespace sassafrasvane

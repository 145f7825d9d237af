#pragma once

#include "fanout/messages.h"

#include <cstddef>
#include <vector>

/// \file
/// Merges the hits of many parts into the best few.

namespace sassafrasvane
{

/// Keeps the best hits seen so far, in a heap of bounded size.
///
/// \code
/// HitMerger merger(10);
/// merger.add(std::move(result.hits));
/// std::vector<Hit> best = merger.take();
/// \endcode
class HitMerger
{
public:
    /// \param limit most hits to keep.
    explicit HitMerger(std::size_t limit) noexcept : limit_(limit) { }

    /// Offers \p hits.
    void add(std::vector<Hit> hits);

    /// Forgets everything.
    void clear() noexcept { heap_.clear(); }

    /// \return the best hits, best first; equal scores are ordered by key. The merger is empty afterwards.
    std::vector<Hit> take();

private:
    std::size_t limit_;
    std::vector<Hit> heap_;
};

} // namespace sassafrasvane

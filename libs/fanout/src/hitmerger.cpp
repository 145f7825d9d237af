#include "fanout/hitmerger.h"

#include <algorithm>

namespace sassafrasvane
{

namespace
{

// Heap order: the worst of the kept hits is on top.
bool isBetter(const Hit &a, const Hit &b) noexcept
{
    return a.score != b.score ? a.score > b.score : a.key < b.key;
}

} // namespace

void HitMerger::add(std::vector<Hit> hits)
{
    for (Hit &hit : hits) {
        if (heap_.size() < limit_) {
            heap_.push_back(std::move(hit));
            std::push_heap(heap_.begin(), heap_.end(), isBetter);
        } else if (!heap_.empty() && isBetter(hit, heap_.front())) {
            std::pop_heap(heap_.begin(), heap_.end(), isBetter);
            heap_.back() = std::move(hit);
            std::push_heap(heap_.begin(), heap_.end(), isBetter);
        }
    }
}

std::vector<Hit> HitMerger::take()
{
    std::sort_heap(heap_.begin(), heap_.end(), isBetter);
    return std::move(heap_);
}

} // namespace sassafrasvane

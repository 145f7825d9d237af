#include "placement/incarnationstate.h"

#include <algorithm>

namespace sassafrasvane
{

void RetainedIncarnations::keep(const SearcherEntry &entry, std::shared_ptr<IncarnationState> state)
{
    if (order_.size() >= maxStates()) {
        dropOne();
    }
    states_.insert_or_assign(keyOf(entry), std::move(state));
    order_.push_back(keyOf(entry));
}

void RetainedIncarnations::dropOne()
{
    const std::deque<Key>::iterator stays
        = std::find_if(order_.begin(), order_.end(), [this](const Key &key) { return !states_.at(key)->isLeaving; });
    const std::deque<Key>::iterator dropped = stays == order_.end() ? order_.begin() : stays;
    states_.erase(*dropped);
    order_.erase(dropped);
}

bool RetainedIncarnations::hasLaterThatLeaves(const Key &key) const
{
    for (std::map<Key, std::shared_ptr<IncarnationState>>::const_iterator later = states_.upper_bound(key);
         later != states_.end() && later->first.first == key.first;
         ++later) {
        if (later->second->isLeaving) {
            return true;
        }
    }
    return false;
}

std::shared_ptr<IncarnationState> RetainedIncarnations::take(const SearcherEntry &entry)
{
    std::map<Key, std::shared_ptr<IncarnationState>>::node_type found = states_.extract(keyOf(entry));
    if (!found) {
        std::shared_ptr<IncarnationState> state = std::make_shared<IncarnationState>();
        state->isLeaving = hasLaterThatLeaves(keyOf(entry));
        return state;
    }
    std::erase(order_, found.key());
    return std::move(found.mapped());
}

} // namespace sassafrasvane

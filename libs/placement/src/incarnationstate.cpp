#include "placement/incarnationstate.h"

namespace sassafrasvane
{

void RetainedIncarnations::keep(const SearcherEntry &entry, std::shared_ptr<IncarnationState> state)
{
    if (order_.size() >= maxStates()) {
        states_.erase(order_.front());
        order_.pop_front();
    }
    states_.insert_or_assign(keyOf(entry), std::move(state));
    order_.push_back(keyOf(entry));
}

std::shared_ptr<IncarnationState> RetainedIncarnations::take(const SearcherEntry &entry)
{
    std::map<Key, std::shared_ptr<IncarnationState>>::node_type found = states_.extract(keyOf(entry));
    if (!found) {
        return std::make_shared<IncarnationState>();
    }
    std::erase(order_, found.key());
    return std::move(found.mapped());
}

} // namespace sassafrasvane

#include "routing/weightedsplit.h"

#include <algorithm>
#include <unordered_set>

namespace sassafrasvane
{

namespace
{

bool isSame(std::span<const WeightedBackend> first, std::span<const WeightedBackend> second)
{
    return std::equal(first.begin(),
                      first.end(),
                      second.begin(),
                      second.end(),
                      [](const WeightedBackend &left, const WeightedBackend &right) {
                          return left.backend == right.backend && left.weight == right.weight;
                      });
}

} // namespace

std::size_t WeightedSplits::next(const RequestRoute &route)
{
    if (route.split.size() == 1) {
        return 0;
    }
    State &state = states_[route.name];
    if (!isSame(state.split, route.split)) {
        state.split = route.split;
        state.credit.assign(route.split.size(), 0);
    }
    double total = 0;
    for (std::size_t i = 0; i < state.split.size(); ++i) {
        state.credit[i] += state.split[i].weight;
        total += state.split[i].weight;
    }
    const std::vector<double>::iterator highest = std::max_element(state.credit.begin(), state.credit.end());
    *highest -= total;
    return static_cast<std::size_t>(highest - state.credit.begin());
}

void WeightedSplits::keepOnly(const RoutingConfiguration &configuration)
{
    std::unordered_set<std::string> names;
    for (const RequestRoute &route : configuration.routes) {
        names.insert(route.name);
    }
    std::erase_if(states_, [&names](const auto &entry) { return !names.contains(entry.first); });
}

} // namespace sassafrasvane

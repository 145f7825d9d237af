#pragma once

#include "routing/configuration.h"

#include <span>
#include <string>
#include <unordered_map>
#include <vector>

/// \file
/// Divides the requests of a route among back ends by weight.

namespace sassafrasvane
{

/// Smooth weighted round robin for each route: after any number of requests, each back end's count is off its share
/// by less than the number of back ends.
///
/// \code
/// const std::size_t index = splits.next(route);
/// const std::string &backend = route.split[index].backend;
/// \endcode
class WeightedSplits
{
public:
    /// The position in RequestRoute::split of the back end that takes the next request. \param route has a split.
    std::size_t next(const RequestRoute &route);

    /// Forgets the routes that \p configuration does not name.
    void keepOnly(const RoutingConfiguration &configuration);

private:
    struct State {
        std::vector<WeightedBackend> split;
        std::vector<double> credit;
    };

    std::unordered_map<std::string, State> states_;
};

} // namespace sassafrasvane

#pragma once

#include "routing/configuration.h"

#include <span>
#include <string>
#include <unordered_map>
#include <vector>

/// \file
/// Splits the requests of a route among backends by weight.

namespace sassafrasvane
{

/// Smooth weighted round robin for each route. After any number of requests, the count of each backend differs from its
/// share by less than the number of backends.
///
/// \code
/// const std::size_t index = splits.next(route);
/// const std::string &backend = route.split[index].backend;
/// \endcode
class WeightedSplits
{
public:
    /// Returns the index in RequestRoute::split of the backend for the next request. \param route must have a non-empty
    /// split.
    std::size_t next(const RequestRoute &route);

    /// Removes the state of routes that \p configuration does not contain.
    void keepOnly(const RoutingConfiguration &configuration);

private:
    struct State {
        std::vector<WeightedBackend> split;
        std::vector<double> credit;
    };

    std::unordered_map<std::string, State> states_;
};

} // namespace sassafrasvane

#pragma once

#include "fleet/subset.h"

#include <span>
#include <vector>

/// \file
/// Which entry VMs are named to callers.

namespace sassafrasvane
{

/// Chooses the entry VMs that callers are sent to, on which all entry VMs agree without messages.
///
/// A few VMs serve better than many: each then calls every searcher often, so that its connections are open and what it
/// knows of the searcher's speed and load is fresh, and shares of limits stay whole calls. There are enough of them
/// that the loss of one is a small part, and of a failure domain no more than its part, of all requests; and two in
/// each failure domain, so that callers find one nearby when the other stops. The larger VMs of a domain come first: a
/// query over many shards takes a small one a good part of its latency target.
///
/// \param candidates the VMs that take requests. \return all of them if they are few.
std::vector<DaemonId> advertisedVms(std::span<const SubsetCandidate> candidates);

} // namespace sassafrasvane

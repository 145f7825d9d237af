#pragma once

#include "fleet/subset.h"
#include "placement/searcherpool.h"
#include "routing/routetable.h"

#include <set>
#include <span>
#include <string>
#include <vector>

/// \file
/// Selects the entry VMs that are advertised to callers.

namespace sassafrasvane
{

/// Selects the entry VMs that are advertised to callers. All entry VMs with the same candidates select the same ones
/// without exchanging messages.
///
/// Only a few VMs are advertised. Each then calls every searcher often, which keeps its connections open and its view
/// of the searchers' speed and load fresh, and its shares of limits are at least one whole call. There are enough VMs
/// that the loss of one affects a small share of the requests, and the loss of a failure domain no more than the
/// domain's share. Each failure domain has at least two, so that callers find one nearby when the other stops. Larger
/// VMs of a domain are preferred, because a query over many shards uses much of its latency target on a small VM.
///
/// The VMs beyond two in each failure domain are chosen in \p preferredDomains as far as there are enough: their calls
/// to searchers stay in the domain.
///
/// \param candidates the VMs that accept requests. \param preferredDomains as queryDomains() returns them.
/// \return all candidates if there are only a few.
std::vector<DaemonId> advertisedVms(std::span<const SubsetCandidate> candidates,
                                    const std::set<std::string> &preferredDomains = {});

/// Returns the failure domains in which queries find their searchers: those with searchers of at least half of the
/// backends of the gathered routes of \p routes. Single searchers elsewhere do not move the callers. Empty if there are
/// no gathered routes. VMs that know the same registrations get the same domains.
std::set<std::string> queryDomains(const RouteTable &routes, const SearcherPool &pool);

} // namespace sassafrasvane

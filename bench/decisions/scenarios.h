#pragma once

#include "report.h"

#include <cstdint>
#include <string>

/// \file
/// What the query decisions are measured by. Each function runs one scenario with one seed, ours and the baseline.

namespace sassafrasvane
{

/// One searcher in 30 is slow tenfold.
void runSlowSearcher(std::uint64_t seed, Report &report);

/// 1,700 searchers a query, of whose calls one in a thousand straggles.
void runStragglers(std::uint64_t seed, Report &report);

/// A searcher goes away for good.
void runLostReplica(std::uint64_t seed, Report &report);

/// A searcher restarts cold without notice.
void runColdServer(std::uint64_t seed, Report &report);

/// Load from half the capacity to twice the capacity.
void runOverload(std::uint64_t seed, Report &report);

/// A failure domain is taken out and comes back, for both users' mixes. \param curves folder for the SVG files of the
/// first seed.
void runDomainMove(std::uint64_t seed, Report &report, const std::string &curves);

} // namespace sassafrasvane

#pragma once

#include "tier.h"

/// \file
/// The back ends and classes that the scenarios run on.

namespace sassafrasvane
{

/// A back end of many small searchers: 2 slots and 25 connections each.
BackEndSetup searchBackEnd(const std::string &name, std::uint32_t searchers);

/// A back end of 4 searchers with 6 slots each, all of which hold everything.
BackEndSetup smallBackEnd(const std::string &name, std::uint32_t connections);

/// One class on one back end of 30 searchers, with 2 replicas of each of 30 parts.
TierSetup thirtySearchers(std::uint64_t seed);

/// One class on 2,100 searchers and 1,700 parts, with 420 daemons.
TierSetup seventeenHundredSearchers(std::uint64_t seed);

/// The classes of the velodromes' booking search: two search back ends and two of bookings.
TierSetup trackMix(std::uint64_t seed);

/// The classes of the audio guides' search front.
TierSetup guideMix(std::uint64_t seed);

/// Queries a second that a search back end can serve at most.
double capacity(const BackEndSetup &backEnd);

/// Copies \p setup as the baseline.
TierSetup asBaseline(const TierSetup &setup);

} // namespace sassafrasvane

#pragma once

#include "base/ids.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

/// \file
/// Choice of a few daemons out of many, on which all daemons agree without messages.

namespace sassafrasvane
{

/// A daemon that may be chosen.
struct SubsetCandidate {
    DaemonId daemon;
    std::string failureDomain;
    /// Daemons of a higher rank are chosen before the others of their failure domain.
    std::uint16_t rank = 0;
};

/// Chooses \p count of \p candidates, spread evenly over the failure domains.
///
/// Domains, and the daemons of one rank in each, are ordered by rendezvous hashing, so a daemon that joins or leaves
/// changes the choice by one, and daemons that know the same members make the same choice.
/// \param salt makes the choices for different purposes independent.
/// \return the chosen daemons; all candidates if there are no more than \p count.
std::vector<DaemonId> spreadSubset(std::span<const SubsetCandidate> candidates, std::uint64_t salt, std::size_t count);

} // namespace sassafrasvane

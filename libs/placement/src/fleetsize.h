#pragma once

#include <cstddef>

/// \file
/// The smallest fleet that limits are divided among.

namespace sassafrasvane::detail
{

/// Limits are divided among at least this many entry VMs, so that a part is left for VMs that start later.
constexpr std::size_t minFleetSize = 8;

} // namespace sassafrasvane::detail

#pragma once

#include "entry/protocol.h"
#include "routing/routetable.h"

#include <cstddef>
#include <optional>

/// \file
/// The check of a caller's API key.

namespace sassafrasvane
{

/// Why a request is refused because of its API key.
enum class KeyFault {
    Missing,    ///< The request has no key, and its route is not public.
    Unreadable, ///< The request has something in place of a key that is not one key.
    Unknown,    ///< No tenant holds the key.
};

/// Number of values of KeyFault.
constexpr std::size_t keyFaultCount = 3;

/// Stable lower-case name of \p fault, as written to log lines and metrics.
const char *name(KeyFault fault) noexcept;

/// Checks the key of a request to \p route, a route of \p routes. A key that is not known is refused on a public route,
/// too: its caller means to act for a tenant.
///
/// \code
/// const std::optional<KeyFault> fault = keyFault(*routes, *route, metadata);
/// \endcode
/// \return nothing if the request is accepted, which all are where the configuration has no tenants.
std::optional<KeyFault> keyFault(const RouteTable &routes, const RequestRoute &route, const RequestMetadata &metadata);

} // namespace sassafrasvane

#pragma once

#include "http/message.h"

/// \file
/// Headers that concern one connection only.

namespace sassafrasvane::detail
{

/// Removes the headers that a forwarded message must not carry, those named in Connection included.
void removeConnectionHeaders(http::Headers &headers);

} // namespace sassafrasvane::detail

#pragma once

#include "http/message.h"

/// \file
/// Hop-by-hop HTTP headers.

namespace sassafrasvane::detail
{

/// Removes the hop-by-hop headers, including those named in Connection, from a message to be forwarded.
void removeConnectionHeaders(http::Headers &headers);

} // namespace sassafrasvane::detail

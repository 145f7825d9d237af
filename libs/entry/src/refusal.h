#pragma once

#include "base/time.h"
#include "http/message.h"

/// \file
/// The answer to a request that was not run.

namespace sassafrasvane::detail
{

/// 503 with the time after which the caller may come back. Only for a request that has not run and never will.
http::Response notRunResponse(Duration retryAfter);

} // namespace sassafrasvane::detail

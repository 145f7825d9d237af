#pragma once

#include "base/time.h"
#include "http/message.h"

/// \file
/// The answer to a request that was not run.

namespace sassafrasvane::detail
{

/// True for the statuses by which a caller knows that its request was not run and may be sent again.
bool isNotRunStatus(unsigned status) noexcept;

/// 503 with the time after which the caller may come back. Only for a request that has not run and never will.
http::Response notRunResponse(Duration retryAfter);

} // namespace sassafrasvane::detail

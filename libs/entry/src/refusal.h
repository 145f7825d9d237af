#pragma once

#include "base/time.h"
#include "http/message.h"

/// \file
/// Responses to requests that were not run.

namespace sassafrasvane::detail
{

/// True for the HTTP statuses that tell a caller that its request was not run and may be sent again.
bool isNotRunStatus(unsigned status) noexcept;

/// A response with \p retryAfter in its Retry-After header. Only for requests that have not run and never will.
/// \param status one for which isNotRunStatus() is true.
http::Response notRunResponse(Duration retryAfter, unsigned status = 503);

} // namespace sassafrasvane::detail

#pragma once

#include "http/message.h"

#include <string_view>

/// \file
/// Credentials in the Authorization header (RFC 9110, section 11.4).

namespace sassafrasvane::http
{

/// What a request has in its Authorization headers.
struct Credentials {
    /// True if there is an Authorization header.
    bool isPresent = false;
    /// The text behind the scheme. Empty unless there is exactly one header and it has the expected scheme. Valid as
    /// long as the headers are unchanged.
    std::string_view token;
};

/// Returns the credentials of \p scheme, which is compared without case.
///
/// \code
/// const Credentials credentials = credentialsOf(request, "Basic");
/// \endcode
Credentials credentialsOf(const Headers &headers, std::string_view scheme);

} // namespace sassafrasvane::http

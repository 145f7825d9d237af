#pragma once

#include "http/message.h"

#include <cstddef>

/// \file
/// The memory of header fields.

namespace sassafrasvane::http::detail
{

/// Memory of a header field beyond its bytes: the node of Boost.Beast and the overhead of the allocation.
constexpr std::size_t fieldOverheadBytes = 80;

/// The memory that the fields of \p headers take, trailers included, in bytes.
std::size_t memoryOf(const Headers &headers) noexcept;

} // namespace sassafrasvane::http::detail

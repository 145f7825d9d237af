#pragma once

#include <cstdint>

namespace sassafrasvane
{

/// Number of calls of operator new since the program started. The counter is not atomic, as the
/// program has one thread.
std::uint64_t allocationCount() noexcept;

} // namespace sassafrasvane

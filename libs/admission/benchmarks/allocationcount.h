#pragma once

#include <cstdint>

namespace sassafrasvane
{

/// Calls of operator new since the start of the program, which has one thread.
std::uint64_t allocationCount() noexcept;

} // namespace sassafrasvane

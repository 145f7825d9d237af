#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

/// \file
/// What the byte fuzzers share.

namespace sassafrasvane
{

/// The input as text.
inline std::string_view textOf(const std::uint8_t *data, std::size_t size) noexcept
{
    return {reinterpret_cast<const char *>(data), size};
}

/// Ends the fuzzer, so that it keeps the input, unless \p holds.
inline void check(bool holds) noexcept
{
    if (!holds) {
        std::abort();
    }
}

} // namespace sassafrasvane

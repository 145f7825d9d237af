#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

/// \file
/// Reads numbers from text.

namespace sassafrasvane
{

/// The number that \p text stands for; nothing unless it is decimal digits alone that fit.
std::optional<std::uint64_t> wholeNumber(std::string_view text) noexcept;

} // namespace sassafrasvane

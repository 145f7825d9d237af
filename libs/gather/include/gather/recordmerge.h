#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

/// \file
/// Merges the records of several parts.

namespace sassafrasvane
{

/// Size of a record, in bytes. A shorter rest of a part is no record.
constexpr std::size_t recordBytes = 16;

/// The greatest \p count records of all \p parts, greatest first, compared byte by byte. Equal records all count.
std::string mergeRecords(std::span<const std::string_view> parts, std::size_t count);

} // namespace sassafrasvane

#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

/// \file
/// Merges the record lists that the parts of a request return.

namespace sassafrasvane
{

/// Size of a record, in bytes. Trailing bytes of a part that do not fill a record are ignored.
constexpr std::size_t recordBytes = 16;

/// Returns the \p count greatest records of all \p parts in descending order, compared as unsigned bytes. Equal records
/// are all kept. The result is shorter if the parts hold fewer records.
std::string mergeRecords(std::span<const std::string_view> parts, std::size_t count);

} // namespace sassafrasvane

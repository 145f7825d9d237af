#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>

/// \file
/// Sizes and times of the SearchWorld.

namespace sassafrasvane
{

constexpr std::size_t daemonCount = 3;
constexpr std::uint32_t serverCount = 6;
constexpr std::uint64_t keySpace = 96;
constexpr std::uint32_t holdersEach = 2;
/// Time after which a domain or a searcher that is out or leaving may get no new work: the brief's few seconds.
constexpr Duration fewSeconds = std::chrono::seconds(5);
/// Time between two reads of the platform.
constexpr Duration readPeriod = std::chrono::seconds(1);
constexpr std::size_t publishedIndexes = 2;
constexpr const char *backEndName = "riders";
constexpr std::uint32_t loopback = 0x7f000001;
constexpr const char *domains[] = {"a", "b", "c"};

} // namespace sassafrasvane

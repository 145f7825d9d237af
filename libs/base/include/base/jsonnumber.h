#pragma once

#include <nlohmann/json.hpp>

#include <concepts>
#include <limits>
#include <stdexcept>

/// \file
/// Reads whole numbers from JSON values that came over the network.

namespace sassafrasvane
{

/// The whole number that \p value holds. nlohmann's own conversion takes any number, and one that does not fit
/// becomes another one.
/// \throws std::invalid_argument if \p value is anything but a whole number from 0 that fits \p Whole.
template<std::unsigned_integral Whole = std::uint64_t>
Whole wholeNumber(const nlohmann::json &value)
{
    const auto *number = value.get_ptr<const nlohmann::json::number_unsigned_t *>();
    if (number == nullptr || *number > std::numeric_limits<Whole>::max()) {
        throw std::invalid_argument("not a whole number in range");
    }
    return static_cast<Whole>(*number);
}

} // namespace sassafrasvane

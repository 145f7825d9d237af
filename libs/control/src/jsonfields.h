#pragma once

#include "base/address.h"
#include "base/error.h"

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <string>

/// \file
/// Conversions of single members of messages.

namespace sassafrasvane::detail
{

/// \return \p result's value; throws std::invalid_argument if it has none.
template<typename T>
T valueOrThrow(const Result<T> &result)
{
    if (result.has_error()) {
        throw std::invalid_argument(result.error().detail);
    }
    return result.value();
}

/// The member \p key as an address.
inline Address addressAt(const nlohmann::json &json, const char *key)
{
    return valueOrThrow(Address::parse(json.at(key).get_ref<const std::string &>()));
}

/// The enumerator, from the first one up to \p last, whose name() is the member \p key.
template<typename Enum>
Enum enumAt(const nlohmann::json &json, const char *key, Enum last)
{
    const std::string &text = json.at(key).get_ref<const std::string &>();
    for (int i = 0; i <= static_cast<int>(last); ++i) {
        if (text == name(static_cast<Enum>(i))) {
            return static_cast<Enum>(i);
        }
    }
    throw std::invalid_argument("unknown " + std::string(key) + " \"" + text + '"');
}

} // namespace sassafrasvane::detail

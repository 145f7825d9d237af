#pragma once

#include "base/jsonnumber.h"

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <string>

/// \file
/// Reads the members of JSON objects that came over the network. Error texts name members and never contain values,
/// which may be secret.

namespace sassafrasvane
{

/// Thrown when a document is malformed; what() is the reason.
struct JsonMemberError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// True if \p object has a member \p name that is not null.
inline bool hasMember(const nlohmann::json &object, const char *name)
{
    const nlohmann::json::const_iterator found = object.find(name);
    return found != object.end() && !found->is_null();
}

inline const nlohmann::json &requiredMember(const nlohmann::json &object, const char *name)
{
    const nlohmann::json::const_iterator found = object.find(name);
    if (found == object.end()) {
        throw JsonMemberError(std::string(name) + " is missing");
    }
    return *found;
}

inline std::string stringMember(const nlohmann::json &object, const char *name)
{
    const nlohmann::json &value = requiredMember(object, name);
    if (!value.is_string()) {
        throw JsonMemberError(std::string(name) + " is not a string");
    }
    return value.get<std::string>();
}

/// The member \p name, a number of at least 0.
inline double numberMember(const nlohmann::json &object, const char *name)
{
    const nlohmann::json &value = requiredMember(object, name);
    if (!value.is_number() || value.get<double>() < 0) {
        throw JsonMemberError(std::string(name) + " is not a number of at least 0");
    }
    return value.get<double>();
}

/// The member \p name, a whole number from 0 that fits \p Whole.
template<typename Whole>
Whole wholeMember(const nlohmann::json &object, const char *name)
{
    try {
        return wholeNumber<Whole>(requiredMember(object, name));
    } catch (const std::invalid_argument &error) {
        throw JsonMemberError(std::string(name) + ": " + error.what());
    }
}

/// The members of the list \p name.
inline const nlohmann::json::array_t &listMember(const nlohmann::json &object, const char *name)
{
    const nlohmann::json &value = requiredMember(object, name);
    if (!value.is_array()) {
        throw JsonMemberError(std::string(name) + " is not a list");
    }
    return value.get_ref<const nlohmann::json::array_t &>();
}

} // namespace sassafrasvane

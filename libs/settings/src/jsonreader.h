#pragma once

#include "base/address.h"
#include "base/error.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Reads typed members out of JSON and collects every fault with its JSON pointer.

namespace sassafrasvane::detail
{

/// Range of an allowed number.
struct NumberRange {
    double least = 0;
    double most = 0;
};

/// The faults of one document.
using Faults = std::vector<std::string>;

/// One JSON object that is being read.
///
/// \code
/// JsonReader reader(json, "", faults);
/// const std::string name = reader.text("name");
/// reader.rejectUnknown({"name"});
/// \endcode
class JsonReader
{
public:
    /// \param json the object; must outlive the reader.
    /// \param pointer JSON pointer of \p json.
    /// \param faults where faults are added; must outlive the reader.
    JsonReader(const nlohmann::json &json, std::string pointer, Faults &faults);

    /// A required string that is not empty.
    std::string text(const char *key);

    /// An optional string.
    std::string textOr(const char *key, std::string fallback);

    /// A required string out of \p allowed; \return its position, 0 on a fault.
    std::size_t choice(const char *key, std::initializer_list<std::string_view> allowed);

    /// An optional string out of \p allowed; \return its position, or \p fallback.
    std::size_t choiceOr(const char *key, std::initializer_list<std::string_view> allowed, std::size_t fallback);

    /// A required number in \p range.
    double number(const char *key, NumberRange range);

    /// A required whole number in \p range.
    std::uint64_t whole(const char *key, NumberRange range);

    /// An optional boolean.
    bool flagOr(const char *key, bool fallback);

    /// A required "ip:port".
    Address address(const char *key);

    /// Calls \p each with the reader of every object in the required array \p key.
    void objects(const char *key, const std::function<void(JsonReader &)> &each);

    /// The strings of array \p key; \p isRequired says whether it may be absent.
    std::vector<std::string> texts(const char *key, bool isRequired);

    /// The whole numbers of the required array \p key.
    std::vector<std::uint64_t> wholes(const char *key, NumberRange range);

    /// Adds a fault for every member that is not in \p known, with the nearest known name.
    void rejectUnknown(std::initializer_list<std::string_view> known);

    /// Adds a fault at \p key.
    void fault(const char *key, const std::string &what);

private:
    const nlohmann::json *find(const char *key, bool isRequired);
    std::string pointerOf(std::string_view key) const;

    const nlohmann::json &json_;
    std::string pointer_;
    Faults &faults_;
};

/// Parses \p text as one JSON object. \return null and a fault if it is not one.
nlohmann::json parseObject(std::string_view text, Faults &faults);

/// Errc::InvalidConfiguration with all of \p faults.
Error faultsError(const Faults &faults);

} // namespace sassafrasvane::detail

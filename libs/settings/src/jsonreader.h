#pragma once

#include "base/address.h"
#include "base/error.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <initializer_list>
#include <span>
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
/// reader.rejectUnknown(knownMembers(DocumentKind::VmList, "/vms/*"));
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

    /// A required string of at least \p leastLength characters that is never shown in a fault.
    std::string secret(const char *key, std::size_t leastLength);

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

    /// An optional number in \p range.
    double numberOr(const char *key, NumberRange range, double fallback);

    /// An optional boolean.
    bool flagOr(const char *key, bool fallback);

    /// A required "ip:port".
    Address address(const char *key);

    /// Calls \p each with the reader of the required object \p key.
    void object(const char *key, const std::function<void(JsonReader &)> &each);

    /// Calls \p each with the reader of every object in the required array \p key.
    void objects(const char *key, const std::function<void(JsonReader &)> &each);

    /// The strings of the required array \p key: at least one, each as for secret().
    std::vector<std::string> secrets(const char *key, std::size_t leastLength);

    /// The strings, each but once, of array \p key; \p isRequired says whether it may be absent.
    std::vector<std::string> texts(const char *key, bool isRequired);

    /// The whole numbers of the required array \p key.
    std::vector<std::uint64_t> wholes(const char *key, NumberRange range);

    /// Adds a fault for every member that is not in \p known, with the nearest known name.
    void rejectUnknown(std::span<const std::string_view> known);

    /// Adds a fault at \p key.
    void fault(const char *key, const std::string &what);

private:
    std::string checkedSecret(const char *key, const nlohmann::json &value, std::size_t leastLength);
    const nlohmann::json *find(const char *key, bool isRequired);
    std::string pointerOf(std::string_view key) const;

    const nlohmann::json &json_;
    std::string pointer_;
    Faults &faults_;
};

/// Largest document that is read: the platform's limit of a value, in bytes.
inline constexpr std::size_t maxDocumentBytes = 1'048'576;

/// Faults that an error names; beyond them no nearest names are looked up.
inline constexpr std::size_t maxShownFaults = 100;

/// Parses \p text as one JSON object; comments are allowed, members that appear twice in an object are faults.
/// \return an empty object and a fault if it is not JSON.
nlohmann::json parseObject(std::string_view text, Faults &faults);

/// \p name as a token of a JSON pointer (RFC 6901), cut if it is very long.
std::string escapedToken(std::string_view name);

/// The one of \p known with the least edit distance to \p name; empty if there is none.
std::string_view nearest(std::string_view name, std::span<const std::string_view> known);

/// Errc::InvalidConfiguration at \p step with \p faults, one a line; of very many, only the first ones and their
/// number.
Error faultsError(const Faults &faults, Step step);

} // namespace sassafrasvane::detail

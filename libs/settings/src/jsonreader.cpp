#include "jsonreader.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

namespace sassafrasvane::detail
{

namespace
{

constexpr std::size_t maxShownValue = 60;
constexpr std::size_t maxTextLength = 256;

std::string shown(const nlohmann::json &value)
{
    std::string text = value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    if (text.size() > maxShownValue) {
        text.resize(maxShownValue);
        text += "...";
    }
    return text;
}

std::string listed(std::initializer_list<std::string_view> names)
{
    std::string text;
    for (const std::string_view name : names) {
        text += (text.empty() ? "\"" : ", \"") + std::string(name) + '"';
    }
    return text;
}

std::string numberText(double value)
{
    return nlohmann::json(value).dump();
}

// Levenshtein distance, one row at a time.
std::size_t editDistance(std::string_view a, std::string_view b)
{
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 0; i < a.size(); ++i) {
        std::size_t diagonal = row[0];
        row[0] = i + 1;
        for (std::size_t j = 0; j < b.size(); ++j) {
            const std::size_t above = row[j + 1];
            const std::size_t replaced = diagonal + (a[i] == b[j] ? 0 : 1);
            row[j + 1] = std::min({above + 1, row[j] + 1, replaced});
            diagonal = above;
        }
    }
    return row.back();
}

} // namespace

// RFC 6901: "~" and "/" within a name are written "~0" and "~1".
std::string escapedToken(std::string_view name)
{
    std::string token;
    for (const char c : name.substr(0, maxShownValue)) {
        token += c == '~' ? "~0" : c == '/' ? "~1" : std::string(1, c);
    }
    return token;
}

std::string_view nearest(std::string_view name, std::span<const std::string_view> known)
{
    const std::string_view compared = name.substr(0, maxShownValue);
    const auto found = std::min_element(known.begin(), known.end(), [compared](std::string_view a, std::string_view b) {
        return editDistance(compared, a) < editDistance(compared, b);
    });
    return found == known.end() ? std::string_view() : *found;
}

JsonReader::JsonReader(const nlohmann::json &json, std::string pointer, Faults &faults)
    : json_(json), pointer_(std::move(pointer)), faults_(faults)
{
    if (!json_.is_object()) {
        faults_.push_back((pointer_.empty() ? "/" : pointer_) + ": " + shown(json_) + " is not an object");
    }
}

std::string JsonReader::pointerOf(std::string_view key) const
{
    return pointer_ + '/' + escapedToken(key);
}

void JsonReader::fault(const char *key, const std::string &what)
{
    faults_.push_back(pointerOf(key) + ": " + what);
}

const nlohmann::json *JsonReader::find(const char *key, bool isRequired)
{
    if (!json_.is_object()) {
        return nullptr;
    }
    const auto found = json_.find(key);
    if (found == json_.end()) {
        if (isRequired) {
            fault(key, "is missing");
        }
        return nullptr;
    }
    return &*found;
}

std::string JsonReader::text(const char *key)
{
    const nlohmann::json *value = find(key, true);
    if (value == nullptr) {
        return {};
    }
    const std::string *text = value->get_ptr<const std::string *>();
    if (text == nullptr || text->empty() || text->size() > maxTextLength) {
        fault(key, shown(*value) + " is not a string of 1 to " + std::to_string(maxTextLength) + " characters");
        return {};
    }
    return value->get<std::string>();
}

std::string JsonReader::secret(const char *key, std::size_t leastLength)
{
    const nlohmann::json *value = find(key, true);
    return value == nullptr ? std::string() : checkedSecret(key, *value, leastLength);
}

std::string JsonReader::checkedSecret(const char *key, const nlohmann::json &value, std::size_t leastLength)
{
    const std::string *text = value.get_ptr<const std::string *>();
    if (text == nullptr || text->size() > maxTextLength) {
        fault(key, "a key is not a string of at most " + std::to_string(maxTextLength) + " characters");
        return {};
    }
    if (text->size() < leastLength) {
        fault(key, "a key has fewer than " + std::to_string(leastLength) + " characters");
    }
    return *text;
}

std::string JsonReader::textOr(const char *key, std::string fallback)
{
    const nlohmann::json *value = find(key, false);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_string()) {
        fault(key, shown(*value) + " is not a string");
        return fallback;
    }
    return value->get<std::string>();
}

std::size_t JsonReader::choice(const char *key, std::initializer_list<std::string_view> allowed)
{
    return find(key, true) == nullptr ? 0 : choiceOr(key, allowed, 0);
}

std::size_t JsonReader::choiceOr(const char *key, std::initializer_list<std::string_view> allowed, std::size_t fallback)
{
    const nlohmann::json *value = find(key, false);
    if (value == nullptr) {
        return fallback;
    }
    if (value->is_string()) {
        const auto found = std::find(allowed.begin(), allowed.end(), value->get_ref<const std::string &>());
        if (found != allowed.end()) {
            return static_cast<std::size_t>(found - allowed.begin());
        }
    }
    fault(key, shown(*value) + " is none of " + listed(allowed));
    return fallback;
}

double JsonReader::number(const char *key, NumberRange range)
{
    const nlohmann::json *value = find(key, true);
    if (value == nullptr) {
        return range.least;
    }
    if (!value->is_number() || value->get<double>() < range.least || value->get<double>() > range.most) {
        fault(key,
              shown(*value) + " is not a number from " + numberText(range.least) + " to " + numberText(range.most));
        return range.least;
    }
    return value->get<double>();
}

double JsonReader::numberOr(const char *key, NumberRange range, double fallback)
{
    return find(key, false) == nullptr ? fallback : number(key, range);
}

std::uint64_t JsonReader::whole(const char *key, NumberRange range)
{
    const double value = number(key, range);
    if (value != std::floor(value)) {
        fault(key, numberText(value) + " is not a whole number");
    }
    return static_cast<std::uint64_t>(value);
}

bool JsonReader::flagOr(const char *key, bool fallback)
{
    const nlohmann::json *value = find(key, false);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_boolean()) {
        fault(key, shown(*value) + " is neither true nor false");
        return fallback;
    }
    return value->get<bool>();
}

Address JsonReader::address(const char *key)
{
    const std::string value = text(key);
    if (value.empty()) {
        return {};
    }
    const Result<Address> parsed = Address::parse(value);
    if (parsed.has_error()) {
        fault(key, parsed.error().detail);
        return {};
    }
    return parsed.value();
}

void JsonReader::object(const char *key, const std::function<void(JsonReader &)> &each)
{
    const nlohmann::json *value = find(key, true);
    if (value == nullptr) {
        return;
    }
    if (!value->is_object()) {
        fault(key, shown(*value) + " is not an object");
        return;
    }
    JsonReader reader(*value, pointerOf(key), faults_);
    each(reader);
}

void JsonReader::objects(const char *key, const std::function<void(JsonReader &)> &each)
{
    const nlohmann::json *value = find(key, true);
    if (value == nullptr) {
        return;
    }
    if (!value->is_array()) {
        fault(key, shown(*value) + " is not an array");
        return;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
        JsonReader reader((*value)[i], pointerOf(key) + '/' + std::to_string(i), faults_);
        each(reader);
    }
}

std::vector<std::string> JsonReader::texts(const char *key, bool isRequired)
{
    std::vector<std::string> texts;
    std::set<std::string> seen;
    const nlohmann::json *value = find(key, isRequired);
    if (value == nullptr) {
        return texts;
    }
    if (!value->is_array()) {
        fault(key, shown(*value) + " is not an array of strings");
        return texts;
    }
    for (const nlohmann::json &item : *value) {
        if (!item.is_string()) {
            fault(key, shown(item) + " is not a string");
        } else if (!seen.insert(item.get<std::string>()).second) {
            fault(key, shown(item) + " appears twice");
        } else {
            texts.push_back(item.get<std::string>());
        }
    }
    return texts;
}

std::vector<std::string> JsonReader::secrets(const char *key, std::size_t leastLength)
{
    std::vector<std::string> keys;
    const nlohmann::json *value = find(key, true);
    if (value == nullptr) {
        return keys;
    }
    if (!value->is_array() || value->empty()) {
        fault(key, "is not an array of at least one key");
        return keys;
    }
    for (const nlohmann::json &item : *value) {
        keys.push_back(checkedSecret(key, item, leastLength));
    }
    return keys;
}

std::vector<std::uint64_t> JsonReader::wholes(const char *key, NumberRange range)
{
    std::vector<std::uint64_t> numbers;
    const nlohmann::json *value = find(key, true);
    if (value == nullptr) {
        return numbers;
    }
    if (!value->is_array()) {
        fault(key, shown(*value) + " is not an array of whole numbers");
        return numbers;
    }
    for (const nlohmann::json &item : *value) {
        if (item.is_number_unsigned() && item.get<double>() >= range.least && item.get<double>() <= range.most) {
            numbers.push_back(item.get<std::uint64_t>());
        } else {
            fault(key,
                  shown(item) + " is not a whole number from " + numberText(range.least) + " to "
                      + numberText(range.most));
        }
    }
    return numbers;
}

void JsonReader::rejectUnknown(std::span<const std::string_view> known)
{
    if (!json_.is_object()) {
        return;
    }
    for (const auto &[key, value] : json_.items()) {
        if (std::find(known.begin(), known.end(), key) == known.end()) {
            const bool isShown = faults_.size() < maxShownFaults;
            const std::string suggestion = isShown ? std::string(nearest(key, known)) : std::string();
            fault(key.c_str(), "is unknown; the nearest known name is \"" + suggestion + '"');
        }
    }
}

} // namespace sassafrasvane::detail

#include "jsonreader.h"

#include <algorithm>
#include <set>

namespace sassafrasvane::detail
{

namespace
{

/// Objects and arrays within each other; the deepest known document has 8.
constexpr std::size_t maxDepth = 32;

/// Watches a document while it is parsed, as the parser itself keeps the last of two equal members without a word.
class DocumentWatch
{
public:
    explicit DocumentWatch(Faults &faults) noexcept : faults_(faults) { }

    void onEvent(nlohmann::json::parse_event_t event, const nlohmann::json &parsed)
    {
        using Event = nlohmann::json::parse_event_t;
        switch (event) {
        case Event::key:
            onKey(parsed.get<std::string>());
            break;
        case Event::value:
            countElement();
            break;
        case Event::object_start:
        case Event::array_start:
            countElement();
            levels_.push_back({event == Event::array_start, 0, {}, {}});
            isTooDeep_ = isTooDeep_ || levels_.size() > maxDepth;
            break;
        case Event::object_end:
        case Event::array_end:
            levels_.pop_back();
            break;
        }
    }

    bool isTooDeep() const noexcept { return isTooDeep_; }

private:
    /// An object or array that is still open.
    struct Level {
        bool isArray = false;
        std::size_t elements = 0;
        std::string key;
        std::set<std::string> keys;
    };

    void countElement()
    {
        if (!levels_.empty() && levels_.back().isArray) {
            ++levels_.back().elements;
        }
    }

    void onKey(const std::string &key)
    {
        Level &level = levels_.back();
        level.key = key;
        if (!level.keys.insert(key).second) {
            faults_.push_back(pointer() + ": appears twice");
        }
    }

    std::string pointer() const
    {
        std::string text;
        for (const Level &level : levels_) {
            text += '/' + (level.isArray ? std::to_string(level.elements - 1) : escapedToken(level.key));
        }
        return text;
    }

    Faults &faults_;
    std::vector<Level> levels_;
    bool isTooDeep_ = false;
};

} // namespace

nlohmann::json parseObject(std::string_view text, Faults &faults)
{
    if (text.size() > maxDocumentBytes) {
        faults.emplace_back("/: has " + std::to_string(text.size()) + " bytes; at most "
                            + std::to_string(maxDocumentBytes) + " are allowed");
        return nlohmann::json::object();
    }
    DocumentWatch watch(faults);
    const auto onEvent = [&watch](int /*depth*/, nlohmann::json::parse_event_t event, nlohmann::json &parsed) {
        watch.onEvent(event, parsed);
        return true;
    };
    try {
        nlohmann::json document = nlohmann::json::parse(text, onEvent, true, true);
        if (!watch.isTooDeep()) {
            return document;
        }
        // What prints faults walks the document by recursion.
        faults.emplace_back("/: is nested deeper than " + std::to_string(maxDepth) + " levels");
        return nlohmann::json::object();
    } catch (const nlohmann::json::exception &exception) {
        faults.emplace_back(std::string("not JSON: ") + exception.what());
        return nlohmann::json::object();
    }
}

Error faultsError(const Faults &faults, Step step)
{
    std::string text;
    const std::size_t shown = std::min(faults.size(), maxShownFaults);
    for (std::size_t i = 0; i < shown; ++i) {
        text += (text.empty() ? "" : "\n") + faults[i];
    }
    if (shown < faults.size()) {
        text += "\nand " + std::to_string(faults.size() - shown) + " more faults";
    }
    return Error{Errc::InvalidConfiguration, step, {}, text};
}

} // namespace sassafrasvane::detail

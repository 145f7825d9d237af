#include "publishedvalue.h"

#include <algorithm>

namespace sassafrasvane::detail
{

namespace
{

/// Maximum number of predecessors kept. It exceeds the changes of one hour at 2,300 changes a day (about 96), so that
/// daemons need no full texts after a network partition of that length.
constexpr std::size_t maxPredecessors = 256;

/// Maximum total size of the differences kept, in bytes.
constexpr std::size_t maxPredecessorBytes = std::size_t{4} << 20;

/// Maximum number of bodies cached for requests with the same base.
constexpr std::size_t maxCachedBodies = 8;

/// Maximum number of refused versions remembered.
constexpr std::size_t maxRefused = 32;

} // namespace

void PublishedValue::accept(ConfigVersion version, std::string text)
{
    std::shared_ptr<const std::string> next = std::make_shared<const std::string>(std::move(text));
    if (text_) {
        predecessors_.push_back({version_, digest_, makeDelta(*next, *text_)});
        predecessorBytes_ += predecessors_.back().reverseDelta.size();
    }
    while (predecessors_.size() > maxPredecessors || predecessorBytes_ > maxPredecessorBytes) {
        predecessorBytes_ -= predecessors_.front().reverseDelta.size();
        predecessors_.pop_front();
    }
    version_ = version;
    text_ = std::move(next);
    digest_ = textDigest(*text_);
    cachedBodies_.clear();
}

void PublishedValue::refuse(ConfigVersion version)
{
    if (isRefused(version)) {
        return;
    }
    if (refused_.size() >= maxRefused) {
        refused_.erase(std::min_element(refused_.begin(), refused_.end()));
    }
    refused_.push_back(version);
}

bool PublishedValue::isRefused(ConfigVersion version) const noexcept
{
    return std::find(refused_.begin(), refused_.end(), version) != refused_.end();
}

ConfigVersion PublishedValue::highestSeen() const noexcept
{
    const auto highest = std::max_element(refused_.begin(), refused_.end());
    return highest == refused_.end() ? version_ : std::max(version_, *highest);
}

ValueBody PublishedValue::bodyFor(ConfigVersion base, const TextDigest &digest)
{
    if (const auto prepared = cachedBodies_.find(base); prepared != cachedBodies_.end()) {
        return prepared->second;
    }
    ValueBody whole{ConfigVersion{0}, text_};
    const auto found
        = std::find_if(predecessors_.begin(), predecessors_.end(), [base, &digest](const Predecessor &predecessor) {
              return predecessor.version == base && predecessor.digest == digest;
          });
    if (found == predecessors_.end()) {
        return whole;
    }
    std::string text = *text_;
    for (auto step = predecessors_.rbegin(); step != std::make_reverse_iterator(found); ++step) {
        std::optional<std::string> former = applyDelta(text, step->reverseDelta);
        if (!former) {
            return whole;
        }
        text = std::move(*former);
    }
    ValueBody body{base, std::make_shared<const std::string>(makeDelta(text, *text_))};
    if (body.bytes->size() >= text_->size()) {
        body = whole;
    }
    if (cachedBodies_.size() >= maxCachedBodies) {
        cachedBodies_.erase(cachedBodies_.begin());
    }
    cachedBodies_.emplace(base, body);
    return body;
}

} // namespace sassafrasvane::detail

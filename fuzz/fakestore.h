#pragma once

#include "catalog/storefollower.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// \file
/// A store that is listed and watched, and that goes back to older copies of itself.

namespace sassafrasvane
{

/// Keeps items with their history. A copy of the object is a copy of the store.
class FakeStore
{
public:
    /// What a call gets: a page, changes, or the status that the watched revision is not available.
    using Answer = std::variant<StorePage, StoreChanges, StoreFailure>;

    /// Items on one page of a listing.
    static constexpr std::size_t pageSize() noexcept { return 2; }

    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);

    /// Continues from \p copy in a new epoch.
    void goBack(const FakeStore &copy);

    /// Forgets all changes, so that watches get nothing but StoreFailure::HistoryLost.
    void forgetHistory() { history_.clear(); }

    Answer answer(const StoreCall &call) const;

    /// True if a watch is answered without waiting.
    bool hasNews(const StoreCall &call) const;

    StorePosition position() const noexcept { return {epoch_, revision_}; }

    const std::map<std::string, StoreItem> &items() const noexcept { return items_; }

private:
    StorePage page(const StoreCall &call) const;
    StoreItem stamped(StoreItem item) const;

    std::map<std::string, StoreItem> items_;
    std::vector<StoreItem> history_;
    std::uint64_t epoch_ = 0;
    std::uint64_t revision_ = 10;
};

} // namespace sassafrasvane

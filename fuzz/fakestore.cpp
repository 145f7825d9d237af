#include "fakestore.h"

namespace sassafrasvane
{

void FakeStore::put(const std::string &key, const std::string &value)
{
    ++revision_;
    items_[key] = {key, value, {0, revision_}, false};
    history_.push_back(items_[key]);
}

void FakeStore::remove(const std::string &key)
{
    ++revision_;
    items_.erase(key);
    history_.push_back({key, "", {0, revision_}, true});
}

void FakeStore::goBack(const FakeStore &copy)
{
    const std::uint64_t epoch = epoch_ + 1;
    *this = copy;
    epoch_ = epoch;
}

// Items keep their revisions in a new epoch; the answer tells the epoch.
StoreItem FakeStore::stamped(StoreItem item) const
{
    item.position.epoch = epoch_;
    return item;
}

FakeStore::Answer FakeStore::answer(const StoreCall &call) const
{
    if (call.kind == StoreCall::Kind::List) {
        return page(call);
    }
    const std::uint64_t oldest = history_.empty() ? revision_ + 1 : history_.front().position.revision;
    if (call.afterRevision > revision_ || (call.afterRevision + 1 < oldest && call.afterRevision < revision_)) {
        return StoreFailure::HistoryLost;
    }
    StoreChanges changes;
    changes.asOf = position();
    changes.isEpochStated = true;
    for (const StoreItem &item : history_) {
        if (item.position.revision > call.afterRevision) {
            changes.items.push_back(stamped(item));
        }
    }
    return changes;
}

StorePage FakeStore::page(const StoreCall &call) const
{
    StorePage page;
    page.asOf = position();
    page.isEpochStated = true;
    for (const auto &[key, item] : items_) {
        if (!key.starts_with(call.prefix) || key <= call.afterKey) {
            continue;
        }
        if (page.items.size() == pageSize()) {
            page.hasMore = true;
            break;
        }
        page.items.push_back(stamped(item));
    }
    return page;
}

bool FakeStore::hasNews(const StoreCall &call) const
{
    return call.kind == StoreCall::Kind::List || call.afterRevision != revision_;
}

} // namespace sassafrasvane

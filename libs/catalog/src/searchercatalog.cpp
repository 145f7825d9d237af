#include "catalog/searchercatalog.h"

#include <array>
#include <tuple>

namespace sassafrasvane
{

const char *name(SearcherChange change) noexcept
{
    constexpr std::array<const char *, 4> names{"added", "updated", "restarted", "removed"};
    return names.at(static_cast<std::size_t>(change));
}

bool SearcherCatalog::put(TimePoint now, const SearcherEntry &entry, Notices &notices)
{
    const auto known = entries_.find(entry.instance);
    if (known == entries_.end()) {
        const auto before = forgotten_.find(entry.instance);
        if (before != forgotten_.end() && now - before->second.removedAt < memory()
            && std::tie(entry.startedAtMs, entry.sequence)
                < std::tie(before->second.startedAtMs, before->second.sequence)) {
            return false;
        }
        forgotten_.erase(entry.instance);
        entries_.emplace(entry.instance, entry);
        notices.push_back({SearcherChange::Added, entry});
        return true;
    }
    SearcherEntry &current = known->second;
    if (std::tie(entry.startedAtMs, entry.sequence) < std::tie(current.startedAtMs, current.sequence)) {
        return false;
    }
    lapsed_.erase(entry.instance);
    const bool isNewLife = entry.startedAtMs != current.startedAtMs || entry.address != current.address;
    current = entry;
    notices.push_back({isNewLife ? SearcherChange::Restarted : SearcherChange::Updated, entry});
    return true;
}

void SearcherCatalog::remove(TimePoint now, std::string_view instance, Notices &notices)
{
    const auto known = entries_.find(instance);
    if (known == entries_.end()) {
        return;
    }
    if (trustAgainAt_ && now < *trustAgainAt_ && !known->second.isLeaving) {
        lapsed_.insert(known->first);
        return;
    }
    drop(now, std::string(instance), notices);
}

void SearcherCatalog::drop(TimePoint now, const std::string &instance, Notices &notices)
{
    const auto known = entries_.find(instance);
    if (known == entries_.end()) {
        return;
    }
    forgotten_[instance] = {known->second.startedAtMs, known->second.sequence, now};
    notices.push_back({SearcherChange::Removed, known->second});
    entries_.erase(known);
}

void SearcherCatalog::keepOnly(TimePoint now, const std::set<std::string> &present, Notices &notices)
{
    std::vector<std::string> missing;
    for (const auto &[instance, entry] : entries_) {
        if (!present.contains(instance)) {
            missing.push_back(instance);
        }
    }
    for (const std::string &instance : missing) {
        remove(now, instance, notices);
    }
}

void SearcherCatalog::onStoreReturned(TimePoint now) noexcept
{
    trustAgainAt_ = now + returnTime();
}

void SearcherCatalog::onTimer(TimePoint now, Notices &notices)
{
    if (trustAgainAt_ && now >= *trustAgainAt_) {
        trustAgainAt_.reset();
        for (const std::string &instance : lapsed_) {
            drop(now, instance, notices);
        }
        lapsed_.clear();
    }
    std::erase_if(forgotten_, [now](const auto &entry) { return now - entry.second.removedAt >= memory(); });
}

std::optional<TimePoint> SearcherCatalog::wakeAt() const noexcept
{
    return trustAgainAt_;
}

const SearcherEntry *SearcherCatalog::find(std::string_view instance) const
{
    const auto known = entries_.find(instance);
    return known == entries_.end() ? nullptr : &known->second;
}

} // namespace sassafrasvane

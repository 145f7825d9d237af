#include "catalog/searchercatalog.h"

#include <array>
#include <compare>
#include <tuple>

namespace sassafrasvane
{

const char *name(SearcherChange change) noexcept
{
    constexpr std::array<const char *, 4> names{"added", "updated", "restarted", "removed"};
    return names.at(static_cast<std::size_t>(change));
}

bool SearcherCatalog::isBeforeRemoval(TimePoint now, const SearcherEntry &entry, std::uint64_t epoch) const
{
    const std::unordered_map<std::string, Tombstone>::const_iterator found = tombstones_.find(entry.instance);
    if (found == tombstones_.end() || now - found->second.removedAt >= tombstoneLifetime()) {
        return false;
    }
    const Tombstone &tombstone = found->second;
    const std::strong_ordering order
        = std::tie(entry.startedAtMs, entry.sequence) <=> std::tie(tombstone.startedAtMs, tombstone.sequence);
    return epoch > tombstone.epoch ? order <= 0 : order < 0;
}

bool SearcherCatalog::put(TimePoint now, const SearcherEntry &entry, Notices &notices, std::uint64_t epoch)
{
    const auto known = entries_.find(entry.instance);
    if (known == entries_.end()) {
        if (isBeforeRemoval(now, entry, epoch)) {
            return false;
        }
        tombstones_.erase(entry.instance);
        entries_.emplace(entry.instance, entry);
        notices.push_back({SearcherChange::Added, entry});
        return true;
    }
    SearcherEntry &current = known->second;
    if (std::tie(entry.startedAtMs, entry.sequence) < std::tie(current.startedAtMs, current.sequence)) {
        return false;
    }
    deferredRemovals_.erase(entry.instance);
    const bool isNewIncarnation = entry.startedAtMs != current.startedAtMs || entry.address != current.address;
    current = entry;
    notices.push_back({isNewIncarnation ? SearcherChange::Restarted : SearcherChange::Updated, entry});
    return true;
}

void SearcherCatalog::remove(TimePoint now, std::string_view instance, Notices &notices, std::uint64_t epoch)
{
    const auto known = entries_.find(instance);
    if (known == entries_.end()) {
        return;
    }
    if (deferRemovalsUntil_ && now < *deferRemovalsUntil_ && !known->second.isLeaving) {
        deferredRemovals_.insert_or_assign(known->first, epoch);
        return;
    }
    removeNow(now, std::string(instance), epoch, notices);
}

void SearcherCatalog::removeNow(TimePoint now, const std::string &instance, std::uint64_t epoch, Notices &notices)
{
    const auto known = entries_.find(instance);
    if (known == entries_.end()) {
        return;
    }
    tombstones_[instance] = {known->second.startedAtMs, known->second.sequence, epoch, now};
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
    deferRemovalsUntil_ = now + reregistrationTime();
}

void SearcherCatalog::onTimer(TimePoint now, Notices &notices)
{
    if (deferRemovalsUntil_ && now >= *deferRemovalsUntil_) {
        deferRemovalsUntil_.reset();
        for (const auto &[instance, epoch] : deferredRemovals_) {
            removeNow(now, instance, epoch, notices);
        }
        deferredRemovals_.clear();
    }
    std::erase_if(tombstones_,
                  [now](const auto &entry) { return now - entry.second.removedAt >= tombstoneLifetime(); });
}

std::optional<TimePoint> SearcherCatalog::wakeAt() const noexcept
{
    return deferRemovalsUntil_;
}

const SearcherEntry *SearcherCatalog::find(std::string_view instance) const
{
    const auto known = entries_.find(instance);
    return known == entries_.end() ? nullptr : &known->second;
}

} // namespace sassafrasvane

#include "entry/publishedstate.h"

#include <algorithm>

namespace sassafrasvane
{

PublishedState::PublishedState(const EntryProtocol &protocol, SearcherPool &pool, EventLog &log)
    : protocol_(protocol), pool_(pool), log_(log)
{
}

void PublishedState::apply(TimePoint now, const std::vector<StoreItem> &items)
{
    for (const StoreItem &item : items) {
        try {
            applyItem(now, item);
        } catch (const std::exception &exception) {
            // The others must not be lost with it: they are not reported again.
            log_.line(EventRank::Important, "item_failed").text("key", item.key).count("revision", item.revision);
            log_.unexpectedError(exception);
        }
    }
    updateDomainsOut();
}

bool PublishedState::isOutdated(const StoreItem &item) const
{
    const std::unordered_map<std::string, StoreItem>::const_iterator known = items_.find(item.key);
    if (known != items_.end()) {
        return known->second.revision >= item.revision;
    }
    // All changes up to completeRevision_ are applied, so an unknown item of such a revision has been removed since.
    // Not every removal is kept.
    const std::unordered_map<std::string, Removal>::const_iterator removed = removals_.find(item.key);
    return item.revision <= completeRevision_
        || (removed != removals_.end() && removed->second.revision >= item.revision);
}

void PublishedState::applyItem(TimePoint now, const StoreItem &item)
{
    if (isOutdated(item)) {
        return;
    }
    revision_ = std::max(revision_, item.revision);
    if (item.isRemoved) {
        remove(now, item);
        return;
    }
    removals_.erase(item.key);
    items_[item.key] = item;
    PublishedItem published = protocol_.readItem(item);
    SearcherCatalog::Notices notices;
    if (RoutingConfiguration *configuration = std::get_if<RoutingConfiguration>(&published)) {
        applyConfiguration(std::move(*configuration));
    } else if (const SearcherEntry *entry = std::get_if<SearcherEntry>(&published)) {
        if (!catalog_.put(now, *entry, notices)) {
            log_.line(EventRank::Important, "searcher_ignored")
                .text("searcher", entry->instance)
                .text("reason", "older than the known registration")
                .count("sequence", entry->sequence)
                .count("revision", item.revision);
        }
    } else if (const DomainOut *domain = std::get_if<DomainOut>(&published)) {
        domainsOut_[item.key] = domain->failureDomain;
    } else if (const UnreadableSearcher *unreadable = std::get_if<UnreadableSearcher>(&published)) {
        log_.line(EventRank::Important, "searcher_unreadable")
            .text("searcher", unreadable->instance)
            .text("reason", unreadable->reason)
            .count("revision", item.revision);
        catalog_.remove(now, unreadable->instance, notices);
    } else if (const UnreadableConfiguration *bad = std::get_if<UnreadableConfiguration>(&published)) {
        log_.line(EventRank::Important, "configuration_refused")
            .text("reason", bad->reason)
            .count("revision", item.revision)
            .count("in_force", routes_ ? routes_->version() : 0);
    }
    applyNotices(notices, now);
}

void PublishedState::remove(TimePoint now, const StoreItem &item)
{
    removals_[item.key] = {item.revision, now};
    const std::unordered_map<std::string, StoreItem>::iterator known = items_.find(item.key);
    if (known == items_.end()) {
        return;
    }
    const PublishedItem before = protocol_.readItem(known->second);
    items_.erase(known);
    domainsOut_.erase(item.key);
    SearcherCatalog::Notices notices;
    if (const SearcherEntry *entry = std::get_if<SearcherEntry>(&before)) {
        catalog_.remove(now, entry->instance, notices);
    }
    applyNotices(notices, now);
}

void PublishedState::applyConfiguration(RoutingConfiguration configuration)
{
    const std::uint64_t before = routes_ ? routes_->version() : 0;
    if (configuration.version <= before) {
        if (configuration.version < before) {
            log_.line(EventRank::Important, "configuration_ignored")
                .count("version", configuration.version)
                .count("in_force", before);
        }
        return;
    }
    routes_ = RouteTable::create(std::move(configuration));
    pool_.setBackendLimits(routes_->configuration().backends);
    log_.line(EventRank::Important, "configuration_in_force")
        .count("version", routes_->version())
        .count("before", before)
        .count("routes", routes_->configuration().routes.size());
    if (onConfiguration_) {
        onConfiguration_(*routes_);
    }
}

void PublishedState::applyNotices(const SearcherCatalog::Notices &notices, TimePoint now)
{
    for (const SearcherNotice &notice : notices) {
        if (notice.change == SearcherChange::Removed) {
            pool_.remove(notice.entry.instance);
            if (onSearcherRemoved_) {
                onSearcherRemoved_(notice.entry.instance);
            }
        } else {
            pool_.put(now, notice.entry);
        }
        log_.line(EventRank::Important, "searcher_changed")
            .text("searcher", notice.entry.instance)
            .text("change", name(notice.change))
            .text("backend", notice.entry.backend)
            .text("peer", notice.entry.address.toString())
            .flag("leaving", notice.entry.isLeaving)
            .milliseconds("cold_left_ms", notice.entry.remainingColdTime)
            .count("sequence", notice.entry.sequence);
    }
}

void PublishedState::updateDomainsOut()
{
    std::set<std::string> domains;
    for (const auto &[key, domain] : domainsOut_) {
        domains.insert(domain);
    }
    if (pool_.setExcludedDomains(domains)) {
        EventLine line = log_.line(EventRank::Important, "failure_domains_out");
        line.count("domains", domains.size());
        for (const std::string &domain : domains) {
            line.text("domain", domain);
        }
    }
}

void PublishedState::applySnapshot(TimePoint now, const std::vector<StoreItem> &items, std::uint64_t revision)
{
    log_.line(EventRank::Important, "snapshot_received")
        .count("revision", revision)
        .count("complete", completeRevision_)
        .count("items", items.size())
        .count("items_before", items_.size());
    std::set<std::string> listedKeys;
    for (const StoreItem &item : items) {
        listedKeys.insert(item.key);
    }
    apply(now, items);
    onListComplete(now, listedKeys, revision);
}

void PublishedState::onListComplete(TimePoint now, const std::set<std::string> &listedKeys, std::uint64_t revision)
{
    isComplete_ = true;
    std::vector<StoreItem> missing = itemsMissingFrom(listedKeys, revision);
    for (StoreItem &item : missing) {
        item.revision = revision;
        remove(now, item);
    }
    updateDomainsOut();
    // What was removed between the applied changes and the list is known only of the items that this process had.
    if (revision > completeRevision_) {
        historyBegin_ = std::max(historyBegin_, revision);
    }
    setCompleteRevision(revision);
}

// A list says nothing of items that have changed after its revision, and one that is older than the applied changes
// says nothing new.
std::vector<StoreItem> PublishedState::itemsMissingFrom(const std::set<std::string> &listedKeys,
                                                        std::uint64_t revision) const
{
    std::vector<StoreItem> missing;
    if (revision < completeRevision_) {
        return missing;
    }
    for (const auto &[key, item] : items_) {
        if (item.revision <= revision && !listedKeys.contains(key)) {
            missing.push_back(item);
        }
    }
    return missing;
}

void PublishedState::onStoreReturned(TimePoint now)
{
    catalog_.onStoreReturned(now);
}

void PublishedState::onTick(TimePoint now)
{
    SearcherCatalog::Notices notices;
    catalog_.onTimer(now, notices);
    applyNotices(notices, now);
    std::erase_if(removals_, [this, now](const auto &entry) {
        const bool isOld = now - entry.second.removedAt >= removalRetention();
        historyBegin_ = isOld ? std::max(historyBegin_, entry.second.revision) : historyBegin_;
        return isOld;
    });
}

std::vector<StoreItem> PublishedState::changesAfter(std::uint64_t revision) const
{
    std::vector<StoreItem> changes;
    for (const auto &[key, item] : items_) {
        if (item.revision > revision) {
            changes.push_back(item);
        }
    }
    for (const auto &[key, removal] : removals_) {
        if (removal.revision > revision) {
            changes.push_back({key, {}, removal.revision, true});
        }
    }
    std::sort(changes.begin(), changes.end(), [](const StoreItem &left, const StoreItem &right) {
        return left.revision < right.revision;
    });
    return changes;
}

std::vector<StoreItem> PublishedState::items() const
{
    std::vector<StoreItem> items;
    items.reserve(items_.size());
    for (const auto &[key, item] : items_) {
        items.push_back(item);
    }
    return items;
}

} // namespace sassafrasvane

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
            log_.line(EventRank::Important, "item_failed")
                .text("key", item.key)
                .count("revision", item.position.revision);
            log_.unexpectedError(exception);
        }
    }
    updateDomainsOut();
}

bool PublishedState::isOutdated(const StoreItem &item) const
{
    const std::unordered_map<std::string, StoreItem>::const_iterator known = items_.find(item.key);
    if (known != items_.end()) {
        return known->second.position >= item.position;
    }
    // All changes up to completePosition_ are applied, so an unknown item of such a position has been removed since.
    // Not every removal is kept.
    const std::unordered_map<std::string, Removal>::const_iterator removed = removals_.find(item.key);
    return item.position <= completePosition_
        || (removed != removals_.end() && removed->second.position >= item.position);
}

// An older copy of the store holds most items as they were. Applied again, a registration would begin its cold time
// again.
bool PublishedState::isUnchangedInNewEpoch(const StoreItem &item) const
{
    const std::unordered_map<std::string, StoreItem>::const_iterator known = items_.find(item.key);
    return known != items_.end() && known->second.position.epoch < item.position.epoch && !item.isRemoved
        && known->second.value == item.value;
}

void PublishedState::applyItem(TimePoint now, const StoreItem &item)
{
    if (isOutdated(item)) {
        return;
    }
    position_ = std::max(position_, item.position);
    keptDomains_.erase(item.key);
    if (item.isRemoved) {
        remove(now, item);
        return;
    }
    const bool isUnchanged = isUnchangedInNewEpoch(item);
    removals_.erase(item.key);
    items_[item.key] = item;
    if (!isUnchanged) {
        applyContent(now, item);
    }
}

void PublishedState::applyContent(TimePoint now, const StoreItem &item)
{
    PublishedItem published = protocol_.readItem(item);
    SearcherCatalog::Notices notices;
    if (RoutingConfiguration *configuration = std::get_if<RoutingConfiguration>(&published)) {
        applyConfiguration(std::move(*configuration), item);
    } else if (const SearcherEntry *entry = std::get_if<SearcherEntry>(&published)) {
        applySearcher(now, *entry, item.position, notices);
    } else if (const DomainOut *domain = std::get_if<DomainOut>(&published)) {
        domainsOut_[item.key] = domain->failureDomain;
    } else if (const UnreadableSearcher *unreadable = std::get_if<UnreadableSearcher>(&published)) {
        log_.line(EventRank::Important, "searcher_unreadable")
            .text("searcher", unreadable->instance)
            .text("reason", unreadable->reason)
            .count("revision", item.position.revision);
        catalog_.remove(now, unreadable->instance, notices, item.position.epoch);
    } else if (const UnreadableConfiguration *bad = std::get_if<UnreadableConfiguration>(&published)) {
        log_.line(EventRank::Important, "configuration_refused")
            .text("reason", bad->reason)
            .count("revision", item.position.revision)
            .count("in_force", routes_ ? routes_->version() : 0);
    }
    applyNotices(notices, now);
}

void PublishedState::applySearcher(TimePoint now,
                                   const SearcherEntry &entry,
                                   const StorePosition &position,
                                   SearcherCatalog::Notices &notices)
{
    if (!catalog_.put(now, entry, notices, position.epoch)) {
        log_.line(EventRank::Important, "searcher_ignored")
            .text("searcher", entry.instance)
            .text("reason", "older than the known registration")
            .count("sequence", entry.sequence)
            .count("revision", position.revision);
    }
}

void PublishedState::remove(TimePoint now, const StoreItem &item)
{
    removals_[item.key] = {item.position, now};
    const std::unordered_map<std::string, StoreItem>::iterator known = items_.find(item.key);
    if (known == items_.end()) {
        return;
    }
    const PublishedItem before = protocol_.readItem(known->second);
    items_.erase(known);
    domainsOut_.erase(item.key);
    SearcherCatalog::Notices notices;
    if (const SearcherEntry *entry = std::get_if<SearcherEntry>(&before)) {
        catalog_.remove(now, entry->instance, notices, item.position.epoch);
    }
    applyNotices(notices, now);
}

// An operator whose version is lost may give its number to another configuration. Once the store has gone back, a
// number no longer names one content.
bool PublishedState::isRewritten(const RoutingConfiguration &configuration, const StoreItem &item) const
{
    return item.position.epoch > 0 && routes_ && configuration.version == routes_->version()
        && configurationText_ != item.value;
}

void PublishedState::applyConfiguration(RoutingConfiguration configuration, const StoreItem &item)
{
    const std::uint64_t before = routes_ ? routes_->version() : 0;
    if (configuration.version <= before && !isRewritten(configuration, item)) {
        if (configuration.version < before) {
            log_.line(EventRank::Important, "configuration_ignored")
                .count("version", configuration.version)
                .count("in_force", before);
        }
        return;
    }
    routes_ = RouteTable::create(std::move(configuration));
    configurationText_ = item.value;
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
    for (const auto &[key, kept] : keptDomains_) {
        domains.insert(kept.failureDomain);
    }
    if (pool_.setExcludedDomains(domains)) {
        EventLine line = log_.line(EventRank::Important, "failure_domains_out");
        line.count("domains", domains.size());
        for (const std::string &domain : domains) {
            line.text("domain", domain);
        }
    }
}

void PublishedState::applySnapshot(TimePoint now, const std::vector<StoreItem> &items, const StorePosition &position)
{
    log_.line(EventRank::Important, "snapshot_received")
        .count("epoch", position.epoch)
        .count("revision", position.revision)
        .count("complete", completePosition_.revision)
        .count("items", items.size())
        .count("items_before", items_.size());
    std::set<std::string> listedKeys;
    for (const StoreItem &item : items) {
        listedKeys.insert(item.key);
    }
    apply(now, items);
    onListComplete(now, listedKeys, position);
}

void PublishedState::onListComplete(TimePoint now,
                                    const std::set<std::string> &listedKeys,
                                    const StorePosition &position)
{
    const bool isNewEpoch = isComplete_ && position.epoch > completePosition_.epoch;
    if (isNewEpoch) {
        log_.line(EventRank::Important, "store_epoch_changed")
            .count("epoch", position.epoch)
            .count("epoch_before", completePosition_.epoch)
            .count("revision", position.revision)
            .count("revision_before", completePosition_.revision);
        onStoreReturned(now);
    }
    isComplete_ = true;
    std::vector<StoreItem> missing = itemsMissingFrom(listedKeys, position);
    for (StoreItem &item : missing) {
        if (item.position.epoch < position.epoch) {
            keepDomain(now, item.key);
        }
        item.position = position;
        remove(now, item);
    }
    updateDomainsOut();
    // What was removed between the applied changes and the list is known only of the items that this process had.
    if (position > completePosition_) {
        historyBegin_ = std::max(historyBegin_, position);
    }
    setCompletePosition(position);
}

void PublishedState::keepDomain(TimePoint now, const std::string &key)
{
    const std::unordered_map<std::string, std::string>::const_iterator out = domainsOut_.find(key);
    if (out == domainsOut_.end()) {
        return;
    }
    keptDomains_[key] = {out->second, now + domainKeepTime()};
    log_.line(EventRank::Important, "failure_domain_kept_out")
        .text("domain", out->second)
        .text("reason", "the store has lost its item by going back to an older copy")
        .milliseconds("kept_ms", domainKeepTime());
}

// A list says nothing of items that have changed after its position, and one that is older than the applied changes
// says nothing new.
std::vector<StoreItem> PublishedState::itemsMissingFrom(const std::set<std::string> &listedKeys,
                                                        const StorePosition &position) const
{
    std::vector<StoreItem> missing;
    if (position < completePosition_) {
        return missing;
    }
    for (const auto &[key, item] : items_) {
        if (item.position <= position && !listedKeys.contains(key)) {
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
        historyBegin_ = isOld ? std::max(historyBegin_, entry.second.position) : historyBegin_;
        return isOld;
    });
    if (std::erase_if(keptDomains_, [now](const auto &entry) { return now >= entry.second.keptUntil; }) > 0) {
        updateDomainsOut();
    }
}

std::vector<StoreItem> PublishedState::changesAfter(const StorePosition &position) const
{
    std::vector<StoreItem> changes;
    for (const auto &[key, item] : items_) {
        if (item.position > position) {
            changes.push_back(item);
        }
    }
    for (const auto &[key, removal] : removals_) {
        if (removal.position > position) {
            changes.push_back({key, {}, removal.position, true});
        }
    }
    std::sort(changes.begin(), changes.end(), [](const StoreItem &left, const StoreItem &right) {
        return left.position < right.position;
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

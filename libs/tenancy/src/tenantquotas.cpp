#include "tenancy/tenantquotas.h"

#include "quotapeers.h"
#include "tenantstate.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <unordered_map>

namespace sassafrasvane
{

namespace
{

using detail::PeerCount;
using detail::QuotaPeer;
using detail::TenantState;

/// Interval of reports while there is traffic.
constexpr Duration reportPeriod = std::chrono::milliseconds(95);
/// The same while this VM is about to use up its share.
constexpr Duration urgentPeriod = std::chrono::milliseconds(45);
/// The same without traffic. Three reports are lost in a row before a VM counts as silent.
constexpr Duration idlePeriod = std::chrono::milliseconds(190);
/// Interval of the reports of a VM that is no participant, and of those to it. Any VM may get some requests; reports
/// between each of them and all participants would grow with the number of all VMs. Shorter than silenceTime(), but one
/// lost report makes the sender count as silent there until the next.
constexpr Duration followerPeriod = std::chrono::milliseconds(450);
/// Time for which a change is repeated, since a datagram may be lost.
constexpr Duration changeRepeatTime = std::chrono::milliseconds(280);
/// Interval at which the demand is reported while it lasts, and its age at which it no longer counts.
constexpr Duration demandPeriod = std::chrono::seconds(1);
constexpr Duration demandLifetime = std::chrono::milliseconds(2'500);
/// Time constant of the mean demand, in seconds.
constexpr double demandSeconds = 1;
constexpr double leastDemand = 0.05;
/// Time for which a VM that is no participant reports after a tenant's request.
constexpr Duration activityTime = std::chrono::seconds(30);
/// Part of the tolerance that is added to the capacity of the bucket.
constexpr double capacityShareOfTolerance = 0.3;
/// Part of the tolerance up to which the bucket of a process that has just started is filled. With empty buckets, a
/// restart of all VMs would refuse tenants within their quota for seconds.
constexpr double startShareOfTolerance = 0.3;
/// The part of the tolerance that covers errors of the view: requests, and seconds of the tenant's rate. A silent VM is
/// noticed after 0.6 s, and the sides of a partition may disagree on their parts for a short time. What is left of the
/// tolerance is divided equally among the participants, so that each may admit some requests while the level is low.
constexpr double errorRequests = 4;
constexpr double errorSeconds = 1;
/// Share of the spare tolerance that is used while some participants are silent, when errors are larger.
constexpr double partialSpareShare = 0.5;
/// Parts of the level that are divided equally among the participants, and by their reported demand. A VM whose demand
/// the others do not know yet can serve callers that have just moved to it. Their sum exceeds the level, since a VM
/// rarely uses both; the errors include what it does.
constexpr double equalShareOfLevel = 0.8;
constexpr double demandShareOfLevel = 0.4;
/// Time after more than half of the participants are heard for which levels of other VMs are taken over.
constexpr Duration levelTakeover = std::chrono::seconds(1);
/// Reports of all levels: interval between two of them, and datagrams at a time.
constexpr Duration levelReportPeriod = std::chrono::seconds(1);
constexpr std::size_t levelReportsAtOnce = 3;
/// Queued datagrams are read in this time after a suspension. They do not show that their sender is heard.
constexpr Duration queueDrainTime = std::chrono::milliseconds(100);
/// Counts of other VMs that are kept for one tenant.
constexpr std::size_t maxCountsPerTenant = 512;
/// Time after which the count of a VM that is silent about a tenant may be dropped.
constexpr Duration countRetention = std::chrono::minutes(1);
constexpr Duration minRetryAfter = std::chrono::milliseconds(100);
constexpr Duration maxRetryAfter = std::chrono::seconds(30);
/// Retry-After of a VM that has not heard the levels of the others yet: they answer within a round of reports. If they
/// have not in uninformedTime, they cannot be reached.
constexpr Duration uninformedRetryAfter = std::chrono::milliseconds(250);
constexpr Duration unreachableRetryAfter = std::chrono::seconds(1);
constexpr Duration uninformedTime = std::chrono::seconds(2);
/// Part of Retry-After by which it is lengthened at random.
constexpr double retryJitter = 0.5;
constexpr double hundredths = 100;

double secondsOf(Duration duration) noexcept
{
    return std::chrono::duration<double>(duration).count();
}

std::uint32_t toHundredths(double value) noexcept
{
    return static_cast<std::uint32_t>(std::clamp(value * hundredths, 0.0, static_cast<double>(UINT32_MAX)));
}

double demandAt(const TenantState &tenant, TimePoint now) noexcept
{
    return tenant.demand * std::exp(-secondsOf(now - tenant.demandAt) / demandSeconds);
}

bool isLimited(const TenantQuota &quota) noexcept
{
    return quota.requestsPerSecond > 0;
}

} // namespace

const char *name(QuotaBasis basis) noexcept
{
    switch (basis) {
    case QuotaBasis::Unlimited:
        return "unlimited";
    case QuotaBasis::Shared:
        return "shared";
    case QuotaBasis::Partial:
        return "partial";
    case QuotaBasis::Alone:
        break;
    }
    return "alone";
}

class TenantQuotas::Implementation
{
public:
    Implementation(TimePoint now, DaemonId self, const QuotaTolerance &tolerance, std::uint64_t seed)
        : tolerance_(tolerance), random_(seed), run_(random_.next() | 1), peers_(now, self), updatedAt_(now)
    {
    }

    void setQuotas(TimePoint now, std::span<const TenantQuota> quotas);
    void setTolerance(TimePoint now, const QuotaTolerance &tolerance);
    void setParticipants(TimePoint now, std::span<const DaemonId> participants);
    QuotaDecision admit(TimePoint now, std::string_view name);
    void refund(TimePoint now, std::string_view name);
    void onReport(TimePoint now, DaemonId daemon, const QuotaReport &report);
    std::vector<QuotaReport> dueReports(TimePoint now);
    std::vector<TenantUsage> usage(TimePoint now) const;
    std::vector<DaemonId> recipients(TimePoint now) const { return peers_.recipients(now, reportsToFollowers_); }

private:
    void update(TimePoint now);
    void updateLevelTakeover(TimePoint now);
    TenantState *find(std::uint64_t hash) noexcept;
    double toleranceOf(const TenantQuota &quota) const noexcept;
    double spareToleranceOf(const TenantQuota &quota) const noexcept;
    double startLevelOf(const TenantQuota &quota) const noexcept;
    double capacityOf(const TenantQuota &quota) const noexcept;
    void updateBuckets(TimePoint now);
    void startRound(TenantState &tenant) const noexcept;
    bool hasBudget(TimePoint now, TenantState &tenant) noexcept;
    double budgetOf(TimePoint now, TenantState &tenant, double level) const noexcept;
    bool isDemandCovered(const TenantState &tenant, double level) const noexcept;
    double shareByDemand(TimePoint now, TenantState &tenant) const noexcept;
    void sumDemand(TimePoint now, TenantState &tenant) const noexcept;
    Duration waitForToken(TimePoint now, const TenantState &tenant) const noexcept;
    QuotaDecision refuse(TenantState &tenant, Duration wait);
    void onEntry(TimePoint now, const QuotaPeer &peer, const QuotaReport &report, const QuotaEntry &entry);
    PeerCount &countOf(TimePoint now, TenantState &tenant, DaemonId daemon);
    bool isDue(TimePoint now, const TenantState &tenant) const noexcept;
    QuotaEntry entryOf(TimePoint now, TenantState &tenant);
    void addLevels(TimePoint now, std::vector<std::size_t> &due);
    std::vector<QuotaReport> reportsOf(TimePoint now, std::span<const std::size_t> due);

    QuotaTolerance tolerance_;
    Random random_;
    std::uint64_t run_;
    std::uint64_t sequence_ = 0;
    detail::QuotaPeers peers_;
    std::vector<TenantState> tenants_;
    std::unordered_map<std::uint64_t, std::size_t> index_;
    TimePoint updatedAt_;
    /// Until then, reports may be old ones that were queued during a suspension.
    TimePoint drainUntil_;
    /// True after the start and after isolation, until levels of other VMs have been taken over.
    bool needsLevels_ = true;
    std::optional<TimePoint> majoritySince_;
    TimePoint reportedAt_;
    /// When VMs that are no participants were last reported to, and whether the last reports are for them, too.
    TimePoint followersToldAt_;
    bool reportsToFollowers_ = false;
    TimePoint activeAt_;
    /// First request of a tenant after a pause of activityTime.
    TimePoint activeSince_;
    /// Last request of a tenant here or at another VM.
    TimePoint trafficAt_;
    bool isUrgent_ = false;
    TimePoint levelsReportedAt_;
    std::size_t levelsLeft_ = 0;
};

TenantState *TenantQuotas::Implementation::find(std::uint64_t hash) noexcept
{
    const auto found = index_.find(hash);
    return found == index_.end() ? nullptr : &tenants_[found->second];
}

double TenantQuotas::Implementation::toleranceOf(const TenantQuota &quota) const noexcept
{
    const double sum = quota.requestsPerSecond * secondsOf(tolerance_.window) + quota.burst;
    return sum * tolerance_.overage + tolerance_.slack;
}

double TenantQuotas::Implementation::capacityOf(const TenantQuota &quota) const noexcept
{
    return std::max(1.0, quota.burst + toleranceOf(quota) * capacityShareOfTolerance);
}

// What was admitted before a restart is not known. The tolerance covers what a process admits of a new bucket.
double TenantQuotas::Implementation::startLevelOf(const TenantQuota &quota) const noexcept
{
    return std::min(quota.burst, toleranceOf(quota) * startShareOfTolerance);
}

double TenantQuotas::Implementation::spareToleranceOf(const TenantQuota &quota) const noexcept
{
    const double errors = errorRequests + errorSeconds * quota.requestsPerSecond;
    return std::max(0.0, toleranceOf(quota) * (1 - capacityShareOfTolerance) - errors);
}

void TenantQuotas::Implementation::setQuotas(TimePoint now, std::span<const TenantQuota> quotas)
{
    update(now);
    std::vector<TenantState> tenants;
    std::unordered_map<std::uint64_t, std::size_t> index;
    for (const TenantQuota &quota : quotas) {
        const std::uint64_t hash = hashBytes(quota.tenant);
        if (!isLimited(quota) || tenants.size() >= maxTenants() || index.contains(hash)) {
            continue;
        }
        TenantState *known = find(hash);
        index.emplace(hash, tenants.size());
        TenantState &tenant
            = known == nullptr ? tenants.emplace_back(now, quota) : tenants.emplace_back(std::move(*known));
        tenant.quota = quota;
        tenant.hash = hash;
        tenant.bucket.setPart(now, peers_.part(), peers_.partOfOthers());
        tenant.bucket.setQuota(now, quota.requestsPerSecond, capacityOf(quota));
        if (known == nullptr) {
            tenant.bucket.raiseTo(needsLevels_ ? startLevelOf(quota) : tenant.bucket.capacity());
        }
    }
    tenants_ = std::move(tenants);
    index_ = std::move(index);
    levelsLeft_ = std::min(levelsLeft_, tenants_.size());
}

void TenantQuotas::Implementation::setTolerance(TimePoint now, const QuotaTolerance &tolerance)
{
    tolerance_ = tolerance;
    updateBuckets(now);
}

void TenantQuotas::Implementation::setParticipants(TimePoint now, std::span<const DaemonId> participants)
{
    peers_.setParticipants(now, participants);
    update(now);
}

void TenantQuotas::Implementation::update(TimePoint now)
{
    if (now - updatedAt_ >= detail::QuotaPeers::silenceTime()) {
        drainUntil_ = now + queueDrainTime;
    }
    updatedAt_ = now;
    if (peers_.update(now)) {
        updateBuckets(now);
    }
    updateLevelTakeover(now);
}

void TenantQuotas::Implementation::updateLevelTakeover(TimePoint now)
{
    if (peers_.basis() == QuotaBasis::Alone) {
        needsLevels_ = true;
        majoritySince_.reset();
    } else if (needsLevels_ && peers_.isEstablished()) {
        majoritySince_ = majoritySince_.value_or(now);
        needsLevels_ = now - *majoritySince_ < levelTakeover;
    }
}

void TenantQuotas::Implementation::updateBuckets(TimePoint now)
{
    for (TenantState &tenant : tenants_) {
        tenant.bucket.setPart(now, peers_.part(), peers_.partOfOthers());
        tenant.bucket.setQuota(now, tenant.quota.requestsPerSecond, capacityOf(tenant.quota));
    }
}

QuotaDecision TenantQuotas::Implementation::admit(TimePoint now, std::string_view name)
{
    TenantState *tenant = tenants_.empty() ? nullptr : find(hashBytes(name));
    if (tenant == nullptr) {
        return {};
    }
    update(now);
    tenant->demand = demandAt(*tenant, now) + 1 / demandSeconds;
    tenant->demandAt = now;
    tenant->changedAt = now;
    activeSince_ = activeAt_ == TimePoint() || now - activeAt_ >= activityTime ? now : activeSince_;
    activeAt_ = now;
    trafficAt_ = now;
    tenant->bucket.refill(now);
    startRound(*tenant);
    QuotaDecision decision;
    if (tenant->bucket.level() < 1) {
        decision = refuse(*tenant, waitForToken(now, *tenant));
    } else if (!hasBudget(now, *tenant)) {
        isUrgent_ = true;
        decision = refuse(*tenant, minRetryAfter);
    } else {
        tenant->bucket.take(1);
        tenant->unconfirmed += 1;
        ++tenant->admitted;
        ++tenant->count;
    }
    decision.left = std::clamp(tenant->bucket.level() / tenant->bucket.limit(), 0.0, 1.0);
    decision.basis = peers_.basis();
    decision.age = peers_.participantCount() == 1 && decision.basis == QuotaBasis::Shared
        ? Duration{0}
        : now - peers_.lastConfirmedAt();
    return decision;
}

void TenantQuotas::Implementation::startRound(TenantState &tenant) const noexcept
{
    const std::uint64_t passed = peers_.round() - tenant.round;
    if (passed > 0) {
        tenant.formerUnconfirmed = passed == 1 ? tenant.unconfirmed : 0;
        tenant.unconfirmed = 0;
        tenant.round = peers_.round();
    }
}

// Limits the admissions that the other VMs may not know of yet, those of two rounds, to the budget of this VM.
bool TenantQuotas::Implementation::hasBudget(TimePoint now, TenantState &tenant) noexcept
{
    if (peers_.participantCount() == 1 && peers_.isParticipant()) {
        return true;
    }
    const double unconfirmed = tenant.unconfirmed + tenant.formerUnconfirmed;
    const double level = tenant.bucket.level() + unconfirmed;
    const double budget = budgetOf(now, tenant, level);
    isUrgent_ = isUrgent_ || 2 * (unconfirmed + 1) > budget;
    return unconfirmed + 1 <= budget;
}

// Whole requests: a fraction is rounded up at the first VMs in the rendezvous order of the tenant.
double TenantQuotas::Implementation::budgetOf(TimePoint now, TenantState &tenant, double level) const noexcept
{
    const double count = static_cast<double>(peers_.participantCount());
    const bool isPartial = peers_.basis() == QuotaBasis::Partial;
    const double spare = spareToleranceOf(tenant.quota) * peers_.part() * (isPartial ? partialSpareShare : 1);
    const double equal = peers_.isParticipant() ? (equalShareOfLevel * level + spare) / count : 0;
    const double budget = equal + demandShareOfLevel * level * shareByDemand(now, tenant);
    const double whole = std::floor(budget);
    const double roundedUp = (budget - whole) * count;
    const bool isRoundedUp = peers_.isParticipant() && static_cast<double>(peers_.rankOf(tenant.hash)) < roundedUp;
    const double rounded = whole + (isRoundedUp ? 1 : 0);
    return std::max(rounded, isDemandCovered(tenant, level) ? 1.0 : 0.0);
}

// True if the level covers all that the tenant asks of all VMs until they know of each other's admissions. Each VM may
// then admit a request, also one that is no participant: after a restart of many VMs callers use any of them for a
// while.
bool TenantQuotas::Implementation::isDemandCovered(const TenantState &tenant, double level) const noexcept
{
    const double demand = std::max(tenant.totalDemand, tenant.demand + tenant.demandOfOthers);
    return demand * secondsOf(2 * followerPeriod) <= demandShareOfLevel * level;
}

double TenantQuotas::Implementation::shareByDemand(TimePoint now, TenantState &tenant) const noexcept
{
    sumDemand(now, tenant);
    const double known = peers_.isParticipant() ? 0 : tenant.totalDemand;
    const double total = std::max(known, tenant.reportedDemand + tenant.demandOfOthers);
    return total > 0 ? std::min(1.0, tenant.reportedDemand / total) : 0;
}

void TenantQuotas::Implementation::sumDemand(TimePoint now, TenantState &tenant) const noexcept
{
    if (now - tenant.demandOfOthersAt < demandPeriod) {
        return;
    }
    tenant.demandOfOthersAt = now;
    tenant.demandOfOthers = 0;
    tenant.totalDemand = 0;
    for (const PeerCount &peer : tenant.peers) {
        if (now - peer.reportedAt < demandLifetime) {
            tenant.demandOfOthers += peer.demand;
            tenant.totalDemand = std::max(tenant.totalDemand, peer.totalDemand);
        }
    }
}

Duration TenantQuotas::Implementation::waitForToken(TimePoint now, const TenantState &tenant) const noexcept
{
    const bool isNew = now - activeSince_ < uninformedTime;
    if (peers_.part() <= 0) {
        return isNew ? uninformedRetryAfter : unreachableRetryAfter;
    }
    const Duration wait = tenant.bucket.timeToToken(maxRetryAfter);
    return isNew && needsLevels_ && peers_.participantCount() > 1 ? std::min(wait, uninformedRetryAfter) : wait;
}

QuotaDecision TenantQuotas::Implementation::refuse(TenantState &tenant, Duration wait)
{
    ++tenant.refused;
    const Duration atLeast = std::max(wait, minRetryAfter);
    QuotaDecision decision;
    decision.isAdmitted = false;
    decision.retryAfter = atLeast + shareOf(atLeast, retryJitter * random_.unit());
    return decision;
}

void TenantQuotas::Implementation::refund(TimePoint now, std::string_view name)
{
    TenantState *tenant = tenants_.empty() ? nullptr : find(hashBytes(name));
    if (tenant == nullptr || tenant->count == 0) {
        return;
    }
    update(now);
    tenant->bucket.refill(now);
    startRound(*tenant);
    tenant->bucket.giveBack(1);
    tenant->unconfirmed = std::max(0.0, tenant->unconfirmed - 1);
    --tenant->count;
    tenant->changedAt = now;
}

void TenantQuotas::Implementation::onReport(TimePoint now, DaemonId daemon, const QuotaReport &report)
{
    update(now);
    if (now < drainUntil_) {
        return;
    }
    const QuotaPeer *peer = peers_.onReport(now, daemon, report);
    if (peer == nullptr) {
        return;
    }
    if (report.needsLevels && now - levelsReportedAt_ >= levelReportPeriod) {
        levelsReportedAt_ = now;
        levelsLeft_ = tenants_.size();
    }
    trafficAt_ = report.entries.empty() ? trafficAt_ : now;
    for (const QuotaEntry &entry : report.entries) {
        onEntry(now, *peer, report, entry);
    }
    update(now);
}

void TenantQuotas::Implementation::onEntry(TimePoint now,
                                           const QuotaPeer &peer,
                                           const QuotaReport &report,
                                           const QuotaEntry &entry)
{
    const bool takesLevel = needsLevels_ && report.partPermille > 0;
    TenantState *tenant = find(entry.tenant);
    if (tenant == nullptr) {
        return;
    }
    tenant->bucket.refill(now);
    PeerCount &known = countOf(now, *tenant, peer.daemon);
    const double demand = entry.demandHundredths / hundredths;
    double admitted = 0;
    if (known.run == peer.run) {
        admitted = static_cast<double>(static_cast<std::int64_t>(entry.count - known.count));
    } else if (!takesLevel) {
        // What the VM has admitted in the time that the demand is measured over; the rest is past.
        admitted = std::min(static_cast<double>(entry.count), std::ceil(demand * demandSeconds));
    }
    if (admitted < 0) {
        tenant->bucket.giveBack(-admitted);
    } else if (known.reportedAt < peer.resumedAt) {
        tenant->bucket.takeFromReserve(admitted);
    } else {
        tenant->bucket.take(admitted);
    }
    startRound(*tenant);
    const double level = entry.levelHundredths / hundredths - tenant->unconfirmed - tenant->formerUnconfirmed;
    if (takesLevel) {
        tenant->bucket.raiseTo(level);
    }
    if (peer.participants > peers_.heardParticipants()) {
        // Not all VMs that report to the peer report to this one too; the peer's level includes them.
        tenant->bucket.lowerTo(level);
    }
    const bool isAwaited = report.needsLevels && entry.demandHundredths > 0;
    if (isAwaited || (!peer.isListed && admitted != 0)) {
        // The peer learns the level by the answer; other VMs that are no participants learn of the peer's admissions.
        tenant->changedAt = now;
    }
    known = {peer.daemon, peer.run, entry.count, demand, entry.totalDemandHundredths / hundredths, now};
    tenant->demandOfOthersAt = TimePoint();
}

PeerCount &TenantQuotas::Implementation::countOf(TimePoint now, TenantState &tenant, DaemonId daemon)
{
    const auto found = std::find_if(
        tenant.peers.begin(), tenant.peers.end(), [daemon](const PeerCount &count) { return count.peer == daemon; });
    if (found != tenant.peers.end()) {
        return *found;
    }
    const auto oldest = std::min_element(
        tenant.peers.begin(), tenant.peers.end(), [](const PeerCount &first, const PeerCount &second) {
            return first.reportedAt < second.reportedAt;
        });
    const bool hasRoom = tenant.peers.size() < maxCountsPerTenant;
    if (oldest == tenant.peers.end() || (hasRoom && now - oldest->reportedAt < countRetention)) {
        return tenant.peers.emplace_back();
    }
    *oldest = PeerCount();
    return *oldest;
}

bool TenantQuotas::Implementation::isDue(TimePoint now, const TenantState &tenant) const noexcept
{
    return now - tenant.changedAt < changeRepeatTime
        || (now - tenant.reportedAt >= demandPeriod && demandAt(tenant, now) >= leastDemand);
}

std::vector<QuotaReport> TenantQuotas::Implementation::dueReports(TimePoint now)
{
    update(now);
    const bool hasTraffic = activeAt_ != TimePoint() && now - activeAt_ < activityTime;
    const Duration sinceReport = now - reportedAt_;
    const Duration period = !peers_.isInParticipantList() ? followerPeriod : isUrgent_ ? urgentPeriod : reportPeriod;
    if (tenants_.empty() || (!peers_.isInParticipantList() && !hasTraffic) || sinceReport < period) {
        return {};
    }
    std::vector<std::size_t> due;
    for (std::size_t index = 0; index < tenants_.size(); ++index) {
        if (isDue(now, tenants_[index])) {
            due.push_back(index);
        }
    }
    addLevels(now, due);
    const bool isIdle = due.empty() && now - trafficAt_ >= demandPeriod;
    const bool areFollowersDue = now - followersToldAt_ >= followerPeriod;
    if (isIdle && sinceReport < idlePeriod && !areFollowersDue) {
        return {};
    }
    reportedAt_ = now;
    isUrgent_ = false;
    reportsToFollowers_ = areFollowersDue;
    followersToldAt_ = reportsToFollowers_ ? now : followersToldAt_;
    return reportsOf(now, due);
}

void TenantQuotas::Implementation::addLevels(TimePoint now, std::vector<std::size_t> &due)
{
    for (std::size_t left = levelReportsAtOnce * maxEntriesPerQuotaReport; left > 0 && levelsLeft_ > 0; --left) {
        --levelsLeft_;
        if (!isDue(now, tenants_[levelsLeft_])) {
            due.push_back(levelsLeft_);
        }
    }
}

std::vector<QuotaReport> TenantQuotas::Implementation::reportsOf(TimePoint now, std::span<const std::size_t> due)
{
    std::vector<QuotaReport> reports;
    do {
        QuotaReport &report = reports.emplace_back();
        report.run = run_;
        report.sequence = ++sequence_;
        report.partPermille = peers_.partPermille();
        report.participants = static_cast<std::uint32_t>(peers_.heardParticipants());
        report.needsLevels = needsLevels_;
        const std::size_t count = std::min(due.size(), maxEntriesPerQuotaReport);
        for (const std::size_t index : due.first(count)) {
            report.entries.push_back(entryOf(now, tenants_[index]));
        }
        due = due.subspan(count);
    } while (!due.empty());
    return reports;
}

QuotaEntry TenantQuotas::Implementation::entryOf(TimePoint now, TenantState &tenant)
{
    tenant.bucket.refill(now);
    const double demand = demandAt(tenant, now);
    tenant.reportedDemand = demand < leastDemand ? 0 : demand;
    tenant.reportedAt = now;
    sumDemand(now, tenant);
    return {tenant.hash,
            tenant.count,
            toHundredths(tenant.reportedDemand),
            toHundredths(tenant.reportedDemand + tenant.demandOfOthers),
            toHundredths(tenant.bucket.level())};
}

std::vector<TenantUsage> TenantQuotas::Implementation::usage(TimePoint now) const
{
    std::vector<TenantUsage> all;
    all.reserve(tenants_.size());
    for (const TenantState &tenant : tenants_) {
        detail::SharedBucket bucket = tenant.bucket;
        bucket.refill(now);
        all.push_back(
            {tenant.quota.tenant, bucket.level(), bucket.capacity(), tenant.admitted, tenant.refused, peers_.basis()});
    }
    return all;
}

TenantQuotas::TenantQuotas(std::unique_ptr<Implementation> implementation) noexcept
    : implementation_(std::move(implementation))
{
}

TenantQuotas::TenantQuotas(TenantQuotas &&other) noexcept = default;
TenantQuotas &TenantQuotas::operator=(TenantQuotas &&other) noexcept = default;
TenantQuotas::~TenantQuotas() = default;

void TenantQuotas::setQuotas(TimePoint now, std::span<const TenantQuota> quotas)
{
    implementation_->setQuotas(now, quotas);
}

void TenantQuotas::setTolerance(TimePoint now, const QuotaTolerance &tolerance)
{
    implementation_->setTolerance(now, tolerance);
}

void TenantQuotas::setParticipants(TimePoint now, std::span<const DaemonId> participants)
{
    implementation_->setParticipants(now, participants);
}

QuotaDecision TenantQuotas::admit(TimePoint now, std::string_view tenant)
{
    return implementation_->admit(now, tenant);
}

void TenantQuotas::refund(TimePoint now, std::string_view tenant)
{
    implementation_->refund(now, tenant);
}

void TenantQuotas::onReport(TimePoint now, DaemonId peer, const QuotaReport &report)
{
    implementation_->onReport(now, peer, report);
}

std::vector<QuotaReport> TenantQuotas::dueReports(TimePoint now)
{
    return implementation_->dueReports(now);
}

std::vector<DaemonId> TenantQuotas::recipients(TimePoint now) const
{
    return implementation_->recipients(now);
}

std::vector<TenantUsage> TenantQuotas::usage(TimePoint now) const
{
    return implementation_->usage(now);
}

TenantQuotas::Builder &TenantQuotas::Builder::self(DaemonId daemon) noexcept
{
    self_ = daemon;
    return *this;
}

TenantQuotas::Builder &TenantQuotas::Builder::tolerance(const QuotaTolerance &tolerance) noexcept
{
    tolerance_ = tolerance;
    return *this;
}

TenantQuotas::Builder &TenantQuotas::Builder::seed(std::uint64_t seed) noexcept
{
    seed_ = seed;
    return *this;
}

TenantQuotas TenantQuotas::Builder::build(TimePoint now) const
{
    return TenantQuotas(std::make_unique<Implementation>(now, self_, tolerance_, seed_));
}

} // namespace sassafrasvane

#include "quotafleet.h"

#include <algorithm>
#include <cmath>

namespace sassafrasvane
{

namespace
{

constexpr Duration stepTime = std::chrono::milliseconds(10);
/// Steps between two ticks of a VM, and between two updates of its members.
constexpr std::size_t tickSteps = 5;
constexpr std::size_t memberSteps = 50;
/// Time after which a VM that is not reached counts as dead.
constexpr Duration deathTime = std::chrono::seconds(2);
constexpr Duration sharerRetention = std::chrono::seconds(30);
constexpr Duration quotaDelay = std::chrono::milliseconds(300);
/// Number of VMs that are named in the settings of each.
constexpr std::size_t seedCount = 3;
/// Datagrams and requests that are kept for a suspended VM.
constexpr std::size_t maxQueue = 300;

DaemonId idOf(std::size_t vm)
{
    return DaemonId{vm + 1};
}

} // namespace

QuotaFleet::QuotaFleet(const Parameters &parameters, std::uint64_t seed)
    : parameters_(parameters), random_(seed), vms_(parameters.vms)
{
    for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
        start(vm);
        vms_[vm].reachedAt.assign(vms_.size(), now_);
    }
}

void QuotaFleet::start(std::size_t vm)
{
    Vm &starting = vms_[vm];
    starting.quotas = std::make_unique<TenantQuotas>(
        TenantQuotas::Builder().self(idOf(vm)).tolerance(parameters_.tolerance).seed(random_.next()).build(now_));
    starting.startedAt = now_;
    starting.messages.clear();
    starting.requests.clear();
    starting.advertisedAt.clear();
    starting.reachedAt.assign(vms_.size(), TimePoint());
    readQuotas(starting);
}

void QuotaFleet::readQuotas(Vm &vm)
{
    std::vector<TenantQuota> quotas;
    for (const Tenant &tenant : tenants_) {
        quotas.push_back(tenant.quota);
    }
    vm.quotas->setQuotas(now_, quotas);
    vm.readsQuotasAt = TimePoint::max();
}

std::size_t QuotaFleet::addTenant(const TenantQuota &quota)
{
    Tenant &tenant = tenants_.emplace_back();
    tenant.quota = quota;
    tenant.allowed.emplace_back(now_, allowance(quota));
    for (Vm &vm : vms_) {
        readQuotas(vm);
    }
    return tenants_.size() - 1;
}

void QuotaFleet::setQuota(std::size_t tenant, double requestsPerSecond, double burst)
{
    Tenant &changed = tenants_[tenant];
    changed.quota.requestsPerSecond = requestsPerSecond;
    changed.quota.burst = burst;
    changed.allowed.emplace_back(now_ + quotaDelay, allowance(changed.quota));
    // A raised quota allows more as soon as the first VM uses it.
    changed.allowed.emplace_back(now_, std::max(allowance(changed.quota), changed.allowed.front().second));
    std::swap(changed.allowed.back(), changed.allowed[changed.allowed.size() - 2]);
    for (Vm &vm : vms_) {
        vm.readsQuotasAt = now_ + Duration(random_.below(static_cast<std::uint64_t>(quotaDelay.count())));
    }
}

double QuotaFleet::allowance(const TenantQuota &quota) const noexcept
{
    const QuotaTolerance &tolerance = parameters_.tolerance;
    const double window = std::chrono::duration<double>(tolerance.window).count();
    return (quota.requestsPerSecond * window + quota.burst) * (1 + tolerance.overage) + tolerance.slack;
}

void QuotaFleet::setLoad(std::size_t tenant, double perSecond, std::vector<std::size_t> vms)
{
    tenants_[tenant].perSecond = perSecond;
    tenants_[tenant].vms = std::move(vms);
}

void QuotaFleet::burst(std::size_t tenant, std::size_t requests, const std::vector<std::size_t> &vms)
{
    for (const std::size_t vm : vms) {
        for (std::size_t left = requests; left > 0; --left) {
            request(vm, tenant);
        }
    }
}

void QuotaFleet::heal()
{
    for (Vm &vm : vms_) {
        vm.group = 0;
    }
}

void QuotaFleet::restart(std::size_t vm)
{
    start(vm);
}

void QuotaFleet::suspend(std::size_t vm, double seconds)
{
    vms_[vm].awakeAt = now_ + fromMilliseconds(seconds * 1'000);
}

void QuotaFleet::run(double seconds)
{
    const TimePoint end = now_ + fromMilliseconds(seconds * 1'000);
    while (now_ < end) {
        step();
    }
}

void QuotaFleet::step()
{
    now_ += stepTime;
    ++steps_;
    deliver();
    arrive();
    for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
        if (!isAwake(vms_[vm])) {
            continue;
        }
        if (now_ >= vms_[vm].readsQuotasAt) {
            readQuotas(vms_[vm]);
        }
        if ((steps_ + vm) % memberSteps == 0 || now_ - vms_[vm].startedAt < 2 * stepTime) {
            updateParticipants(vm);
        }
        if ((steps_ + vm) % tickSteps == 0) {
            sendReports(vm);
        }
    }
}

bool QuotaFleet::areConnected(const Vm &first, const Vm &second) const noexcept
{
    return first.group == second.group;
}

void QuotaFleet::updateParticipants(std::size_t vm)
{
    Vm &own = vms_[vm];
    std::size_t advertised = 0;
    std::size_t alive = 0;
    for (std::size_t other = 0; other < vms_.size(); ++other) {
        if (isAwake(vms_[other]) && areConnected(own, vms_[other])) {
            own.reachedAt[other] = now_;
        }
        const bool isAlive = other == vm || now_ - own.reachedAt[other] < deathTime;
        alive += isAlive ? 1 : 0;
        if (isAlive && advertised < parameters_.advertised) {
            ++advertised;
            own.advertisedAt[other] = now_;
        }
    }
    std::erase_if(own.advertisedAt, [this](const auto &entry) { return now_ - entry.second >= sharerRetention; });
    std::vector<DaemonId> participants;
    for (const auto &[other, at] : own.advertisedAt) {
        participants.push_back(idOf(other));
    }
    const bool hasJustStarted = now_ - own.startedAt < sharerRetention;
    for (std::size_t seed = 0; (alive == 1 || hasJustStarted) && seed < std::min(seedCount, vms_.size()); ++seed) {
        participants.push_back(idOf(seed));
    }
    own.quotas->setParticipants(now_, participants);
}

void QuotaFleet::sendReports(std::size_t vm)
{
    for (const QuotaReport &report : vms_[vm].quotas->dueReports(now_)) {
        const std::shared_ptr<const QuotaReport> sent = std::make_shared<const QuotaReport>(report);
        for (const DaemonId recipient : vms_[vm].quotas->recipients(now_)) {
            const std::size_t to = recipient.value - 1;
            ++messages_;
            if (areConnected(vms_[vm], vms_[to]) && !random_.chance(parameters_.loss)) {
                const double range = parameters_.maxDelayMs - parameters_.minDelayMs;
                network_.emplace(now_ + fromMilliseconds(parameters_.minDelayMs + range * random_.unit()),
                                 Message{vm, to, sent});
            }
        }
    }
}

void QuotaFleet::deliver()
{
    while (!network_.empty() && network_.begin()->first <= now_) {
        Message &message = network_.begin()->second;
        std::deque<Message> &queue = vms_[message.to].messages;
        if (queue.size() < maxQueue) {
            queue.push_back(std::move(message));
        }
        network_.erase(network_.begin());
    }
    for (Vm &vm : vms_) {
        for (; isAwake(vm) && !vm.requests.empty(); vm.requests.pop_front()) {
            request(static_cast<std::size_t>(&vm - vms_.data()), vm.requests.front());
        }
        for (; isAwake(vm) && !vm.messages.empty(); vm.messages.pop_front()) {
            vm.quotas->onReport(now_, idOf(vm.messages.front().from), *vm.messages.front().report);
        }
    }
}

void QuotaFleet::arrive()
{
    for (std::size_t tenant = 0; tenant < tenants_.size(); ++tenant) {
        const Tenant &load = tenants_[tenant];
        // Several requests may arrive in one step.
        double left = load.vms.empty() ? 0 : load.perSecond * std::chrono::duration<double>(stepTime).count();
        for (left += std::log(1 - random_.unit()); left > 0; left += std::log(1 - random_.unit())) {
            request(load.vms[random_.below(load.vms.size())], tenant);
        }
    }
}

void QuotaFleet::request(std::size_t vm, std::size_t tenant)
{
    if (!isAwake(vms_[vm])) {
        if (vms_[vm].requests.size() < maxQueue) {
            vms_[vm].requests.push_back(tenant);
        }
        return;
    }
    Tenant &of = tenants_[tenant];
    ++of.arrived;
    if (vms_[vm].quotas->admit(now_, of.quota.tenant).isAdmitted) {
        of.admitted.push_back(now_);
        check(tenant);
    } else {
        ++of.refused;
    }
}

void QuotaFleet::check(std::size_t tenant)
{
    Tenant &of = tenants_[tenant];
    const TimePoint begin = now_ - parameters_.tolerance.window;
    while (of.admitted.front() <= begin) {
        of.admitted.pop_front();
    }
    while (of.allowed.size() > 1 && of.allowed[1].first <= begin) {
        of.allowed.pop_front();
    }
    double allowed = 0;
    for (const auto &[from, count] : of.allowed) {
        allowed = from <= now_ ? std::max(allowed, count) : allowed;
    }
    if (violation_.empty() && static_cast<double>(of.admitted.size()) > allowed) {
        violation_ = "tenant " + of.quota.tenant + " at " + std::to_string(seconds())
            + " s: " + std::to_string(of.admitted.size()) + " admitted, " + std::to_string(allowed) + " allowed";
    }
}

void QuotaFleet::resetCounts()
{
    for (Tenant &tenant : tenants_) {
        tenant.arrived = 0;
        tenant.refused = 0;
    }
}

double QuotaFleet::seconds() const noexcept
{
    return std::chrono::duration<double>(now_ - TimePoint(std::chrono::hours(1))).count();
}

std::vector<std::size_t> QuotaFleet::range(std::size_t first, std::size_t last)
{
    std::vector<std::size_t> vms;
    for (std::size_t vm = first; vm < last; ++vm) {
        vms.push_back(vm);
    }
    return vms;
}

} // namespace sassafrasvane

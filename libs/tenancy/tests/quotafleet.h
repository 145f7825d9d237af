#pragma once

#include "base/random.h"
#include "tenancy/tenantquotas.h"

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// \file
/// Entry VMs that share tenants' quotas, their callers and the network between them, in virtual time.

namespace sassafrasvane
{

/// A fleet of VMs with one TenantQuotas each. Checks the sum over all VMs in every window.
///
/// \code
/// QuotaFleet fleet({.vms = 8, .advertised = 8}, seed);
/// const std::size_t tenant = fleet.addTenant({"a", 20, 20});
/// fleet.setLoad(tenant, 12.5, {0, 1, 2});
/// fleet.run(30);
/// BOOST_TEST(fleet.violation() == "");
/// \endcode
class QuotaFleet
{
public:
    struct Parameters {
        std::size_t vms = 8;
        std::size_t advertised = 8;
        /// Limits of the one-way delay between two VMs.
        double minDelayMs = 1;
        double maxDelayMs = 20;
        double loss = 0;
        QuotaTolerance tolerance{std::chrono::seconds(5), 0.25, 20};
    };

    QuotaFleet(const Parameters &parameters, std::uint64_t seed);

    /// Adds a tenant at all VMs. \return its number.
    std::size_t addTenant(const TenantQuota &quota);

    /// Replaces the quota; each VM learns of it within 300 ms.
    void setQuota(std::size_t tenant, double requestsPerSecond, double burst);

    /// Requests of the tenant arrive at random at \p perSecond, each at one of \p vms.
    void setLoad(std::size_t tenant, double perSecond, std::vector<std::size_t> vms);

    /// Requests that arrive at one moment at each of \p vms.
    void burst(std::size_t tenant, std::size_t requests, const std::vector<std::size_t> &vms);

    /// Splits the network: VMs of different groups do not reach each other.
    void setGroup(std::size_t vm, std::size_t group) { vms_[vm].group = group; }
    void heal();
    void setLoss(double loss) noexcept { parameters_.loss = loss; }
    void restart(std::size_t vm);
    /// Suspends the VM. What arrives meanwhile is handled afterwards.
    void suspend(std::size_t vm, double seconds);

    void run(double seconds);

    /// The first window in which too many requests were admitted; empty if there is none.
    const std::string &violation() const noexcept { return violation_; }
    std::size_t arrived(std::size_t tenant) const { return tenants_[tenant].arrived; }
    std::size_t refused(std::size_t tenant) const { return tenants_[tenant].refused; }
    /// Starts the counts of arrived and refused requests again.
    void resetCounts();
    std::size_t messages() const noexcept { return messages_; }
    std::size_t vmCount() const noexcept { return vms_.size(); }
    /// Seconds since the start.
    double seconds() const noexcept;
    /// The VMs from \p first to \p last, the latter excluded.
    static std::vector<std::size_t> range(std::size_t first, std::size_t last);

private:
    struct Message {
        std::size_t from = 0;
        std::size_t to = 0;
        std::shared_ptr<const QuotaReport> report;
    };

    struct Vm {
        std::unique_ptr<TenantQuotas> quotas;
        std::size_t group = 0;
        TimePoint startedAt;
        TimePoint awakeAt;
        TimePoint readsQuotasAt;
        std::deque<Message> messages;
        std::deque<std::size_t> requests;
        std::vector<TimePoint> reachedAt;
        std::map<std::size_t, TimePoint> advertisedAt;
    };

    struct Tenant {
        TenantQuota quota;
        double perSecond = 0;
        std::vector<std::size_t> vms;
        std::deque<TimePoint> admitted;
        /// What the quota allows in a window, by the time from which it did.
        std::deque<std::pair<TimePoint, double>> allowed;
        std::size_t arrived = 0;
        std::size_t refused = 0;
    };

    void step();
    void start(std::size_t vm);
    bool isAwake(const Vm &vm) const noexcept { return now_ >= vm.awakeAt; }
    bool areConnected(const Vm &first, const Vm &second) const noexcept;
    void updateParticipants(std::size_t vm);
    void sendReports(std::size_t vm);
    void deliver();
    void arrive();
    void request(std::size_t vm, std::size_t tenant);
    void check(std::size_t tenant);
    void readQuotas(Vm &vm);
    double allowance(const TenantQuota &quota) const noexcept;

    Parameters parameters_;
    Random random_;
    TimePoint now_{std::chrono::hours(1)};
    std::size_t steps_ = 0;
    std::vector<Vm> vms_;
    std::vector<Tenant> tenants_;
    std::multimap<TimePoint, Message> network_;
    std::string violation_;
    std::size_t messages_ = 0;
};

} // namespace sassafrasvane

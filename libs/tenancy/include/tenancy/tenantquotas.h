#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/time.h"
#include "tenancy/quotareport.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Quotas of tenants over all entry VMs together.

namespace sassafrasvane
{

/// Quota of one tenant over all VMs.
struct TenantQuota {
    std::string tenant;
    /// 0: no limit.
    double requestsPerSecond = 0;
    double burst = 0;
};

/// In no window may more than (R * window + B) * (1 + overage) + slack requests of a tenant be admitted by all VMs.
struct QuotaTolerance {
    Duration window = std::chrono::seconds(5);
    double overage = 0;
    double slack = 0;
};

/// What a decision rests on.
enum class QuotaBasis : std::uint8_t {
    Unlimited, ///< The tenant has no quota.
    Shared,    ///< All participants are heard.
    Partial,   ///< Some participants are not heard; a part of the quota applies.
    Alone,     ///< No participant is heard.
};

/// \return the stable lower-case name of \p basis, for log lines and metrics.
const char *name(QuotaBasis basis) noexcept;

/// The answer to one request of a tenant.
struct QuotaDecision {
    bool isAdmitted = true;
    /// When the caller should come back; 0 if the request is admitted.
    Duration retryAfter{0};
    /// Remaining part of the tenant's bucket, from 0 to 1.
    double left = 1;
    QuotaBasis basis = QuotaBasis::Unlimited;
    /// Age of what is known of the other VMs' admissions.
    Duration age{0};
};

/// State of one tenant with a quota, for metrics.
struct TenantUsage {
    std::string tenant;
    /// Tokens in this VM's view of the shared bucket; negative if overdrawn.
    double level = 0;
    /// Tokens that the bucket can hold when all participants are heard.
    double capacity = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    QuotaBasis basis = QuotaBasis::Unlimited;
};

/// One VM's view of the token buckets that all VMs share, one for each tenant with a quota.
///
/// The VMs that carry traffic, the participants, report to each other what they admit. Between two reports each uses
/// no more than its share of what is left, and on a partition each side uses its part of the quota, so that the sum
/// over all VMs stays within the tolerance. docs/design/tenants.md has the reasons.
///
/// \code
/// TenantQuotas quotas = TenantQuotas::Builder().self(daemon).tolerance(tolerance).seed(seed).build(now);
/// quotas.setQuotas(now, configured);
/// const QuotaDecision decision = quotas.admit(now, tenant);
/// for (const QuotaReport &report : quotas.dueReports(now)) { ... send it to each of quotas.recipients(now) ... }
/// \endcode
class TenantQuotas
{
public:
    class Builder;

    /// Maximum number of tenants with a quota. Further tenants have no limit.
    static constexpr std::size_t maxTenants() noexcept { return 16'384; }
    /// Maximum number of other VMs whose reports are kept.
    static constexpr std::size_t maxPeers() noexcept { return 512; }

    TenantQuotas(TenantQuotas &&other) noexcept;
    TenantQuotas &operator=(TenantQuotas &&other) noexcept;
    ~TenantQuotas();

    /// Replaces the quotas. A lowered quota caps its bucket at once. State of other tenants is dropped.
    void setQuotas(TimePoint now, std::span<const TenantQuota> quotas);

    /// Replaces the tolerance, after a reload of the settings.
    void setTolerance(TimePoint now, const QuotaTolerance &tolerance);

    /// Sets the VMs that share the quotas: those advertised to callers now or recently. May include this VM.
    void setParticipants(TimePoint now, std::span<const DaemonId> participants);

    /// Decides on a request of \p tenant, and takes a token if it is admitted. Allocates nothing.
    QuotaDecision admit(TimePoint now, std::string_view tenant);

    /// Gives back the token of an admitted request that was not run.
    void refund(TimePoint now, std::string_view tenant);

    /// Takes a report of another VM.
    void onReport(TimePoint now, DaemonId peer, const QuotaReport &report);

    /// The reports to send now, each to all recipients(). Must be called every 50 ms or so.
    std::vector<QuotaReport> dueReports(TimePoint now);

    /// The VMs to report to: the other participants, and those that have sent a report lately.
    std::vector<DaemonId> recipients(TimePoint now) const;

    /// The state of all tenants with a quota.
    std::vector<TenantUsage> usage(TimePoint now) const;

private:
    class Implementation;
    explicit TenantQuotas(std::unique_ptr<Implementation> implementation) noexcept;
    std::unique_ptr<Implementation> implementation_;
};

/// Builds a TenantQuotas.
class TenantQuotas::Builder
{
public:
    /// Sets this VM's id.
    Builder &self(DaemonId daemon) noexcept;

    /// Sets how far the sum over all VMs may exceed the quota.
    Builder &tolerance(const QuotaTolerance &tolerance) noexcept;

    /// Sets the seed of the jitter and of the run number, which must differ between two starts of a process.
    Builder &seed(std::uint64_t seed) noexcept;

    TenantQuotas build(TimePoint now) const;

private:
    DaemonId self_;
    QuotaTolerance tolerance_;
    std::uint64_t seed_ = 0;
};

} // namespace sassafrasvane

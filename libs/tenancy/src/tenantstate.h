#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "sharedbucket.h"
#include "tenancy/quotareport.h"
#include "tenancy/tenantquotas.h"

#include <cstdint>
#include <vector>

/// \file
/// State of one tenant with a quota.

namespace sassafrasvane::detail
{

/// What another VM has reported of a tenant.
struct PeerCount {
    DaemonId peer;
    std::uint64_t run = 0;
    std::uint64_t count = 0;
    /// Requests per second that arrive at the peer.
    double demand = 0;
    /// Requests per second that arrive at all VMs, as the peer knows.
    double totalDemand = 0;
    TimePoint reportedAt;
};

/// State of one tenant.
struct TenantState {
    TenantState(TimePoint now, TenantQuota configured) : quota(std::move(configured)), bucket(now) { }

    TenantQuota quota;
    std::uint64_t hash = 0;
    SharedBucket bucket;
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0;
    /// Admitted requests less those refunded.
    std::uint64_t count = 0;

    /// Arrivals per second, as a mean that decays.
    double demand = 0;
    TimePoint demandAt;
    /// The demand of this VM that the others have been told.
    double reportedDemand = 0;
    double demandOfOthers = 0;
    /// Largest sum over all VMs that another VM has reported.
    double totalDemand = 0;
    TimePoint demandOfOthersAt;

    /// Admissions in the present and in the former round; the other VMs may not know them yet.
    std::uint64_t round = 0;
    double unconfirmed = 0;
    double formerUnconfirmed = 0;

    TimePoint changedAt;
    TimePoint reportedAt;
    std::vector<PeerCount> peers;
};

} // namespace sassafrasvane::detail

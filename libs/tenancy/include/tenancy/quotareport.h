#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

/// \file
/// What entry VMs tell each other about the requests of tenants.

namespace sassafrasvane
{

/// Maximum number of entries in one QuotaReport. With the largest numbers they still fit a datagram of 1,200 bytes.
constexpr std::size_t maxEntriesPerQuotaReport = 32;

/// Largest value of QuotaReport::partPermille: the whole quota.
constexpr std::uint32_t wholeQuotaPermille = 1'000;

/// What one VM has admitted of one tenant.
struct QuotaEntry {
    /// Hash of the tenant's name (hashBytes()).
    std::uint64_t tenant = 0;
    /// Requests admitted since the start of the process, less those refunded.
    std::uint64_t count = 0;
    /// Requests that arrive at the VM, admitted or not, in hundredths per second.
    std::uint32_t demandHundredths = 0;
    /// The same over all VMs that the sender knows of. VMs that are no participants hear only of each other by it.
    std::uint32_t totalDemandHundredths = 0;
    /// The sender's view of the shared bucket, in hundredths of a token; 0 if it is overdrawn.
    std::uint32_t levelHundredths = 0;

    bool operator==(const QuotaEntry &) const = default;
};

/// One report of a VM to the others. Counts are cumulative, so that a later report makes up for a lost one.
struct QuotaReport {
    /// Random number of the process, which tells apart the counts before and after a restart.
    std::uint64_t run = 0;
    /// Number of the report within the run; rises.
    std::uint64_t sequence = 0;
    /// The part of each quota that the sender holds to be usable on its side of a partition. 0 if the sender has not
    /// yet heard more than half of the participants.
    std::uint32_t partPermille = 0;
    /// Number of participants that the sender hears, itself included; 0 if it is none itself.
    std::uint32_t participants = 0;
    /// True if the sender has just started or was isolated, and needs the levels of all tenants.
    bool needsLevels = false;
    /// At most maxEntriesPerQuotaReport.
    std::vector<QuotaEntry> entries;

    bool operator==(const QuotaReport &) const = default;
};

} // namespace sassafrasvane

#pragma once

#include "quotafleet.h"
#include "worldcommands.h"

#include <optional>
#include <string>
#include <vector>

/// \file
/// A fleet of entry VMs that share the quota of one tenant, with faults in any order, in virtual time.

namespace sassafrasvane
{

/// VMs that are restarted, suspended and cut off while the tenant sends more than its quota or moves.
class QuotaWorld
{
public:
    QuotaWorld();

    /// All that can happen.
    static const std::vector<WorldAction<QuotaWorld>> &actions();

    /// Connects all VMs again.
    void finish();

    /// The first window in which the VMs admitted too much, or nothing.
    std::optional<std::string> failure() const;

private:
    void pass(std::size_t tenths, std::size_t);
    void burst(std::size_t vm, std::size_t requests);
    void burstEverywhere(std::size_t requests, std::size_t);
    void load(std::size_t rate, std::size_t vms);
    void cutOff(std::size_t vm, std::size_t group);
    void heal(std::size_t, std::size_t);
    void restart(std::size_t vm, std::size_t);
    void suspend(std::size_t vm, std::size_t tenths);
    void lose(std::size_t percent, std::size_t);
    void setQuota(std::size_t rate, std::size_t burst);

    QuotaFleet fleet_;
    std::size_t tenant_;
};

} // namespace sassafrasvane

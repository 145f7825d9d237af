#include "quotaworld.h"

namespace sassafrasvane
{

namespace
{

constexpr std::size_t vmCount = 6;
constexpr std::size_t advertisedCount = 4;
constexpr double usualRate = 20;
constexpr double usualBurst = 10;
constexpr double tenth = 0.1;

QuotaFleet::Parameters parameters()
{
    QuotaFleet::Parameters parameters;
    parameters.vms = vmCount;
    parameters.advertised = advertisedCount;
    return parameters;
}

} // namespace

QuotaWorld::QuotaWorld() : fleet_(parameters(), 1), tenant_(fleet_.addTenant({"a", usualRate, usualBurst}))
{
    fleet_.setLoad(tenant_, usualRate, QuotaFleet::range(0, advertisedCount));
    fleet_.run(1);
}

const std::vector<WorldAction<QuotaWorld>> &QuotaWorld::actions()
{
    static const std::vector<WorldAction<QuotaWorld>> all{
        {"pass", 12, &QuotaWorld::pass},
        {"burst", 3, &QuotaWorld::burst},
        {"burstEverywhere", 2, &QuotaWorld::burstEverywhere},
        {"load", 2, &QuotaWorld::load},
        {"cutOff", 2, &QuotaWorld::cutOff},
        {"heal", 1, &QuotaWorld::heal},
        {"restart", 1, &QuotaWorld::restart},
        {"suspend", 1, &QuotaWorld::suspend},
        {"lose", 1, &QuotaWorld::lose},
        {"setQuota", 1, &QuotaWorld::setQuota},
    };
    return all;
}

void QuotaWorld::finish()
{
    fleet_.heal();
    fleet_.run(1);
}

std::optional<std::string> QuotaWorld::failure() const
{
    return fleet_.violation().empty() ? std::nullopt : std::optional<std::string>(fleet_.violation());
}

void QuotaWorld::pass(std::size_t tenths, std::size_t)
{
    constexpr std::size_t maxTenths = 8;
    fleet_.run(static_cast<double>(1 + tenths % maxTenths) * tenth);
}

void QuotaWorld::burst(std::size_t vm, std::size_t requests)
{
    constexpr std::size_t maxRequests = 200;
    fleet_.burst(tenant_, requests % maxRequests, {vm % vmCount});
}

void QuotaWorld::burstEverywhere(std::size_t requests, std::size_t)
{
    constexpr std::size_t maxRequests = 60;
    fleet_.burst(tenant_, requests % maxRequests, QuotaFleet::range(0, vmCount));
}

void QuotaWorld::load(std::size_t rate, std::size_t vms)
{
    constexpr std::size_t maxTimes = 9;
    fleet_.setLoad(
        tenant_, usualRate * static_cast<double>(rate % maxTimes), QuotaFleet::range(vms % vmCount, vmCount));
}

void QuotaWorld::cutOff(std::size_t vm, std::size_t group)
{
    constexpr std::size_t groups = 3;
    fleet_.setGroup(vm % vmCount, group % groups);
}

void QuotaWorld::heal(std::size_t, std::size_t)
{
    fleet_.heal();
}

void QuotaWorld::restart(std::size_t vm, std::size_t)
{
    fleet_.restart(vm % vmCount);
}

void QuotaWorld::suspend(std::size_t vm, std::size_t tenths)
{
    constexpr std::size_t maxTenths = 50;
    fleet_.suspend(vm % vmCount, static_cast<double>(tenths % maxTenths) * tenth);
}

void QuotaWorld::lose(std::size_t percent, std::size_t)
{
    constexpr std::size_t maxPercent = 40;
    constexpr double hundred = 100;
    fleet_.setLoss(static_cast<double>(percent % maxPercent) / hundred);
}

void QuotaWorld::setQuota(std::size_t rate, std::size_t burst)
{
    constexpr std::size_t maxRate = 40;
    constexpr std::size_t maxBurst = 30;
    fleet_.setQuota(tenant_, static_cast<double>(1 + rate % maxRate), static_cast<double>(1 + burst % maxBurst));
}

} // namespace sassafrasvane

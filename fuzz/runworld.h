#pragma once

#include "onceworld.h"
#include "worldcommands.h"

#include <vector>

/// \file
/// Non-idempotent requests among several daemons, with an oracle that counts only runs and answers.

namespace sassafrasvane
{

/// Tickets, owners' tables and forwarding under lost, late and doubled copies, sleep, restarts and partitions.
class RunWorld
{
public:
    /// \param watched the property whose failure failure() reports. \param limits bounds of tickets and tables.
    RunWorld(Property watched, const OnceWorldLimits &limits);

    /// All that can happen.
    static const std::vector<WorldAction<RunWorld>> &actions();

    /// Heals all faults and lets all messages arrive.
    void finish();

    /// The first failure of the watched property, or nothing.
    std::optional<std::string> failure();

private:
    void request(std::size_t address, std::size_t entry);
    void resend(std::size_t address, std::size_t caller);
    void deliver(std::size_t message, std::size_t);
    void deliverTwice(std::size_t message, std::size_t);
    void lose(std::size_t message, std::size_t);
    void refuse(std::size_t message, std::size_t);
    void cut(std::size_t message, std::size_t);
    void passTime(std::size_t choice, std::size_t);
    void runTimers(std::size_t life, std::size_t);
    void kill(std::size_t address, std::size_t);
    void replace(std::size_t address, std::size_t incarnation);
    void sleep(std::size_t life, std::size_t);
    void wake(std::size_t life, std::size_t);
    void partition(std::size_t boundary, std::size_t);
    void heal(std::size_t, std::size_t);
    std::optional<std::size_t> messageAt(std::size_t choice) const;
    void judge();

    Property watched_;
    Verdicts verdicts_;
    OnceWorld world_;
};

} // namespace sassafrasvane

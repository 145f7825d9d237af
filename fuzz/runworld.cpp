#include "runworld.h"

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t daemons = 3;
/// Around the deadline of a request, the lifetime of a ticket and the time for which records are kept.
constexpr Duration steps[] = {1ms, 100ms, 990ms, 1s, 9s, 10s, 15s, 30s, 300s};

} // namespace

RunWorld::RunWorld(Property watched, const OnceWorldLimits &limits) : watched_(watched), world_(daemons, limits)
{
}

const std::vector<WorldAction<RunWorld>> &RunWorld::actions()
{
    static const std::vector<WorldAction<RunWorld>> list{
        {"request", 4, &RunWorld::request},
        {"resend", 8, &RunWorld::resend},
        {"deliver", 30, &RunWorld::deliver},
        {"deliverTwice", 6, &RunWorld::deliverTwice},
        {"lose", 3, &RunWorld::lose},
        {"refuse", 4, &RunWorld::refuse},
        {"cut", 3, &RunWorld::cut},
        {"passTime", 6, &RunWorld::passTime},
        {"runTimers", 6, &RunWorld::runTimers},
        {"kill", 1, &RunWorld::kill},
        {"replace", 2, &RunWorld::replace},
        {"sleep", 3, &RunWorld::sleep},
        {"wake", 4, &RunWorld::wake},
        {"partition", 2, &RunWorld::partition},
        {"heal", 3, &RunWorld::heal},
    };
    return list;
}

void RunWorld::request(std::size_t address, std::size_t entry)
{
    const std::optional<std::size_t> caller = world_.addCaller(address % world_.addresses());
    if (caller) {
        world_.sendCopy(*caller, entry % world_.addresses(), entry % 2 == 0);
    }
}

void RunWorld::resend(std::size_t address, std::size_t caller)
{
    if (!world_.callers().empty()) {
        world_.sendCopy(caller % world_.callers().size(), address % world_.addresses(), true);
    }
}

void RunWorld::deliver(std::size_t message, std::size_t)
{
    if (const std::optional<std::size_t> index = messageAt(message)) {
        world_.deliver(*index, false);
    }
}

void RunWorld::deliverTwice(std::size_t message, std::size_t)
{
    if (const std::optional<std::size_t> index = messageAt(message)) {
        world_.deliver(*index, true);
    }
}

void RunWorld::lose(std::size_t message, std::size_t)
{
    if (const std::optional<std::size_t> index = messageAt(message)) {
        world_.lose(*index);
    }
}

void RunWorld::refuse(std::size_t message, std::size_t)
{
    if (const std::optional<std::size_t> index = messageAt(message)) {
        world_.refuse(*index);
    }
}

void RunWorld::cut(std::size_t message, std::size_t)
{
    if (const std::optional<std::size_t> index = messageAt(message)) {
        world_.cut(*index);
    }
}

void RunWorld::passTime(std::size_t choice, std::size_t)
{
    world_.advance(steps[choice % std::size(steps)]);
}

void RunWorld::runTimers(std::size_t life, std::size_t)
{
    world_.tick(life % world_.lives().size());
}

void RunWorld::kill(std::size_t address, std::size_t)
{
    world_.kill(address % world_.addresses());
}

// A wrong wall clock may give the same or a lower incarnation.
void RunWorld::replace(std::size_t address, std::size_t incarnation)
{
    world_.replace(address % world_.addresses(), Incarnation{1 + incarnation % 3});
}

void RunWorld::sleep(std::size_t life, std::size_t)
{
    world_.setAsleep(life % world_.lives().size(), true);
}

void RunWorld::wake(std::size_t life, std::size_t)
{
    world_.setAsleep(life % world_.lives().size(), false);
}

void RunWorld::partition(std::size_t boundary, std::size_t)
{
    world_.setPartition(1 + boundary % (daemons - 1));
}

void RunWorld::heal(std::size_t, std::size_t)
{
    world_.setPartition(0);
}

std::optional<std::size_t> RunWorld::messageAt(std::size_t choice) const
{
    if (world_.messages().empty()) {
        return std::nullopt;
    }
    return choice % world_.messages().size();
}

void RunWorld::finish()
{
    world_.setPartition(0);
    for (std::size_t life = 0; life < world_.lives().size(); ++life) {
        world_.setAsleep(life, false);
    }
    while (!world_.messages().empty()) {
        world_.deliver(0, false);
    }
}

std::optional<std::string> RunWorld::failure()
{
    judge();
    return verdicts_.failure(watched_);
}

void RunWorld::judge()
{
    for (std::size_t i = 0; i < world_.callers().size(); ++i) {
        const OnceCaller &caller = world_.callers()[i];
        const std::string name = "request " + std::to_string(i);
        verdicts_.require(Property::NonIdempotentRunsAtMostOnce,
                          caller.runs <= 1,
                          name + " ran " + std::to_string(caller.runs) + " times");
        verdicts_.require(Property::NotRunMeansNotRun,
                          !caller.wasTold(Ran::No) || caller.runs == 0,
                          name + " ran and its caller was told that it did not");
        for (const OnceAnswer &answer : caller.answers) {
            const bool isOwn = answer.ran != Ran::Yes || answer.body == nullptr
                || (caller.runs > 0 && *answer.body == "answer to " + std::to_string(i));
            verdicts_.require(
                Property::EachCallerGetsItsOwnWholeAnswer, isOwn, name + " got an answer that is not its own");
        }
    }
}

} // namespace sassafrasvane

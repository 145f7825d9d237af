#include "onceworld.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>
#include <rapidcheck/state.h>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t daemons = 3;

/// Nothing is foreseen; the world itself holds the promises.
struct NoModel {
};

using WorldCommand = rc::state::Command<NoModel, OnceWorld>;

/// A step of the world with three random numbers, of which each kind takes what it needs.
struct Step : WorldCommand {
    enum class Kind {
        AddCaller,
        SendCopy,
        Deliver,
        Double,
        Lose,
        Refuse,
        Cut,
        Advance,
        Tick,
        Kill,
        Replace,
        Sleep,
        Wake,
        Partition,
        Heal,
    };

    Kind kind = *rc::gen::weightedElement<Kind>({{4, Kind::AddCaller},
                                                 {8, Kind::SendCopy},
                                                 {30, Kind::Deliver},
                                                 {6, Kind::Double},
                                                 {3, Kind::Lose},
                                                 {4, Kind::Refuse},
                                                 {3, Kind::Cut},
                                                 {6, Kind::Advance},
                                                 {6, Kind::Tick},
                                                 {1, Kind::Kill},
                                                 {2, Kind::Replace},
                                                 {3, Kind::Sleep},
                                                 {4, Kind::Wake},
                                                 {2, Kind::Partition},
                                                 {3, Kind::Heal}});
    std::size_t first = *rc::gen::inRange<std::size_t>(0, 1'000);
    std::size_t second = *rc::gen::inRange<std::size_t>(0, 1'000);

    void run(const NoModel &, OnceWorld &world) const override
    {
        takeStep(world);
        const std::optional<std::string> fault = world.fault();
        if (fault) {
            RC_FAIL(*fault);
        }
    }

    void takeStep(OnceWorld &world) const
    {
        const std::size_t address = first % world.addresses();
        const std::size_t life = first % world.lives().size();
        switch (kind) {
        case Kind::AddCaller: {
            const std::optional<std::size_t> caller = world.addCaller(address);
            if (caller) {
                world.sendCopy(*caller, second % world.addresses(), second % 2 == 0);
            }
            return;
        }
        case Kind::SendCopy:
            if (!world.callers().empty()) {
                world.sendCopy(second % world.callers().size(), address, true);
            }
            return;
        case Kind::Advance:
            world.advance(advances[first % advances.size()]);
            return;
        case Kind::Tick:
            world.tick(life);
            return;
        case Kind::Kill:
            world.kill(address);
            return;
        case Kind::Replace:
            // A wrong wall clock may give the same or a lower incarnation.
            world.replace(address, Incarnation{1 + second % 3});
            return;
        case Kind::Sleep:
        case Kind::Wake:
            world.setAsleep(life, kind == Kind::Sleep);
            return;
        case Kind::Partition:
        case Kind::Heal:
            world.setPartition(kind == Kind::Partition ? 1 + second % 2 : 0);
            return;
        default:
            handleMessage(world);
        }
    }

    void handleMessage(OnceWorld &world) const
    {
        if (world.messages().empty()) {
            return;
        }
        const std::size_t index = first % world.messages().size();
        switch (kind) {
        case Kind::Deliver:
            world.deliver(index, false);
            return;
        case Kind::Double:
            world.deliver(index, true);
            return;
        case Kind::Lose:
            world.lose(index);
            return;
        case Kind::Refuse:
            world.refuse(index);
            return;
        default:
            world.cut(index);
        }
    }

    void show(std::ostream &out) const override
    {
        out << "step " << static_cast<int>(kind) << ' ' << first << ' ' << second;
    }

    /// Around the deadline, the lifetime of a ticket and the time that records are kept.
    static inline const std::vector<Duration> advances{1ms, 100ms, 990ms, 1s, 9s, 10s, 15s, 30s};
};

void checkWorld(const OnceWorldLimits &limits)
{
    OnceWorld world(daemons, limits);
    rc::state::check(NoModel(), world, rc::state::gen::execOneOfWithArgs<Step>());
}

} // namespace

RC_BOOST_PROP(everyRequestRunsAtMostOnceAndIsReportedTruly, ())
{
    OnceWorldLimits limits;
    limits.table.keepAfterExpiry = 15s;
    checkWorld(limits);
}

RC_BOOST_PROP(promisesHoldWhenTheTableIsFull, ())
{
    OnceWorldLimits limits;
    limits.table.keepAfterExpiry = 15s;
    limits.table.largestAnswer = 100;
    limits.table.answerBytes = 150;
    limits.table.refusals = 0;
    limits.table.waiters = 2;
    checkWorld(limits);
}

} // namespace sassafrasvane

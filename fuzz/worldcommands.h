#pragma once

#include "verdicts.h"

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <iostream>
#include <vector>

/// \file
/// Stateful fuzzing of a world: RapidCheck chooses the actions, the world carries them out and checks them.

namespace sassafrasvane
{

/// One thing that can happen in a world.
template<typename World>
struct WorldAction {
    const char *name;
    /// How often it is chosen, compared with the others.
    std::size_t weight;
    /// Takes two numbers that choose what it happens to.
    void (World::*act)(std::size_t first, std::size_t second);
};

/// RapidCheck's view of a world: all state is in the world itself, and every action is possible at any time.
struct NoModel {
};

/// An action with its numbers.
template<typename World>
class WorldCommand : public rc::state::Command<NoModel, World>
{
public:
    WorldCommand()
        : action_(*rc::gen::elementOf(weighted()))
        , first_(*rc::gen::inRange<std::size_t>(0, choices))
        , second_(*rc::gen::inRange<std::size_t>(0, choices))
    {
    }

    void run(const NoModel &, World &world) const override
    {
        (world.*action_->act)(first_, second_);
        if (const std::optional<std::string> failure = world.failure()) {
            RC_FAIL(*failure);
        }
    }

    void show(std::ostream &stream) const override
    {
        stream << action_->name << "(" << first_ << ", " << second_ << ")";
    }

private:
    static constexpr std::size_t choices = 1000;

    static const std::vector<const WorldAction<World> *> &weighted()
    {
        static const std::vector<const WorldAction<World> *> list = [] {
            std::vector<const WorldAction<World> *> actions;
            for (const WorldAction<World> &action : World::actions()) {
                actions.insert(actions.end(), action.weight, &action);
            }
            return actions;
        }();
        return list;
    }

    const WorldAction<World> *action_;
    std::size_t first_;
    std::size_t second_;
};

/// Runs \p world through a sequence of actions and then to its end; fails if the watched property does.
template<typename World>
void fuzzWorld(World &world)
{
    rc::state::check(
        NoModel(), world, [](const NoModel &) { return rc::state::gen::execOneOfWithArgs<WorldCommand<World>>()(); });
    world.finish();
    if (const std::optional<std::string> failure = world.failure()) {
        RC_FAIL(*failure);
    }
}

} // namespace sassafrasvane

#pragma once

#include "admission/classcontroller.h"
#include "admission/extraloadbudget.h"
#include "settings/published.h"

#include <string>

/// \file
/// What the entry task keeps of a class of work.

namespace sassafrasvane::detail
{

/// The controller and the budget of one class. Kept by the class's name, so that both outlive a new configuration.
struct ClassRuntime {
    explicit ClassRuntime(const RequestClass &cls) : controller(cls.target, cls.givesWay), budget(cls.target.extraLoad)
    {
    }

    /// Takes new targets.
    void setTarget(const RequestClass &cls)
    {
        controller.setTarget(cls.target, cls.givesWay);
        budget.setTarget(cls.target.extraLoad);
    }

    /// Which target gives way at present and why, or empty.
    std::string conflictText() const
    {
        const std::optional<TargetConflict> &conflict = controller.conflict();
        return conflict ? std::string(name(conflict->missedTarget)) + ": " + name(conflict->cause) : std::string();
    }

    ClassController controller;
    ExtraLoadBudget budget;
};

} // namespace sassafrasvane::detail

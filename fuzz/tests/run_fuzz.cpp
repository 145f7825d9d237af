#include "runworld.h"

#include <rapidcheck/boost_test.h>

namespace sassafrasvane
{

namespace
{

/// A table that runs one request at a time, so that refusals, the fence and forgetting come into play.
OnceWorldLimits smallLimits()
{
    OnceWorldLimits limits;
    limits.table.refusals = 0;
    limits.table.waiters = 2;
    limits.table.largestAnswer = 100;
    limits.table.answerBytes = 150;
    limits.table.keepAfterExpiry = std::chrono::seconds(20);
    return limits;
}

} // namespace

RC_BOOST_PROP(nonIdempotentRunsAtMostOnce, ())
{
    RunWorld world(Property::NonIdempotentRunsAtMostOnce, OnceWorldLimits());
    fuzzWorld(world);
}

RC_BOOST_PROP(nonIdempotentRunsAtMostOnceWithAFullTable, ())
{
    RunWorld world(Property::NonIdempotentRunsAtMostOnce, smallLimits());
    fuzzWorld(world);
}

RC_BOOST_PROP(notRunMeansNotRunOfNonIdempotent, ())
{
    RunWorld world(Property::NotRunMeansNotRun, OnceWorldLimits());
    fuzzWorld(world);
}

RC_BOOST_PROP(notRunMeansNotRunWithAFullTable, ())
{
    RunWorld world(Property::NotRunMeansNotRun, smallLimits());
    fuzzWorld(world);
}

RC_BOOST_PROP(eachCallerGetsItsOwnOutcome, ())
{
    RunWorld world(Property::EachCallerGetsItsOwnWholeAnswer, OnceWorldLimits());
    fuzzWorld(world);
}

} // namespace sassafrasvane

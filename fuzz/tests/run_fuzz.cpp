#include "runworld.h"

#include <rapidcheck/boost_test.h>

namespace sassafrasvane
{

namespace
{

/// A table that runs one request at a time, so that refusals, the fence and forgetting come into play.
OnceWorldLimits smallLimits(std::size_t refusals)
{
    OnceWorldLimits limits;
    limits.table.refusals = refusals;
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
    RunWorld world(Property::NonIdempotentRunsAtMostOnce, smallLimits(0));
    fuzzWorld(world);
}

RC_BOOST_PROP(notRunMeansNotRunOfNonIdempotent, ())
{
    RunWorld world(Property::NotRunMeansNotRun, OnceWorldLimits());
    fuzzWorld(world);
}

RC_BOOST_PROP(notRunMeansNotRunWithAFullTable, ())
{
    RunWorld world(Property::NotRunMeansNotRun, smallLimits(0));
    fuzzWorld(world);
}

RC_BOOST_PROP(notRunMeansNotRunWithOneRefusalKept, ())
{
    RunWorld world(Property::NotRunMeansNotRun, smallLimits(1));
    fuzzWorld(world);
}

RC_BOOST_PROP(eachCallerGetsItsOwnOutcome, ())
{
    RunWorld world(Property::EachCallerGetsItsOwnWholeAnswer, OnceWorldLimits());
    fuzzWorld(world);
}

} // namespace sassafrasvane

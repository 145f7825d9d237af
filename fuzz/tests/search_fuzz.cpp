#include "searchworld.h"

#include <rapidcheck/boost_test.h>

namespace sassafrasvane
{

RC_BOOST_PROP(everyAnswerComesFromOneSnapshot, ())
{
    SearchWorld world(Property::EveryAnswerComesFromOneSnapshot);
    fuzzWorld(world);
}

RC_BOOST_PROP(reportedCoverageIsTheCoverageItHas, ())
{
    SearchWorld world(Property::ReportedCoverageIsTheCoverageItHas);
    fuzzWorld(world);
}

RC_BOOST_PROP(eachCallerGetsItsOwnWholeAnswer, ())
{
    SearchWorld world(Property::EachCallerGetsItsOwnWholeAnswer);
    fuzzWorld(world);
}

RC_BOOST_PROP(notRunMeansNotRun, ())
{
    SearchWorld world(Property::NotRunMeansNotRun);
    fuzzWorld(world);
}

RC_BOOST_PROP(coldServerNeverOverloaded, ())
{
    SearchWorld world(Property::ColdServerNeverOverloaded);
    fuzzWorld(world);
}

RC_BOOST_PROP(domainTakenOutGetsNoNewWork, ())
{
    SearchWorld world(Property::DomainTakenOutGetsNoNewWork);
    fuzzWorld(world);
}

RC_BOOST_PROP(leavingServerGetsNoNewWork, ())
{
    SearchWorld world(Property::LeavingServerGetsNoNewWork);
    fuzzWorld(world);
}

} // namespace sassafrasvane

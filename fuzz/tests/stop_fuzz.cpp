#include "stopworld.h"

#include <rapidcheck/boost_test.h>

namespace sassafrasvane
{

RC_BOOST_PROP(plannedStopCutsOffNothing, ())
{
    StopWorld world;
    fuzzWorld(world);
}

} // namespace sassafrasvane

#include "limitworld.h"

#include <rapidcheck/boost_test.h>

namespace sassafrasvane
{

RC_BOOST_PROP(searcherGetsNoMoreThanItStates, ())
{
    LimitWorld world;
    fuzzWorld(world);
}

} // namespace sassafrasvane

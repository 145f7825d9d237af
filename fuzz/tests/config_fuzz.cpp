#include "configworld.h"

#include <rapidcheck/boost_test.h>

namespace sassafrasvane
{

RC_BOOST_PROP(acceptedConfigurationNeverReverts, ())
{
    ConfigWorld world;
    fuzzWorld(world);
}

} // namespace sassafrasvane

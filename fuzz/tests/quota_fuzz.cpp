#include "quotaworld.h"

#include <rapidcheck/boost_test.h>

namespace sassafrasvane
{

RC_BOOST_PROP(allVmsTogetherAdmitNoMoreThanTheQuota, ())
{
    QuotaWorld world;
    fuzzWorld(world);
}

} // namespace sassafrasvane

#include "historyworld.h"

#include <rapidcheck/boost_test.h>

namespace sassafrasvane
{

RC_BOOST_PROP(storeHistoryIsFollowed, ())
{
    HistoryWorld world;
    fuzzWorld(world);
}

} // namespace sassafrasvane

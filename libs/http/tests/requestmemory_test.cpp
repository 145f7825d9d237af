#include "http/requestmemory.h"

#include <boost/test/unit_test.hpp>

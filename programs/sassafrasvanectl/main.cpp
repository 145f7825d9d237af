/// \file
/// The operators' command line.

#include "operators/ctl.h"

#include <cstdlib>
#include <iostream>
#include <thread>

int main(int argc, char **argv)
{
    using namespace sassafrasvane;
    const Result<CtlOptions> options = readCtlOptions(argc, argv);
    if (options.has_error()) {
        std::cerr << "sassafrasvanectl: " << options.error().detail << "\n\n" << ctlUsage();
        return static_cast<int>(CtlExit::Usage);
    }
    const CtlSurroundings surroundings{std::cout,
                                       std::cerr,
                                       [](Duration pause) { std::this_thread::sleep_for(pause); },
                                       [](const char *name) {
                                           const char *value = std::getenv(name);
                                           return std::string(value == nullptr ? "" : value);
                                       },
                                       SASSAFRASVANE_VERSION};
    return static_cast<int>(runCtl(options.value(), surroundings));
}

#include "platformserver.h"
#include "standinmain.h"

#include <cstdio>
#include <cstdlib>

#include <getopt.h>

/// \file
/// Stands in for the platform's configuration service, for tests and demonstrations.

namespace
{

constexpr std::uint64_t defaultCallsPerSecond = 2000;
constexpr std::size_t maxConnections = 512;

int usage()
{
    std::fputs("usage: platform_standin --listen IP:PORT [--calls-per-second N]\n", stderr);
    return 2;
}

} // namespace

int main(int argc, char **argv)
{
    using namespace sassafrasvane;
    const option options[] = {{"listen", required_argument, nullptr, 'l'},
                              {"calls-per-second", required_argument, nullptr, 'c'},
                              {nullptr, 0, nullptr, 0}};
    std::string listen;
    std::uint64_t callsPerSecond = defaultCallsPerSecond;
    int choice = 0;
    while ((choice = getopt_long(argc, argv, "l:c:", options, nullptr)) != -1) {
        switch (choice) {
        case 'l':
            listen = optarg;
            break;
        case 'c':
            callsPerSecond = std::strtoull(optarg, nullptr, 10);
            break;
        default:
            return usage();
        }
    }
    const Result<Address> address = Address::parse(listen);
    if (address.has_error()) {
        return usage();
    }
    blockStopSignals();

    PlatformServer server(callsPerSecond, maxConnections);
    if (!server.http().start(address.value())) {
        std::fprintf(stderr, "platform_standin: cannot listen at %s\n", listen.c_str());
        return 1;
    }
    announce("platform_standin", address.value());
    waitForStop();
    return 0;
}

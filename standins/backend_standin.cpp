#include "backend.h"
#include "standinmain.h"

#include <cstdio>
#include <cstdlib>
#include <fstream>

#include <getopt.h>

/// \file
/// Stands in for backend servers: one process hosts many searchers, for tests and demonstrations.

namespace
{

constexpr std::uint64_t defaultSeed = 1;

int usage()
{
    std::fputs("usage: backend_standin --searchers FILE [--listen IP:PORT] [--seed N]\n", stderr);
    return 2;
}

int serve(const std::string &path, const std::string &listen, std::uint64_t seed)
{
    using namespace sassafrasvane;
    std::ifstream stream(path);
    nlohmann::json json = nlohmann::json::parse(stream);
    if (!listen.empty()) {
        json["control"] = listen;
    }
    StandinBackEnd backEnd(readStandinFile(json), seed);
    const Result<Address> control = backEnd.start();
    if (control.has_error()) {
        std::fprintf(stderr, "backend_standin: cannot listen at %s\n", control.error().peer.c_str());
        return 1;
    }
    announce("backend_standin", control.value());
    waitForStop();
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    const option options[] = {{"listen", required_argument, nullptr, 'l'},
                              {"searchers", required_argument, nullptr, 's'},
                              {"seed", required_argument, nullptr, 'r'},
                              {nullptr, 0, nullptr, 0}};
    std::string listen;
    std::string path;
    std::uint64_t seed = defaultSeed;
    int choice = 0;
    while ((choice = getopt_long(argc, argv, "l:s:r:", options, nullptr)) != -1) {
        switch (choice) {
        case 'l':
            listen = optarg;
            break;
        case 's':
            path = optarg;
            break;
        case 'r':
            seed = std::strtoull(optarg, nullptr, 10);
            break;
        default:
            return usage();
        }
    }
    if (path.empty()) {
        return usage();
    }
    sassafrasvane::blockStopSignals();
    try {
        return serve(path, listen, seed);
    } catch (const std::exception &exception) {
        std::fprintf(stderr, "backend_standin: %s: %s\n", path.c_str(), exception.what());
        return 2;
    }
}

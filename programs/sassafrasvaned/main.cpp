/// \file
/// The daemon: every entry VM runs the same one.

#include "daemon/daemon.h"
#include "settings/processsettings.h"

#include <getopt.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <thread>

namespace
{

using namespace sassafrasvane;

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

const char *const usage = R"(Usage: sassafrasvaned --settings FILE [--check-settings]

  -s, --settings FILE   JSON settings of this process
  -c, --check-settings  check FILE, print its faults and exit
  -h, --help            print this help
  -V, --version         print the version
)";

struct Options {
    std::string settingsPath;
    bool isCheckOnly = false;
};

/// Ends the process for --help, --version and wrong usage.
Options readOptions(int argc, char **argv)
{
    const option longOptions[] = {{"settings", required_argument, nullptr, 's'},
                                  {"check-settings", no_argument, nullptr, 'c'},
                                  {"help", no_argument, nullptr, 'h'},
                                  {"version", no_argument, nullptr, 'V'},
                                  {nullptr, 0, nullptr, 0}};
    Options options;
    int choice = 0;
    while ((choice = getopt_long(argc, argv, "s:chV", longOptions, nullptr)) != -1) {
        switch (choice) {
        case 's':
            options.settingsPath = optarg;
            break;
        case 'c':
            options.isCheckOnly = true;
            break;
        case 'h':
            std::cout << usage;
            std::exit(EXIT_SUCCESS);
        case 'V':
            std::cout << "sassafrasvaned " SASSAFRASVANE_VERSION "\n";
            std::exit(EXIT_SUCCESS);
        default:
            std::cerr << usage;
            std::exit(exitUsage);
        }
    }
    if (options.settingsPath.empty() || optind != argc) {
        std::cerr << usage;
        std::exit(exitUsage);
    }
    return options;
}

/// Blocks the stop signals in all threads started later, so that waitForStop() takes them.
sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/// Passes each stop signal on; ends with the process.
void passOnSignals(const sigset_t &signals, Daemon &daemon)
{
    std::thread([signals, &daemon] {
        int received = 0;
        while (sigwait(&signals, &received) == 0) {
            daemon.requestStop();
        }
    }).detach();
}

} // namespace

int main(int argc, char **argv)
{
    const Options options = readOptions(argc, argv);
    const Result<ProcessSettings> settings = readProcessSettingsFile(options.settingsPath);
    if (settings.has_error()) {
        std::cerr << options.settingsPath << ":\n" << settings.error().detail << '\n';
        return exitFailure;
    }
    if (options.isCheckOnly) {
        std::cout << options.settingsPath << " is valid\n";
        return EXIT_SUCCESS;
    }
    const sigset_t signals = blockStopSignals();
    const Result<std::unique_ptr<Daemon>> daemon = Daemon::Builder().settings(settings.value()).build();
    if (daemon.has_error()) {
        std::cerr << daemon.error().message() << '\n';
        return exitFailure;
    }
    passOnSignals(signals, *daemon.value());
    const int exitCode = daemon.value()->waitForExit();
    // The signal thread still refers to the daemon, so the process ends before the daemon is destroyed.
    std::cout.flush();
    std::_Exit(exitCode);
}

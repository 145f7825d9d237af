/// \file
/// The daemon: every entry VM runs the same one.

#include "entry/entryprocess.h"
#include "platform/protocol.h"
#include "settings/entrysettings.h"
#include "threadeddaemon.h"

#include <getopt.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

namespace
{

using namespace sassafrasvane;

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

const char *const usage = R"(Usage: sassafrasvaned [--entry] [--settings FILE] [--check-settings]

  -e, --entry           serve from searchers that the platform's store publishes
  -s, --settings FILE   JSON settings of this process; with --entry, the file that the
                        platform names by default
  -c, --check-settings  check FILE, print its faults and exit
  -h, --help            print this help
  -V, --version         print the version
)";

struct Options {
    std::string settingsPath;
    bool isCheckOnly = false;
    bool isEntry = false;
};

/// Ends the process for --help, --version and wrong usage.
Options readOptions(int argc, char **argv)
{
    const option longOptions[] = {{"entry", no_argument, nullptr, 'e'},
                                  {"settings", required_argument, nullptr, 's'},
                                  {"check-settings", no_argument, nullptr, 'c'},
                                  {"help", no_argument, nullptr, 'h'},
                                  {"version", no_argument, nullptr, 'V'},
                                  {nullptr, 0, nullptr, 0}};
    Options options;
    int choice = 0;
    while ((choice = getopt_long(argc, argv, "es:chV", longOptions, nullptr)) != -1) {
        switch (choice) {
        case 'e':
            options.isEntry = true;
            break;
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
    const char *const fromEnvironment = std::getenv(platform::settingsVariable);
    if (options.isEntry && options.settingsPath.empty() && fromEnvironment != nullptr) {
        options.settingsPath = fromEnvironment;
    }
    if (options.settingsPath.empty() || optind != argc) {
        std::cerr << usage;
        std::exit(exitUsage);
    }
    return options;
}

/// Holds SIGHUP back, or lets it pass. Its default is to end the process.
void holdReloadSignal(bool isHeld)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(isHeld ? SIG_BLOCK : SIG_UNBLOCK, &signals, nullptr);
}

int runEntry(const Options &options)
{
    const Result<EntrySettings> settings = readEntrySettingsFile(options.settingsPath);
    if (settings.has_error()) {
        std::cerr << options.settingsPath << ":\n" << settings.error().detail << '\n';
        return exitFailure;
    }
    if (options.isCheckOnly) {
        std::cout << options.settingsPath << " is valid\n";
        return EXIT_SUCCESS;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const Result<std::unique_ptr<EntryProcess>> process
        = EntryProcess::create(settings.value(), options.settingsPath, platform::protocol());
    if (process.has_error()) {
        std::cerr << process.error().message() << '\n';
        return exitFailure;
    }
    // The process takes the signal from now on.
    holdReloadSignal(false);
    return process.value()->run();
}

} // namespace

int main(int argc, char **argv)
{
    holdReloadSignal(true);
    const Options options = readOptions(argc, argv);
    if (options.isEntry) {
        return runEntry(options);
    }
    holdReloadSignal(false);
#ifdef SASSAFRASVANE_THREADED_DAEMON
    return runThreadedDaemon(options.settingsPath, options.isCheckOnly);
#else
    std::cerr << "this build serves with --entry only\n";
    return exitUsage;
#endif
}

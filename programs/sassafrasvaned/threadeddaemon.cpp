#include "threadeddaemon.h"

#include "daemon/daemon.h"
#include "settings/processsettings.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <thread>

namespace sassafrasvane
{

namespace
{

constexpr int exitFailure = 1;

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

int runThreadedDaemon(const std::string &settingsPath, bool isCheckOnly)
{
    const Result<ProcessSettings> settings = readProcessSettingsFile(settingsPath);
    if (settings.has_error()) {
        std::cerr << settingsPath << ":\n" << settings.error().detail << '\n';
        return exitFailure;
    }
    if (isCheckOnly) {
        std::cout << settingsPath << " is valid\n";
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

} // namespace sassafrasvane

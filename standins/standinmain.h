#pragma once

#include "base/address.h"

#include <csignal>
#include <cstdio>

/// \file
/// What the main functions of both stand-ins share.

namespace sassafrasvane
{

namespace detail
{

/// SIGINT and SIGTERM.
inline sigset_t stopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGTERM);
    return signals;
}

} // namespace detail

/// Keeps SIGINT and SIGTERM for waitForStop(); to be called before any thread starts.
inline void blockStopSignals()
{
    const sigset_t signals = detail::stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

/// Blocks until SIGINT or SIGTERM.
inline void waitForStop()
{
    const sigset_t signals = detail::stopSignals();
    int signal = 0;
    sigwait(&signals, &signal);
}

/// Prints that \p program is ready, in one line on standard output.
inline void announce(const char *program, const Address &address)
{
    std::printf("%s listening at %s\n", program, address.toString().c_str());
    std::fflush(stdout);
}

} // namespace sassafrasvane

#pragma once

#include "tracebuffers.h"

#include <oneapi/tbb/concurrent_queue.h>

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

/// \file
/// The thread that writes kept traces.

namespace sassafrasvane
{

/// Takes kept traces from a bounded queue and writes each as one line.
class TraceSink::Writer
{
public:
    /// Starts the thread.
    Writer(Write write, std::string instance, std::size_t queuedTraces);
    Writer(const Writer &) = delete;
    Writer &operator=(const Writer &) = delete;
    /// Writes what is queued and ends the thread.
    ~Writer();

    /// Queues \p spans, or drops them if the queue is full; never waits.
    void push(TraceSpans spans);

    std::uint64_t written() const noexcept { return written_.load(std::memory_order_relaxed); }
    std::uint64_t dropped() const noexcept { return dropped_.load(std::memory_order_relaxed); }

private:
    void run();

    const Write write_;
    const std::string instance_;
    std::atomic<std::uint64_t> written_{0};
    std::atomic<std::uint64_t> dropped_{0};
    /// Null ends the thread.
    tbb::concurrent_bounded_queue<TraceSpans> queue_;
    std::thread thread_;
};

} // namespace sassafrasvane

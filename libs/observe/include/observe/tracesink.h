#pragma once

#include "base/error.h"
#include "observe/trace.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// Collects spans by trace and writes the traces that are worth keeping.

namespace sassafrasvane
{

/// What the hop that ends a trace in this process knows of the answer.
struct TraceVerdict {
    /// The answer missed its class's latency target.
    bool isSlow = false;
    /// The answer lacks a part.
    bool isPartial = false;
    /// The request was refused.
    bool isRefused = false;

    /// True if the trace is kept even if it was not sampled.
    bool isNotable() const noexcept { return isSlow || isPartial || isRefused; }
};

/// Counts of what a TraceSink did since its start.
struct TraceSinkCounts {
    /// Traces written out.
    std::uint64_t written = 0;
    /// Traces that were neither sampled nor notable.
    std::uint64_t passedOver = 0;
    /// Spans dropped because a bound was reached.
    std::uint64_t droppedSpans = 0;
    /// Kept traces that were not written out because the writer was behind or failed.
    std::uint64_t droppedTraces = 0;
};

/// Writes spans in the OTLP/JSON form, one line for each trace.
///
/// The spans of a trace are buffered until finish() ends the trace in this process. Then the trace is written if it was
/// sampled at its first hop or if its verdict is notable; else it is forgotten. All buffers are bounded; what does not
/// fit is dropped and counted, and the caller never waits for the writer. May be used by any thread.
///
/// \code
/// std::unique_ptr<TraceSink> sink = TraceSink::Builder().file(path).instance("10.0.0.7:7001").build().value();
/// sink->record(span);
/// sink->finish(span.context, {.isPartial = true});
/// \endcode
class TraceSink
{
public:
    class Builder;
    /// Writes one line, without its line end. \return false if it could not.
    using Write = std::function<bool(std::string_view line)>;

    TraceSink(const TraceSink &) = delete;
    TraceSink &operator=(const TraceSink &) = delete;
    /// Writes what is queued and ends the writer's thread.
    ~TraceSink();

    /// Adds a span that has ended.
    void record(Span span);

    /// Ends a trace in this process. Spans recorded later begin it anew.
    void finish(const TraceContext &context, const TraceVerdict &verdict);

    /// The spans of \p trace, if it is still open or was kept recently; by their start.
    std::vector<Span> find(const TraceId &trace) const;

    /// The newest kept traces, newest first, at most \p limit.
    std::vector<TraceId> recent(std::size_t limit) const;

    /// Counts since the start.
    TraceSinkCounts counts() const noexcept;

private:
    class Buffers;
    class Writer;

    TraceSink(std::unique_ptr<Buffers> buffers, std::unique_ptr<Writer> writer);

    std::unique_ptr<Buffers> buffers_;
    std::unique_ptr<Writer> writer_;
    std::atomic<std::uint64_t> passedOver_{0};
};

/// Bounds of a TraceSink's memory.
struct TraceLimits {
    /// Traces that may be open at the same time.
    std::size_t openTraces = 2'048;
    /// Spans that may be buffered for one trace.
    std::size_t spansPerTrace = 256;
    /// Spans that may be buffered in all open traces.
    std::size_t openSpans = 32'768;
    /// Spans in the kept traces that find() still knows.
    std::size_t recentSpans = 16'384;
    /// Kept traces that may wait for the writer.
    std::size_t queuedTraces = 512;
    /// Size at which the file is moved to "<path>.1" and begun anew, in bytes.
    std::uint64_t fileBytes = 32ULL * 1024 * 1024;
};

/// Collects what a TraceSink needs.
class TraceSink::Builder
{
public:
    /// Appends to the file at \p path.
    Builder &file(std::string path);

    /// Writes by \p write, called by the writer's thread only, in place of a file.
    Builder &write(Write write);

    /// Sets the service.instance.id of the traces, such as the daemon's address.
    Builder &instance(std::string instance);

    /// Sets the bounds.
    Builder &limits(const TraceLimits &limits) noexcept;

    /// \return the sink, or Errc::Unavailable if the file cannot be opened. Without file and write hook the kept traces
    /// can be found but are not written.
    Result<std::unique_ptr<TraceSink>> build() const;

private:
    std::string path_;
    Write write_;
    std::string instance_;
    TraceLimits limits_;
};

} // namespace sassafrasvane

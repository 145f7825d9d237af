#include "tracewriter.h"

#include "otlp.h"

namespace sassafrasvane
{

TraceSink::Writer::Writer(Write write, std::string instance, std::size_t queuedTraces)
    : write_(std::move(write)), instance_(std::move(instance))
{
    queue_.set_capacity(static_cast<std::ptrdiff_t>(queuedTraces));
    thread_ = std::thread([this] { run(); });
}

TraceSink::Writer::~Writer()
{
    queue_.push(nullptr);
    thread_.join();
}

void TraceSink::Writer::push(TraceSpans spans)
{
    if (!queue_.try_push(std::move(spans))) {
        dropped_.fetch_add(1, std::memory_order_relaxed);
    }
}

void TraceSink::Writer::run()
{
    TraceSpans spans;
    while (queue_.pop(spans), spans != nullptr) {
        std::atomic<std::uint64_t> &count = write_(detail::otlpJson(*spans, instance_)) ? written_ : dropped_;
        count.fetch_add(1, std::memory_order_relaxed);
    }
}

} // namespace sassafrasvane

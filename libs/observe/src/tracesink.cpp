#include "observe/tracesink.h"

#include "tracebuffers.h"
#include "tracewriter.h"

#include <cstdio>
#include <fstream>

namespace sassafrasvane
{

namespace
{

/// A file that is moved aside when it has grown large, so that two of them bound the space taken.
class RotatingFile
{
public:
    RotatingFile(std::string path, std::uint64_t maxBytes) : path_(std::move(path)), maxBytes_(maxBytes) { open(); }

    bool isOpen() const { return file_.is_open(); }

    bool write(std::string_view line)
    {
        if (size_ + line.size() + 1 > maxBytes_ && size_ > 0) {
            file_.close();
            std::rename(path_.c_str(), (path_ + ".1").c_str());
            open();
        }
        file_ << line << '\n' << std::flush;
        size_ += line.size() + 1;
        const bool isWritten = file_.good();
        file_.clear();
        return isWritten;
    }

private:
    void open()
    {
        file_.open(path_, std::ios::app | std::ios::ate);
        size_ = file_.is_open() ? static_cast<std::uint64_t>(file_.tellp()) : 0;
    }

    const std::string path_;
    const std::uint64_t maxBytes_;
    std::ofstream file_;
    std::uint64_t size_ = 0;
};

} // namespace

TraceSink::TraceSink(std::unique_ptr<Buffers> buffers, std::unique_ptr<Writer> writer)
    : buffers_(std::move(buffers)), writer_(std::move(writer))
{
}

TraceSink::~TraceSink() = default;

void TraceSink::record(Span span)
{
    buffers_->add(std::move(span));
}

void TraceSink::finish(const TraceContext &context, const TraceVerdict &verdict)
{
    const bool isKept = context.isSampled || verdict.isNotable();
    TraceSpans spans = buffers_->close(context.trace, isKept);
    if (!isKept) {
        passedOver_.fetch_add(1, std::memory_order_relaxed);
    }
    if (spans != nullptr && writer_ != nullptr) {
        writer_->push(std::move(spans));
    }
}

std::vector<Span> TraceSink::find(const TraceId &trace) const
{
    return buffers_->find(trace);
}

std::vector<TraceId> TraceSink::recent(std::size_t limit) const
{
    return buffers_->recent(limit);
}

TraceSinkCounts TraceSink::counts() const noexcept
{
    TraceSinkCounts counts;
    counts.passedOver = passedOver_.load(std::memory_order_relaxed);
    counts.droppedSpans = buffers_->droppedSpans();
    if (writer_ != nullptr) {
        counts.written = writer_->written();
        counts.droppedTraces = writer_->dropped();
    }
    return counts;
}

TraceSink::Builder &TraceSink::Builder::file(std::string path)
{
    path_ = std::move(path);
    return *this;
}

TraceSink::Builder &TraceSink::Builder::write(Write write)
{
    write_ = std::move(write);
    return *this;
}

TraceSink::Builder &TraceSink::Builder::instance(std::string instance)
{
    instance_ = std::move(instance);
    return *this;
}

TraceSink::Builder &TraceSink::Builder::limits(const TraceLimits &limits) noexcept
{
    limits_ = limits;
    return *this;
}

Result<std::unique_ptr<TraceSink>> TraceSink::Builder::build() const
{
    Write write = write_;
    if (!write && !path_.empty()) {
        const std::shared_ptr<RotatingFile> file = std::make_shared<RotatingFile>(path_, limits_.fileBytes);
        if (!file->isOpen()) {
            return Error{Errc::Unavailable, Step::Settings, {}, path_ + ": cannot be opened for traces"};
        }
        write = [file](std::string_view line) { return file->write(line); };
    }
    std::unique_ptr<Writer> writer;
    if (write) {
        writer = std::make_unique<Writer>(std::move(write), instance_, limits_.queuedTraces);
    }
    return std::unique_ptr<TraceSink>(new TraceSink(std::make_unique<Buffers>(limits_), std::move(writer)));
}

} // namespace sassafrasvane

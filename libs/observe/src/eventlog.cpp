#include "observe/eventlog.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace sassafrasvane
{

namespace
{

/// Length at which a text is cut, in bytes.
constexpr std::size_t maxTextBytes = 512;
/// Decimal places of numbers.
constexpr int decimalPlaces = 3;
/// Bytes that are written without waiting for flush().
constexpr std::size_t eagerBytes = 16'384;

// RapidJSON refuses text that is not UTF-8; such bytes are shown as question marks.
std::string printable(std::string_view text)
{
    std::string shown(text.substr(0, maxTextBytes));
    std::replace_if(
        shown.begin(), shown.end(), [](unsigned char byte) { return byte >= 0x7f || byte < 0x20; }, '?');
    return shown;
}

} // namespace

struct EventLog::Writer {
    rapidjson::StringBuffer buffer;
    rapidjson::Writer<rapidjson::StringBuffer> json{buffer};

    void key(std::string_view name) { json.Key(name.data(), static_cast<rapidjson::SizeType>(name.size())); }
    void string(std::string_view value)
    {
        const std::string shown = printable(value);
        json.String(shown.data(), static_cast<rapidjson::SizeType>(shown.size()));
    }
};

EventLine::EventLine(EventLog *log, EventRank rank) : log_(log), rank_(rank)
{
}

EventLine::EventLine(EventLine &&other) noexcept : log_(other.log_), rank_(other.rank_)
{
    other.log_ = nullptr;
}

EventLine::~EventLine()
{
    if (log_ != nullptr) {
        log_->end();
    }
}

EventLine &EventLine::text(std::string_view name, std::string_view value)
{
    if (log_ != nullptr) {
        log_->writer_->key(name);
        log_->writer_->string(value);
    }
    return *this;
}

EventLine &EventLine::number(std::string_view name, double value)
{
    if (log_ != nullptr) {
        log_->writer_->key(name);
        log_->writer_->json.Double(value);
    }
    return *this;
}

EventLine &EventLine::count(std::string_view name, std::uint64_t value)
{
    if (log_ != nullptr) {
        log_->writer_->key(name);
        log_->writer_->json.Uint64(value);
    }
    return *this;
}

EventLine &EventLine::flag(std::string_view name, bool value)
{
    if (log_ != nullptr) {
        log_->writer_->key(name);
        log_->writer_->json.Bool(value);
    }
    return *this;
}

EventLine &EventLine::milliseconds(std::string_view name, Duration value)
{
    return number(name, toMilliseconds(value));
}

EventLine &EventLine::error(const Error &error)
{
    text("code", name(error.errc()));
    text("step", name(error.step));
    if (!error.peer.empty()) {
        text("peer", error.peer);
    }
    if (!error.detail.empty()) {
        text("detail", error.detail);
    }
    return *this;
}

EventLog::EventLog(int descriptor, std::string process)
    : descriptor_(descriptor)
    , process_(std::move(process))
    , writer_(std::make_unique<Writer>())
    , refilledAt_(BootClock::now())
{
    writer_->json.SetMaxDecimalPlaces(decimalPlaces);
    const int flags = fcntl(descriptor_, F_GETFL);
    if (flags >= 0) {
        fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
    }
}

EventLog::~EventLog()
{
    flush();
}

void EventLog::unexpectedError(const std::exception &exception)
{
    ++unexpectedErrors_;
    line(EventRank::Important, "unexpected_error").text("detail", exception.what());
}

EventLine EventLog::line(EventRank rank, std::string_view event)
{
    if (!admits(rank)) {
        ++droppedLines_;
        return {nullptr, rank};
    }
    if (droppedLines_ > reportedLines_) {
        const std::uint64_t dropped = droppedLines_ - reportedLines_;
        reportedLines_ = droppedLines_;
        begin("log_lines_dropped");
        EventLine(this, rank).count("lines", dropped);
    }
    begin(event);
    return {this, rank};
}

bool EventLog::admits(EventRank rank)
{
    if (waiting_.size() >= (rank == EventRank::Routine ? bufferBytes() / 2 : bufferBytes())) {
        return false;
    }
    if (rank == EventRank::Important) {
        return true;
    }
    if (routineTokens_ < 1) {
        const TimePoint now = BootClock::now();
        const double seconds = std::chrono::duration<double>(now - refilledAt_).count();
        refilledAt_ = now;
        routineTokens_ = std::min(routineBurst(), routineTokens_ + seconds * routinePerSecond());
    }
    if (routineTokens_ < 1) {
        return false;
    }
    routineTokens_ -= 1;
    return true;
}

void EventLog::begin(std::string_view event)
{
    writer_->buffer.Clear();
    writer_->json.Reset(writer_->buffer);
    writer_->json.StartObject();
    writer_->key("time_us");
    writer_->json.Uint64(wallClockMicros());
    writer_->key("vm");
    writer_->string(process_);
    writer_->key("event");
    writer_->string(event);
}

void EventLog::end()
{
    writer_->json.EndObject();
    waiting_.append(writer_->buffer.GetString(), writer_->buffer.GetSize());
    waiting_ += '\n';
    if (waiting_.size() >= eagerBytes) {
        flush();
    }
}

void EventLog::flush()
{
    std::size_t written = 0;
    while (written < waiting_.size()) {
        const ssize_t size = ::write(descriptor_, waiting_.data() + written, waiting_.size() - written);
        if (size < 0 && errno == EINTR) {
            continue;
        }
        if (size <= 0) {
            break;
        }
        written += static_cast<std::size_t>(size);
    }
    waiting_.erase(0, written);
}

} // namespace sassafrasvane

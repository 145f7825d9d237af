#include "daemon/platformreader.h"

#include "http/blockingclient.h"

#include <nlohmann/json.hpp>
#include <oneapi/tbb/concurrent_queue.h>

#include <array>
#include <thread>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

/// Time in which the service must answer, beyond what a watch waits.
constexpr Duration answerTime = 1s;
constexpr Duration connectTimeout = 500ms;
/// Largest answer that is read: a value of a megabyte with its frame.
constexpr std::size_t maxAnswer = std::size_t{1'200} * 1024;
constexpr unsigned statusOk = 200;
constexpr unsigned statusNotModified = 304;

/// Ends the thread of a key.
struct StopThread {
};

using Job = std::variant<ServiceRead, StopThread>;

/// The thread, connection and queue of one key.
struct KeyReader {
    std::unique_ptr<http::BlockingClient> client;
    oneapi::tbb::concurrent_bounded_queue<Job> jobs;
    std::thread thread;
};

std::string pathOf(const ServiceRead &read)
{
    std::string path = std::string("/v1/values/") + name(read.key);
    if (read.after.value > 0) {
        path += "?after=" + std::to_string(read.after.value) + "&waitMs=" + std::to_string(read.wait.count() / 1000);
    }
    return path;
}

Result<PlatformValue> readAnswer(const ServiceRead &read, const std::string &body)
{
    const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
    const bool isComplete = document.is_object() && document.contains("version")
        && document["version"].is_number_unsigned() && document.contains("value");
    if (!isComplete) {
        return Error{Errc::BadMessage,
                     Step::Configuration,
                     {},
                     std::string("the service's answer for ") + name(read.key) + " has no version and value"};
    }
    return PlatformValue{
        read.key, ConfigVersion{document["version"].get<std::uint64_t>()}, document["value"].dump(), {}};
}

} // namespace

struct PlatformReader::Implementation {
    Address address;
    PlatformHooks hooks;
    /// Each key may have an answer of the largest size, and its fields.
    http::ResponseMemory memory{2 * configKeyCount * maxAnswer, 1.0};
    std::array<KeyReader, configKeyCount> readers;

    void run(KeyReader &reader);
    Result<PlatformValue> fetch(const ServiceRead &read, http::BlockingClient &client) const;
};

Result<PlatformValue> PlatformReader::Implementation::fetch(const ServiceRead &read, http::BlockingClient &client) const
{
    http::Request request(http::beast_http::verb::get, pathOf(read), 11);
    request.set(http::beast_http::field::host, address.toString());
    const Result<http::Response> response = client.call(request, BootClock::now() + read.wait + answerTime);
    if (response.has_error()) {
        return Error{Errc::Unavailable, Step::Configuration, address.toString(), name(response.error().errc())};
    }
    const unsigned status = response.value().result_int();
    if (status == statusNotModified) {
        return PlatformValue{read.key, read.after, {}, {}};
    }
    if (status != statusOk) {
        return Error{Errc::Unavailable,
                     Step::Configuration,
                     address.toString(),
                     std::string(name(read.key)) + ": status " + std::to_string(status)};
    }
    return readAnswer(read, response.value().body());
}

void PlatformReader::Implementation::run(KeyReader &reader)
{
    while (true) {
        Job job;
        reader.jobs.pop(job);
        if (std::holds_alternative<StopThread>(job)) {
            return;
        }
        const ServiceRead &read = std::get<ServiceRead>(job);
        const TimePoint askedAt = BootClock::now();
        Result<PlatformValue> value = fetch(read, *reader.client);
        if (value.has_error()) {
            hooks.onFailed(read.key, value.error());
        } else {
            value.value().askedAt = askedAt;
            hooks.onValue(std::move(value.value()));
        }
    }
}

PlatformReader::PlatformReader(const Address &address, PlatformHooks hooks)
    : implementation_(std::make_unique<Implementation>())
{
    implementation_->address = address;
    implementation_->hooks = std::move(hooks);
    for (KeyReader &reader : implementation_->readers) {
        reader.client = std::make_unique<http::BlockingClient>(
            address, implementation_->memory, http::BlockingClientLimits{connectTimeout, maxAnswer});
        reader.thread = std::thread([this, &reader] { implementation_->run(reader); });
    }
}

PlatformReader::~PlatformReader()
{
    stop();
}

void PlatformReader::read(const ServiceRead &read)
{
    implementation_->readers.at(static_cast<std::size_t>(read.key)).jobs.push(read);
}

void PlatformReader::stop()
{
    for (KeyReader &reader : implementation_->readers) {
        if (reader.thread.joinable()) {
            reader.jobs.push(StopThread());
            reader.client->stop();
            reader.thread.join();
        }
    }
}

} // namespace sassafrasvane

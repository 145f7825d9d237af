#include "daemon/platformreader.h"

#include <httplib.h>
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
constexpr std::chrono::milliseconds answerTime = 1s;
constexpr std::chrono::milliseconds connectTimeout = 500ms;
/// Largest answer that is read: a value of a megabyte with its frame.
constexpr std::size_t maxAnswer = std::size_t{1'200} * 1024;
constexpr int statusOk = 200;
constexpr int statusNotModified = 304;

/// Ends the thread of a key.
struct StopThread {
};

using Job = std::variant<ServiceRead, StopThread>;

/// The thread, connection and queue of one key.
struct KeyReader {
    std::unique_ptr<httplib::Client> client;
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
    std::array<KeyReader, configKeyCount> readers;

    void run(KeyReader &reader);
    Result<PlatformValue> fetch(const ServiceRead &read, httplib::Client &client) const;
};

Result<PlatformValue> PlatformReader::Implementation::fetch(const ServiceRead &read, httplib::Client &client) const
{
    client.set_read_timeout(read.wait + answerTime);
    std::string body;
    const httplib::Result result = client.Get(pathOf(read), [&body](const char *data, std::size_t size) {
        body.append(data, size);
        return body.size() <= maxAnswer;
    });
    if (!result) {
        return Error{Errc::Unavailable, Step::Configuration, address.toString(), httplib::to_string(result.error())};
    }
    if (result->status == statusNotModified) {
        return PlatformValue{read.key, read.after, {}, {}};
    }
    if (result->status != statusOk) {
        return Error{Errc::Unavailable,
                     Step::Configuration,
                     address.toString(),
                     std::string(name(read.key)) + ": status " + std::to_string(result->status)};
    }
    return readAnswer(read, body);
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
        reader.client = std::make_unique<httplib::Client>(address.host(), address.port);
        reader.client->set_keep_alive(true);
        reader.client->set_tcp_nodelay(true);
        reader.client->set_connection_timeout(connectTimeout);
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

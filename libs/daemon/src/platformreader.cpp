#include "daemon/platformreader.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace sassafrasvane
{

namespace
{

using namespace std::chrono_literals;

/// Time that a watch waits at the service.
constexpr std::chrono::milliseconds watchTime = 10s;
/// Time beyond it until the call counts as failed.
constexpr std::chrono::milliseconds watchGrace = 2s;
constexpr std::chrono::milliseconds connectTimeout = 1s;
/// Pause after a failed call.
constexpr std::chrono::milliseconds retryPause = 500ms;
constexpr int statusOk = 200;
constexpr int statusNotModified = 304;

Result<PublishedValue> readValue(const std::string &key, const std::string &body)
{
    const nlohmann::json document = nlohmann::json::parse(body, nullptr, false);
    if (!document.is_object() || !document.contains("version") || !document["version"].is_number_unsigned()
        || !document.contains("value")) {
        return Error{
            Errc::BadMessage, Step::Configuration, {}, "the service's answer for " + key + " has no version and value"};
    }
    return PublishedValue{key, ConfigVersion{document["version"].get<std::uint64_t>()}, document["value"].dump()};
}

} // namespace

struct PlatformReader::Implementation {
    Address address;
    PlatformHooks hooks;
    std::mutex mutex;
    std::condition_variable stopping;
    bool isStopping = false;
    std::vector<std::unique_ptr<httplib::Client>> clients;
    std::vector<std::thread> threads;

    void watch(const std::string &key, httplib::Client &client);
    Result<ConfigVersion> readOnce(const std::string &key, ConfigVersion known, httplib::Client &client) const;
    bool pause();
};

Result<ConfigVersion> PlatformReader::Implementation::readOnce(const std::string &key,
                                                               ConfigVersion known,
                                                               httplib::Client &client) const
{
    std::string path = "/v1/values/" + key;
    if (known.value > 0) {
        path += "?after=" + std::to_string(known.value) + "&waitMs=" + std::to_string(watchTime.count());
    }
    const httplib::Result result = client.Get(path);
    if (!result) {
        return Error{Errc::Unavailable, Step::Configuration, address.toString(), httplib::to_string(result.error())};
    }
    if (result->status == statusNotModified) {
        return known;
    }
    if (result->status != statusOk) {
        return Error{Errc::Unavailable,
                     Step::Configuration,
                     address.toString(),
                     key + ": status " + std::to_string(result->status)};
    }
    Result<PublishedValue> value = readValue(key, result->body);
    if (value.has_error()) {
        return value.error();
    }
    const ConfigVersion version = value.value().version;
    hooks.onValue(std::move(value.value()));
    return version;
}

void PlatformReader::Implementation::watch(const std::string &key, httplib::Client &client)
{
    ConfigVersion known;
    while (true) {
        const Result<ConfigVersion> read = readOnce(key, known, client);
        if (read.has_value()) {
            known = std::max(known, read.value());
        }
        {
            const std::lock_guard<std::mutex> lock(mutex);
            if (isStopping) {
                return;
            }
        }
        if (read.has_error()) {
            hooks.onError(read.error());
            if (pause()) {
                return;
            }
        }
    }
}

// Returns true if the reader stops meanwhile.
bool PlatformReader::Implementation::pause()
{
    std::unique_lock<std::mutex> lock(mutex);
    return stopping.wait_for(lock, retryPause, [this] { return isStopping; });
}

PlatformReader::PlatformReader(const Address &address, const std::vector<std::string> &keys, PlatformHooks hooks)
    : implementation_(std::make_unique<Implementation>())
{
    implementation_->address = address;
    implementation_->hooks = std::move(hooks);
    for (const std::string &key : keys) {
        auto client = std::make_unique<httplib::Client>(address.host(), address.port);
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_connection_timeout(connectTimeout);
        client->set_read_timeout(watchTime + watchGrace);
        httplib::Client *const raw = client.get();
        implementation_->clients.push_back(std::move(client));
        implementation_->threads.emplace_back([this, key, raw] { implementation_->watch(key, *raw); });
    }
}

PlatformReader::~PlatformReader()
{
    stop();
}

void PlatformReader::stop()
{
    {
        const std::lock_guard<std::mutex> lock(implementation_->mutex);
        implementation_->isStopping = true;
    }
    implementation_->stopping.notify_all();
    for (const std::unique_ptr<httplib::Client> &client : implementation_->clients) {
        client->stop();
    }
    for (std::thread &thread : implementation_->threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

} // namespace sassafrasvane

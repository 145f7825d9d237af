#include "control/controlserver.h"

#include "httpserver.h"
#include "jsonrpc.h"
#include "messagesjson.h"
#include "rpcerror.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace sassafrasvane
{

namespace
{

using detail::HttpReply;
using detail::HttpRequest;
using detail::RpcOutcome;

using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

Digest digestOf(const std::string &text)
{
    Digest digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    return digest;
}

// Digests have one length, so that neither content nor length of the key shows in the time taken.
bool isSameKey(const std::string &given, const std::string &expected)
{
    const Digest first = digestOf(given);
    const Digest second = digestOf(expected);
    return CRYPTO_memcmp(first.data(), second.data(), first.size()) == 0;
}

template<typename Message>
RpcOutcome resultOf(const Message &message)
{
    RpcOutcome outcome;
    outcome.isOk = true;
    outcome.result = nlohmann::json(message).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    return outcome;
}

std::string parameterText(const std::string &parameters, const char *name)
{
    return nlohmann::json::parse(parameters).at(name).get<std::string>();
}

bool isComplete(const ControlHandlers &handlers)
{
    return handlers.status && handlers.why && handlers.entries && handlers.drain && handlers.metrics;
}

} // namespace

class ControlServer::Impl
{
public:
    Impl(std::string key, ControlHandlers handlers) : key_(std::move(key)), handlers_(std::move(handlers))
    {
        dispatcher_.add("status", [this](const std::string &) { return resultOf(handlers_.status()); });
        dispatcher_.add("entries", [this](const std::string &) { return resultOf(handlers_.entries()); });
        dispatcher_.add("why", "subject", [this](const std::string &parameters) { return why(parameters); });
        dispatcher_.add("drain", "key", [this](const std::string &parameters) { return drain(parameters); });
    }

    Result<void> listen(const Address &address)
    {
        const detail::HttpLimits limits{maxRequestBytes, maxHeaderBytes, maxConnections, idleSeconds};
        Result<std::unique_ptr<detail::HttpServer>> started = detail::HttpServer::start(
            address, limits, [this](const HttpRequest &request) { return answer(request); });
        if (started.has_error()) {
            return started.error();
        }
        http_ = std::move(started.value());
        return boost::outcome_v2::success();
    }

    const Address &address() const noexcept { return http_->address(); }

private:
    HttpReply answer(const HttpRequest &request)
    {
        if (request.method == "GET" && request.path == "/metrics") {
            return {200, Metrics::contentType, handlers_.metrics()};
        }
        if (request.path != "/") {
            return {404, "text/plain", "not found\n"};
        }
        if (request.method != "POST") {
            return {405, "text/plain", "use POST\n"};
        }
        return {200, "application/json", dispatcher_.handle(request.body)};
    }

    RpcOutcome why(const std::string &parameters)
    {
        return resultOf(handlers_.why(WhySubject::parse(parameterText(parameters, "subject"))));
    }

    RpcOutcome drain(const std::string &parameters)
    {
        if (!isSameKey(parameterText(parameters, "key"), key_)) {
            return detail::toOutcome(Error{Errc::NotAuthentic, Step::Stop, {}, "not the operators' key"});
        }
        const Result<DrainReply> reply = handlers_.drain();
        return reply.has_value() ? resultOf(reply.value()) : detail::toOutcome(reply.error());
    }

    const std::string key_;
    const ControlHandlers handlers_;
    detail::RpcDispatcher dispatcher_;
    // Last, so that its thread ends before what it uses.
    std::unique_ptr<detail::HttpServer> http_;
};

ControlServer::ControlServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl))
{
}

ControlServer::~ControlServer() = default;

Address ControlServer::address() const noexcept
{
    return impl_->address();
}

ControlServer::Builder &ControlServer::Builder::address(const Address &address) noexcept
{
    address_ = address;
    return *this;
}

ControlServer::Builder &ControlServer::Builder::key(std::string key)
{
    key_ = std::move(key);
    return *this;
}

ControlServer::Builder &ControlServer::Builder::handlers(ControlHandlers handlers)
{
    handlers_ = std::move(handlers);
    return *this;
}

Result<std::unique_ptr<ControlServer>> ControlServer::Builder::build() const
{
    if (key_.empty() || !isComplete(handlers_)) {
        return Error{Errc::Internal, Step::Settings, address_.toString(), "control server without key or handler"};
    }
    std::unique_ptr<Impl> impl = std::make_unique<Impl>(key_, handlers_);
    const Result<void> listening = impl->listen(address_);
    if (listening.has_error()) {
        return listening.error();
    }
    return std::unique_ptr<ControlServer>(new ControlServer(std::move(impl)));
}

} // namespace sassafrasvane

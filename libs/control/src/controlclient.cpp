#include "control/controlclient.h"

#include "jsonrpc.h"
#include "messagesjson.h"
#include "rpcerror.h"

#include "http/blockingclient.h"

#include <nlohmann/json.hpp>

#include <stdexcept>

namespace sassafrasvane
{

namespace
{

/// Carries an Error through the frames of libjsonrpccpp.
struct TransportFailure : std::runtime_error {
    explicit TransportFailure(Error failure) : std::runtime_error("transport"), error(std::move(failure)) { }

    Error error;
};

constexpr unsigned statusOk = 200;

/// \return the body of the reply if it has the status 200.
Result<std::string> replyTo(http::Request request, const Address &address, Duration timeout)
{
    request.set(http::beast_http::field::host, address.toString());
    request.keep_alive(false);
    request.prepare_payload();
    http::ResponseMemory memory(2 * ControlClient::maxReplyBytes, 1.0);
    http::BlockingClient client(address, memory, {timeout, ControlClient::maxReplyBytes});
    Result<http::Response> response = client.call(request, BootClock::now() + timeout);
    if (response.has_error()) {
        return response.error();
    }
    if (response.value().result_int() != statusOk) {
        const std::string status = "HTTP status " + std::to_string(response.value().result_int());
        return Error{Errc::BadMessage, Step::Receive, address.toString(), status};
    }
    return std::move(response.value().body());
}

template<typename Message>
Result<Message> decode(const Result<std::string> &reply, const Address &address)
{
    if (reply.has_error()) {
        return reply.error();
    }
    try {
        return nlohmann::json::parse(reply.value()).get<Message>();
    } catch (const std::exception &exception) {
        return Error{Errc::BadMessage, Step::Receive, address.toString(), exception.what()};
    }
}

std::string parameter(const char *name, std::string_view value)
{
    const nlohmann::json parameters = {{name, std::string(value)}};
    return parameters.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

ControlClient::ControlClient(const Address &address, Duration timeout) noexcept : address_(address), timeout_(timeout)
{
}

Result<DaemonStatus> ControlClient::status() const
{
    return decode<DaemonStatus>(call("status", "{}"), address_);
}

Result<WhyReply> ControlClient::why(const WhySubject &subject) const
{
    return decode<WhyReply>(call("why", parameter("subject", subject.toString())), address_);
}

Result<EntriesReply> ControlClient::entries() const
{
    return decode<EntriesReply>(call("entries", "{}"), address_);
}

Result<DrainReply> ControlClient::drain(std::string_view key) const
{
    return decode<DrainReply>(call("drain", parameter("key", key)), address_);
}

Result<std::string> ControlClient::metrics() const
{
    return replyTo(http::Request(http::beast_http::verb::get, "/metrics", 11), address_, timeout_);
}

Result<std::string> ControlClient::call(const std::string &method, const std::string &parameters) const
{
    const detail::RpcTransport transport = [this](const std::string &request) {
        Result<std::string> reply = post(request);
        if (reply.has_error()) {
            throw TransportFailure(reply.error());
        }
        return std::move(reply.value());
    };
    try {
        const detail::RpcOutcome outcome = detail::callRpc(transport, method, parameters);
        if (!outcome.isOk) {
            return detail::toError(outcome, address_.toString());
        }
        return outcome.result;
    } catch (const TransportFailure &failure) {
        return failure.error;
    }
}

Result<std::string> ControlClient::post(const std::string &body) const
{
    http::Request request(http::beast_http::verb::post, "/", 11);
    request.set(http::beast_http::field::content_type, "application/json");
    request.body() = body;
    return replyTo(std::move(request), address_, timeout_);
}

} // namespace sassafrasvane

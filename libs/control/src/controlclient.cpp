#include "control/controlclient.h"

#include "jsonrpc.h"
#include "messagesjson.h"
#include "rpcerror.h"

#include <httplib.h>

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

/// Collects a reply's body up to the limits.
class BodyCollector
{
public:
    explicit BodyCollector(TimePoint deadline) noexcept : deadline_(deadline) { }

    bool add(const char *data, std::size_t size)
    {
        body_.append(data, size);
        return body_.size() <= ControlClient::maxReplyBytes && BootClock::now() < deadline_;
    }

    std::string take() { return std::move(body_); }

private:
    TimePoint deadline_;
    std::string body_;
};

httplib::Client clientFor(const Address &address, Duration timeout)
{
    httplib::Client client(address.host(), address.port);
    const std::chrono::microseconds limit = timeout;
    client.set_connection_timeout(limit);
    client.set_read_timeout(limit);
    client.set_write_timeout(limit);
    client.set_tcp_nodelay(true);
    return client;
}

Error failureOf(httplib::Error error, const std::string &peer)
{
    switch (error) {
    case httplib::Error::Connection:
    case httplib::Error::ConnectionTimeout:
        return Error{Errc::ConnectFailed, Step::Connect, peer, httplib::to_string(error)};
    case httplib::Error::Canceled:
        return Error{Errc::TooLarge, Step::Receive, peer, "reply too large or too slow"};
    default:
        return Error{Errc::Timeout, Step::Receive, peer, httplib::to_string(error)};
    }
}

/// \return the body of \p result if it has the status 200.
Result<std::string> bodyOf(const httplib::Result &result, BodyCollector &collector, const std::string &peer)
{
    if (!result) {
        return failureOf(result.error(), peer);
    }
    if (result->status != 200) {
        return Error{Errc::BadMessage, Step::Receive, peer, "HTTP status " + std::to_string(result->status)};
    }
    return collector.take();
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
    BodyCollector collector(BootClock::now() + timeout_);
    httplib::Client client = clientFor(address_, timeout_);
    const httplib::Result result = client.Get(
        "/metrics", [&collector](const char *data, std::size_t size) { return collector.add(data, size); });
    return bodyOf(result, collector, address_.toString());
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
    BodyCollector collector(BootClock::now() + timeout_);
    httplib::Client client = clientFor(address_, timeout_);
    httplib::Request request;
    request.method = "POST";
    request.path = "/";
    request.body = body;
    request.set_header("Content-Type", "application/json");
    request.content_receiver = [&collector](const char *data, std::size_t size, std::uint64_t, std::uint64_t) {
        return collector.add(data, size);
    };
    const httplib::Result result = client.send(request);
    return bodyOf(result, collector, address_.toString());
}

} // namespace sassafrasvane

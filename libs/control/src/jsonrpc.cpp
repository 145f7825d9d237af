#include "jsonrpc.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/server.h>

#include <json/json.h>

#include <map>
#include <stdexcept>

namespace sassafrasvane
{
namespace detail
{

namespace
{

std::string toText(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

Json::Value toValue(const std::string &text)
{
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors)) {
        throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR, "not JSON");
    }
    return value;
}

/// Hands the requests of a jsonrpc::Client to an RpcTransport.
class TransportConnector : public jsonrpc::IClientConnector
{
public:
    explicit TransportConnector(const RpcTransport &transport) : transport_(transport) { }

    // The exception specification of the base class allows JsonRpcException only, so that others wait for rethrow().
    void SendRPCMessage(const std::string &message,
                        std::string &result) throw(jsonrpc::JsonRpcException) override // NOLINT
    {
        try {
            result = transport_(message);
        } catch (const std::exception &) {
            failure_ = std::current_exception();
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, "no reply");
        }
    }

    void rethrow() const
    {
        if (failure_) {
            std::rethrow_exception(failure_);
        }
    }

private:
    const RpcTransport &transport_;
    std::exception_ptr failure_;
};

} // namespace

class RpcDispatcher::Impl : public jsonrpc::IProcedureInvokationHandler
{
public:
    Impl() : handler_(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2, *this)) { }

    void add(const jsonrpc::Procedure &procedure, RpcMethod method)
    {
        methods_[procedure.GetProcedureName()] = std::move(method);
        handler_->AddProcedure(procedure);
    }

    std::string handle(const std::string &request)
    {
        std::string reply;
        handler_->HandleRequest(request, reply);
        return reply;
    }

    void HandleMethodCall(jsonrpc::Procedure &procedure,
                          const Json::Value &input,
                          Json::Value &output) override // NOLINT
    {
        const RpcOutcome outcome = methods_.at(procedure.GetProcedureName())(toText(input));
        if (!outcome.isOk) {
            throw jsonrpc::JsonRpcException(outcome.code, outcome.message);
        }
        output = toValue(outcome.result);
    }

    void HandleNotificationCall(jsonrpc::Procedure &, const Json::Value &) override { } // NOLINT

private:
    std::map<std::string, RpcMethod> methods_;
    std::unique_ptr<jsonrpc::IProtocolHandler> handler_;
};

RpcDispatcher::RpcDispatcher() : impl_(new Impl)
{
}

RpcDispatcher::~RpcDispatcher() = default;

void RpcDispatcher::add(const std::string &name, RpcMethod method)
{
    impl_->add(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr), std::move(method));
}

void RpcDispatcher::add(const std::string &name, const std::string &parameter, RpcMethod method)
{
    const jsonrpc::Procedure procedure(
        name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, parameter.c_str(), jsonrpc::JSON_STRING, nullptr);
    impl_->add(procedure, std::move(method));
}

std::string RpcDispatcher::handle(const std::string &request)
{
    return impl_->handle(request);
}

RpcOutcome callRpc(const RpcTransport &transport, const std::string &method, const std::string &parameters)
{
    TransportConnector connector(transport);
    RpcOutcome outcome;
    try {
        jsonrpc::Client client(connector);
        outcome.result = toText(client.CallMethod(method, toValue(parameters)));
        outcome.isOk = true;
    } catch (const jsonrpc::JsonRpcException &exception) {
        connector.rethrow();
        outcome.code = exception.GetCode();
        outcome.message = exception.GetMessage();
    } catch (const std::exception &exception) {
        outcome.code = jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE;
        outcome.message = exception.what();
    }
    return outcome;
}

} // namespace detail
} // namespace sassafrasvane

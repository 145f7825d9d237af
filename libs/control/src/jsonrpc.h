#pragma once

#include <functional>
#include <memory>
#include <string>

/// \file
/// JSON-RPC 2.0 by libjsonrpccpp, whose headers need C++14. This header is valid in C++14 and hides them.

namespace sassafrasvane
{
namespace detail
{

/// The end of a call: a result or an error.
struct RpcOutcome {
    bool isOk = false;
    /// The result as JSON text; valid if isOk.
    std::string result;
    /// The JSON-RPC error code; valid unless isOk.
    int code = 0;
    /// The error's message; valid unless isOk.
    std::string message;
};

/// Runs one method. \param parameters the named parameters as a JSON object.
using RpcMethod = std::function<RpcOutcome(const std::string &parameters)>;

/// Sends a request and returns the reply; throws std::runtime_error if there is none.
using RpcTransport = std::function<std::string(const std::string &request)>;

/// Decodes requests, runs their methods and encodes the replies.
class RpcDispatcher
{
public:
    RpcDispatcher();
    RpcDispatcher(const RpcDispatcher &) = delete;
    RpcDispatcher &operator=(const RpcDispatcher &) = delete;
    ~RpcDispatcher();

    /// Adds a method without parameters.
    void add(const std::string &name, RpcMethod method);

    /// Adds a method with one named parameter of type string.
    void add(const std::string &name, const std::string &parameter, RpcMethod method);

    /// \return the reply to \p request, an error reply if it is malformed.
    std::string handle(const std::string &request);

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

/// Calls \p method with \p parameters, a JSON object. What the transport throws is passed on; a malformed reply gives
/// an outcome with the code of libjsonrpccpp.
RpcOutcome callRpc(const RpcTransport &transport, const std::string &method, const std::string &parameters);

} // namespace detail
} // namespace sassafrasvane

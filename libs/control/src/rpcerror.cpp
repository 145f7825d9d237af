#include "rpcerror.h"

namespace sassafrasvane::detail
{

namespace
{

/// JSON-RPC codes of our own errors are this one plus their Errc; negative codes belong to the protocol.
constexpr int errcBase = 1'000;

} // namespace

RpcOutcome toOutcome(const Error &error)
{
    RpcOutcome outcome;
    outcome.code = errcBase + static_cast<int>(error.errc());
    outcome.message = error.detail;
    return outcome;
}

Error toError(const RpcOutcome &outcome, const std::string &peer)
{
    const int errc = outcome.code - errcBase;
    const bool isOurs = errc >= 1 && errc <= static_cast<int>(Errc::Internal);
    return Error{isOurs ? static_cast<Errc>(errc) : Errc::BadMessage, Step::Receive, peer, outcome.message};
}

} // namespace sassafrasvane::detail

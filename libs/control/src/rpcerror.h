#pragma once

#include "base/error.h"
#include "jsonrpc.h"

#include <string>

/// \file
/// Errors as JSON-RPC error codes.

namespace sassafrasvane::detail
{

/// The outcome that carries \p error.
RpcOutcome toOutcome(const Error &error);

/// The error that \p outcome carries. \param peer the daemon that sent it.
Error toError(const RpcOutcome &outcome, const std::string &peer);

} // namespace sassafrasvane::detail

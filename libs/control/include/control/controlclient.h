#pragma once

#include "base/address.h"
#include "base/error.h"
#include "base/time.h"
#include "control/messages.h"

#include <string>
#include <string_view>

/// \file
/// The operators' side of the operators' protocol.

namespace sassafrasvane
{

/// Calls one daemon. Each call opens a connection of its own and may block up to the timeout.
///
/// \code
/// const ControlClient client(address, std::chrono::seconds(2));
/// const Result<DaemonStatus> status = client.status();
/// \endcode
class ControlClient
{
public:
    /// Largest reply that is read, in bytes.
    static constexpr std::size_t maxReplyBytes = 8'388'608;

    /// \param address the daemon's address for operators. \param timeout of a call, its connection and reply together.
    ControlClient(const Address &address, Duration timeout) noexcept;

    /// The daemon's state.
    Result<DaemonStatus> status() const;

    /// What the daemon knows about \p subject.
    Result<WhyReply> why(const WhySubject &subject) const;

    /// The advice that the daemon gives to callers.
    Result<EntriesReply> entries() const;

    /// Begins the daemon's planned stop. \param key the operators' key.
    Result<DrainReply> drain(std::string_view key) const;

    /// The metrics in the Prometheus text format.
    Result<std::string> metrics() const;

private:
    Result<std::string> call(const std::string &method, const std::string &parameters) const;
    Result<std::string> post(const std::string &body) const;

    Address address_;
    Duration timeout_;
};

} // namespace sassafrasvane

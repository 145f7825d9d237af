#pragma once

#include "base/error.h"
#include "base/ids.h"

#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// IP addresses with ports.

namespace sassafrasvane
{

/// An IPv4 address and a port, in host byte order.
struct Address {
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    auto operator<=>(const Address &) const noexcept = default;

    /// The dotted address without the port, such as "10.0.0.7".
    std::string host() const;

    /// Address and port, such as "10.0.0.7:7001".
    std::string toString() const;

    /// Reads "10.0.0.7:7001". Host names are not accepted.
    /// \return the address, or Errc::InvalidRequest with what is wrong.
    static Result<Address> parse(std::string_view text);
};

/// The identity of the daemon whose peer address is \p address.
DaemonId daemonId(const Address &address) noexcept;

/// The peer address of \p daemon.
Address peerAddress(DaemonId daemon) noexcept;

} // namespace sassafrasvane

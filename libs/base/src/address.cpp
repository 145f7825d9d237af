#include "base/address.h"

#include <arpa/inet.h>

#include <charconv>

namespace sassafrasvane
{

namespace
{

constexpr unsigned portBits = 16;
constexpr std::uint64_t portMask = 0xffff;

Error invalid(std::string_view text, const char *why)
{
    return Error{Errc::InvalidRequest, Step::Settings, {}, "address \"" + std::string(text) + "\": " + why};
}

} // namespace

std::string Address::host() const
{
    const in_addr address{htonl(ip)};
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &address, text, sizeof text);
    return text;
}

std::string Address::toString() const
{
    return host() + ':' + std::to_string(port);
}

Result<Address> Address::parse(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return invalid(text, "no port");
    }
    const std::string host(text.substr(0, colon));
    in_addr parsed{};
    if (inet_pton(AF_INET, host.c_str(), &parsed) != 1) {
        return invalid(text, "not an IPv4 address");
    }
    std::uint16_t port = 0;
    const char *const end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data() + colon + 1, end, port);
    if (result.ec != std::errc() || result.ptr != end || port == 0) {
        return invalid(text, "the port is not in 1..65535");
    }
    return Address{ntohl(parsed.s_addr), port};
}

DaemonId daemonId(const Address &address) noexcept
{
    return DaemonId{(std::uint64_t{address.ip} << portBits) | address.port};
}

Address peerAddress(DaemonId daemon) noexcept
{
    return Address{static_cast<std::uint32_t>(daemon.value >> portBits),
                   static_cast<std::uint16_t>(daemon.value & portMask)};
}

} // namespace sassafrasvane

#include "bytes.h"

#include "base/address.h"

/// \file
/// Any text as an address.

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace sassafrasvane;
    const Result<Address> read = Address::parse(textOf(data, size));
    if (read.has_value()) {
        const Result<Address> again = Address::parse(read.value().toString());
        check(again.has_value() && again.value() == read.value());
        check(peerAddress(daemonId(read.value())) == read.value());
    }
    return 0;
}

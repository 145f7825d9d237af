#include "bytes.h"

#include "once/ticket.h"

/// \file
/// Any text as a ticket.

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    using namespace sassafrasvane;
    const std::vector<std::string> keys{"key", "former key"};
    const TicketCodec codec(keys);
    const std::string_view text = textOf(data, size);
    const Result<Ticket> read = codec.decode(text);
    if (read.has_value()) {
        // Under the first key there is one text for each ticket.
        const Result<Ticket> again = codec.decode(codec.encode(read.value()));
        check(again.has_value() && again.value() == read.value());
    }
    return 0;
}

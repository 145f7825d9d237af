#pragma once

#include "datagramreader.h"
#include "fleet/messages.h"

/// \file
/// Serialisation of the fields of each message, in their order on the wire.

namespace sassafrasvane::detail
{

void write(DatagramWriter &writer, const GossipMessage &message);
void write(DatagramWriter &writer, const ConfigMessage &message);
void write(DatagramWriter &writer, const CrashMessage &message);
void write(DatagramWriter &writer, const QuotaMessage &message);

/// Reads the fields after the sender's id and incarnation, which the caller has set in \p message.
void read(DatagramReader &reader, GossipMessage &message);
void read(DatagramReader &reader, ConfigMessage &message);
void read(DatagramReader &reader, CrashMessage &message);
void read(DatagramReader &reader, QuotaMessage &message);

} // namespace sassafrasvane::detail

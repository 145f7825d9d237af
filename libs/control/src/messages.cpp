#include "control/messages.h"

#include <array>

namespace sassafrasvane
{

namespace
{

constexpr std::array<const char *, 4> phaseNames{"starting", "serving", "draining", "stopped"};

} // namespace

const char *name(DaemonPhase phase) noexcept
{
    return phaseNames[static_cast<std::size_t>(phase)];
}

WhySubject WhySubject::parse(std::string_view text)
{
    WhySubject subject;
    const Result<TraceId> trace = TraceId::parse(text);
    const Result<Address> server = Address::parse(text);
    if (trace.has_value()) {
        subject.trace = trace.value();
    } else if (server.has_value()) {
        subject.server = server.value();
    } else {
        subject.cls = std::string(text);
    }
    return subject;
}

std::string WhySubject::toString() const
{
    if (trace) {
        return trace->toString();
    }
    return server ? server->toString() : cls.value_or("");
}

DecisionFilter WhySubject::filter() const
{
    DecisionFilter filter;
    filter.trace = trace;
    filter.server = server;
    filter.cls = cls;
    return filter;
}

} // namespace sassafrasvane

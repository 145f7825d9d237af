#include "base/error.h"

namespace sassafrasvane
{

namespace
{

class ErrorCategory : public std::error_category
{
public:
    const char *name() const noexcept override { return "sassafrasvane"; }

    std::string message(int value) const override { return sassafrasvane::name(static_cast<Errc>(value)); }
};

} // namespace

const std::error_category &errorCategory() noexcept
{
    static const ErrorCategory category;
    return category;
}

std::error_code make_error_code(Errc code) noexcept
{
    return {static_cast<int>(code), errorCategory()};
}

const char *name(Errc code) noexcept
{
    switch (code) {
    case Errc::InvalidRequest:
        return "invalid_request";
    case Errc::TooLarge:
        return "too_large";
    case Errc::DeadlinePassed:
        return "deadline_passed";
    case Errc::Overloaded:
        return "overloaded";
    case Errc::Draining:
        return "draining";
    case Errc::Barred:
        return "barred";
    case Errc::NoSnapshot:
        return "no_snapshot";
    case Errc::NoServer:
        return "no_server";
    case Errc::ConnectFailed:
        return "connect_failed";
    case Errc::ConnectionLost:
        return "connection_lost";
    case Errc::BadMessage:
        return "bad_message";
    case Errc::WrongVersion:
        return "wrong_version";
    case Errc::Refused:
        return "refused";
    case Errc::Timeout:
        return "timeout";
    case Errc::Cancelled:
        return "cancelled";
    case Errc::NotAuthentic:
        return "not_authentic";
    case Errc::StaleIncarnation:
        return "stale_incarnation";
    case Errc::StaleConfiguration:
        return "stale_configuration";
    case Errc::InvalidConfiguration:
        return "invalid_configuration";
    case Errc::TicketExpired:
        return "ticket_expired";
    case Errc::OutcomeUnknown:
        return "outcome_unknown";
    case Errc::Unavailable:
        return "unavailable";
    case Errc::Internal:
        return "internal";
    }
    return "internal";
}

const char *name(Step step) noexcept
{
    switch (step) {
    case Step::Settings:
        return "settings";
    case Step::Configuration:
        return "configuration";
    case Step::Accept:
        return "accept";
    case Step::Route:
        return "route";
    case Step::Queue:
        return "queue";
    case Step::Connect:
        return "connect";
    case Step::Send:
        return "send";
    case Step::Run:
        return "run";
    case Step::Receive:
        return "receive";
    case Step::Merge:
        return "merge";
    case Step::Gossip:
        return "gossip";
    case Step::Ticket:
        return "ticket";
    case Step::Stop:
        return "stop";
    }
    return "accept";
}

const char *name(Ran ran) noexcept
{
    switch (ran) {
    case Ran::No:
        return "no";
    case Ran::Yes:
        return "yes";
    case Ran::Unknown:
        return "unknown";
    }
    return "unknown";
}

Error::Error(Errc errc, Step step, std::string peer, std::string detail)
    : code(make_error_code(errc)), step(step), peer(std::move(peer)), detail(std::move(detail))
{
}

Errc Error::errc() const noexcept
{
    return code.category() == errorCategory() ? static_cast<Errc>(code.value()) : Errc::Internal;
}

std::string Error::message() const
{
    std::string text = sassafrasvane::name(step);
    if (!peer.empty()) {
        text += ' ' + peer;
    }
    text += ": " + code.message();
    if (!detail.empty()) {
        text += " (" + detail + ')';
    }
    return text;
}

} // namespace sassafrasvane

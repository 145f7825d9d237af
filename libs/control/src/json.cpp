#include "control/json.h"

#include "messagesjson.h"

namespace sassafrasvane
{

namespace
{

template<typename Message>
std::string textOf(const Message &message)
{
    return nlohmann::json(message).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

std::string toJson(const DaemonStatus &status)
{
    return textOf(status);
}

std::string toJson(const WhyReply &reply)
{
    return textOf(reply);
}

std::string toJson(const EntriesReply &reply)
{
    return textOf(reply);
}

std::string toJson(const DrainReply &reply)
{
    return textOf(reply);
}

} // namespace sassafrasvane

#pragma once

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <exception>
#include <functional>

/// \file
/// JSON bodies for the stand-ins' handlers.

namespace sassafrasvane
{

/// Answers with \p status and \p body.
inline void reply(httplib::Response &response, int status, const nlohmann::json &body)
{
    response.status = status;
    response.set_content(body.dump(), "application/json");
}

/// Runs \p handler on the parsed body; answers 400 if the body is not what the handler expects.
inline void withBody(const httplib::Request &request,
                     httplib::Response &response,
                     const std::function<void(const nlohmann::json &)> &handler)
{
    try {
        handler(request.body.empty() ? nlohmann::json::object() : nlohmann::json::parse(request.body));
    } catch (const std::exception &exception) {
        reply(response, 400, {{"error", exception.what()}});
    }
}

} // namespace sassafrasvane

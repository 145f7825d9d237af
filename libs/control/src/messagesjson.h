#pragma once

#include "control/messages.h"

#include <nlohmann/json.hpp>

/// \file
/// The JSON form of the operators' messages. The readers throw nlohmann::json::exception or std::invalid_argument.

namespace sassafrasvane
{

void to_json(nlohmann::json &json, const DaemonStatus &status);
void from_json(const nlohmann::json &json, DaemonStatus &status);
void to_json(nlohmann::json &json, const WhyReply &reply);
void from_json(const nlohmann::json &json, WhyReply &reply);
void to_json(nlohmann::json &json, const EntriesReply &reply);
void from_json(const nlohmann::json &json, EntriesReply &reply);
void to_json(nlohmann::json &json, const DrainReply &reply);
void from_json(const nlohmann::json &json, DrainReply &reply);

} // namespace sassafrasvane

#pragma once

#include <chervilbend/routing/prompt_evidence.hpp>

#include <json/value.h>

#include <optional>

namespace chervilbend::fleet
{

Json::Value toJson(const routing::prompt_evidence &evidence);

/// No value if a member is missing or has the wrong type.
std::optional<routing::prompt_evidence> readPromptEvidence(const Json::Value &json);

} // namespace chervilbend::fleet

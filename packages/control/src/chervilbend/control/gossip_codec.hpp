#pragma once

#include <chervilbend/membership/gossip.hpp>

#include <json/value.h>

#include <optional>

namespace chervilbend::control
{

/// Encodes gossip as JSON. Members are arrays without field names to keep messages small, since each probe carries up to nine members.
Json::Value encodeGossip(const membership::gossip &message);

/// Decodes gossip. No value if the message is malformed.
std::optional<membership::gossip> decodeGossip(const Json::Value &message);

} // namespace chervilbend::control

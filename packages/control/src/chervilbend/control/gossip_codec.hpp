#pragma once

#include <chervilbend/membership/gossip.hpp>

#include <json/value.h>

#include <optional>

namespace chervilbend::control
{

/// The JSON form of gossip: members as arrays without names, since each probe carries up to nine of them.
Json::Value encodeGossip(const membership::gossip &message);

/// Reads gossip; no value when it is malformed.
std::optional<membership::gossip> decodeGossip(const Json::Value &message);

} // namespace chervilbend::control

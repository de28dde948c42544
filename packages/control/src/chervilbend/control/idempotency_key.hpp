#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/control/order_request.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace chervilbend::control
{

/// Returns the creation time of a key that is a version 7 UUID (RFC 9562, section 5.7: the first 48 bits are the Unix time in milliseconds).
/// No value for other keys.
std::optional<base::milliseconds> creationTime(std::string_view idempotencyKey);

/// Returns the hash of account, route and key that identifies the order in the log.
std::string orderKeyHash(const order_request &order);

} // namespace chervilbend::control

#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/control/order_request.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace chervilbend::control
{

/// Wall-clock time in a key that is a UUID of version 7 (RFC 9562, section 5.7: the first 48 bits are milliseconds since 1970). No value
/// for other keys.
std::optional<base::milliseconds> creationTime(std::string_view idempotencyKey);

/// Hash of account, route and key, under which the log holds the order.
std::string orderKeyHash(const order_request &order);

} // namespace chervilbend::control

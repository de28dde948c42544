#pragma once

#include <chervilbend/fleet/remote_configuration.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>

namespace chervilbend::fleet
{

/// Gets the configuration from another node.
class configuration_provider
{
public:
    virtual ~configuration_provider() = default;

    /// A version newer than @p version, or any if this node has none. No value when no other node is known, or the one that was asked has not answered
    /// or has nothing newer.
    virtual boost::asio::awaitable<std::optional<remote_configuration>> newerThan(std::optional<std::int64_t> version) = 0;
};

} // namespace chervilbend::fleet

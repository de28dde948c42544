#pragma once

#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/external/engine_command.hpp>
#include <chervilbend/external/engine_report.hpp>
#include <chervilbend/net/address.hpp>

#include <boost/asio/awaitable.hpp>

#include <optional>

namespace chervilbend::external
{

/// Sends commands to model engines and reads their reports.
class engine_control : public base::reason_holder
{
public:
    virtual ~engine_control() = default;

    virtual boost::asio::awaitable<command_status> send(net::address engine, engine_command command) = 0;

    virtual boost::asio::awaitable<std::optional<engine_report>> report(net::address engine) = 0;
};

} // namespace chervilbend::external

#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/fleet/endpoint_entry.hpp>
#include <chervilbend/net/address.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace chervilbend::fleet
{

enum class engine_action {
    load,
    unload,
};

/// A command to one engine.
struct engine_command {
    engine_action action = engine_action::load;
    std::string model;
    /// Empty for the model itself.
    std::string adapter;
    /// The engine accepts the command only if it has accepted this many commands before; without a value, it does not check the count.
    std::optional<std::int64_t> expectedCommands;
    base::node_id holder;
    std::int64_t fencingToken = 0;
};

enum class command_result {
    /// The engine is executing it.
    accepted,
    /// The requested state already holds.
    alreadyHolds,
    /// Another command is in progress, or the command count differs.
    conflict,
    /// The engine has seen a higher fencing token.
    fenced,
    /// Another process has the address.
    misdirected,
    /// The engine rejects it permanently: the model does not exist there, or the command is incomplete.
    invalid,
    /// Nothing was sent.
    notSent,
    /// No answer: the command may still be executed, even seconds later.
    unknown,
};

/// An engine's answer to a status query.
struct engine_status {
    std::vector<resident_model> models;
    /// A command is in progress.
    bool busy = false;
    /// Number of commands accepted since its start.
    std::int64_t commands = 0;
    /// "MODEL/ADAPTER" of adapters that are being loaded.
    std::set<std::string> loadingAdapters;
    int running = 0;
    int queued = 0;
    std::int64_t startedAt = 0;
};

/// Sends commands and status queries to model engines.
class engine_commands : public base::reason_holder
{
public:
    virtual ~engine_commands() = default;

    /// @p instance is the process that the command is addressed to; any other process refuses it.
    virtual boost::asio::awaitable<command_result> send(net::address engine, base::endpoint_id instance, engine_command command) = 0;
    virtual boost::asio::awaitable<std::optional<engine_status>> status(net::address engine, base::endpoint_id instance) = 0;
};

} // namespace chervilbend::fleet

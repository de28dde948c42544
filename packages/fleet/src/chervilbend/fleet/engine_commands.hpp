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
    /// Commands that the engine must have accepted so far for this one to be taken; no value for any number.
    std::optional<std::int64_t> expectedCommands;
    base::node_id holder;
    std::int64_t fencingToken = 0;
};

enum class command_result {
    /// It is being carried out.
    accepted,
    /// What it asks for holds already.
    alreadyHolds,
    /// Another command is under way, or the count of commands differs.
    conflict,
    /// The engine has seen a higher fencing token.
    fenced,
    /// Another process has the address.
    misdirected,
    /// The engine refuses it for good: the model does not exist there, or the command is incomplete.
    invalid,
    /// Nothing was sent.
    notSent,
    /// No answer: it may be carried out, even seconds later.
    unknown,
};

/// What an engine says when asked.
struct engine_status {
    std::vector<resident_model> models;
    /// A command is under way.
    bool busy = false;
    /// Commands that it has accepted since its start.
    std::int64_t commands = 0;
    /// "MODEL/ADAPTER" of adapters on their way.
    std::set<std::string> loadingAdapters;
    int running = 0;
    int queued = 0;
    std::int64_t startedAt = 0;
};

/// Commands to model engines, and their own word on what they hold.
class engine_commands : public base::reason_holder
{
public:
    virtual ~engine_commands() = default;

    /// @p instance is the process that the command is meant for; any other refuses it.
    virtual boost::asio::awaitable<command_result> send(net::address engine, base::endpoint_id instance, engine_command command) = 0;
    virtual boost::asio::awaitable<std::optional<engine_status>> status(net::address engine, base::endpoint_id instance) = 0;
};

} // namespace chervilbend::fleet

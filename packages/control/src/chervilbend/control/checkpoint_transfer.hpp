#pragma once

#include <chervilbend/external/log_service.hpp>
#include <chervilbend/state/checkpoint_assembler.hpp>
#include <chervilbend/state/replicated_state.hpp>

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace chervilbend::control
{

/// Reads the checkpoint stream @p log and returns the newest complete checkpoint of @p stream. No value if there is none or the log is
/// unavailable.
boost::asio::awaitable<std::optional<state::checkpoint_assembler::checkpoint>> readCheckpoint(external::log_service &log, std::string stream);

/// Appends a checkpoint of @p state to the checkpoint stream @p log. Returns whether all of its chunks were accepted; readers ignore
/// the chunks of an incomplete checkpoint. @p checkpointId must be unique, for example node, incarnation and offset.
boost::asio::awaitable<bool> writeCheckpoint(external::log_service &log, std::string stream, const state::replicated_state &state, std::string checkpointId);

} // namespace chervilbend::control

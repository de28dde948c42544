#pragma once

#include <chervilbend/base/reason.hpp>
#include <chervilbend/net/http_types.hpp>

#include <string>

namespace chervilbend::node
{

/// The problem document for a reason, whose header says the run state, too.
net::http_response problemAnswer(const base::reason &why, base::run_state state);
net::http_response problemAnswer(const base::reason &why);

/// The problem as the last event of a stream that was started and cannot be brought to its end.
std::string problemEvent(const base::reason &why, base::run_state state);

} // namespace chervilbend::node

#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/state/entries.hpp>

#include <boost/asio/awaitable.hpp>

#include <vector>

namespace chervilbend::control
{

/// Appends entries to the log. Only the replicated state shows whether they took effect.
class entry_sink
{
public:
    virtual ~entry_sink() = default;

    /// Appends one entry with the next record.
    virtual void append(state::entry entry) = 0;

    /// Appends entries atomically, in a single record.
    virtual void appendBatch(std::vector<state::entry> entries) = 0;

    /// Appends entries in a single record and waits until this node has applied it. False if that has not happened by @p deadline; the
    /// record may still be applied later.
    virtual boost::asio::awaitable<bool> appendAndApply(std::vector<state::entry> entries, base::time_point deadline) = 0;
};

} // namespace chervilbend::control

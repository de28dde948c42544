#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/state/entries.hpp>

#include <boost/asio/awaitable.hpp>

#include <vector>

namespace chervilbend::control
{

/// Takes entries for the log. Whether they take effect shows in the fold.
class entry_sink
{
public:
    virtual ~entry_sink() = default;

    /// Appends one entry with the next record.
    virtual void append(state::entry entry) = 0;

    /// Appends entries in one record, so that all of them or none are in the log.
    virtual void appendTogether(std::vector<state::entry> entries) = 0;

    /// Appends entries in one record and waits until this node has folded it. False when that has not happened by @p deadline; the
    /// record may still come.
    virtual boost::asio::awaitable<bool> appendAndFold(std::vector<state::entry> entries, base::time_point deadline) = 0;
};

} // namespace chervilbend::control

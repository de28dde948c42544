#pragma once

#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/state/entries.hpp>

namespace chervilbend::node
{

/// Submits publishes to the log.
class publish_sink : public base::reason_holder
{
public:
    virtual ~publish_sink() = default;

    /// Queues an entry for the next record that is appended. Returns false and sets the last reason if the entry was not queued and will
    /// never be appended. True does not guarantee that it will be appended.
    virtual bool submit(state::entry entry) = 0;
};

} // namespace chervilbend::node

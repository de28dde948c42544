#pragma once

#include <chervilbend/base/reason_holder.hpp>
#include <chervilbend/state/entries.hpp>

namespace chervilbend::node
{

/// Takes publishes for the log.
class publish_sink : public base::reason_holder
{
public:
    virtual ~publish_sink() = default;

    /// Takes an entry to be appended with the next record. False, with a last reason, when it was not taken and will never be appended;
    /// true says only that it may be appended.
    virtual bool submit(state::entry entry) = 0;
};

} // namespace chervilbend::node

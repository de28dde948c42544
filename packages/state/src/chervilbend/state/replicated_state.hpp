#pragma once

#include <chervilbend/base/ids.hpp>
#include <chervilbend/base/units.hpp>
#include <chervilbend/state/views.hpp>

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace chervilbend::state
{

/// The state that all nodes derive from the log: the same records in the same order give the same state.
class replicated_state
{
public:
    replicated_state();
    ~replicated_state();

    /// Commands.

    /// Applies the record at @p offset, which must be greater than folded(). Entries that are out of date, invalid or of unknown
    /// kind have no effect.
    void fold(base::log_offset offset, std::string_view payload);

    /// Queries.

    /// Offset of the last record applied.
    base::log_offset folded() const;
    const std::map<base::service_id, service_view> &services() const;
    const std::map<base::lease_name, lease_view> &leases() const;
    const std::map<base::endpoint_id, endpoint_view> &endpoints() const;
    /// The key's state, nullptr when it is free.
    const claim_view *claim(const std::string &keyHash) const;

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace chervilbend::state

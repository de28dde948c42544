#pragma once

#include <chervilbend/config/service_declaration.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace chervilbend::node
{

/// The declarations of the publishes that this node has read since its start. The fold keeps only those in force, because every node holds
/// it and checkpoints carry it.
class declaration_cache
{
public:
    /// About 3 KB each, so 1,000 stay within a tenth of a node's 32 MB for control. At 3,000 changes a day they reach back 8 hours.
    explicit declaration_cache(std::size_t capacity = 1'000);

    /// Looks for publish entries in a record. Call for each record that is folded.
    void observe(std::string_view payload);

    std::optional<config::service_declaration> find(const std::string &publishId) const;

private:
    std::size_t m_capacity;
    std::map<std::string, config::service_declaration> m_declarations;
    std::deque<std::string> m_order;
};

} // namespace chervilbend::node

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

/// Declarations of the publishes that this node has read since its start. The replicated state keeps only those in force, because every
/// node holds it and checkpoints contain it.
class declaration_cache
{
public:
    /// @p capacity is the number of declarations kept. At about 3 KB each, 1,000 of them stay within a tenth of the 32 MB that a node has
    /// for its control plane. At 3,000 changes per day they cover 8 hours.
    explicit declaration_cache(std::size_t capacity = 1'000);

    /// Adds the declarations of the publish entries in a record. Call it for each record that is applied.
    void observe(std::string_view payload);

    std::optional<config::service_declaration> find(const std::string &publishId) const;

private:
    std::size_t m_capacity;
    std::map<std::string, config::service_declaration> m_declarations;
    std::deque<std::string> m_insertionOrder;
};

} // namespace chervilbend::node

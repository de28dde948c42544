#include <chervilbend/node/operators/declaration_cache.hpp>

#include <chervilbend/state/record_codec.hpp>

#include <utility>
#include <variant>

namespace chervilbend::node
{

declaration_cache::declaration_cache(std::size_t capacity)
    : m_capacity(capacity)
{
}

void declaration_cache::observe(std::string_view payload)
{
    // Most records hold no publish, and decoding one twice would double the cost of folding.
    if (payload.find("\"publish\"") == std::string_view::npos) {
        return;
    }
    for (state::entry &item : state::decodeRecord(payload).entries) {
        auto *publish = std::get_if<state::publish_entry>(&item);
        if (!publish || !m_declarations.emplace(publish->publishId, std::move(publish->declaration)).second) {
            continue;
        }
        m_order.push_back(publish->publishId);
        if (m_order.size() > m_capacity) {
            m_declarations.erase(m_order.front());
            m_order.pop_front();
        }
    }
}

std::optional<config::service_declaration> declaration_cache::find(const std::string &publishId) const
{
    const auto found = m_declarations.find(publishId);
    return found == m_declarations.end() ? std::nullopt : std::optional(found->second);
}

} // namespace chervilbend::node

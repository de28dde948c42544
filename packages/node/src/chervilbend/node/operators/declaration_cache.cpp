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
    // Most records contain no publish, and decoding each record a second time would double the cost of applying it.
    if (payload.find("\"publish\"") == std::string_view::npos) {
        return;
    }
    for (state::entry &item : state::decodeRecord(payload).entries) {
        auto *publish = std::get_if<state::publish_entry>(&item);
        if (!publish || !m_declarations.emplace(publish->publishId, std::move(publish->declaration)).second) {
            continue;
        }
        m_insertionOrder.push_back(publish->publishId);
        if (m_insertionOrder.size() > m_capacity) {
            m_declarations.erase(m_insertionOrder.front());
            m_insertionOrder.pop_front();
        }
    }
}

std::optional<config::service_declaration> declaration_cache::find(const std::string &publishId) const
{
    const auto found = m_declarations.find(publishId);
    return found == m_declarations.end() ? std::nullopt : std::optional(found->second);
}

} // namespace chervilbend::node

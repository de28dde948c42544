#pragma once

#include <chervilbend/routing/internal/request_state.hpp>

#include <cstdint>
#include <deque>
#include <vector>

namespace chervilbend::routing
{

/// Holds the submitted requests. A handle consists of a slot index and the slot's generation, so that a stale handle finds nothing rather
/// than another request.
class request_table
{
public:
    request_state &add()
    {
        if (m_free.empty()) {
            m_free.push_back(static_cast<std::uint32_t>(m_slots.size()));
            m_slots.emplace_back();
        }
        const std::uint32_t index = m_free.back();
        m_free.pop_back();
        request_state &request = m_slots[index].request;
        request = request_state();
        request.id = (static_cast<request_handle>(++m_slots[index].generation) << 32U) | index;
        return request;
    }

    /// Returns nullptr if the handle is no longer valid.
    request_state *find(request_handle id)
    {
        const auto index = static_cast<std::uint32_t>(id);
        return id != 0 && index < m_slots.size() && m_slots[index].request.id == id ? &m_slots[index].request : nullptr;
    }

    const request_state *find(request_handle id) const
    {
        return const_cast<request_table *>(this)->find(id);
    }

    void remove(request_state &request)
    {
        m_free.push_back(static_cast<std::uint32_t>(request.id));
        request = request_state();
    }

private:
    struct slot {
        request_state request;
        std::uint32_t generation = 0;
    };

    std::deque<slot> m_slots;
    std::vector<std::uint32_t> m_free;
};

} // namespace chervilbend::routing

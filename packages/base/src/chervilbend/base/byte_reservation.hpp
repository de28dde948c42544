#pragma once

#include <chervilbend/base/byte_budget.hpp>

#include <cstddef>
#include <memory>
#include <utility>

namespace chervilbend::base
{

/// Part of a byte_budget; given back at its end.
class byte_reservation
{
public:
    explicit byte_reservation(std::shared_ptr<byte_budget> budget)
        : m_budget(std::move(budget))
    {
    }

    ~byte_reservation()
    {
        m_budget->giveBack(m_bytes);
    }

    byte_reservation(const byte_reservation &) = delete;
    byte_reservation &operator=(const byte_reservation &) = delete;

    /// Reserves @p bytes in place of what was reserved before. False, without a change, if the budget has less left.
    bool resize(std::size_t bytes)
    {
        if (bytes > m_bytes && !m_budget->tryTake(bytes - m_bytes)) {
            return false;
        }
        if (bytes < m_bytes) {
            m_budget->giveBack(m_bytes - bytes);
        }
        m_bytes = bytes;
        return true;
    }

private:
    std::shared_ptr<byte_budget> m_budget;
    std::size_t m_bytes = 0;
};

} // namespace chervilbend::base

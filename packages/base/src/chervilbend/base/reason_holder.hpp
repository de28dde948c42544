#pragma once

#include <chervilbend/base/reason.hpp>

#include <optional>
#include <string>
#include <utility>

namespace chervilbend::base
{

/// Base class for classes whose functions return std::optional and store the reason when they return no value.
class reason_holder
{
public:
    /// Why the last call returned no value. Must be read before the next call on the object or the next suspension of the coroutine.
    const reason &lastReason() const
    {
        return m_lastReason;
    }

protected:
    ~reason_holder() = default;

    /// Stores the reason; for use as `return fail(kind, text);`.
    std::nullopt_t fail(error_kind kind, std::string text)
    {
        m_lastReason = {kind, std::move(text)};
        return std::nullopt;
    }

    std::nullopt_t fail(reason why)
    {
        m_lastReason = std::move(why);
        return std::nullopt;
    }

private:
    reason m_lastReason;
};

} // namespace chervilbend::base

#pragma once

#include <chervilbend/base/reason.hpp>

#include <optional>
#include <string>
#include <utility>

namespace chervilbend::base
{

/// Base of classes whose functions return std::optional and keep the reason when there is no value.
class reason_holder
{
public:
    /// Why the last call returned no value. Read it before the next call or suspension.
    const reason &lastReason() const
    {
        return m_lastReason;
    }

protected:
    ~reason_holder() = default;

    /// Keeps the reason; for use as `return fail(kind, text);`.
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

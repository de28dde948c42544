#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace chervilbend::base
{

/// A string identifier that does not convert to identifiers of other kinds. Tag distinguishes the kinds.
template<typename Tag>
class strong_id
{
public:
    strong_id() = default;

    explicit strong_id(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string &value() const
    {
        return m_value;
    }

    bool empty() const
    {
        return m_value.empty();
    }

    friend auto operator<=>(const strong_id &, const strong_id &) = default;
    friend bool operator==(const strong_id &, const strong_id &) = default;

    friend std::ostream &operator<<(std::ostream &stream, const strong_id &id)
    {
        return stream << id.m_value;
    }

private:
    std::string m_value;
};

} // namespace chervilbend::base

template<typename Tag>
struct std::hash<chervilbend::base::strong_id<Tag>> {
    std::size_t operator()(const chervilbend::base::strong_id<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.value());
    }
};

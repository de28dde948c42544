#pragma once

#include <chervilbend/base/clock.hpp>
#include <chervilbend/base/strong_id.hpp>
#include <chervilbend/base/strong_unit.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervilbend::state
{

/// Reads the fields of a JSON object and records whether any of them was missing or had the wrong type.
class field_reader
{
public:
    /// @p object must outlive the reader; nullptr is recorded as an error.
    explicit field_reader(const boost::json::object *object);
    explicit field_reader(const boost::json::value &value);

    /// Whether all reads so far succeeded.
    bool isOk() const;
    void fail();

    void read(std::string_view key, std::string &target);
    void read(std::string_view key, std::int64_t &target);
    void read(std::string_view key, int &target);
    void read(std::string_view key, bool &target);
    void read(std::string_view key, base::milliseconds &target);

    template<typename Tag>
    void read(std::string_view key, base::strong_id<Tag> &target)
    {
        std::string text;
        read(key, text);
        target = base::strong_id<Tag>(std::move(text));
    }

    template<typename Tag>
    void read(std::string_view key, base::strong_unit<Tag> &target)
    {
        std::int64_t count = 0;
        read(key, count);
        target = base::strong_unit<Tag>(count);
    }

    /// Reads a number between 0 and @p last as an enumerator.
    template<typename Enumeration>
    void read(std::string_view key, Enumeration &target, Enumeration last)
    {
        std::int64_t number = 0;
        read(key, number);
        if (number < 0 || number > static_cast<std::int64_t>(last)) {
            fail();
            return;
        }
        target = static_cast<Enumeration>(number);
    }

    bool has(std::string_view key) const;
    /// The value of @p key. A missing value is recorded as an error and gives nullptr.
    const boost::json::value *value(std::string_view key);
    /// The array at @p key. A missing array is recorded as an error and gives an empty one.
    const boost::json::array &array(std::string_view key);
    /// The object at @p key. A missing object is recorded as an error and gives an empty one.
    const boost::json::object &object(std::string_view key);

private:
    const boost::json::object *m_object;
    bool m_ok;
};

} // namespace chervilbend::state

#include <chervilbend/state/internal/field_reader.hpp>

#include <boost/json/value.hpp>

#include <limits>

namespace json = boost::json;

namespace chervilbend::state
{

field_reader::field_reader(const json::object *object)
    : m_object(object)
    , m_ok(object != nullptr)
{
}

field_reader::field_reader(const json::value &value)
    : field_reader(value.if_object())
{
}

bool field_reader::isOk() const
{
    return m_ok;
}

void field_reader::fail()
{
    m_ok = false;
}

bool field_reader::has(std::string_view key) const
{
    return m_object && m_object->contains(key);
}

const json::value *field_reader::value(std::string_view key)
{
    const json::value *found = m_object ? m_object->if_contains(key) : nullptr;
    m_ok = m_ok && found;
    return found;
}

void field_reader::read(std::string_view key, std::string &target)
{
    const json::value *found = value(key);
    const json::string *text = found ? found->if_string() : nullptr;
    if (!text) {
        fail();
        return;
    }
    target.assign(text->data(), text->size());
}

void field_reader::read(std::string_view key, std::int64_t &target)
{
    const json::value *found = value(key);
    const std::int64_t *number = found ? found->if_int64() : nullptr;
    if (!number) {
        fail();
        return;
    }
    target = *number;
}

void field_reader::read(std::string_view key, int &target)
{
    std::int64_t number = 0;
    read(key, number);
    if (number < std::numeric_limits<int>::min() || number > std::numeric_limits<int>::max()) {
        fail();
        return;
    }
    target = static_cast<int>(number);
}

void field_reader::read(std::string_view key, bool &target)
{
    const json::value *found = value(key);
    const bool *flag = found ? found->if_bool() : nullptr;
    if (!flag) {
        fail();
        return;
    }
    target = *flag;
}

void field_reader::read(std::string_view key, base::milliseconds &target)
{
    std::int64_t count = 0;
    read(key, count);
    target = base::milliseconds(count);
}

const json::array &field_reader::array(std::string_view key)
{
    static const json::array empty;
    const json::value *found = value(key);
    const json::array *items = found ? found->if_array() : nullptr;
    m_ok = m_ok && items;
    return items ? *items : empty;
}

const json::object &field_reader::object(std::string_view key)
{
    static const json::object empty;
    const json::value *found = value(key);
    const json::object *members = found ? found->if_object() : nullptr;
    m_ok = m_ok && members;
    return members ? *members : empty;
}

} // namespace chervilbend::state

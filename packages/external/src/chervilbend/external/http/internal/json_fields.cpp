#include <chervilbend/external/http/internal/json_fields.hpp>

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>

namespace json = boost::json;

namespace chervilbend::external
{

namespace
{

const json::value *findField(const json::object &object, std::string_view field)
{
    return object.if_contains({field.data(), field.size()});
}

} // namespace

std::optional<std::int64_t> integerField(const json::object &object, std::string_view field, std::int64_t minimum, std::int64_t maximum)
{
    const json::value *const found = findField(object, field);
    if (!found || !found->is_int64() || found->get_int64() < minimum || found->get_int64() > maximum) {
        return std::nullopt;
    }
    return found->get_int64();
}

std::optional<double> positiveNumberField(const json::object &object, std::string_view field, double maximum)
{
    const json::value *const found = findField(object, field);
    if (!found || !(found->is_int64() || found->is_double())) {
        return std::nullopt;
    }
    const double number = found->is_int64() ? static_cast<double>(found->get_int64()) : found->get_double();
    if (!(number > 0) || number > maximum) {
        return std::nullopt;
    }
    return number;
}

std::optional<std::string> stringField(const json::object &object, std::string_view field, std::size_t maxBytes)
{
    const json::value *const found = findField(object, field);
    if (!found || !found->is_string() || found->get_string().size() > maxBytes) {
        return std::nullopt;
    }
    return std::string(found->get_string().data(), found->get_string().size());
}

std::optional<bool> booleanField(const json::object &object, std::string_view field, bool fallback)
{
    const json::value *const found = findField(object, field);
    if (!found) {
        return fallback;
    }
    if (!found->is_bool()) {
        return std::nullopt;
    }
    return found->get_bool();
}

const json::array *arrayField(const json::object &object, std::string_view field)
{
    const json::value *const found = findField(object, field);
    return found ? found->if_array() : nullptr;
}

} // namespace chervilbend::external

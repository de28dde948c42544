#include <chervilbend/external/http/log_page_json.hpp>

#include <chervilbend/external/http/internal/json_fields.hpp>

#include <boost/json/array.hpp>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

namespace json = boost::json;

namespace chervilbend::external
{

namespace
{
constexpr std::int64_t maxOffset = std::numeric_limits<std::int64_t>::max();
/// Maximum payload of one record in bytes; the size of the whole answer is limited, too.
constexpr std::size_t maxPayloadBytes = 16 * 1024 * 1024;
} // namespace

json::object toJson(const log_page &page)
{
    json::array records;
    for (const log_record &record : page.records) {
        records.push_back(json::object{{"offset", record.offset.count()}, {"payload", record.payload}});
    }
    return {{"firstRetained", page.firstRetained.count()}, {"head", page.head.count()}, {"records", std::move(records)}};
}

std::optional<log_page> logPageFromJson(const json::object &json, base::log_offset after)
{
    const auto firstRetained = integerField(json, "firstRetained", 0, maxOffset);
    const auto head = integerField(json, "head", 0, maxOffset);
    const json::array *const records = arrayField(json, "records");
    if (!firstRetained || !head || !records) {
        return std::nullopt;
    }
    log_page page;
    page.firstRetained = base::log_offset(*firstRetained);
    page.head = base::log_offset(*head);
    std::int64_t last = std::max(after.count(), *firstRetained - 1);
    for (const json::value &element : *records) {
        const json::object *const record = element.if_object();
        const auto offset = record ? integerField(*record, "offset", last + 1, *head) : std::nullopt;
        std::optional<std::string> payload = record ? stringField(*record, "payload", maxPayloadBytes) : std::nullopt;
        if (!offset || !payload) {
            return std::nullopt;
        }
        last = *offset;
        page.records.push_back({base::log_offset(*offset), std::move(*payload)});
    }
    return page;
}

} // namespace chervilbend::external

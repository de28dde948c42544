#include <chervilbend/state/record_codec.hpp>

#include <chervilbend/state/internal/entry_reader.hpp>
#include <chervilbend/state/internal/entry_writer.hpp>

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace json = boost::json;

namespace chervilbend::state
{

std::string encodeRecord(std::span<const entry> entries)
{
    json::array record;
    record.reserve(entries.size());
    for (const entry &each : entries) {
        record.emplace_back(toJson(each));
    }
    return json::serialize(record);
}

decoded_record decodeRecord(std::string_view payload)
{
    decoded_record decoded;
    boost::system::error_code error;
    // An entry with invalid UTF-8 must not make the other entries of its record unreadable.
    json::parse_options options;
    options.allow_invalid_utf8 = true;
    const json::value parsed = json::parse(payload, error, {}, options);
    const json::array *record = error ? nullptr : parsed.if_array();
    if (!record) {
        decoded.malformed = 1;
        return decoded;
    }
    decoded.entries.reserve(record->size());
    for (const json::value &each : *record) {
        entry decodedEntry;
        switch (readEntry(each, decodedEntry)) {
        case entry_status::ok:
            decoded.entries.push_back(std::move(decodedEntry));
            break;
        case entry_status::skipped:
            ++decoded.skipped;
            break;
        case entry_status::malformed:
            ++decoded.malformed;
            break;
        }
    }
    return decoded;
}

} // namespace chervilbend::state

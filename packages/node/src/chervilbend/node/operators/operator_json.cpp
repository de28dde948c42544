#include <chervilbend/node/operators/operator_json.hpp>

#include <chervilbend/config/declaration_diff.hpp>
#include <chervilbend/config/declaration_json.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <json/reader.h>
#include <json/writer.h>

#include <memory>

namespace chervilbend::node
{

Json::Value toRpcJson(const config::service_declaration &declaration)
{
    const std::string text = boost::json::serialize(config::toJson(declaration));
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    Json::Value value;
    reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
    return value;
}

std::optional<config::service_declaration> declarationFromRpc(const Json::Value &json, std::string &errorText)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    boost::json::error_code error;
    const boost::json::value value = boost::json::parse(Json::writeString(builder, json), error);
    config::declaration_reader reader;
    auto declaration = error ? std::nullopt : reader.read(value);
    if (!declaration) {
        errorText = error ? "the declaration is not valid JSON: " + error.message() : reader.lastReason().text;
    }
    return declaration;
}

Json::Value toRpcJson(const std::vector<std::string> &lines)
{
    Json::Value array(Json::arrayValue);
    for (const std::string &line : lines) {
        array.append(line);
    }
    return array;
}

Json::Value toRpcJson(base::log_offset offset)
{
    return static_cast<Json::Int64>(offset.count());
}

Json::Value summaryOf(const publish_record &record)
{
    Json::Value json(Json::objectValue);
    json["publishId"] = record.publishId;
    json["author"] = record.author;
    json["service"] = record.service.value();
    json["base"] = toRpcJson(record.base);
    json["version"] = toRpcJson(record.offset);
    json["state"] = record.accepted ? "accepted" : "rejected";
    if (!record.accepted) {
        json["why"] = record.why;
        json["winner"] = toRpcJson(record.winner);
    }
    return json;
}

Json::Value changesBetween(const publish_record *before, const publish_record &after)
{
    if (!after.declaration || (before && !before->declaration)) {
        return {};
    }
    const config::service_declaration empty{after.service, {}, {}, {}};
    return toRpcJson(config::diffLines(before ? *before->declaration : empty, *after.declaration));
}

std::string textParameter(const Json::Value &parameters, const char *name)
{
    return parameters.isObject() && parameters[name].isString() ? parameters[name].asString() : std::string();
}

std::optional<std::int64_t> numberParameter(const Json::Value &parameters, const char *name)
{
    if (!parameters.isObject() || !parameters[name].isInt64() || parameters[name].asInt64() < 0) {
        return std::nullopt;
    }
    return parameters[name].asInt64();
}

} // namespace chervilbend::node

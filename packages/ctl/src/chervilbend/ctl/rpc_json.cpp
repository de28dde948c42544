#include <chervilbend/ctl/rpc_json.hpp>

#include <chervilbend/config/declaration_json.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <json/reader.h>
#include <json/writer.h>

#include <memory>

namespace chervilbend::ctl
{

std::string textOf(const Json::Value &object, const char *name)
{
    return object.isObject() && object[name].isString() ? object[name].asString() : std::string();
}

std::int64_t numberOf(const Json::Value &object, const char *name)
{
    return object.isObject() && object[name].isInt64() ? object[name].asInt64() : 0;
}

bool flagOf(const Json::Value &object, const char *name)
{
    return object.isObject() && object[name].isBool() && object[name].asBool();
}

Json::Value listOf(const Json::Value &object, const char *name)
{
    return object.isObject() && object[name].isArray() ? object[name] : Json::Value(Json::arrayValue);
}

Json::Value rpcJsonOf(const config::service_declaration &declaration)
{
    const std::string text = boost::json::serialize(config::toJson(declaration));
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    Json::Value value;
    reader->parse(text.data(), text.data() + text.size(), &value, nullptr);
    return value;
}

std::optional<config::service_declaration> declarationOf(const Json::Value &json)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    boost::json::error_code error;
    const boost::json::value value = boost::json::parse(Json::writeString(builder, json), error);
    return error ? std::nullopt : config::declaration_reader().read(value);
}

} // namespace chervilbend::ctl

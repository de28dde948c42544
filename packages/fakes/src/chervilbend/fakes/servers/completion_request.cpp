#include <chervilbend/fakes/servers/completion_request.hpp>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <string_view>

namespace json = boost::json;

namespace chervilbend::fakes
{

namespace
{

constexpr std::int64_t maxTokensLimit = 100'000;

void collectText(const json::value &part, std::string &text)
{
    if (part.is_string()) {
        text.append(part.get_string().data(), part.get_string().size());
    } else if (part.is_array()) {
        for (const json::value &element : part.get_array()) {
            collectText(element, text);
        }
    } else if (part.is_object()) {
        for (const char *field : {"content", "text"}) {
            if (const json::value *const found = part.get_object().if_contains(field)) {
                collectText(*found, text);
            }
        }
    }
}

bool flagOf(const json::object &object, const char *field)
{
    const json::value *const found = object.if_contains(field);
    return found && found->is_bool() && found->get_bool();
}

base::work_class urgencyOf(std::string_view name)
{
    return name == "urgent" ? base::work_class::urgent : name == "batch" ? base::work_class::batch : base::work_class::normal;
}

} // namespace

std::optional<completion_request> completionRequestFrom(const net::http_request &request)
{
    json::error_code error;
    const json::value parsed = json::parse(request.body(), error);
    const json::object *const object = error ? nullptr : parsed.if_object();
    const json::value *const model = object ? object->if_contains("model") : nullptr;
    if (!model || !model->is_string()) {
        return std::nullopt;
    }
    completion_request result;
    result.chat = request.target().find("/chat/") != boost::beast::string_view::npos;
    result.model.assign(model->get_string().data(), model->get_string().size());
    for (const char *field : {"messages", "prompt"}) {
        if (const json::value *const found = object->if_contains(field)) {
            collectText(*found, result.prompt);
        }
    }
    result.stream = flagOf(*object, "stream");
    const json::value *const options = object->if_contains("stream_options");
    result.includeUsage = options && options->is_object() && flagOf(options->get_object(), "include_usage");
    for (const char *field : {"max_tokens", "max_completion_tokens"}) {
        const json::value *const found = object->if_contains(field);
        if (found && found->is_int64() && found->get_int64() > 0) {
            result.maxTokens = std::min(found->get_int64(), maxTokensLimit);
        }
    }
    const auto priority = request["X-Priority"];
    result.urgency = urgencyOf({priority.data(), priority.size()});
    return result;
}

} // namespace chervilbend::fakes

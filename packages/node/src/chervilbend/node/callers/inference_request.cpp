#include <chervilbend/node/callers/inference_request.hpp>

#include <chervilbend/base/hash.hpp>

#include <boost/json/monotonic_resource.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>

namespace json = boost::json;

namespace chervilbend::node
{

namespace
{

constexpr std::int64_t bytesPerToken = 4;
/// Limit on generated tokens for requests without one. The learned mean usually is far lower.
constexpr std::int64_t defaultMaxTokens = 4096;
constexpr std::int64_t maxTokensLimit = 1'000'000;
/// Bytes. Engines cache prompts in blocks of tokens, so prompts shorter than the minimum gain nothing from prefix affinity; the first kilobyte
/// (about 256 tokens) is enough to distinguish system prompts.
constexpr std::size_t minPrefixLength = 128;
constexpr std::size_t maxPrefixLength = 1024;
/// JSON nesting depth; tool schemas need less.
constexpr std::size_t maxDepth = 64;

/// Accumulates the length of the prompt text and keeps its first maxPrefixLength bytes.
struct prompt_text {
    std::size_t bytes = 0;
    std::string beginning;

    void add(std::string_view text)
    {
        bytes += text.size();
        beginning.append(text.substr(0, maxPrefixLength - std::min(maxPrefixLength, beginning.size())));
    }
};

/// Adds the text of strings, arrays of parts and objects with "role", "content" or "text". Numbers are token ids.
void collectPromptText(const json::value &part, prompt_text &prompt)
{
    if (const json::string *const text = part.if_string()) {
        prompt.add({text->data(), text->size()});
    } else if (const json::array *const parts = part.if_array()) {
        for (const json::value &element : *parts) {
            collectPromptText(element, prompt);
        }
    } else if (const json::object *const object = part.if_object()) {
        for (const std::string_view field : {"role", "content", "text"}) {
            if (const json::value *const content = object->if_contains({field.data(), field.size()})) {
                collectPromptText(*content, prompt);
            }
        }
    } else if (part.is_int64() || part.is_uint64()) {
        prompt.bytes += bytesPerToken;
    }
}

std::optional<std::int64_t> positiveNumber(const json::object &object, std::string_view field)
{
    const json::value *const found = object.if_contains({field.data(), field.size()});
    if (!found || !found->is_int64() || found->get_int64() <= 0) {
        return std::nullopt;
    }
    return found->get_int64();
}

} // namespace

std::optional<inference_request> inference_request_reader::read(std::string_view body)
{
    unsigned char scratch[4096];
    json::monotonic_resource memory(scratch, sizeof scratch);
    json::parse_options options;
    options.max_depth = maxDepth;
    json::error_code error;
    const json::value parsed = json::parse({body.data(), body.size()}, error, &memory, options);
    const json::object *const object = error ? nullptr : parsed.if_object();
    if (!object) {
        return fail(base::error_kind::badRequest, "the body is not a JSON object");
    }
    const json::value *const model = object->if_contains("model");
    if (!model || !model->is_string()) {
        return fail(base::error_kind::badRequest, "the field \"model\" is missing or not a string");
    }
    inference_request request;
    request.model = std::string(model->get_string().data(), model->get_string().size());
    const json::value *const stream = object->if_contains("stream");
    request.stream = stream && stream->is_bool() && stream->get_bool();

    prompt_text prompt;
    for (const std::string_view field : {"messages", "prompt"}) {
        if (const json::value *const found = object->if_contains({field.data(), field.size()})) {
            collectPromptText(*found, prompt);
        }
    }
    request.promptTokens = base::token_count((static_cast<std::int64_t>(prompt.bytes) + bytesPerToken - 1) / bytesPerToken);
    const std::optional<std::int64_t> maxCompletionTokens = positiveNumber(*object, "max_completion_tokens");
    const std::optional<std::int64_t> requestedMaxTokens = maxCompletionTokens ? maxCompletionTokens : positiveNumber(*object, "max_tokens");
    request.maxTokens = base::token_count(std::min(requestedMaxTokens.value_or(defaultMaxTokens), maxTokensLimit));
    if (prompt.beginning.size() >= minPrefixLength) {
        request.prefix = std::max<std::uint64_t>(1, base::hash64(prompt.beginning, base::hash64(request.model)));
    }
    return request;
}

} // namespace chervilbend::node

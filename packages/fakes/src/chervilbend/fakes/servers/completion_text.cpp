#include <chervilbend/fakes/servers/completion_text.hpp>

#include <chervilbend/base/hash.hpp>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <utility>

namespace json = boost::json;

namespace chervilbend::fakes
{

namespace
{

constexpr std::array<const char *, 16> words{
    "the", "clear", "stone", "is", "set", "at", "dawn", "and", "each", "plate", "was", "read", "by", "hand", "then", "kept"};

std::string event(const json::object &data)
{
    return "data: " + json::serialize(data) + "\n\n";
}

} // namespace

completion_text::completion_text(const completion_request &request, std::string id, std::int64_t createdSeconds)
    : m_request(request)
    , m_id(std::move(id))
    , m_created(createdSeconds)
    , m_hash(base::hash64(request.prompt, base::hash64(request.model)))
{
}

std::string completion_text::token(std::int64_t index) const
{
    const std::uint64_t draw = base::hash64(std::to_string(index), m_hash);
    std::string text;
    if (index > 0) {
        text += ' ';
    }
    text += words[draw % words.size()];
    return text;
}

std::string completion_text::tokenEvent(std::int64_t index) const
{
    json::object choice{{"index", 0}};
    if (m_request.chat) {
        json::object delta{{"content", token(index)}};
        if (index == 0) {
            delta["role"] = "assistant";
        }
        choice["delta"] = std::move(delta);
    } else {
        choice["text"] = token(index);
    }
    choice["finish_reason"] = nullptr;
    json::object data = responseObject(m_request.chat ? "chat.completion.chunk" : "text_completion");
    data["choices"] = json::array{std::move(choice)};
    return event(data);
}

std::string completion_text::finalEvents() const
{
    json::object choice{{"index", 0}, {"finish_reason", "length"}};
    if (m_request.chat) {
        choice["delta"] = json::object();
    } else {
        choice["text"] = "";
    }
    json::object data = responseObject(m_request.chat ? "chat.completion.chunk" : "text_completion");
    data["choices"] = json::array{std::move(choice)};
    std::string events = event(data);
    if (m_request.includeUsage) {
        data["choices"] = json::array();
        data["usage"] = usage();
        events += event(data);
    }
    return events + "data: [DONE]\n\n";
}

json::object completion_text::fullResponse() const
{
    std::string text;
    for (std::int64_t index = 0; index < m_request.maxTokens; ++index) {
        text += token(index);
    }
    json::object choice{{"index", 0}, {"finish_reason", "length"}};
    if (m_request.chat) {
        choice["message"] = json::object{{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    json::object data = responseObject(m_request.chat ? "chat.completion" : "text_completion");
    data["choices"] = json::array{std::move(choice)};
    data["usage"] = usage();
    return data;
}

json::object completion_text::responseObject(const char *objectType) const
{
    return {{"id", m_id}, {"object", objectType}, {"created", m_created}, {"model", m_request.model}};
}

json::object completion_text::usage() const
{
    return {{"prompt_tokens", m_request.promptTokens()},
            {"completion_tokens", m_request.maxTokens},
            {"total_tokens", m_request.promptTokens() + m_request.maxTokens}};
}

} // namespace chervilbend::fakes

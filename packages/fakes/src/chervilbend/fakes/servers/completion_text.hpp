#pragma once

#include <chervilbend/fakes/servers/completion_request.hpp>

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>

namespace chervilbend::fakes
{

/// The response to a completion request. Its words are derived from the model and the prompt, so that a caller can check that a response
/// belongs to its request.
class completion_text
{
public:
    completion_text(const completion_request &request, std::string id, std::int64_t createdSeconds);

    /// The text of the token at @p index, counted from 0.
    std::string token(std::int64_t index) const;

    /// The server-sent event with the token at @p index; the first one also carries the role.
    std::string tokenEvent(std::int64_t index) const;

    /// The final events of a stream: finish reason, usage if requested, and the end marker.
    std::string finalEvents() const;

    /// The body of a response that is not streamed.
    boost::json::object fullResponse() const;

private:
    boost::json::object responseObject(const char *objectType) const;
    boost::json::object usage() const;

    completion_request m_request;
    std::string m_id;
    std::int64_t m_created;
    std::uint64_t m_hash;
};

} // namespace chervilbend::fakes

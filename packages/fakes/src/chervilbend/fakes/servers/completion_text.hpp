#pragma once

#include <chervilbend/fakes/servers/completion_request.hpp>

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>

namespace chervilbend::fakes
{

/// The answer to one completion request: words that follow from the prompt, so that each caller can check that an answer is its own.
class completion_text
{
public:
    completion_text(const completion_request &request, std::string id, std::int64_t createdSeconds);

    /// The token at @p index, from 0 on.
    std::string token(std::int64_t index) const;

    /// The server-sent event that carries the token at @p index; the first one names the role.
    std::string tokenEvent(std::int64_t index) const;

    /// The events that end a stream.
    std::string lastEvents() const;

    /// The answer as a whole.
    boost::json::object whole() const;

private:
    boost::json::object frame(const char *kind) const;
    boost::json::object usage() const;

    completion_request m_request;
    std::string m_id;
    std::int64_t m_created;
    std::uint64_t m_hash;
};

} // namespace chervilbend::fakes

#include <chervilbend/net/problem.hpp>

#include <chervilbend/base/error_answer.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <string>

namespace chervilbend::net
{

namespace
{
/// Seconds after which a caller may try again.
constexpr std::string_view retryAfter = "1";
} // namespace

http_response problemResponse(const base::reason &reason)
{
    return problemResponse(reason, base::answerFor(reason.kind).state);
}

http_response problemResponse(const base::reason &reason, base::run_state state)
{
    const base::error_answer &answer = base::answerFor(reason.kind);
    boost::json::object document;
    document["type"] = "urn:chervilbend:error:" + std::string(answer.name);
    document["title"] = answer.title;
    document["status"] = answer.httpStatus;
    document["detail"] = reason.text;
    document["run"] = base::toString(state);

    http_response response(static_cast<http::status>(answer.httpStatus), 11);
    response.set(http::field::content_type, "application/problem+json");
    if (answer.retryLater) {
        response.set(http::field::retry_after, retryAfter);
    }
    response.body() = boost::json::serialize(document) + '\n';
    return response;
}

} // namespace chervilbend::net

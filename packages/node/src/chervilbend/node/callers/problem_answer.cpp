#include <chervilbend/node/callers/problem_answer.hpp>

#include <chervilbend/base/error_answer.hpp>
#include <chervilbend/base/seconds_text.hpp>
#include <chervilbend/net/problem.hpp>
#include <chervilbend/node/callers/message_headers.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace chervilbend::node
{

net::http_response problemAnswer(const base::reason &why, base::run_state state)
{
    net::http_response response = net::problemResponse(why, state);
    const std::string_view text = base::toString(state);
    response.set(runStateField, boost::beast::string_view(text.data(), text.size()));
    return response;
}

net::http_response problemAnswer(const base::reason &why)
{
    return problemAnswer(why, base::answerFor(why.kind).state);
}

void setRetryAfter(net::http_response &answer, std::optional<base::milliseconds> retryAfter)
{
    if (!retryAfter) {
        answer.erase(boost::beast::http::field::retry_after);
        return;
    }
    answer.set(boost::beast::http::field::retry_after, base::secondsText(*retryAfter));
}

std::string problemEvent(const base::reason &why, base::run_state state)
{
    const base::error_answer &answer = base::answerFor(why.kind);
    boost::json::object error;
    error["type"] = "urn:chervilbend:error:" + std::string(answer.name);
    error["code"] = answer.name;
    error["message"] = std::string(answer.title) + ": " + why.text;
    error["run"] = base::toString(state);
    boost::json::object document;
    document["error"] = std::move(error);
    return "event: error\ndata: " + boost::json::serialize(document) + "\n\n";
}

} // namespace chervilbend::node

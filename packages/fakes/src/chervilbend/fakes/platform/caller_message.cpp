#include <chervilbend/fakes/platform/caller_message.hpp>

namespace chervilbend::fakes
{

std::string toText(const caller_message &message)
{
    return message.method + ' ' + message.path + " HTTP/1.1\r\nHost: " + message.host + "\r\nChervilbend-Attempt-Id: " + message.attempt
        + "\r\nChervilbend-Deadline-Milliseconds: " + std::to_string(message.timeout.count()) + "\r\nContent-Length: " + std::to_string(message.body.size())
        + "\r\n" + message.fields + "\r\n" + message.body;
}

bool isSealed(const net::http_response &answer)
{
    return !answer["Chervilbend-Response-Seal"].empty();
}

} // namespace chervilbend::fakes

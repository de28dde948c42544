#pragma once

#include "caller_api_fixture.hpp"

#include <cstdio>
#include <string>

namespace chervilbend::node::test
{

const std::string chatBody = R"({"model":"tall","stream":true,"max_tokens":7,"messages":[{"role":"user","content":"hello there"}]})";
const std::string streamHeader = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

inline std::string chunk(const std::string &text)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return std::string(size).append(text).append("\r\n");
}

inline std::string contentEvent(const std::string &text)
{
    std::string data = "data: {\"choices\":[{\"delta\":{\"content\":\"";
    data.append(text).append("\"}}]}\n\n");
    return chunk(data);
}

const std::string doneEvent = chunk("data: [DONE]\n\n");
const std::string lastChunk = "0\r\n\r\n";

inline std::string completeResponse(const std::string &body, const std::string &status = "200 OK")
{
    std::string answer("HTTP/1.1 ");
    answer.append(status).append("\r\nContent-Type: application/json\r\nContent-Length: ").append(std::to_string(body.size()));
    return answer.append("\r\n\r\n").append(body);
}

/// Reads a request up to the first closing brace of its JSON body, sends @p text and closes the connection.
inline raw_server::script answerAndClose(const std::string &text)
{
    return [text](std::shared_ptr<raw_peer> caller) -> boost::asio::awaitable<void> {
        co_await caller->readUntil("}");
        co_await caller->send(text);
    };
}

inline bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace chervilbend::node::test

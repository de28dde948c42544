#include <chervilbend/peers/rpc_client.hpp>

#include <chervilbend/base/error_answer.hpp>
#include <chervilbend/peers/rpc_headers.hpp>

#include <json/reader.h>
#include <json/writer.h>

#include <utility>

namespace chervilbend::peers
{

namespace
{

std::string serialize(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

/// The error kind with the given name; internal when this version does not know it.
base::error_kind errorKindFromName(const std::string &name)
{
    for (const base::error_answer &row : base::errorAnswers()) {
        if (row.name == name) {
            return row.kind;
        }
    }
    return base::error_kind::internal;
}

std::string stringMember(const Json::Value &object, const char *key)
{
    return object.isObject() && object[key].isString() ? object[key].asString() : std::string();
}

} // namespace

rpc_client::rpc_client(std::shared_ptr<membership::message_signer> signer, std::shared_ptr<net::http_client> transport)
    : m_signer(std::move(signer))
    , m_transport(std::move(transport))
{
}

boost::asio::awaitable<std::optional<Json::Value>> rpc_client::call(net::address peer, std::string method, Json::Value parameters, base::milliseconds timeout)
{
    Json::Value message(Json::objectValue);
    message["jsonrpc"] = "2.0";
    message["id"] = ++m_lastId;
    message["method"] = method;
    message["params"] = std::move(parameters);
    net::http_request request(net::http::verb::post, "/rpc", 11);
    request.set(net::http::field::content_type, "application/json");
    request.body() = serialize(message);
    const std::string signature = m_signer->sign(request.body());
    request.set(signatureHeader, signature);

    net::http_send_options options;
    options.connectTimeout = timeout;
    options.answerTimeout = timeout;
    const std::optional<net::http_response> answer = co_await m_transport->send(peer, std::move(request), options);
    if (!answer) {
        co_return fail(base::error_kind::peerUnavailable, toString(peer) + " does not answer: " + m_transport->lastReason().text);
    }
    if (answer->result() != net::http::status::ok) {
        co_return fail(base::error_kind::peerUnavailable, toString(peer) + " answers with status " + std::to_string(answer->result_int()));
    }
    if (!m_signer->verify((*answer)[signatureHeader], answer->body(), signature)) {
        co_return fail(base::error_kind::peerUnavailable, "answer of " + toString(peer) + ": " + m_signer->lastReason().text);
    }
    co_return readAnswer(answer->body());
}

std::optional<Json::Value> rpc_client::readAnswer(const std::string &body)
{
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    Json::Value answer;
    if (!reader->parse(body.data(), body.data() + body.size(), &answer, nullptr) || !answer.isObject()) {
        return fail(base::error_kind::peerUnavailable, "the answer is not a JSON object");
    }
    if (answer.isMember("error")) {
        const Json::Value &error = answer["error"];
        return fail(errorKindFromName(error.isObject() ? stringMember(error["data"], "kind") : std::string()), stringMember(error, "message"));
    }
    if (!answer.isMember("result")) {
        return fail(base::error_kind::peerUnavailable, "the answer has no result");
    }
    return answer["result"];
}

} // namespace chervilbend::peers

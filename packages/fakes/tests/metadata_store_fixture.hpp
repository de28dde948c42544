#pragma once

#include <chervilbend/fakes/platform/metadata_store.hpp>
#include <chervilbend/net/http_client.hpp>

#include "../../net/tests/raw_peer.hpp"

#include <boost/json/parse.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <openssl/evp.h>

#include <cctype>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chervilbend::fakes::test
{

using texts = std::vector<std::string>;

inline const std::string newestPath = "/api/log-newest";
inline const std::string readPath = "/api/log-read";
inline const std::string appendPath = "/api/log-append";
inline const std::string operatorQuery = "?topic=keyed.op&part=0";

/// The text with every byte but letters and digits as an escape.
inline std::string escaped(const std::string &text)
{
    std::string result;
    for (const char byte : text) {
        if (std::isalnum(static_cast<unsigned char>(byte)) != 0) {
            result.push_back(byte);
        } else {
            result += {'%', "0123456789ABCDEF"[(byte >> 4) & 0xf], "0123456789ABCDEF"[byte & 0xf]};
        }
    }
    return result;
}

inline std::string decodeBase64(const std::string &text)
{
    std::string bytes(text.size(), '\0');
    const int size =
        ::EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), reinterpret_cast<const unsigned char *>(text.data()), static_cast<int>(text.size()));
    CPPUNIT_ASSERT(size >= 0);
    const std::size_t padding = text.size() - (text.find_last_not_of('=') + 1);
    bytes.resize(static_cast<std::size_t>(size) - padding);
    return bytes;
}

inline std::size_t readBigEndian(std::string_view bytes)
{
    std::size_t number = 0;
    for (const char byte : bytes) {
        number = (number << 8) | static_cast<unsigned char>(byte);
    }
    return number;
}

struct newest_answer {
    texts keys;
    texts values;
    std::vector<std::int64_t> offsets;
    bool hasMore = false;
    std::int64_t end = 0;
};

struct log_answer {
    std::size_t end = 0;
    std::size_t first = 0;
    texts records;
};

/// A store and a client of it.
class store_fixture
{
public:
    store_fixture()
        : store(context.get_executor(), 0, 1)
    {
    }

    boost::asio::awaitable<void> send(std::string target, std::optional<std::string> body, std::optional<net::http_response> *response)
    {
        net::http_request request(body ? net::http::verb::post : net::http::verb::get, target, 11);
        request.body() = body.value_or("");
        net::address address{"127.0.0.1", store.port()};
        *response = co_await m_client.send(std::move(address), std::move(request));
    }

    net::http_response call(const std::string &target, std::optional<std::string> body = std::nullopt)
    {
        std::optional<net::http_response> response;
        net::test::runUntilDone(context, [&]() -> boost::asio::awaitable<void> { co_await send(target, body, &response); });
        CPPUNIT_ASSERT_MESSAGE(target + ": " + m_client.lastReason().text, response.has_value());
        return *response;
    }

    int status(const std::string &target, std::optional<std::string> body = std::nullopt)
    {
        return static_cast<int>(call(target, std::move(body)).result_int());
    }

    newest_answer newest(const std::string &query = {})
    {
        const net::http_response response = call(newestPath + operatorQuery + query);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(query, net::http::status::ok, response.result());
        boost::json::parse_options options;
        options.allow_invalid_utf8 = true;
        const boost::json::object object = boost::json::parse(response.body(), {}, options).as_object();
        newest_answer answer{{}, {}, {}, object.at("more").as_bool(), object.at("end").as_int64()};
        for (const boost::json::value &item : object.at("items").as_array()) {
            answer.keys.emplace_back(item.at("key").as_string());
            answer.values.push_back(decodeBase64(std::string(item.at("value").as_string())));
            answer.offsets.push_back(item.at("offset").as_int64());
        }
        return answer;
    }

    log_answer read(const std::string &query)
    {
        const net::http_response response = call(readPath + operatorQuery + query);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(query, net::http::status::ok, response.result());
        return split(response.body());
    }

    static log_answer split(std::string_view body)
    {
        CPPUNIT_ASSERT(body.size() >= 16);
        log_answer answer{readBigEndian(body.substr(0, 8)), readBigEndian(body.substr(8, 8)), {}};
        for (body.remove_prefix(16); !body.empty();) {
            const std::size_t length = readBigEndian(body.substr(0, 4));
            CPPUNIT_ASSERT(body.size() >= 4 + length);
            answer.records.emplace_back(body.substr(4, length));
            body.remove_prefix(4 + length);
        }
        return answer;
    }

    void put(const texts &keys, const std::string &value = "v")
    {
        for (const std::string &key : keys) {
            store.putOperatorRecord(key, value);
        }
    }

    boost::asio::io_context context;
    metadata_store store;

private:
    net::http_client m_client;
};

inline void assertEqual(const texts &expected, const texts &actual, const std::string &message = {})
{
    std::string text = message + ", got";
    for (const std::string &entry : actual) {
        text += ' ' + escaped(entry);
    }
    CPPUNIT_ASSERT_MESSAGE(text, expected == actual);
}

} // namespace chervilbend::fakes::test

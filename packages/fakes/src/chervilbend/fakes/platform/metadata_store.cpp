#include <chervilbend/fakes/platform/metadata_store.hpp>

#include <chervilbend/fakes/platform/raw_connection.hpp>
#include <chervilbend/net/sleep.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <openssl/evp.h>

#include <charconv>
#include <string_view>
#include <utility>

namespace asio = boost::asio;

namespace chervilbend::fakes
{

namespace
{

constexpr base::milliseconds answerTime{4};
constexpr base::milliseconds slowAnswerTime{500};
constexpr base::milliseconds silence{60'000};
constexpr double lostShare = 1.0 / 3;
constexpr std::size_t maxPageBytes = 1024 * 1024;
constexpr int lengthBytes = 4;
constexpr int offsetBytes = 8;

std::string bigEndian(std::uint64_t number, int bytes)
{
    std::string text;
    for (int shift = 8 * (bytes - 1); shift >= 0; shift -= 8) {
        text.push_back(static_cast<char>((number >> shift) & 0xff));
    }
    return text;
}

std::string base64(std::string_view bytes)
{
    // With room for the zero byte at the end, which is cut off.
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    auto *const to = reinterpret_cast<unsigned char *>(text.data());
    const int size = ::EVP_EncodeBlock(to, reinterpret_cast<const unsigned char *>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(size));
    return text;
}

std::string parameter(std::string_view target, std::string_view name)
{
    const std::string pattern = std::string(name) + '=';
    for (std::size_t begin = target.find('?'); begin != std::string_view::npos;) {
        const std::string_view rest = target.substr(begin + 1);
        const std::size_t end = rest.find('&');
        if (rest.starts_with(pattern)) {
            return std::string(rest.substr(pattern.size(), end == std::string_view::npos ? end : end - pattern.size()));
        }
        begin = end == std::string_view::npos ? end : begin + 1 + end;
    }
    return {};
}

std::uint64_t numberParameter(std::string_view target, std::string_view name)
{
    const std::string text = parameter(target, name);
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::string answerText(int status, std::string_view body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + std::string(body);
}

} // namespace

metadata_store::metadata_store(const asio::any_io_executor &executor, std::uint16_t port, std::uint64_t seed)
    : m_acceptor(executor, {asio::ip::address_v4::loopback(), port})
    , m_random(seed)
{
    asio::co_spawn(executor, accept(), asio::detached);
}

void metadata_store::putConfiguration(const std::string &json)
{
    put("keyed.op", "config", json);
}

void metadata_store::putServer(const std::string &id, const std::string &entry)
{
    put("keyed.servers", id, entry);
}

void metadata_store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    m_topics[topic].push_back(bigEndian(key.size(), 1) + key + value);
    m_changed.notify();
}

asio::awaitable<void> metadata_store::accept()
{
    while (true) {
        auto [error, socket] = co_await m_acceptor.async_accept(asio::as_tuple(asio::use_awaitable));
        if (!error) {
            asio::co_spawn(m_acceptor.get_executor(), serve(std::make_shared<raw_connection>(std::move(socket))), asio::detached);
        }
    }
}

asio::awaitable<void> metadata_store::serve(std::shared_ptr<raw_connection> caller)
{
    while (co_await caller->readHeader() && co_await caller->readBody()) {
        const store_fault fault = m_fault;
        co_await net::sleepFor(fault == store_fault::silent ? silence : fault == store_fault::slow ? slowAnswerTime : answerTime);
        if (fault == store_fault::busy) {
            caller->write(answerText(503, ""));
            continue;
        }
        const std::string target(caller->request().target());
        const bool isLost = fault == store_fault::lossy && target.starts_with("/api/log-append?") && m_random.chance(lostShare);
        const std::string text = co_await answer(target, caller->request().body());
        if (isLost || !caller->write(text)) {
            break;
        }
    }
}

asio::awaitable<std::string> metadata_store::answer(std::string target, std::string body)
{
    if (target.starts_with("/api/log-append?")) {
        co_return append(target, body);
    }
    if (target.starts_with("/api/log-newest?")) {
        co_return readNewest(target);
    }
    if (target.starts_with("/api/log-read?")) {
        co_return co_await readLog(target);
    }
    co_return answerText(404, "");
}

std::string metadata_store::append(const std::string &target, const std::string &body)
{
    std::vector<std::string> &records = m_topics[parameter(target, "topic")];
    const std::size_t offset = records.size();
    if (!parameter(target, "at").empty() && numberParameter(target, "at") != offset) {
        return answerText(412, "{\"end\":" + std::to_string(offset) + "}");
    }
    for (std::size_t at = 0; at + lengthBytes <= body.size();) {
        std::size_t length = 0;
        for (int i = 0; i < lengthBytes; ++i) {
            length = (length << 8) | static_cast<unsigned char>(body[at + i]);
        }
        records.push_back(body.substr(at + lengthBytes, length));
        at += lengthBytes + length;
    }
    m_changed.notify();
    return answerText(200, "{\"offset\":" + std::to_string(offset) + ",\"end\":" + std::to_string(records.size()) + "}");
}

asio::awaitable<std::string> metadata_store::readLog(std::string target)
{
    const std::string topic = parameter(target, "topic");
    const std::size_t from = numberParameter(target, "from");
    const base::time_point until = base::clock::now() + base::milliseconds(static_cast<std::int64_t>(numberParameter(target, "waitMs")));
    while (m_topics[topic].size() <= from && base::clock::now() < until) {
        co_await m_changed.wait(until);
    }
    const std::vector<std::string> &records = m_topics[topic];
    std::string body = bigEndian(records.size(), offsetBytes) + bigEndian(0, offsetBytes);
    for (std::size_t i = from; i < records.size() && body.size() < maxPageBytes; ++i) {
        body += bigEndian(records[i].size(), lengthBytes) + records[i];
    }
    co_return answerText(200, body);
}

std::string metadata_store::readNewest(const std::string &target) const
{
    const auto found = m_topics.find(parameter(target, "topic"));
    static const std::vector<std::string> none;
    const std::vector<std::string> &records = found == m_topics.end() ? none : found->second;
    std::map<std::string, std::size_t> newest;
    for (std::size_t i = 0; i < records.size(); ++i) {
        newest[records[i].substr(1, static_cast<unsigned char>(records[i][0]))] = i;
    }
    std::string items;
    for (const auto &[key, offset] : newest) {
        const std::string_view value = std::string_view(records[offset]).substr(1 + key.size());
        if (!value.empty()) {
            items +=
                (items.empty() ? "{\"key\":\"" : ",{\"key\":\"") + key + "\",\"value\":\"" + base64(value) + "\",\"offset\":" + std::to_string(offset) + "}";
        }
    }
    return answerText(200, "{\"items\":[" + items + "],\"more\":false,\"end\":" + std::to_string(records.size()) + "}");
}

} // namespace chervilbend::fakes

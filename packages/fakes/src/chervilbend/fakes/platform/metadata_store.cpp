#include <chervilbend/fakes/platform/metadata_store.hpp>

#include <chervilbend/fakes/platform/query_parameters.hpp>
#include <chervilbend/fakes/platform/raw_connection.hpp>
#include <chervilbend/net/sleep.hpp>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <openssl/evp.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace asio = boost::asio;

namespace chervilbend::fakes
{

namespace
{

constexpr base::milliseconds answerTime{4};
constexpr base::milliseconds slowAnswerTime{500};
constexpr base::milliseconds silence{60'000};
constexpr double lostShare = 1.0 / 3;
constexpr std::uint64_t maxWaitMs = 30'000;
constexpr std::uint64_t defaultReadKb = 1'024;
/// A larger answer than any test has room for; keeps the number of bytes from overflowing.
constexpr std::uint64_t largestReadKb = 1'024 * 1'024;
constexpr std::uint64_t onlyPartition = 0;
constexpr std::string_view appendPath = "/api/log-append";
constexpr std::string_view newestPath = "/api/log-newest";
constexpr std::string_view readPath = "/api/log-read";
constexpr std::string_view keyedPrefix = "keyed.";
const std::string operatorTopic = "keyed.op";
const std::string serversTopic = "keyed.servers";
constexpr std::size_t lengthBytes = 4;
constexpr std::size_t offsetBytes = 8;

std::string bigEndian(std::uint64_t number, std::size_t bytes)
{
    std::string text(bytes, '\0');
    for (std::size_t i = bytes; i > 0; --i) {
        text[i - 1] = static_cast<char>(number & 0xff);
        number >>= 8;
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

/// The records of an append's body; without a value if the last one is cut off.
std::optional<std::vector<std::string>> splitFrames(std::string_view body)
{
    std::vector<std::string> records;
    while (!body.empty()) {
        if (body.size() < lengthBytes) {
            return std::nullopt;
        }
        std::size_t length = 0;
        for (const char byte : body.substr(0, lengthBytes)) {
            length = (length << 8) | static_cast<unsigned char>(byte);
        }
        body.remove_prefix(lengthBytes);
        if (body.size() < length) {
            return std::nullopt;
        }
        records.emplace_back(body.substr(0, length));
        body.remove_prefix(length);
    }
    return records;
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
    put(operatorTopic, "config", json);
}

void metadata_store::putOperatorRecord(const std::string &key, const std::string &value)
{
    put(operatorTopic, key, value);
}

void metadata_store::putServer(const std::string &id, const std::string &entry)
{
    put(serversTopic, id, entry);
}

void metadata_store::setReadRate(std::optional<double> readsPerSecond)
{
    m_readRate.reset();
    if (readsPerSecond) {
        m_readRate.emplace(*readsPerSecond);
    }
}

std::size_t metadata_store::calls(std::string_view path) const
{
    const auto found = m_calls.find(path);
    return found == m_calls.end() ? 0 : found->second.arrived;
}

std::size_t metadata_store::calls(std::string_view path, int status) const
{
    const auto found = m_calls.find(path);
    if (found == m_calls.end()) {
        return 0;
    }
    const auto answered = found->second.answered.find(status);
    return answered == found->second.answered.end() ? 0 : answered->second;
}

void metadata_store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    findOrCreateTopic(topic).append(keyedRecord(key, value));
    m_changed.notify();
}

topic_records &metadata_store::findOrCreateTopic(const std::string &name)
{
    return m_topics.try_emplace(name, name.starts_with(keyedPrefix)).first->second;
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
        const std::string target(caller->request().target());
        const std::string path = target.substr(0, target.find_first_of("?#"));
        call_counts &counts = m_calls[path];
        ++counts.arrived;
        const store_fault fault = m_fault;
        co_await net::sleepFor(fault == store_fault::silent ? silence : fault == store_fault::slow ? slowAnswerTime : answerTime);
        const bool isLost = fault == store_fault::lossy && path == appendPath && m_random.chance(lostShare);
        store_answer result{503, ""};
        if (fault != store_fault::busy) {
            result = co_await answer(path, target, caller->request().body());
        }
        ++counts.answered[result.status];
        if (isLost) {
            co_return;
        }
        std::string text = answerText(result.status, result.body);
        const bool isWritten = co_await caller->writeAll(std::move(text));
        if (!isWritten) {
            co_return;
        }
    }
    if (caller->isMalformed()) {
        std::string text = answerText(400, "");
        co_await caller->writeAll(std::move(text));
    }
}

asio::awaitable<metadata_store::store_answer> metadata_store::answer(std::string path, std::string target, std::string body)
{
    const bool isAppend = path == appendPath;
    if (!isAppend && path != newestPath && path != readPath) {
        co_return store_answer{404, ""};
    }
    if (!isAppend && m_readRate && !m_readRate->take()) {
        co_return store_answer{429, ""};
    }
    const std::optional<query_parameters> query = query_parameters::parse(target);
    const std::string *const topic = query ? query->find("topic") : nullptr;
    if (!topic || topic->empty() || query->number("part") != onlyPartition) {
        co_return store_answer{400, ""};
    }
    if (isAppend) {
        co_return append(*topic, *query, body);
    }
    if (path == newestPath) {
        co_return readNewest(*topic, *query);
    }
    co_return co_await readLog(*topic, *query);
}

metadata_store::store_answer metadata_store::append(const std::string &topic, const query_parameters &query, const std::string &body)
{
    if (topic == operatorTopic || topic == serversTopic) {
        return {403, ""};
    }
    topic_records &records = findOrCreateTopic(topic);
    const std::size_t offset = records.records().size();
    std::optional<std::vector<std::string>> appended = splitFrames(body);
    const std::optional<std::uint64_t> expected = query.number("at", offset);
    const auto isAccepted = [&](const std::string &record) {
        return records.canHold(record) && record.size() <= m_recordLimit;
    };
    if (!expected || !appended || !std::all_of(appended->begin(), appended->end(), isAccepted)) {
        return {400, ""};
    }
    if (*expected != offset) {
        return {412, "{\"end\":" + std::to_string(offset) + "}"};
    }
    for (std::string &record : *appended) {
        records.append(std::move(record));
    }
    m_changed.notify();
    return {200, "{\"offset\":" + std::to_string(offset) + ",\"end\":" + std::to_string(records.records().size()) + "}"};
}

asio::awaitable<metadata_store::store_answer> metadata_store::readLog(std::string topic, query_parameters query)
{
    const std::optional<std::uint64_t> from = query.number("from");
    const std::optional<std::uint64_t> wait = query.number("waitMs", 0);
    const std::optional<std::uint64_t> maxKb = query.number("maxKb", defaultReadKb);
    if (!from || !wait || !maxKb) {
        co_return store_answer{400, ""};
    }
    topic_records &topicRecords = findOrCreateTopic(topic);
    const std::vector<std::string> &records = topicRecords.records();
    const base::time_point until = base::clock::now() + base::milliseconds(static_cast<std::int64_t>(std::min(*wait, maxWaitMs)));
    while (records.size() <= *from && base::clock::now() < until) {
        co_await m_changed.wait(until);
    }
    const std::size_t first = topicRecords.firstRetained(m_retention);
    if (*from < first) {
        co_return store_answer{410, "{\"first\":" + std::to_string(first) + "}"};
    }
    std::string body = bigEndian(records.size(), offsetBytes) + bigEndian(first, offsetBytes);
    const std::size_t emptyBytes = body.size();
    const std::uint64_t maxBytes = std::min(*maxKb, largestReadKb) * 1024;
    for (std::size_t i = *from; i < records.size(); ++i) {
        const std::size_t frameBytes = lengthBytes + records[i].size();
        if (i > *from && body.size() - emptyBytes + frameBytes > maxBytes) {
            break;
        }
        body += bigEndian(records[i].size(), lengthBytes) + records[i];
    }
    co_return store_answer{200, std::move(body)};
}

metadata_store::store_answer metadata_store::readNewest(const std::string &topic, const query_parameters &query) const
{
    const auto found = m_topics.find(topic);
    if (found == m_topics.end()) {
        return {200, R"({"items":[],"more":false,"end":0})"};
    }
    const std::string *const after = query.find("after");
    const newest_page page = found->second.newestAfter(after ? *after : std::string(), m_pageLimit);
    std::string items;
    for (const newest_record &record : page.records) {
        items += (items.empty() ? "{\"key\":" : ",{\"key\":") + keyToJson(record.key, m_keyEncoding) + ",\"value\":\"" + base64(record.value)
            + "\",\"offset\":" + std::to_string(record.offset) + "}";
    }
    return {200,
            "{\"items\":[" + items + "],\"more\":" + (page.hasMore ? "true" : "false") + ",\"end\":" + std::to_string(found->second.records().size()) + "}"};
}

} // namespace chervilbend::fakes

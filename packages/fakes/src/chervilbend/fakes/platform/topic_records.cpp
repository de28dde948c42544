#include <chervilbend/fakes/platform/topic_records.hpp>

#include <stdexcept>
#include <utility>

namespace chervilbend::fakes
{

namespace
{
constexpr std::size_t maxKeyBytes = 255;
} // namespace

std::string keyedRecord(std::string_view key, std::string_view value)
{
    if (key.size() > maxKeyBytes) {
        throw std::invalid_argument("a key of more than 255 bytes does not fit into a record");
    }
    std::string record(1, static_cast<char>(key.size()));
    record += key;
    record += value;
    return record;
}

topic_records::topic_records(bool isKeyed)
    : m_isKeyed(isKeyed)
{
}

bool topic_records::canHold(std::string_view record) const
{
    return !m_isKeyed || (!record.empty() && record.size() > static_cast<unsigned char>(record[0]));
}

void topic_records::append(std::string record)
{
    if (m_isKeyed) {
        const std::size_t keyBytes = static_cast<unsigned char>(record.at(0));
        const std::string key = record.substr(1, keyBytes);
        if (record.size() == 1 + keyBytes) {
            m_newest.erase(key);
        } else {
            m_newest[key] = m_records.size();
        }
    }
    m_records.push_back(std::move(record));
}

newest_page topic_records::newestAfter(const std::string &key, page_limit limit) const
{
    newest_page page;
    std::size_t bytes = 0;
    for (auto next = key.empty() ? m_newest.begin() : m_newest.upper_bound(key); next != m_newest.end(); ++next) {
        const std::string_view value = std::string_view(m_records[next->second]).substr(1 + next->first.size());
        bytes += value.size();
        if (!page.records.empty() && (page.records.size() >= limit.records || bytes > limit.bytes)) {
            page.hasMore = true;
            break;
        }
        page.records.push_back({next->first, value, next->second});
    }
    return page;
}

} // namespace chervilbend::fakes

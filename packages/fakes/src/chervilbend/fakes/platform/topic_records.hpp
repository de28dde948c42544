#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chervilbend::fakes
{

/// Limits of one page of newest records.
struct page_limit {
    std::size_t records = 500;
    /// Of the values together.
    std::size_t bytes = 1'048'576;
};

struct newest_record {
    std::string_view key;
    std::string_view value;
    std::size_t offset;
};

struct newest_page {
    std::vector<newest_record> records;
    /// Whether there are further keys.
    bool hasMore = false;
};

/// A record of a keyed topic: the length of its key in one byte, the key and the value. Throws std::invalid_argument if the key has more than 255 bytes.
std::string keyedRecord(std::string_view key, std::string_view value);

/// The records of a topic's only partition.
class topic_records
{
public:
    explicit topic_records(bool isKeyed);

    /// Whether the topic has no keys, or the record has the whole key that its first byte announces.
    bool canHold(std::string_view record) const;
    /// Appends a record that the topic can hold.
    void append(std::string record);

    const std::vector<std::string> &records() const
    {
        return m_records;
    }

    /// Offset of the oldest record that is retained if the last @p retention are.
    std::size_t firstRetained(std::size_t retention) const
    {
        return m_records.size() > retention ? m_records.size() - retention : 0;
    }

    /// The newest records of the keys after the given one in byte order, at least one of them; an empty key stands for all.
    newest_page newestAfter(const std::string &key, page_limit limit) const;

private:
    bool m_isKeyed;
    std::vector<std::string> m_records;
    /// Offset of the newest record of each key that has a value. std::string compares bytes as unsigned.
    std::map<std::string, std::size_t> m_newest;
};

} // namespace chervilbend::fakes

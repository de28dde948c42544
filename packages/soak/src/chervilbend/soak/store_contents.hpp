#pragma once

#include <chervilbend/fakes/platform/metadata_store.hpp>
#include <chervilbend/fakes/seeded_random.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chervilbend::soak
{

/// The topics to which others than the nodes write.
enum class shared_topic {
    /// The operator's, with the configuration.
    operation,
    /// The registrations of the servers.
    servers,
};

/// A record beside those that the nodes need.
struct further_record {
    shared_topic topic = shared_topic::operation;
    std::string key;
    /// Empty if the record is deleted.
    std::string value;
};

/// What the store of a soak holds besides the configuration and the registrations, and in which form it answers: everything is drawn from the seed.
class store_contents
{
public:
    explicit store_contents(std::uint64_t seed);

    const fakes::page_limit &pageLimit() const
    {
        return m_pageLimit;
    }
    fakes::key_encoding keyEncoding() const
    {
        return m_keyEncoding;
    }
    /// What is written first.
    const std::vector<further_record> &initialRecords() const
    {
        return m_initial;
    }
    /// Writes a new record, or writes or deletes one of before.
    further_record drawChange();

    /// How the store answers, in one line.
    std::string describeForm() const;

    /// A key with characters that have a meaning in a query, in JSON or in neither, or that sorts beside one that the nodes need; never one of those.
    static std::string drawKey(fakes::seeded_random &random, shared_topic topic);

private:
    std::string drawValue(shared_topic topic);
    further_record drawRecord();

    fakes::seeded_random m_random;
    fakes::page_limit m_pageLimit;
    fakes::key_encoding m_keyEncoding = fakes::key_encoding::rawBytes;
    std::vector<further_record> m_initial;
    /// The records that may exist, without their values.
    std::vector<further_record> m_written;
};

/// Writes the record as its topic's owner does.
void write(const further_record &record, fakes::metadata_store &store);

/// Topic, key and size of the record; the key with all bytes but printable ASCII escaped, and shortened.
std::string describe(const further_record &record);

} // namespace chervilbend::soak

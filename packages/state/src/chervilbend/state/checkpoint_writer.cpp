#include <chervilbend/state/checkpoint_writer.hpp>

#include <chervilbend/state/record_codec.hpp>

#include <array>
#include <utility>

namespace chervilbend::state
{

namespace
{

/// Bytes reserved in each record for the fields other than the data: ids and stream names are short.
constexpr std::size_t fieldOverhead = 1024;

/// Number of bytes that the character takes up in a JSON string. A dump is JSON itself and so contains no control characters.
std::size_t encodedLength(char character)
{
    return character == '"' || character == '\\' ? 2 : 1;
}

/// Whether the byte is a UTF-8 continuation byte. Chunks must not split a UTF-8 sequence.
bool isContinuation(char character)
{
    return (static_cast<unsigned char>(character) & 0xC0U) == 0x80U;
}

std::vector<std::string_view> split(std::string_view dump)
{
    std::vector<std::string_view> parts;
    std::size_t start = 0;
    std::size_t length = 0;
    for (std::size_t i = 0; i < dump.size(); ++i) {
        // A UTF-8 sequence is at most 4 bytes long.
        if (length + 4 > maxCheckpointRecordBytes - fieldOverhead && !isContinuation(dump[i])) {
            parts.push_back(dump.substr(start, i - start));
            start = i;
            length = 0;
        }
        length += encodedLength(dump[i]);
    }
    parts.push_back(dump.substr(start));
    return parts;
}

} // namespace

std::vector<std::string> checkpointRecords(const std::string &stream, base::log_offset appliedOffset, std::string_view dump, const std::string &checkpointId)
{
    const std::vector<std::string_view> parts = split(dump);
    std::vector<std::string> records;
    records.reserve(parts.size());
    for (const std::string_view part : parts) {
        checkpoint_entry chunk{stream, appliedOffset, checkpointId, static_cast<int>(records.size()), static_cast<int>(parts.size()), std::string(part)};
        records.push_back(encodeRecord(std::array<entry, 1>{entry(std::move(chunk))}));
    }
    return records;
}

} // namespace chervilbend::state

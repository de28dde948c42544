#include <chervilbend/state/checkpoint_writer.hpp>

#include <chervilbend/state/record_codec.hpp>

#include <array>
#include <utility>

namespace chervilbend::state
{

namespace
{

/// Room for the fields beside the data: ids and stream names are short.
constexpr std::size_t overhead = 1024;

/// Bytes that the character takes in a JSON string. A dump has no control characters, because it is JSON itself.
std::size_t encodedLength(char character)
{
    return character == '"' || character == '\\' ? 2 : 1;
}

/// Whether the byte continues a UTF-8 sequence, which must not be cut.
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
        // 4 bytes are the longest UTF-8 sequence.
        if (length + 4 > maxCheckpointRecordBytes - overhead && !isContinuation(dump[i])) {
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

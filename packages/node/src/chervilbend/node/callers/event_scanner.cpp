#include <chervilbend/node/callers/event_scanner.hpp>

#include <algorithm>
#include <charconv>

namespace chervilbend::node
{

namespace
{

/// Bytes. A longer event is forwarded in parts, which bounds the memory that an endpoint can make the node use.
constexpr std::size_t maxPendingEvent = 256 * 1024;

/// Length of @p text up to and including its last blank line; 0 if it has none.
std::size_t endOfLastEvent(std::string_view text)
{
    const std::size_t lf = text.rfind("\n\n");
    const std::size_t crlf = text.rfind("\n\r\n");
    const std::size_t lfEnd = lf == std::string_view::npos ? 0 : lf + 2;
    const std::size_t crlfEnd = crlf == std::string_view::npos ? 0 : crlf + 3;
    return std::max(lfEnd, crlfEnd);
}

/// The value of the last "completion_tokens" field; 0 if there is none. Generated text cannot imitate the engine's field: it comes before it
/// and has its quotation marks escaped.
std::int64_t completionTokensIn(std::string_view json)
{
    constexpr std::string_view field = "\"completion_tokens\":";
    const std::size_t found = json.rfind(field);
    if (found == std::string_view::npos) {
        return 0;
    }
    json.remove_prefix(found + field.size());
    json.remove_prefix(std::min(json.find_first_not_of(' '), json.size()));
    std::int64_t count = 0;
    std::from_chars(json.data(), json.data() + json.size(), count);
    return count;
}

} // namespace

std::string_view event_scanner::feed(std::string_view piece)
{
    if (m_pending.empty() && endOfLastEvent(piece) == piece.size()) {
        scan(piece);
        return piece;
    }
    m_pending.append(piece);
    std::size_t end = endOfLastEvent(m_pending);
    if (end == 0 && m_pending.size() > maxPendingEvent) {
        end = m_pending.size();
        m_isOverlong = true;
    }
    m_ready.assign(m_pending, 0, end);
    m_pending.erase(0, end);
    scan(m_ready);
    return m_ready;
}

void event_scanner::scan(std::string_view events)
{
    while (!events.empty()) {
        const std::size_t newline = events.find('\n');
        std::string_view line = events.substr(0, newline);
        events.remove_prefix(newline == std::string_view::npos ? events.size() : newline + 1);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        if (line.starts_with("data:")) {
            line.remove_prefix(5);
            line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
            scanData(line);
        } else if (line.starts_with("id:")) {
            line.remove_prefix(3);
            line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
            scanId(line);
        }
    }
}

void event_scanner::scanData(std::string_view data)
{
    if (data == "[DONE]") {
        m_done = true;
        return;
    }
    const std::int64_t reported = completionTokensIn(data);
    m_tokens = reported > 0 ? std::max(m_tokens, reported) : m_tokens + 1;
}

void event_scanner::scanId(std::string_view id)
{
    std::int64_t number = 0;
    const auto [end, error] = std::from_chars(id.data(), id.data() + id.size(), number);
    if (error != std::errc{} || end != id.data() + id.size()) {
        m_hasUnknownPlace = true;
        return;
    }
    m_outOfOrder = m_outOfOrder || (m_lastEvent && number <= *m_lastEvent);
    m_lastEvent = number;
}

base::token_count event_scanner::tokensOfCompleteResponse(std::string_view body)
{
    return base::token_count(completionTokensIn(body));
}

} // namespace chervilbend::node

#include <chervilbend/node/callers/event_scanner.hpp>

#include <algorithm>
#include <charconv>

namespace chervilbend::node
{

namespace
{

/// An event longer than this is passed on in parts, so that an endpoint cannot make the node hold memory without bound.
constexpr std::size_t maxHeld = 256 * 1024;

/// Length of @p text up to and including its last blank line; 0 when it has none.
std::size_t endOfLastEvent(std::string_view text)
{
    const std::size_t plain = text.rfind("\n\n");
    const std::size_t withReturns = text.rfind("\n\r\n");
    const std::size_t plainEnd = plain == std::string_view::npos ? 0 : plain + 2;
    const std::size_t returnsEnd = withReturns == std::string_view::npos ? 0 : withReturns + 3;
    return std::max(plainEnd, returnsEnd);
}

/// The value of "completion_tokens"; 0 when there is none. The last one is the engine's: text that a caller asked for comes before it, and has
/// its quotation marks escaped.
std::int64_t countIn(std::string_view json)
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
    if (m_held.empty() && endOfLastEvent(piece) == piece.size()) {
        scan(piece);
        return piece;
    }
    m_held.append(piece);
    std::size_t end = endOfLastEvent(m_held);
    if (end == 0 && m_held.size() > maxHeld) {
        end = m_held.size();
    }
    m_ready.assign(m_held, 0, end);
    m_held.erase(0, end);
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
    const std::int64_t counted = countIn(data);
    m_tokens = counted > 0 ? std::max(m_tokens, counted) : m_tokens + 1;
}

void event_scanner::scanId(std::string_view id)
{
    std::int64_t number = 0;
    if (std::from_chars(id.data(), id.data() + id.size(), number).ec != std::errc{}) {
        return;
    }
    m_outOfOrder = m_outOfOrder || (m_lastEvent && number <= *m_lastEvent);
    m_lastEvent = number;
}

base::token_count event_scanner::tokensOfWholeAnswer(std::string_view body)
{
    return base::token_count(countIn(body));
}

} // namespace chervilbend::node

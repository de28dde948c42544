#pragma once

#include <chervilbend/base/units.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervilbend::node
{

/// Incremental scanner for a stream of server-sent events: finds event boundaries, counts generated tokens and detects the final "[DONE]".
///
/// Bytes of an incomplete event are buffered: if the stream broke off inside an event that was already partly forwarded, the caller would
/// parse the fragment together with the error event that follows it.
class event_scanner
{
public:
    /// Scans the next piece and returns the bytes that may be forwarded now. The result is valid until the next call.
    std::string_view feed(std::string_view piece);

    /// Token count from the body of a non-streamed JSON response of an engine; 0 if it has none.
    static base::token_count tokensOfCompleteResponse(std::string_view body);

    /// Tokens so far: the engine's own count if an event contained one, otherwise one per data event.
    base::token_count tokens() const
    {
        return base::token_count(m_tokens);
    }

    /// Whether "[DONE]" has arrived.
    bool isDone() const
    {
        return m_done;
    }

    /// Size of the buffers for an incomplete event and for the events that were returned last.
    std::size_t bufferBytes() const
    {
        return m_pending.capacity() + m_ready.capacity();
    }

    /// Whether an incomplete event is buffered.
    bool isInsideEvent() const
    {
        return !m_pending.empty();
    }

    /// Id of the last complete event that had an id; no value before the first one.
    std::optional<std::int64_t> lastEvent() const
    {
        return m_lastEvent;
    }

    /// Whether an event exceeded the size up to which events are kept together.
    bool isOverlong() const
    {
        return m_isOverlong;
    }

    /// Whether an event id was not greater than the preceding one.
    bool isOutOfOrder() const
    {
        return m_outOfOrder;
    }

    /// Whether the events so far end with lastEvent(), so that the stream can go on after it. Not after an event whose id is no number.
    bool isResumable() const
    {
        return m_lastEvent && !m_outOfOrder && !m_hasUnknownPlace;
    }

    /// The stream resumes at another endpoint after lastEvent(). Discards the incomplete event, which will be sent again.
    void resume()
    {
        m_pending.clear();
    }

    /// @p event is the id of the last event that the caller has received.
    void setLastEvent(std::int64_t event)
    {
        m_lastEvent = event;
    }

private:
    void scan(std::string_view events);
    void scanData(std::string_view data);
    void scanId(std::string_view id);

    std::string m_pending;
    std::string m_ready;
    std::int64_t m_tokens = 0;
    bool m_done = false;
    std::optional<std::int64_t> m_lastEvent;
    bool m_isOverlong = false;
    bool m_outOfOrder = false;
    bool m_hasUnknownPlace = false;
};

} // namespace chervilbend::node

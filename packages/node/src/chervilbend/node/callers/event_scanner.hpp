#pragma once

#include <chervilbend/base/units.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace chervilbend::node
{

/// Follows a stream of server-sent events: finds the ends of events, counts generated tokens and sees the closing "[DONE]".
///
/// Bytes of an event whose end has not arrived are held back, because a stream that breaks off inside an event would otherwise make the
/// caller take the fragment together with the error event that follows it.
class event_scanner
{
public:
    /// Takes the next piece and gives the bytes that may be passed on now; valid until the next call.
    std::string_view feed(std::string_view piece);

    /// The count that an engine's whole JSON answer carries; 0 when it carries none.
    static base::token_count tokensOfWholeAnswer(std::string_view body);

    /// Tokens so far: the engine's own count where an event carried it, otherwise one per data event.
    base::token_count tokens() const
    {
        return base::token_count(m_tokens);
    }

    /// Whether "[DONE]" has arrived.
    bool isDone() const
    {
        return m_done;
    }

    /// Whether part of an event is held back.
    bool isInsideEvent() const
    {
        return !m_held.empty();
    }

    /// Id of the last whole event; no value while none had one.
    std::optional<std::int64_t> lastEvent() const
    {
        return m_lastEvent;
    }

    /// Whether an event's id was not above that of the one before it.
    bool isOutOfOrder() const
    {
        return m_outOfOrder;
    }

    /// The stream goes on from another endpoint after lastEvent(): what was held back comes again.
    void resume()
    {
        m_held.clear();
    }

    /// The caller has the events up to this one.
    void startAfter(std::int64_t event)
    {
        m_lastEvent = event;
    }

private:
    void scan(std::string_view events);
    void scanData(std::string_view data);
    void scanId(std::string_view id);

    std::string m_held;
    std::string m_ready;
    std::int64_t m_tokens = 0;
    bool m_done = false;
    std::optional<std::int64_t> m_lastEvent;
    bool m_outOfOrder = false;
};

} // namespace chervilbend::node

#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

/// Blocking HTTP/1.1 over a TCP socket, for the stand-ins of the review.
namespace standin
{

std::int64_t steadyMs();
std::int64_t wallMs();
void sleepMs(std::int64_t ms);

struct http_message {
    /// "METHOD TARGET VERSION" or "VERSION STATUS REASON".
    std::string startLine;
    /// Names in lower case.
    std::map<std::string, std::string> fields;
    std::string body;

    std::string field(const std::string &name) const;
    std::string method() const;
    std::string target() const;
    int status() const;
};

enum class read_status { complete, closed, reset, timedOut };

/// A connected socket; closed at destruction.
class http_connection
{
public:
    explicit http_connection(int handle);
    ~http_connection();
    http_connection(const http_connection &) = delete;
    http_connection &operator=(const http_connection &) = delete;

    /// Reads one message. For an answer, @p isAnswer allows a body that ends with the connection. @p deadline is in steadyMs().
    read_status readMessage(http_message &message, std::int64_t deadline, bool isAnswer);
    /// Reads up to the end of a header only; the body is read by readSome().
    read_status readHeader(http_message &message, std::int64_t deadline);
    /// Reads the next bytes of a body with chunked encoding; an empty text means its end.
    read_status readChunk(std::string &chunk, std::int64_t deadline);
    bool write(std::string_view bytes);
    /// Whether the peer has closed the connection or sent unexpected bytes.
    bool hasInput() const;
    /// Closes with a reset.
    void reset();

private:
    read_status fill(std::int64_t deadline);
    read_status readLine(std::string &line, std::int64_t deadline);
    read_status readBytes(std::string &body, std::size_t size, std::int64_t deadline);

    int m_handle;
    std::string m_buffer;
};

/// "IP:PORT"
int listenOn(const std::string &address);
int connectTo(const std::string &address, int timeoutMs);
std::string queryParameter(const std::string &target, const std::string &name);
std::string answerText(int status, const std::string &fields, std::string_view body);

} // namespace standin

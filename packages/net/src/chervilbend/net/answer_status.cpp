#include <chervilbend/net/answer_status.hpp>

namespace chervilbend::net
{

namespace
{
/// Written in place of an empty reason, which the library would replace by a text of its own. Readers take it for the space before the reason.
constexpr std::string_view emptyReason = " ";
} // namespace

std::string statusText(unsigned status)
{
    constexpr std::size_t digits = 3;
    const std::string text = std::to_string(status);
    return text.size() < digits ? std::string(digits - text.size(), '0') + text : text;
}

std::string reasonOf(const http::response_header<> &answer)
{
    const std::string reason(answer.reason());
    const bool isPlaceholder = answer.result() == http::status::unknown && reason == http::obsolete_reason(http::status::unknown);
    return isPlaceholder ? std::string() : reason;
}

void setStatus(http::response_header<> &answer, unsigned status, std::string_view reason)
{
    answer.result(status);
    const bool isUnnamed = http::int_to_status(status) == http::status::unknown;
    const std::string_view written = reason.empty() && isUnnamed ? emptyReason : reason;
    answer.reason({written.data(), written.size()});
}

void copyStatus(const http::response_header<> &from, http::response_header<> &to)
{
    setStatus(to, from.result_int(), reasonOf(from));
}

} // namespace chervilbend::net

#include <chervilbend/base/seconds_text.hpp>

#include <array>
#include <cstdio>

namespace chervilbend::base
{

std::string secondsText(milliseconds duration, int decimals)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.*f", decimals, static_cast<double>(duration.count()) / 1'000);
    return text.data();
}

} // namespace chervilbend::base
